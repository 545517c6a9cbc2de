package scenario

import (
	"cmp"
	"flag"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

const dir = "../../../scenarios/"

// Two draws of a seed are the same day to the byte; another seed is another day.
func TestDrawIsTheSeeds(t *testing.T) {
	files, err := filepath.Glob(dir + "*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	rapid.Check(t, func(t *rapid.T) {
		f, err := Read(rapid.SampledFrom(files).Draw(t, "file"))
		if err != nil {
			t.Fatal(err)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		var digests [3]string
		for i, s := range []uint64{seed, seed, seed + 1} {
			d, err := f.Draw(s)
			if err != nil {
				t.Fatal(err)
			}
			digests[i] = d.Digest()
		}
		if digests[0] != digests[1] || digests[0] == digests[2] {
			t.Fatalf("seed %d twice and the next: %v", seed, digests)
		}
	})
}

// A scenario's own lists stand in place of its base's, and what it does not name is the base's.
func TestScenarioDepartsFromItsBase(t *testing.T) {
	calm, err1 := Read(dir + "calm.toml")
	wide, err2 := Read(dir + "wide.toml")
	kill, err3 := Read(dir + "kill.toml")
	if err := cmp.Or(err1, err2, err3); err != nil {
		t.Fatal(err)
	}
	if len(wide.Class) != len(calm.Class) || wide.Class[0].AimMS == calm.Class[0].AimMS || len(wide.Plan) != len(calm.Plan) {
		t.Errorf("wide has %d classes, the first with aim %g", len(wide.Class), wide.Class[0].AimMS)
	}
	if len(kill.Class) != len(calm.Class) || kill.Class[0] != calm.Class[0] || len(kill.Fault) != 1 || kill.Gate == calm.Gate {
		t.Errorf("kill has %d classes, %d faults and gate %+v", len(kill.Class), len(kill.Fault), kill.Gate)
	}
}

// What is asked inside the quotas comes to the load that the scenario names.
func TestDrawnLoadIsTheWantedOne(t *testing.T) {
	f, err := Read(dir+"calm.toml", "seconds = 120", "load.inside = 0.5", "load.heavy = 0", "load.spiky = 0")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(5) {
		d, err := f.Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		work := 0.0
		for _, a := range d.Arrivals {
			work += a.Work.Seconds()
		}
		if load := work / d.Capacity() / d.Length.Seconds(); math.Abs(load-0.5) > 0.08 {
			t.Errorf("seed %d: load %.3f, wanted 0.5", seed, load)
		}
	}
}

const drop = "base = \"calm.toml\"\n[[fault]]\nkind = \"drop\"\nfor_s = 1\nshare = 0.5\n"

func TestBadFilesAreNamedInOneLine(t *testing.T) {
	for text, want := range map[string]string{
		`name = "x"` + "\nspeed = 3":                                                      "line 2: unknown key speed",
		`name = "x"`:                                                                      "seconds: 0",
		"base = \"none.toml\"":                                                            "base",
		"base = \"calm.toml\"\nfleet.nodes = 0":                                           "fleet.nodes",
		"base = \"calm.toml\"\nfleet.nodes = \"a\"":                                       "no number",
		"base = \"calm.toml\"\nfleet.nodes = [9, 3]":                                      "low 9 is above high 3",
		"base = \"calm.toml\"\n[[fault]]\nkind = \"x\"":                                   "fault 1 (x): no such kind",
		"base = \"calm.toml\"\n[[fault]]\nkind = \"kill\"":                                "share",
		"base = \"calm.toml\"\n[[fault]]\nkind = \"dark\"\nat_s=3":                        "for_s",
		"base = \"calm.toml\"\nclients.arrivals = \"none.csv\"":                           "",
		"base = \"calm.toml\"\non.subset = -1":                                            "on.subset: -1",
		drop + "links = [\"wires\"]":                                                      "links: \"wires\"",
		drop + "direction = \"up\"\nlinks = [\"peers\"]":                                  "direction: \"up\"",
		drop + "how = \"full\"\nlinks = [\"peers\"]":                                      "how: a disk",
		drop + "same = 1\nlinks = [\"peers\"]":                                            "same: there is no fault 1",
		drop + "size = 2\nlinks = [\"peers\"]":                                            "size: {2 2} is no part",
		drop:                                                                              "links: none",
		"base = \"calm.toml\"\n[[fault]]\nkind = \"disk\"\nshare=1\nfor_s=1\nhow=\"hot\"": "how: \"hot\"",
	} {
		path := filepath.Join(t.TempDir(), "x.toml")
		calm, err := os.ReadFile(dir + "calm.toml")
		if err != nil {
			t.Fatal(err)
		}
		_ = os.WriteFile(filepath.Join(filepath.Dir(path), "calm.toml"), calm, 0o644)
		_ = os.WriteFile(path, []byte(text), 0o644)
		f, err := Read(path)
		if err == nil {
			_, err = f.Draw(1)
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, wanted one line with %q", text, err, want)
		}
	}
}

// Recorded arrivals take the place of drawn ones.
func TestRecordedArrivals(t *testing.T) {
	csv := filepath.Join(t.TempDir(), "day.csv")
	rows := "at_ms,account,plan,class,units,true_units,work_ms\n" +
		"250.5,00000000b4d65521,basic,rate-lookup,2,3,40\n100,0000000000000007,carrier,charge-post,1,1,12.5\n"
	if err := os.WriteFile(csv, []byte(rows), 0o644); err != nil {
		t.Fatal(err)
	}
	f, err := Read(dir+"calm.toml", `clients.arrivals = "`+csv+`"`)
	if err != nil {
		t.Fatal(err)
	}
	d, err := f.Draw(1)
	if err != nil {
		t.Fatal(err)
	}
	if len(d.Arrivals) != 2 || d.Arrivals[0].At.Milliseconds() != 100 || d.Arrivals[1].True != 3 ||
		d.Customers[d.Arrivals[1].Customer].ID != 0xb4d65521 {
		t.Errorf("read %+v", d.Arrivals)
	}
	_ = os.WriteFile(csv, []byte(rows+"1,zz,basic,rate-lookup,1,1,1\n"), 0o644)
	if _, err := f.Draw(1); err == nil || !strings.Contains(err.Error(), "line 4") {
		t.Errorf("a bad account: %v", err)
	}
}

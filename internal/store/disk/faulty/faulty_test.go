package faulty

import (
	"flag"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloestile/internal/store/disk"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// holds gives the files of a folder by their names.
func holds(t require.TestingT, dir string) map[string]string {
	all := map[string]string{}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		raw, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		all[e.Name()] = string(raw)
	}
	return all
}

// After any steps, by several processes, a loss of power leaves what the disk held at the last honest
// sync, or at one before it where the disk comes back that much older.
func TestLossLeavesWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, err := os.MkdirTemp("", "lying")
		require.NoError(t, err)
		defer func() { _ = os.RemoveAll(root) }()
		dir, drive := filepath.Join(root, "data"), filepath.Join(root, "drive")
		require.NoError(t, os.Mkdir(dir, 0o700))
		d, err := New(disk.Local{}, drive)
		require.NoError(t, err)
		name := func() string {
			return filepath.Join(dir, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
		}
		bytes := func() []byte { return []byte(rapid.StringN(1, 9, 9).Draw(t, "bytes")) }
		states := []map[string]string{holds(t, dir)} // at each honest sync
		var open disk.File
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				flag := rapid.SampledFrom([]int{os.O_RDWR | os.O_CREATE, os.O_RDWR | os.O_CREATE | os.O_TRUNC, os.O_RDWR | os.O_APPEND}).Draw(t, "flag")
				if f, err := d.OpenFile(name(), flag); err == nil {
					open = f
				}
			case 2, 3:
				if open != nil {
					_, err := open.Write(bytes())
					require.NoError(t, err)
				}
			case 4:
				if f, ok := open.(*file); ok && !f.appends {
					_, err := open.WriteAt(bytes(), rapid.Int64Range(0, 20).Draw(t, "at"))
					require.NoError(t, err)
				}
			case 5:
				if open != nil {
					require.NoError(t, open.Truncate(rapid.Int64Range(0, 20).Draw(t, "size")))
				}
			case 6:
				_ = d.Rename(name(), name())
			case 7:
				_ = d.Remove(name())
			case 8:
				lies := rapid.Bool().Draw(t, "lies")
				require.NoError(t, SetFaults(drive, Faults{LostFsyncs: lies}))
				require.NoError(t, d.SyncDir(dir))
				if !lies {
					states = append(states, holds(t, dir))
				}
			case 9: // another process
				open = nil
				d, err = New(disk.Local{}, drive)
				require.NoError(t, err)
			}
		}
		back := rapid.IntRange(0, len(states)-1).Draw(t, "back")
		_, err = SimulatePowerLoss(drive, PowerLoss{RevertedSyncs: back})
		require.NoError(t, err)
		require.Equal(t, states[len(states)-1-back], holds(t, dir))
		steps, err := SimulatePowerLoss(drive, PowerLoss{})
		require.NoError(t, err)
		require.Zero(t, steps, "what was lost is lost twice")
	})
}

// pair is a disk that is driven, with one file of ten bytes on it.
func pair(t *testing.T) (d *FS, drive, name string) {
	drive, name = t.TempDir(), filepath.Join(t.TempDir(), "f")
	d, err := New(disk.Local{}, drive)
	require.NoError(t, err)
	require.NoError(t, disk.WriteFile(d, name, []byte("0123456789")))
	return d, drive, name
}

// A torn write is half there, also where its file has another name by then; one that an honest sync
// followed is not torn.
func TestTornWrite(t *testing.T) {
	_, drive, name := pair(t)
	steps, err := SimulatePowerLoss(drive, PowerLoss{TornWrite: true})
	require.NoError(t, err)
	require.Zero(t, steps)
	d, err := New(disk.Local{}, drive)
	require.NoError(t, err)
	require.NoError(t, SetFaults(drive, Faults{LostFsyncs: true}))
	require.NoError(t, disk.WriteFile(d, name, []byte("abcdefgh")))
	_, err = SimulatePowerLoss(drive, PowerLoss{TornWrite: true})
	require.NoError(t, err)
	require.Equal(t, map[string]string{"f": "abcd"}, holds(t, filepath.Dir(name)))

	d, err = New(disk.Local{}, drive)
	require.NoError(t, err)
	f, err := d.OpenFile(name, os.O_RDWR)
	require.NoError(t, err)
	_, err = f.WriteAt([]byte("WXYZ"), 2)
	require.NoError(t, err)
	_, err = SimulatePowerLoss(drive, PowerLoss{TornWrite: true})
	require.NoError(t, err)
	require.Equal(t, map[string]string{"f": "abWX"}, holds(t, filepath.Dir(name)))
}

func TestDiskThatRefuses(t *testing.T) {
	d, drive, name := pair(t)
	open, err := d.OpenFile(name, os.O_RDWR|os.O_APPEND)
	require.NoError(t, err)
	for _, x := range []struct {
		faults Faults
		want   syscall.Errno
		holds  string
	}{
		{Faults{Full: true}, syscall.ENOSPC, "0123456789ab"},
		{Faults{ReadOnly: true}, syscall.EROFS, "0123456789ab"},
		{Faults{ErrorFraction: 1}, syscall.EIO, "0123456789ab"},
		{Faults{}, 0, "0123456789ababcd"},
	} {
		require.NoError(t, SetFaults(drive, x.faults))
		_, err := open.Write([]byte("abcd"))
		whole := disk.WriteFile(d, name+"2", []byte("whole"))
		if x.want == 0 {
			require.NoError(t, err)
			require.NoError(t, whole)
		} else {
			var of *fs.PathError
			require.ErrorAs(t, err, &of)
			require.ErrorIs(t, err, x.want)
			require.ErrorIs(t, whole, x.want)
		}
		raw, err := os.ReadFile(name)
		require.NoError(t, err)
		require.Equal(t, x.holds, string(raw))
	}
}

// Of reads of a disk that turns bits each has one turned, and the disk itself holds what was written.
func TestTurnedBits(t *testing.T) {
	d, drive, name := pair(t)
	require.NoError(t, SetFaults(drive, Faults{BitRotFraction: 1, Seed: 3}))
	f, err := d.OpenFile(name, os.O_RDONLY)
	require.NoError(t, err)
	b := make([]byte, 10)
	_, err = f.ReadAt(b, 0)
	require.NoError(t, err)
	turned := 0
	for i, c := range []byte("0123456789") {
		for x := b[i] ^ c; x != 0; x &= x - 1 {
			turned++
		}
	}
	require.Equal(t, 1, turned)
	require.Equal(t, "0123456789", holds(t, filepath.Dir(name))["f"])
}

// A step on a disk that stands still ends when the disk goes on, and not before.
func TestStalledDisk(t *testing.T) {
	d, drive, name := pair(t)
	require.NoError(t, SetFaults(drive, Faults{Stalled: true}))
	ended := make(chan error, 1)
	go func() { ended <- disk.WriteFile(d, name, []byte("late")) }()
	select {
	case err := <-ended:
		t.Fatalf("it ended while the disk stood still: %v", err)
	case <-time.After(20 * look):
	}
	require.Equal(t, "0123456789", holds(t, filepath.Dir(name))["f"])
	require.NoError(t, SetFaults(drive, Faults{}))
	require.NoError(t, <-ended)
	require.Equal(t, map[string]string{"f": "late"}, holds(t, filepath.Dir(name)))
}

// However long a disk lies, the notes stay within their bound, and what is oldest counts as come to it.
func TestNotesAreBounded(t *testing.T) {
	d, drive, name := pair(t)
	require.NoError(t, SetFaults(drive, Faults{LostFsyncs: true}))
	rng := rand.New(rand.NewPCG(1, 0))
	for range 1500 {
		require.NoError(t, disk.WriteFile(d, name, slices.Repeat([]byte{byte(rng.Uint32())}, 1000)))
		require.LessOrEqual(t, d.journal.steps, stepsMost)
	}
	entries, err := os.ReadDir(drive)
	require.NoError(t, err)
	require.LessOrEqual(t, len(entries), stepsMost/3+3)
	steps, err := SimulatePowerLoss(drive, PowerLoss{})
	require.NoError(t, err)
	require.Greater(t, steps, stepsMost/3)
	require.Len(t, holds(t, filepath.Dir(name))["f"], 1000)
}

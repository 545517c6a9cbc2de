package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed"
	"sloestile/internal/testbed/proc"
	"sloestile/internal/testbed/scale"
)

var folder string

func TestMain(m *testing.M) {
	proc.ReapIfAsked()
	var err error
	if folder, err = os.MkdirTemp("", "process"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// built builds the program once, beside what was built to be deployed.
var built = sync.OnceValues(func() (*testbed.Deploy, error) {
	bin := filepath.Join(folder, "edgenode")
	out, err := exec.Command("go", "build", "-o", bin, "sloestile/cmd/edgenode").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return &testbed.Deploy{Root: folder, Run: "exec " + bin}, err
})

// shortSpans are for tests, in which no figure counts.
var shortSpans = spans{warm: 200 * time.Millisecond, load: time.Second, rest: 100 * time.Millisecond, idle: 300 * time.Millisecond,
	direct: 300 * time.Millisecond, change: 600 * time.Millisecond}

// short gives surroundings of a short point with the program as it is now.
func short(t *testing.T) *bench {
	t.Helper()
	deploy, err := built()
	require.NoError(t, err)
	b, err := newBench(deploy, shortSpans)
	require.NoError(t, err)
	t.Cleanup(b.close)
	return b
}

// inTime passes over a machine too busy for the generator: what was read has no use as a figure, and
// is there all the same.
func inTime(t *testing.T, err error) {
	t.Helper()
	if late, ok := errors.AsType[*scale.LateError](err); ok {
		t.Log(late)
		return
	}
	require.NoError(t, err)
}

// A point gives a reading of each cost of its sweep, and what a process costs is not nothing.
func TestPointReadsEachCost(t *testing.T) {
	b := short(t)
	p, err := b.onePoint(t.Context(), 40, 1)
	require.NoError(t, err)
	assert.Positive(t, p.started)
	readings, err := p.requests(t.Context(), "x", 50)
	inTime(t, err)
	values := map[string]float64{}
	for _, r := range readings {
		values[r.Cost] = r.Value
	}
	costs := requestCosts("x", 0)
	require.Len(t, values, len(costs))
	for _, c := range costs {
		assert.Contains(t, values, c.Name)
	}
	assert.Greater(t, values["x/request-cpu"], 1.0, "us")
	assert.Greater(t, values["x/rss"], float64(4<<20), "bytes")
	assert.Positive(t, values["x/added-p50"])
	_, err = p.changes(t.Context())
	require.NoError(t, err)
	figures, err := p.node.metrics(t.Context())
	require.NoError(t, err)
	assert.Equal(t, 40.0, figures["node_hosts_listed"], "the last of the changes found each server listed")
}

// A node that uses a subset takes a list of over 4 MB from discovery, keeps to its servers, and a
// change of the list changes what it knows.
func TestSubsetOfALongList(t *testing.T) {
	const listedServers, used = 40_000, 60
	b := short(t)
	s, err := b.serveBackends()
	require.NoError(t, err)
	targets := listed(s, listedServers)
	raw, err := json.Marshal(targets)
	require.NoError(t, err)
	require.Greater(t, len(raw), 4<<20, "bytes")
	n, err := b.start(nodeSpec{group: nodesFor(listedServers), targets: targets, unlisted: true,
		fleet: &fleetFile{Subset: &subsetSection{Servers: used}}})
	require.NoError(t, err)
	c := b.newClients(s, someTenants(tenantsOne, 1, 1), 1)
	_, err = n.serving(t.Context(), c)
	require.NoError(t, err)
	figures, err := n.metrics(t.Context())
	require.NoError(t, err)
	assert.Equal(t, float64(listedServers), figures["node_subset_listed"])
	assert.Equal(t, float64(used), figures["node_subset_chosen"])
	assert.Equal(t, float64(used), figures["node_hosts_listed"], "what the control module knows")
	gone := targets[0]
	gone.State = "removed"
	n.agent.Put(0, gone)
	require.Eventually(t, func() bool {
		figures, err := n.metrics(t.Context())
		return err == nil && figures["node_subset_listed"] == listedServers-1
	}, startWithin, settleLook)
}

// A node that can't start is told with the last line of its log.
func TestStartErrorNamesTheLog(t *testing.T) {
	b := short(t)
	b.deploy = &testbed.Deploy{Root: folder, Run: "echo no such program; exit 3"}
	_, err := b.onePoint(t.Context(), 4, 1)
	var start *StartError
	require.ErrorAs(t, err, &start)
	assert.Equal(t, "no such program", start.Log)
}

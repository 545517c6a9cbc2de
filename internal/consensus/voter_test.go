package consensus

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sloestile/internal/store/disk"
)

func TestMain(m *testing.M) {
	if os.Getenv("COUNCIL_LOG") == "" {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	goleak.VerifyTestMain(m)
}

// adder is a state machine whose state is the sum of its commands.
type adder struct {
	mu  sync.Mutex
	sum uint64
}

func (a *adder) Apply(_ uint64, command []byte) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sum += binary.BigEndian.Uint64(command)
	return a.sum
}

func (a *adder) Snapshot() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, a.sum), nil
}

func (a *adder) Restore(state []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sum = 0; state != nil {
		a.sum = binary.BigEndian.Uint64(state)
	}
	return nil
}

// testVoter is a voter that can be stopped and started again with the same directory.
type testVoter struct {
	*Voter
	sum  *adder
	dir  string
	stop context.CancelFunc
	done chan struct{}
}

// testGroup is a group of voters in one process.
type testGroup struct {
	t      *testing.T
	peers  []Peer
	voters []*testVoter
}

func newTestGroup(t *testing.T, n int) *testGroup {
	g := &testGroup{t: t}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g.peers = append(g.peers, Peer{fmt.Sprintf("n%d", i), l.Addr().String()})
		_ = l.Close()
	}
	dir := t.TempDir()
	for i := range n {
		g.voters = append(g.voters, &testVoter{dir: filepath.Join(dir, g.peers[i].Name)})
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.voters {
			g.stop(i)
		}
	})
	return g
}

func (g *testGroup) start(i int) {
	o := g.voters[i]
	o.sum = &adder{}
	var err error
	o.Voter, err = New(Config{Label: "test", Name: g.peers[i].Name, Voters: g.peers, Dir: o.dir, Disk: disk.Local{},
		StateMachines: map[byte]StateMachine{'a': o.sum}})
	require.NoError(g.t, err)
	ctx, stop := context.WithCancel(context.Background())
	o.stop, o.done = stop, make(chan struct{})
	go func() { o.Run(ctx); close(o.done) }()
}

func (g *testGroup) stop(i int) {
	g.voters[i].stop()
	<-g.voters[i].done
}

// propose proposes a number at the leader, once there is one, and returns the new sum and the index of the leader.
func (g *testGroup) propose(n uint64) (sum uint64, leader int) {
	g.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for i, o := range g.voters {
			got, err := o.Propose('a', binary.BigEndian.AppendUint64(nil, n), time.Second)
			if err == nil {
				return got.(uint64), i
			}
		}
	}
	for _, o := range g.voters {
		g.t.Logf("%+v", o.Status())
	}
	g.t.Fatal("no proposal was committed within 20 seconds")
	return 0, 0
}

// waitUntilVoting waits until a voter is in PhaseVoting.
func (g *testGroup) waitUntilVoting(i int) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return g.voters[i].Status().Phase == PhaseVoting }, 20*time.Second, 20*time.Millisecond, "%+v", g.voters[i].Status())
}

// Committed commands survive the loss of the leader, a restart of all voters, and the loss of one voter's disk. The
// voter with the empty disk must be admitted with a new identity and get the log from the others; it must not bootstrap
// a group of its own.
func TestCommittedCommandsSurviveRestartsAndDiskLoss(t *testing.T) {
	g := newTestGroup(t, 3)
	sum, leader := g.propose(1)
	require.EqualValues(t, 1, sum)
	g.stop(leader)
	sum, _ = g.propose(2)
	require.EqualValues(t, 3, sum)
	g.start(leader)
	g.waitUntilVoting(leader)
	for i := range 3 {
		g.stop(i)
	}
	for i := range 3 {
		g.start(i)
	}
	sum, leader = g.propose(4)
	require.EqualValues(t, 7, sum)
	oldIdentity := g.voters[leader].Status().Identity
	g.stop(leader)
	require.NoError(t, os.RemoveAll(g.voters[leader].dir))
	g.start(leader)
	g.waitUntilVoting(leader)
	require.NotEqual(t, oldIdentity, g.voters[leader].Status().Identity)
	sum, _ = g.propose(8)
	require.EqualValues(t, 15, sum)
	require.Eventually(t, func() bool { s, _ := g.voters[leader].sum.Snapshot(); return binary.BigEndian.Uint64(s) == 15 }, 5*time.Second, 10*time.Millisecond)
	require.Len(t, g.voters[leader].Status().Voters, 3)
}

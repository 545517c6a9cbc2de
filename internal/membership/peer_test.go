package membership

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/faultlink"
)

// testTimeout is the maximum time that a test waits for a condition.
const testTimeout = 60 * time.Second

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// start starts a member. An empty label or bind address gets a default.
func start(t *testing.T, cfg Config) *Peers {
	t.Helper()
	if cfg.Label == "" {
		cfg.Label = "test"
	}
	if cfg.Bind == "" {
		cfg.Bind = "127.0.0.1:0"
	}
	p, err := Start(cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// waitFor waits until the membership has reached a state. memberlist's timers determine how long that takes.
func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	require.Eventually(t, reached, testTimeout, 20*time.Millisecond, "timed out waiting for %s", what)
}

// hasLive returns a condition: p sees n other live members.
func hasLive(p *Peers, n int) func() bool {
	return func() bool { return p.Counts.Live.Load() == int64(n) }
}

// Nodes join through one seed. A node that announces its leave counts as left, not as dead; one that crashes is
// detected as dead; and one that rejoins under its old name replaces its dead predecessor.
func TestJoinLeaveDeathAndRejoin(t *testing.T) {
	t.Parallel()
	var all []*Peers
	for i := range 4 {
		cfg := Config{Name: fmt.Sprintf("n%d", i), Zone: "hall-a", Region: "gulf", Seed: uint64(i), OnState: func([]byte) {}}
		if i > 0 {
			cfg.Seeds = []string{all[0].Address()}
		}
		all = append(all, start(t, cfg))
	}
	for _, p := range all {
		waitFor(t, "each node to see the three others", hasLive(p, 3))
	}
	members, epoch := all[1].Live()
	if m := members[0]; m.Name != "n0" || m.Zone != "hall-a" || m.Region != "gulf" || m.MetaVersion != MetaVersion || m.Incarnation == 0 {
		t.Errorf("n1 sees n0 as %+v", m)
	}
	if err := errors.Join(all[3].AnnounceLeave(), all[3].Leave()); err != nil {
		t.Error(err)
	}
	waitFor(t, "a counted leave", func() bool { return all[0].Counts.Leaves.Load() == 1 && all[1].Counts.Leaves.Load() == 1 })
	address := all[2].Address()
	_ = all[2].Close()
	waitFor(t, "a counted death", func() bool { return all[0].Counts.Deaths.Load() == 1 && all[1].Counts.Deaths.Load() == 1 })
	rejoined := start(t, Config{Name: "n2", Zone: "hall-b", Bind: address, Seeds: []string{all[0].Address()}})
	defer func() { _ = rejoined.Close() }()
	for _, p := range all[:2] {
		waitFor(t, "n2 to rejoin", func() bool {
			m, _ := p.Live()
			return len(m) == 2 && m[1].Name == "n2" && m[1].Zone == "hall-b"
		})
	}
	if _, now := all[1].Live(); now <= epoch {
		t.Errorf("epoch is %d, not above the earlier %d", now, epoch)
	}
	_ = all[0].Close()
	_ = all[1].Close()
}

// Traffic that is not of the own fleet does not change the membership: another label, corrupt packets, silent streams.
func TestForeignTrafficIsIgnored(t *testing.T) {
	t.Parallel()
	a := start(t, Config{Name: "a"})
	defer func() { _ = a.Close() }()
	foreign := start(t, Config{Name: "b", Label: "another", Seeds: []string{a.Address()}})
	defer func() { _ = foreign.Close() }()
	c, err := net.Dial("udp", a.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	for _, text := range []string{"", "\x00", "\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n"} {
		_, _ = c.Write([]byte(text))
	}
	waitFor(t, "corrupt packets to be counted", func() bool { return a.Counts.Corrupt.Load() >= 2 })
	s, err := net.Dial("tcp", a.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	from := time.Now()
	_ = s.SetReadDeadline(from.Add(testTimeout))
	if _, err := s.Read(make([]byte, 1)); err == nil || time.Since(from) > streamTimeout+time.Second {
		t.Errorf("a silent stream was closed after %v: %v", time.Since(from), err)
	}
	if n := a.Counts.Live.Load(); n != 0 {
		t.Errorf("%d members of other fleets are live", n)
	}
}

// Two nodes on a link that drops all packets declare each other dead, and rejoin when the link is restored, even after
// they have long been dead to each other.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	addresses := [2]string{freeAddress(t), freeAddress(t)}
	links := [2]*faultlink.Path{faultlink.NewPath(0, 1, 0), faultlink.NewPath(1, 0, 0)}
	var all [2]*Peers
	for i := range all {
		f, err := links[i].Forward("127.0.0.1:0", addresses[1-i], nil)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		all[i] = start(t, Config{Name: fmt.Sprintf("n%d", i), Bind: addresses[i], Seeds: []string{addresses[1-i]},
			DialAddresses: map[string]string{addresses[1-i]: f.Address()}, Seed: uint64(i), OnState: func([]byte) {}})
		defer func() { _ = all[i].Close() }()
	}
	bothHave := func(n int) func() bool { return func() bool { return hasLive(all[0], n)() && hasLive(all[1], n)() } }
	waitFor(t, "both to see each other", bothHave(1))
	for _, p := range links {
		p.Begin(faultlink.Trouble{Drop: true})
	}
	waitFor(t, "both to see no other member", bothHave(0))
	for _, p := range links {
		p.Clear()
	}
	waitFor(t, "both to see each other again", bothHave(1))
}

// memberlist calls NotifyJoin and the like while it holds its own lock, so a call of memberlist while p.mu is held
// could deadlock. Here seedsToJoin waits for p.mu, and then so does the notification of a new member.
func TestNoDeadlockWithMemberlistLock(t *testing.T) {
	t.Parallel()
	a := start(t, Config{Name: "n0", Seed: 1, OnState: func([]byte) {}})
	a.mu.Lock()
	seeds := make(chan []string, 1)
	go func() { seeds <- a.seedsToJoin() }()
	time.Sleep(50 * time.Millisecond) // makes the intended order likely; the test passes with any other one too
	b := start(t, Config{Name: "n1", Seed: 2, Seeds: []string{a.Address()}, OnState: func([]byte) {}})
	time.Sleep(500 * time.Millisecond)
	a.mu.Unlock()
	select {
	case <-seeds:
	case <-time.After(testTimeout / 6):
		t.Fatal("seedsToJoin and memberlist are deadlocked")
	}
	waitFor(t, "the new member", hasLive(a, 1))
	require.NoError(t, errors.Join(a.Close(), b.Close()))
}

// freeAddress returns an address on which nothing listens. Its IP address is derived from the process ID, so that no
// connection of another process takes the port in the meantime.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.250.%d.%d:0", pid>>8&0xff, pid&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

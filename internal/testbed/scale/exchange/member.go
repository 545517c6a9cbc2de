package exchange

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"sloestile/internal/membership"
)

// What internal/membership sets in the library's configuration beside its defaults for one site.
const (
	streamWithin = 3 * time.Second
	reclaimAfter = 5 * time.Second
)

const (
	memberZones   = targetZones
	memberProgram = "v0.32.0" // as long as a released version
	metaIndex     = 7         // key of the index in what a member says of itself
)

// hollowMember is a member of the library's on the mesh.
type hollowMember struct {
	*memberlist.Memberlist
	end   *meshEnd
	known *watcher
	index int
}

// memberConfig is how a hollow member takes part.
type memberConfig struct {
	index    int
	meta     []byte
	pace     paces               // 0 is without probes, or without gossip and exchanges of all states
	delegate memberlist.Delegate // nil is one that gives meta alone
	events   memberlist.EventDelegate
}

// newMember makes a member in the mesh.
func newMember(m *mesh, cfg memberConfig) (*hollowMember, error) {
	end := m.open(cfg.index)
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = memberName(cfg.index), netLabel, end
	c.AdvertiseAddr, c.AdvertisePort = end.address.IP.String(), end.address.Port
	c.EnableCompression, c.TCPTimeout, c.DeadNodeReclaimTime = false, streamWithin, reclaimAfter
	c.Logger = log.New(io.Discard, "", 0)
	known := &watcher{next: cfg.events}
	c.Delegate, c.Events = cfg.delegate, known
	if c.Delegate == nil {
		c.Delegate = metaOnly(cfg.meta)
	}
	cfg.pace.set(c)
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, fmt.Errorf("hollow member %d: %w", cfg.index, err)
	}
	return &hollowMember{list, end, known, cfg.index}, nil
}

// set divides the library's intervals, or switches off what goes by them.
func (p paces) set(c *memberlist.Config) {
	for _, d := range []*time.Duration{&c.ProbeInterval, &c.ProbeTimeout} {
		*d = divided(*d, p.probe)
	}
	for _, d := range []*time.Duration{&c.GossipInterval, &c.PushPullInterval, &c.GossipToTheDeadTime} {
		*d = divided(*d, p.gossip)
	}
}

func divided(d time.Duration, by float64) time.Duration {
	if by == 0 {
		return 0
	}
	return time.Duration(float64(d) / by)
}

// join has a member exchange all states with another.
func (h *hollowMember) join(other *hollowMember) error {
	_, err := h.Join([]string{other.end.address.String()})
	return err
}

// memberName is as long as a platform's names are.
func memberName(index int) string { return fmt.Sprintf("edge-node-%05d", index) }

// metaOnly is a delegate that tells nothing but what a member says of itself.
type metaOnly []byte

func (m metaOnly) NodeMeta(int) []byte             { return m }
func (metaOnly) NotifyMsg([]byte)                  {}
func (metaOnly) GetBroadcasts(int, int) [][]byte   { return nil }
func (metaOnly) LocalState(bool) []byte            { return nil }
func (metaOnly) MergeRemoteState(_ []byte, _ bool) {}

// startPeers begins the program's own membership state, with sockets that nobody uses: what members
// are told of is handed to it by a hollow member.
func startPeers() (*membership.Peers, error) {
	return membership.Start(membership.Config{Label: netLabel, Name: memberName(0), Zone: memberZone(0), Region: memberRegion(0), Program: memberProgram,
		Bind: "127.0.0.1:0", OnState: func([]byte) {}, OnMessage: func([]byte) {}}, slog.New(slog.DiscardHandler))
}

func memberZone(index int) string { return fmt.Sprintf("zone-%02d", index%memberZones) }

func memberRegion(index int) string {
	return fmt.Sprintf("region-%d", index%memberZones%targetRegions)
}

// metaOf gives what the member of an index says of itself: what the program's own membership says, with
// another index.
func metaOf(p *membership.Peers, index int) ([]byte, error) {
	said := make(map[int]any)
	if err := cbor.Unmarshal(p.NodeMeta(memberlist.MetaMaxSize), &said); err != nil {
		return nil, fmt.Errorf("what a member says: %w", err)
	}
	said[metaIndex] = index
	return cbor.Marshal(said)
}

// gather has a member know n members, itself among them, by exchanges with others that know a part each.
// The others are gone after it, but nobody looks whether they are.
func gather(ctx context.Context, m *mesh, root *hollowMember, p *membership.Peers, n int) error {
	width := int(math.Ceil(math.Sqrt(float64(n))))
	for first := 1; first < n; first += width {
		if err := gatherGroup(ctx, m, root, p, first, min(n, first+width)); err != nil {
			return err
		}
	}
	return nil
}

func gatherGroup(ctx context.Context, m *mesh, root *hollowMember, p *membership.Peers, first, end int) error {
	var head *hollowMember
	for i := first; i < end; i++ {
		meta, err := metaOf(p, i)
		if err != nil {
			return err
		}
		h, err := newMember(m, memberConfig{index: i, meta: meta})
		if err != nil {
			return err
		}
		defer func() { _ = h.Shutdown() }()
		if head == nil {
			head = h
			continue
		}
		if err := h.join(head); err != nil {
			return err
		}
	}
	// The side that is joined merges after it has answered.
	if err := head.known.wait(ctx, end-first); err != nil {
		return err
	}
	if err := head.join(root); err != nil {
		return err
	}
	return root.known.wait(ctx, end)
}

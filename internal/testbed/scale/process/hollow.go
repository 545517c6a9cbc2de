package process

import (
	"fmt"
	"log/slog"
	"sync"
	"syscall"

	"sloestile/internal/membership"
)

const (
	membersMost   = 1024 // that internal/membership remembers beside itself
	descriptorsOf = 3    // of a hollow member: a datagram socket, a listener, a stream at times
	descriptorsUs = 400  // of all else in this process
	placesMost    = 8    // members that something is done with at once

	// hollowProgram is the version that hollow members tell, as long as a real program's commit.
	hollowProgram = "hollow-nodes"
)

// hollow is the members of the real node's fleet that run in this process: the project's own
// membership on loopback sockets, without the rest of a node.
type hollow struct{ members []*membership.Peers }

// checkMembers tells whether this process can hold so many hollow members. Its error is a
// CapacityError.
func checkMembers(size int) error {
	if size > membersMost {
		return &CapacityError{What: "members, as internal/membership remembers", Want: size, Have: membersMost}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if need := size*descriptorsOf + descriptorsUs; uint64(need) > limit.Cur {
		return &CapacityError{What: "descriptors", Want: need, Have: int(limit.Cur)}
	}
	return nil
}

// startHollow starts members that join by the first of them. Index 0 is left to the real node.
func (b *bench) startHollow(size int, seed uint64) (*hollow, error) {
	if err := checkMembers(size); err != nil {
		return nil, err
	}
	h := &hollow{}
	b.atEnd(h.close)
	for i := range size {
		p, err := membership.Start(membership.Config{Label: peerLabel, Name: fmt.Sprintf("hollow-%d", i+1), Index: i + 1,
			Zone: zoneNames[i%len(zoneNames)], Region: fmt.Sprintf("region-%d", i%len(zoneNames)), Program: hollowProgram, Bind: b.address(hostsMembers, i, portPeer),
			Seeds: []string{b.hollowSeed()}, Seed: seed + uint64(i), OnState: func([]byte) {}}, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		h.members = append(h.members, p)
	}
	return h, nil
}

// hollowSeed is the address of the member that all join by.
func (b *bench) hollowSeed() string { return b.address(hostsMembers, 0, portPeer) }

func (h *hollow) close() {
	_ = each(h.members, (*membership.Peers).Close)
}

// meetFirst has each member exchange all states with the first, which knows all: the gossip of so many
// joins alone takes long.
func (h *hollow) meetFirst() error {
	return each(h.members[1:], func(p *membership.Peers) error { return p.Introduce(1) })
}

// each does something with all members, a few at a time, and gives one of the errors.
func each(members []*membership.Peers, do func(*membership.Peers) error) error {
	var failed error
	var mu sync.Mutex
	var working sync.WaitGroup
	places := make(chan struct{}, placesMost)
	for _, p := range members {
		places <- struct{}{}
		working.Go(func() {
			defer func() { <-places }()
			if err := do(p); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = err
			}
		})
	}
	working.Wait()
	return failed
}

// known is the fewest other members that one of them knows.
func (h *hollow) known() int {
	least := len(h.members)
	for _, p := range h.members {
		least = min(least, int(p.Counts.Live.Load()))
	}
	return least
}

// deaths is how many members they have found dead, though none has ended.
func (h *hollow) deaths() (sum int64) {
	for _, p := range h.members {
		sum += p.Counts.Deaths.Load()
	}
	return sum
}

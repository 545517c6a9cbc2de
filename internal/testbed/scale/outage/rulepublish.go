package outage

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"sloestile/fleet/rules"
)

// activateAgain is the time until a publisher tries an activation again that was refused.
const activateAgain = 500 * time.Millisecond

// errNoQuorum is that a simulation cut the leader off from most voters, which none of the events plans.
var errNoQuorum = errors.New("the leader reaches no quorum")

// round draws the time until most voters have answered the leader; with a write, until they have it
// on disk. Rounds go over TCP, which makes up for losses.
func (s *ruleFleet) round(write bool) (took time.Duration, ok bool) {
	var all []time.Duration
	for v := range min(voters, s.size.nodes) {
		if !s.reachable(s.leader, v) {
			continue
		}
		t := time.Duration(0)
		if v != s.leader {
			t = s.wire(s.leader, v) + s.wire(v, s.leader)
		}
		if write {
			t += s.write()
		}
		all = append(all, t)
	}
	if len(all) <= voters/2 {
		return 0, false
	}
	slices.Sort(all)
	return all[voters/2], true
}

// propose has the voters agree on a command, and then goes on with its outcome.
func (s *ruleFleet) propose(c rules.Command, then func(rules.Result, error)) {
	if s.leader < 0 {
		s.after(activateAgain, func() { s.propose(c, then) })
		return
	}
	term := s.term
	took, ok := s.round(true)
	if !ok {
		s.fail(errNoQuorum)
		return
	}
	s.after(took, func() {
		if s.term != term || s.leader < 0 {
			s.propose(c, then) // its publisher tries again at the next leader
			return
		}
		result, err := s.registry.ApplyCommand(c)
		if result.StateChanged {
			s.activated()
			s.nodes[s.leader].Observe(s.clock(s.leader), s.registry.State())
		}
		then(result, err)
		s.step(s.leader)
	})
}

// activated notes when a version became the active one.
func (s *ruleFleet) activated() {
	number := s.registry.State().Active.Number
	if number == s.newest {
		return
	}
	if v := s.versions[s.newest]; v != nil {
		v.passed = s.Now
	}
	s.newest = number
	s.versions[number].active = s.Now
}

// lead does a leader's own steps, as internal/consensus/learner does.
func (s *ruleFleet) lead(i int) {
	n, term := &s.nodes[i], s.term
	if round, ok := n.BeginConfirmation(); ok {
		if took, ok := s.round(false); ok {
			s.after(took, func() {
				if s.term == term && s.leader == i {
					n.LeadershipConfirmed(s.clock(i), round)
					s.step(i)
				}
			})
		}
	}
	if s.busy {
		return
	}
	var c rules.Command
	if commit, ok := n.CommitReady(s.clock(i)); ok {
		c.Commit = &commit
	} else if number, _, ok := s.registry.NextActivation(); ok {
		c.Prepare = &rules.Prepare{Number: number}
	} else {
		return
	}
	s.busy = true
	s.propose(c, func(rules.Result, error) {
		if s.term == term {
			s.busy = false
		}
	})
}

// publish publishes a version, and goes on with its number.
func (s *ruleFleet) publish(then func(number uint64)) {
	began := s.Now
	parent := s.registry.Newest()
	text := fmt.Appendf(nil, "# %d at %d", parent+1, began)
	s.propose(rules.Command{Publish: &rules.Publish{Parent: parent, Text: text}}, func(r rules.Result, err error) {
		var stale *rules.StaleVersionError
		if errors.As(err, &stale) { // another was published at the same time
			s.publish(then)
			return
		}
		s.fail(err)
		s.versions[r.Number] = &version{published: began}
		then(r.Number)
	})
}

// activate has a version activated, and tries again while too many activations wait. One that is
// refused for good counts in refused: its changes come into force with a later version.
func (s *ruleFleet) activate(number uint64) {
	c := rules.Command{Activate: &rules.Activate{Number: number, Kind: rules.Overlap}}
	s.propose(c, func(_ rules.Result, err error) {
		var many *rules.TooLargeError
		var order *rules.OrderError
		var stale *rules.StaleVersionError
		var gone *rules.NoVersionError
		switch {
		case errors.As(err, &many):
			s.after(activateAgain, func() { s.activate(number) })
		case errors.As(err, &order), errors.As(err, &stale), errors.As(err, &gone):
			s.refused++
		default:
			s.fail(err)
		}
	})
}

func (s *ruleFleet) fail(err error) {
	if err != nil && s.err == nil {
		s.err = err
	}
}

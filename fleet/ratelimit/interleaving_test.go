package ratelimit

import "testing"

// TestConsumptionIsAppliedOnceInEveryInterleaving guards against consumption that is applied twice. It explores all
// sequences of eight steps in which messages of three nodes are delivered out of order, lost, duplicated or resent. As
// a check of the search itself, an injected fault that applies duplicates must be found.
func TestConsumptionIsAppliedOnceInEveryInterleaving(t *testing.T) {
	for _, withFault := range []bool{false, true} {
		states, duplicated := exploreInterleavings(t, 8, withFault)
		if withFault != duplicated {
			t.Errorf("injected fault %v: consumption applied twice %v in %d states", withFault, duplicated, states)
		}
		t.Logf("injected fault %v: %d states", withFault, states)
	}
}

// exploreInterleavings runs all sequences of choices, each from the initial state. It returns the number of states, and
// whether consumption was applied twice in one of them.
func exploreInterleavings(t *testing.T, depth int, withFault bool) (states int, duplicated bool) {
	const consumed = 1 + 2 + 4
	var choices []int
	for {
		f := newFleet(3)
		owner := f.owner()
		f.consume((owner+1)%3, 1)
		f.consume((owner+2)%3, 2)
		f.run(t, batchInterval, deliverOnce) // both have been sent
		f.consume((owner+1)%3, 4)
		width := make([]int, depth)
		for d := range depth {
			// Deliver, duplicate or lose the first or the last message, or let time pass.
			options := 1
			if len(f.inFlight) > 0 {
				options += 3
			}
			if len(f.inFlight) > 1 {
				options += 3
			}
			if width[d] = options; d >= len(choices) {
				choices = append(choices, 0)
			}
			applyChoice(t, f, choices[d], withFault)
			states++
			if f.consumed(owner) > consumed {
				return states, true
			}
		}
		// Continue with the next sequence: advance the last choice that has an alternative.
		d := depth - 1
		for ; d >= 0 && choices[d]+1 >= width[d]; d-- {
		}
		if d < 0 {
			return states, false
		}
		choices = append(choices[:d:d], choices[d]+1)
	}
}

// applyChoice applies choice 0, which lets time pass, 1 to 3, which deliver, duplicate or lose the first message, or 4
// to 6, which do so with the last one.
func applyChoice(t *testing.T, f *fleet, choice int, withFault bool) {
	if choice == 0 {
		f.now += resendInterval / 2
		f.flush()
		return
	}
	i := 0
	if choice > 3 {
		i, choice = len(f.inFlight)-1, choice-3
	}
	message := f.inFlight[i]
	if choice != 2 { // a duplicated message stays in flight
		f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
	}
	if choice != 3 {
		if withFault {
			for _, l := range f.limiters[message.To].links {
				l.appliedSequence = 0 // the injected fault: the receiver applies duplicates
			}
		}
		f.deliver(t, message)
	}
}

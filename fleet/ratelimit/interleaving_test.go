package ratelimit

import "testing"

// Every interleaving of three nodes' messages to a depth, each lost, doubled or taken out of turn,
// with a pause between: nothing is counted twice, and a double count that is planted is found.
func TestEveryInterleaving(t *testing.T) {
	for _, withFault := range []bool{false, true} {
		states, duplicated := exploreInterleavings(t, 8, withFault)
		if withFault != duplicated {
			t.Errorf("planted %v: counted twice %v in %d states", withFault, duplicated, states)
		}
		t.Logf("planted %v: %d states", withFault, states)
	}
}

// explore plays all sequences of choices, each anew from the start.
func exploreInterleavings(t *testing.T, depth int, withFault bool) (states int, duplicated bool) {
	const consumed = 1 + 2 + 4
	var choices []int
	for {
		f := newFleet(3)
		owner := f.owner()
		f.consume((owner+1)%3, 1)
		f.consume((owner+2)%3, 2)
		f.run(t, batchInterval, deliverOnce) // both are on their way, or there
		f.consume((owner+1)%3, 4)
		width := make([]int, depth)
		for d := range depth {
			// Deliver, double or lose the first or the last message, or let time pass.
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
		// The next sequence: the last choice that has another.
		d := depth - 1
		for ; d >= 0 && choices[d]+1 >= width[d]; d-- {
		}
		if d < 0 {
			return states, false
		}
		choices = append(choices[:d:d], choices[d]+1)
	}
}

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
	if choice != 2 { // a doubled one is still on its way
		f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
	}
	if choice != 3 {
		if withFault {
			for _, l := range f.limiters[message.To].links {
				l.appliedSequence = 0 // forgets what it has counted
			}
		}
		f.deliver(t, message)
	}
}

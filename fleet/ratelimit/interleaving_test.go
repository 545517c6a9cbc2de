package ratelimit

import "testing"

// Every interleaving of three nodes' messages to a depth, each lost, doubled or taken out of turn,
// with a pause between: nothing is counted twice, and a double count that is planted is found.
func TestEveryInterleaving(t *testing.T) {
	for _, planted := range []bool{false, true} {
		states, twice := explore(t, 8, planted)
		if planted != twice {
			t.Errorf("planted %v: counted twice %v in %d states", planted, twice, states)
		}
		t.Logf("planted %v: %d states", planted, states)
	}
}

// explore plays all sequences of choices, each anew from the start.
func explore(t *testing.T, depth int, planted bool) (states int, twice bool) {
	const sent = 1 + 2 + 4
	var choices []int
	for {
		f := newFleet(3)
		owner := f.owner()
		f.send((owner+1)%3, 1)
		f.send((owner+2)%3, 2)
		f.run(t, batchInterval, all) // both are on their way, or there
		f.send((owner+1)%3, 4)
		width := make([]int, depth)
		for d := range depth {
			// Deliver, double or lose the first or the last message, or let time pass.
			options := 1
			if len(f.air) > 0 {
				options += 3
			}
			if len(f.air) > 1 {
				options += 3
			}
			if width[d] = options; d >= len(choices) {
				choices = append(choices, 0)
			}
			choose(t, f, choices[d], planted)
			states++
			if f.taken(owner) > sent {
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

func choose(t *testing.T, f *fleet, choice int, planted bool) {
	if choice == 0 {
		f.now += resendInterval / 2
		f.flush()
		return
	}
	i := 0
	if choice > 3 {
		i, choice = len(f.air)-1, choice-3
	}
	o := f.air[i]
	if choice != 2 { // a doubled one is still on its way
		f.air = append(f.air[:i:i], f.air[i+1:]...)
	}
	if choice != 3 {
		if planted {
			for _, l := range f.x[o.To].links {
				l.appliedSequence = 0 // forgets what it has counted
			}
		}
		f.hear(t, o)
	}
}

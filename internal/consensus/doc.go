// Package consensus is what the voters of a fleet decide together by hashicorp/raft: one log that a majority of them has
// on its disks (raftlog), and state machines that all of them run through it. transport carries what they send each
// other; learner has every node of the fleet act by what was agreed.
//
// A voter whose disk has lost what it acknowledged, or holds something else, takes no part until it was admitted anew.
// With an identity on its disk it first requests reports of the others (rejoin.go). Without one it makes a new identity and is taken in
// by the leader, or founds the group (admission.go).
package consensus

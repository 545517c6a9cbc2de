// Package consensus runs a voter of the fleet's consensus group on hashicorp/raft. A Voter replicates one log to a
// majority of the voters' disks (package raftlog) and applies the committed entries to its state machines. Package
// transport carries the messages between voters, and package learner applies the committed rule versions at every node
// of the fleet.
//
// A voter whose disk has lost or changed state that the voter acknowledged must not vote with that identity again: it
// could vote twice in a term, or elect a leader that lacks committed entries. At each start, a voter with an identity
// on its disk therefore requests reports from the other voters and compares them with its disk (rejoin.go). A voter
// with a new disk, or whose disk has lost state, creates a new identity, and the leader admits it in place of the
// old one; if no voter has any state yet, one of them bootstraps the group (admission.go).
package consensus

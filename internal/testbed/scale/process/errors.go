package process

import (
	"fmt"
	"time"
)

// RefusedError is a load of which the nodes served too little for its costs to mean anything.
type RefusedError struct {
	Served, Sent int
	Last         string // what the last request that was not served got
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("load generator: %d of %d requests served, the last other got %q; see the node's log and lower the rate", e.Served, e.Sent, e.Last)
}

// StartError is an edge node that did not serve, or whose process ended.
type StartError struct {
	Node   string
	Within time.Duration
	Log    string // the last line of its log
	Err    error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("%s: not serving within %v: %v, its log ends %q; start it by hand with the same fleet file", e.Node, e.Within, e.Err, e.Log)
}

func (e *StartError) Unwrap() error { return e.Err }

// SettleError is a membership that was not the same at all members in time.
type SettleError struct {
	Size, Known int // members, and the fewest that some member knows
	Within      time.Duration
}

func (e *SettleError) Error() string {
	return fmt.Sprintf("membership: %d of %d members known at the slowest after %v; measure a smaller size or on a machine with less beside it", e.Known, e.Size, e.Within)
}

// AddressError is a machine on which no block of loopback addresses is free.
type AddressError struct{ First, Last int }

func (e *AddressError) Error() string {
	return fmt.Sprintf("addresses: none of 127.%d.0.0/16 to 127.%d.0.0/16 is free; end other runs of the stand-in platform", e.First, e.Last)
}

// CapacityError is a size that this machine or the program can't hold.
type CapacityError struct {
	What       string
	Want, Have int
}

func (e *CapacityError) Error() string {
	return fmt.Sprintf("size: %d %s wanted, %d are the most; measure a smaller size or raise the limit", e.Want, e.What, e.Have)
}

// DeadMembersError is a membership in which members were found dead though all run: probes went
// unanswered, here or at the real node.
type DeadMembersError struct {
	Dead        int // deaths that any member noted
	Known, Size int // hollow members that the real node knows at the end, and all
}

func (e *DeadMembersError) Error() string {
	return fmt.Sprintf("membership: void: %d deaths noted, %d of %d members known at the end; run less beside it and measure again", e.Dead, e.Known, e.Size)
}

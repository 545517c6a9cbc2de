package membership

import (
	"fmt"

	"sloestile/internal/oneline"
)

// ConfigError is a Config with which a node can't take part.
type ConfigError struct {
	Key string
	Err error
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("peers: %s: %s; mend it in the fleet file or the configuration and start again", e.Key, oneline.Of(e.Err))
}

func (e *ConfigError) Unwrap() error { return e.Err }

// BindError is an address at which others can't reach this node.
type BindError struct {
	Address string
	Err     error
}

func (e *BindError) Error() string {
	return fmt.Sprintf("peers: %s: %s; end what has the port, or give another peers.port", e.Address, oneline.Of(e.Err))
}

func (e *BindError) Unwrap() error { return e.Err }

// StartError is a membership that can't start.
type StartError struct {
	Name, Address string
	Err           error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("peers: node %s at %s: %s; mend name and address, or start without [peers]", e.Name, e.Address, oneline.Of(e.Err))
}

func (e *StartError) Unwrap() error { return e.Err }

// JoinError means that no seed could be joined. Joining is tried again.
type JoinError struct {
	Seeds int
	Err   error // of the first
}

func (e *JoinError) Error() string {
	return fmt.Sprintf("peers: none of %d seeds joined: %s; see that one of peers.seeds runs and can be reached by TCP and UDP", e.Seeds, oneline.Of(e.Err))
}

func (e *JoinError) Unwrap() error { return e.Err }

// LeaveError is a leave that may not have reached the others.
type LeaveError struct {
	Name string
	Err  error
}

func (e *LeaveError) Error() string {
	return fmt.Sprintf("peers: node %s: leaving: %s; do nothing, the others find it dead within seconds", e.Name, oneline.Of(e.Err))
}

func (e *LeaveError) Unwrap() error { return e.Err }

// MemberError is a message to a member that is not there.
type MemberError struct{ Index int }

func (e *MemberError) Error() string {
	return fmt.Sprintf("peers: no member has index %d; see in node_peers and the log whether it runs", e.Index)
}

// TooManyMembersError is a member beyond maxMembers.
type TooManyMembersError struct {
	Member, Address string
	MaxMembers      int
}

func (e *TooManyMembersError) Error() string {
	return fmt.Sprintf("peers: member %s at %s: refused, %d are the most; give fleets that share a network labels of their own", e.Member, e.Address, e.MaxMembers)
}

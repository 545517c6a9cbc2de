package membership

import (
	"fmt"

	"sloestile/internal/oneline"
)

// ConfigError reports an invalid Config.
type ConfigError struct {
	Key string // name of the setting
	Err error
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("peers: %s: %s; correct it in the fleet file or the configuration and start again", e.Key, oneline.Of(e.Err))
}

func (e *ConfigError) Unwrap() error { return e.Err }

// BindError reports that this node can't listen at an address.
type BindError struct {
	Address string
	Err     error
}

func (e *BindError) Error() string {
	return fmt.Sprintf("peers: %s: %s; end the process that uses the port, or set another peers.port", e.Address, oneline.Of(e.Err))
}

func (e *BindError) Unwrap() error { return e.Err }

// StartError reports that a node's membership can't start.
type StartError struct {
	Name, Address string
	Err           error
}

func (e *StartError) Error() string {
	return fmt.Sprintf("peers: node %s at %s: %s; correct name and address, or start without [peers]", e.Name, e.Address, oneline.Of(e.Err))
}

func (e *StartError) Unwrap() error { return e.Err }

// JoinError reports that no seed could be joined. Joining is retried.
type JoinError struct {
	Seeds int   // number of seeds tried
	Err   error // error of the first seed
}

func (e *JoinError) Error() string {
	return fmt.Sprintf("peers: none of %d seeds joined: %s; check that one of peers.seeds runs and can be reached by TCP and UDP", e.Seeds, oneline.Of(e.Err))
}

func (e *JoinError) Unwrap() error { return e.Err }

// LeaveError reports an error while leaving. Other members may not have received the announcement.
type LeaveError struct {
	Name string
	Err  error
}

func (e *LeaveError) Error() string {
	return fmt.Sprintf("peers: node %s: leaving: %s; do nothing, the other members detect its death within seconds", e.Name, oneline.Of(e.Err))
}

func (e *LeaveError) Unwrap() error { return e.Err }

// MemberError reports that no member with an index can be reached.
type MemberError struct{ Index int }

func (e *MemberError) Error() string {
	return fmt.Sprintf("peers: no member has index %d; check in node_peers and the log whether it runs", e.Index)
}

// TooManyMembersError reports a new member that was rejected because the fleet already has MaxMembers.
type TooManyMembersError struct {
	Member, Address string
	MaxMembers      int
}

func (e *TooManyMembersError) Error() string {
	return fmt.Sprintf("peers: member %s at %s: rejected, the maximum is %d members; give fleets that share a network different labels", e.Member, e.Address, e.MaxMembers)
}

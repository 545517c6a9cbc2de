package discovery

import (
	"fmt"
	"net"
)

// maxBootMS is the latest accepted start of a server in ms of Unix time (the year 2255). Later ones overflow
// time.Duration.
const maxBootMS = 9e12

// Update is one message of discovery: a complete update, which lists all servers, or a delta with the changes of one
// revision.
type Update struct {
	Rev     int64    `json:"rev"`     // revision of the list after this message
	All     bool     `json:"all"`     // Targets is the complete list
	Targets []Target `json:"targets"` // nil if the message has no such field

	// NodesPerServer is the mean number of nodes that use each target if Targets are a subset of discovery's list. 0
	// means all nodes.
	NodesPerServer float64 `json:"-"`
}

// Target is one server in discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // see Status
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // start of the server's process in ms of Unix time; 0 if unknown
}

// Status states whether a server is listed and may get new requests.
type Status int

// The statuses of a server.
const (
	Available Status = iota // may get new requests
	Draining                // listed, but must not get new requests
	Removed                 // no longer listed
)

// The known states that discovery sends. Later versions may send others.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// Status returns the status for a target's state. An unknown state counts as Draining, so that no new request is sent
// to the server.
func (t *Target) Status() Status {
	switch t.State {
	case stateUp:
		return Available
	case stateRemoved:
		return Removed
	}
	return Draining
}

// Check returns an error for the first target that makes an update unusable.
func (u *Update) Check() error {
	for i := range u.Targets {
		if err := u.Targets[i].check(); err != nil {
			return fmt.Errorf("rev %d: %w", u.Rev, err)
		}
	}
	return nil
}

func (t *Target) check() error {
	if t.UID == "" {
		return fmt.Errorf("a target has no uid")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.Status() != Removed {
		return fmt.Errorf("target %s: %w", t.UID, err)
	}
	if t.BootMS < 0 || t.BootMS > maxBootMS {
		return fmt.Errorf("target %s: boot_ms: %g is not a valid time", t.UID, t.BootMS)
	}
	return nil
}

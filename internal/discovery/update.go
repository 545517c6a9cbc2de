package discovery

import (
	"fmt"
	"net"
)

// maxBootMS is the latest accepted server start in ms of Unix time (the year 2255); later ones overflow time.Duration.
const maxBootMS = 9e12

// Update is one message of discovery: the whole server list or the changes of one version.
type Update struct {
	Rev     int64    `json:"rev"`     // version of the list after this message
	All     bool     `json:"all"`     // Targets is the whole list
	Targets []Target `json:"targets"` // nil if the message has none

	// NodesPerServer is how many nodes use each target, in the mean, where Targets are a subset of what discovery
	// lists; 0 is all nodes.
	NodesPerServer float64 `json:"-"`
}

// Target is one server as discovery lists it.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"` // host:port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // see Status
	Capacity float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // start of the server's process in ms of Unix time; 0 is not known
}

// Status is what a server may be used for.
type Status int

// The statuses of a server.
const (
	Available Status = iota // takes new requests
	Draining                // listed, but takes no new requests
	Removed                 // not listed any more
)

// The states that discovery sends; there may be others.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// Status reads the state of a target. An unknown state counts as Draining, as no new request may go there.
func (t *Target) Status() Status {
	switch t.State {
	case stateUp:
		return Available
	case stateRemoved:
		return Removed
	}
	return Draining
}

// Check returns the first reason for which an update can't be used.
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
		return fmt.Errorf("target %s: boot_ms: %g is no time", t.UID, t.BootMS)
	}
	return nil
}

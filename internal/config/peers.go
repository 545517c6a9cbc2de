package config

import (
	"errors"
	"fmt"
)

// Peers enables messages between this node and its peers.
type Peers struct {
	Label string // label of the fleet; a node does not join nodes with another label

	// OutlierReports enables reports of servers that are far slower than usual.
	OutlierReports bool `toml:"verdicts"`
	// Port is the TCP and UDP port for peers, on the address where clients connect.
	Port int
	// Seeds are the addresses, host:port, of nodes through which this node joins the fleet.
	Seeds []string
	// SharedLimits enables sharing of the tenants' token buckets between nodes.
	SharedLimits bool `toml:"limits"`
	// DialAddresses maps the address that a peer publishes to the address that this node dials, where they differ.
	DialAddresses map[string]string `toml:"via"`
}

// check returns the first key with an invalid value, and the reason. A nil p is valid.
func (p *Peers) check() (key string, err error) {
	if p == nil {
		return "", nil
	}
	if p.Label == "" {
		return "peers.label", errors.New("it is required")
	}
	if p.Port < 1 || p.Port > 65535 {
		return "peers.port", fmt.Errorf("%d is not a port from 1 to 65535", p.Port)
	}
	for i, s := range p.Seeds {
		if err := checkAddress(s); err != nil {
			return fmt.Sprintf("peers.seeds: %d", i), err
		}
	}
	for published, dialed := range p.DialAddresses {
		if err := errors.Join(checkAddress(published), checkAddress(dialed)); err != nil {
			return "peers.via: " + published, err
		}
	}
	return "", nil
}

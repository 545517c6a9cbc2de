package config

import (
	"errors"
	"fmt"
)

// Peers switches on messages between this node and others.
type Peers struct {
	Label string // of the fleet; nodes with another label are not joined

	// OutlierReports switches on reports of servers that are far slower than usual.
	OutlierReports bool `toml:"verdicts"`
	// Port is the TCP and UDP port, on the address where clients connect.
	Port int
	// Seeds are addresses, host:port, of nodes by which the fleet is joined.
	Seeds []string
	// SharedLimits switches on that the nodes share tenants' token buckets.
	SharedLimits bool `toml:"limits"`
	// DialAddresses maps an address that a node publishes to the one by which this node reaches it, where they differ.
	DialAddresses map[string]string `toml:"via"`
}

// check returns the first key with an invalid value, and why it is invalid.
func (p *Peers) check() (key string, err error) {
	if p == nil {
		return "", nil
	}
	if p.Label == "" {
		return "peers.label", errors.New("there is none")
	}
	if p.Port < 1 || p.Port > 65535 {
		return "peers.port", fmt.Errorf("%d is no port", p.Port)
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

package request

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"sloestile/control"
	"sloestile/internal/config"
)

// The target's figures that the sweeps hold while they change another.
const (
	targetNodes   = 5800
	targetServers = 85000
	targetZones   = 17
	targetRate    = 534 // requests a second of a node
	memoryMB      = 128 // that control may have at a node
	tenantsHeld   = 2000
	quotaUsed     = 41 // as answers tell it: 40%
)

// configFile is what a node of the target is started with, in the form that the program reads. Quotas
// are far above what a tenant sends, so that requests are decided on and then sent.
const configFile = `{"name": "hollow", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
 "limits": {"cores": 1.0, "memory_mb": %d, "sockets": 1024},
 "known": {"rev": 0, "all": true, "targets": []},
 "settings": {"self-index": 0, "group-size": 1, "zone": "z0", "discovery": "pushed",
  "classes": [
   {"name": "rate", "aim": 1000.0, "deadline": 4000.0, "effect": "free", "key-scope": "all",
    "repeat-window": 5000.0, "stream": false, "worth": 3.0, "late-share": 0.2},
   {"name": "charge", "aim": 1000.0, "deadline": 4000.0, "effect": "guarded", "key-scope": "zone",
    "repeat-window": 15000.0, "stream": false, "worth": 5.0, "late-share": 0.0}],
  "tariffs": [
   {"name": "basic", "value-factor": 0.72, "quota-rate": 50.0, "depth": 500.0, "open": 0, "overrun-cost": 0.6},
   {"name": "premium", "value-factor": 1.4, "quota-rate": 500.0, "depth": 5000.0, "open": 0, "overrun-cost": 1.2}],
  "clients": {"marks-retry": true},
  "contract": {"ask-within": 10000.0, "cold": 15000.0, "cold-from": 0.15, "drain-grace": 2000.0, "fall": 2000.0,
   "fall-multiple": 2.5},
  "domain": {"meter-period": 1000.0, "cost-after": true, "units-top": 4},
  "limits": {"connect-timeout": 250.0, "keepalive": 15000.0, "send-cap": 3, "may-cancel": true,
   "max-retry-after": 1000.0, "retry-after": true, "second-copies": false}}}
`

// loaded reads the file as the program does, once.
var loaded = sync.OnceValues(func() (control.Settings, error) {
	dir, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return control.Settings{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "node.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configFile, memoryMB), 0o644); err != nil {
		return control.Settings{}, err
	}
	c, err := config.Load(path)
	return c.Settings, err
})

// Settings gives what the program makes of a node's file, for a group of nodes.
func Settings(group int) (control.Settings, error) {
	s, err := loaded()
	s.FleetSize = max(1, group)
	s.NodeIndex = s.FleetSize / 2
	return s, err
}

// nodesFor is how many nodes share so many servers, as at the target.
func nodesFor(servers int) int {
	return max(1, (servers*targetNodes+targetServers/2)/targetServers)
}

// zone names the zone of a server or a node by its index.
func zone(index, zones int) string { return fmt.Sprintf("z%d", index%zones) }

// members gives a list of servers that are up, in turn over the zones. None started of late.
func members(servers, zones int) []control.Endpoint {
	all := make([]control.Endpoint, servers)
	names := make([]string, zones)
	for i := range names {
		names[i] = zone(i, zones)
	}
	for i := range all {
		all[i] = control.Endpoint{Server: uint32(i + 1), HashKey: uint32(i+1) * 2654435761, Condition: control.Active, Zone: names[i%zones],
			Cell: i % 64, Flavor: "standard", Size: 1}
	}
	return all
}

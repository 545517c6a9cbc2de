package config

import "fmt"

const (
	tenantBytes          = 3200    // upper bound in bytes of the decision module's memory for one tenant
	tenantMemoryFraction = 1.0 / 6 // fraction of the memory limit that all tenants together may use
)

// maxTenants returns how many tenants the decision module may hold under a memory limit in MB. Without a limit it
// returns 0, for which the decision module has a default.
func maxTenants(memoryMB int) int {
	return int(tenantMemoryFraction * float64(memoryMB<<20) / tenantBytes)
}

const (
	maxCores    = 1 << 12
	maxMemoryMB = 1 << 24 // MB
)

// checkLimits returns the key of the first limit outside of its range, and the reason. 0 means that a limit is not set.
func (c *Config) checkLimits() (key string, err error) {
	switch {
	case c.Cores < 0 || c.Cores > maxCores:
		return "limits.cores", fmt.Errorf("%g is not a number of cores", c.Cores)
	case c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB:
		return "limits.memory_mb", fmt.Errorf("%d is not a size in MB", c.MemoryMB)
	case c.MaxSockets < 0:
		return "limits.sockets", fmt.Errorf("%d is not a number of descriptors", c.MaxSockets)
	}
	return "", nil
}

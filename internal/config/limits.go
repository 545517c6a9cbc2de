package config

import "fmt"

const (
	tenantBytes          = 3200    // memory that the decision module uses for a tenant, at most
	tenantMemoryFraction = 1.0 / 6 // of the memory limit that all tenants may use
)

// maxTenants returns how many tenants the decision module may hold under a memory limit.
func maxTenants(memoryMB int) int {
	return int(tenantMemoryFraction * float64(memoryMB<<20) / tenantBytes)
}

const (
	maxCores    = 1 << 12
	maxMemoryMB = 1 << 24 // MB
)

// checkLimits returns the key of the first limit that no machine has. A limit of 0 is not given.
func (c *Config) checkLimits() (key string, err error) {
	switch {
	case c.Cores < 0 || c.Cores > maxCores:
		return "limits.cores", fmt.Errorf("%g is no number of cores", c.Cores)
	case c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB:
		return "limits.memory_mb", fmt.Errorf("%d is no size in MB", c.MemoryMB)
	case c.MaxSockets < 0:
		return "limits.sockets", fmt.Errorf("%d is no number of descriptors", c.MaxSockets)
	}
	return "", nil
}

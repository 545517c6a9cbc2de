package report

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sloestile/internal/testbed/judge"
)

// Each row of the operators' table is found beyond its limit, and no other.
func TestSizesFindsEachRowBeyondItsLimit(t *testing.T) {
	usual := Size{Servers: 200, Served: 0.8, Means: judge.NodeMeans{CPU: time.Second, Memory: 20 << 20, Descriptors: 50, Connections: 100, ListBytes: 50e3}}
	// The limits at 3,200 servers by the page: 1.4 s + 0.116 s; 30 MB + 20.8 MB; 140; 290; 100 kB + 1,664 kB; 0.68.
	at := Size{Servers: 3200, Served: 0.69, Means: judge.NodeMeans{CPU: 1510 * time.Millisecond, Memory: 50.7 * megabyte, Descriptors: 140, Connections: 290, ListBytes: 1763e3}}
	var out bytes.Buffer
	assert.Empty(t, Sizes(&out, usual, at), out.String())
	for name, beyond := range map[string]func(*Size){
		"CPU":                    func(s *Size) { s.Means.CPU = 1520 * time.Millisecond },
		"peak memory":            func(s *Size) { s.Means.Memory = 50.9 * megabyte },
		"descriptors":            func(s *Size) { s.Means.Descriptors = 141 },
		"connections to servers": func(s *Size) { s.Means.Connections = 291 },
		"bytes of lists":         func(s *Size) { s.Means.ListBytes = 1765e3 },
		"served":                 func(s *Size) { s.Served = 0.67 },
	} {
		worse := at
		beyond(&worse)
		assert.Equal(t, []string{name}, Sizes(&out, usual, worse))
	}
}

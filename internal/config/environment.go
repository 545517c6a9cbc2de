package config

import (
	"fmt"
	"net"
	"strconv"
)

// FromEnvironment overrides fields of c with the values of environment variables that lookup returns; "" means that a
// variable is not set. Its error is an *EnvironmentError.
func (c *Config) FromEnvironment(lookup func(string) string) error {
	if v := lookup("TMPDIR"); v != "" {
		c.HandoverDir = v
	}
	for _, a := range []struct {
		name  string
		field *string
	}{{"NODE_LISTEN", &c.Listen}, {"NODE_DISCOVERY", &c.Discovery}, {"NODE_CONSOLE", &c.Console}} {
		if v := lookup(a.name); v != "" {
			*a.field = v
			if _, _, err := net.SplitHostPort(v); err != nil {
				return &EnvironmentError{a.name, err}
			}
		}
	}
	if v := lookup("NODE_SOCKET_FD"); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd <= 2 {
			return &EnvironmentError{"NODE_SOCKET_FD", fmt.Errorf("%q is not a descriptor above 2", v)}
		}
		c.SocketFD = fd
	}
	return nil
}

// Package node is a real edge node: it brings what happens on sockets to the
// decision module and carries out what the module answers. It decides nothing.
package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
	"sloestile/internal/simwire"
	"sloestile/internal/store/disk"
)

// Config is what an edge node is started with.
type Config struct {
	File                    string // that it was read from
	Name, Listen, Discovery string
	Console                 string // where operators call; "" is nowhere
	SocketFD                int    // of the clients' listening socket where it is inherited; 0 is none
	Dir                     string // that processes of this node share; "" is none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   discovery.Update
	Settings                control.Settings
	Keepalive, Connect      time.Duration // of connections to app servers
	Fleet                   *Fleet        // what a fleet file switches on; nil is nothing
	Disk                    disk.FS       // under what the node keeps; nil is the machine's own
}

// LoadConfig reads the JSON file at path. Its error is a ConfigError.
func LoadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &ConfigError{File: path, Err: err}
	}
	c, key, err := parseConfig(raw)
	if err != nil {
		return Config{}, &ConfigError{path, key, err}
	}
	c.File = path
	return c, nil
}

// parseConfig reads a configuration; key is the one that err speaks of.
func parseConfig(raw []byte) (c Config, key string, err error) {
	var file struct {
		Name, Listen, Discovery, Console, Seed string
		Limits                                 struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    discovery.Update
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return c, "", err
	}
	c = Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Console: file.Console, Known: file.Known,
		Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB, Sockets: file.Limits.Sockets}
	if c.Listen == "" || c.Discovery == "" {
		return c, "listen and discovery", errors.New("both must be given")
	}
	if key, err := c.checkAddresses(); err != nil {
		return c, key, err
	}
	if key, err := c.checkLimits(); err != nil {
		return c, key, err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, "seed", err
	}
	if err := c.Known.Check(); err != nil {
		return c, "known", err
	}
	paths, err := flatten(file.Settings)
	if err != nil {
		return c, "settings", err
	}
	if c.Settings, err = simwire.Settings(paths); err != nil {
		return c, "settings", err
	}
	// Here and not only by the module at a start: SIGHUP takes no file with which none could start.
	if err := c.Settings.Validate(); err != nil {
		return c, "settings", err
	}
	c.Settings.MaxTenants = customersIn(c.MemoryMB)
	c.Settings.PollDiscovery = false // on sockets a watch is always kept; nothing has to be asked for
	if c.Keepalive, err = millis(paths, "limits.keepalive", 15*time.Second); err != nil {
		return c, "settings.limits.keepalive", err
	}
	if c.Connect, err = millis(paths, "limits.connect-timeout", 250*time.Millisecond); err != nil {
		return c, "settings.limits.connect-timeout", err
	}
	return c, "", nil
}

const (
	customerBytes = 3200    // what the module holds of a customer, at most
	customerPart  = 1.0 / 6 // of the memory limit that they may come to
)

// customersIn is how many customers the module may remember under a limit on memory.
func customersIn(memoryMB int) int {
	return int(customerPart * float64(memoryMB<<20) / customerBytes)
}

const (
	coresMost  = 1 << 12
	memoryMost = 1 << 24 // MB
)

// checkLimits names the first limit that no machine has. One of 0 is not told.
func (c *Config) checkLimits() (key string, err error) {
	switch {
	case c.Cores < 0 || c.Cores > coresMost:
		return "limits.cores", fmt.Errorf("%g is no number of cores", c.Cores)
	case c.MemoryMB < 0 || c.MemoryMB > memoryMost:
		return "limits.memory_mb", fmt.Errorf("%d is no size in MB", c.MemoryMB)
	case c.Sockets < 0:
		return "limits.sockets", fmt.Errorf("%d is no number of descriptors", c.Sockets)
	}
	return "", nil
}

// checkAddresses names the first address that is none.
func (c *Config) checkAddresses() (key string, err error) {
	addrs := []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"console", c.Console}}
	for _, a := range addrs {
		if a.name == "console" && a.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return a.name, err
		}
	}
	return "", nil
}

// FromEnvironment takes over what the environment names; it goes before the file. Its error is an
// EnvironmentError.
func (c *Config) FromEnvironment(lookup func(string) string) error {
	if v := lookup("TMPDIR"); v != "" {
		c.Dir = v
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
			return &EnvironmentError{"NODE_SOCKET_FD", fmt.Errorf("%q is no descriptor", v)}
		}
		c.SocketFD = fd
	}
	return nil
}

// millis reads a span of the settings that is the node's own business.
func millis(paths map[string]string, path string, missing time.Duration) (time.Duration, error) {
	text, ok := paths[path]
	if !ok {
		return missing, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < 1e9) {
		return 0, fmt.Errorf("%q is no span in milliseconds", text)
	}
	return time.Duration(v * float64(time.Millisecond)), nil
}

// flatten turns nested JSON into the dotted paths that package wire reads.
func flatten(raw json.RawMessage) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	paths := make(map[string]string)
	flattenInto(paths, "", tree)
	return paths, nil
}

func flattenInto(paths map[string]string, prefix string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			flattenInto(paths, strings.TrimPrefix(prefix+"."+k, "."), item)
		}
	case []any:
		var plain []string
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				flattenInto(paths, prefix+"."+strconv.Itoa(i), item)
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		paths[prefix+".count"] = strconv.Itoa(len(v))
		if plain != nil {
			paths[prefix] = strings.Join(plain, ",")
		}
	case nil:
	default:
		paths[prefix] = fmt.Sprint(v)
	}
}

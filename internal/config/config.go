// Package config reads the configuration of an edge node: the configuration file (Load), the environment variables that
// override it (Config.FromEnvironment), and the fleet file that enables optional parts (LoadFleet). Where a key of
// these files differs from the name in the code, a struct tag holds the key.
package config

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"sloestile/control"
	"sloestile/internal/discovery"
	"sloestile/internal/simwire"
	"sloestile/internal/store/disk"
)

// Config is the configuration with which an edge node starts.
type Config struct {
	File      string // path of the configuration file
	Name      string // name of the node
	Listen    string // host:port on which the node accepts clients
	Discovery string // host:port of service discovery
	Console   string // host:port of the operators' console; "" disables it

	// SocketFD is the descriptor of an inherited listening socket for clients; 0 means that the node opens its own.
	SocketFD int
	// HandoverDir is the folder through which a process takes over the state of its predecessor; "" disables that.
	HandoverDir string

	Seed       uint64  // seed of all random draws
	Cores      float64 // CPUs that the node may use, rounded up to a whole number; 0 means one
	MemoryMB   int     // memory limit in MB; 0 means no limit
	MaxSockets int     // maximum number of descriptors for connections; 0 means no limit

	// KnownServers is the endpoint list that the node uses, as a cached one, until discovery answers.
	KnownServers discovery.Update
	Settings     control.Settings // settings of the decision module, package control

	ServerKeepalive      time.Duration // how long an idle connection to a server stays open; default 15 s
	ServerConnectTimeout time.Duration // how long opening a connection to a server may take; default 250 ms

	Fleet *Fleet  // contents of the fleet file; nil means that all optional parts are off
	Disk  disk.FS // file system of the node's stores; nil means the local one
}

// Load reads the JSON configuration file at path. Its error is a *FileError.
func Load(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &FileError{File: path, Err: err}
	}
	c, key, err := parseConfig(raw)
	if err != nil {
		return Config{}, &FileError{path, key, err}
	}
	c.File = path
	return c, nil
}

// parseConfig decodes and validates a configuration. key names the setting that err is about; "" means the whole file.
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
	c = Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Console: file.Console, KnownServers: file.Known,
		Cores: file.Limits.Cores, MemoryMB: file.Limits.MemoryMB, MaxSockets: file.Limits.Sockets}
	if c.Listen == "" || c.Discovery == "" {
		return c, "listen and discovery", errors.New("both are required")
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
	if err := c.KnownServers.Check(); err != nil {
		return c, "known", err
	}
	key, err = c.readSettings(file.Settings)
	return c, key, err
}

const (
	defaultServerKeepalive      = 15 * time.Second
	defaultServerConnectTimeout = 250 * time.Millisecond
)

// readSettings reads the settings of the decision module and the node's own two, keepalive and connect timeout. key
// names the setting that err is about.
func (c *Config) readSettings(raw json.RawMessage) (key string, err error) {
	paths, err := flatten(raw)
	if err != nil {
		return "settings", err
	}
	if c.Settings, err = simwire.Settings(paths); err != nil {
		return "settings", err
	}
	// Also validated here, not only by the decision module at the start: SIGHUP must not accept a file with which no
	// node could start.
	if err := c.Settings.Validate(); err != nil {
		return "settings", err
	}
	c.Settings.MaxTenants = maxTenants(c.MemoryMB)
	c.Settings.PollDiscovery = false // on sockets a watch is always open, so the decision module need not poll
	if c.ServerKeepalive, err = milliseconds(paths, "limits.keepalive", defaultServerKeepalive); err != nil {
		return "settings.limits.keepalive", err
	}
	if c.ServerConnectTimeout, err = milliseconds(paths, "limits.connect-timeout", defaultServerConnectTimeout); err != nil {
		return "settings.limits.connect-timeout", err
	}
	return "", nil
}

// checkAddresses returns the key of the first address that is not host:port, and the reason.
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

// Package config reads what an edge node is started with: the configuration file, the environment variables that go
// before it, and the fleet file that switches parts on. It maps the themed keys of these files to the field's terms by
// struct tags.
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

// Config is what an edge node is started with.
type Config struct {
	File      string // that it was read from
	Name      string // of the node
	Listen    string // host:port on which clients connect
	Discovery string // host:port of service discovery
	Console   string // host:port of the operators' console; "" is none

	// SocketFD is the descriptor of the clients' listening socket where it is inherited; 0 is none.
	SocketFD int
	// HandoverDir is the folder by which a process takes over from the one before it; "" is none.
	HandoverDir string

	Seed       uint64  // of all random draws
	Cores      float64 // CPUs that the node may use
	MemoryMB   int     // memory limit in MB; 0 is none
	MaxSockets int     // descriptors for connections; 0 is no limit

	// KnownServers is the endpoint list that is used as a cached one until discovery answers.
	KnownServers discovery.Update
	Settings     control.Settings

	ServerKeepalive      time.Duration // for which an idle connection to a server is kept; default 15 s
	ServerConnectTimeout time.Duration // for which a connection to a server may take to open; default 250 ms

	Fleet *Fleet  // what a fleet file switches on; nil is nothing
	Disk  disk.FS // under what the node stores; nil is the machine's own
}

// Load reads the configuration file, in JSON, at path. Its error is a *FileError.
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

// parseConfig reads a configuration. key names the setting that err is about.
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

// readSettings reads the settings of the decision module and the two that are the node's own.
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

// checkAddresses returns the key of the first address that is not host:port.
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

package config

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fleet is the contents of a fleet file, in TOML. Each section enables a part of the node; a nil section leaves it off.
type Fleet struct {
	Peers     *Peers
	Regions   map[string][]string // zones of each region
	State     *State
	Zones     *Zones
	Consensus *Consensus `toml:"council"`
	Subset    *Subset
}

// LoadFleet reads and validates the fleet file at path. Its error is a *FleetFileError.
func LoadFleet(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FleetFileError{File: path, Err: err}
	}
	f := &Fleet{}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(f); err != nil {
		fileErr := &FleetFileError{File: path, Err: err}
		if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			fileErr.Line, _ = strict.Errors[0].Position()
			fileErr.Err = fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
		} else if decodeErr, ok := errors.AsType[*toml.DecodeError](err); ok {
			fileErr.Line, _ = decodeErr.Position()
		}
		return nil, fileErr
	}
	if key, err := f.check(); err != nil {
		return nil, &FleetFileError{File: path, Key: key, Err: err}
	}
	return f, nil
}

// check returns the first key with an invalid value, and the reason.
func (f *Fleet) check() (key string, err error) {
	regionOf := map[string]string{}
	for region, zones := range f.Regions {
		for _, z := range zones {
			if regionOf[z] != "" {
				return "regions", fmt.Errorf("zone %s is in %s and %s", z, regionOf[z], region)
			}
			regionOf[z] = region
		}
	}
	if f.State != nil && !filepath.IsAbs(f.State.Dir) {
		return "state.dir", fmt.Errorf("%q is not an absolute path", f.State.Dir)
	}
	if f.Zones != nil && f.Zones.Evacuate && len(f.Regions) == 0 {
		return "zones.leave", errors.New("evacuating zones requires [regions]")
	}
	if f.Consensus != nil {
		if key, err := f.Consensus.check(f); err != nil {
			return key, err
		}
	}
	if f.Subset != nil {
		if key, err := f.Subset.check(); err != nil {
			return key, err
		}
	}
	return f.Peers.check()
}

// checkAddress returns an error if addr is not host:port with a host and a port from 1 to 65535.
func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" {
		return fmt.Errorf("%q is not an address with a host and a port from 1 to 65535", addr)
	}
	return nil
}

// Region returns the region of a zone, or "" if the zone is in none.
func (f *Fleet) Region(zone string) string {
	for region, zones := range f.Regions {
		for _, z := range zones {
			if z == zone {
				return region
			}
		}
	}
	return ""
}

// State enables the checkpoint in which the node persists its learned state.
type State struct {
	Dir string // absolute path of the node's own folder, on a disk that outlives the process
}

// Zones enables the evacuation of failing zones. Attempts at servers of other zones have their cost also without it.
type Zones struct {
	Evacuate bool `toml:"leave"` // stop sending to a failing zone, and return to it with a recovery ramp
}

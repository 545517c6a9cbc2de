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

// Fleet is what a fleet file, in TOML, switches on. A part that is nil is off, and without a fleet file all are.
type Fleet struct {
	Peers     *Peers
	Regions   map[string][]string // the zones of each region
	State     *State
	Zones     *Zones
	Consensus *Consensus `toml:"council"`
	Subset    *Subset
}

// LoadFleet reads a fleet file. Its error is a *FleetFileError.
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

// check returns the first key with an invalid value, and why it is invalid.
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
		return "state.dir", fmt.Errorf("%q is no whole path", f.State.Dir)
	}
	if f.Zones != nil && f.Zones.Evacuate && len(f.Regions) == 0 {
		return "zones.leave", errors.New("regions name no zones")
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

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || host == "" {
		return fmt.Errorf("%q is no address", addr)
	}
	return nil
}

// Region returns the region of a zone, or "".
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

// State switches on that the node persists what it has learned.
type State struct {
	Dir string // the node's own folder, on a disk that outlives the process
}

// Zones switches on what the node does about zones beyond the cost of crossing into them.
type Zones struct {
	Evacuate bool `toml:"leave"` // leave a zone that fails, and return to it by a recovery ramp
}

package config

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"regexp"
)

// Consensus enables the consensus group, which decides on rule versions and maintenance leases for the fleet; see
// internal/consensus.
type Consensus struct {
	Dir           string  // absolute path of the node's own folder, on a disk that outlives the process
	VersionHeader string  `toml:"header"` // header of attempts that holds the rule version in force; "" means none
	Voters        []Voter // 3, 5 or 7 nodes, in different zones
}

// Voter is a voting member of the consensus group.
type Voter struct {
	Name    string
	Address string // host:port on which it listens for other voters and for calls of other nodes
}

var voterName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// check returns the first key with an invalid value, and the reason.
func (c *Consensus) check(f *Fleet) (key string, err error) {
	if f.Peers == nil {
		return "council", errors.New("[peers] is required, because nodes learn rule versions from peers")
	}
	if !filepath.IsAbs(c.Dir) {
		return "council.dir", fmt.Errorf("%q is not an absolute path", c.Dir)
	}
	if f.State != nil && filepath.Clean(f.State.Dir) == filepath.Clean(c.Dir) {
		return "council.dir", errors.New("it is the same folder as state.dir")
	}
	if c.VersionHeader != "" && http.CanonicalHeaderKey(c.VersionHeader) != c.VersionHeader {
		return "council.header", fmt.Errorf("%q is not a header name in canonical form", c.VersionHeader)
	}
	if n := len(c.Voters); n != 3 && n != 5 && n != 7 {
		return "council.voters", fmt.Errorf("%d voters, but 3, 5 or 7 are required", n)
	}
	seen := make(map[string]bool)
	for i, v := range c.Voters {
		key := fmt.Sprintf("council.voters: %d", i)
		if !voterName.MatchString(v.Name) {
			return key, fmt.Errorf("%q is not a voter name: use up to 64 letters, digits, dots, dashes and underscores", v.Name)
		}
		if err := checkAddress(v.Address); err != nil {
			return key, err
		}
		if seen[v.Name] || seen[v.Address] {
			return key, fmt.Errorf("name or address of %s at %s is a duplicate", v.Name, v.Address)
		}
		seen[v.Name], seen[v.Address] = true, true
	}
	return "", nil
}

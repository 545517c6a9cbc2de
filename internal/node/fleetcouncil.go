package node

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"regexp"
)

// CouncilConfig switches on that the nodes decide together; see internal/consensus.
type CouncilConfig struct {
	Dir    string        // the node's own, on a disk that outlives the process
	Header string        // of attempts, which tells by which version they go; "" is none
	Voters []VoterConfig // 3, 5 or 7 nodes, in different zones
}

// VoterConfig is a node that votes.
type VoterConfig struct {
	Name    string
	Address string // where it listens for other voters, and for calls of other nodes
}

var voterName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// check gives the first key with a value that can't be, and why.
func (c *CouncilConfig) check(f *Fleet) (key string, err error) {
	if f.Peers == nil {
		return "council", errors.New("nodes learn by peers, and [peers] is not there")
	}
	if !filepath.IsAbs(c.Dir) {
		return "council.dir", fmt.Errorf("%q is no whole path", c.Dir)
	}
	if f.State != nil && filepath.Clean(f.State.Dir) == filepath.Clean(c.Dir) {
		return "council.dir", errors.New("it is state.dir")
	}
	if c.Header != "" && http.CanonicalHeaderKey(c.Header) != c.Header {
		return "council.header", fmt.Errorf("%q is no header in its usual form", c.Header)
	}
	if n := len(c.Voters); n != 3 && n != 5 && n != 7 {
		return "council.voters", fmt.Errorf("%d, and it has to be 3, 5 or 7", n)
	}
	seen := make(map[string]bool)
	for i, v := range c.Voters {
		key := fmt.Sprintf("council.voters: %d", i)
		if !voterName.MatchString(v.Name) {
			return key, fmt.Errorf("%q is no voter's name: letters, digits, dots, dashes and underscores, 64 at most", v.Name)
		}
		if err := checkAddress(v.Address); err != nil {
			return key, err
		}
		if seen[v.Name] || seen[v.Address] {
			return key, fmt.Errorf("%s at %s is there twice", v.Name, v.Address)
		}
		seen[v.Name], seen[v.Address] = true, true
	}
	return "", nil
}

// councilPlaces is how many descriptors are set apart for it.
func (f *Fleet) councilPlaces(name string) int {
	if f == nil || f.Council == nil {
		return 0
	}
	for _, v := range f.Council.Voters {
		if v.Name == name {
			return voterPlaces + eachPlaces*(len(f.Council.Voters)-1)
		}
	}
	return councilPlaces
}

// Package rules holds the rule sets that a fleet's routers agree on: the document, the registry of
// its versions, and the leases under which a router acts by one. It is pure: no sockets, goroutines
// or clocks.
package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// TextMost is the bytes of a rule set at most.
const TextMost = 64 << 10

const (
	priceMost  = 1000.0
	quotaMost  = 10.0 // times what the settings give
	costMost   = 100.0
	limitMost  = 1 << 20
	digestSize = sha256.Size
)

// Digest names a text.
type Digest [digestSize]byte

// DigestOf gives the digest of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Set is what a rule set's text says. What it does not name is as in the settings.
type Set struct {
	Plans     map[string]Plan     // by name
	Customers map[string]Customer // by "PLAN ID", the ID as clients give it: 16 hex digits
	Classes   map[string]Class    // by name
	Limits    Limits
	Zones     map[string]Zone // by name
	Work      map[string]any  // the work plan: fleet/turns reads it, by Section
	Uplinks   map[string]any  // the calendar of uplinks: fleet/provision reads it, by Section
}

// Plan is what is said of a plan.
type Plan struct {
	Price *float64 // factor on the worth of a request, in place of the settings'
	Quota *float64 // times the settings' rate and depth
}

// Customer is what is said of one customer.
type Customer struct {
	Quota *float64 // times the settings' rate and depth, in place of its plan's
}

// Class is what is said of a class of requests.
type Class struct {
	Attempts *int // of one request at most
}

// Limits bound all requests of a node. They are never looser than its settings.
type Limits struct {
	InFlight *int `toml:"in_flight"` // requests held at once
	Attempts *int // of one request
}

// Zone is what is said of a zone.
type Zone struct {
	Closed bool     // nothing is sent there where another zone is open
	Cost   *float64 // of an attempt that comes from another zone, in place of the settings'
}

// Parse reads a rule set's text. What it does not know it refuses.
func Parse(text []byte) (*Set, error) {
	if len(text) > TextMost {
		return nil, &TooLargeError{"bytes of a rule set", len(text), TextMost}
	}
	s := &Set{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s); err != nil {
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			row, _ := strict.Errors[0].Position()
			return nil, &DocumentError{row, strings.Join(strict.Errors[0].Key(), "."), "unknown key"}
		case errors.As(err, &decode):
			row, _ := decode.Position()
			return nil, &DocumentError{row, strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: ")}
		}
		return nil, &DocumentError{Key: "text", Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	}
	return s, s.ranges()
}

// ranges refuses figures that can't be, whatever the node.
func (s *Set) ranges() (err error) {
	fail := func(key, reason string) {
		if err == nil {
			err = &DocumentError{Key: key, Reason: reason}
		}
	}
	figure := func(key string, v *float64, most float64) {
		if v != nil && !(*v >= 0 && *v <= most) { // a NaN is not
			fail(key, fmt.Sprintf("%g is not within 0 to %g", *v, most))
		}
	}
	count := func(key string, v *int) {
		if v != nil && (*v < 1 || *v > limitMost) {
			fail(key, fmt.Sprintf("%d is not within 1 to %d", *v, limitMost))
		}
	}
	for _, name := range sorted(s.Plans) {
		figure("plans."+name+".price", s.Plans[name].Price, priceMost)
		figure("plans."+name+".quota", s.Plans[name].Quota, quotaMost)
	}
	for _, key := range sorted(s.Customers) {
		if _, id := split(key); !isID(id) {
			fail("customers."+key, "no plan and customer: a plan's name, a space, 16 hex digits")
		}
		figure("customers."+key+".quota", s.Customers[key].Quota, quotaMost)
	}
	for _, name := range sorted(s.Classes) {
		count("classes."+name+".attempts", s.Classes[name].Attempts)
	}
	count("limits.in_flight", s.Limits.InFlight)
	count("limits.attempts", s.Limits.Attempts)
	for _, name := range sorted(s.Zones) {
		figure("zones."+name+".cost", s.Zones[name].Cost, costMost)
	}
	return err
}

// Section gives a part that another package reads, as a TOML text of its own: s.Work or s.Uplinks.
func Section(part map[string]any) ([]byte, error) {
	text, err := toml.Marshal(part)
	if err != nil {
		return nil, &DocumentError{Key: "section", Reason: err.Error()}
	}
	return text, nil
}

// split parts a customer's key at its last space.
func split(key string) (plan, id string) {
	i := strings.LastIndexByte(key, ' ')
	if i < 0 {
		return "", ""
	}
	return key[:i], key[i+1:]
}

func isID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdef") == ""
}

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Settings is what a node's own settings have, of what a rule set may speak of.
type Settings struct {
	Plans, Classes, Zones []string
	Attempts              int // of one request at most; 0 is no limit
	InFlight              int // requests held at once at most; 0 is no limit
}

// Check tells whether a node can act by the set: what names a plan, a class or a zone that the node
// does not have is refused for that node (*UnknownError), and so is what is looser than its
// settings (*LooserError).
func (s *Set) Check(have Settings) error {
	plans := sorted(s.Plans)
	for _, key := range sorted(s.Customers) {
		plan, _ := split(key)
		plans = append(plans, plan)
	}
	for _, named := range []struct {
		kind        string
		names, have []string
	}{{"plan", plans, have.Plans}, {"class", sorted(s.Classes), have.Classes}, {"zone", sorted(s.Zones), have.Zones}} {
		for _, name := range named.names {
			if !slices.Contains(named.have, name) {
				return &UnknownError{named.kind, name}
			}
		}
	}
	looser := func(key string, v *int, most int) error {
		if v != nil && most > 0 && *v > most {
			return &LooserError{key, *v, most}
		}
		return nil
	}
	errs := []error{looser("limits.in_flight", s.Limits.InFlight, have.InFlight), looser("limits.attempts", s.Limits.Attempts, have.Attempts)}
	for _, name := range sorted(s.Classes) {
		errs = append(errs, looser("classes."+name+".attempts", s.Classes[name].Attempts, have.Attempts))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if len(have.Zones) > 0 && !slices.ContainsFunc(have.Zones, func(z string) bool { return !s.Zones[z].Closed }) {
		return &AllClosedError{have.Zones}
	}
	return nil
}

// Compiled is a set as a node's decisions use it: plain figures in the order of its settings.
type Compiled struct {
	Price     []float64          // by plan; NaN is the settings'
	Quota     []float64          // by plan: times the settings' rate and depth
	Customers map[string]float64 // by "PLAN ID": in place of Quota
	Attempts  []int              // by class: of one request at most; 0 is no limit
	InFlight  int                // 0 is no limit
	Closed    []string           // zones, sorted
	Cost      map[string]float64 // by zone: of an attempt that comes from another one, where it is not the settings'
}

// Compile checks the set against a node's settings and gives it in the form that its decisions use.
func (s *Set) Compile(have Settings) (*Compiled, error) {
	if err := s.Check(have); err != nil {
		return nil, err
	}
	c := &Compiled{Customers: map[string]float64{}, Cost: map[string]float64{}, InFlight: have.InFlight}
	for _, name := range have.Plans {
		c.Price = append(c.Price, or(s.Plans[name].Price, math.NaN()))
		c.Quota = append(c.Quota, or(s.Plans[name].Quota, 1))
	}
	for key, customer := range s.Customers {
		if customer.Quota != nil {
			c.Customers[key] = *customer.Quota
		}
	}
	all := or(s.Limits.Attempts, have.Attempts)
	for _, name := range have.Classes {
		n := or(s.Classes[name].Attempts, all)
		if all > 0 {
			n = min(n, all)
		}
		c.Attempts = append(c.Attempts, n)
	}
	c.InFlight = or(s.Limits.InFlight, have.InFlight)
	for _, name := range sorted(s.Zones) {
		z := s.Zones[name]
		if z.Closed {
			c.Closed = append(c.Closed, name)
		}
		if z.Cost != nil {
			c.Cost[name] = *z.Cost
		}
	}
	return c, nil
}

func or[T any](v *T, otherwise T) T {
	if v == nil {
		return otherwise
	}
	return *v
}

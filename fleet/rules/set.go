// Package rules holds the rule sets that a fleet's nodes agree on: the document (set.go), the registry of its versions
// (registry.go, command.go), and the leases under which a node acts by one (node.go, holder.go, grantor.go). It is pure: no
// sockets, goroutines or clocks. docs/design.md ("Rules that all agree on") specifies it.
package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxTextBytes is the size of a rule set at most.
const MaxTextBytes = 64 << 10

const (
	maxPriceFactor   = 1000.0
	maxQuotaFactor   = 10.0 // times what the settings give
	maxCrossZoneCost = 100.0
	maxLimitValue    = 1 << 20
	digestSize       = sha256.Size
)

// Digest identifies a text.
type Digest [digestSize]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// String returns the beginning of the digest.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Set is the content of a rule set's text. What it does not name is as in the settings.
type Set struct {
	Plans   map[string]Plan   // by name
	Tenants map[string]Tenant `toml:"customers"` // by "PLAN ID", the ID as clients give it: 16 hex digits
	Classes map[string]Class  // by name
	Limits  Limits
	Zones   map[string]Zone // by name
	Work    map[string]any  // the work plan: fleet/maintenance reads it, by Section
	Uplinks map[string]any  // the calendar of uplinks: fleet/prefetch reads it, by Section
}

// Plan is what a rule set says of a plan.
type Plan struct {
	Price *float64 // factor on the value of a request, in place of the settings'
	Quota *float64 // times the settings' rate and burst
}

// Tenant is what a rule set says of one tenant.
type Tenant struct {
	Quota *float64 // times the settings' rate and burst, in place of its plan's
}

// Class is what a rule set says of a class of requests.
type Class struct {
	Attempts *int // of one request at most
}

// Limits bound all requests of a node. They are never looser than its settings.
type Limits struct {
	InFlight *int `toml:"in_flight"` // requests held at once
	Attempts *int // of one request
}

// Zone is what a rule set says of a zone.
type Zone struct {
	Closed bool     // nothing is sent there where another zone is open
	Cost   *float64 // of an attempt that comes from another zone, in place of the settings'
}

// Parse reads a rule set's text. Unknown keys are an error.
func Parse(text []byte) (*Set, error) {
	if len(text) > MaxTextBytes {
		return nil, &TooLargeError{"bytes of a rule set", len(text), MaxTextBytes}
	}
	s := &Set{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s); err != nil {
		return nil, newDocumentError(err)
	}
	return s, s.checkRanges()
}

// newDocumentError names the line and key of a TOML error.
func newDocumentError(err error) *DocumentError {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		line, _ := strict.Errors[0].Position()
		return &DocumentError{line, strings.Join(strict.Errors[0].Key(), "."), "unknown key"}
	}
	reason := strings.TrimPrefix(err.Error(), "toml: ")
	if decode, ok := errors.AsType[*toml.DecodeError](err); ok {
		line, _ := decode.Position()
		return &DocumentError{line, strings.Join(decode.Key(), "."), reason}
	}
	return &DocumentError{Key: "text", Reason: reason}
}

// checkRanges returns an error that names the first value that no node could use.
func (s *Set) checkRanges() error {
	var first error
	fail := func(key, reason string) {
		if first == nil {
			first = &DocumentError{Key: key, Reason: reason}
		}
	}
	number := func(key string, v *float64, limit float64) {
		if v != nil && !(*v >= 0 && *v <= limit) { // also a NaN
			fail(key, fmt.Sprintf("%g is not within 0 to %g", *v, limit))
		}
	}
	count := func(key string, v *int) {
		if v != nil && (*v < 1 || *v > maxLimitValue) {
			fail(key, fmt.Sprintf("%d is not within 1 to %d", *v, maxLimitValue))
		}
	}
	for _, name := range sortedKeys(s.Plans) {
		number("plans."+name+".price", s.Plans[name].Price, maxPriceFactor)
		number("plans."+name+".quota", s.Plans[name].Quota, maxQuotaFactor)
	}
	for _, key := range sortedKeys(s.Tenants) {
		if _, id := splitTenantKey(key); !isTenantID(id) {
			fail("customers."+key, "no plan and customer: a plan's name, a space, 16 hex digits")
		}
		number("customers."+key+".quota", s.Tenants[key].Quota, maxQuotaFactor)
	}
	for _, name := range sortedKeys(s.Classes) {
		count("classes."+name+".attempts", s.Classes[name].Attempts)
	}
	count("limits.in_flight", s.Limits.InFlight)
	count("limits.attempts", s.Limits.Attempts)
	for _, name := range sortedKeys(s.Zones) {
		number("zones."+name+".cost", s.Zones[name].Cost, maxCrossZoneCost)
	}
	return first
}

// MarshalSection returns a part that another package reads, as a TOML text of its own: s.Work or s.Uplinks.
func MarshalSection(part map[string]any) ([]byte, error) {
	text, err := toml.Marshal(part)
	if err != nil {
		return nil, &DocumentError{Key: "section", Reason: err.Error()}
	}
	return text, nil
}

// splitTenantKey splits a tenant's key at its last space.
func splitTenantKey(key string) (plan, id string) {
	i := strings.LastIndexByte(key, ' ')
	if i < 0 {
		return "", ""
	}
	return key[:i], key[i+1:]
}

func isTenantID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdef") == ""
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

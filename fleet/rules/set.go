// Package rules implements versioned rule sets that all nodes of a fleet agree on. A Set is the parsed text of a rule
// set, and Compile returns it in the form that a node's decisions use. A Registry is the replicated state machine that
// numbers the published versions and activates one at a time. A Node runs the lease protocol by which a node learns the
// active version and applies it only while it holds a lease on it, so that old and new versions overlap for a bounded
// time or not at all.
//
// The package opens no sockets, starts no goroutines and reads no clock; callers pass in messages and the time.
// docs/design.md ("Rules that all agree on") specifies it.
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

// MaxTextBytes is the maximum size of a rule set's text.
const MaxTextBytes = 64 << 10

const (
	maxPriceFactor   = 1000.0
	maxQuotaFactor   = 10.0 // on the settings' rate and burst
	maxCrossZoneCost = 100.0
	maxLimitValue    = 1 << 20
	digestSize       = sha256.Size
)

// Digest is the SHA-256 digest of a text.
type Digest [digestSize]byte

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// String returns the first 6 bytes of the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Set is the content of a rule set's text. The node's settings apply to everything that it does not name. A field
// without a tag is a TOML key by its name in lower case.
type Set struct {
	Plans   map[string]Plan   // by name
	Tenants map[string]Tenant `toml:"customers"` // by "PLAN ID", the tenant's ID as clients send it: 16 hex digits
	Classes map[string]Class  // by name
	Limits  Limits
	Zones   map[string]Zone // by name
	Work    map[string]any  // work plan, which package fleet/maintenance parses; see MarshalSection
	Uplinks map[string]any  // uplink calendar, which package fleet/prefetch parses; see MarshalSection
}

// Plan overrides the settings of a plan. A nil field keeps the setting.
type Plan struct {
	Price *float64 // factor on the value of a request; replaces the settings' factor
	Quota *float64 // factor on the settings' rate and burst
}

// Tenant overrides the settings of one tenant.
type Tenant struct {
	Quota *float64 // factor on the settings' rate and burst; replaces the factor of the plan
}

// Class overrides the settings of a class of requests.
type Class struct {
	Attempts *int // maximum attempts per request; nil keeps the setting
}

// Limits are limits of each node. They must not be looser than the node's settings. A nil field keeps the setting.
type Limits struct {
	InFlight *int `toml:"in_flight"` // maximum number of requests held at once
	Attempts *int // maximum attempts per request
}

// Zone overrides the settings of a zone.
type Zone struct {
	Closed bool     // no attempt is sent to the zone while another zone is open
	Cost   *float64 // value that an attempt from another zone costs; nil keeps the setting
}

// Parse parses a rule set's text and checks the ranges of its values. It rejects unknown keys. Its error is a
// *TooLargeError or a *DocumentError.
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

// newDocumentError returns a DocumentError with the line and key of a TOML error.
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

// checkRanges returns an error for the first value that is outside its fixed range, which is the same for all nodes.
func (s *Set) checkRanges() error {
	var first error
	report := func(key, reason string) {
		if first == nil {
			first = &DocumentError{Key: key, Reason: reason}
		}
	}
	checkNumber := func(key string, v *float64, limit float64) {
		if v != nil && !(*v >= 0 && *v <= limit) { // negated, so that NaN fails too
			report(key, fmt.Sprintf("%g is not within 0 to %g", *v, limit))
		}
	}
	checkCount := func(key string, v *int) {
		if v != nil && (*v < 1 || *v > maxLimitValue) {
			report(key, fmt.Sprintf("%d is not within 1 to %d", *v, maxLimitValue))
		}
	}
	for _, name := range sortedKeys(s.Plans) {
		checkNumber("plans."+name+".price", s.Plans[name].Price, maxPriceFactor)
		checkNumber("plans."+name+".quota", s.Plans[name].Quota, maxQuotaFactor)
	}
	for _, key := range sortedKeys(s.Tenants) {
		if _, id := splitTenantKey(key); !isTenantID(id) {
			report("customers."+key, "not a plan and a customer: want a plan's name, a space, 16 hex digits")
		}
		checkNumber("customers."+key+".quota", s.Tenants[key].Quota, maxQuotaFactor)
	}
	for _, name := range sortedKeys(s.Classes) {
		checkCount("classes."+name+".attempts", s.Classes[name].Attempts)
	}
	checkCount("limits.in_flight", s.Limits.InFlight)
	checkCount("limits.attempts", s.Limits.Attempts)
	for _, name := range sortedKeys(s.Zones) {
		checkNumber("zones."+name+".cost", s.Zones[name].Cost, maxCrossZoneCost)
	}
	return first
}

// MarshalSection returns a section that another package parses, s.Work or s.Uplinks, as a TOML text of its own.
func MarshalSection(section map[string]any) ([]byte, error) {
	text, err := toml.Marshal(section)
	if err != nil {
		return nil, &DocumentError{Key: "section", Reason: err.Error()}
	}
	return text, nil
}

// splitTenantKey splits a tenant's key at its last space. Both results are empty if there is none.
func splitTenantKey(key string) (plan, id string) {
	i := strings.LastIndexByte(key, ' ')
	if i < 0 {
		return "", ""
	}
	return key[:i], key[i+1:]
}

// isTenantID reports whether an ID has 16 lower-case hex digits.
func isTenantID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdef") == ""
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

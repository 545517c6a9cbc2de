package discovery

import (
	"encoding/json"
	"testing"

	"sloestile/internal/golden"
)

// A message of the stand-in's discovery has the recorded keys.
func TestListingIsAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "listing", func(l *Listing) ([]byte, error) { return json.MarshalIndent(l, "", " ") }, func(raw []byte) (*Listing, error) {
		l := &Listing{}
		return l, json.Unmarshal(raw, l)
	})
}

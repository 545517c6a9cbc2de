package ratelimit

import (
	"testing"

	"sloestile/internal/golden"
)

// The message between nodes has the recorded bytes.
func TestMessageIsAsRecorded(t *testing.T) {
	m := &Message{}
	golden.Fill(m)
	m.Hop = 1
	golden.RoundTripOf(t, "message", m, (*Message).Encode, func(raw []byte) (*Message, error) { return Decode(raw, 1000) })
}

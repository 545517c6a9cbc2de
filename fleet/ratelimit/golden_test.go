package ratelimit

import (
	"testing"

	"sloestile/internal/golden"
)

// TestMessageIsAsRecorded guards against an incompatible change of the encoding of messages between nodes.
func TestMessageIsAsRecorded(t *testing.T) {
	m := &Message{}
	golden.Fill(m)
	m.Hop = 1
	golden.RoundTripOf(t, "message", m, (*Message).Encode, func(raw []byte) (*Message, error) { return Decode(raw, 1000) })
}

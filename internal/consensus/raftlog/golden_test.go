package raftlog

import (
	"bytes"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The meta file and the snapshot have the recorded bytes, with magic and sum.
func TestFilesAreAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "meta", func(m *meta) ([]byte, error) { return EncodeChecksummed(metaMagic, m) }, func(raw []byte) (*meta, error) {
		m := &meta{}
		return m, DecodeChecksummed(metaMagic, metaName, raw, m)
	})
	golden.RoundTrip(t, "snapshot", func(s *snapshot) ([]byte, error) { return EncodeChecksummed(snapMagic, s) }, func(raw []byte) (*snapshot, error) {
		s := &snapshot{}
		return s, DecodeChecksummed(snapMagic, snapName, raw, s)
	})
	require.Equal(t, "log meta snapshot", logName+" "+metaName+" "+snapName)
}

// A record of the log has the recorded bytes behind the file's head.
func TestRecordIsAsRecorded(t *testing.T) {
	r := raft.Log{Index: 7, Term: 3, Type: raft.LogCommand, Data: []byte("data"), Extensions: []byte("more")}
	raw := appendRecord([]byte(logHead), &r)
	golden.Check(t, "log", raw)
	back, n, ok := parseRecord(raw[len(logHead):])
	require.True(t, ok)
	require.Equal(t, len(raw)-len(logHead), n)
	require.True(t, bytes.Equal(raw, appendRecord([]byte(logHead), &back)))
}

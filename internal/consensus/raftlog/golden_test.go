package raftlog

import (
	"bytes"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"sloestile/internal/golden"
)

// The metadata file and the snapshot file, including magic and checksum, have the bytes in the golden files, so that a
// later version of the program can read them.
func TestMetadataAndSnapshotMatchGoldenFiles(t *testing.T) {
	golden.RoundTrip(t, "meta", func(m *metadata) ([]byte, error) { return EncodeChecksummed(metadataMagic, m) }, func(raw []byte) (*metadata, error) {
		m := &metadata{}
		return m, DecodeChecksummed(metadataMagic, metadataName, raw, m)
	})
	golden.RoundTrip(t, "snapshot", func(s *snapshot) ([]byte, error) { return EncodeChecksummed(snapshotMagic, s) }, func(raw []byte) (*snapshot, error) {
		s := &snapshot{}
		return s, DecodeChecksummed(snapshotMagic, snapshotName, raw, s)
	})
	require.Equal(t, "log meta snapshot", logName+" "+metadataName+" "+snapshotName)
}

// The log file, with its header and one entry, has the bytes in the golden file, so that a later version of the program
// can read it.
func TestEntryMatchesGoldenFile(t *testing.T) {
	r := raft.Log{Index: 7, Term: 3, Type: raft.LogCommand, Data: []byte("data"), Extensions: []byte("more")}
	raw := appendEntry([]byte(logHeader), &r)
	golden.Check(t, "log", raw)
	decoded, n, ok := parseEntry(raw[len(logHeader):])
	require.True(t, ok)
	require.Equal(t, len(raw)-len(logHeader), n)
	require.True(t, bytes.Equal(raw, appendEntry([]byte(logHeader), &decoded)))
}

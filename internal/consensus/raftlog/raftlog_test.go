package raftlog

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sloestile/internal/store/disk"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	goleak.VerifyTestMain(m)
}

// writeLog writes a log with a term, a vote, a snapshot up to entry 5 and the entries 4 to 20.
func writeLog(t *testing.T, dir string) (identity string) {
	l, corrupt, err := Open(disk.Local{}, dir, "n1")
	require.NoError(t, err)
	require.NoError(t, corrupt)
	require.True(t, l.Empty)
	require.NoError(t, l.SetUint64([]byte(KeyTerm), 3))
	require.NoError(t, l.SetUint64([]byte(KeyVoteTerm), 3))
	require.NoError(t, l.Set([]byte(KeyVoteCandidate), []byte("n2")))
	for i := range uint64(20) {
		require.NoError(t, l.StoreLog(&raft.Log{Index: i + 1, Term: 1 + i/8, Type: raft.LogCommand, Data: bytes.Repeat([]byte{byte(i)}, 40)}))
	}
	s, err := l.Snapshots().Create(1, 5, 1, raft.Configuration{Servers: []raft.Server{{ID: "n1", Address: "a"}}}, 1, nil)
	require.NoError(t, err)
	_, _ = io.WriteString(s, "state")
	require.NoError(t, s.Close())
	require.NoError(t, l.DeleteRange(1, 3))
	require.NoError(t, l.Close())
	return l.Identity
}

// A log that is closed and opened again has its identity, entries, term, vote and snapshot. A second Open of a log that
// is in use fails. ForbidVotesThrough replaces the vote, so that the voter does not vote twice in a term.
func TestReopenedLogHasWhatWasWritten(t *testing.T) {
	dir := t.TempDir()
	identity := writeLog(t, dir)
	l, corrupt, err := Open(disk.Local{}, dir, "n1")
	require.NoError(t, err)
	require.NoError(t, corrupt)
	require.Equal(t, identity, l.Identity)
	_, _, err = Open(disk.Local{}, dir, "n1")
	require.ErrorAs(t, err, new(*InUseError))
	var r raft.Log
	require.NoError(t, l.GetLog(20, &r))
	require.Equal(t, bytes.Repeat([]byte{19}, 40), r.Data)
	require.Equal(t, raft.ErrLogNotFound, l.GetLog(3, &r))
	term, voted, err := l.Term()
	require.NoError(t, err)
	require.EqualValues(t, []uint64{3, 3}, []uint64{term, voted})
	require.NoError(t, l.ForbidVotesThrough(7))
	term, voted, _ = l.Term()
	require.EqualValues(t, []uint64{7, 7}, []uint64{term, voted})
	candidate, _ := l.Get([]byte(KeyVoteCandidate))
	require.NotEqual(t, "n2", string(candidate))
	m, state, err := l.Snapshots().Open("1-5")
	require.NoError(t, err)
	raw, _ := io.ReadAll(state)
	require.Equal(t, "state", string(raw))
	require.EqualValues(t, "n1", m.Configuration.Servers[0].ID)
	require.NoError(t, l.Close())
}

// A flipped bit anywhere in a file and a missing file are detected, so that a voter never votes with a state that it
// does not have: Open quarantines the files and starts an empty log with a new identity. Otherwise only the last entry
// may be lost, because a corrupt last entry looks like an interrupted write.
func TestBitRotAndMissingFilesAreFound(t *testing.T) {
	source := t.TempDir()
	identity := writeLog(t, source)
	var names []string
	require.NoError(t, filepath.WalkDir(source, func(p string, d os.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() && d.Name() != lockName {
			names = append(names, p)
		}
		return err
	}))
	flipped, detected, lostLastEntry := 0, 0, 0
	for _, name := range names {
		whole, err := os.ReadFile(name)
		require.NoError(t, err)
		used := len(bytes.TrimRight(whole, "\x00"))
		for at := 0; at < used; at += 1 + used/300 {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(source)))
			rel, _ := filepath.Rel(source, name)
			corrupted := bytes.Clone(whole)
			corrupted[at] ^= 1 << (at % 8)
			require.NoError(t, os.WriteFile(filepath.Join(dir, rel), corrupted, 0o600))
			l, corrupt, err := Open(disk.Local{}, dir, "n1")
			require.NoError(t, err, "%s at %d", rel, at)
			flipped++
			if corrupt != nil {
				require.ErrorAs(t, corrupt, new(*CorruptError))
				require.NotEqual(t, identity, l.Identity)
				require.True(t, l.Empty)
				detected++
			} else if _, index, err := l.LastPosition(); index != 20 {
				require.NoError(t, err)
				require.EqualValues(t, 19, index, "%s at %d", rel, at)
				lostLastEntry++
			}
			require.NoError(t, l.Close())
		}
	}
	for _, name := range names {
		dir := t.TempDir()
		require.NoError(t, os.CopyFS(dir, os.DirFS(source)))
		rel, _ := filepath.Rel(source, name)
		require.NoError(t, os.Remove(filepath.Join(dir, rel)))
		l, corrupt, err := Open(disk.Local{}, dir, "n1")
		require.NoError(t, err)
		require.ErrorAs(t, corrupt, new(*CorruptError), rel)
		require.NotEqual(t, identity, l.Identity)
		require.NoError(t, l.Close())
	}
	t.Logf("%d flipped bits: %d detected, %d lost the last entry, %d without effect", flipped, detected, lostLastEntry, flipped-detected-lostLastEntry)
	require.Greater(t, detected, flipped/2)
}

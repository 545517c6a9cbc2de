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

// fill writes a term, a vote, records and a snapshot up to one of them.
func fill(t *testing.T, dir string) (identity string) {
	l, why, err := Open(disk.Local{}, dir, "n1")
	require.NoError(t, err)
	require.NoError(t, why)
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

// What was written is there after a close, and a second process is kept out.
func TestReadBack(t *testing.T) {
	dir := t.TempDir()
	identity := fill(t, dir)
	l, why, err := Open(disk.Local{}, dir, "n1")
	require.NoError(t, err)
	require.NoError(t, why)
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

// A bit that is turned anywhere in what was written is found, and a file that is gone: the log is a fresh
// one, or all in it is as it was written but for its last record, which looks like one never written whole.
func TestTurnedBits(t *testing.T) {
	from := t.TempDir()
	identity := fill(t, from)
	var names []string
	require.NoError(t, filepath.WalkDir(from, func(p string, d os.DirEntry, err error) error {
		if err == nil && d.Type().IsRegular() && d.Name() != lockName {
			names = append(names, p)
		}
		return err
	}))
	tried, found, last := 0, 0, 0
	for _, name := range names {
		whole, err := os.ReadFile(name)
		require.NoError(t, err)
		used := len(bytes.TrimRight(whole, "\x00"))
		for at := 0; at < used; at += 1 + used/300 {
			dir := t.TempDir()
			require.NoError(t, os.CopyFS(dir, os.DirFS(from)))
			rel, _ := filepath.Rel(from, name)
			spoilt := bytes.Clone(whole)
			spoilt[at] ^= 1 << (at % 8)
			require.NoError(t, os.WriteFile(filepath.Join(dir, rel), spoilt, 0o600))
			l, why, err := Open(disk.Local{}, dir, "n1")
			require.NoError(t, err, "%s at %d", rel, at)
			tried++
			if why != nil {
				require.ErrorAs(t, why, new(*CorruptError))
				require.NotEqual(t, identity, l.Identity)
				require.True(t, l.Empty)
				found++
			} else if _, index, err := l.LastPosition(); index != 20 {
				require.NoError(t, err)
				require.EqualValues(t, 19, index, "%s at %d", rel, at)
				last++
			}
			require.NoError(t, l.Close())
		}
	}
	for _, name := range names {
		dir := t.TempDir()
		require.NoError(t, os.CopyFS(dir, os.DirFS(from)))
		rel, _ := filepath.Rel(from, name)
		require.NoError(t, os.Remove(filepath.Join(dir, rel)))
		l, why, err := Open(disk.Local{}, dir, "n1")
		require.NoError(t, err)
		require.ErrorAs(t, why, new(*CorruptError), rel)
		require.NotEqual(t, identity, l.Identity)
		require.NoError(t, l.Close())
	}
	t.Logf("%d bits: %d found, %d took the last record, %d in what is never read", tried, found, last, tried-found-last)
	require.Greater(t, found, tried/2)
}

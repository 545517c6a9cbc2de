package faulty

import (
	"flag"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloestile/internal/store/disk"
)

// All runs draw the same values, so that they have the same result. -rapid.seed on the command line changes the seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// readFiles returns the contents of the files in a directory by name.
func readFiles(t require.TestingT, dir string) map[string]string {
	contents := map[string]string{}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		raw, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		contents[e.Name()] = string(raw)
	}
	return contents
}

// After any changes, by several processes in turn, a loss of power leaves the files as they were at the last sync that
// was not lost, or at an earlier sync if RevertedSyncs is set. A second loss of power changes nothing.
func TestPowerLossRestoresStateOfLastSync(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, err := os.MkdirTemp("", "faulty")
		require.NoError(t, err)
		defer func() { _ = os.RemoveAll(root) }()
		dir, faultDir := filepath.Join(root, "data"), filepath.Join(root, "drive")
		require.NoError(t, os.Mkdir(dir, 0o700))
		d, err := New(disk.Local{}, faultDir)
		require.NoError(t, err)
		name := func() string {
			return filepath.Join(dir, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"))
		}
		bytes := func() []byte { return []byte(rapid.StringN(1, 9, 9).Draw(t, "bytes")) }
		states := []map[string]string{readFiles(t, dir)} // initial state, and the state at each sync that was not lost
		var open disk.File
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				flag := rapid.SampledFrom([]int{os.O_RDWR | os.O_CREATE, os.O_RDWR | os.O_CREATE | os.O_TRUNC, os.O_RDWR | os.O_APPEND}).Draw(t, "flag")
				if f, err := d.OpenFile(name(), flag); err == nil {
					open = f
				}
			case 2, 3:
				if open != nil {
					_, err := open.Write(bytes())
					require.NoError(t, err)
				}
			case 4:
				if f, ok := open.(*file); ok && !f.appendMode {
					_, err := open.WriteAt(bytes(), rapid.Int64Range(0, 20).Draw(t, "at"))
					require.NoError(t, err)
				}
			case 5:
				if open != nil {
					require.NoError(t, open.Truncate(rapid.Int64Range(0, 20).Draw(t, "size")))
				}
			case 6:
				_ = d.Rename(name(), name())
			case 7:
				_ = d.Remove(name())
			case 8:
				lostFsync := rapid.Bool().Draw(t, "lost fsync")
				require.NoError(t, SetFaults(faultDir, Faults{LostFsyncs: lostFsync}))
				require.NoError(t, d.SyncDir(dir))
				if !lostFsync {
					states = append(states, readFiles(t, dir))
				}
			case 9: // another process
				open = nil
				d, err = New(disk.Local{}, faultDir)
				require.NoError(t, err)
			}
		}
		revertedSyncs := rapid.IntRange(0, len(states)-1).Draw(t, "reverted syncs")
		_, err = SimulatePowerLoss(faultDir, PowerLoss{RevertedSyncs: revertedSyncs})
		require.NoError(t, err)
		require.Equal(t, states[len(states)-1-revertedSyncs], readFiles(t, dir))
		undone, err := SimulatePowerLoss(faultDir, PowerLoss{})
		require.NoError(t, err)
		require.Zero(t, undone, "changes are undone twice")
	})
}

// newDiskWithFile returns a file system with faults, its fault directory and the name of a file of ten bytes on it.
func newDiskWithFile(t *testing.T) (d *FS, faultDir, name string) {
	faultDir, name = t.TempDir(), filepath.Join(t.TempDir(), "f")
	d, err := New(disk.Local{}, faultDir)
	require.NoError(t, err)
	require.NoError(t, disk.WriteFile(d, name, []byte("0123456789")))
	return d, faultDir, name
}

// A torn write leaves the first half of its bytes, also if its file was renamed afterwards. A write that a sync has
// made durable is not torn.
func TestTornWriteKeepsFirstHalf(t *testing.T) {
	_, faultDir, name := newDiskWithFile(t)
	undone, err := SimulatePowerLoss(faultDir, PowerLoss{TornWrite: true})
	require.NoError(t, err)
	require.Zero(t, undone)
	d, err := New(disk.Local{}, faultDir)
	require.NoError(t, err)
	require.NoError(t, SetFaults(faultDir, Faults{LostFsyncs: true}))
	require.NoError(t, disk.WriteFile(d, name, []byte("abcdefgh")))
	_, err = SimulatePowerLoss(faultDir, PowerLoss{TornWrite: true})
	require.NoError(t, err)
	require.Equal(t, map[string]string{"f": "abcd"}, readFiles(t, filepath.Dir(name)))

	d, err = New(disk.Local{}, faultDir)
	require.NoError(t, err)
	f, err := d.OpenFile(name, os.O_RDWR)
	require.NoError(t, err)
	_, err = f.WriteAt([]byte("WXYZ"), 2)
	require.NoError(t, err)
	_, err = SimulatePowerLoss(faultDir, PowerLoss{TornWrite: true})
	require.NoError(t, err)
	require.Equal(t, map[string]string{"f": "abWX"}, readFiles(t, filepath.Dir(name)))
}

// While a fault is set, writes to an open file and replacements of files fail with its error. On a full disk, half of
// the bytes are written. Without faults, writes succeed.
func TestWritesFailWithFault(t *testing.T) {
	d, faultDir, name := newDiskWithFile(t)
	open, err := d.OpenFile(name, os.O_RDWR|os.O_APPEND)
	require.NoError(t, err)
	for _, x := range []struct {
		faults  Faults
		want    syscall.Errno
		content string
	}{
		{Faults{Full: true}, syscall.ENOSPC, "0123456789ab"},
		{Faults{ReadOnly: true}, syscall.EROFS, "0123456789ab"},
		{Faults{ErrorFraction: 1}, syscall.EIO, "0123456789ab"},
		{Faults{}, 0, "0123456789ababcd"},
	} {
		require.NoError(t, SetFaults(faultDir, x.faults))
		_, err := open.Write([]byte("abcd"))
		replaceErr := disk.WriteFile(d, name+"2", []byte("whole"))
		if x.want == 0 {
			require.NoError(t, err)
			require.NoError(t, replaceErr)
		} else {
			var pathErr *fs.PathError
			require.ErrorAs(t, err, &pathErr)
			require.ErrorIs(t, err, x.want)
			require.ErrorIs(t, replaceErr, x.want)
		}
		raw, err := os.ReadFile(name)
		require.NoError(t, err)
		require.Equal(t, x.content, string(raw))
	}
}

// With bit rot in all reads, a read returns exactly one flipped bit, and the file on the disk is not changed.
func TestBitRotFlipsOneBitPerRead(t *testing.T) {
	d, faultDir, name := newDiskWithFile(t)
	require.NoError(t, SetFaults(faultDir, Faults{BitRotFraction: 1, Seed: 3}))
	f, err := d.OpenFile(name, os.O_RDONLY)
	require.NoError(t, err)
	b := make([]byte, 10)
	_, err = f.ReadAt(b, 0)
	require.NoError(t, err)
	flipped := 0
	for i, c := range []byte("0123456789") {
		for x := b[i] ^ c; x != 0; x &= x - 1 {
			flipped++
		}
	}
	require.Equal(t, 1, flipped)
	require.Equal(t, "0123456789", readFiles(t, filepath.Dir(name))["f"])
}

// An operation on a stalled disk does not end before the stall does, and succeeds then.
func TestStalledOperationsWait(t *testing.T) {
	d, faultDir, name := newDiskWithFile(t)
	require.NoError(t, SetFaults(faultDir, Faults{Stalled: true}))
	ended := make(chan error, 1)
	go func() { ended <- disk.WriteFile(d, name, []byte("late")) }()
	select {
	case err := <-ended:
		t.Fatalf("the write ended while the disk was stalled: %v", err)
	case <-time.After(20 * stallPollInterval):
	}
	require.Equal(t, "0123456789", readFiles(t, filepath.Dir(name))["f"])
	require.NoError(t, SetFaults(faultDir, Faults{}))
	require.NoError(t, <-ended)
	require.Equal(t, map[string]string{"f": "late"}, readFiles(t, filepath.Dir(name)))
}

// While fsyncs are lost for a long time, the undo log and the number of backups stay within their limits. The oldest
// changes, whose records are discarded, become durable.
func TestUndoLogIsBounded(t *testing.T) {
	d, faultDir, name := newDiskWithFile(t)
	require.NoError(t, SetFaults(faultDir, Faults{LostFsyncs: true}))
	rng := rand.New(rand.NewPCG(1, 0))
	for range 1500 {
		require.NoError(t, disk.WriteFile(d, name, slices.Repeat([]byte{byte(rng.Uint32())}, 1000)))
		require.LessOrEqual(t, d.undoLog.recordCount, maxUndoRecords)
	}
	entries, err := os.ReadDir(faultDir)
	require.NoError(t, err)
	require.LessOrEqual(t, len(entries), maxUndoRecords/3+3)
	undone, err := SimulatePowerLoss(faultDir, PowerLoss{})
	require.NoError(t, err)
	require.Greater(t, undone, maxUndoRecords/3)
	require.Len(t, readFiles(t, filepath.Dir(name))["f"], 1000)
}

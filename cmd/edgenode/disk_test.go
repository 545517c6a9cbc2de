package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sloestile/internal/store/disk/faulty"
)

// The deployed program contains neither the code of the faulty disk nor its environment variable, and ignores the
// variable if it is set. The program built with the tag lab has both.
func TestFaultyDiskIsOnlyInLabBuild(t *testing.T) {
	for _, tags := range []string{"", "lab"} {
		bin := filepath.Join(t.TempDir(), "edgenode")
		out, err := exec.Command("go", "build", "-tags", tags, "-o", bin, ".").CombinedOutput()
		require.NoError(t, err, string(out))
		raw, err := os.ReadFile(bin)
		require.NoError(t, err)
		symbols, err := exec.Command("go", "tool", "nm", bin).CombinedOutput()
		require.NoError(t, err)
		dir := filepath.Join(t.TempDir(), "drive")
		cmd := exec.Command(bin) // it opens the disk, then fails at the socket, since descriptor 99 is not open
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+testConfig, "NODE_SOCKET_FD=99", faulty.EnvVariable+"="+dir)
		require.Error(t, cmd.Run())
		lab := tags == "lab"
		require.Equal(t, lab, bytes.Contains(symbols, []byte("disk/faulty")), "symbols with tags %q", tags)
		require.Equal(t, lab, bytes.Contains(raw, []byte(faulty.EnvVariable)), "environment variable with tags %q", tags)
		require.Equal(t, lab, bytes.Contains(raw, []byte("disk/faulty")), "package path with tags %q", tags)
		_, err = os.Stat(dir)
		require.Equal(t, lab, err == nil, "folder of the faulty disk with tags %q: %v", tags, err)
	}
}

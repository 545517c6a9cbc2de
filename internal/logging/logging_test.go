package logging

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// Lines come in their order, and all of them before the end of Flush.
func TestLinesComeInOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintln(&want, "line", i)
		fmt.Fprintln(w, "line", i)
	}
	w.Flush(testTimeout)
	assert.Equal(t, want.String(), out.String())
}

// Guards against a program that stops as nobody reads its log: lines are dropped and counted, and later ones come again.
func TestWriteDoesNotWaitForAReader(t *testing.T) {
	reader, pipe, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _, _ = reader.Close(), pipe.Close() }()
	w := NewWriter(pipe)
	line := strings.Repeat("x", 99) + "\n"
	for range 10_000 {
		_, err := w.Write([]byte(line))
		require.NoError(t, err)
	}
	w.Flush(time.Millisecond) // returns though nothing is read
	received := make(chan string)
	go func() {
		var all []byte
		piece := make([]byte, 1<<16)
		for !bytes.HasSuffix(all, []byte("last\n")) {
			n, err := reader.Read(piece)
			if err != nil {
				break
			}
			all = append(all, piece[:n]...)
		}
		received <- string(all)
	}()
	deadline := time.Now().Add(testTimeout)
	for w.waiting() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprintln(w, "last")
	all := <-received
	assert.Contains(t, all, "lines dropped")
	assert.Less(t, len(all), 10_000*len(line))
	assert.True(t, strings.HasSuffix(all, "\nlast\n"), all[max(0, len(all)-100):])
}

// waiting returns the number of bytes that wait to be written.
func (w *Writer) waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffered)
}

package prefetch

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"sloestile/internal/canonical"
	"sloestile/internal/golden"
)

func encodeAs[T any](v *T) ([]byte, error) { return canonical.Encoder.Marshal(v) }

func decodeAs[T any](raw []byte) (*T, error) {
	v := new(T)
	return v, cbor.Unmarshal(raw, v)
}

// Guards against a change of the encoding of reservations and checkpoints, which nodes of other versions and
// stored checkpoints rely on.
func TestReservationsAreEncodedAsRecorded(t *testing.T) {
	golden.RoundTrip(t, "id", encodeAs[ID], decodeAs[ID])
	golden.RoundTrip(t, "part", encodeAs[Bucket], decodeAs[Bucket])
	golden.RoundTrip(t, "loan", encodeAs[Reservation], decodeAs[Reservation])
	golden.RoundTrip(t, "kept", encodeAs[Checkpoint], decodeAs[Checkpoint])
}

// Guards against a key of the calendar that is renamed or no longer read.
func TestCalendarIsReadAsRecorded(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	require.NoError(t, err)
	calendar, err := ParseCalendar(text)
	require.NoError(t, err)
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(calendar)) {
		fmt.Fprintln(&out, name, calendar[name].Nodes)
		for _, w := range calendar[name].Windows {
			fmt.Fprintln(&out, w.FirstStart.Format(time.RFC3339Nano), w.LengthSeconds, w.PeriodSeconds, w.Probability)
		}
	}
	golden.CheckText(t, "every-key", out.String())
}

// Guards against a misspelt key that is ignored silently, at each depth of the document.
func TestCalendarRejectsUnknownKey(t *testing.T) {
	for key, text := range map[string]string{
		"hall-a.other":         "[hall-a]\nnodes = [\"n0\"]\nother = 1\n",
		"hall-a.windows.other": "[hall-a]\nnodes = [\"n0\"]\n[[hall-a.windows]]\nfirst = 2026-12-01T00:00:00Z\nfor_s = 1.0\nother = 1\n",
	} {
		_, err := ParseCalendar([]byte(text))
		var calendarErr *CalendarError
		require.ErrorAs(t, err, &calendarErr)
		require.Equal(t, key+": unknown key", calendarErr.Key+": "+calendarErr.Reason)
	}
}

// Guards against a renamed or reordered state of an uplink.
func TestStateNamesAreAsRecorded(t *testing.T) {
	text := ""
	for s := Clear; s <= Surprised; s++ {
		text += s.String() + "\n"
	}
	golden.CheckText(t, "states", text)
}

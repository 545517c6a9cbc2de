package zone

import (
	"testing"

	"martennotch/internal/oncall"
)

func TestErrorsSayWhatToDo(t *testing.T) {
	oncall.Check(t,
		&OrderError{Order: "go"},
	)
}

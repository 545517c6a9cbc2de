package config

import (
	"testing"

	"sloestile/internal/oncall"
)

func TestErrorsIncludeOperatorHint(t *testing.T) {
	oncall.Check(t,
		&FileError{File: "config.json", Key: "seed", Err: oncall.ErrCause},
		&EnvironmentError{Variable: "NODE_CONSOLE", Err: oncall.ErrCause},
		&FleetFileError{File: "fleet.toml", Line: 3, Key: "peers.port", Err: oncall.ErrCause},
	)
}

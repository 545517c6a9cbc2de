package config

import (
	"fmt"

	"sloestile/internal/oneline"
)

// FileError reports a configuration file that is missing or invalid.
type FileError struct {
	File string
	Key  string // key of the invalid setting; "" means the whole file
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("configuration %s: %s; correct the file, then start the node again, or send SIGHUP to a running node", e.File, withKey(e.Key, e.Err))
}

func (e *FileError) Unwrap() error { return e.Err }

// EnvironmentError reports an environment variable with an invalid value.
type EnvironmentError struct {
	Variable string
	Err      error
}

func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("environment: %s: %s; correct the variable and start again", e.Variable, oneline.Of(e.Err))
}

func (e *EnvironmentError) Unwrap() error { return e.Err }

// FleetFileError reports a fleet file that is missing or invalid.
type FleetFileError struct {
	File string
	Line int    // line of the error; 0 means unknown
	Key  string // key of the invalid setting; "" means the whole file
	Err  error
}

func (e *FleetFileError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s: line %d", place, e.Line)
	}
	return fmt.Sprintf("fleet file %s: %s; correct it and validate it with edgenode check", place, withKey(e.Key, e.Err))
}

func (e *FleetFileError) Unwrap() error { return e.Err }

// withKey returns the one-line text of err, prefixed with key and a colon unless key is "".
func withKey(key string, err error) string {
	if key == "" {
		return oneline.Of(err)
	}
	return key + ": " + oneline.Of(err)
}

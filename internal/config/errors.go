package config

import (
	"fmt"

	"sloestile/internal/oneline"
)

// FileError is a configuration file that can't be used.
type FileError struct {
	File string
	Key  string // "" is the file as a whole
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("configuration %s: %s; mend the file, then start again, or send SIGHUP to a node that runs", e.File, withKey(e.Key, e.Err))
}

func (e *FileError) Unwrap() error { return e.Err }

// EnvironmentError is a variable of the environment that can't be used.
type EnvironmentError struct {
	Variable string
	Err      error
}

func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("environment: %s: %s; mend the variable and start again", e.Variable, oneline.Of(e.Err))
}

func (e *EnvironmentError) Unwrap() error { return e.Err }

// FleetFileError is a fleet file that can't be used.
type FleetFileError struct {
	File string
	Line int    // 0 is not known
	Key  string // "" is the file as a whole
	Err  error
}

func (e *FleetFileError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s: line %d", place, e.Line)
	}
	return fmt.Sprintf("fleet file %s: %s; mend it and try it with edgenode check", place, withKey(e.Key, e.Err))
}

func (e *FleetFileError) Unwrap() error { return e.Err }

// withKey returns the text of a cause after the key that it is about.
func withKey(key string, err error) string {
	if key == "" {
		return oneline.Of(err)
	}
	return key + ": " + oneline.Of(err)
}

package node

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"sloestile/internal/oneline"
)

// ListenError reports that the node can't listen on a socket.
type ListenError struct {
	Callers string // who connects to the socket: clients or operators
	Address string // address, or the inherited descriptor
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listening for %s: %s: %s; stop the process that uses the address, or configure another one and start again", e.Callers, e.Address, oneline.Of(e.Err))
}

func (e *ListenError) Unwrap() error { return e.Err }

// ServeError reports that the listener for clients failed while the node served.
type ServeError struct {
	Address string
	Err     error
}

func (e *ServeError) Error() string {
	return fmt.Sprintf("serving clients: %s: %s; start the node again, and look at its limit on descriptors", e.Address, oneline.Of(e.Err))
}

func (e *ServeError) Unwrap() error { return e.Err }

// ModuleError reports that the decision module panicked. All open requests have been answered with 502.
type ModuleError struct{ Panic any }

func (e *ModuleError) Error() string {
	return fmt.Sprintf("the decision module failed: %s; start the node again and report it with the log's stack", oneline.Of(fmt.Errorf("%v", e.Panic)))
}

// statusError is an error of a console call with the HTTP status of the response.
type statusError interface {
	error
	Status() int
}

// writeError answers a console call with an error. The status is 400 unless the error is a statusError.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if e, ok := errors.AsType[statusError](err); ok {
		status = e.Status()
	}
	slog.Info("console: call rejected", "status", status, "error", err)
	http.Error(w, err.Error(), status)
}

// CallError reports a console call with an unknown path, or a method that the path does not allow.
type CallError struct {
	Method, Path string
	Allowed      []string // methods of the path; empty if the path is unknown
}

func (e *CallError) Error() string {
	if len(e.Allowed) == 0 {
		return fmt.Sprintf("console: %q: no such call; see the table of calls in docs/oncall.md", e.Path)
	}
	return fmt.Sprintf("console: %s: method %q is not allowed; call it by %s", e.Path, e.Method, strings.Join(e.Allowed, " or "))
}

// Status returns the HTTP status of the response.
func (e *CallError) Status() int {
	if len(e.Allowed) == 0 {
		return http.StatusNotFound
	}
	return http.StatusMethodNotAllowed
}

// EndingError reports that a drain can't be canceled, as the process is shutting down.
type EndingError struct{ Node string }

func (e *EndingError) Error() string {
	return fmt.Sprintf("console: undrain: node %s: the process ends; start another one", e.Node)
}

// Status returns the HTTP status of the response.
func (e *EndingError) Status() int { return http.StatusConflict }

// ZoneError reports an order for a zone that the fleet file does not name.
type ZoneError struct {
	Zone  string
	Known []string // names of the zones in the fleet file
}

func (e *ZoneError) Error() string {
	return fmt.Sprintf("console: zones: no zone %q; name one of %s", e.Zone, strings.Join(e.Known, ", "))
}

// Status returns the HTTP status of the response.
func (e *ZoneError) Status() int { return http.StatusNotFound }

// BusyError reports that the event loop has not executed a call in time.
type BusyError struct {
	Call    string
	Timeout time.Duration
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("console: %s: not executed within %v, it may still be executed later; check the current state, then call again", e.Call, e.Timeout)
}

// Status returns the HTTP status of the response.
func (e *BusyError) Status() int { return http.StatusServiceUnavailable }

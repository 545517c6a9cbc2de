package control

import "time"

// Action is something that the caller of Controller.Handle has to do. The caller carries out the actions of
// one call in order. The Controller emits Send, Reject, Fail, SetTimer, Watch and LogLine; no rule emits
// the other kinds.
type Action interface{ isAction() }

// Send starts an attempt of a request at a server. The attempts of a request are numbered 0, 1, 2 in the
// order of their Send actions.
type Send struct {
	ID       string
	Server   uint32
	Timeout  time.Duration // maximum duration of the attempt; 0 means until the client gives up
	NotAfter time.Duration // time after which the attempt must not start; 0 means no limit
}

// CancelAttempt cancels an outstanding attempt.
type CancelAttempt struct {
	ID      string
	Attempt int // number of the attempt, from 0
}

// Reject is the final response to a request that the client may retry without harm: it did not run, or a
// second run is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // Retry-After of the response; 0 means none
}

// Fail is the final response to a request that may have run. It promises nothing about a retry.
type Fail struct{ ID string }

// SetTimer requests a Timer event.
type SetTimer struct {
	After time.Duration // delay until the event
	Label uint64        // label of the event
}

// HealthCheck starts a health check of a server.
type HealthCheck struct{ Server uint32 }

// Disconnect closes the idle connections to a server.
type Disconnect struct{ Server uint32 }

// Watch starts a watch of the endpoint list if Active is true, and stops it otherwise.
type Watch struct{ Active bool }

// FetchList fetches the complete endpoint list once.
type FetchList struct{}

// SendToPeer sends a message to another node.
type SendToPeer struct {
	To  int    // index of the node; a negative value means all nodes
	Raw []byte // body of the message
}

// AddToCounter adds Add to a counter of the counter service.
type AddToCounter struct {
	Name uint64 // number of the counter
	Add  float64
	TTL  time.Duration // delay until the counter expires
}

// LogLine writes a line to the operators' log.
type LogLine struct{ Text string }

func (Send) isAction()          {}
func (CancelAttempt) isAction() {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (SetTimer) isAction()      {}
func (HealthCheck) isAction()   {}
func (Disconnect) isAction()    {}
func (Watch) isAction()         {}
func (FetchList) isAction()     {}
func (SendToPeer) isAction()    {}
func (AddToCounter) isAction()  {}
func (LogLine) isAction()       {}

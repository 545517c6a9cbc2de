package control

import "time"

// Action is something that the node has to do. Actions are carried out in order.
type Action interface{ isAction() }

// Send starts an attempt. The attempts of a request count 0, 1, 2 in order.
type Send struct {
	ID       string
	Server   uint32
	Timeout  time.Duration // 0 is until the client gives up
	NotAfter time.Duration // time by which it begins, or never does; 0 is no limit
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// Reject is the final answer "did not run, safe to retry".
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 is no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID string }

// SetTimer asks for a Timer event.
type SetTimer struct {
	After time.Duration
	Label uint64
}

// HealthCheck checks a server.
type HealthCheck struct{ Server uint32 }

// Disconnect closes idle connections to a server.
type Disconnect struct{ Server uint32 }

// Watch asks for changes of the endpoint list, or stops that.
type Watch struct{ Active bool }

// FetchList asks for the complete endpoint list once.
type FetchList struct{}

// SendToPeer sends a message to another node; To below zero is to all.
type SendToPeer struct {
	To  int
	Raw []byte
}

// AddToCounter adds to a number that the counter service keeps.
type AddToCounter struct {
	Name uint64
	Add  float64
	TTL  time.Duration
}

// LogLine is a line for the operators' log.
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

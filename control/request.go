package control

import "time"

// request is a request without a final answer.
type request struct {
	id           string
	class        *Class
	plan         *planQueue
	tenant       *tenant
	tokens       float64 // that it is expected to cost
	arrived      time.Duration
	objective    time.Duration // an answer by this time has its full value
	giveUp       time.Duration // when its client gives up
	rules        *Rules        // in force when it began
	queued       bool
	streaming    bool // an answer has begun
	streamedBody bool // loads its server only once its body is sent
	mayHaveRun   bool // an attempt may have run
	attempts     int  // started
	outstanding  int  // attempts without an outcome
	tried        []uint32
	firstRun     time.Duration // start of the attempt from which the idempotency window counts
	duplicates   *server       // a server of the set that drops its duplicates; nil: any may
	timer        uint64        // label of its timers; 0 is none yet
}

// windowed reports whether the request may be retried only while its duplicates are dropped.
func (r *request) windowed() bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentByKey
}

// windowEnd returns when duplicates of a windowed request are no longer dropped.
func (r *request) windowEnd() time.Duration { return r.firstRun + r.class.IdempotencyWindow }

// attempt is an outstanding attempt of a request.
type attempt struct {
	request *request
	server  *server
	tenant  *tenant
	started time.Duration // when its body was sent completely
	sending bool          // its body is still being sent: it loads no server yet
}

// attemptKey names an attempt by its request and number.
type attemptKey struct {
	id     string
	number int
}

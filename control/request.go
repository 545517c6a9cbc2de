package control

import "time"

// request is a request without a final answer.
type request struct {
	id                  string
	class               *Class
	plan                *planQueue
	tenant              *tenant
	tokens              float64 // that it is expected to cost
	arrivedAt           time.Duration
	objectiveAt         time.Duration // an answer by this time has its full value
	giveUpAt            time.Duration // when its client gives up
	rules               *Rules        // in force when it began
	queued              bool
	responseStarted     bool // an answer has begun
	streamedBody        bool // loads its server only once its body is sent
	mayHaveRun          bool // an attempt may have run
	attempts            int  // started
	outstandingAttempts int  // attempts without an outcome
	triedServers        []uint32
	firstRunAt          time.Duration // start of the attempt from which the idempotency window counts
	dedupServer         *server       // a server of the set that drops its duplicates; nil: any may
	timer               uint64        // label of its timers; 0 is none yet
}

// hasIdempotencyWindow reports whether the request may be retried only while its duplicates are dropped.
func (r *request) hasIdempotencyWindow() bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentByKey
}

// idempotencyWindowEnd returns when duplicates of a windowed request are no longer dropped.
func (r *request) idempotencyWindowEnd() time.Duration {
	return r.firstRunAt + r.class.IdempotencyWindow
}

// attempt is an outstanding attempt of a request.
type attempt struct {
	request     *request
	server      *server
	tenant      *tenant
	startedAt   time.Duration // when its body was sent completely
	sendingBody bool          // its body is still being sent: it loads no server yet
}

// attemptKey names an attempt by its request and number.
type attemptKey struct {
	id     string
	number int
}

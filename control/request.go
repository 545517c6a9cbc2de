package control

import "time"

// request is a request without a final response.
type request struct {
	id                  string
	class               *Class
	plan                *planQueue
	tenant              *tenant
	tokens              float64       // expected cost of the request
	arrivedAt           time.Duration // time of arrival; a streamed body counts as arrived when it has been sent
	objectiveAt         time.Duration // time by which a response has its full value
	giveUpAt            time.Duration // time at which the client gives up
	rules               *Rules        // rules in force at the request's arrival
	queued              bool          // waiting in the queue of its plan
	responseStarted     bool          // a streamed response has begun
	streamedBody        bool          // the request loads its server only once its body has been sent
	mayHaveRun          bool          // an attempt may have run
	attempts            int           // number of attempts that were started
	outstandingAttempts int           // attempts without an outcome
	triedServers        []uint32      // servers of its attempts
	firstRunAt          time.Duration // start of the attempt from which the idempotency window counts
	dedupServer         *server       // server in the scope of the key; nil means that any server may be chosen
	timer               uint64        // label of its timers; 0 means that it has none yet
}

// hasIdempotencyWindow reports whether the request may be retried only until the end of its idempotency
// window.
func (r *request) hasIdempotencyWindow() bool {
	return r.mayHaveRun && r.class.Idempotency == IdempotentByKey
}

// dedupScope returns the scope of the servers that drop duplicates of the request, around dedupServer. It
// returns KeyScopeAll if the request may be sent to any server.
func (r *request) dedupScope() KeyScope {
	if r.dedupServer == nil || r.class.Idempotency != IdempotentByKey {
		return KeyScopeAll
	}
	return r.class.KeyScope
}

// idempotencyWindowEnd returns the time from which servers no longer drop duplicates of the request.
func (r *request) idempotencyWindowEnd() time.Duration {
	return r.firstRunAt + r.class.IdempotencyWindow
}

// attempt is an outstanding attempt of a request.
type attempt struct {
	request     *request
	server      *server
	tenant      *tenant
	startedAt   time.Duration // start of the attempt, or the time at which its streamed body had been sent
	sendingBody bool          // a streamed body is being sent: the attempt loads no server yet
}

// attemptKey identifies an attempt by its request and number.
type attemptKey struct {
	id     string
	number int
}

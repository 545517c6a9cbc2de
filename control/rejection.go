package control

// reject answers that a request did not run and when to retry it.
func (c *Controller) reject(id string) {
	c.env.emit(Reject{ID: id, RetryAfter: c.env.retryAfter()})
}

// rejectOrFail gives the final answer of a request that was not served: a rejection where that is true or
// harmless, else a failure, which promises nothing.
func (c *Controller) rejectOrFail(r *request) {
	if r.mayBeRejected() {
		c.reject(r.id)
	} else {
		c.env.emit(Fail{ID: r.id})
	}
	c.forget(r)
}

// mayBeRejected reports whether a retry of the request by the client does no harm: it surely did
// not run, or it may run again anywhere.
func (r *request) mayBeRejected() bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case !r.mayHaveRun && r.outstandingAttempts == 0:
		return true
	}
	return r.class.Idempotency == IdempotentByKey && r.class.KeyScope == KeyScopeAll
}

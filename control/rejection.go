package control

// reject emits the rejection of a request, with advice on when to retry.
func (c *Controller) reject(id string) {
	c.env.emit(Reject{ID: id, RetryAfter: c.env.settings.RetryAfter()})
}

// rejectOrFail ends a request that was not served. It rejects the request if a retry by the client does no
// harm. Otherwise it emits a failure, which promises nothing.
func (c *Controller) rejectOrFail(r *request) {
	if r.mayBeRejected() {
		c.reject(r.id)
	} else {
		c.env.emit(Fail{ID: r.id})
	}
	c.forget(r)
}

// mayBeRejected reports whether a retry of the request by the client does no harm.
func (r *request) mayBeRejected() bool {
	return r.class.RetryIsHarmless(r.mayHaveRun || r.outstandingAttempts > 0)
}

// RetryIsHarmless reports whether a client may retry a request of the class without harm: the request did not
// run, or it may run again at any server.
func (c *Class) RetryIsHarmless(mayHaveRun bool) bool {
	return !mayHaveRun || c.Idempotency == Idempotent ||
		(c.Idempotency == IdempotentByKey && c.KeyScope == KeyScopeAll)
}

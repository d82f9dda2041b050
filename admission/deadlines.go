package admission

const (
	// reviewsPerObjective is the number of times per latency objective at which a changing timeout is checked:
	// a wait exceeds its timeout by a small part of the objective, and the timers stay few.
	reviewsPerObjective = 16
	// longCallQueueDivisor divides the latency objective to give the length of the call queue, in time at the current
	// pace, above which calls of low value are skipped early.
	longCallQueueDivisor = 8
	// recordReviewInterval is the minimum time between reviews of a record without an entry in the idempotency table.
	recordReviewInterval = Second
)

// answerMargin returns how long before its deadline a request is answered: two timer periods and two rounds, so that
// the response reaches the client in time.
func (c *Controller) answerMargin() Time { return 2*timerPeriod + 2*c.settings.roundInterval }

// review acts on a request whose time has come and schedules its next review.
func (c *Controller) review(i index) {
	r := &c.requests.at[i]
	class := &c.classes[r.class]
	end := r.deadline - c.answerMargin()
	if c.drain.active {
		end = min(end, c.drain.killAt-c.answerMargin())
	}
	if r.state == awaitingCall && !class.canSkipCall && !class.hasLateValue {
		// Guards against a slow dependency that fills all slots with requests whose responses have no value left. Does
		// harm where such a response is still wanted.
		end = min(end, r.arrivedAt+class.objective)
	}
	switch {
	case r.state == finished || r.answered:
		c.reviewRecord(i)
	case r.state == queued:
		c.reviewQueued(i, end)
	case c.now >= end:
		c.fail(i, ReasonDeadline)
	case r.state == awaitingCall:
		c.reviewCall(i, end)
	default:
		c.timers.schedule(&c.requests, i, end)
	}
}

// reviewRecord removes an expired entry from the idempotency table and an expired record from the request table.
func (c *Controller) reviewRecord(i index) {
	r := &c.requests.at[i]
	if r.entry.expires > 0 && c.now >= r.entry.expires {
		r.entry.expires = 0
		c.memory.used -= c.memory.entryKB
	}
	if r.state == finished && r.entry.expires == 0 && c.now >= r.entry.recordExpires {
		c.timers.cancel(&c.requests, i)
		c.requests.remove(i)
		return
	}
	next := r.entry.expires
	if next == 0 {
		next = max(r.entry.recordExpires, c.now+recordReviewInterval)
	}
	c.timers.schedule(&c.requests, i, next)
}

// reviewQueued sheds a request that has reached its deadline or its queue timeout. The timeout changes with the
// queue, so it is checked repeatedly.
func (c *Controller) reviewQueued(i index, end Time) {
	r := &c.requests.at[i]
	objective := c.classes[r.class].objective
	timeout := c.queueTimeouts.timeout(queuedRequest{objective: objective, expectedRunTime: c.expectedRunTimeOf(r),
		rank: c.queueTimeouts.cell(r).rank, isRetry: r.isRetry}, &c.queue, c.limit.cores)
	timeoutAt := r.arrivedAt + timeout
	if c.now >= end {
		c.shed(i, ReasonDeadline)
		return
	}
	if c.now >= timeoutAt {
		c.shed(i, ReasonQueueTimeout)
		return
	}
	c.timers.schedule(&c.requests, i, min(end, timeoutAt, c.now+objective/reviewsPerObjective))
}

// reviewCall skips a call that cannot return within the latency objective, if the response still has value without
// it. While the call queue is long, calls of low value are skipped earlier, which frees their slots and leaves the
// pace to the others. It may degrade a response although the call queue is about to clear.
func (c *Controller) reviewCall(i index, end Time) {
	r := &c.requests.at[i]
	class := &c.classes[r.class]
	if !r.call.queued {
		c.enqueueCall(i)
		return
	}
	skipAt := r.arrivedAt + class.objective - Time(c.calls.meanCallTime)
	if Time(c.calls.queue.length)*c.calls.interval(c.now) > class.objective/longCallQueueDivisor {
		skipAt = min(skipAt, r.call.queuedAt+Time(float64(skipAt-r.call.queuedAt)*class.callWeight*class.callWeight))
	}
	if class.canSkipCall && c.now >= skipAt {
		c.dequeueCall(i)
		c.skipCall(i)
		return
	}
	if class.canSkipCall {
		end = min(end, skipAt, c.now+class.objective/reviewsPerObjective)
	}
	c.timers.schedule(&c.requests, i, end)
}

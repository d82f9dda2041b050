package admission

const (
	// reviewsPerObjective is how often a moving timeout is looked at in a latency objective: a wait then exceeds its
	// timeout by a small part of the objective, and the timers stay few.
	reviewsPerObjective = 16
	// longCallQueueDivisor: calls that earn little are skipped early while the queue of calls takes longer than the
	// objective over it, an eighth, at their pace.
	longCallQueueDivisor = 8
	// recordReviewInterval is how often a record is looked at that is kept without an entry.
	recordReviewInterval = Second
)

// answerMargin is how long before its deadline a request is answered: the timer's period, the wheel's step and a round,
// twice, lest the response reach the client too late.
func (c *Controller) answerMargin() Time { return 2*timerPeriod + 2*c.settings.roundInterval }

// review decides whether the time of a request has come, and when it is to be looked at next.
func (c *Controller) review(i index) {
	r := &c.requests.at[i]
	class := &c.classes[r.class]
	end := r.deadline - c.answerMargin()
	if c.drain.active {
		end = min(end, c.drain.killAt-c.answerMargin())
	}
	if r.state == awaitingCall && !class.canSkipCall && !class.hasLateValue {
		// Guards against slots held for calls that can't be made; a slow dependency would fill them all with requests
		// that are past use. Could harm where a response that earns nothing is still wanted.
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

// reviewRecord ends an entry whose time is over, and forgets a request of which nothing is left.
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

// reviewQueued sheds a request that has waited for as long as it may. The timeout moves with the queue, so it is
// looked at a few times on the way.
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

// reviewCall decides how long a run waits for its call: one that can't be back within the objective is skipped where
// that still earns. While the queue of calls is long, those that earn least by their call wait least for it: their
// slots are free sooner and the calls go to the rest. It may harm a full response if the queue is about to clear.
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

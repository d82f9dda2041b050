package admission

// removeUnrun ends a request that never ran. The oldest request that waits for its run takes its place in the
// idempotency table.
func (c *Controller) removeUnrun(i index, shed bool) {
	r := &c.requests.at[i]
	if r.state == queued {
		c.dequeue(i, shed)
	}
	c.requests.detachRepeat(i)
	c.removeEntry(r)
	if oldest := c.requests.promoteRepeat(i); oldest != none {
		c.addEntry(oldest)
	}
	c.finish(i)
}

// finish releases the memory of a request. Its entry in the idempotency table, if any, stays until it expires.
func (c *Controller) finish(i index) {
	r := &c.requests.at[i]
	c.memory.used -= r.sizeKB
	r.enter(finished)
	if r.entry.expires > 0 || r.entry.recordExpires > 0 {
		// A repeat that arrived by now may be read as late as its own client's timeout.
		r.entry.recordExpires = max(r.entry.expires, c.now) + c.classes[r.class].timeout
	}
	c.review(i)
}

// fail answers a request that ran, or awaits a run's result, with an error and stops its run if possible.
func (c *Controller) fail(i index, reason Reason) {
	c.requests.at[i].failed = true
	c.writer.Fail(c.requests.at[i].id, reason)
	c.detachClient(i, true)
}

// handleDisconnect handles a request whose client has disconnected. The run of an at-most-once request continues,
// since a repeat may need its response.
func (c *Controller) handleDisconnect(i index) {
	if i != none && !c.requests.at[i].answered {
		c.detachClient(i, !c.classes[c.requests.at[i].class].atMostOnce)
	}
}

// detachClient marks a request as no longer waited for by its client. A run in progress keeps its slot until its end
// is reported.
func (c *Controller) detachClient(i index, stopRun bool) {
	r := &c.requests.at[i]
	r.answered = true
	switch r.state {
	case queued:
		r.failed = true
		c.removeUnrun(i, false)
		return
	case received, awaitingResult:
		r.failed = true
		c.finish(i)
		return
	case awaitingCall:
		// The run is not stopped, and neither is one whose call is in flight. Both keep their slots until the kernel,
		// which ends runs that stay at a call for too long, reports their ends.
		c.dequeueCall(i)
	case running:
		if stopRun && c.settings.cancellation != CancelNever && !r.resultShared {
			c.writer.Stop(r.id)
		}
	}
	c.review(i)
}

// handleRunEnd handles the end of a run, or of a request that awaits the result of another's run.
func (c *Controller) handleRunEnd(e RunEnd) {
	i := c.requests.find(e.ID)
	if i == none {
		return
	}
	r := &c.requests.at[i]
	succeeded, inTime := e.Outcome == Succeeded, c.now-r.arrivedAt <= c.classes[r.class].objective
	switch r.state {
	case queued, finished:
		return
	case awaitingResult:
		r.failed, r.answered = !succeeded, true
		c.queueTimeouts.classes[r.class].served.add(c.now, boolToFloat(succeeded && inTime), 0)
		c.finish(i)
		return
	case awaitingCall:
		c.dequeueCall(i)
	case inCall:
		c.calls.inFlight.change(c.now, -1)
		c.calls.recordAbandoned(c.now)
	}
	c.limit.slotsInUse--
	if c.pools != nil {
		c.pools.Ended(c.now, r.id, succeeded, succeeded && inTime)
	}
	c.memory.used -= c.memory.runKB(r.sizeKB)
	r.failed = r.failed || !succeeded
	c.recordRun(r, e, inTime)
	c.updateEntry(r, e.Outcome)
	r.answered = true
	c.finish(i)
}

// recordRun adds a run to the measurements of its class.
func (c *Controller) recordRun(r *requestRecord, e RunEnd, inTime bool) {
	demand := &c.queueTimeouts.classes[r.class]
	if e.Outcome == NotExecuted {
		demand.served.add(c.now, 0, -1) // not executed: not counted as read
	}
	if e.Outcome != Succeeded {
		return
	}
	c.recordProgress()
	c.readiness.countLate(c.now, !inTime)
	demand.served.add(c.now, boolToFloat(inTime), 0)
	c.classes[r.class].runTimes.add(c.now, float64(e.Elapsed), r.work)
	demand.work.add(c.now, float64(max(e.Elapsed-r.call.elapsed, 0)), 1)
}

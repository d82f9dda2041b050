package admission

// removeUnrun takes out a request that never ran. The first of those that wait for it takes its place in the idempotency
// table.
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

// finish ends what a request holds; only its entry in the idempotency table may be left.
func (c *Controller) finish(i index) {
	r := &c.requests.at[i]
	c.memory.used -= r.sizeKB
	r.enter(finished)
	if r.entry.expires > 0 || r.entry.recordExpires > 0 {
		// A repeat that reached the machine by now may be read as late as its own client's timeout.
		r.entry.recordExpires = max(r.entry.expires, c.now) + c.classes[r.class].timeout
	}
	c.review(i)
}

// fail answers a request that ran, or waits for a run, with an error, and stops its work where that can be.
func (c *Controller) fail(i index, reason Reason) {
	c.requests.at[i].failed = true
	c.writer.Fail(c.requests.at[i].id, reason)
	c.detachClient(i, true)
}

// handleDisconnect takes a request whose client is known to have left. One that must run once runs on: a repeat may want
// its response.
func (c *Controller) handleDisconnect(i index) {
	if i != none && !c.requests.at[i].answered {
		c.detachClient(i, !c.classes[c.requests.at[i].class].atMostOnce)
	}
}

// detachClient ends the wait of a request that is owed no response any more. What runs keeps its slot until its end is
// reported.
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
		// The run is told nothing, and neither is one whose call is in flight (it has no case here): it keeps its slot
		// until the kernel, which ends a run that stands at a call for too long, reports that.
		c.dequeueCall(i)
	case running:
		if stopRun && c.settings.cancellation != CancelNever && !r.resultShared {
			c.writer.Stop(r.id)
		}
	}
	c.review(i)
}

// handleRunEnd takes the end of a run.
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

// recordRun takes into account what a run shows of its class.
func (c *Controller) recordRun(r *record, e RunEnd, inTime bool) {
	demand := &c.queueTimeouts.classes[r.class]
	if e.Outcome == NotExecuted {
		demand.served.add(c.now, 0, -1) // no request that any client meant: it doesn't count as read
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

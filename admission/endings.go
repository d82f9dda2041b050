package admission

// This file decides how a request ends: shed, failed, abandoned by its caller, or with the end of its run.

// shed answers a held request that never ran. It is not to be tried elsewhere if it waited long or is a further
// try, which two servers have now turned away, if callers are told to keep half of what they have away, or if
// the share of what is read that was shed here and that of further tries come to more than eight tenths:
// then the fleet is likely full and reading it once more serves nobody. Could harm where one of few is slow.
func (c *Controller) shed(i int32, waited bool) {
	it := &c.requests.at[i]
	// Six tenths for the two shares lost what it gained, seven, nine and ten gained less.
	full := c.pressure > 0.5 || c.sheds.mean(c.now, 0)+c.retries.mean(c.now, 0) > 0.8
	last := waited && (it.again || full || c.now-it.came > c.handlers[it.h].target/3)
	c.writer.Shed(it.id, last, c.backOff(int(it.h)))
	c.sheds.add(c.now, 1, 0)
	it.answered, it.failed = true, true
	if c.pools != nil && it.phase != held {
		c.pools.Rejected(c.now, int(it.h))
	}
	c.leaveQueueUnrun(i, true)
}

// leaveQueue takes a request out of the hold that gets no run.
func (c *Controller) leaveQueue(i int32, shed bool) {
	c.queue.remove(&c.requests, i)
	if c.pools != nil {
		c.pools.Dequeued(c.now, c.requests.at[i].id, shed)
	}
}

// leaveQueueUnrun takes out a request that never ran; the first of those that wait for it takes its place in the table.
func (c *Controller) leaveQueueUnrun(i int32, shed bool) {
	it := &c.requests.at[i]
	if it.phase == held {
		c.leaveQueue(i, shed)
	}
	c.requests.part(i)
	c.forget(it)
	if first := c.requests.pass(i); first != none {
		c.remember(first)
	}
	c.release(i)
}

// release ends what a request holds; only an entry in the table may be left.
func (c *Controller) release(i int32) {
	it := &c.requests.at[i]
	c.memory -= it.kb
	it.phase = over
	if it.kept > 0 || it.known > 0 {
		// A repeat that reached the machine by now may be read as late as its own client timeout.
		it.known = max(it.kept, c.now) + c.handlers[it.h].timeout
	}
	c.review(i)
}

// failRequest answers a request that ran, or waits for a run, with an error, and stops its work where that can be.
func (c *Controller) failRequest(i int32) {
	c.requests.at[i].failed = true
	c.writer.Fail(c.requests.at[i].id)
	c.stopWaiting(i, true)
}

// abandon takes a request whose caller is known to have left. A uniqued one runs on: a repeat may want its answer.
func (c *Controller) abandon(i int32) {
	if i != none && !c.requests.at[i].answered {
		c.stopWaiting(i, !c.handlers[c.requests.at[i].h].runsOnce)
	}
}

// stopWaiting ends the wait of a request that owes no answer any more; what runs is counted until its end is reported.
func (c *Controller) stopWaiting(i int32, stop bool) {
	it := &c.requests.at[i]
	it.answered = true
	switch it.phase {
	case held:
		it.failed = true
		c.leaveQueueUnrun(i, false)
		return
	case read, sharing:
		it.failed = true
		c.release(i)
		return
	case calling:
		c.leaveCallQueue(i)
	case running:
		if stop && c.stop != CancelNever && !it.lent {
			c.writer.Stop(it.id)
		}
	}
	c.review(i)
}

// runEnded takes the end of a run.
func (c *Controller) runEnded(e RunEnd) {
	i := c.requests.find(e.ID)
	if i == none {
		return
	}
	it := &c.requests.at[i]
	h := &c.handlers[it.h]
	late := c.now-it.came > h.target
	switch it.phase {
	case held, over:
		return
	case sharing:
		it.failed, it.answered = e.Outcome != Succeeded, true
		h.inTime.add(c.now, one(e.Outcome == Succeeded && !late), 0)
		c.release(i)
		return
	case calling:
		c.leaveCallQueue(i)
	case outside:
		c.callsInFlight.move(c.now, -1)
		c.countAbandonedCall()
	}
	c.running--
	if c.pools != nil {
		c.pools.Ended(c.now, it.id, e.Outcome == Succeeded, e.Outcome == Succeeded && !late)
	}
	c.memory -= it.kb * (c.runKB - 1)
	it.failed = it.failed || e.Outcome != Succeeded
	h.inTime.add(c.now, 0, -one(e.Outcome == NotExecuted)) // it was no request that any caller meant: not to be counted
	if e.Outcome == Succeeded {
		c.noteProgress()
		c.countLate(late)
		h.inTime.add(c.now, one(!late), 0)
		h.serviceRatios.add(c.now, float64(e.Elapsed), it.cost)
		h.work.add(c.now, float64(max(e.Elapsed-it.spent, 0)), 1)
	}
	switch {
	case h.runsOnce && e.Outcome != NotExecuted || it.kept == 0:
	case it.failed:
		c.forget(it)
	default:
		it.kept = c.now + c.freshFor
		c.writer.Remember(it.id, c.freshFor)
	}
	it.answered = true
	c.release(i)
}

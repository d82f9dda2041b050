package admission

// This file decides calls to the services below: their queue, pace, deadlines and outcomes.

// runNeedsCall takes a run that stands at a call.
func (c *Controller) runNeedsCall(i int32) {
	if i == none || c.requests.at[i].phase != running {
		return
	}
	it := &c.requests.at[i]
	it.phase = calling
	c.notePools(it, true)
	c.noteProgress()
	if !it.answered {
		c.enqueueCall(i)
	}
}

// enqueueCall lines up a call in the arrival order of the requests.
func (c *Controller) enqueueCall(i int32) {
	p := c.callQueue.tail
	for p != none && c.requests.at[p].came > c.requests.at[i].came {
		p = c.requests.at[p].queue.prev
	}
	c.callQueue.insertAfter(&c.requests, i, p)
	c.requests.at[i].lined, c.requests.at[i].stood = true, c.now
	c.review(i)
}

// leaveCallQueue takes a call out of the line, if it is in it.
func (c *Controller) leaveCallQueue(i int32) {
	if it := &c.requests.at[i]; it.lined {
		it.lined = false
		c.callQueue.remove(&c.requests, i)
	}
}

// makeCalls makes the calls that the pace allows.
func (c *Controller) makeCalls() {
	gap := c.callGap()
	for c.callQueue.head != none && c.nextCall <= c.now {
		if c.shared && !c.mayCallMore() {
			return
		}
		i := c.callQueue.head
		it := &c.requests.at[i]
		c.leaveCallQueue(i)
		c.callsInFlight.move(c.now, 1)
		it.phase = outside
		c.writer.Call(it.id, c.callUntil(it))
		// Unused turns are saved up to a few calls, so that calls which come in a bunch need not wait.
		c.nextCall = max(c.nextCall, c.now-4*gap) + gap
	}
}

// mayCallMore says whether one more call can be in hand, those given up counted for their linger. Where the
// allowance is under one call, calls are made one at a time, and only while their mean leaves room.
func (c *Controller) mayCallMore() bool {
	given, _ := c.abandonedCalls.sums(c.now)
	if n := float64(c.callsInFlight.n) + given; n > 0 {
		return n+1 <= c.callsMost
	}
	return c.callsMost >= 1 || c.callsInFlight.over(c.now) < c.callsMost/2
}

// callGap is the time between calls: the allowed number in hand over the recent time of a call. What lies
// in a tier states no allowance: while it refuses, the pace follows what comes back from it.
func (c *Controller) callGap() Time {
	c.callTime = c.callTimes.mean(c.now, c.callTime)
	if c.shared {
		return Time(c.callTime / c.callsAllowed)
	}
	if n, _ := c.callsRefused.sums(c.now); n > 0 {
		ok, _ := c.callsPassed.sums(c.now)
		// A quarter over what passed, and two a second at the least, so that the pace can find its way back.
		return Time(float64(c.callsPassed.span()) / (1.25*ok + 4))
	}
	return 0
}

// callUntil is when a call is given up: while the answer can still come within the target without it, if
// it can be skipped; never before its due time if it must not be repeated.
func (c *Controller) callUntil(it *item) Time {
	h := &c.handlers[it.h]
	last := it.due - c.answerMargin()
	if c.shared && c.callsMost < 1 {
		// One call is more than the allowance: it lasts at most for what the mean has left, lest a stalled
		// dependency be held by one call of each of hundreds of servers. Could harm where just this one is slow.
		left := (c.callsMost - c.callsInFlight.over(c.now)) * float64(c.callsInFlight.span())
		last = min(last, c.now+Time(left)-c.linger)
	}
	if h.runsOnce {
		return max(last, c.now+1)
	}
	by := it.came + h.target
	by = max(by, c.now+Time(2*c.callTime)+Second/5)
	return max(min(by, last), c.now+1)
}

// countAbandonedCall counts a call that stays in the dependency's hands for its linger.
func (c *Controller) countAbandonedCall() {
	c.callsInFlight.add(c.now, float64(c.linger), 0)
	c.abandonedCalls.add(c.now, 1, 0)
}

// callReturned takes the end of a call.
func (c *Controller) callReturned(b CallEnd) {
	i := c.requests.find(b.ID)
	if i == none || c.requests.at[i].phase != outside {
		return
	}
	it := &c.requests.at[i]
	h := &c.handlers[it.h]
	c.callsInFlight.move(c.now, -1)
	it.spent += b.Elapsed
	it.phase = calling
	switch b.Outcome {
	case Succeeded:
		c.callTimes.add(c.now, float64(b.Elapsed), 1)
		c.callsPassed.add(c.now, 1, 0)
		it.phase = running
		c.notePools(it, false)
		c.noteProgress()
		return
	case NotExecuted:
		c.callsRefused.add(c.now, 1, 0)
	default:
		c.callTimes.add(c.now, float64(b.Elapsed), 1)
		c.countAbandonedCall()
	}
	if it.answered {
		return
	}
	it.tries++
	switch {
	case h.canSkipCall && (b.Outcome != NotExecuted || it.tries > 2):
		c.skipCall(i)
	case b.Outcome != NotExecuted && (h.runsOnce || it.tries > 3):
		c.failRequest(i)
	default:
		// IsRetry after a wait that doubles, so that refusals don't become a storm.
		c.due.put(&c.requests, i, c.now+tick<<min(it.tries, 5))
	}
}

func (c *Controller) skipCall(i int32) {
	it := &c.requests.at[i]
	it.phase = running
	c.notePools(it, false)
	c.writer.SkipCall(it.id)
	c.review(i)
}

// notePools tells pools that a run stands at a call, which is no work, or goes on.
func (c *Controller) notePools(it *item, away bool) {
	if c.pools != nil {
		c.pools.SetAtCall(c.now, it.id, away)
	}
}

package admission

// This file decides what is due and when: each request is looked at as its time comes.

// answerMargin is how long before its due time a request is answered: the timer's period, the wheel's and a round.
func (c *Controller) answerMargin() Time { return 2*tick + 2*c.granule }

// review sees whether the time of a request has come and files it for its next one.
func (c *Controller) review(i int32) {
	it := &c.requests.at[i]
	h := &c.handlers[it.h]
	end := it.due - c.answerMargin()
	if c.drain {
		end = min(end, c.kill-c.answerMargin())
	}
	if it.phase == calling && !h.canSkipCall && !h.lateEarns {
		// Guards against slots held for calls that can't be made: a slow dependency would fill them all with
		// requests past use. Could harm where an answer that earns nothing is still wanted.
		end = min(end, it.came+h.target)
	}
	next := end
	switch {
	case it.phase == over || it.answered:
		if it.kept > 0 && c.now >= it.kept {
			it.kept = 0
			c.memory -= c.keyKB
		}
		if it.phase == over && it.kept == 0 && c.now >= it.known {
			c.due.take(&c.requests, i)
			c.requests.drop(i)
			return
		}
		if next = it.kept; next == 0 {
			next = max(it.known, c.now+Second)
		}
	case it.phase == held:
		by := it.came + c.waitBound(it)
		if c.now >= by || c.now >= end {
			c.shed(i, true)
			return
		}
		// The bound moves: it is looked at a few times on the way.
		next = min(end, by, c.now+h.target/16)
	case c.now >= end:
		c.failRequest(i)
		return
	case it.phase == calling && !it.lined:
		c.enqueueCall(i)
		return
	case it.phase == calling:
		// A call that can't be made in time is skipped where that still earns.
		by := it.came + h.target - Time(c.callTime)
		if Time(c.callQueue.n)*c.callGap() > h.target/8 {
			// While the line of calls is long, those that earn least by their call wait least for it: their
			// slots are free sooner and the calls go to the rest. Could harm if the line is about to clear.
			by = min(by, it.stood+Time(float64(by-it.stood)*h.callWorth*h.callWorth))
		}
		if h.canSkipCall && c.now >= by {
			c.leaveCallQueue(i)
			c.skipCall(i)
			return
		}
		if h.canSkipCall {
			next = min(next, by, c.now+h.target/16)
		}
	}
	c.due.put(&c.requests, i, next)
}

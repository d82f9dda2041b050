package admission

// This file decides how a request that was just read is taken in: registered, shed at once, or put into the queue.

// register gives a request its index and counts it as arrived.
func (c *Controller) register(q *Request) {
	c.lastCame = c.now
	i := c.requests.take(q.ID)
	it, h := &c.requests.at[i], &c.handlers[q.Handler]
	it.h, it.kb, it.came, it.again = int32(q.Handler), q.SizeKB, min(q.ArrivedAt, c.now), q.IsRetry
	if q.Tenant > 0 && q.Tenant < len(c.tenants) {
		it.t = int32(q.Tenant)
	}
	if it.due = q.Deadline; it.due == 0 {
		it.due = it.came + h.timeout
	}
	it.due = max(it.due, c.now)
	if q.ExpectedWork > 0 {
		h.usualWork = float64(q.ExpectedWork)
	}
	it.cost = h.usualWork
	c.memory += it.kb
	if !q.IsRetry {
		// Further tries of what was turned away would make a tenant look beyond its share.
		c.tenants[it.t].came.add(c.now, 1, 0)
	}
	c.cell(it).work.add(c.now, h.ownWork, 1)
	h.inTime.add(c.now, 0, 1)
	c.sheds.add(c.now, 0, 1)
	c.retries.add(c.now, one(q.IsRetry), 1)
	if len(c.callers) > 4096 {
		clear(c.callers) // several times the callers of any fleet seen; the share is only low for a moment
	}
	came, ok := c.callers[q.Caller]
	c.callers[q.Caller] = c.now
	c.returning.add(c.now, one(ok && c.now-came < 8*Second), 1)
	unread := float64(c.now-it.came) / float64(h.target)
	c.countLate(unread > 0.5)
	c.unreadTimes.add(c.now, unread, 1)
}

func (c *Controller) cell(it *item) *cell { return &c.cells[int(it.h)*len(c.tenants)+int(it.t)] }

// admit settles a repeat, sheds what can't be afforded, and lets the rest join the tail.
func (c *Controller) admit(i int32, q *Request) {
	it := &c.requests.at[i]
	h := &c.handlers[it.h]
	if q.PreviousID != 0 && c.settleRepeat(i, c.requests.find(q.PreviousID)) {
		return
	}
	key := 0.0
	if h.keyed {
		key = c.keyKB
	}
	switch {
	case c.drain && it.came > c.graceEnd:
		c.shed(i, false)
	case c.hung && (c.running > 0 || c.queue.n > 0 || h.runsOnce):
		// While work hangs one replayable request at a time is let in, to see whether it finishes again.
		c.shed(i, false)
	case it.prior == none && c.memory+key+it.kb*(c.runKB-1) > c.memoryMost:
		// Guards against a hold that fills the memory its runs need. Could harm where waiting would free it.
		c.shed(i, false)
	default:
		c.queue.insertAfter(&c.requests, i, c.queue.tail)
		it.phase = held
		if c.pools != nil {
			c.pools.Enqueued(c.now, q)
		}
		if it.prior == none {
			c.remember(i)
		}
		c.review(i)
	}
}

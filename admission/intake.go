package admission

// This file decides how a request that was just read is taken in: registered, shed at once, or put into the queue.

// enter gives a req its index and counts it as arrived.
func (c *Controller) enter(q *Req) {
	c.lastCame = c.now
	i := c.s.take(q.ID)
	it, h := &c.s.at[i], &c.h[q.Handler]
	it.h, it.kb, it.came, it.again = int32(q.Handler), q.KB, min(q.Came, c.now), q.Again
	if q.Tenant > 0 && q.Tenant < len(c.t) {
		it.t = int32(q.Tenant)
	}
	if it.due = q.Due; it.due == 0 {
		it.due = it.came + h.timeout
	}
	it.due = max(it.due, c.now)
	if q.Hint > 0 {
		h.unit = float64(q.Hint)
	}
	it.cost = h.unit
	c.mem += it.kb
	if !q.Again {
		// Further tries of what was turned away would make a tenant look beyond its share.
		c.t[it.t].came.add(c.now, 1, 0)
	}
	c.cell(it).work.add(c.now, h.own, 1)
	h.met.add(c.now, 0, 1)
	c.turned.add(c.now, 0, 1)
	c.again.add(c.now, one(q.Again), 1)
	if len(c.seen) > 4096 {
		clear(c.seen) // several times the callers of any fleet seen; the share is only low for a moment
	}
	came, ok := c.seen[q.Caller]
	c.seen[q.Caller] = c.now
	c.back.add(c.now, one(ok && c.now-came < 8*Second), 1)
	unread := float64(c.now-it.came) / float64(h.target)
	c.judge(unread > 0.5)
	c.unread.add(c.now, unread, 1)
}

func (c *Controller) cell(it *item) *cell { return &c.cells[int(it.h)*len(c.t)+int(it.t)] }

// door settles a repeat, sheds what can't be afforded, and lets the rest join the tail.
func (c *Controller) door(i int32, q *Req) {
	it := &c.s.at[i]
	h := &c.h[it.h]
	if q.Prior != 0 && c.repeat(i, c.s.find(q.Prior)) {
		return
	}
	key := 0.0
	if h.uniq {
		key = c.keyKB
	}
	switch {
	case c.drain && it.came > c.graceEnd:
		c.shed(i, false)
	case c.hung && (c.running > 0 || c.hold.n > 0 || h.once):
		// While work hangs one replayable req at a time is let in, to see whether it finishes again.
		c.shed(i, false)
	case it.prior == none && c.mem+key+it.kb*(c.runKB-1) > c.memTop:
		// Guards against a hold that fills the memory its runs need. Could harm where waiting would free it.
		c.shed(i, false)
	default:
		c.hold.insertAfter(&c.s, i, c.hold.tail)
		it.phase = held
		if c.pools != nil {
			c.pools.Arrived(c.now, q)
		}
		if it.prior == none {
			c.remember(i)
		}
		c.look(i)
	}
}

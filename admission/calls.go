package admission

// This file decides calls to the services below: their queue, pace, deadlines and outcomes.

// needs takes a run that stands at a call.
func (c *Controller) needs(i int32) {
	if i == none || c.s.at[i].phase != running {
		return
	}
	it := &c.s.at[i]
	it.phase = calling
	c.away(it, true)
	c.moved()
	if !it.answered {
		c.queueCall(i)
	}
}

// queueCall lines up a call in the arrival order of the reqs.
func (c *Controller) queueCall(i int32) {
	p := c.calls.tail
	for p != none && c.s.at[p].came > c.s.at[i].came {
		p = c.s.at[p].queue.prev
	}
	c.calls.insertAfter(&c.s, i, p)
	c.s.at[i].lined, c.s.at[i].stood = true, c.now
	c.look(i)
}

// unline takes a call out of the line, if it is in it.
func (c *Controller) unline(i int32) {
	if it := &c.s.at[i]; it.lined {
		it.lined = false
		c.calls.remove(&c.s, i)
	}
}

// makeCalls makes the calls that the pace allows.
func (c *Controller) makeCalls() {
	gap := c.callGap()
	for c.calls.head != none && c.nextCall <= c.now {
		if c.shared && !c.callRoom() {
			return
		}
		i := c.calls.head
		it := &c.s.at[i]
		c.unline(i)
		c.hands.move(c.now, 1)
		it.phase = outside
		c.w.Call(it.id, c.callUntil(it))
		// Unused turns are saved up to a few calls, so that calls which come in a bunch need not wait.
		c.nextCall = max(c.nextCall, c.now-4*gap) + gap
	}
}

// callRoom says whether one more call can be in hand, those given up counted for their linger. Where the
// allowance is under one call, calls are made one at a time, and only while their mean leaves room.
func (c *Controller) callRoom() bool {
	given, _ := c.ghosts.sums(c.now)
	if n := float64(c.hands.n) + given; n > 0 {
		return n+1 <= c.most
	}
	return c.most >= 1 || c.hands.over(c.now) < c.most/2
}

// callGap is the time between calls: the allowed number in hand over the recent time of a call. What lies
// in a tier states no allowance: while it refuses, the pace follows what comes back from it.
func (c *Controller) callGap() Time {
	c.callTime = c.took.mean(c.now, c.callTime)
	if c.shared {
		return Time(c.callTime / c.allowed)
	}
	if n, _ := c.refused.sums(c.now); n > 0 {
		ok, _ := c.passed.sums(c.now)
		// A quarter over what passed, and two a second at the least, so that the pace can find its way back.
		return Time(float64(c.passed.span()) / (1.25*ok + 4))
	}
	return 0
}

// callUntil is when a call is given up: while the answer can still come within the target without it, if
// it can be skipped; never before its due time if it must not be repeated.
func (c *Controller) callUntil(it *item) Time {
	h := &c.h[it.h]
	last := it.due - c.spare()
	if c.shared && c.most < 1 {
		// One call is more than the allowance: it lasts at most for what the mean has left, lest a stalled
		// dependency be held by one call of each of hundreds of servers. Could harm where just this one is slow.
		left := (c.most - c.hands.over(c.now)) * float64(c.hands.span())
		last = min(last, c.now+Time(left)-c.linger)
	}
	if h.once {
		return max(last, c.now+1)
	}
	by := it.came + h.target
	by = max(by, c.now+Time(2*c.callTime)+Second/5)
	return max(min(by, last), c.now+1)
}

// giveUpCall counts a call that stays in the dependency's hands for its linger.
func (c *Controller) giveUpCall() {
	c.hands.add(c.now, float64(c.linger), 0)
	c.ghosts.add(c.now, 1, 0)
}

// returned takes the end of a call.
func (c *Controller) returned(b Return) {
	i := c.s.find(b.ID)
	if i == none || c.s.at[i].phase != outside {
		return
	}
	it := &c.s.at[i]
	h := &c.h[it.h]
	c.hands.move(c.now, -1)
	it.spent += b.Took
	it.phase = calling
	switch b.How {
	case OK:
		c.took.add(c.now, float64(b.Took), 1)
		c.passed.add(c.now, 1, 0)
		it.phase = running
		c.away(it, false)
		c.moved()
		return
	case Unrun:
		c.refused.add(c.now, 1, 0)
	default:
		c.took.add(c.now, float64(b.Took), 1)
		c.giveUpCall()
	}
	if it.answered {
		return
	}
	it.tries++
	switch {
	case h.skips && (b.How != Unrun || it.tries > 2):
		c.skip(i)
	case b.How != Unrun && (h.once || it.tries > 3):
		c.fail(i)
	default:
		// Again after a wait that doubles, so that refusals don't become a storm.
		c.due.put(&c.s, i, c.now+tick<<min(it.tries, 5))
	}
}

func (c *Controller) skip(i int32) {
	it := &c.s.at[i]
	it.phase = running
	c.away(it, false)
	c.w.Skip(it.id)
	c.look(i)
}

// away tells pools that a run stands at a call, which is no work, or goes on.
func (c *Controller) away(it *item, away bool) {
	if c.pools != nil {
		c.pools.Away(c.now, it.id, away)
	}
}

package admission

// This file decides requests that repeat another by key or resource: which take its result, and how long it is remembered.

// settleRepeat settles a request that repeats prior; false lets it through the door as a new one.
func (c *Controller) settleRepeat(i, p int32) bool {
	it := &c.requests.at[i]
	once := c.handlers[it.h].runsOnce
	if c.memory > c.memoryMost {
		// Guards against repeats of a hot key that fill the memory: they need no slot, but each waits in held
		// memory, and few large ones are a good part of a small server's. Could harm where one is about to end.
		if once && (p == none || c.requests.at[p].ran) {
			c.failRequest(i)
		} else {
			c.shed(i, false)
		}
		return true
	}
	if p == none {
		c.shareResult(i) // the table knows of a run that this module has let go of
		return true
	}
	switch pr := &c.requests.at[p]; {
	case p == i || pr.phase == read:
		return false // the later of two in one round takes the earlier one's answer
	case !pr.ran && pr.phase == over:
		return false // the first try was shed after this one reached the machine
	case pr.phase == held:
		c.requests.follow(i, p)
		return false // it waits in its own place until the first one runs or leaves
	case !once && (pr.failed || pr.answered && pr.phase != over):
		return false
	case once && pr.failed:
		c.failRequest(i)
	default:
		pr.lent = true
		c.shareResult(i)
	}
	return true
}

// shareResult lets a request take the answer of the one it repeats; it needs no slot.
func (c *Controller) shareResult(i int32) {
	it := &c.requests.at[i]
	if it.phase == held {
		c.leaveQueue(i, false)
	}
	it.phase = sharing
	c.writer.ReuseResult(it.id)
	c.review(i)
}

// remember has the table hold an entry for a request: a uniqued one for what is left of its window, a read
// that others may share for as long as it may take and is fresh.
func (c *Controller) remember(i int32) {
	it := &c.requests.at[i]
	h := &c.handlers[it.h]
	switch {
	case h.keyed:
		it.kept = it.came + h.window + 2 // what was rounded down is made good
	// A shared read is a saving, not a duty: the last fifth of memory is left to runs and windows.
	case !h.runsOnce && c.freshFor > 0 && c.memory+c.keyKB < c.memoryMost*0.8:
		it.kept = it.came + h.target + c.freshFor
	default:
		return
	}
	it.kept = max(it.kept, c.now+1)
	c.memory += c.keyKB
	c.writer.Remember(it.id, it.kept-c.now)
}

// forget takes a request's entry out of the table ahead of its time.
func (c *Controller) forget(it *item) {
	if it.kept > 0 {
		it.kept, it.known = 0, c.now
		c.memory -= c.keyKB
		c.writer.Forget(it.id)
	}
}

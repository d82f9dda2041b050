package admission

// drainRunTimeReserve is how many expected runs must fit in before the kill for a run still to be started: more than
// one, as a run cut off has cost its work and fails its request, while one not started can be tried elsewhere.
const drainRunTimeReserve = 1.5

// startRuns decides which queued requests get the free run slots: those that have waited longest, in strict arrival
// order. With pools, a request whose class has no slot is passed by younger ones whose class has one. That guards
// against costly work that holds all slots; it harms what is passed, by the slots of its pool at most. Each start may
// change what the pools allow, so the next one begins at the head again.
//
// A request that waits for the run of the one it repeats is never started by itself, as it takes that run's result.
// Guards against a retry that comes through a caller with a slot while its original's caller has none: it would pass
// its original, and the key would run twice. Without pools the original is always ahead of it.
func (c *Controller) startRuns() {
	slots := c.limit.slots(c.now)
	for i := c.queue.head; i != none && c.limit.slotsInUse < slots; {
		r := &c.requests.at[i]
		if c.pools != nil && (r.repeats.original != none || !c.pools.CanStart(r.id)) {
			i = r.queueLink.next
			continue
		}
		if c.memory.exceededBy(r.sizeKB, 0) || (c.readiness.stalled && c.limit.slotsInUse > 0) {
			// No younger one passes: what has waited longest gets the memory that is freed. While work is stalled one
			// trial run at a time is started.
			return
		}
		if c.drain.active && !c.drain.canFinish(c.now, c.expectedRunTimeOf(r)) {
			c.shed(i, ReasonDraining)
		} else {
			c.startRun(i)
		}
		i = c.queue.head
	}
}

func (c *Controller) startRun(i index) {
	r := &c.requests.at[i]
	c.queue.lastDelay = c.now - r.arrivedAt
	if c.pools != nil {
		c.pools.Started(c.now, r.id, c.queue.lastDelay)
	}
	c.queue.remove(&c.requests, i)
	r.enter(running)
	r.executed = true
	c.limit.slotsInUse++
	c.memory.used += c.memory.runKB(r.sizeKB)
	c.writer.Run(r.id)
	for k := r.repeats.newestRepeat; k != none; k = r.repeats.newestRepeat {
		r.resultShared = true
		c.requests.detachRepeat(k)
		c.reuseResult(k)
	}
	c.review(i)
}

func (c *Controller) expectedRunTimeOf(r *record) float64 {
	return c.classes[r.class].expectedRunTime(c.now, r.work)
}

package admission

// drainRunTimeReserve is the multiple of the expected run time that must be left before the kill for a run to start.
// A run that is killed wastes its work and fails its request, while an unstarted request can be retried at another
// server.
const drainRunTimeReserve = 1.5

// startRuns gives free run slots to queued requests strictly in queue order. With pools, a request whose class has no
// slot is passed by later ones; the scan restarts at the head after each start, which may change the pools' limits.
//
// A request that waits for its original's run is not started itself. Guards against a retry that has a slot in its
// pool while its original has none: both would run. Without pools the original is always ahead.
func (c *Controller) startRuns() {
	slots := c.limit.slots(c.now)
	for i := c.queue.head; i != none && c.limit.slotsInUse < slots; {
		r := &c.requests.at[i]
		if c.pools != nil && (r.repeats.original != none || !c.pools.CanStart(r.id)) {
			i = r.queueLink.next
			continue
		}
		if c.memory.exceededBy(r.sizeKB, 0) || (c.readiness.stalled && c.limit.slotsInUse > 0) {
			// No later request passes: the oldest one gets the memory that is freed. While stalled, one probe run at
			// a time is started.
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

func (c *Controller) expectedRunTimeOf(r *requestRecord) float64 {
	return c.classes[r.class].expectedRunTime(c.now, r.work)
}

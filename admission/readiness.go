package admission

const (
	// minStallTime is the shortest standstill of started work that counts as a stall. Shorter takes a pause of the disk
	// for one, longer keeps callers waiting on a server that does nothing.
	minStallTime = Second
	// stallRunTimes is the standstill in usual runs, lest a class of long runs pass for a stall.
	stallRunTimes = 4
	// stallObjectiveFraction: the standstill is a latency objective over it at the least, half of one. One heavy run
	// on a core or two may take that long without anything being wrong.
	stallObjectiveFraction = 0.5
	// stallFullRateRuns is the runs on the cores from which the standstill counts in full. Fewer may well all be heavy:
	// what shows with four at once takes longer to tell with fewer.
	stallFullRateRuns = 4
	// overloadedAbove is the share of what is read or done too late, of all, from which a server is overloaded: most of
	// what it does is of no use. Lower has a burst take it out of service.
	overloadedAbove = 0.8
	// overloadClearedAt is the share down to which it stays so. The distance keeps it from changing with each burst.
	overloadClearedAt = 0.2
	// lateBuckets and lateStep: lateness is judged over one second. Longer acts late, shorter on single requests.
	lateBuckets = 4
	lateStep    = Second / 4
	// probeDelay is how long nothing has to have come to a stalled server that is empty before it calls itself ready
	// again: a few health checks' time, so that all callers have heard that it wasn't.
	probeDelay = 2 * Second
)

// readiness decides whether started work is stalled, whether the server is overloaded, and what health checks are told.
type readiness struct {
	stalled, overloaded bool
	ready               bool   // what health checks are told
	stalledFor          Time   // how long started work has not moved
	late                window // requests read or runs ended too late to be of use, of all
}

func newReadiness() readiness { return readiness{late: newWindow(lateBuckets, lateStep)} }

// countLate counts a request that was read, or a run that ended, as too late to be of use or not.
func (r *readiness) countLate(now Time, late bool) { r.late.add(now, boolToFloat(late), 1) }

// addStallTime adds the time that runs on the cores have not moved; runsOnCores is how many they are.
func (r *readiness) addStallTime(elapsed Time, runsOnCores int) {
	if runsOnCores <= 0 || r.stalled {
		r.stalledFor = 0
	} else {
		r.stalledFor += elapsed * Time(min(runsOnCores, stallFullRateRuns)) / stallFullRateRuns
	}
}

// detectsStall decides whether started work has come to a standstill: there are as many runs as cores, and none has
// moved for far longer than runs take. Guards against a kernel or a disk that hangs, at which waiters each spend their
// queue timeout on a server that does nothing. It may harm where every slot has a very heavy request at once.
func (r *readiness) detectsStall(running int, cores float64, classes []class) bool {
	limit := float64(minStallTime)
	for k := range classes {
		expected := stallRunTimes * classes[k].runTimePerWork * classes[k].defaultWork
		limit = max(limit, expected, float64(classes[k].objective)*stallObjectiveFraction)
	}
	return !r.stalled && r.stalledFor > Time(limit) && float64(running) >= cores
}

// updateOverload decides whether the server is overloaded by what it has not read yet: nearly all that it reads has
// waited unread for half its objective, or its runs end past it, so that no client gets what it does in time. Once
// checks are told, arrivals stop, and it recovers when what it reads is fresh or nothing is left. It gives the
// line for the log if that changed. It may harm where a whole fleet goes off at once.
func (r *readiness) updateOverload(now Time, cores float64) (line string) {
	late, all := r.late.sums(now)
	switch {
	case !r.overloaded && all >= cores && late > overloadedAbove*all:
		r.overloaded = true
		return "swamped: what is read or done is too late to be of use"
	case r.overloaded && late <= overloadClearedAt*all:
		r.overloaded = false
		return "swamped: over, what is read and done is in time"
	}
	return ""
}

// isReady decides what health checks are told: whether to send anything here. A server whose work was stalled, that is
// empty and that nothing has come to for a while, says yes until something comes: else no caller that obeys checks
// would ever send what shows that work goes on again. That costs one request each two seconds while it does not.
func (r *readiness) isReady(empty bool, sinceArrival Time, draining bool) bool {
	probing := empty && sinceArrival > probeDelay
	return (!r.stalled || probing) && !r.overloaded && !draining
}

// detectStall sheds what is queued when started work has come to a standstill.
func (c *Controller) detectStall(elapsed Time) {
	c.readiness.addStallTime(elapsed, c.limit.slotsInUse-c.calls.inFlight.count-c.calls.queue.length)
	if c.readiness.detectsStall(c.limit.slotsInUse, c.limit.cores, c.classes) {
		c.readiness.stalled = true
		c.writer.Log("hung: started work does not finish")
		for c.queue.head != none {
			c.shed(c.queue.head, ReasonStalled)
		}
	}
}

// recordProgress sees started work go on, which is how a standstill ends, whether it is old work or a trial run.
func (c *Controller) recordProgress() {
	c.readiness.stalledFor = 0
	if c.readiness.stalled {
		c.readiness.stalled = false
		c.updateHealth()
		c.writer.Log("hung: over, started work goes on")
	}
}

// updateHealth tells health checks what has changed.
func (c *Controller) updateHealth() {
	empty := c.limit.slotsInUse == 0 && c.queue.length == 0
	if ready := c.readiness.isReady(empty, c.now-c.arrivals.lastReadAt, c.drain.active); ready != c.readiness.ready {
		c.readiness.ready = ready
		c.writer.Health(ready)
	}
}

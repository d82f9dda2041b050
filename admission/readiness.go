package admission

const (
	// stalledAfter is the shortest standstill of started work that counts as a stall. Shorter takes a pause of the disk
	// for one, longer keeps callers waiting on a server that does nothing.
	stalledAfter = Second
	// stalledRuns is the standstill in usual runs, lest a class of long runs pass for a stall.
	stalledRuns = 4
	// stalledObjectiveDivisor: the standstill is a latency objective over it at the least, half of one. One heavy run
	// on a core or two may take that long without anything being wrong.
	stalledObjectiveDivisor = 2
	// stalledFullPace is the runs on the cores from which the standstill counts in full. Fewer may well all be heavy:
	// what shows with four at once takes longer to tell with fewer.
	stalledFullPace = 4
	// overloadedFrom is the share of what is read or done too late, of all, from which a server is overloaded: most of
	// what it does is of no use. Lower has a burst take it out of service.
	overloadedFrom = 0.8
	// overloadedTo is the share down to which it stays so. The distance keeps it from changing with each burst.
	overloadedTo = 0.2
	// lateBuckets and lateStep: lateness is judged over one second. Longer acts late, shorter on single requests.
	lateBuckets = 4
	lateStep    = Second / 4
	// probeAfter is how long nothing has to have come to a stalled server that is empty before it calls itself ready
	// again: a few health checks' time, so that all callers have heard that it wasn't.
	probeAfter = 2 * Second
)

// readiness decides whether started work is stalled, whether the server is overloaded, and what health checks are told.
type readiness struct {
	stalled, overloaded bool
	ready               bool   // what health checks are told
	stalledFor          Time   // how long started work has not moved
	tooLate             window // requests read or runs ended too late to be of use, of all
}

func newReadiness() readiness { return readiness{tooLate: newWindow(lateBuckets, lateStep)} }

// countLate counts a request that was read, or a run that ended, as too late to be of use or not.
func (r *readiness) countLate(now Time, late bool) { r.tooLate.add(now, indicator(late), 1) }

// watchRuns adds the time that runs on the cores have not moved; onCores is how many they are.
func (r *readiness) watchRuns(elapsed Time, onCores int) {
	if onCores <= 0 || r.stalled {
		r.stalledFor = 0
	} else {
		r.stalledFor += elapsed * Time(min(onCores, stalledFullPace)) / stalledFullPace
	}
}

// isStalling decides whether started work has come to a standstill: there are as many runs as cores, and none has
// moved for far longer than runs take. Guards against a kernel or a disk that hangs, at which waiters each spend their
// queue timeout on a server that does nothing. It may harm where every slot has a very heavy request at once.
func (r *readiness) isStalling(running int, cores float64, classes []class) bool {
	longest := float64(stalledAfter)
	for k := range classes {
		usual := stalledRuns * classes[k].runTimePerWork * classes[k].usualWork
		longest = max(longest, usual, float64(classes[k].objective)/stalledObjectiveDivisor)
	}
	return !r.stalled && r.stalledFor > Time(longest) && float64(running) >= cores
}

// judgeOverload decides whether the server is overloaded by what it has not read yet: nearly all that it reads has
// waited unread for half its objective, or its runs end past it, so that no client gets what it does in time. Once
// checks are told, arrivals stop, and it recovers when what it reads is fresh or nothing is left. It gives the
// line for the log if that changed. It may harm where a whole fleet goes off at once.
func (r *readiness) judgeOverload(now Time, cores float64) (line string) {
	late, all := r.tooLate.sums(now)
	switch {
	case !r.overloaded && all >= cores && late > overloadedFrom*all:
		r.overloaded = true
		return "swamped: what is read or done is too late to be of use"
	case r.overloaded && late <= overloadedTo*all:
		r.overloaded = false
		return "swamped: over, what is read and done is in time"
	}
	return ""
}

// isReady decides what health checks are told: whether to send anything here. A server whose work was stalled, that is
// empty and that nothing has come to for a while, says yes until something comes: else no caller that obeys checks
// would ever send what shows that work goes on again. That costs one request each two seconds while it does not.
func (r *readiness) isReady(empty bool, sinceArrival Time, draining bool) bool {
	probing := empty && sinceArrival > probeAfter
	return (!r.stalled || probing) && !r.overloaded && !draining
}

// detectStall sheds what is queued when started work has come to a standstill.
func (c *Controller) detectStall(elapsed Time) {
	c.readiness.watchRuns(elapsed, c.limit.slotsTaken-c.calls.inFlight.count-c.calls.queue.length)
	if c.readiness.isStalling(c.limit.slotsTaken, c.limit.cores, c.classes) {
		c.readiness.stalled = true
		c.writer.Log("hung: started work does not finish")
		for c.queue.head != none {
			c.shed(c.queue.head, ReasonStalled)
		}
	}
}

// noteProgress sees started work go on, which is how a standstill ends, whether it is old work or a trial run.
func (c *Controller) noteProgress() {
	c.readiness.stalledFor = 0
	if c.readiness.stalled {
		c.readiness.stalled = false
		c.updateHealth()
		c.writer.Log("hung: over, started work goes on")
	}
}

// updateHealth tells health checks what has changed.
func (c *Controller) updateHealth() {
	empty := c.limit.slotsTaken == 0 && c.queue.length == 0
	if ready := c.readiness.isReady(empty, c.now-c.arrivals.last, c.drain.active); ready != c.readiness.ready {
		c.readiness.ready = ready
		c.writer.Health(ready)
	}
}

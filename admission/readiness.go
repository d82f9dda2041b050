package admission

const (
	// minStallTime is the shortest time without progress that counts as a stall. A shorter one takes a pause of the disk
	// for a stall, a longer one keeps callers waiting on a server that does nothing.
	minStallTime = Second
	// stallRunTimes is the time without progress that counts as a stall, in expected run times of the slowest class,
	// so that a class of long runs is not taken for a stall.
	stallRunTimes = 4
	// stallObjectiveFraction is the minimum of that time as a fraction of the longest latency objective, since a
	// single heavy run may take that long.
	stallObjectiveFraction = 0.5
	// stallFullRateRuns is the number of runs on the cores from which time without progress counts in full. With
	// fewer, which may all be heavy, it counts in proportion.
	stallFullRateRuns = 4
	// overloadedAbove is the fraction of reads and run ends that are too late above which the server is overloaded:
	// most of its work is useless. With a lower one a burst takes the server out of service.
	overloadedAbove = 0.8
	// overloadClearedAt is the fraction at or below which the overload ends; lower than overloadedAbove, so that the
	// state does not flap.
	overloadClearedAt = 0.2
	// Window of the fraction that is too late: one second. A longer one acts late, a shorter one on single requests.
	lateBuckets = 4
	lateStep    = Second / 4
	// stalledProbeDelay is the time without arrivals after which a stalled, empty server reports ready to get a probe
	// request; several health check periods, so that all callers have seen it as not ready.
	stalledProbeDelay = 2 * Second
)

// readiness detects stalls and overload and determines the reported health.
type readiness struct {
	stalled, overloaded bool
	ready               bool   // reported to health checks
	stalledFor          Time   // time without progress of the runs on the cores
	late                window // requests read, or runs ended, too late to be useful, per read or end
}

func newReadiness() readiness { return readiness{late: newWindow(lateBuckets, lateStep)} }

// countLate counts a request that was read, or a run that ended.
func (r *readiness) countLate(now Time, late bool) { r.late.add(now, boolToFloat(late), 1) }

// addStallTime adds elapsed time without progress of the runs on the cores.
func (r *readiness) addStallTime(elapsed Time, runsOnCores int) {
	if runsOnCores <= 0 || r.stalled {
		r.stalledFor = 0
	} else {
		r.stalledFor += elapsed * Time(min(runsOnCores, stallFullRateRuns)) / stallFullRateRuns
	}
}

// hasStalled reports whether there are at least as many runs as cores and none has made progress for much longer
// than runs take. Guards against a stalled kernel or disk, at which each queued request would wait until its queue
// timeout. Does harm where every slot has a very heavy request at once.
func (r *readiness) hasStalled(running int, cores float64, classes []class) bool {
	limit := float64(minStallTime)
	for k := range classes {
		expected := stallRunTimes * classes[k].runTimePerWork * classes[k].defaultWork
		limit = max(limit, expected, float64(classes[k].objective)*stallObjectiveFraction)
	}
	return !r.stalled && r.stalledFor > Time(limit) && float64(running) >= cores
}

// updateOverload updates the overloaded state and returns a log line if it has changed. A server is overloaded if
// most requests are read, or most runs end, too late for their clients. Its health check then fails until few of them
// are late, or there are none. Does harm where all servers of a fleet fail their checks at once.
func (r *readiness) updateOverload(now Time, cores float64) (line string) {
	late, all := r.late.sums(now)
	switch {
	case !r.overloaded && all >= cores && late > overloadedAbove*all:
		r.overloaded = true
		return "overloaded: most requests are read or finished too late"
	case r.overloaded && late <= overloadClearedAt*all:
		r.overloaded = false
		return "overloaded: cleared"
	}
	return ""
}

// isReady returns the reported health. A stalled server that is empty reports ready after stalledProbeDelay without
// arrivals: otherwise callers that follow health checks would never send the request that shows its recovery. This
// costs one request every two seconds while the stall lasts.
func (r *readiness) isReady(empty bool, sinceArrival Time, draining bool) bool {
	probing := empty && sinceArrival > stalledProbeDelay
	return (!r.stalled || probing) && !r.overloaded && !draining
}

// detectStall sheds the queued requests when the runs in progress stall.
func (c *Controller) detectStall(elapsed Time) {
	c.readiness.addStallTime(elapsed, c.limit.slotsInUse-c.calls.inFlight.count-c.calls.queue.length)
	if c.readiness.hasStalled(c.limit.slotsInUse, c.limit.cores, c.classes) {
		c.readiness.stalled = true
		c.writer.Log("stalled: runs in progress make no progress")
		for c.queue.head != none {
			c.shed(c.queue.head, ReasonStalled)
		}
	}
}

// recordProgress records progress of a run, which ends a stall.
func (c *Controller) recordProgress() {
	c.readiness.stalledFor = 0
	if c.readiness.stalled {
		c.readiness.stalled = false
		c.updateHealth()
		c.writer.Log("stalled: cleared, a run has made progress")
	}
}

// updateHealth reports a changed health.
func (c *Controller) updateHealth() {
	empty := c.limit.slotsInUse == 0 && c.queue.length == 0
	if ready := c.readiness.isReady(empty, c.now-c.arrivals.lastReadAt, c.drain.active); ready != c.readiness.ready {
		c.readiness.ready = ready
		c.writer.Health(ready)
	}
}

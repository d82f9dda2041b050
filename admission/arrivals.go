package admission

const (
	// Window of the read delay: one second, long enough for a mean and short beside every latency objective.
	readDelayBuckets = 4
	readDelayStep    = Second / 4
	// Window of the fractions of shed requests and of retries: four seconds, dozens of requests at a server's rate, and
	// shorter than a retry storm.
	retryBuckets = 8
	retryStep    = Second / 2
	// maxReturnInterval is the longest time between two requests of a caller for which it counts as returning: above
	// the pauses of a busy caller, below the idle timeouts that it is weighed against.
	maxReturnInterval = 8 * Second
	returningBuckets  = 8
	returningStep     = Second
	// maxCallers bounds the number of callers that are tracked, several times those of a large fleet. Above it the map
	// is cleared, and the fraction of returning callers is too low for a moment.
	maxCallers = 4096
	// longReadDelay is the mean read delay, as a fraction of the latency objective, above which requests queue in the
	// sockets and the admission queue counts as long: above what reading takes, and early enough to act in time.
	longReadDelay = 0.125
	// lateReadDelay is the read delay, as a fraction of the latency objective, above which a request counts as read
	// too late: no time is left to queue and run it.
	lateReadDelay = 0.5
)

// arrivalStats are measurements of recently read requests.
type arrivalStats struct {
	readDelay  window          // time between arrival and read, as a fraction of the latency objective
	shed       window          // requests shed, per request read
	retries    window          // retries and hedged requests, per request read
	returning  window          // requests of returning callers, per request read
	callers    map[uint32]Time // time of the last request of each caller
	lastReadAt Time            // when the last request was read
}

func newArrivalStats() arrivalStats {
	return arrivalStats{
		readDelay: newWindow(readDelayBuckets, readDelayStep),
		shed:      newWindow(retryBuckets, retryStep),
		retries:   newWindow(retryBuckets, retryStep),
		returning: newWindow(returningBuckets, returningStep),
		callers:   map[uint32]Time{},
	}
}

// add counts a request and returns its read delay as a fraction of the latency objective.
func (a *arrivalStats) add(now Time, q *Request, arrivedAt, objective Time) (readDelay float64) {
	a.lastReadAt = now
	a.shed.add(now, 0, 1)
	a.retries.add(now, boolToFloat(q.IsRetry), 1)
	if len(a.callers) > maxCallers {
		clear(a.callers)
	}
	lastSeen, known := a.callers[q.Caller]
	a.callers[q.Caller] = now
	a.returning.add(now, boolToFloat(known && now-lastSeen < maxReturnInterval), 1)
	readDelay = float64(now-arrivedAt) / float64(objective)
	a.readDelay.add(now, readDelay, 1)
	return readDelay
}

// readDelayLong reports whether requests queue in the sockets before they are read.
func (a *arrivalStats) readDelayLong(now Time) bool { return a.readDelay.mean(now, 0) > longReadDelay }

// register creates the record of a request and counts its arrival.
func (c *Controller) register(q *Request) {
	i := c.requests.add(q.ID)
	r, class := &c.requests.at[i], &c.classes[q.Handler]
	r.class, r.sizeKB, r.arrivedAt, r.isRetry = int32(q.Handler), q.SizeKB, min(q.ArrivedAt, c.now), q.IsRetry
	r.tenant = c.queueTimeouts.tenantOf(q.Tenant)
	if r.deadline = q.Deadline; r.deadline == 0 {
		r.deadline = r.arrivedAt + class.timeout
	}
	r.deadline = max(r.deadline, c.now)
	if q.ExpectedWork > 0 {
		class.defaultWork = float64(q.ExpectedWork)
	}
	r.work = class.defaultWork
	c.memory.used += r.sizeKB
	c.queueTimeouts.requestRead(c.now, r)
	readDelay := c.arrivals.add(c.now, q, r.arrivedAt, class.objective)
	c.readiness.countLate(c.now, readDelay > lateReadDelay)
}

package admission

const (
	// readDelayBuckets and readDelayStep: the wait before the read is judged over one second, long enough for a mean and
	// short beside every latency objective.
	readDelayBuckets = 4
	readDelayStep    = Second / 4
	// retryBuckets and retryStep: sheds and retries are judged over four seconds, dozens of requests at a server's
	// rate, and shorter than a retry storm.
	retryBuckets = 8
	retryStep    = Second / 2
	// maxReturnInterval is how recently a caller must have come to count as returning: past the pause between the requests of
	// a busy caller, short of the idle time that it is weighed against.
	maxReturnInterval = 8 * Second
	returningBuckets  = 8
	returningStep     = Second
	// maxCallers bounds the memory of callers. It is several times the callers of a large fleet; past it they are
	// forgotten and the share of returning ones is too low for a moment.
	maxCallers = 4096
	// longReadDelay is the time that requests wait unread, in objectives, from which the queue counts as long, since it is
	// then in the sockets: well past what reading takes, and early enough to act before the objective is lost.
	longReadDelay = 0.125
	// lateReadDelay is the part of its objective that a request may have waited unread: past half of it there is no time
	// left to queue and run it.
	lateReadDelay = 0.5
)

// arrivalStats is what was measured of the requests read lately.
type arrivalStats struct {
	readDelay  window // time that requests had waited unread, in objectives
	shed       window // requests shed, over requests read
	retries    window // retries and hedged requests, over requests read
	returning  window // requests of callers that came shortly before, over requests read
	callers    map[uint32]Time
	lastReadAt Time // when a request was read last
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

// add counts a request and gives the time that it had waited unread, in objectives.
func (a *arrivalStats) add(now Time, q *Request, arrivedAt, objective Time) (unread float64) {
	a.lastReadAt = now
	a.shed.add(now, 0, 1)
	a.retries.add(now, boolToFloat(q.IsRetry), 1)
	if len(a.callers) > maxCallers {
		clear(a.callers)
	}
	lastSeen, known := a.callers[q.Caller]
	a.callers[q.Caller] = now
	a.returning.add(now, boolToFloat(known && now-lastSeen < maxReturnInterval), 1)
	unread = float64(now-arrivedAt) / float64(objective)
	a.readDelay.add(now, unread, 1)
	return unread
}

// readDelayLong says whether requests wait in the sockets before they are read.
func (a *arrivalStats) readDelayLong(now Time) bool { return a.readDelay.mean(now, 0) > longReadDelay }

// register makes a record of a request and counts it as arrived.
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
	unread := c.arrivals.add(c.now, q, r.arrivedAt, class.objective)
	c.readiness.countLate(c.now, unread > lateReadDelay)
}

package admission

const (
	// unreadBuckets and unreadStep: the wait before the read is judged over one second, long enough for a mean and
	// short beside every latency objective.
	unreadBuckets = 4
	unreadStep    = Second / 4
	// retryBuckets and retryStep: sheds and retries are judged over four seconds, dozens of requests at a server's
	// rate, and shorter than a retry storm.
	retryBuckets = 8
	retryStep    = Second / 2
	// returnTime is how recently a caller must have come to count as returning: past the pause between the requests of
	// a busy caller, short of the idle time that it is weighed against.
	returnTime    = 8 * Second
	returnBuckets = 8
	returnStep    = Second
	// maxCallers bounds the memory of callers. It is several times the callers of a large fleet; past it they are
	// forgotten and the share of returning ones is too low for a moment.
	maxCallers = 4096
	// longUnread is the time that requests wait unread, in objectives, from which the queue counts as long, since it is
	// then in the sockets: well past what reading takes, and early enough to act before the objective is lost.
	longUnread = 0.125
	// lateRead is the part of its objective that a request may have waited unread: past half of it there is no time
	// left to queue and run it.
	lateRead = 0.5
)

// arrivalStats is what was measured of the requests read lately.
type arrivalStats struct {
	unread    window // time that requests had waited unread, in objectives
	shed      window // requests shed, over requests read
	retries   window // retries and hedged requests, over requests read
	returning window // requests of callers that came shortly before, over requests read
	callers   map[uint32]Time
	last      Time // when a request was read last
}

func newArrivalStats() arrivalStats {
	return arrivalStats{
		unread:    newWindow(unreadBuckets, unreadStep),
		shed:      newWindow(retryBuckets, retryStep),
		retries:   newWindow(retryBuckets, retryStep),
		returning: newWindow(returnBuckets, returnStep),
		callers:   map[uint32]Time{},
	}
}

// add counts a request and gives the time that it had waited unread, in objectives.
func (a *arrivalStats) add(now Time, q *Request, arrivedAt, objective Time) (unread float64) {
	a.last = now
	a.shed.add(now, 0, 1)
	a.retries.add(now, indicator(q.IsRetry), 1)
	if len(a.callers) > maxCallers {
		clear(a.callers)
	}
	came, known := a.callers[q.Caller]
	a.callers[q.Caller] = now
	a.returning.add(now, indicator(known && now-came < returnTime), 1)
	unread = float64(now-arrivedAt) / float64(objective)
	a.unread.add(now, unread, 1)
	return unread
}

// queuedUnread says whether requests wait in the sockets before they are read.
func (a *arrivalStats) queuedUnread(now Time) bool { return a.unread.mean(now, 0) > longUnread }

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
		class.usualWork = float64(q.ExpectedWork)
	}
	r.work = class.usualWork
	c.memory.used += r.sizeKB
	c.queueTimeouts.requestRead(c.now, r)
	unread := c.arrivals.add(c.now, q, r.arrivedAt, class.objective)
	c.readiness.countLate(c.now, unread > lateRead)
}

package admission

const (
	// timerPeriod is the timer's period while any request is known: short beside every latency objective and the half
	// second of the gauges, long beside a round.
	timerPeriod = 20 * millisecond
	// idlePeriod is the timer's period while no request is known, and the period of the less urgent rules.
	idlePeriod = 5 * timerPeriod
	// wheelBuckets of one timerPeriod each span 80 s, longer than client timeouts.
	wheelBuckets = 4096
	// maxTimerInterval bounds the elapsed time that a timer counts, since a suspended process observes nothing.
	maxTimerInterval = 2 * idlePeriod
)

// Controller decides on the requests of one server. It is not safe for concurrent use.
type Controller struct {
	writer Writer // of the current round
	now    Time

	requests requestTable
	classes  []class
	timers   timerWheel
	queue    admissionQueue
	arrivals arrivalStats

	queueTimeouts queueTimeouts
	limit         concurrencyLimit
	memory        memoryAccount
	calls         callPacer
	readiness     readiness
	signal        signalState
	idle          idleTimeout
	drain         drain
	pools         Pools

	settings settings
	timer    timerState
}

// settings are the terms of the deployment that several rules use.
type settings struct {
	roundInterval     Time
	cancellation      Cancellation
	responseReuseTime Time
	maxRetryAfter     Time
}

// timerState is the state of the controller's only timer.
type timerState struct {
	pending          bool
	lastFiredAt      Time
	lastIdlePeriodAt Time // when the rules with idlePeriod last ran
}

// New returns a controller for a server that starts at d.Start.
func New(d *Deployment) *Controller {
	c := &Controller{
		requests:  newRequestTable(),
		timers:    newTimerWheel(wheelBuckets, timerPeriod, d.Start),
		queue:     admissionQueue{list: newList()},
		arrivals:  newArrivalStats(),
		limit:     newConcurrencyLimit(d),
		memory:    newMemoryAccount(d),
		calls:     newCallPacer(d),
		readiness: newReadiness(),
		signal:    signalState{kind: d.OverloadSignal, callers: float64(d.Callers)},
		idle:      idleTimeout{configured: d.IdleTimeout, lastSet: d.IdleTimeout, callers: float64(d.Callers)},
		drain:     drain{grace: d.DrainGrace},
		pools:     d.Pools,
		settings: settings{roundInterval: d.RoundInterval, cancellation: d.Cancellation,
			responseReuseTime: d.ResponseReuseTime, maxRetryAfter: d.MaxRetryAfter},
		timer: timerState{lastFiredAt: d.Start, lastIdlePeriodAt: d.Start},
	}
	for k := range d.Handlers {
		c.classes = append(c.classes, newClass(&d.Handlers[k]))
	}
	c.queueTimeouts = newQueueTimeouts(d, c.classes)
	c.reconfigureClasses(d)
	return c
}

// Reconfigure applies changed values, latency objectives, timeouts, idempotency windows and quotas of the same classes
// and tenants. Known requests keep their deadlines, and measurements are kept.
func (c *Controller) Reconfigure(d *Deployment) {
	c.reconfigureClasses(d)
	c.queueTimeouts.reconfigure(d)
}

func (c *Controller) reconfigureClasses(d *Deployment) {
	maxValue := nearZero
	for k := range d.Handlers {
		maxValue = max(maxValue, callValue(&d.Handlers[k]))
	}
	for k := range d.Handlers {
		c.classes[k].reconfigure(&d.Handlers[k], maxValue)
	}
}

// NumHandlers returns the number of classes.
func (c *Controller) NumHandlers() int { return len(c.classes) }

// Decide processes a round and writes its decisions.
func (c *Controller) Decide(r *Round, w Writer) {
	c.now, c.writer = max(r.Now, c.now), w
	c.updateHealth()
	if r.Drain {
		c.startDrain(r.KillAt)
	}
	c.handleEnds(r)
	c.handleArrivals(r.Arrived)
	for _, id := range r.Disconnected {
		c.handleDisconnect(c.requests.find(id))
	}
	if r.TimerFired {
		c.timer.pending = false
		c.handleTimer(r)
	}
	for i := c.timers.expired(&c.requests, c.now); i != none; i = c.timers.expired(&c.requests, c.now) {
		c.review(i)
	}
	c.makeCalls()
	c.startRuns()
	c.setTimer()
}

func (c *Controller) handleEnds(r *Round) {
	for _, e := range r.CallEnds {
		c.handleCallEnd(e)
	}
	for _, id := range r.CallRequests {
		c.handleCallRequest(c.requests.find(id))
	}
	for _, e := range r.RunEnds {
		c.handleRunEnd(e)
	}
}

// handleArrivals registers all requests of the round before it admits the first, so that measurements cover the
// round.
func (c *Controller) handleArrivals(arrived []Request) {
	for k := range arrived {
		c.register(&arrived[k])
	}
	for k := range arrived {
		c.admit(c.requests.find(arrived[k].ID), &arrived[k])
	}
}

// setTimer requests the next timer unless one is pending.
func (c *Controller) setTimer() {
	if c.timer.pending {
		return
	}
	c.timer.pending = true
	if len(c.requests.ids) > 0 {
		c.writer.WakeUp(c.now + timerPeriod)
	} else {
		c.writer.WakeUp(c.now + idlePeriod)
	}
}

// handleTimer reads the gauges and runs the periodic rules.
func (c *Controller) handleTimer(r *Round) {
	elapsed := min(c.now-c.timer.lastFiredAt, maxTimerInterval)
	c.timer.lastFiredAt = c.now
	if r.HasGauges {
		c.limit.runnable = r.Gauges.Runnable
		c.limit.adjust(c.now, c.queue.length)
	}
	c.tickPools()
	c.queue.long = c.queue.hasOnePerCore(c.limit.cores) || c.arrivals.readDelayLong(c.now)
	c.detectStall(elapsed)
	if line := c.readiness.updateOverload(c.now, c.limit.cores); line != "" {
		c.writer.Log(line)
	}
	c.updateHealth()
	if c.now-c.timer.lastIdlePeriodAt < idlePeriod {
		return
	}
	c.queueTimeouts.rank(c.now)
	if r.HasGauges {
		c.adjustIdleTimeout(r.Gauges.OpenConnections)
	}
	c.signalOverload(float64(c.now-c.timer.lastIdlePeriodAt) / float64(Second))
	c.timer.lastIdlePeriodAt = c.now
}

func (c *Controller) tickPools() {
	if c.pools == nil {
		return
	}
	c.pools.Tick(c.now, c.limit.slots(c.now))
	for _, line := range c.pools.TakeChanges() {
		c.writer.Log(line)
	}
}

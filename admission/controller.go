// The module: every decision of one server. New is given what a server is told at its start; Decide is
// called once a round with all that came in and writes its decisions, in order, into the Writer passed
// along. Deployment, Request, Round and Writer are in interface.go; ring.go and requestTable.go only keep state.
//
// One FIFO holds what was read; a slot is taken when a run starts, kept through calls, freed when it ends.

package admission

import (
	"math"
)

// tick is the one timer's period while anything is in hand, rest while nothing is: short beside every
// response target and the half second of the gauges, long beside a round.
const (
	tick = 20 * Second / 1000
	rest = 5 * tick
)

// handler is what is derived for one class of requests, with its recent times.
type handler struct {
	target, timeout, window Time
	value                   float64
	lateEarns               bool    // an answer past the target still earns
	canSkipCall             bool    // a call can be skipped
	keyed                   bool    // repeats are known by their key
	runsOnce                bool    // it must not run twice
	serviceRatios           ring    // time of runs, calls included, over stated work
	serviceRatio            float64 // the last known mean of them
	work                    ring    // time of runs less their calls, over runs
	inTime                  ring    // requests served within the target, of those read
	inTimeShare             float64 // their share lately
	valueAsked              float64 // the value asked for lately
	ownWork                 float64 // the mean of work
	usualWork               float64 // stands in where a request states no work
	callWorth               float64 // what its call earns, as a share of the most that any class's does
}

// tenant is one tenant's fair arrivals on this server, with what arrived lately.
type tenant struct {
	fair float64
	came ring
	full float64 // mean worth of its requests as a share of their class's, from what it sends beyond its share
}

// cell is one class of one tenant: its recent work, what that earns, and where it stands among all.
type cell struct {
	work  ring
	earns float64
	stand float64 // share of recent work that earns less
}

// Controller decides for one server.
type Controller struct {
	writer   Writer
	now      Time
	granule  Time
	handlers []handler
	tenants  []tenant
	cells    []cell
	byRank   []int // cells by what they earn
	requests requestTable
	due      wheel
	byWork   bool
	beyond   float64 // worth of what is beyond a share, as a share
	worst    float64 // what the worst class's share counts for, over that of the whole
	stage    float64
	awake    bool // a timer is pending

	queue     list // read and waiting for a run slot
	queueLong bool
	lastWait  Time // of the last request to start

	cores, onCores float64
	running, limit int
	coldSpeed      float64 // share of speed at the start
	fallMultiple   float64 // runs a core that a warm server survives
	started        Time
	warmAt         Time

	memory, memoryMost float64
	runKB              float64 // memory of a run as a multiple of a waiting request's
	keyKB              float64 // of an entry in the table of keys

	stop     Cancellation
	freshFor Time
	linger   Time
	shared   bool
	drain    bool

	callsAllowed  float64 // calls meant to be in flight in the mean
	callsMost     float64 // and never more than
	callQueue     list
	nextCall      Time
	callsInFlight level
	abandonedCalls,
	callTimes,
	callsRefused,
	callsPassed ring
	callTime float64
	senders  float64

	hung, swamped bool
	healthy       bool // what health checks are told
	stalledFor    Time // how long started work has not moved
	tooLate       ring // what was read or done too late to be of use, of all
	unreadTimes   ring // how long what was read had waited unread, in response targets
	lastTick      Time
	slowTick      Time
	lastCame      Time // when a request was read last

	signal               OverloadSignal
	pressure, lastSignal float64
	idle, idleSaid       Time
	sheds                ring            // requests shed, and requests read
	retries              ring            // further tries read, and requests read
	callers              map[uint32]Time // when each caller last came
	returning            ring            // requests of callers that came shortly before, and requests read
	maxPause             Time
	grace, graceEnd      Time
	kill                 Time
	pools                Pools
}

// New readies a controller for a server that starts now.
func New(d *Deployment) *Controller {
	c := &Controller{
		requests: newRequestTable(), queue: newList(), callQueue: newList(), granule: d.RoundInterval, byWork: d.ValuePerWork, beyond: d.OverQuotaWeight,
		cores: float64(d.Cores), limit: d.Cores, coldSpeed: 1, started: d.Start, warmAt: d.Start, fallMultiple: max(d.MaxRunsPerCore, 1),
		runKB: d.RunMemoryFactor, keyKB: d.TableEntryKB, stop: d.Cancellation, freshFor: d.ResponseReuseTime, maxPause: d.MaxRetryAfter,
		signal: d.OverloadSignal, idle: d.IdleTimeout, idleSaid: d.IdleTimeout, senders: float64(d.Callers), stage: float64(d.Tier),
		linger: d.CancellationDelay, shared: d.Dependency == DependencyShared && d.CallAllowance > 0, grace: d.DrainGrace,
		lastTick: d.Start, slowTick: d.Start, worst: d.WorstClassWeight * one(d.OverloadSignal != SignalLevel),
		// 4096 buckets of a tick reach 80 s, past every client timeout; what lies further is filed again.
		due:     newWheel(4096, tick, d.Start),
		tooLate: newRing(4, Second/4), unreadTimes: newRing(4, Second/4),
		// Two seconds of calls, in steps short beside a trouble: long enough for a mean at a few calls a second.
		callTimes: newRing(8, Second/4), callsRefused: newRing(8, Second/4), callsPassed: newRing(8, Second/4),
		callsInFlight:  level{ring: newRing(10, max(d.CallAveragingTime, Second)/10), at: d.Start},
		abandonedCalls: newRing(5, max(d.CancellationDelay, 4)/4),
		// Four seconds of requests: dozens at a server's rate, and shorter than a storm.
		sheds: newRing(8, Second/2), retries: newRing(8, Second/2), returning: newRing(8, Second),
		callers: map[uint32]Time{}, pools: d.Pools,
	}
	if d.ColdStart && d.ColdSpeed > 0 && d.ColdSpeed < 1 {
		c.coldSpeed, c.warmAt = d.ColdSpeed, d.Start+d.WarmUpTime
	}
	// A twentieth of memory is left free: what a round brings in is counted only after it was read.
	c.memoryMost = d.MemoryKB * 0.95
	// The pace aims at half of what it survives (a quarter lost where a server's calls are few, all of it even),
	// and never are more than nine tenths in hand, so that no mean over the span can come to the whole.
	c.callsAllowed, c.callsMost = d.CallAllowance/2, d.CallAllowance*0.9
	for _, h := range d.Handlers {
		// Four seconds of runs: dozens at a server's rate, and soon past a change of its speed.
		c.handlers = append(c.handlers, handler{lateEarns: h.LateValue > 0, canSkipCall: h.DegradedValue > 0, keyed: h.RetrySafety == IdempotencyKeyed,
			runsOnce: h.RetrySafety != Retryable, serviceRatios: newRing(8, Second/2), work: newRing(8, Second/2),
			inTime: newRing(8, Second), usualWork: 1, ownWork: float64(h.LatencyObjective) / 8})
	}
	for range d.Tenants {
		// Five seconds of arrivals: some dozens at a server's rate, and shorter than a surge lasts.
		c.tenants = append(c.tenants, tenant{came: newRing(10, Second/2), full: 1})
	}
	c.Adopt(d)
	if len(c.tenants) == 0 {
		c.tenants = append(c.tenants, tenant{came: newRing(1, Second), full: 1, fair: math.Inf(1)})
	}
	c.cells = make([]cell, len(c.handlers)*len(c.tenants))
	for k := range c.cells {
		c.cells[k].work, c.cells[k].stand = newRing(10, Second/2), 1
		c.byRank = append(c.byRank, k)
	}
	return c
}

// Adopt goes on under other values, targets, timeouts, windows and quotas of the same handlers and tenants. What is
// held, runs or is known by key stays, with the due times under which it came, and so does what was measured.
func (c *Controller) Adopt(d *Deployment) {
	most := 1e-9
	for _, h := range d.Handlers {
		most = max(most, h.Value*(1-h.DegradedValue))
	}
	for k, h := range d.Handlers {
		o := &c.handlers[k]
		o.target, o.timeout, o.window, o.value = h.LatencyObjective, h.Timeout, h.IdempotencyWindow, h.Value
		o.callWorth = h.Value * (1 - h.DegradedValue) / most
	}
	for k, t := range d.Tenants {
		c.tenants[k].fair = t.Quota / float64(d.FleetSize) * float64(c.tenants[k].came.span()) / float64(Second)
	}
}

// Handlers is the number of handlers known.
func (c *Controller) Handlers() int { return len(c.handlers) }

// Decide takes a round and writes what is decided.
func (c *Controller) Decide(r *Round, w Writer) {
	c.now, c.writer = max(r.Now, c.now), w
	c.updateHealth()
	if r.Drain {
		c.startDrain(r.KillAt)
	}
	for _, b := range r.CallEnds {
		c.callReturned(b)
	}
	for _, id := range r.CallRequests {
		c.runNeedsCall(c.requests.find(id))
	}
	for _, e := range r.RunEnds {
		c.runEnded(e)
	}
	for k := range r.Arrived {
		c.register(&r.Arrived[k])
	}
	for k := range r.Arrived {
		c.admit(c.requests.find(r.Arrived[k].ID), &r.Arrived[k])
	}
	for _, id := range r.Disconnected {
		c.abandon(c.requests.find(id))
	}
	if r.TimerFired {
		c.awake = false
		c.onTick(r)
	}
	for i := c.due.next(&c.requests, c.now); i != none; i = c.due.next(&c.requests, c.now) {
		c.review(i)
	}
	c.makeCalls()
	c.start()
	if !c.awake {
		c.awake = true
		if len(c.requests.ids) > 0 {
			w.WakeUp(c.now + tick)
		} else {
			w.WakeUp(c.now + rest)
		}
	}
}

// onTick reads the gauges and what goes by the clock.
func (c *Controller) onTick(r *Round) {
	// A process that stood still saw nothing: only time it was awake for counts.
	dt := min(c.now-c.lastTick, 2*rest)
	c.lastTick = c.now
	if r.HasGauges {
		c.onCores = r.Gauges.Runnable
		c.adjustLimit()
	}
	if c.pools != nil {
		c.pools.Tick(c.now, min(c.limit, c.runCeiling()))
		for _, line := range c.pools.TakeChanges() {
			c.writer.Log(line)
		}
	}
	// An eighth of the target unread is well past what reading itself takes; a quarter scored the same.
	c.queueLong = float64(c.queue.n) >= c.cores || c.unreadTimes.mean(c.now, 0) > 0.125
	c.detectHang(dt)
	if c.now-c.slowTick < rest {
		return
	}
	c.rankCells()
	if r.HasGauges {
		c.shortenIdleTime(r.Gauges.OpenConnections)
	}
	c.signalOverload(float64(c.now-c.slowTick) / float64(Second))
	c.slowTick = c.now
}

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

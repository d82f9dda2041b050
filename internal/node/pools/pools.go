package pools

import "umberwinch/admission"

// Time and Second are those of package admission.
type Time = admission.Time

// Second is one second of Time.
const Second = admission.Second

// Config is the configuration of pools.
type Config struct {
	Disabled bool // every request may start
	Classes  []Class
	Reserve  bool // the class with the lowest median work has reserved slots
	Tenants  int
}

// Pools is the state of one server's pools. It implements admission.Pools.
type Pools struct {
	config     Config
	classes    []classState
	queued     map[uint32]owner // by request ID
	runs       map[uint32]*run  // by request ID
	freeRuns   []*run
	runOrder   []uint32 // keys of runs in start order, for deterministic iteration
	slots      int      // the concurrency limit, in runs
	heavy      heavySlots
	reserve    reserve
	adjustedAt Time     // when limits were last adjusted
	changes    []string // lines for the log
}

var _ admission.Pools = (*Pools)(nil)

// owner is a request's class, tenant and bucket of callers.
type owner struct{ class, tenant, caller int }

// run is a run in progress.
type run struct {
	owner
	resumedAt Time // when it started or its last call ended
	work      Time // done before resumedAt, without calls
	atCall    bool
	heavy     bool // it occupies a heavy slot
}

// workSoFar is the elapsed time of a run without its calls.
func (r *run) workSoFar(now Time) Time {
	if r.atCall {
		return r.work
	}
	return r.work + now - r.resumedAt
}

// New returns pools without requests.
func New(config Config) *Pools {
	tenants := max(1, config.Tenants)
	p := &Pools{
		config:  config,
		queued:  map[uint32]owner{},
		runs:    map[uint32]*run{},
		slots:   1,
		heavy:   heavySlots{byTenant: make([]int, tenants)},
		reserve: noReserve,
	}
	for _, c := range config.Classes {
		p.classes = append(p.classes, newClassState(c, tenants))
	}
	return p
}

// Reconfigure applies a new configuration; runs in progress are not affected. Classes must be the same in number and
// order. The number of tenants can't change.
func (p *Pools) Reconfigure(config Config) {
	config.Tenants = p.config.Tenants
	p.config = config
	for k := range config.Classes {
		p.classes[k].reconfigure(config.Classes[k])
	}
	if !config.Reserve {
		p.reserve = noReserve
	}
	p.adjustedAt = 0
}

// Enqueued reports a request that joined the admission queue.
func (p *Pools) Enqueued(now Time, q *admission.Request) {
	o := owner{class: q.Handler, caller: callerBucket(q.Caller)}
	c := &p.classes[o.class]
	if q.Tenant > 0 && q.Tenant < len(c.byTenant.queued) {
		o.tenant = q.Tenant
	}
	p.queued[q.ID] = o
	c.queued++
	c.byTenant.queued[o.tenant]++
	c.byCaller.queued[o.caller]++
	c.arrivals.add(now, 1)
}

// Dequeued reports a request that left the queue without a run: it was shed, its caller disconnected, or it is answered
// with the result of another request.
func (p *Pools) Dequeued(now Time, id uint32, shed bool) {
	c := p.unqueue(id)
	if c != nil && shed {
		c.missed.add(now, 1)
		c.shed++
	}
}

// unqueue removes a queued request and returns its class; nil if it isn't queued.
func (p *Pools) unqueue(id uint32) *classState {
	o, ok := p.queued[id]
	if !ok {
		return nil
	}
	delete(p.queued, id)
	c := &p.classes[o.class]
	c.queued--
	c.byTenant.queued[o.tenant]--
	c.byCaller.queued[o.caller]--
	return c
}

// Rejected reports a request of a class that was shed before it joined the queue.
func (p *Pools) Rejected(now Time, class int) {
	c := &p.classes[class]
	c.arrivals.add(now, 1)
	c.missed.add(now, 1)
	c.shed++
}

// Started reports that a queued request got a run slot after queueDelay.
func (p *Pools) Started(now Time, id uint32, queueDelay Time) {
	o := p.queued[id]
	c := p.unqueue(id)
	if c == nil {
		return
	}
	if !c.hasFreeSlot(p.slots) {
		c.startedOverLimit++
	}
	c.byTenant.running[o.tenant]++
	c.byCaller.running[o.caller]++
	c.running++
	c.lastDelay = queueDelay
	r := p.newRun()
	*r = run{owner: o, resumedAt: now}
	p.runs[id] = r
	p.runOrder = append(p.runOrder, id)
}

func (p *Pools) newRun() *run {
	if n := len(p.freeRuns); n > 0 {
		r := p.freeRuns[n-1]
		p.freeRuns = p.freeRuns[:n-1]
		return r
	}
	return new(run)
}

// SetAtCall reports that a run awaits a call, or resumed after one. Time at a call doesn't count as work.
func (p *Pools) SetAtCall(now Time, id uint32, atCall bool) {
	r := p.runs[id]
	if r == nil || r.atCall == atCall {
		return
	}
	if atCall {
		r.work += now - r.resumedAt
	}
	r.resumedAt, r.atCall = now, atCall
}

// Ended reports the end of a run, which frees its slot. succeeded: it had a result; inTime: it met the latency
// objective. Runs without a result, stopped or hung, don't count in their class's cost.
func (p *Pools) Ended(now Time, id uint32, succeeded, inTime bool) {
	r := p.runs[id]
	if r == nil {
		return
	}
	c := &p.classes[r.class]
	work := float64(r.workSoFar(now))
	if succeeded {
		c.cost.history.add(now, work)
	}
	if !inTime {
		c.missed.add(now, 1)
	}
	if r.heavy {
		c.heavy--
		p.heavy.release(r.tenant)
	} else {
		c.workDone.add(now, work)
		c.running--
	}
	c.byTenant.running[r.tenant]--
	c.byCaller.running[r.caller]--
	p.removeRun(id, r)
}

func (p *Pools) removeRun(id uint32, r *run) {
	delete(p.runs, id)
	for k, other := range p.runOrder {
		if other == id {
			p.runOrder = append(p.runOrder[:k], p.runOrder[k+1:]...)
			break
		}
	}
	p.freeRuns = append(p.freeRuns, r)
}

// adjustInterval is the time between two adjustments of limits: a few dozen runs end within it. A longer one would leave
// a class starved for as long.
const adjustInterval = Second / 2

// Tick marks heavy runs, and adjusts limits and reserve every adjustInterval. slots is the concurrency limit, in runs.
func (p *Pools) Tick(now Time, slots int) {
	p.slots = max(1, slots)
	p.markHeavyRuns(now)
	if now-p.adjustedAt < adjustInterval {
		return
	}
	p.adjustedAt = now
	for k := range p.classes {
		p.classes[k].cost.updateQuantiles(now)
	}
	p.divideSlots(now)
	p.adjustLimits(now)
	p.chooseReserve(now)
}

package pools

import "umberwinch/admission"

// Time and Second are those of package admission.
type Time = admission.Time

// Second is one second of Time.
const Second = admission.Second

// Plan is what the pools are made for.
type Plan struct {
	Disabled bool // all classes have room
	Classes  []Class
	Reserve  bool // the class with the least work takes a slot first while it waits
	Tenants  int
}

// Pools decide for one server. They implement admission.Pools.
type Pools struct {
	config     Plan
	classes    []classState
	queued     map[uint32]owner // by request
	runs       map[uint32]*run  // by request
	freeRuns   []*run
	runOrder   []uint32 // requests in the order of their starts: the map is never ranged over
	slots      int      // runs that the concurrency limit admits
	heavy      heavySlots
	reserve    reserve
	adjustedAt Time     // when limits were looked at last
	changes    []string // for the log
}

var _ admission.Pools = (*Pools)(nil)

// owner says whose a request is.
type owner struct{ class, tenant, caller int }

// run is one run slot in use.
type run struct {
	owner
	resumedAt Time // when it started, or went on after a call
	work      Time // before that, less its calls
	atCall    bool
	heavy     bool // it counts as one of the heavy slots
}

// workSoFar is the time of a run less its calls.
func (r *run) workSoFar(now Time) Time {
	if r.atCall {
		return r.work
	}
	return r.work + now - r.resumedAt
}

// New readies pools.
func New(plan Plan) *Pools {
	tenants := max(1, plan.Tenants)
	p := &Pools{
		config:  plan,
		queued:  map[uint32]owner{},
		runs:    map[uint32]*run{},
		slots:   1,
		heavy:   heavySlots{byTenant: make([]int, tenants)},
		reserve: noReserve,
	}
	for _, c := range plan.Classes {
		p.classes = append(p.classes, newClassState(c, tenants))
	}
	return p
}

// Reconfigure takes what the operator now says: limits change, and what runs goes on. Classes have to be the same in
// number and order; the number of tenants stays.
func (p *Pools) Reconfigure(plan Plan) {
	plan.Tenants = p.config.Tenants
	p.config = plan
	for k := range plan.Classes {
		p.classes[k].reconfigure(plan.Classes[k])
	}
	if !plan.Reserve {
		p.reserve = noReserve
	}
	p.adjustedAt = 0
}

// Enqueued takes a request that joins the admission queue.
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

// Dequeued takes a request that leaves the queue without a run: shed, gone, or answered by another's result.
func (p *Pools) Dequeued(now Time, id uint32, shed bool) {
	c := p.unqueue(id)
	if c != nil && shed {
		c.missed.add(now, 1)
		c.shed++
	}
}

// unqueue takes a request out of what is queued and gives its class; nil if it isn't queued.
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

// Rejected takes a request of a class that was shed before it joined the queue.
func (p *Pools) Rejected(now Time, class int) {
	c := &p.classes[class]
	c.arrivals.add(now, 1)
	c.missed.add(now, 1)
	c.shed++
}

// Started takes a queued request that got a slot after a wait.
func (p *Pools) Started(now Time, id uint32, waited Time) {
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
	c.lastDelay = waited
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

// SetAtCall takes a run that stands at a call, or goes on after one: its time there is no work.
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

// Ended takes a run's end: its slot is free. done tells whether it came to a result, inTime whether within the latency
// objective.
func (p *Pools) Ended(now Time, id uint32, done, inTime bool) {
	r := p.runs[id]
	if r == nil {
		return
	}
	c := &p.classes[r.class]
	work := float64(r.workSoFar(now))
	if done { // a run that was stopped or hung tells nothing of what its class costs
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

// adjustInterval: limits are looked at twice a second. A few dozen runs end between two looks at a server's rate; a
// longer one leaves a class to suffer for that long.
const adjustInterval = Second / 2

// Tick looks at the time that has gone by: heavy runs are set apart at each, limits move twice a second. slots is how
// many runs the concurrency limit admits.
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

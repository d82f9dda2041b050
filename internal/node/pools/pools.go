// Package pools sets run slots apart per class, so that costly work does not starve cheap calls: it decides
// whether the next req of a class may take a slot now. It owns what each class costs, holds and is entitled
// to. It does no I/O, has no clock and no chance: it is told the time, starts, ends and sheds, and answers.
// It never frees a slot, sheds a req or looks at one: the module does, and its ceiling on runs stands above
// all pools. docs/design/pools.md says why.
package pools

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"

	"umberwinch/admission"
)

// Time and Second are the module's.
type Time = admission.Time

const Second = admission.Second

// How the limits move. A look comes twice a second: a few dozen runs at a server's rate. A cut is larger than
// a growth, so that two classes that press each other come to rest under what both want and not over it;
// growth by a tenth has a class back at twice its limit within four seconds.
const (
	adjustInterval = Second / 2
	cutFactor      = 0.85
	growthFactor   = 0.1
	// suffers is the share of a class's recent reqs that were shed or late from which it counts as suffering:
	// one in twenty, what the reserve is to keep the cheapest class under.
	sufferingFraction = 0.05
	// sufferingShortfall is how far a class has to be under its due for that: one that has its due suffers by its own
	// excess.
	sufferingShortfall = 0.1
	// heavyFactor is how often its class's usual work a run has used when it counts as heavy. Five is past what a
	// class with an even spread shows (an exponential one has under one in thirty), and short of the tenfold
	// that hurts.
	heavyFactor = 5
	minSamples  = 20 // runs of a class from which its usual work is known
	// bunches is what a class needs over its mean: at three quarters of its slots in use few of its reqs wait
	// long.
	burstFactor     = 1.3
	heavyFraction   = 0.2  // of the slots go to heavy runs before they count as their class's own
	reserveFraction = 0.25 // of the slots the reserve is at most
	// A class gets the reserve with under reserveGainRatio of the work of the next, and loses it over reserveLossRatio: measured
	// work differs by a few in 100 from look to look. Among classes alike there is none.
	reserveGainRatio = 0.7
	reserveLossRatio = 0.85
)

// Class is what the operator says of one class, in shares of the run slots. The zero value has no floor and
// no cap.
type Class struct {
	Name       string
	Floor      float64 // never limited under it
	Cap        float64 // never over it; 0 for none
	FixedLimit bool    // its limit is its cap and does not move
	Value      float64 // what a req of it is worth: shares of what there is go by it
}

// Plan is what the pools are made for.
type Plan struct {
	Disabled bool // all have room
	Classes  []Class
	Reserve  bool // the class with the least work takes a slot first while it waits
	Tenants  int
}

// state is one class.
type classState struct {
	Class
	work             workHistory
	medianWork       float64 // median work lately, kept while nothing runs
	p95Work          float64 // 95th
	meanWork         float64
	limit            float64 // slots; infinite while nothing presses
	fairSlots        float64 // slots that are its by value and need
	usedSlots        float64 // slots its work held lately, less that of the heavy
	wantsMore        bool    // more than that: it alone is limited
	running          int     // of its slots, less its heavy runs that the heavy pool takes
	queued           int
	heavyRuns        int
	arrivals         recentSum // reqs read, and those shed or late
	missed           recentSum
	workDone         recentSum // work that ended
	startedOverLimit int       // runs started past its limit, as nobody else wanted the slot
	reason           string
	lastDelay        Time // how long its last one to start had waited
	shed             uint64
	byTenant         usage
	byCaller         usage
}

// parts count what each of some has running and held in a class.
type usage struct{ running, queued []int }

func newUsage(n int) usage { return usage{make([]int, n), make([]int, n)} }

// senders are told apart by a sum of their number, since callers are many and come and go: two that share a bucket
// share its part.
const callerBuckets = 64

func callerBucket(caller uint32) int {
	var raw [4]byte
	binary.LittleEndian.PutUint32(raw[:], caller)
	return int(crc32.ChecksumIEEE(raw[:]) % callerBuckets)
}

// waiter is a held req.
type owner struct{ class, tenant, caller int }

// counter sums over four seconds.
type recentSum struct {
	slot    int64
	buckets [historySteps]float64
	sum     float64
}

func (c *recentSum) add(now Time, v float64) {
	c.roll(now)
	c.buckets[c.slot%historySteps] += v
	c.sum += v
}

func (c *recentSum) roll(now Time) float64 {
	slot := int64(now / historyStep)
	if c.slot == 0 || slot-c.slot >= historySteps {
		*c = recentSum{slot: slot}
	}
	for c.slot < slot {
		c.slot++
		c.sum -= c.buckets[c.slot%historySteps]
		c.buckets[c.slot%historySteps] = 0
	}
	return c.sum
}

// rate is the sum a second, over the seven steps that are whole and what the last one has so far.
func (c *recentSum) rate(now Time) float64 {
	span := (historySteps-1)*historyStep + now%historyStep
	return c.roll(now) * float64(Second) / float64(span)
}

// run is one run slot in use.
type run struct {
	owner
	resumedAt Time // it went on, after its start or a call
	work      Time
	atCall    bool // at a call
	heavy     bool
}

// Pools decide for one server.
type Pools struct {
	plan          Plan
	classes       []classState
	queued        map[uint32]owner
	runs          map[uint32]*run
	freeRuns      []*run
	runOrder      []uint32 // ids of runs in the order of their starts: never ranged over by the map
	slots         int
	heavyRuns     int
	heavyByTenant []int // by tenant
	adjustedAt    Time
	reserveClass  int // class that has the reserve, -1 for none
	reserveSlots  int // slots it takes first
	changes       []string
}

// New readies pools.
func New(p Plan) *Pools {
	o := &Pools{plan: p, runs: map[uint32]*run{}, queued: map[uint32]owner{}, reserveClass: -1, slots: 1, heavyByTenant: make([]int, max(1, p.Tenants))}
	for _, c := range p.Classes {
		s := classState{Class: c, limit: math.Inf(1), reason: "room", byTenant: newUsage(max(1, p.Tenants)),
			byCaller: newUsage(callerBuckets)}
		if s.Value <= 0 {
			s.Value = 1
		}
		o.classes = append(o.classes, s)
	}
	return o
}

// Reconfigure moves what the operator says: limits change, what runs goes on. Classes stay as they are in number and
// order.
func (o *Pools) Reconfigure(p Plan) {
	p.Tenants = o.plan.Tenants
	o.plan = p
	for k := range p.Classes {
		s := &o.classes[k]
		value := s.Value
		s.Class = p.Classes[k]
		if s.Value <= 0 {
			s.Value = value
		}
		if !s.FixedLimit {
			s.limit, s.reason = math.Inf(1), "room"
		}
	}
	if !p.Reserve {
		o.reserveClass, o.reserveSlots = -1, 0
	}
	o.adjustedAt = 0
}

// Enqueued tells of a req that joins the hold.
func (o *Pools) Enqueued(now Time, q *admission.Request) {
	w := owner{q.Handler, 0, callerBucket(q.Caller)}
	s := &o.classes[w.class]
	if q.Tenant > 0 && q.Tenant < len(s.byTenant.queued) {
		w.tenant = q.Tenant
	}
	o.queued[q.ID] = w
	s.queued++
	s.byTenant.queued[w.tenant]++
	s.byCaller.queued[w.caller]++
	s.arrivals.add(now, 1)
}

// Dequeued tells of a held req that leaves the hold without a run: shed, gone, or answered by another's result.
func (o *Pools) Dequeued(now Time, id uint32, shed bool) {
	s := o.unqueue(id)
	if s != nil && shed {
		s.missed.add(now, 1)
		s.shed++
	}
}

// unhold takes a req out of what is held and gives its class.
func (o *Pools) unqueue(id uint32) *classState {
	w, ok := o.queued[id]
	if !ok {
		return nil
	}
	delete(o.queued, id)
	s := &o.classes[w.class]
	s.queued--
	s.byTenant.queued[w.tenant]--
	s.byCaller.queued[w.caller]--
	return s
}

// Rejected tells of a req that was shed before it joined the hold.
func (o *Pools) Rejected(now Time, class int) {
	s := &o.classes[class]
	s.arrivals.add(now, 1)
	s.missed.add(now, 1)
	s.shed++
}

// CanStart tells whether the oldest held req of a class and tenant may take a slot now. It may while its class has
// room; past that only where nobody with room waits. The reserve's class goes before all others while it
// waits and has less than the reserve.
func (o *Pools) CanStart(id uint32) bool {
	w, ok := o.queued[id]
	if o.plan.Disabled || !ok {
		return true
	}
	s := &o.classes[w.class]
	if o.reserveClass >= 0 && w.class != o.reserveClass {
		if r := &o.classes[o.reserveClass]; r.queued > 0 && r.running < o.reserveSlots {
			return false
		}
	}
	if o.crowdsOut(s, w) {
		return false
	}
	if o.hasRoom(s) {
		return true
	}
	if s.Cap > 0 && float64(s.running) >= s.Cap*float64(o.slots) {
		return false // a cap is the operator's word, also where a slot would idle
	}
	for k := range o.classes {
		if other := &o.classes[k]; other != s && other.queued > 0 && o.hasRoom(other) {
			return false
		}
	}
	return true
}

func (o *Pools) hasRoom(s *classState) bool {
	return float64(s.running) < max(1, math.Floor(min(s.limit, o.capSlots(s))+1e-9))
}

// crowds tells whether a tenant, or a sender, holds more than half of a limited class's slots while others of the
// class wait: what is beyond its share goes last.
func (o *Pools) crowdsOut(s *classState, w owner) bool {
	if math.IsInf(s.limit, 1) {
		return false
	}
	half := max(1, int(s.limit/2))
	return s.byTenant.running[w.tenant] >= half && s.queued > s.byTenant.queued[w.tenant] ||
		s.byCaller.running[w.caller] >= half && s.queued > s.byCaller.queued[w.caller]
}

func (o *Pools) capSlots(s *classState) float64 {
	if s.Cap > 0 {
		return s.Cap * float64(o.slots)
	}
	return math.Inf(1)
}

// Started tells of a held req that took a slot.
func (o *Pools) Started(now Time, id uint32, waited Time) {
	w := o.queued[id]
	s := o.unqueue(id)
	if s == nil {
		return
	}
	if !o.hasRoom(s) {
		s.startedOverLimit++
	}
	s.byTenant.running[w.tenant]++
	s.byCaller.running[w.caller]++
	s.running++
	s.lastDelay = waited
	var r *run
	if n := len(o.freeRuns); n > 0 {
		r, o.freeRuns = o.freeRuns[n-1], o.freeRuns[:n-1]
	} else {
		r = new(run)
	}
	*r = run{owner: w, resumedAt: now}
	o.runs[id] = r
	o.runOrder = append(o.runOrder, id)
}

// SetAtCall tells that a run stands at a call, or goes on after one: its time there is no work.
func (o *Pools) SetAtCall(now Time, id uint32, away bool) {
	r := o.runs[id]
	if r == nil || r.atCall == away {
		return
	}
	if away {
		r.work += now - r.resumedAt
	}
	r.resumedAt, r.atCall = now, away
}

// Ended tells of a run's end: its slot is free. done tells whether it came to a result, inTime whether within
// the response target.
func (o *Pools) Ended(now Time, id uint32, done, inTime bool) {
	r := o.runs[id]
	if r == nil {
		return
	}
	s := &o.classes[r.class]
	work := float64(o.workOf(now, r))
	if done { // a run that was stopped or hung tells nothing of what its class costs
		s.work.add(now, work)
	}
	if !r.heavy {
		s.workDone.add(now, work)
	}
	if !inTime {
		s.missed.add(now, 1)
	}
	if r.heavy {
		s.heavyRuns--
		o.heavyRuns--
		o.heavyByTenant[r.tenant]--
	} else {
		s.running--
	}
	s.byTenant.running[r.tenant]--
	s.byCaller.running[r.caller]--
	delete(o.runs, id)
	for k, other := range o.runOrder {
		if other == id {
			o.runOrder = append(o.runOrder[:k], o.runOrder[k+1:]...)
			break
		}
	}
	o.freeRuns = append(o.freeRuns, r)
}

func (o *Pools) workOf(now Time, r *run) Time {
	if r.atCall {
		return r.work
	}
	return r.work + now - r.resumedAt
}

// Tick looks at the time that has gone by: heavy runs move to their pool at each, limits twice a second.
// slots is how many runs the module has room for.
func (o *Pools) Tick(now Time, slots int) {
	o.slots = max(1, slots)
	o.separateHeavy(now)
	if now-o.adjustedAt < adjustInterval {
		return
	}
	o.adjustedAt = now
	for k := range o.classes {
		s := &o.classes[k]
		all := s.work.merged(now)
		if all.n >= minSamples || s.medianWork == 0 && all.n > 0 {
			s.medianWork, s.p95Work = all.quantile(0.5), all.quantile(0.95)
		}
	}
	o.divideSlots(now)
	o.adjustLimits(now)
	o.chooseReserve(now)
}

// weigh moves runs that have used several times their class's usual work to the pool of the heavy, as far as
// that has room, and for one of several tenants up to half of it; what it has no room for stays its class's own.
func (o *Pools) separateHeavy(now Time) {
	room := max(1, int(heavyFraction*float64(o.slots)))
	each := room
	if len(o.heavyByTenant) > 1 {
		each = max(1, room/2)
	}
	for _, id := range o.runOrder {
		r := o.runs[id]
		s := &o.classes[r.class]
		if r.heavy || s.medianWork == 0 || o.heavyRuns >= room || float64(o.workOf(now, r)) < heavyFactor*s.medianWork {
			continue
		}
		if o.heavyByTenant[r.tenant] >= each {
			continue
		}
		r.heavy = true
		s.heavyRuns++
		o.heavyRuns++
		o.heavyByTenant[r.tenant]++
		s.running--
	}
}

// weight is what a class earns for its work: by it the slots are split where they don't do for all.
func (s *classState) valueDensity() float64 { return s.Value / max(s.meanWork, 1) }

// entitle splits the slots: each class gets what its recent work needs, and where that is more than there is,
// the classes that need least for what they earn are filled first, none past its need.
func (o *Pools) divideSlots(now Time) {
	// What a class needs is the slots its arrivals would hold: their number a second times the work of one.
	need := make([]float64, len(o.classes))
	for k := range o.classes {
		s := &o.classes[k]
		n := s.arrivals.rate(now)
		mean := s.medianWork
		if ends := s.work.merged(now); ends.n > 0 {
			mean = max(mean, s.workDone.roll(now)/float64(ends.n))
		}
		s.meanWork = mean
		need[k] = burstFactor * n * mean / float64(Second)
	}
	left, open := float64(o.slots), len(o.classes)
	done := make([]bool, len(o.classes))
	for k := range o.classes {
		o.classes[k].fairSlots, o.classes[k].wantsMore = 0, false
	}
	for open > 0 && left > 1e-9 {
		weights := 0.0
		for k := range o.classes {
			if !done[k] {
				weights += o.classes[k].valueDensity()
			}
		}
		filled := false
		for k := range o.classes {
			if share := left * o.classes[k].valueDensity() / weights; !done[k] && need[k] <= share {
				o.classes[k].fairSlots = need[k]
				done[k], filled = true, true
				left -= need[k]
				open--
				break
			}
		}
		if filled {
			continue
		}
		for k := range o.classes {
			if !done[k] {
				o.classes[k].fairSlots, o.classes[k].wantsMore = left*o.classes[k].valueDensity()/weights, true
			}
		}
		break
	}
}

// move cuts the class that is furthest over its due while another suffers that has less than its own. A class
// that needs no more than its due is never limited. Growth ends at the due while all want more than there is:
// to grow past it and be cut again would have the others suffer each time.
func (o *Pools) adjustLimits(now Time) {
	// Half a slot over, by the mean of four seconds: what runs at a moment swings by several.
	suffer, worst, least, over := -1, -1, math.Inf(1), 0.5
	for k := range o.classes {
		s := &o.classes[k]
		came, bad := s.arrivals.roll(now), s.missed.roll(now)
		s.usedSlots = s.workDone.rate(now) / float64(Second)
		by := s.usedSlots - max(s.fairSlots, s.Floor*float64(o.slots), 1)
		if came >= 4 && bad > sufferingFraction*came && by < min(least, -sufferingShortfall*s.fairSlots) {
			suffer, least = k, by
		}
		if !s.FixedLimit && s.wantsMore && by > over {
			worst, over = k, by
		}
	}
	if suffer == worst {
		worst = -1
	}
	for k := range o.classes {
		s := &o.classes[k]
		floor, most := max(1, s.Floor*float64(o.slots)), float64(o.slots)
		if s.Cap > 0 {
			most = min(most, s.Cap*float64(o.slots))
		}
		switch {
		case s.FixedLimit:
			o.setLimit(s, most, "fixed")
		case suffer >= 0 && k == worst:
			o.setLimit(s, max(floor, min(s.limit, s.usedSlots)*cutFactor, s.fairSlots), "cut: "+o.classes[suffer].Name+" suffers")
		case math.IsInf(s.limit, 1):
		case s.limit >= most:
			o.setLimit(s, math.Inf(1), "room")
		case s.wantsMore && s.limit >= s.fairSlots && suffer >= 0 && k != suffer:
			o.setLimit(s, s.limit, "its due, while all want more than there is")
		case suffer < 0 || !s.wantsMore || k == suffer:
			o.setLimit(s, s.limit+max(1, growthFactor*s.limit), "grows")
		}
	}
}

// set moves a limit; a change by a whole slot or of its cause is told.
func (o *Pools) setLimit(s *classState, limit float64, why string) {
	if math.Floor(limit) != math.Floor(s.limit) && why != s.reason && len(o.changes) < 16 {
		o.changes = append(o.changes, fmt.Sprintf("pool %s: limit %.0f of %d, was %.0f: %s", s.Name, limit, o.slots,
			s.limit, why))
	}
	s.limit, s.reason = limit, why
}

// keep gives the reserve to the class with the least usual work, and sizes it by what that class needs.
func (o *Pools) chooseReserve(now Time) {
	if !o.plan.Reserve {
		return
	}
	best, least, second := -1, math.Inf(1), math.Inf(1)
	for k := range o.classes {
		switch u := o.classes[k].medianWork; {
		case u == 0:
		case u < least:
			best, least, second = k, u, least
		default:
			second = min(second, u)
		}
	}
	// It takes clearly less work than any other's to get it, and less of a distance to keep it.
	apart := reserveGainRatio
	if best == o.reserveClass {
		apart = reserveLossRatio
	}
	if best < 0 || least > apart*second {
		o.reserveClass, o.reserveSlots = -1, 0
		return
	}
	if best != o.reserveClass && len(o.changes) < 16 {
		o.changes = append(o.changes, fmt.Sprintf("reserve: %s has it, with %.1f ms of work a req", o.classes[best].Name,
			o.classes[best].medianWork/10))
	}
	o.reserveClass = best
	s := &o.classes[best]
	n := s.arrivals.rate(now)
	// Twice what it needs in the mean: arrivals bunch.
	o.reserveSlots = max(1, min(int(math.Ceil(2*n*s.p95Work/float64(Second))), int(reserveFraction*float64(o.slots))))
}

// QueueDelay is how long a limited class's waiting is at the moment, by the last of it to start; 0 while it has no
// limit.
func (o *Pools) QueueDelay(class int) Time {
	if o.plan.Disabled || math.IsInf(o.classes[class].limit, 1) {
		return 0
	}
	return o.classes[class].lastDelay
}

// ClassStatus is one class for operators.
type ClassStatus struct {
	Name             string
	Limit            float64 // infinite: none
	Reason           string
	Running          int
	Heavy            int
	Queued           int
	Shed             uint64
	StartedOverLimit int // runs that began past the limit
	MedianWork       float64
	P95Work          float64 // 95th, in tenths of a ms as the median
	Entitled         float64
	Reserve          int
}

// Status gives all classes in order.
func (o *Pools) Status() []ClassStatus {
	out := make([]ClassStatus, len(o.classes))
	for k := range o.classes {
		s := &o.classes[k]
		out[k] = ClassStatus{Name: s.Name, Limit: s.limit, Reason: s.reason, Running: s.running, Heavy: s.heavyRuns, Queued: s.queued,
			Shed: s.shed, StartedOverLimit: s.startedOverLimit, MedianWork: s.medianWork, P95Work: s.p95Work, Entitled: s.fairSlots}
		if k == o.reserveClass {
			out[k].Reserve = o.reserveSlots
		}
	}
	return out
}

// TakeChanges gives what changed since it was last asked.
func (o *Pools) TakeChanges() []string {
	out := o.changes
	o.changes = nil
	return out
}

var _ admission.Pools = (*Pools)(nil)

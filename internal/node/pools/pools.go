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
	lookEvery = Second / 2
	cutTo     = 0.85
	growBy    = 0.1
	// suffers is the share of a class's recent reqs that were shed or late from which it counts as suffering:
	// one in twenty, what the reserve is to keep the cheapest class under.
	suffers = 0.05
	// underDue is how far a class has to be under its due for that: one that has its due suffers by its own
	// excess.
	underDue = 0.1
	// heavyTimes is how often its class's usual work a run has used when it counts as heavy. Five is past what a
	// class with an even spread shows (an exponential one has under one in thirty), and short of the tenfold
	// that hurts.
	heavyTimes = 5
	enough     = 20 // runs of a class from which its usual work is known
	// bunches is what a class needs over its mean: at three quarters of its slots in use few of its reqs wait
	// long.
	bunches     = 1.3
	heavyPart   = 0.2  // of the slots go to heavy runs before they count as their class's own
	reservePart = 0.25 // of the slots the reserve is at most
	// A class gets the reserve with under holdsOn of the work of the next, and loses it over letsGo: measured
	// work differs by a few in 100 from look to look. Among classes alike there is none.
	holdsOn = 0.7
	letsGo  = 0.85
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
type state struct {
	Class
	cost     aged
	usual    float64 // median work lately, kept while nothing runs
	high     float64 // 95th
	mean     float64
	limit    float64 // slots; infinite while nothing presses
	entitled float64 // slots that are its by value and need
	use      float64 // slots its work held lately, less that of the heavy
	wants    bool    // more than that: it alone is limited
	running  int     // of its slots, less its heavy runs that the heavy pool takes
	held     int
	heavy    int
	came     counter // reqs read, and those shed or late
	bad      counter
	worked   counter // work that ended
	lent     int     // runs started past its limit, as nobody else wanted the slot
	why      string
	lap      Time // how long its last one to start had waited
	shed     uint64
	tenants  parts
	senders  parts
}

// parts count what each of some has running and held in a class.
type parts struct{ running, held []int }

func newParts(n int) parts { return parts{make([]int, n), make([]int, n)} }

// senders are told apart by a sum of their number, since callers are many and come and go: two that share a bucket
// share its part.
const senders = 64

func bucket(caller uint32) int {
	var raw [4]byte
	binary.LittleEndian.PutUint32(raw[:], caller)
	return int(crc32.ChecksumIEEE(raw[:]) % senders)
}

// waiter is a held req.
type waiter struct{ class, tenant, sender int }

// counter sums over four seconds.
type counter struct {
	slot int64
	at   [ringSteps]float64
	sum  float64
}

func (c *counter) add(now Time, v float64) {
	c.roll(now)
	c.at[c.slot%ringSteps] += v
	c.sum += v
}

func (c *counter) roll(now Time) float64 {
	slot := int64(now / ringStep)
	if c.slot == 0 || slot-c.slot >= ringSteps {
		*c = counter{slot: slot}
	}
	for c.slot < slot {
		c.slot++
		c.sum -= c.at[c.slot%ringSteps]
		c.at[c.slot%ringSteps] = 0
	}
	return c.sum
}

// rate is the sum a second, over the seven steps that are whole and what the last one has so far.
func (c *counter) rate(now Time) float64 {
	span := (ringSteps-1)*ringStep + now%ringStep
	return c.roll(now) * float64(Second) / float64(span)
}

// run is one run slot in use.
type run struct {
	waiter
	since Time // it went on, after its start or a call
	used  Time
	away  bool // at a call
	heavy bool
}

// Pools decide for one server.
type Pools struct {
	plan    Plan
	c       []state
	held    map[uint32]waiter
	runs    map[uint32]*run
	free    []*run
	order   []uint32 // ids of runs in the order of their starts: never ranged over by the map
	slots   int
	heavy   int
	heavyBy []int // by tenant
	looked  Time
	cheap   int // class that has the reserve, -1 for none
	reserve int // slots it takes first
	changes []string
}

// New readies pools.
func New(p Plan) *Pools {
	o := &Pools{plan: p, runs: map[uint32]*run{}, held: map[uint32]waiter{}, cheap: -1, slots: 1, heavyBy: make([]int, max(1, p.Tenants))}
	for _, c := range p.Classes {
		s := state{Class: c, limit: math.Inf(1), why: "room", tenants: newParts(max(1, p.Tenants)),
			senders: newParts(senders)}
		if s.Value <= 0 {
			s.Value = 1
		}
		o.c = append(o.c, s)
	}
	return o
}

// Reconfigure moves what the operator says: limits change, what runs goes on. Classes stay as they are in number and
// order.
func (o *Pools) Reconfigure(p Plan) {
	p.Tenants = o.plan.Tenants
	o.plan = p
	for k := range p.Classes {
		s := &o.c[k]
		value := s.Value
		s.Class = p.Classes[k]
		if s.Value <= 0 {
			s.Value = value
		}
		if !s.FixedLimit {
			s.limit, s.why = math.Inf(1), "room"
		}
	}
	if !p.Reserve {
		o.cheap, o.reserve = -1, 0
	}
	o.looked = 0
}

// Enqueued tells of a req that joins the hold.
func (o *Pools) Enqueued(now Time, q *admission.Request) {
	w := waiter{q.Handler, 0, bucket(q.Caller)}
	s := &o.c[w.class]
	if q.Tenant > 0 && q.Tenant < len(s.tenants.held) {
		w.tenant = q.Tenant
	}
	o.held[q.ID] = w
	s.held++
	s.tenants.held[w.tenant]++
	s.senders.held[w.sender]++
	s.came.add(now, 1)
}

// Dequeued tells of a held req that leaves the hold without a run: shed, gone, or answered by another's result.
func (o *Pools) Dequeued(now Time, id uint32, shed bool) {
	s := o.unhold(id)
	if s != nil && shed {
		s.bad.add(now, 1)
		s.shed++
	}
}

// unhold takes a req out of what is held and gives its class.
func (o *Pools) unhold(id uint32) *state {
	w, ok := o.held[id]
	if !ok {
		return nil
	}
	delete(o.held, id)
	s := &o.c[w.class]
	s.held--
	s.tenants.held[w.tenant]--
	s.senders.held[w.sender]--
	return s
}

// Rejected tells of a req that was shed before it joined the hold.
func (o *Pools) Rejected(now Time, class int) {
	s := &o.c[class]
	s.came.add(now, 1)
	s.bad.add(now, 1)
	s.shed++
}

// CanStart tells whether the oldest held req of a class and tenant may take a slot now. It may while its class has
// room; past that only where nobody with room waits. The reserve's class goes before all others while it
// waits and has less than the reserve.
func (o *Pools) CanStart(id uint32) bool {
	w, ok := o.held[id]
	if o.plan.Disabled || !ok {
		return true
	}
	s := &o.c[w.class]
	if o.cheap >= 0 && w.class != o.cheap {
		if r := &o.c[o.cheap]; r.held > 0 && r.running < o.reserve {
			return false
		}
	}
	if o.crowds(s, w) {
		return false
	}
	if o.room(s) {
		return true
	}
	if s.Cap > 0 && float64(s.running) >= s.Cap*float64(o.slots) {
		return false // a cap is the operator's word, also where a slot would idle
	}
	for k := range o.c {
		if other := &o.c[k]; other != s && other.held > 0 && o.room(other) {
			return false
		}
	}
	return true
}

func (o *Pools) room(s *state) bool {
	return float64(s.running) < max(1, math.Floor(min(s.limit, o.most(s))+1e-9))
}

// crowds tells whether a tenant, or a sender, holds more than half of a limited class's slots while others of the
// class wait: what is beyond its share goes last.
func (o *Pools) crowds(s *state, w waiter) bool {
	if math.IsInf(s.limit, 1) {
		return false
	}
	half := max(1, int(s.limit/2))
	return s.tenants.running[w.tenant] >= half && s.held > s.tenants.held[w.tenant] ||
		s.senders.running[w.sender] >= half && s.held > s.senders.held[w.sender]
}

func (o *Pools) most(s *state) float64 {
	if s.Cap > 0 {
		return s.Cap * float64(o.slots)
	}
	return math.Inf(1)
}

// Started tells of a held req that took a slot.
func (o *Pools) Started(now Time, id uint32, waited Time) {
	w := o.held[id]
	s := o.unhold(id)
	if s == nil {
		return
	}
	if !o.room(s) {
		s.lent++
	}
	s.tenants.running[w.tenant]++
	s.senders.running[w.sender]++
	s.running++
	s.lap = waited
	var r *run
	if n := len(o.free); n > 0 {
		r, o.free = o.free[n-1], o.free[:n-1]
	} else {
		r = new(run)
	}
	*r = run{waiter: w, since: now}
	o.runs[id] = r
	o.order = append(o.order, id)
}

// SetAtCall tells that a run stands at a call, or goes on after one: its time there is no work.
func (o *Pools) SetAtCall(now Time, id uint32, away bool) {
	r := o.runs[id]
	if r == nil || r.away == away {
		return
	}
	if away {
		r.used += now - r.since
	}
	r.since, r.away = now, away
}

// Ended tells of a run's end: its slot is free. done tells whether it came to a result, inTime whether within
// the response target.
func (o *Pools) Ended(now Time, id uint32, done, inTime bool) {
	r := o.runs[id]
	if r == nil {
		return
	}
	s := &o.c[r.class]
	work := float64(o.used(now, r))
	if done { // a run that was stopped or hung tells nothing of what its class costs
		s.cost.add(now, work)
	}
	if !r.heavy {
		s.worked.add(now, work)
	}
	if !inTime {
		s.bad.add(now, 1)
	}
	if r.heavy {
		s.heavy--
		o.heavy--
		o.heavyBy[r.tenant]--
	} else {
		s.running--
	}
	s.tenants.running[r.tenant]--
	s.senders.running[r.sender]--
	delete(o.runs, id)
	for k, other := range o.order {
		if other == id {
			o.order = append(o.order[:k], o.order[k+1:]...)
			break
		}
	}
	o.free = append(o.free, r)
}

func (o *Pools) used(now Time, r *run) Time {
	if r.away {
		return r.used
	}
	return r.used + now - r.since
}

// Tick looks at the time that has gone by: heavy runs move to their pool at each, limits twice a second.
// slots is how many runs the module has room for.
func (o *Pools) Tick(now Time, slots int) {
	o.slots = max(1, slots)
	o.weigh(now)
	if now-o.looked < lookEvery {
		return
	}
	o.looked = now
	for k := range o.c {
		s := &o.c[k]
		all := s.cost.all(now)
		if all.n >= enough || s.usual == 0 && all.n > 0 {
			s.usual, s.high = all.quantile(0.5), all.quantile(0.95)
		}
	}
	o.entitle(now)
	o.move(now)
	o.keep(now)
}

// weigh moves runs that have used several times their class's usual work to the pool of the heavy, as far as
// that has room, and for one of several tenants up to half of it; what it has no room for stays its class's own.
func (o *Pools) weigh(now Time) {
	room := max(1, int(heavyPart*float64(o.slots)))
	each := room
	if len(o.heavyBy) > 1 {
		each = max(1, room/2)
	}
	for _, id := range o.order {
		r := o.runs[id]
		s := &o.c[r.class]
		if r.heavy || s.usual == 0 || o.heavy >= room || float64(o.used(now, r)) < heavyTimes*s.usual {
			continue
		}
		if o.heavyBy[r.tenant] >= each {
			continue
		}
		r.heavy = true
		s.heavy++
		o.heavy++
		o.heavyBy[r.tenant]++
		s.running--
	}
}

// weight is what a class earns for its work: by it the slots are split where they don't do for all.
func (s *state) weight() float64 { return s.Value / max(s.mean, 1) }

// entitle splits the slots: each class gets what its recent work needs, and where that is more than there is,
// the classes that need least for what they earn are filled first, none past its need.
func (o *Pools) entitle(now Time) {
	// What a class needs is the slots its arrivals would hold: their number a second times the work of one.
	need := make([]float64, len(o.c))
	for k := range o.c {
		s := &o.c[k]
		n := s.came.rate(now)
		mean := s.usual
		if ends := s.cost.all(now); ends.n > 0 {
			mean = max(mean, s.worked.roll(now)/float64(ends.n))
		}
		s.mean = mean
		need[k] = bunches * n * mean / float64(Second)
	}
	left, open := float64(o.slots), len(o.c)
	done := make([]bool, len(o.c))
	for k := range o.c {
		o.c[k].entitled, o.c[k].wants = 0, false
	}
	for open > 0 && left > 1e-9 {
		weights := 0.0
		for k := range o.c {
			if !done[k] {
				weights += o.c[k].weight()
			}
		}
		filled := false
		for k := range o.c {
			if share := left * o.c[k].weight() / weights; !done[k] && need[k] <= share {
				o.c[k].entitled = need[k]
				done[k], filled = true, true
				left -= need[k]
				open--
				break
			}
		}
		if filled {
			continue
		}
		for k := range o.c {
			if !done[k] {
				o.c[k].entitled, o.c[k].wants = left*o.c[k].weight()/weights, true
			}
		}
		break
	}
}

// move cuts the class that is furthest over its due while another suffers that has less than its own. A class
// that needs no more than its due is never limited. Growth ends at the due while all want more than there is:
// to grow past it and be cut again would have the others suffer each time.
func (o *Pools) move(now Time) {
	// Half a slot over, by the mean of four seconds: what runs at a moment swings by several.
	suffer, worst, least, over := -1, -1, math.Inf(1), 0.5
	for k := range o.c {
		s := &o.c[k]
		came, bad := s.came.roll(now), s.bad.roll(now)
		s.use = s.worked.rate(now) / float64(Second)
		by := s.use - max(s.entitled, s.Floor*float64(o.slots), 1)
		if came >= 4 && bad > suffers*came && by < min(least, -underDue*s.entitled) {
			suffer, least = k, by
		}
		if !s.FixedLimit && s.wants && by > over {
			worst, over = k, by
		}
	}
	if suffer == worst {
		worst = -1
	}
	for k := range o.c {
		s := &o.c[k]
		floor, most := max(1, s.Floor*float64(o.slots)), float64(o.slots)
		if s.Cap > 0 {
			most = min(most, s.Cap*float64(o.slots))
		}
		switch {
		case s.FixedLimit:
			o.set(s, most, "fixed")
		case suffer >= 0 && k == worst:
			o.set(s, max(floor, min(s.limit, s.use)*cutTo, s.entitled), "cut: "+o.c[suffer].Name+" suffers")
		case math.IsInf(s.limit, 1):
		case s.limit >= most:
			o.set(s, math.Inf(1), "room")
		case s.wants && s.limit >= s.entitled && suffer >= 0 && k != suffer:
			o.set(s, s.limit, "its due, while all want more than there is")
		case suffer < 0 || !s.wants || k == suffer:
			o.set(s, s.limit+max(1, growBy*s.limit), "grows")
		}
	}
}

// set moves a limit; a change by a whole slot or of its cause is told.
func (o *Pools) set(s *state, limit float64, why string) {
	if math.Floor(limit) != math.Floor(s.limit) && why != s.why && len(o.changes) < 16 {
		o.changes = append(o.changes, fmt.Sprintf("pool %s: limit %.0f of %d, was %.0f: %s", s.Name, limit, o.slots,
			s.limit, why))
	}
	s.limit, s.why = limit, why
}

// keep gives the reserve to the class with the least usual work, and sizes it by what that class needs.
func (o *Pools) keep(now Time) {
	if !o.plan.Reserve {
		return
	}
	best, least, second := -1, math.Inf(1), math.Inf(1)
	for k := range o.c {
		switch u := o.c[k].usual; {
		case u == 0:
		case u < least:
			best, least, second = k, u, least
		default:
			second = min(second, u)
		}
	}
	// It takes clearly less work than any other's to get it, and less of a distance to keep it.
	apart := holdsOn
	if best == o.cheap {
		apart = letsGo
	}
	if best < 0 || least > apart*second {
		o.cheap, o.reserve = -1, 0
		return
	}
	if best != o.cheap && len(o.changes) < 16 {
		o.changes = append(o.changes, fmt.Sprintf("reserve: %s has it, with %.1f ms of work a req", o.c[best].Name,
			o.c[best].usual/10))
	}
	o.cheap = best
	s := &o.c[best]
	n := s.came.rate(now)
	// Twice what it needs in the mean: arrivals bunch.
	o.reserve = max(1, min(int(math.Ceil(2*n*s.high/float64(Second))), int(reservePart*float64(o.slots))))
}

// QueueDelay is how long a limited class's waiting is at the moment, by the last of it to start; 0 while it has no
// limit.
func (o *Pools) QueueDelay(class int) Time {
	if o.plan.Disabled || math.IsInf(o.c[class].limit, 1) {
		return 0
	}
	return o.c[class].lap
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
	out := make([]ClassStatus, len(o.c))
	for k := range o.c {
		s := &o.c[k]
		out[k] = ClassStatus{Name: s.Name, Limit: s.limit, Reason: s.why, Running: s.running, Heavy: s.heavy, Queued: s.held,
			Shed: s.shed, StartedOverLimit: s.lent, MedianWork: s.usual, P95Work: s.high, Entitled: s.entitled}
		if k == o.cheap {
			out[k].Reserve = o.reserve
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

// The module: every decision of one server. New is given what a server is told at its start; Decide is
// called once a round with all that came in and writes its decisions, in order, into the Writer passed
// along. Deployment, Req, Round and Writer are in interface.go; ring.go and slab.go only keep state.
//
// One FIFO holds what was read; a slot is taken when a run starts, kept through calls, freed when it ends.
package admission

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// tick is the one timer's period while anything is in hand, rest while nothing is: short beside every
// response target and the half second of the gauges, long beside a round.
const (
	tick = 20 * Second / 1000
	rest = 5 * tick
)

// handler is what is derived for one handler, with its recent times.
type handler struct {
	target, timeout, window Time
	value                   float64
	late, skips             bool    // an answer past the target still earns; a call can be skipped
	uniq, once              bool    // repeats are known; it must not run twice
	laps                    ring    // time of runs, calls included, over stated work
	lap                     float64 // the last known ratio
	work                    ring    // time of runs less their calls, over runs
	met                     ring    // reqs done within the target, of those read
	share, asked            float64 // that share, and the value asked for lately
	own                     float64
	unit                    float64 // stands in where a req states no work
	needs                   float64 // what its call earns, as a share of the most that any handler's does
}

// tenant is one tenant's fair arrivals on this server, with what arrived lately.
type tenant struct {
	fair float64
	came ring
	full float64 // mean worth of its reqs as a share of their handler's, from what it sends beyond its share
}

// cell is one handler of one tenant: its recent work, what that earns, and where it stands among all.
type cell struct {
	work  ring
	earns float64
	stand float64 // share of recent work that earns less
}

// Controller decides for one server.
type Controller struct {
	w            Writer
	now, granule Time
	h            []handler
	t            []tenant
	cells        []cell
	byRank       []int // cells by what they earn
	s            slab
	due          wheel
	byWork       bool
	beyond       float64 // worth of what is beyond a share, as a share
	worst        float64 // what the worst handler's share counts for, over that of the whole
	stage        float64
	awake        bool // a timer is pending

	hold                  list
	long                  bool // the line before the slots is long
	lap                   Time // how long the last one to start had waited
	cores, onCores        float64
	running, limit        int
	cold, fall            float64 // share of speed at the start; runs a core that a warm server survives
	born, warmAt          Time
	mem, memTop           float64
	runKB, keyKB          float64 // memory of a run as a multiple of a held req's; of an entry in the table
	stop                  Stop
	fresh, linger         Time
	shared, drain         bool
	allowed, most         float64 // calls meant to be in hand in the mean, and never more than
	calls                 list
	nextCall              Time
	hands                 level // calls in hand
	ghosts                ring  // calls given up that linger
	took, refused, passed ring
	callTime, senders     float64
	hung, swamped         bool
	good                  bool // what health checks are told
	stuck                 Time // how long started work has not moved
	stale                 ring // what was read or done too late to be of use, of all
	unread                ring // how long what was read had waited unread, in response targets
	lastTick, slowTick    Time
	lastCame              Time // when a req was read last
	voice                 Voice
	press, said           float64
	idle, idleSaid        Time
	turned                ring            // reqs shed, and reqs read
	again                 ring            // further tries read, and reqs read
	seen                  map[uint32]Time // when each caller last came
	back                  ring            // reqs of callers that came shortly before, and reqs read
	maxPause              Time
	grace, graceEnd, kill Time
	pools                 Pools
}

// New readies a controller for a server that starts now.
func New(d *Deployment) *Controller {
	c := &Controller{
		s: newSlab(), hold: newList(), calls: newList(), granule: d.Granule, byWork: d.ByWork, beyond: d.Beyond,
		cores: float64(d.Cores), limit: d.Cores, cold: 1, born: d.Start, warmAt: d.Start, fall: max(d.Fall, 1),
		runKB: d.RunFactor, keyKB: d.KeyKB, stop: d.Stop, fresh: d.Fresh, maxPause: d.MaxPause,
		voice: d.Voice, idle: d.Idle, idleSaid: d.Idle, senders: float64(d.Senders), stage: float64(d.Stage),
		linger: d.Linger, shared: d.Below == BelowShared && d.CallsOut > 0, grace: d.DrainGrace,
		lastTick: d.Start, slowTick: d.Start, worst: d.Worst * one(d.Voice != SayLevel),
		// 4096 buckets of a tick reach 80 s, past every client timeout; what lies further is filed again.
		due:   newWheel(4096, tick, d.Start),
		stale: newRing(4, Second/4), unread: newRing(4, Second/4),
		// Two seconds of calls, in steps short beside a trouble: long enough for a mean at a few calls a second.
		took: newRing(8, Second/4), refused: newRing(8, Second/4), passed: newRing(8, Second/4),
		hands:  level{ring: newRing(10, max(d.Span, Second)/10), at: d.Start},
		ghosts: newRing(5, max(d.Linger, 4)/4),
		// Four seconds of reqs: dozens at a server's rate, and shorter than a storm.
		turned: newRing(8, Second/2), again: newRing(8, Second/2), back: newRing(8, Second),
		seen: map[uint32]Time{}, pools: d.Pools,
	}
	if d.Cold && d.ColdSpeed > 0 && d.ColdSpeed < 1 {
		c.cold, c.warmAt = d.ColdSpeed, d.Start+d.WarmAfter
	}
	// A twentieth of memory is left free: what a round brings in is counted only after it was read.
	c.memTop = d.MemKB * 0.95
	// The pace aims at half of what it survives (a quarter lost where a server's calls are few, all of it even),
	// and never are more than nine tenths in hand, so that no mean over the span can come to the whole.
	c.allowed, c.most = d.CallsOut/2, d.CallsOut*0.9
	for _, h := range d.Handlers {
		// Four seconds of runs: dozens at a server's rate, and soon past a change of its speed.
		c.h = append(c.h, handler{late: h.LateValue > 0, skips: h.LeanValue > 0, uniq: h.Repeat == Uniqued,
			once: h.Repeat != Replayable, laps: newRing(8, Second/2), work: newRing(8, Second/2),
			met: newRing(8, Second), unit: 1, own: float64(h.Target) / 8})
	}
	for range d.Tenants {
		// Five seconds of arrivals: some dozens at a server's rate, and shorter than a surge lasts.
		c.t = append(c.t, tenant{came: newRing(10, Second/2), full: 1})
	}
	c.Adopt(d)
	if len(c.t) == 0 {
		c.t = append(c.t, tenant{came: newRing(1, Second), full: 1, fair: math.Inf(1)})
	}
	c.cells = make([]cell, len(c.h)*len(c.t))
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
		most = max(most, h.Value*(1-h.LeanValue))
	}
	for k, h := range d.Handlers {
		o := &c.h[k]
		o.target, o.timeout, o.window, o.value = h.Target, h.Timeout, h.Window, h.Value
		o.needs = h.Value * (1 - h.LeanValue) / most
	}
	for k, t := range d.Tenants {
		c.t[k].fair = t.Quota / float64(d.Fleet) * float64(c.t[k].came.span()) / float64(Second)
	}
}

// Handlers is the number of handlers known.
func (c *Controller) Handlers() int { return len(c.h) }

// Decide takes a round and writes what is decided.
func (c *Controller) Decide(r *Round, w Writer) {
	c.now, c.w = max(r.Now, c.now), w
	c.health()
	if r.Drain {
		c.leave(r.Kill)
	}
	for _, b := range r.Returned {
		c.returned(b)
	}
	for _, id := range r.Needs {
		c.needs(c.s.find(id))
	}
	for _, e := range r.Ended {
		c.ended(e)
	}
	for k := range r.Arrived {
		c.enter(&r.Arrived[k])
	}
	for k := range r.Arrived {
		c.door(c.s.find(r.Arrived[k].ID), &r.Arrived[k])
	}
	for _, id := range r.Gone {
		c.gone(c.s.find(id))
	}
	if r.Woke {
		c.awake = false
		c.onTick(r)
	}
	for i := c.due.next(&c.s, c.now); i != none; i = c.due.next(&c.s, c.now) {
		c.look(i)
	}
	c.makeCalls()
	c.start()
	if !c.awake {
		c.awake = true
		if len(c.s.ids) > 0 {
			w.Wake(c.now + tick)
		} else {
			w.Wake(c.now + rest)
		}
	}
}

// ---- 1. Door: repeats, memory, join the tail.

// enter gives a req its index and counts it as arrived.
func (c *Controller) enter(q *Req) {
	c.lastCame = c.now
	i := c.s.take(q.ID)
	it, h := &c.s.at[i], &c.h[q.Handler]
	it.h, it.kb, it.came, it.again = int32(q.Handler), q.KB, min(q.Came, c.now), q.Again
	if q.Tenant > 0 && q.Tenant < len(c.t) {
		it.t = int32(q.Tenant)
	}
	if it.due = q.Due; it.due == 0 {
		it.due = it.came + h.timeout
	}
	it.due = max(it.due, c.now)
	if q.Hint > 0 {
		h.unit = float64(q.Hint)
	}
	it.cost = h.unit
	c.mem += it.kb
	if !q.Again {
		// Further tries of what was turned away would make a tenant look beyond its share.
		c.t[it.t].came.add(c.now, 1, 0)
	}
	c.cell(it).work.add(c.now, h.own, 1)
	h.met.add(c.now, 0, 1)
	c.turned.add(c.now, 0, 1)
	c.again.add(c.now, one(q.Again), 1)
	if len(c.seen) > 4096 {
		clear(c.seen) // several times the callers of any fleet seen; the share is only low for a moment
	}
	came, ok := c.seen[q.Caller]
	c.seen[q.Caller] = c.now
	c.back.add(c.now, one(ok && c.now-came < 8*Second), 1)
	unread := float64(c.now-it.came) / float64(h.target)
	c.judge(unread > 0.5)
	c.unread.add(c.now, unread, 1)
}

func (c *Controller) cell(it *item) *cell { return &c.cells[int(it.h)*len(c.t)+int(it.t)] }

// door settles a repeat, sheds what can't be afforded, and lets the rest join the tail.
func (c *Controller) door(i int32, q *Req) {
	it := &c.s.at[i]
	h := &c.h[it.h]
	if q.Prior != 0 && c.repeat(i, c.s.find(q.Prior)) {
		return
	}
	key := 0.0
	if h.uniq {
		key = c.keyKB
	}
	switch {
	case c.drain && it.came > c.graceEnd:
		c.shed(i, false)
	case c.hung && (c.running > 0 || c.hold.n > 0 || h.once):
		// While work hangs one replayable req at a time is let in, to see whether it finishes again.
		c.shed(i, false)
	case it.prior == none && c.mem+key+it.kb*(c.runKB-1) > c.memTop:
		// Guards against a hold that fills the memory its runs need. Could harm where waiting would free it.
		c.shed(i, false)
	default:
		c.hold.insertAfter(&c.s, i, c.hold.tail)
		it.phase = held
		if c.pools != nil {
			c.pools.Arrived(c.now, q)
		}
		if it.prior == none {
			c.remember(i)
		}
		c.look(i)
	}
}

// ---- 2. Wait bounds.

// bound is how long a held req may wait: half its response target, or what its run will leave of it if less.
// Past the first tier only that tier's part of the target can be used.
func (c *Controller) bound(it *item) Time {
	h := &c.h[it.h]
	target := float64(h.target) / (1 + c.stage)
	// One usual run or 1.6 left instead of 1.3, and at most four or six tenths of the target: even. An eighth
	// stays even when runs take longer than the target: what shows recovery must be let in.
	b := min(max(target-1.3*c.est(it), target/8), target/2)
	// While the hold is long, what earns least for its work (beyond a tenant's share above all) waits least,
	// down to a tenth: the lap then settles where the least of what the cores can do still gets its turn.
	if c.long {
		// Not while so few are held that a shed one could leave a core idle: two at least, whatever the cores.
		if float64(c.hold.n) > max(c.cores/2, 2) {
			b *= 0.1 + 0.9*c.cell(it).stand*c.cell(it).stand
		}
		if it.again {
			// Its target runs from the first try and part of it is gone: it only takes a place from one with
			// more time. A half and a quarter scored the same within noise.
			b /= 3
		}
	}
	return Time(b)
}

// est is how long the run of a req should take, calls included; 0 while no run has been seen.
func (c *Controller) est(it *item) float64 {
	h := &c.h[it.h]
	h.lap = h.laps.mean(c.now, h.lap)
	return h.lap * it.cost
}

// rank finds what each handler of each tenant earns for its work and how much work earns less. If the worst
// handler counts apart, a req of the one done least adds to that, fading out at a tenth above; not if a level
// keeps the lowest away unread, which what is read doesn't show. Could harm if a handler fails by itself.
func (c *Controller) rank() {
	for k := range c.t {
		t := &c.t[k]
		n, _ := t.came.sums(c.now)
		t.full = 1
		if n > t.fair {
			t.full = c.beyond + (1-c.beyond)*t.fair/n
		}
	}
	low, all := 1.0, 0.0
	for k := range c.h {
		h := &c.h[k]
		h.own = h.work.mean(c.now, h.own)
		_, n := h.met.sums(c.now)
		h.share, h.asked = h.met.mean(c.now, 1), n*h.value
		if c.byWork {
			h.asked *= h.own
		}
		low, all = min(low, h.share), all+h.asked
	}
	for k := range c.cells {
		l, h := &c.cells[k], &c.h[k/len(c.t)]
		adds := c.worst * max(0, 1-10*(h.share-low)) * all / max(h.asked, 1e-9)
		l.earns = h.value * c.t[k%len(c.t)].full * (1 + adds)
		if !c.byWork {
			l.earns /= max(h.own, 1)
		}
	}
	slices.SortStableFunc(c.byRank, func(a, b int) int {
		return cmp.Compare(c.cells[a].earns, c.cells[b].earns)
	})
	// What earns alike stands alike: its standing is the work that earns clearly less, of all the work that
	// earns less than the best. Where nothing earns less, all stand at the top and no bound is shortened.
	sum, less, from := 0.0, 0.0, 0.0
	for _, k := range c.byRank {
		l := &c.cells[k]
		if l.earns > 1.05*from {
			less, from = sum, l.earns
		}
		l.stand = less
		w, _ := l.work.sums(c.now)
		sum += w
	}
	for k := range c.cells {
		if c.cells[k].stand = c.cells[k].stand / max(less, 1); less == 0 {
			c.cells[k].stand = 1
		}
	}
}

// ---- 3. Slots.

// start gives free slots to the longest waiting, in strict arrival order. With pools, a req whose handler has
// no room is passed by younger ones whose handler has. Guards against costly work that holds all slots; harms
// what is passed, by the slots of its pool at most. What starts may change who may, so each start looks from
// the head again.
func (c *Controller) start() {
	top := c.ceiling()
	for i := c.hold.head; i != none && c.running < min(c.limit, top); {
		it := &c.s.at[i]
		if c.pools != nil && !c.pools.May(it.id) {
			i = it.queue.next
			continue
		}
		if c.mem+it.kb*(c.runKB-1) > c.memTop || c.hung && c.running > 0 {
			return
		}
		if c.drain && c.now+Time(c.est(it)*1.5)+2*tick > c.kill {
			c.shed(i, false)
			i = c.hold.head
			continue
		}
		c.lap = c.now - it.came
		if c.pools != nil {
			c.pools.Started(c.now, it.id, c.lap)
		}
		c.hold.remove(&c.s, i)
		it.phase, it.ran = running, true
		c.running++
		c.mem += it.kb * (c.runKB - 1)
		c.w.Run(it.id)
		for k := it.heir; k != none; k = it.heir {
			it.lent = true
			c.s.part(k)
			c.share(k)
		}
		c.look(i)
		i = c.hold.head
	}
}

// ceiling is how many runs this server survives on its cores, those at calls too: all may come back at once.
// A fifth is kept off as margin (a third: even); a cold start counts at its slowest lawful pace.
func (c *Controller) ceiling() int {
	speed := 1.0
	if c.now < c.warmAt {
		speed = c.cold + (1-c.cold)*float64(c.now-c.born)/float64(c.warmAt-c.born)
	}
	most := 0.8 * c.cores * (1 + (c.fall-1)*speed)
	if speed < 1 {
		most = min(most, slowStartBudget(c.cores*c.fall*speed))
	}
	return max(1, int(most))
}

// slowStartBudget is how many runs a server in slow start may have in hand where n are what its speed allows. It
// binds on servers of many cores, below the margin above; with few cores it lies over it. What is started while
// the looser bound of small n holds must still be within the tighter one when n has grown past it.
func slowStartBudget(n float64) float64 {
	const small = 30
	if n < small {
		return min(n+3*math.Sqrt(n)+3, slowStartBudget(small))
	}
	return n + 2*math.Sqrt(n) + 2
}

// grow moves the running limit by the gauge of the cores: up while they idle and work is held, down while
// more wants them than they are.
func (c *Controller) grow() {
	switch idle := c.cores - c.onCores; {
	case c.hold.n > 0 && c.running >= c.limit && idle > 0:
		c.limit = min(c.running+int(math.Ceil(idle/2)), c.ceiling())
	case idle < -c.cores/2:
		c.limit--
	}
	c.limit = max(c.limit, int(c.cores))
}

// ---- 4. Calls below.

// needs takes a run that stands at a call.
func (c *Controller) needs(i int32) {
	if i == none || c.s.at[i].phase != running {
		return
	}
	it := &c.s.at[i]
	it.phase = calling
	c.away(it, true)
	c.moved()
	if !it.answered {
		c.queueCall(i)
	}
}

// queueCall lines up a call in the arrival order of the reqs.
func (c *Controller) queueCall(i int32) {
	p := c.calls.tail
	for p != none && c.s.at[p].came > c.s.at[i].came {
		p = c.s.at[p].queue.prev
	}
	c.calls.insertAfter(&c.s, i, p)
	c.s.at[i].lined, c.s.at[i].stood = true, c.now
	c.look(i)
}

// unline takes a call out of the line, if it is in it.
func (c *Controller) unline(i int32) {
	if it := &c.s.at[i]; it.lined {
		it.lined = false
		c.calls.remove(&c.s, i)
	}
}

// makeCalls makes the calls that the pace allows.
func (c *Controller) makeCalls() {
	gap := c.callGap()
	for c.calls.head != none && c.nextCall <= c.now {
		if c.shared && !c.callRoom() {
			return
		}
		i := c.calls.head
		it := &c.s.at[i]
		c.unline(i)
		c.hands.move(c.now, 1)
		it.phase = outside
		c.w.Call(it.id, c.callUntil(it))
		// Unused turns are saved up to a few calls, so that calls which come in a bunch need not wait.
		c.nextCall = max(c.nextCall, c.now-4*gap) + gap
	}
}

// callRoom says whether one more call can be in hand, those given up counted for their linger. Where the
// allowance is under one call, calls are made one at a time, and only while their mean leaves room.
func (c *Controller) callRoom() bool {
	given, _ := c.ghosts.sums(c.now)
	if n := float64(c.hands.n) + given; n > 0 {
		return n+1 <= c.most
	}
	return c.most >= 1 || c.hands.over(c.now) < c.most/2
}

// callGap is the time between calls: the allowed number in hand over the recent time of a call. What lies
// in a tier states no allowance: while it refuses, the pace follows what comes back from it.
func (c *Controller) callGap() Time {
	c.callTime = c.took.mean(c.now, c.callTime)
	if c.shared {
		return Time(c.callTime / c.allowed)
	}
	if n, _ := c.refused.sums(c.now); n > 0 {
		ok, _ := c.passed.sums(c.now)
		// A quarter over what passed, and two a second at the least, so that the pace can find its way back.
		return Time(float64(c.passed.span()) / (1.25*ok + 4))
	}
	return 0
}

// callUntil is when a call is given up: while the answer can still come within the target without it, if
// it can be skipped; never before its due time if it must not be repeated.
func (c *Controller) callUntil(it *item) Time {
	h := &c.h[it.h]
	last := it.due - c.spare()
	if c.shared && c.most < 1 {
		// One call is more than the allowance: it lasts at most for what the mean has left, lest a stalled
		// dependency be held by one call of each of hundreds of servers. Could harm where just this one is slow.
		left := (c.most - c.hands.over(c.now)) * float64(c.hands.span())
		last = min(last, c.now+Time(left)-c.linger)
	}
	if h.once {
		return max(last, c.now+1)
	}
	by := it.came + h.target
	by = max(by, c.now+Time(2*c.callTime)+Second/5)
	return max(min(by, last), c.now+1)
}

// giveUpCall counts a call that stays in the dependency's hands for its linger.
func (c *Controller) giveUpCall() {
	c.hands.add(c.now, float64(c.linger), 0)
	c.ghosts.add(c.now, 1, 0)
}

// returned takes the end of a call.
func (c *Controller) returned(b Return) {
	i := c.s.find(b.ID)
	if i == none || c.s.at[i].phase != outside {
		return
	}
	it := &c.s.at[i]
	h := &c.h[it.h]
	c.hands.move(c.now, -1)
	it.spent += b.Took
	it.phase = calling
	switch b.How {
	case OK:
		c.took.add(c.now, float64(b.Took), 1)
		c.passed.add(c.now, 1, 0)
		it.phase = running
		c.away(it, false)
		c.moved()
		return
	case Unrun:
		c.refused.add(c.now, 1, 0)
	default:
		c.took.add(c.now, float64(b.Took), 1)
		c.giveUpCall()
	}
	if it.answered {
		return
	}
	it.tries++
	switch {
	case h.skips && (b.How != Unrun || it.tries > 2):
		c.skip(i)
	case b.How != Unrun && (h.once || it.tries > 3):
		c.fail(i)
	default:
		// Again after a wait that doubles, so that refusals don't become a storm.
		c.due.put(&c.s, i, c.now+tick<<min(it.tries, 5))
	}
}

func (c *Controller) skip(i int32) {
	it := &c.s.at[i]
	it.phase = running
	c.away(it, false)
	c.w.Skip(it.id)
	c.look(i)
}

// away tells pools that a run stands at a call, which is no work, or goes on.
func (c *Controller) away(it *item, away bool) {
	if c.pools != nil {
		c.pools.Away(c.now, it.id, away)
	}
}

// ---- 5. Uniqued table and shared reads.

// repeat settles a req that repeats prior; false lets it through the door as a new one.
func (c *Controller) repeat(i, p int32) bool {
	it := &c.s.at[i]
	once := c.h[it.h].once
	if c.mem > c.memTop {
		// Guards against repeats of a hot key that fill the memory: they need no slot, but each waits in held
		// memory, and few large ones are a good part of a small server's. Could harm where one is about to end.
		if once && (p == none || c.s.at[p].ran) {
			c.fail(i)
		} else {
			c.shed(i, false)
		}
		return true
	}
	if p == none {
		c.share(i) // the table knows of a run that this module has let go of
		return true
	}
	switch pr := &c.s.at[p]; {
	case p == i || pr.phase == read:
		return false // the later of two in one round takes the earlier one's answer
	case !pr.ran && pr.phase == over:
		return false // the first try was shed after this one reached the machine
	case pr.phase == held:
		c.s.follow(i, p)
		return false // it waits in its own place until the first one runs or leaves
	case !once && (pr.failed || pr.answered && pr.phase != over):
		return false
	case once && pr.failed:
		c.fail(i)
	default:
		pr.lent = true
		c.share(i)
	}
	return true
}

// share lets a req take the answer of the one it repeats; it needs no slot.
func (c *Controller) share(i int32) {
	it := &c.s.at[i]
	if it.phase == held {
		c.outOfHold(i, false)
	}
	it.phase = sharing
	c.w.Reuse(it.id)
	c.look(i)
}

// remember has the table hold an entry for a req: a uniqued one for what is left of its window, a read
// that others may share for as long as it may take and is fresh.
func (c *Controller) remember(i int32) {
	it := &c.s.at[i]
	h := &c.h[it.h]
	switch {
	case h.uniq:
		it.kept = it.came + h.window + 2 // what was rounded down is made good
	// A shared read is a saving, not a duty: the last fifth of memory is left to runs and windows.
	case !h.once && c.fresh > 0 && c.mem+c.keyKB < c.memTop*0.8:
		it.kept = it.came + h.target + c.fresh
	default:
		return
	}
	it.kept = max(it.kept, c.now+1)
	c.mem += c.keyKB
	c.w.Remember(it.id, it.kept-c.now)
}

// forget takes a req's entry out of the table ahead of its time.
func (c *Controller) forget(it *item) {
	if it.kept > 0 {
		it.kept, it.known = 0, c.now
		c.mem -= c.keyKB
		c.w.Forget(it.id)
	}
}

// ---- 6. Due times.

// spare is how long before its due time a req is answered: the timer's period, the wheel's and a round.
func (c *Controller) spare() Time { return 2*tick + 2*c.granule }

// look sees whether the time of a req has come and files it for its next one.
func (c *Controller) look(i int32) {
	it := &c.s.at[i]
	h := &c.h[it.h]
	end := it.due - c.spare()
	if c.drain {
		end = min(end, c.kill-c.spare())
	}
	if it.phase == calling && !h.skips && !h.late {
		// Guards against slots held for calls that can't be made: a slow dependency would fill them all with
		// reqs past use. Could harm where an answer that earns nothing is still wanted.
		end = min(end, it.came+h.target)
	}
	next := end
	switch {
	case it.phase == over || it.answered:
		if it.kept > 0 && c.now >= it.kept {
			it.kept = 0
			c.mem -= c.keyKB
		}
		if it.phase == over && it.kept == 0 && c.now >= it.known {
			c.due.take(&c.s, i)
			c.s.drop(i)
			return
		}
		if next = it.kept; next == 0 {
			next = max(it.known, c.now+Second)
		}
	case it.phase == held:
		by := it.came + c.bound(it)
		if c.now >= by || c.now >= end {
			c.shed(i, true)
			return
		}
		// The bound moves: it is looked at a few times on the way.
		next = min(end, by, c.now+h.target/16)
	case c.now >= end:
		c.fail(i)
		return
	case it.phase == calling && !it.lined:
		c.queueCall(i)
		return
	case it.phase == calling:
		// A call that can't be made in time is skipped where that still earns.
		by := it.came + h.target - Time(c.callTime)
		if Time(c.calls.n)*c.callGap() > h.target/8 {
			// While the line of calls is long, those that earn least by their call wait least for it: their
			// slots are free sooner and the calls go to the rest. Could harm if the line is about to clear.
			by = min(by, it.stood+Time(float64(by-it.stood)*h.needs*h.needs))
		}
		if h.skips && c.now >= by {
			c.unline(i)
			c.skip(i)
			return
		}
		if h.skips {
			next = min(next, by, c.now+h.target/16)
		}
	}
	c.due.put(&c.s, i, next)
}

// shed answers a held req that never ran. It is not to be tried elsewhere if it waited long or is a further
// try, which two servers have now turned away, if callers are told to keep half of what they have away, or if
// the share of what is read that was shed here and that of further tries come to more than eight tenths:
// then the fleet is likely full and reading it once more serves nobody. Could harm where one of few is slow.
func (c *Controller) shed(i int32, waited bool) {
	it := &c.s.at[i]
	// Six tenths for the two shares lost what it gained, seven, nine and ten gained less.
	full := c.press > 0.5 || c.turned.mean(c.now, 0)+c.again.mean(c.now, 0) > 0.8
	last := waited && (it.again || full || c.now-it.came > c.h[it.h].target/3)
	c.w.Shed(it.id, last, c.comeBack(int(it.h)))
	c.turned.add(c.now, 1, 0)
	it.answered, it.failed = true, true
	if c.pools != nil && it.phase != held {
		c.pools.Refused(c.now, int(it.h))
	}
	c.unhold(i, true)
}

// outOfHold takes a req out of the hold that gets no run.
func (c *Controller) outOfHold(i int32, shed bool) {
	c.hold.remove(&c.s, i)
	if c.pools != nil {
		c.pools.Left(c.now, c.s.at[i].id, shed)
	}
}

// unhold takes out a req that never ran; the first of those that wait for it takes its place in the table.
func (c *Controller) unhold(i int32, shed bool) {
	it := &c.s.at[i]
	if it.phase == held {
		c.outOfHold(i, shed)
	}
	c.s.part(i)
	c.forget(it)
	if first := c.s.pass(i); first != none {
		c.remember(first)
	}
	c.release(i)
}

// release ends what a req holds; only an entry in the table may be left.
func (c *Controller) release(i int32) {
	it := &c.s.at[i]
	c.mem -= it.kb
	it.phase = over
	if it.kept > 0 || it.known > 0 {
		// A repeat that reached the machine by now may be read as late as its own client timeout.
		it.known = max(it.kept, c.now) + c.h[it.h].timeout
	}
	c.look(i)
}

// fail answers a req that ran, or waits for a run, with an error, and stops its work where that can be.
func (c *Controller) fail(i int32) {
	c.s.at[i].failed = true
	c.w.Fail(c.s.at[i].id)
	c.quit(i, true)
}

// gone takes a req whose caller is known to have left. A uniqued one runs on: a repeat may want its answer.
func (c *Controller) gone(i int32) {
	if i != none && !c.s.at[i].answered {
		c.quit(i, !c.h[c.s.at[i].h].once)
	}
}

// quit ends the wait of a req that owes no answer any more; what runs is counted until its end is reported.
func (c *Controller) quit(i int32, stop bool) {
	it := &c.s.at[i]
	it.answered = true
	switch it.phase {
	case held:
		it.failed = true
		c.unhold(i, false)
		return
	case read, sharing:
		it.failed = true
		c.release(i)
		return
	case calling:
		c.unline(i)
	case running:
		if stop && c.stop != StopNever && !it.lent {
			c.w.Pause(it.id)
		}
	}
	c.look(i)
}

// ended takes the end of a run.
func (c *Controller) ended(e End) {
	i := c.s.find(e.ID)
	if i == none {
		return
	}
	it := &c.s.at[i]
	h := &c.h[it.h]
	late := c.now-it.came > h.target
	switch it.phase {
	case held, over:
		return
	case sharing:
		it.failed, it.answered = e.How != OK, true
		h.met.add(c.now, one(e.How == OK && !late), 0)
		c.release(i)
		return
	case calling:
		c.unline(i)
	case outside:
		c.hands.move(c.now, -1)
		c.giveUpCall()
	}
	c.running--
	if c.pools != nil {
		c.pools.Ended(c.now, it.id, e.How == OK, e.How == OK && !late)
	}
	c.mem -= it.kb * (c.runKB - 1)
	it.failed = it.failed || e.How != OK
	h.met.add(c.now, 0, -one(e.How == Unrun)) // it was no req that any caller meant: not to be counted
	if e.How == OK {
		c.moved()
		c.judge(late)
		h.met.add(c.now, one(!late), 0)
		h.laps.add(c.now, float64(e.Ran), it.cost)
		h.work.add(c.now, float64(max(e.Ran-it.spent, 0)), 1)
	}
	switch {
	case h.once && e.How != Unrun || it.kept == 0:
	case it.failed:
		c.forget(it)
	default:
		it.kept = c.now + c.fresh
		c.w.Remember(it.id, c.fresh)
	}
	it.answered = true
	c.release(i)
}

// ---- 7. Health and advice.

// onTick reads the gauges and what goes by the clock.
func (c *Controller) onTick(r *Round) {
	// A process that stood still saw nothing: only time it was awake for counts.
	dt := min(c.now-c.lastTick, 2*rest)
	c.lastTick = c.now
	if r.Gauged {
		c.onCores = r.Gauges.OnCores
		c.grow()
	}
	if c.pools != nil {
		c.pools.Tick(c.now, min(c.limit, c.ceiling()))
		for _, line := range c.pools.Told() {
			c.w.Log(line)
		}
	}
	// An eighth of the target unread is well past what reading itself takes; a quarter scored the same.
	c.long = float64(c.hold.n) >= c.cores || c.unread.mean(c.now, 0) > 0.125
	c.watch(dt)
	if c.now-c.slowTick < rest {
		return
	}
	c.rank()
	if r.Gauged {
		c.thin(r.Gauges.Links)
	}
	c.advise(float64(c.now-c.slowTick) / float64(Second))
	c.slowTick = c.now
}

// watch sees work hang: runs are on the cores and none has moved for far longer than runs take.
func (c *Controller) watch(dt Time) {
	if on := c.running - c.hands.n - c.calls.n; on <= 0 || c.hung {
		c.stuck = 0
	} else {
		// Fewer than four runs may well all be heavy: what shows with four at once takes longer with fewer. Six
		// scored the same within noise; time not weighed so took slow and cold 2-core servers for hung.
		c.stuck += dt * Time(min(on, 4)) / 4
	}
	usual := float64(Second)
	for k := range c.h {
		// One heavy run on a core or two may take half a target without anything being wrong.
		usual = max(usual, 4*c.h[k].lap*c.h[k].unit, float64(c.h[k].target)/2)
	}
	if !c.hung && c.stuck > Time(usual) && float64(c.running) >= c.cores {
		c.hung = true
		c.w.Log("hung: started work does not finish")
		for c.hold.head != none {
			c.shed(c.hold.head, false)
		}
	}
	c.wade()
	c.health()
}

// wade sees a server swamped by what it has not read yet: nearly all it reads has waited unread for half its
// target, or its runs end past it, so what it does is for nobody. Once checks are told, what comes in dries
// up, and it is well again when what it reads is fresh or nothing is left. Guards against slowness, bursts,
// tries without limit; could harm where a whole fleet goes off at once. Two thirds or nine tenths late: even.
func (c *Controller) wade() {
	late, n := c.stale.sums(c.now)
	switch {
	case !c.swamped && n >= c.cores && late > 0.8*n:
		c.swamped = true
		c.w.Log("swamped: what is read or done is too late to be of use")
	case c.swamped && late <= 0.2*n:
		c.swamped = false
		c.w.Log("swamped: over, what is read and done is in time")
	}
}

// judge counts a req that was read, or a run that ended, as too late to be of use or not.
func (c *Controller) judge(late bool) { c.stale.add(c.now, one(late), 1) }

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// health tells checks whether to send anything here. Where work hung, nothing of it is left and nothing has come for two
// seconds (some checks' time), it says yes until something comes: else nobody would ever send what shows that it goes
// on again. Guards against callers that obey checks to the letter; costs one req each two seconds while work does hang.
func (c *Controller) health() {
	quiet := c.running == 0 && c.hold.n == 0 && c.now-c.lastCame > 2*Second
	if good := (!c.hung || quiet) && !c.swamped && !c.drain; good != c.good {
		c.good = good
		c.w.Health(good)
	}
}

// moved sees started work go on, which is how a hang ends, whether it is old work or a trial run.
func (c *Controller) moved() {
	c.stuck = 0
	if c.hung {
		c.hung = false
		c.health()
		c.w.Log("hung: over, started work goes on")
	}
}

// thin has idle connections closed sooner where callers are more than sixteen a core, a small part of a table
// (its size is told nowhere): each open one takes its part of the cores. Each new one costs work, so the time
// goes by the cube of the share of reqs whose caller was here in the last eight seconds (square, fourth power
// and fixed lost) or, if more, of the share shed where few further tries come: only this server is hot, and
// what finds its table full goes where there is room. Could harm where many callers come every ten seconds.
func (c *Controller) thin(links float64) {
	idle := c.idle
	if max(links, c.senders) > 16*c.cores {
		keep := max(c.back.mean(c.now, 0), c.turned.mean(c.now, 0)*(1-c.again.mean(c.now, 0)))
		// Six tenths of a second at the least pass over a caller's own bunch; two seconds lost on big days.
		idle = max(Time(float64(c.idle)*keep*keep*keep), min(Second*3/5, c.idle))
	}
	if idle > c.idleSaid*5/4 || idle < c.idleSaid*4/5 {
		c.idleSaid = idle
		c.w.IdleClose(idle)
	}
}

// comeBack is how long until the hold will have shortened: a lap of it, by the last start or its head; with
// pools a lap of the handler's own.
func (c *Controller) comeBack(handler int) Time {
	if !c.good {
		return c.maxPause
	}
	wait := max(c.lap, rest)
	if c.pools != nil {
		wait = max(wait, c.pools.Lap(handler))
	}
	if c.hold.head != none {
		wait = max(wait, c.now-c.s.at[c.hold.head].came)
	}
	return min(wait, c.maxPause)
}

// advise moves the value that goes with every answer.
func (c *Controller) advise(dt float64) {
	if c.voice == Mute {
		return
	}
	// The pressure is the share of traffic to keep away. It settles where half as many are held as there are
	// cores, or what is read had waited unread for a quarter of its target. Callers bear the value in mind for
	// a second and hear it late: at three times this pace arrivals come in waves and cores idle between them;
	// half and quarter of that pace scored within noise of this. It falls slower than it rises.
	q := float64(c.hold.n)/c.cores + 2*c.unread.mean(c.now, 0)
	c.press = min(max(c.press+dt*min(max(q-0.5, -0.25), 1)/3, 0), 0.9)
	value := c.press
	switch c.voice {
	case SayCredit:
		// As many held as running, split over the callers, is a short line and no idle slot.
		value = float64(c.limit) * 2 * (1 - c.press) / c.senders
	case SayWeight:
		value = 1 - c.press
	}
	if !c.good {
		value = one(c.voice == SayLevel)
	}
	if math.Abs(value-c.said) > 0.01 {
		c.said = value
		c.w.Say(value)
	}
}

// ---- 8. Drain.

// leave takes the notice to leave.
func (c *Controller) leave(kill Time) {
	if c.drain {
		return
	}
	c.drain, c.kill, c.graceEnd = true, kill, c.now+c.grace
	c.health()
	c.w.Log(fmt.Sprintf("drain: %d in hand", len(c.s.ids)))
	for i := range c.s.at {
		if it := &c.s.at[i]; c.s.find(it.id) == int32(i) && it.phase != over && !it.answered {
			c.due.put(&c.s, int32(i), min(it.due, kill)-c.spare())
		}
	}
}

// The module: every decision of one server. New is given what a server is told at its start; Decide is
// called once a round with all that came in and writes its decisions, in order, into the Writer passed
// along. Deployment, Req, Round and Writer are in interface.go; ring.go and slab.go only keep state.
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

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

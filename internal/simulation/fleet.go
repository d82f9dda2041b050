package simulation

import (
	"fmt"
	"math/rand"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// vfleet.go is a fleet in virtual time: the group's replicated part and its leaders' stewards, the nodes' members, all
// of them the real code, on played clocks, lines and crashes. The log is played too: what a leader proposes is committed
// after a while, or lost with it. Times are ms.

// The baselines: a version is in force as soon as it is proposed, or as soon as half of the nodes have prepared it, and
// nodes hold no leases.
const (
	WayEach     = "each"
	WayMajority = "majority"
)

// FleetPlan is what one schedule is drawn from.
type FleetPlan struct {
	Seed    int64
	Nodes   int
	Ctl     int
	Span    int64 // ms in which faults come; then all heals
	Changes int
	Without policy.Guard
	Lease   int64 // of the policy, ms
	Calm    bool  // no faults
	Down    float64
	Way     string // "", or a baseline

	Loses        int    // times that the group loses state, see vlost.go
	Zones        int    // 0: three
	Rules        string // [zones] of the policy; empty: none
	WithoutZones zones.Guard
}

// Fleet is one schedule.
type Fleet struct {
	FleetPlan
	timeline[float64]
	controlGroup
	stateLoss
	FleetFigures
	random  *rand.Rand
	nodes   []*node
	done    int                     // changes that were answered
	bad     map[string]bool         // hashes of texts that any trial fails
	stale   []api.HeartbeatResponse // answers of long ago, as an instance that is behind would give them
	History []FleetEvent
	Broken  string

	load    func(n *node) *api.LoadReport                   // what a node reports of itself; nil: nothing
	look    func(n *node, l api.ProbeTarget) api.PeerHealth // what it sees of another
	applied func(end any)                                   // hears of each entry's end
}

// controlGroup is the group: its instances, and what they have agreed on.
type controlGroup struct {
	control []*controlInstance
	leader  int // -1: nobody
	term    uint64
	index   uint64
	state   *coordinator.State
	texts   []string // by version less one
	hashes  []string
	known   map[uint64]policy.Step // step by change
}

// FleetFigures is what a schedule came to.
type FleetFigures struct {
	Heartbeats int
	Entries    int
	Bytes      int
	Times      []float64           // ms from proposed to in force
	Ends       map[policy.Step]int // of changes
	Causes     map[string]int      // of those called off
	Overlap    int64               // the longest, in tenths of a ms
}

// Last is the newest version of the policy.
func (w *Fleet) Last() uint64 { return uint64(len(w.texts)) }

// Text gives a version as the group keeps it.
func (w *Fleet) Text(n uint64) (string, string, bool) {
	if n == 0 || n > uint64(len(w.texts)) || w.hashes[n-1] == "" {
		return "", "", false
	}
	return w.texts[n-1], w.hashes[n-1], true
}

// NewFleet readies a schedule.
func NewFleet(p FleetPlan) *Fleet {
	w := &Fleet{
		FleetPlan:    p,
		random:       rand.New(rand.NewSource(p.Seed)),
		controlGroup: controlGroup{state: coordinator.NewState(p.Without), leader: -1, known: map[uint64]policy.Step{}},
		stateLoss: stateLoss{group: "g1", ofHash: map[string]string{}, decidedAs: map[uint64]string{},
			said: map[string]bool{}},
		FleetFigures: FleetFigures{Ends: map[policy.Step]int{}, Causes: map[string]int{}},
		bad:          map[string]bool{},
	}
	w.state.DisabledZoneGuards = p.WithoutZones
	if w.Zones == 0 {
		w.Zones = 3
	}
	if p.Way != "" {
		w.Without |= policy.LeaseGuard | policy.Fence | policy.PrepareAll
		w.state.DisabledGuards = w.Without
	}
	if w.Lease == 0 {
		w.Lease = 4000
	}
	w.put()
	for i := 0; i < max(1, p.Ctl); i++ {
		w.control = append(w.control, &controlInstance{s: w.currentLeader(), up: true, rate: 1 + (w.random.Float64()-0.5)*0.008})
	}
	for i := 0; i < p.Nodes; i++ {
		n := &node{fleet: w, name: fmt.Sprintf("n%04d", i), zone: i % w.Zones, rate: 1 + (w.random.Float64()-0.5)*0.008,
			nodeFaults: nodeFaults{diskless: w.random.Intn(2) == 0 && p.Loses == 0}} // what only such a node knew is gone with it
		w.nodes = append(w.nodes, n)
		w.after(w.random.Float64()*500, n.start)
	}
	w.after(10, w.elect)
	for i := range w.control {
		w.tick(i)
	}
	return w
}

func (w *Fleet) record(e FleetEvent) {
	e.At = int64(w.Now * 10)
	w.History = append(w.History, e)
}

func (w *Fleet) fail(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("%.1f ms: ", w.Now) + fmt.Sprintf(format, args...)
	}
}

// begins is when the first version is long settled: ten seconds of leases from before it, and its own changes.
const begins = 16_000

// Play lets the schedule run to its end.
func (w *Fleet) Play() {
	if w.Span == 0 {
		w.Span = 30_000
	}
	// The first version of all: until it is settled nodes hold what they had before on other terms.
	w.after(1500, func() { w.change(false, 0) })
	w.Changes++
	w.until(begins)
	at := 500.0
	for i := 1; i < w.Changes; i++ {
		excl, spare := w.random.Intn(3) == 0, 0
		if w.random.Intn(4) == 0 {
			spare = 1
		}
		w.after(at, func() { w.change(excl, spare) })
		at += float64(w.Span) / float64(w.Changes+1)
	}
	if w.Down > 0 { // a share of the fleet is cut off while changes are made, back one by one afterwards
		for i, n := range w.nodes {
			if float64(i) < w.Down*float64(len(w.nodes)) {
				w.after(200, func() { n.cut = true })
				w.after(float64(w.Span)+float64(i)*10, func() { n.cut = false })
			}
		}
	}
	if !w.Calm {
		for t := 1000.0; t < float64(w.Span); t += w.random.ExpFloat64() * float64(w.Span) / 12 {
			w.after(t, w.injectFault)
		}
	}
	if w.Loses > 0 {
		w.save()
		w.outdated()
		w.drill()
	}
	for i := 0; i < w.Loses; i++ {
		w.after(2000+w.random.Float64()*float64(w.Span), w.lose)
	}
	w.until(w.Now + float64(w.Span) + 3*float64(w.Lease) + float64(len(w.nodes))*10*w.Down)
	// All heals: then every change ends and every node serves under what is in force.
	for _, n := range w.nodes {
		n.cut, n.neverPrepares, n.busy = false, false, 0
	}
	w.Calm = true
	if w.Loses > 0 { // one may have come last of all
		w.until(w.Now + 30_000)
	}
	w.until(w.Now + 12*float64(w.Lease) + 65_000)
	if w.Way != "" {
		w.Overlap = longestOverlap(w.History)
		return
	}
	w.check()
}

func (w *Fleet) until(at float64) {
	w.play(at, func() bool { return false })
	w.Now = at
}

func (w *Fleet) check() {
	if w.Broken != "" {
		return
	}
	if c := w.state.Policy.Current; c != nil {
		w.fail("change %d to version %d is still %s", c.Number, c.Version, c.Step)
	}
	if w.done < w.Changes {
		w.fail("%d of %d changes were never taken", w.Changes-w.done, w.Changes)
	}
	for _, n := range w.nodes {
		if !n.serves || n.activeVersion != w.state.Policy.CommittedVersion {
			_, why := n.agent.MayServe(n.clock())
			w.fail("%s serves %v under version %d at the end (%s), expected version %d", n.name, n.serves, n.activeVersion, why,
				w.state.Policy.CommittedVersion)
		}
	}
	// A lease, its margin by the group's count, and a clock a hundredth off: what design/policy.md promises.
	over := int64(membership.LeaseSpanMS(uint64(w.Lease)))*10*101/100 + 500
	broken, overlap := CheckFleet(w.History, FleetPromises{Overlap: over, Fences: w.Changes > 0})
	w.Overlap = overlap
	if broken != "" {
		w.fail("%s", broken)
	}
}

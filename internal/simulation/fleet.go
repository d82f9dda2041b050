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

// A fleet in virtual time: the group's replicated state, its leaders' coordinators and the nodes' agents are the
// real code; clocks, the network and crashes are simulated. So is the log: what a leader proposes is committed
// after a while, or lost with the leader.

// The baselines: a version is in force as soon as it is proposed, or as soon as half of the nodes have prepared it,
// and nodes hold no leases.
const (
	WayEach     = "each"
	WayMajority = "majority"
)

// FleetPlan is what one schedule is drawn from.
type FleetPlan struct {
	Seed    int64
	Nodes   int
	Ctl     int   // instances of the group
	Span    int64 // ms in which faults begin; then all heals
	Changes int
	Without policy.Guard
	Lease   int64   // of the policy, ms
	Calm    bool    // no faults
	Down    float64 // share of the nodes that are cut off from the group while changes are made
	Way     string  // "", or a baseline

	StateLosses  int    // times that the group loses state, see fleet_state_loss.go
	Zones        int    // 0: three
	ZoneRules    string // [zones] of the policy; empty: none
	WithoutZones zones.Guard
}

// Fleet is one schedule.
type Fleet struct {
	FleetPlan
	scheduler[float64]
	controlGroup
	stateLoss
	FleetFigures
	random          *rand.Rand
	nodes           []*node
	acceptedChanges int
	failsTrial      map[string]bool         // hashes of texts that fail their trial at any node
	staleResponses  []api.HeartbeatResponse // answers of long ago, as an instance that is behind would give them
	History         []FleetEvent
	Broken          string

	loadReport func(n *node) *api.LoadReport                   // what a node reports of itself; nil: nothing
	probePeer  func(n *node, l api.ProbeTarget) api.PeerHealth // what it sees of another
	onApplied  func(end any)                                   // is handed each entry's result
}

// controlGroup is the group: its instances, and what they have agreed on.
type controlGroup struct {
	instances     []*controlInstance
	leader        int // -1: nobody
	term          uint64
	index         uint64
	state         *coordinator.State
	versionTexts  []string // by version less one
	versionHashes []string
	changeSteps   map[uint64]policy.Step // step by change
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
func (w *Fleet) Last() uint64 { return uint64(len(w.versionTexts)) }

// Text gives a version as the group keeps it.
func (w *Fleet) Text(n uint64) (string, string, bool) {
	if n == 0 || n > uint64(len(w.versionTexts)) || w.versionHashes[n-1] == "" {
		return "", "", false
	}
	return w.versionTexts[n-1], w.versionHashes[n-1], true
}

// NewFleet sets up a schedule.
func NewFleet(p FleetPlan) *Fleet {
	w := &Fleet{
		FleetPlan:    p,
		random:       rand.New(rand.NewSource(p.Seed)),
		controlGroup: controlGroup{state: coordinator.NewState(p.Without), leader: -1, changeSteps: map[uint64]policy.Step{}},
		stateLoss: stateLoss{groupID: "g1", textByHash: map[string]string{}, decidedHashes: map[uint64]string{},
			recordedEvents: map[string]bool{}},
		FleetFigures: FleetFigures{Ends: map[policy.Step]int{}, Causes: map[string]int{}},
		failsTrial:   map[string]bool{},
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
	w.addVersion()
	for i := 0; i < max(1, p.Ctl); i++ {
		c := &controlInstance{coordinator: w.newLeader(), up: true, clockRate: w.drawClockRate()}
		w.instances = append(w.instances, c)
	}
	for i := 0; i < p.Nodes; i++ {
		n := &node{fleet: w, name: fmt.Sprintf("n%04d", i), zone: i % w.Zones, clockRate: w.drawClockRate()}
		// Where state is lost all have disks: what only a node without one knew would be lost with it.
		n.diskless = w.random.Intn(2) == 0 && p.StateLosses == 0
		w.nodes = append(w.nodes, n)
		w.after(w.random.Float64()*500, n.start)
	}
	w.after(10, w.elect)
	for i := range w.instances {
		w.tick(i)
	}
	return w
}

// drawClockRate draws a clock that is up to four thousandths off.
func (w *Fleet) drawClockRate() float64 { return 1 + (w.random.Float64()-0.5)*0.008 }

func (w *Fleet) recordEvent(e FleetEvent) {
	e.At = int64(w.Now * 10)
	w.History = append(w.History, e)
}

func (w *Fleet) fail(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("%.1f ms: ", w.Now) + fmt.Sprintf(format, args...)
	}
}

// faultStartMS is when the first version is long settled: ten seconds of leases from before it, and its own changes.
const faultStartMS = 16_000

// Play plays the schedule: the first version settles; changes, faults and losses of state come; all heals; then
// every change has to end, and every node to serve under the version in force.
func (w *Fleet) Play() {
	if w.Span == 0 {
		w.Span = 30_000
	}
	// The first version of all: until it is settled nodes hold what they had before on other terms.
	w.after(1500, func() { w.proposeChange(false, 0) })
	w.Changes++
	w.runUntil(faultStartMS)
	w.scheduleChanges()
	w.schedulePartition()
	if !w.Calm {
		for t := 1000.0; t < float64(w.Span); t += w.random.ExpFloat64() * float64(w.Span) / 12 {
			w.after(t, w.injectFault)
		}
	}
	w.scheduleStateLosses()
	w.runUntil(w.Now + float64(w.Span) + 3*float64(w.Lease) + float64(len(w.nodes))*10*w.Down)
	w.heal()
	w.runUntil(w.Now + 12*float64(w.Lease) + 65_000)
	if w.Way != "" {
		w.Overlap = longestOverlap(w.History)
		return
	}
	w.checkFinalState()
}

// scheduleChanges spreads the changes over the span: a third is exclusive, a fourth may leave a node behind.
func (w *Fleet) scheduleChanges() {
	at := 500.0
	for i := 1; i < w.Changes; i++ {
		exclusive, spare := w.random.Intn(3) == 0, 0
		if w.random.Intn(4) == 0 {
			spare = 1
		}
		w.after(at, func() { w.proposeChange(exclusive, spare) })
		at += float64(w.Span) / float64(w.Changes+1)
	}
}

// schedulePartition cuts a share of the fleet off while changes are made. Its nodes are back one by one afterwards.
func (w *Fleet) schedulePartition() {
	for i, n := range w.nodes {
		if float64(i) < w.Down*float64(len(w.nodes)) {
			w.after(200, func() { n.partitioned = true })
			w.after(float64(w.Span)+float64(i)*10, func() { n.partitioned = false })
		}
	}
}

// heal ends all faults.
func (w *Fleet) heal() {
	for _, n := range w.nodes {
		n.partitioned, n.neverPrepares, n.preparingVersion = false, false, 0
	}
	w.Calm = true
	if w.StateLosses > 0 { // the last loss may have come late
		w.runUntil(w.Now + 30_000)
	}
}

func (w *Fleet) runUntil(at float64) {
	w.runEvents(at, func() bool { return false })
	w.Now = at
}

func (w *Fleet) checkFinalState() {
	if w.Broken != "" {
		return
	}
	if c := w.state.Policy.Current; c != nil {
		w.fail("change %d to version %d is still %s", c.Number, c.Version, c.Step)
	}
	if w.acceptedChanges < w.Changes {
		w.fail("%d of %d changes were never taken", w.Changes-w.acceptedChanges, w.Changes)
	}
	for _, n := range w.nodes {
		if !n.serves || n.activeVersion != w.state.Policy.CommittedVersion {
			_, why := n.agent.MayServe(n.clock())
			w.fail("%s serves %v under version %d at the end (%s), expected version %d", n.name, n.serves,
				n.activeVersion, why, w.state.Policy.CommittedVersion)
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

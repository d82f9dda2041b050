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
func (f *Fleet) Last() uint64 { return uint64(len(f.versionTexts)) }

// Text gives a version as the group keeps it.
func (f *Fleet) Text(n uint64) (string, string, bool) {
	if n == 0 || n > uint64(len(f.versionTexts)) || f.versionHashes[n-1] == "" {
		return "", "", false
	}
	return f.versionTexts[n-1], f.versionHashes[n-1], true
}

// NewFleet sets up a schedule.
func NewFleet(p FleetPlan) *Fleet {
	f := &Fleet{
		FleetPlan:    p,
		random:       rand.New(rand.NewSource(p.Seed)),
		controlGroup: controlGroup{state: coordinator.NewState(p.Without), leader: -1, changeSteps: map[uint64]policy.Step{}},
		stateLoss: stateLoss{groupID: "g1", textByHash: map[string]string{}, decidedHashes: map[uint64]string{},
			recordedEvents: map[string]bool{}},
		FleetFigures: FleetFigures{Ends: map[policy.Step]int{}, Causes: map[string]int{}},
		failsTrial:   map[string]bool{},
	}
	f.state.DisabledZoneGuards = p.WithoutZones
	if f.Zones == 0 {
		f.Zones = 3
	}
	if p.Way != "" {
		f.Without |= policy.LeaseGuard | policy.Fence | policy.PrepareAll
		f.state.DisabledGuards = f.Without
	}
	if f.Lease == 0 {
		f.Lease = 4000
	}
	f.addVersion()
	for i := 0; i < max(1, p.Ctl); i++ {
		c := &controlInstance{coordinator: f.newLeader(), up: true, clockRate: f.drawClockRate()}
		f.instances = append(f.instances, c)
	}
	for i := 0; i < p.Nodes; i++ {
		n := &node{fleet: f, name: fmt.Sprintf("n%04d", i), zone: i % f.Zones, clockRate: f.drawClockRate()}
		// Where state is lost all have disks: what only a node without one knew would be lost with it.
		n.diskless = f.random.Intn(2) == 0 && p.StateLosses == 0
		f.nodes = append(f.nodes, n)
		f.after(f.random.Float64()*500, n.start)
	}
	f.after(10, f.elect)
	for i := range f.instances {
		f.tick(i)
	}
	return f
}

// drawClockRate draws a clock that is up to four thousandths off.
func (f *Fleet) drawClockRate() float64 { return 1 + (f.random.Float64()-0.5)*0.008 }

func (f *Fleet) recordEvent(e FleetEvent) {
	e.At = int64(f.Now * 10)
	f.History = append(f.History, e)
}

func (f *Fleet) fail(format string, args ...any) {
	if f.Broken == "" {
		f.Broken = fmt.Sprintf("%.1f ms: ", f.Now) + fmt.Sprintf(format, args...)
	}
}

// faultStartMS is when the first version is long settled: ten seconds of leases from before it, and its own changes.
const faultStartMS = 16_000

// Play plays the schedule: the first version settles; changes, faults and losses of state come; all heals; then
// every change has to end, and every node to serve under the version in force.
func (f *Fleet) Play() {
	if f.Span == 0 {
		f.Span = 30_000
	}
	// The first version of all: until it is settled nodes hold what they had before on other terms.
	f.after(1500, func() { f.proposeChange(false, 0) })
	f.Changes++
	f.runUntil(faultStartMS)
	f.scheduleChanges()
	f.schedulePartition()
	if !f.Calm {
		for t := 1000.0; t < float64(f.Span); t += f.random.ExpFloat64() * float64(f.Span) / 12 {
			f.after(t, f.injectFault)
		}
	}
	f.scheduleStateLosses()
	f.runUntil(f.Now + float64(f.Span) + 3*float64(f.Lease) + float64(len(f.nodes))*10*f.Down)
	f.heal()
	f.runUntil(f.Now + 12*float64(f.Lease) + 65_000)
	if f.Way != "" {
		f.Overlap = longestOverlap(f.History)
		return
	}
	f.checkFinalState()
}

// scheduleChanges spreads the changes over the span: a third is exclusive, a fourth may leave a node behind.
func (f *Fleet) scheduleChanges() {
	at := 500.0
	for i := 1; i < f.Changes; i++ {
		exclusive, spare := f.random.Intn(3) == 0, 0
		if f.random.Intn(4) == 0 {
			spare = 1
		}
		f.after(at, func() { f.proposeChange(exclusive, spare) })
		at += float64(f.Span) / float64(f.Changes+1)
	}
}

// schedulePartition cuts a share of the fleet off while changes are made. Its nodes are back one by one afterwards.
func (f *Fleet) schedulePartition() {
	for i, n := range f.nodes {
		if float64(i) < f.Down*float64(len(f.nodes)) {
			f.after(200, func() { n.partitioned = true })
			f.after(float64(f.Span)+float64(i)*10, func() { n.partitioned = false })
		}
	}
}

// heal ends all faults.
func (f *Fleet) heal() {
	for _, n := range f.nodes {
		n.partitioned, n.neverPrepares, n.preparingVersion = false, false, 0
	}
	f.Calm = true
	if f.StateLosses > 0 { // the last loss may have come late
		f.runUntil(f.Now + 30_000)
	}
}

func (f *Fleet) runUntil(at float64) {
	f.runEvents(at, func() bool { return false })
	f.Now = at
}

func (f *Fleet) checkFinalState() {
	if f.Broken != "" {
		return
	}
	if c := f.state.Policy.Current; c != nil {
		f.fail("change %d to version %d is still %s", c.Number, c.Version, c.Step)
	}
	if f.acceptedChanges < f.Changes {
		f.fail("%d of %d changes were never taken", f.Changes-f.acceptedChanges, f.Changes)
	}
	for _, n := range f.nodes {
		if !n.serves || n.activeVersion != f.state.Policy.CommittedVersion {
			_, why := n.agent.MayServe(n.clock())
			f.fail("%s serves %v under version %d at the end (%s), expected version %d", n.name, n.serves,
				n.activeVersion, why, f.state.Policy.CommittedVersion)
		}
	}
	// A lease, its margin by the group's count, and a clock a hundredth off: what design/policy.md promises.
	over := int64(membership.LeaseSpanMS(uint64(f.Lease)))*10*101/100 + 500
	broken, overlap := CheckFleet(f.History, FleetPromises{Overlap: over, Fences: f.Changes > 0})
	f.Overlap = overlap
	if broken != "" {
		f.fail("%s", broken)
	}
}

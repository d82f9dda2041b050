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

// Baselines without leases: a version is committed as soon as it is proposed, or as soon as half of the nodes have
// prepared it.
const (
	BaselineImmediate = "each"
	BaselineMajority  = "majority"
)

// FleetPlan is the configuration of one schedule.
type FleetPlan struct {
	Seed                int64
	Nodes               int
	ControlInstances    int   // instances of the control group
	FaultSpanMS         int64 // ms during which changes and faults are scheduled; then all faults end; 0: 30 s
	Changes             int   // of the policy
	DisabledGuards      policy.Guard
	LeaseMS             int64   // lease of the policy, ms; 0: 4 s
	NoFaults            bool    // no faults
	PartitionedFraction float64 // fraction of the nodes that are partitioned from the group while changes are made
	Baseline            string  // "", or a baseline

	StateLosses        int    // losses of the group's state, see stateLoss
	Zones              int    // 0: three
	ZoneRules          string // [zones] of the policy; empty: none
	DisabledZoneGuards zones.Guard
}

// Fleet simulates a fleet of nodes and its control group. The group's replicated state, the leader's coordinator and
// the nodes' agents are the production code. Clocks, network, crashes and the group's log are simulated: an entry that
// the leader appends is committed after a delay, or may be lost if the leader changes first.
type Fleet struct {
	FleetPlan
	scheduler[float64]
	controlGroup
	stateLoss
	FleetFigures
	random          *rand.Rand
	nodes           []*node
	acceptedChanges int
	failsTrial      map[string]bool         // by hash: version texts that fail the trial on every node
	staleResponses  []api.HeartbeatResponse // earlier responses, sent again in place of current ones
	History         []FleetEvent
	Broken          string

	loadReport func(n *node) *api.LoadReport                   // load report of a node; nil: none
	probePeer  func(n *node, l api.ProbeTarget) api.PeerHealth // result of a node's probe of another
	onApplied  func(result any)                                // called with the result of each entry; may be nil
}

// controlGroup is the control group: its instances and their replicated state.
type controlGroup struct {
	instances     []*controlInstance
	leader        int // index of the instance, -1 for none
	term          uint64
	index         uint64
	state         *coordinator.State
	versionTexts  []string // at index version-1
	versionHashes []string
	changeSteps   map[uint64]policy.Step // last recorded step by change number
}

// FleetFigures are the measurements of a schedule.
type FleetFigures struct {
	Heartbeats     int
	Entries        int
	EntryBytes     int                 // of the entries
	CommitTimesMS  []float64           // ms from proposed to committed, by change
	ChangesByStep  map[policy.Step]int // changes by their last step
	AbortCauses    map[string]int      // aborted changes by cause
	LongestOverlap int64               // longest overlap of two versions, tenths of a ms
}

// Last returns the newest version of the policy.
func (f *Fleet) Last() uint64 { return uint64(len(f.versionTexts)) }

// Text returns the text and hash of a version.
func (f *Fleet) Text(n uint64) (string, string, bool) {
	if n == 0 || n > uint64(len(f.versionTexts)) || f.versionHashes[n-1] == "" {
		return "", "", false
	}
	return f.versionTexts[n-1], f.versionHashes[n-1], true
}

// NewFleet creates a fleet and schedules its start; Play runs it.
func NewFleet(p FleetPlan) *Fleet {
	f := &Fleet{
		FleetPlan: p,
		random:    rand.New(rand.NewSource(p.Seed)),
		controlGroup: controlGroup{state: coordinator.NewState(p.DisabledGuards), leader: -1,
			changeSteps: map[uint64]policy.Step{}},
		stateLoss: stateLoss{groupID: "g1", textByHash: map[string]string{}, decidedHashes: map[uint64]string{},
			recordedEvents: map[string]bool{}},
		FleetFigures: FleetFigures{ChangesByStep: map[policy.Step]int{}, AbortCauses: map[string]int{}},
		failsTrial:   map[string]bool{},
	}
	f.state.DisabledZoneGuards = p.DisabledZoneGuards
	if f.Zones == 0 {
		f.Zones = 3
	}
	if p.Baseline != "" {
		f.DisabledGuards |= policy.AwaitLeases | policy.FenceOnExpiry | policy.PrepareAll
		f.state.DisabledGuards = f.DisabledGuards
	}
	if f.LeaseMS == 0 {
		f.LeaseMS = 4000
	}
	f.addVersion()
	for i := 0; i < max(1, p.ControlInstances); i++ {
		c := &controlInstance{coordinator: f.newLeader(), up: true, clockRate: f.drawClockRate()}
		f.instances = append(f.instances, c)
	}
	for i := 0; i < p.Nodes; i++ {
		n := &node{fleet: f, name: fmt.Sprintf("n%04d", i), zone: i % f.Zones, clockRate: f.drawClockRate()}
		// With state loss all nodes have disks: records held only in memory would be lost with a node.
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

// drawClockRate draws the rate of a clock, with a drift of up to 0.4%.
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

// faultStartMS is when faults start. The first version has settled by then, including 10 s of leases granted before it.
const faultStartMS = 16_000

// Play runs the schedule: the first version settles; changes, faults and state losses are injected; all faults end;
// then every change must have ended and every node must serve under the committed version.
func (f *Fleet) Play() {
	if f.FaultSpanMS == 0 {
		f.FaultSpanMS = 30_000
	}
	// Until the first version has settled nodes hold leases without its bounds.
	f.after(1500, func() { f.proposeChange(false, 0) })
	f.Changes++
	f.runUntil(faultStartMS)
	f.scheduleChanges()
	f.schedulePartition()
	if !f.NoFaults {
		for t := 1000.0; t < float64(f.FaultSpanMS); t += f.random.ExpFloat64() * float64(f.FaultSpanMS) / 12 {
			f.after(t, f.injectFault)
		}
	}
	f.scheduleStateLosses()
	f.runUntil(f.Now + float64(f.FaultSpanMS) + 3*float64(f.LeaseMS) + float64(len(f.nodes))*10*f.PartitionedFraction)
	f.heal()
	f.runUntil(f.Now + 12*float64(f.LeaseMS) + 65_000)
	if f.Baseline != "" {
		f.LongestOverlap = longestOverlap(f.History)
		return
	}
	f.checkFinalState()
}

// scheduleChanges spreads the changes over the fault span. A third are exclusive, a fourth may leave a node behind.
func (f *Fleet) scheduleChanges() {
	at := 500.0
	for i := 1; i < f.Changes; i++ {
		exclusive, spare := f.random.Intn(3) == 0, 0
		if f.random.Intn(4) == 0 {
			spare = 1
		}
		f.after(at, func() { f.proposeChange(exclusive, spare) })
		at += float64(f.FaultSpanMS) / float64(f.Changes+1)
	}
}

// schedulePartition partitions a fraction of the nodes while changes are made. They reconnect one by one afterwards.
func (f *Fleet) schedulePartition() {
	for i, n := range f.nodes {
		if float64(i) < f.PartitionedFraction*float64(len(f.nodes)) {
			f.after(200, func() { n.partitioned = true })
			f.after(float64(f.FaultSpanMS)+float64(i)*10, func() { n.partitioned = false })
		}
	}
}

// heal ends all faults.
func (f *Fleet) heal() {
	for _, n := range f.nodes {
		n.partitioned, n.neverPrepares, n.preparingVersion = false, false, 0
	}
	f.NoFaults = true
	if f.StateLosses > 0 { // a restoration may still be in progress
		f.runUntil(f.Now + 30_000)
	}
}

func (f *Fleet) runUntil(at float64) {
	f.runEvents(at, func() bool { return false })
	f.Now = at
}

// checkFinalState checks that all changes have ended, that all nodes serve under the committed version, and the
// history's invariants.
func (f *Fleet) checkFinalState() {
	if f.Broken != "" {
		return
	}
	if c := f.state.Policy.Current; c != nil {
		f.fail("change %d to version %d has not ended: step %s", c.Number, c.Version, c.Step)
	}
	if f.acceptedChanges < f.Changes {
		f.fail("%d of %d changes were never accepted", f.Changes-f.acceptedChanges, f.Changes)
	}
	for _, n := range f.nodes {
		if !n.serves || n.activeVersion != f.state.Policy.CommittedVersion {
			_, why := n.agent.MayServe(n.clock())
			f.fail("at the end %s: serves = %v, version = %d (%s), want serves = true, version = %d", n.name, n.serves,
				n.activeVersion, why, f.state.Policy.CommittedVersion)
		}
	}
	// A lease span by the group's clock, 1% of clock drift and 50 ms, in tenths of a ms, as docs/design/policy.md
	// bounds the overlap.
	maxOverlap := int64(membership.LeaseSpanMS(uint64(f.LeaseMS)))*10*101/100 + 500
	broken, overlap := CheckFleetHistory(f.History, FleetInvariants{MaxOverlap: maxOverlap, Fences: f.Changes > 0})
	f.LongestOverlap = overlap
	if broken != "" {
		f.fail("%s", broken)
	}
}

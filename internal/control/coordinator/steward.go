package coordinator

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// Bounds of what the leader keeps in memory.
const (
	maxPendingHeartbeats = 20000 // askings that wait for a beat; past it a node is told to come again
	maxPendingOps        = 64    // operators' askings that wait
	// Joinings in one beat: some 150 bytes each, so that a fleet that restarts whole makes entries of an eighth of a megabyte, one
	// after the other, and none that followers take long over. A renewal has some bytes, and waits for nobody's joining.
	maxJoinsPerBatch = 1000
)

// Times. A beat a second has all renewals that came meanwhile, so a thousand are one entry; under leases so short that
// a second is much of them it comes eight times a lease. While a change is under way a promise or a joining waits for a
// tenth of a second at most.
const (
	beatRest   = 1000
	beatShare  = 8
	beatChange = 100
	// An op or a beat that was not applied after this long was lost with a leader or on the way to one.
	appendTimeoutMS = 5000
)

// ErrBusy is told to who may ask again shortly.
var ErrBusy = errors.New("too many nodes ask at once")

// ErrStateLost is told to nodes and operators of a group that nodes have proved to be behind what it once agreed on.
var ErrStateLost = errors.New("the group has lost state and grants nothing: umberctl control recover")

// ErrNotLeader is told to whoever asked an instance that does not lead.
var ErrNotLeader = errors.New("this instance does not lead")

// Entry is something for the log.
type Entry struct {
	Kind string
	Body []byte
}

// open is one asking that waits for a beat.
type open struct {
	ask  api.HeartbeatRequest
	done func(api.HeartbeatResponse, error)
}

type opening struct {
	op    policy.Op
	since uint64
	sent  bool
	done  func(policy.Result, error)
}

type zoneOpening struct {
	op    zones.Op
	since uint64
	sent  bool
	done  func(zones.Result, error)
}

// Leader is what a leader does about nodes. All of it is in memory: a new leader hears all nodes anew.
type Leader struct {
	DisabledGuards     policy.Guard
	DisabledZoneGuards zones.Guard

	cluster     string
	leads       bool
	term        uint64
	now         uint64 // ms that went by here, never back
	beatAt      uint64 // when the last beat was applied here, or the lead began
	sentAt      uint64 // when a beat went out that is not applied yet; 0: none is out
	no          uint64 // of the beat made last
	waits       []open // go into the next beat
	out         []open // are in the one that is out
	more        bool   // joinings were left for the next beat, which goes out soon
	opAt        uint64 // when an op of the rules went out; 0: none is out
	ops         []*opening
	forgets     []string
	watch       *zones.Monitor
	zoneAt      uint64 // when an op about zones went out by the rules; 0: none is out
	zoneOps     []*zoneOpening
	reports     map[string]*told // by node
	Level       int              // the group's: what entries may carry
	counts      counts
	joins       map[uint32]uint64 // when leases were given here to nodes that were not told yet to take all
	lacks       map[string]lack   // by node: what it was told that the state does not have
	stopped     bool              // the state was lost
	ledAt       uint64            // when the lead began
	names       map[string]bool   // nodes heard since; nil: the leader listens no more
	BatchesSent uint64            // sent by this instance
	BatchBytes  uint64            // of them
}

// told is a report and whose it is.
type told struct {
	lease uint32
	policy.NodeReport
}

// NewLeader gives a steward that does not lead.
func NewLeader(without policy.Guard) *Leader {
	return &Leader{DisabledGuards: without, reports: map[string]*told{}, watch: zones.NewMonitor()}
}

// Leading tells whether this instance does the work at present.
func (s *Leader) Leading() bool { return s.leads }

// SetRole tells of who leads. Losing the lead lets all go that wait; another term hears everybody anew.
func (s *Leader) SetRole(p *State, cluster string, leads bool, term uint64) {
	if leads == s.leads && term == s.term && cluster == s.cluster {
		return
	}
	s.drop(ErrNotLeader)
	s.cluster, s.leads, s.term = cluster, leads, term
	s.beatAt, s.sentAt, s.opAt, s.no, s.more = s.now, 0, 0, 0, false
	s.reports, s.forgets = map[string]*told{}, nil
	s.watch, s.zoneAt = zones.NewMonitor(), 0
	s.counts = counts{}
	s.lacks, s.joins = map[string]lack{}, map[uint32]uint64{}
	s.ledAt, s.names = s.now, map[string]bool{}
}

// maxListenMS is for how long a new leader listens at most before it grants and decides, in ms: in that time all nodes ask
// whose group has gone on. It is a quarter of a lease at most, as nodes renew theirs when a quarter is over.
const maxListenMS = 1500

// listens tells whether the leader has not yet heard all nodes that are in: some may know what a state that was put back to
// an older one lacks, and until then nothing that rests on it is granted or decided.
func (s *Leader) listens(p *State) bool {
	if s.names == nil {
		return false
	}
	if s.Level >= LevelGenerations && !s.DisabledGuards.Has(policy.ListenFirst) && s.now-s.ledAt < min(maxListenMS, p.leaseTerms().LeaseMS/4) {
		for _, n := range p.Fleet.Nodes() {
			if n.OutReason == "" && !s.names[n.Name] {
				return true
			}
		}
	}
	s.names = nil
	return false
}

// drop lets all askings go.
func (s *Leader) drop(err error) {
	for _, list := range [][]open{s.waits, s.out} {
		for _, o := range list {
			o.done(api.HeartbeatResponse{}, err)
		}
	}
	for _, o := range s.ops {
		o.done(policy.Result{}, err)
	}
	for _, o := range s.zoneOps {
		o.done(zones.Result{}, err)
	}
	s.waits, s.out, s.ops, s.zoneOps = nil, nil, nil, nil
}

// Heartbeat takes what a node says. done is called once, at once or after a beat.
func (s *Leader) Heartbeat(p *State, a api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	if !s.leads {
		done(api.HeartbeatResponse{}, ErrNotLeader)
		return
	}
	if a.LeaseID == 0 {
		if err := a.JoinRequest.Validate(); err != nil {
			done(api.HeartbeatResponse{}, err)
			return
		}
	}
	if p.Fleet.LostState != "" {
		done(api.HeartbeatResponse{}, ErrStateLost)
		return
	}
	if s.names != nil && len(s.names) < membership.MaxNodes {
		s.names[a.Name] = true
	}
	if h := a.LastSeen; h != nil && h.Group != "" && h.Group != s.cluster {
		// A lease of another generation has a number that means another here, and what it heard last may be a later one. It is
		// told whose this is, and begins anew if that is later than what it knows.
		t := s.tell(p, api.HeartbeatResponse{EndedReason: "it heard another generation of the group last"})
		t.Predecessors = p.Predecessors
		done(t, nil)
		return
	}
	s.doubt(p, &a)
	if s.Level < LevelGenerations {
		a.UptimeMS = 0 // an older instance does not know it
	}
	if a.LeaseID == 0 {
		n := p.Fleet.Lookup(a.Name)
		a.SameProcess = s.Level >= LevelSameProcess && n != nil && membership.IsSameProcess(n.Lease.Nonce, a.Nonce)
		s.wait(a, done)
		return
	}
	if n := p.Fleet.LeaseHolder(a.LeaseID); n != nil && p.Policy.ActiveRules().Zones.Enabled() {
		s.watch.Record(s.now, n, a.Load, a.Peers)
	}
	n := p.Fleet.LeaseHolder(a.LeaseID)
	if n == nil && !a.Leave {
		done(s.tell(p, api.HeartbeatResponse{EndedReason: "its lease ran out or its name began anew"}), nil)
		return
	}
	if n != nil {
		s.reports[n.Name] = &told{a.LeaseID, policy.NodeReport{PreparedVersion: a.PreparedVersion, RefusedVersion: a.RefusedVersion, RefusedReason: a.RefusedReason,
			ActiveVersion: a.ActiveVersion, Fenced: a.Fenced}}
	}
	if n != nil && !a.Leave && p.Fleet.ClockMS > a.LastClockMS+membership.LeaseSpanMS(p.leaseTerms().LeaseMS) {
		// It has not heard an answer for a lease's time, so it serves nothing: what it says reaches the group, and nothing
		// comes back. Its askings must not keep it in, or a change would wait for it.
		done(s.tell(p, api.HeartbeatResponse{LeaseID: a.LeaseID}), nil)
		return
	}
	// A promise that the state lacks goes through the log as well: a change waits for it.
	if a.Renew || a.Leave || n.Lease.MinVersion < a.MinVersion && s.behind(p, n) ||
		n.Lease.MinZoneEpoch < a.MinZoneEpoch && p.Zones.SettledEpoch < p.Zones.Epoch {
		s.wait(a, done)
		return
	}
	done(s.tell(p, api.HeartbeatResponse{LeaseID: a.LeaseID}), nil)
}

// nodesToProveLoss is how many nodes have to prove that the group has lost state before it stops: one alone may lie.
const nodesToProveLoss = 2

// evidenceSpanMS is for how long a node's proof counts, in ms: some askings with their back-off. What two told an hour apart may be
// the same node's lie under two names.
const evidenceSpanMS = 10_000

type lack struct {
	what string
	at   uint64
}

// doubt holds what a node was told against what the state has.
func (s *Leader) doubt(p *State, a *api.HeartbeatRequest) {
	h := a.LastSeen
	if h == nil || s.DisabledGuards.Has(policy.Proof) {
		return
	}
	have := recovery.GroupPosition{Group: s.cluster, Generation: p.Generation, Term: s.term, Index: p.Index, DecidedVersion: p.Policy.DecidedVersion, ZoneEpoch: p.Zones.Epoch,
		HashOf: func(v uint64) string { return s.hashOf(p, v) }, ChecksumAt: p.checksumAt}
	k := recovery.NodeRecord{Group: h.Group, Generation: max(1, h.Generation), Term: h.Term, Index: h.Index, EntryChecksum: h.EntryChecksum, ActiveVersion: a.ActiveVersion, ActiveHash: h.ActiveHash,
		MinVersion: a.MinVersion, ZoneEpoch: a.MinZoneEpoch}
	if what := have.LostState(&k); what != "" {
		if len(s.lacks) < membership.MaxNodes {
			s.lacks[a.Name] = lack{what, s.now}
		}
	} else {
		delete(s.lacks, a.Name)
	}
}

// hashOf gives the hash that the state has of a version that was in force, empty where it is not known any more.
func (s *Leader) hashOf(p *State, v uint64) string {
	if v == p.Policy.CommittedVersion {
		return p.Policy.CommittedHash
	}
	for _, c := range p.Policy.History {
		if c.Version == v && c.Step == policy.Settled {
			return c.Hash
		}
	}
	return ""
}

// lost tells what the group lacks, once enough nodes have proved it; empty: nothing.
func (s *Leader) lost(p *State) string {
	if s.Level < LevelGenerations || len(s.lacks) == 0 {
		return ""
	}
	var names []string
	for n, l := range s.lacks { // in order below
		if s.now-l.at <= evidenceSpanMS {
			names = append(names, n)
		} else {
			delete(s.lacks, n)
		}
	}
	if len(names) < max(1, min(nodesToProveLoss, len(p.Fleet.Nodes()))) {
		return ""
	}
	sort.Strings(names)
	return fmt.Sprintf("%s was told of %s; %d nodes say so", names[0], s.lacks[names[0]].what, len(names))
}

// LevelGenerations is the level of a group from which on its entries tell of lost state.
const LevelGenerations = 4

// LevelSameProcess is the one from which on a process that only lost its lease is no start: it has not flapped.
const LevelSameProcess = 5

// behind tells whether a change waits for this node's promise.
func (s *Leader) behind(p *State, n *membership.Node) bool {
	c := p.Policy.Current
	return c != nil && c.Step != policy.Preparing && n.Lease.MinVersion < c.Version
}

func (s *Leader) wait(a api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) {
	if len(s.waits) >= maxPendingHeartbeats {
		done(api.HeartbeatResponse{}, ErrBusy)
		return
	}
	s.waits = append(s.waits, open{a, done})
}

// tell fills in what holds now.
func (s *Leader) tell(p *State, t api.HeartbeatResponse) api.HeartbeatResponse {
	t.Cluster, t.Term, t.Index, t.EntryChecksum, t.ClockMS, t.Generation = s.cluster, s.term, p.Index, p.lastChecksum(), p.Fleet.ClockMS, p.Generation
	t.DecidedVersion, t.CommittedVersion = p.Policy.DecidedVersion, api.VersionHash{Version: p.Policy.CommittedVersion, Hash: p.Policy.CommittedHash}
	g := p.leaseTerms()
	t.Autonomous = g.Autonomous
	t.NextHeartbeatMS = g.LeaseMS / 4
	if rules := p.Policy.ActiveRules().Zones; rules.Enabled() {
		t.NextHeartbeatMS = min(t.NextHeartbeatMS, zones.HeartbeatIntervalMS(len(p.Fleet.Nodes())))
		if n := p.Fleet.LeaseHolder(t.LeaseID); n != nil {
			o := p.Zones.Order(n.Zone, t.LeaseID, &rules, s.DisabledZoneGuards)
			if rules.ColdStart && s.young(p, n) && p.Zones.LimitNewNode(&o, n.Zone, n.UptimeMS(p.Fleet.ClockMS), p.Fleet.ClockMS, s.counts.zone[n.Zone],
				&rules, s.DisabledZoneGuards) {
				t.NextHeartbeatMS = min(t.NextHeartbeatMS, max(slowStartHeartbeatMS, zones.HeartbeatIntervalMS(len(p.Fleet.Nodes()))/2))
			} else {
				delete(s.joins, t.LeaseID) // who was told to take all is not held afterwards
			}
			t.Zone, t.ProbeTargets = &o, s.watch.ProbesFor(n.Name)
		}
	}
	if c := p.Policy.Current; c != nil {
		// While a change is under way whoever it waits for is heard soon; reports cost no entry.
		t.NextHeartbeatMS = min(t.NextHeartbeatMS, max(200, uint64(len(p.Fleet.Nodes()))/5))
		if c.Step == policy.Preparing {
			t.PrepareVersion = api.VersionHash{Version: c.Version, Hash: c.Hash}
		}
	}
	return t
}

// slowStartHeartbeatMS is how soon a node is to ask again that has just begun, in ms: a lone start is told as one within a second.
// In larger fleets it is longer, so that a fleet that restarts whole asks the group twice as often as ever at most.
const slowStartHeartbeatMS = 250

// countIntervalMS is how often the nodes are counted while some have just begun, in ms: with 5,000 of them each answer would
// go through all otherwise.
const countIntervalMS = 100

// counts is what is known of the nodes that are in.
type counts struct {
	at    uint64
	known bool
	in    int
	zone  map[string]int
	warm  []uint64 // when those that were up long before were heard last, the earliest first
}

func (s *Leader) count(p *State) *counts {
	c := &s.counts
	if c.known && s.now-c.at < countIntervalMS {
		return c
	}
	*c = counts{at: s.now, known: true, zone: map[string]int{}, warm: c.warm[:0]}
	for _, n := range p.Fleet.Nodes() {
		if n.OutReason != "" {
			continue
		}
		c.in++
		c.zone[n.Zone]++
		if at := s.watch.LastHeard(n); at > 0 && n.UptimeMS(p.Fleet.ClockMS) > recovery.ColdStartWindowMS {
			c.warm = append(c.warm, at)
		}
	}
	slices.Sort(c.warm)
	return c
}

// young tells whether a node has just begun, and most of the others were not heard since: then the whole fleet may have, and
// only the first of them are here yet.
func (s *Leader) young(p *State, n *membership.Node) bool {
	since, joined := s.joins[n.Lease.ID]
	if !joined || n.UptimeMS(p.Fleet.ClockMS) > recovery.ColdStartWindowMS {
		return false
	}
	c := s.count(p)
	first, _ := slices.BinarySearch(c.warm, since)
	warm, others := len(c.warm)-first, c.in-1
	return others > 0 && 2*warm < others
}

// SubmitPolicy takes what an operator asks; done is called once it is applied here, or can't be.
func (s *Leader) SubmitPolicy(op policy.Op, done func(policy.Result, error)) {
	switch {
	case !s.leads:
		done(policy.Result{}, ErrNotLeader)
	case s.stopped:
		done(policy.Result{}, ErrStateLost)
	case len(s.ops) >= maxPendingOps:
		done(policy.Result{}, ErrBusy)
	default:
		s.ops = append(s.ops, &opening{op: op, since: s.now, done: done})
	}
}

// SubmitZone takes what an operator asks about a zone; done is called once it is applied here, or can't be.
func (s *Leader) SubmitZone(p *State, op zones.Op, done func(zones.Result, error)) {
	switch {
	case !s.leads:
		done(zones.Result{}, ErrNotLeader)
	case s.stopped:
		done(zones.Result{}, ErrStateLost)
	case len(s.zoneOps) >= maxPendingOps:
		done(zones.Result{}, ErrBusy)
	default:
		if z := p.Zones.Find(op.Zone); op.Kind == "back" && z != nil && z.Phase != zones.Ramping {
			done(zones.Result{Err: fmt.Sprintf("zone %s is %s, expected it returning", z.Name, z.Phase)}, nil)
			return
		}
		s.zoneOps = append(s.zoneOps, &zoneOpening{op: op, since: s.now, done: done})
	}
}

// ZoneViews gives zones as the leader sees them.
func (s *Leader) ZoneViews() []*zones.View { return s.watch.Views() }

// FleetView gives the whole fleet as the leader sees it, nil before its first look.
func (s *Leader) FleetView() *zones.View { return s.watch.FleetView() }

// Forget takes names off the list with the next beat.
func (s *Leader) Forget(names ...string) error {
	if !s.leads {
		return ErrNotLeader
	}
	if s.stopped {
		return ErrStateLost
	}
	if len(s.forgets)+len(names) > maxPendingOps {
		return ErrBusy
	}
	s.forgets = append(s.forgets, names...)
	return nil
}

// heard gives a node's report, as its present incarnation told it.
func (s *Leader) heard(n *membership.Node) *policy.NodeReport {
	r := s.reports[n.Name]
	if r == nil || r.lease != n.Lease.ID && !s.DisabledGuards.Has(policy.Incarnation) {
		return nil
	}
	return &r.NodeReport
}

// Reports gives the reports for whoever shows them.
func (s *Leader) Reports() func(*membership.Node) *policy.NodeReport { return s.heard }

// Tick tells of ms that went by and gives what the leader adds to the log.
func (s *Leader) Tick(p *State, ms uint64) []Entry {
	s.now += ms
	if !s.leads {
		return nil
	}
	var out []Entry
	add := func(kind string, v any) {
		body, err := json.Marshal(v)
		if err != nil {
			panic(err) // of our own plain structs
		}
		out = append(out, Entry{kind, body})
	}
	if s.sentAt != 0 && s.now-s.sentAt > appendTimeoutMS {
		s.sentAt = 0
		s.waits, s.out = append(s.out, s.waits...), nil
	}
	since, each := s.now-s.beatAt, min(beatRest, max(beatChange, p.leaseTerms().LeaseMS/beatShare))
	if s.stopped = p.Fleet.LostState != ""; s.stopped {
		return nil // nothing is decided on a state that is not the fleet's
	}
	lost := s.lost(p)
	if lost == "" && s.listens(p) {
		return nil
	}
	if s.sentAt == 0 && (lost != "" || since >= beatRest || since >= each && len(s.waits)+len(s.forgets) > 0 ||
		(p.Policy.Current != nil || s.more) && since >= beatChange && len(s.waits) > 0) {
		s.take()
		b := s.beat(p)
		b.LostState = lost
		s.sentAt = s.now
		s.forgets = nil
		add(KindHeartbeats, b)
		s.BatchesSent++
		s.BatchBytes += uint64(len(out[0].Body))
	}
	if s.opAt != 0 && s.now-s.opAt > appendTimeoutMS {
		s.opAt = 0
	}
	if s.opAt == 0 {
		if op := p.Policy.Next(p.Fleet, s.heard, s.DisabledGuards); op != nil {
			s.opAt = s.now
			add(KindPolicy, op)
		}
	}
	if s.zoneAt != 0 && s.now-s.zoneAt > appendTimeoutMS {
		s.zoneAt = 0
	}
	if rules := p.Policy.ActiveRules().Zones; s.zoneAt == 0 && rules.Enabled() {
		if op := s.watch.Decide(s.now, p.Zones, p.Fleet, &rules, s.DisabledZoneGuards); op != nil {
			s.zoneAt = s.now
			add(KindZones, op)
		}
	}
	for _, o := range s.zoneOps {
		if !o.sent || s.now-o.since > appendTimeoutMS {
			o.sent, o.since = true, s.now
			o.op.Epoch = p.Zones.Epoch
			add(KindZones, &o.op)
		}
	}
	for _, o := range s.ops {
		if !o.sent || s.now-o.since > appendTimeoutMS {
			o.sent, o.since = true, s.now
			add(KindPolicy, &o.op)
		}
	}
	return out
}

// take parts what goes into the next beat from what waits for the one after: all renewals and goodbyes, and of the joinings those
// that came first.
func (s *Leader) take() {
	joins := 0
	for i := range s.waits {
		if s.waits[i].ask.LeaseID == 0 {
			joins++
		}
	}
	skip := 0 // joinings that are passed over; without the guard the older ones are
	if s.DisabledGuards.Has(policy.ArrivalOrder) {
		skip = max(0, joins-maxJoinsPerBatch)
	}
	var left []open
	n := 0
	for _, o := range s.waits {
		if o.ask.LeaseID == 0 {
			if n++; n <= skip || n > skip+maxJoinsPerBatch {
				left = append(left, o)
				continue
			}
		}
		s.out = append(s.out, o)
	}
	s.waits, s.more = left, len(left) > 0
}

// beat puts together what was taken for it.
func (s *Leader) beat(p *State) *membership.HeartbeatBatch {
	s.no++
	b := &membership.HeartbeatBatch{Term: s.term, Sequence: s.no, BatchesBefore: p.Fleet.Batches, ElapsedMS: s.now - s.beatAt, MinVersion: p.Policy.DecidedVersion,
		MinZoneEpoch: p.leaseTerms().ZoneEpoch, Forget: s.forgets}
	for i := range s.out {
		switch a := &s.out[i].ask; {
		case a.Leave:
			b.Leaves = append(b.Leaves, a.LeaseID)
		case a.LeaseID == 0:
			b.Joins = append(b.Joins, a.JoinRequest)
		case a.MinVersion >= b.MinVersion && a.MinZoneEpoch >= b.MinZoneEpoch:
			b.Renewals = append(b.Renewals, a.LeaseID)
		default:
			b.Outdated = append(b.Outdated, a.LeaseID)
		}
	}
	return b
}

// EntryApplied tells the end of an entry that was this part's, after the part has played it.
func (s *Leader) EntryApplied(p *State, end any) {
	switch e := end.(type) {
	case BatchApplied:
		// Time counts from the beat's application on, whoever made it: none of it is counted twice.
		if e.Counted {
			s.beatAt = s.now
		}
		mine := e.Term == s.term && e.Sequence == s.no
		if s.sentAt == 0 || !mine && !e.Counted {
			return
		}
		out := s.out
		s.sentAt, s.out = 0, nil
		if !mine || !e.Counted { // an earlier leader's came between: the one that is out counts for nothing
			s.waits = append(out, s.waits...)
			return
		}
		joined := map[string]*membership.JoinResult{}
		for i := range e.Joins {
			joined[e.Joins[i].Nonce] = &e.Joins[i]
		}
		if p.Fleet.LostState != "" {
			s.out = out
			s.drop(ErrStateLost)
			return
		}
		for _, o := range out {
			o.done(s.answer(p, &o.ask, &e, joined))
		}
		for lease := range s.joins { // each is judged alone
			if p.Fleet.LeaseHolder(lease) == nil {
				delete(s.joins, lease)
			}
		}
		for name, r := range s.reports { // no order is needed: each is judged alone
			if p.Fleet.LeaseHolder(r.lease) == nil && !s.DisabledGuards.Has(policy.Incarnation) {
				delete(s.reports, name)
			}
		}
	case zones.Result:
		if e.IdempotencyKey == "" {
			s.zoneAt = 0
		}
		kept := s.zoneOps[:0]
		for _, o := range s.zoneOps {
			if o.sent && e.IdempotencyKey == o.op.IdempotencyKey {
				o.done(e, nil)
			} else {
				kept = append(kept, o)
			}
		}
		s.zoneOps = kept
	case policy.Result:
		s.opAt = 0
		kept := s.ops[:0]
		for _, o := range s.ops {
			if o.sent && (e.IdempotencyKey != "" && o.op.Proposal != nil && o.op.Proposal.IdempotencyKey == e.IdempotencyKey ||
				e.IdempotencyKey == "" && o.op.Kind == e.Kind && o.op.ChangeNumber == e.ChangeNumber) {
				o.done(e, nil)
			} else {
				kept = append(kept, o)
			}
		}
		s.ops = kept
	}
}

// answer gives one node's answer after its beat.
func (s *Leader) answer(p *State, a *api.HeartbeatRequest, e *BatchApplied, joined map[string]*membership.JoinResult) (
	api.HeartbeatResponse, error) {
	t := api.HeartbeatResponse{LeaseID: a.LeaseID}
	if a.Leave {
		return s.tell(p, t), nil
	}
	if a.LeaseID == 0 {
		j := joined[a.Nonce]
		if j == nil {
			return t, fmt.Errorf("the beat had no joining of %s", a.Name)
		}
		if j.RefusedReason != "" {
			t.EndedReason, t.RetryAfterMS = j.RefusedReason, j.RetryAfterMS
			return s.tell(p, t), nil
		}
		t.LeaseID = j.LeaseID
		if p.Policy.ActiveRules().Zones.ColdStart && len(s.joins) < membership.MaxNodes {
			s.joins[t.LeaseID] = s.now
		}
	}
	granted, known := e.Granted[t.LeaseID]
	switch {
	case !known:
		t.EndedReason = "its lease ran out or its name began anew"
	case granted:
		t.LeaseMS = e.LeaseMS
	}
	return s.tell(p, t), nil
}

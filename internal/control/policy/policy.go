// Package policy decides how a change of policy takes hold at all nodes of a fleet or at none. It owns the
// change under way and what became of earlier ones. State is what the log made of it, the same at every
// instance; Next is what a leader would add, from that state and from what nodes told it since it leads. A
// leader that dies at any step is followed by one that reads the step in the state and goes on from there:
// nothing is begun twice or decided otherwise. No clock, no chance, no I/O.
package policy

import (
	"encoding/json"
	"fmt"
	"strings"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Steps of a change.
const (
	Preparing = "preparing" // nodes check it, try it, and say so
	Decided   = "held"      // decided, and nobody serves under the older one any more before it comes into force
	Committed = "in force"  // it may be served under; some may not have heard yet
	Settled   = "settled"   // and nobody can serve under an older one any more
	Aborted   = "called off"
)

// Bounds.
const (
	maxPast      = 64  // changes that ended and are still told about
	maxEvents    = 64  // of one change
	maxNames     = 8   // nodes named in a reason
	maxWhy       = 300 // bytes of one node's reason
	maxReason    = 2000
	MinPrepareMS = 1000
	MaxPrepareMS = 24 * 3600_000
)

// Rules are what the document of a version says of leases and of the group's absence.
type Rules struct {
	LeaseMS    uint64        `json:"lease_ms"`
	Autonomous bool          `json:"alone"` // when_alone = go-on
	Zones      api.ZoneRules `json:"zones,omitzero"`
}

// DefaultRules is the rules until a version is in force. Ten seconds outlast a group's failover several times; a
// fleet that nobody has given a policy goes on without the group.
var DefaultRules = Rules{LeaseMS: 10_000, Autonomous: true}

// Proposal asks for a change to a version that the group keeps.
type Proposal struct {
	Version         uint64 `json:"version"`
	Exclusive       bool   `json:"exclusive,omitempty"` // no moment at which two versions are served under
	PrepareWithinMS uint64 `json:"within_ms"`           // to prepare in
	MaxLeftBehind   int    `json:"spare,omitempty"`     // nodes at most that may be left behind, out of service
	Author          string `json:"author"`
	Reason          string `json:"reason"`
	IdempotencyKey  string `json:"key"` // the asking's own: repeated under it, it counts once
}

// Op is one entry of the log.
type Op struct {
	Kind         string    `json:"op"` // propose, decide, off, force, settle
	ChangeNumber uint64    `json:"number,omitempty"`
	Proposal     *Proposal `json:"propose,omitempty"`
	FleetEpoch   uint64    `json:"epoch,omitempty"` // decide: all nodes of this epoch of the fleet were heard
	LeftBehind   []string  `json:"left,omitempty"`  // decide: but for these, which stay behind
	Reason       string    `json:"why,omitempty"`   // off
	Author       string    `json:"by,omitempty"`    // off: the operator, or empty for the rules
}

// Event is one thing that happened to a change.
type Event struct {
	ClockMS uint64 `json:"clock_ms"`
	Text    string `json:"text"`
}

// Change is one change.
type Change struct {
	Number          uint64   `json:"number"`
	Version         uint64   `json:"version"`
	PreviousVersion uint64   `json:"from"`
	Hash            string   `json:"hash"` // of the version's text
	Rules           Rules    `json:"rules"`
	Step            string   `json:"step"`
	Proposal        Proposal `json:"propose"`
	DecideByMS      uint64   `json:"until"`    // it has to be decided by then
	ProposedAtMS    uint64   `json:"begun"`    // the group's time
	DecidedAtMS     uint64   `json:"decided"`  // 0: not yet
	CommittedAtMS   uint64   `json:"in_force"` //
	EndedAtMS       uint64   `json:"ended"`    // settled or called off
	AbortReason     string   `json:"why,omitempty"`
	Events          []Event  `json:"events"`
}

// State is what all instances know of changes.
type State struct {
	LastNumber       uint64    `json:"number"` // of the newest change
	DecidedVersion   uint64    `json:"need"`   // the newest decided version: nothing older may be served under by who heard
	CommittedVersion uint64    `json:"force"`  // the newest in force
	CommittedHash    string    `json:"hash"`   // of its text
	Rules            Rules     `json:"rules"`  // it has, once there is one
	Current          *Change   `json:"now,omitempty"`
	History          []*Change `json:"past,omitempty"` // ended, the oldest first
}

// Versions is what applying asks of the rest of the replicated state.
type Versions interface {
	Last() uint64
	// Check reads a version and tells why it may not come after another.
	Check(version, from uint64) (Rules, string, error)
}

// Result is the end of an op.
type Result struct {
	Kind           string `json:"Kind"`
	ChangeNumber   uint64 `json:"Number"` // of the change it is about
	IdempotencyKey string `json:"Key"`    // of the asking, for a propose
	Rejection      string `json:"Err"`    // it does not count, and why
}

func (c *Change) event(clock uint64, format string, args ...any) {
	if len(c.Events) < maxEvents {
		c.Events = append(c.Events, Event{clock, fmt.Sprintf(format, args...)})
	}
}

// Validate says what is wrong with a propose before it is proposed to the group.
func (p *Proposal) Validate() error {
	switch {
	case p.Version == 0:
		return fmt.Errorf("version: found 0, expected one of the group's")
	case p.PrepareWithinMS < MinPrepareMS || p.PrepareWithinMS > MaxPrepareMS:
		return fmt.Errorf("within_ms: found %d, expected %d to %d", p.PrepareWithinMS, MinPrepareMS, MaxPrepareMS)
	case p.MaxLeftBehind < 0 || p.MaxLeftBehind > membership.MaxNodes:
		return fmt.Errorf("spare: found %d, expected 0 to %d", p.MaxLeftBehind, membership.MaxNodes)
	case p.Author == "" || len(p.Author) > 200:
		return fmt.Errorf("author: found %d bytes, expected 1 to 200", len(p.Author))
	case len(p.Reason) > maxReason:
		return fmt.Errorf("reason: found %d bytes, expected at most %d", len(p.Reason), maxReason)
	case len(p.IdempotencyKey) < 8 || len(p.IdempotencyKey) > 80:
		return fmt.Errorf("key: found %d bytes, expected 8 to 80", len(p.IdempotencyKey))
	}
	return nil
}

// Find gives a change by its number, nil if it is not known (any more).
func (s *State) Find(number uint64) *Change {
	if s.Current != nil && s.Current.Number == number {
		return s.Current
	}
	for _, c := range s.History {
		if c.Number == number {
			return c
		}
	}
	return nil
}

func (s *State) keyed(key string) *Change {
	if s.Current != nil && s.Current.Proposal.IdempotencyKey == key {
		return s.Current
	}
	for _, c := range s.History {
		if c.Proposal.IdempotencyKey == key {
			return c
		}
	}
	return nil
}

// Apply plays one op. What no longer holds counts for nothing, so that an op that was proposed twice, or by
// two leaders, is done once.
func (s *State) Apply(op *Op, f *membership.State, w Versions, without Guard) Result {
	if op.Kind == "propose" {
		return s.propose(op.Proposal, f, w)
	}
	c := s.Current
	r := Result{Kind: op.Kind, ChangeNumber: op.ChangeNumber}
	if c == nil || c.Number != op.ChangeNumber {
		r.Rejection = fmt.Sprintf("change %d is not under way", op.ChangeNumber)
		return r
	}
	wrong := func(want string) Result {
		r.Rejection = fmt.Sprintf("change %d is %s, expected %s", c.Number, c.Step, want)
		return r
	}
	switch op.Kind {
	case "decide":
		if c.Step != Preparing {
			return wrong(Preparing)
		}
		if op.FleetEpoch != f.Epoch && !without.Has(PrepareAll) {
			r.Rejection = fmt.Sprintf("decided for the fleet of epoch %d, and it is in %d: a node joined", op.FleetEpoch, f.Epoch)
			return r
		}
		s.DecidedVersion, c.DecidedAtMS = c.Version, f.ClockMS
		c.event(f.ClockMS, "decided")
		if len(op.LeftBehind) > 0 {
			c.event(f.ClockMS, "left behind, out of service: %s", Summarize(op.LeftBehind))
		}
		c.Step = Decided
		if !c.Proposal.Exclusive {
			s.force(f)
		}
	case "force":
		if c.Step != Decided {
			return wrong(Decided)
		}
		if left := f.NodesServingOlder(c.Version); len(left) > 0 && !without.Has(LeaseGuard) {
			r.Rejection = fmt.Sprintf("still under an older one: %s", Summarize(left))
			return r
		}
		s.force(f)
	case "settle":
		if c.Step != Committed {
			return wrong(Committed)
		}
		if left := f.NodesServingOlder(c.Version); len(left) > 0 && !without.Has(LeaseGuard) {
			r.Rejection = fmt.Sprintf("maybe still under an older one: %s", Summarize(left))
			return r
		}
		c.Step, c.EndedAtMS = Settled, f.ClockMS
		c.event(f.ClockMS, "settled: nobody can serve under an older one")
		s.past(c)
	case "off":
		if c.Step != Preparing && !(without.Has(DecideOnce) && c.Step != Settled) {
			return wrong(Preparing + ", as what is decided is not taken back; go back by a change to the older text")
		}
		if c.Step != Preparing { // only with the guard out
			s.DecidedVersion, s.CommittedVersion = c.PreviousVersion, c.PreviousVersion
		}
		c.Step, c.EndedAtMS, c.AbortReason = Aborted, f.ClockMS, op.Reason
		if op.Author != "" {
			c.event(f.ClockMS, "called off by %s: %s", op.Author, op.Reason)
		} else {
			c.event(f.ClockMS, "called off: %s", op.Reason)
		}
		s.past(c)
	default:
		r.Rejection = fmt.Sprintf("op %q, expected propose, decide, force, settle or off", op.Kind)
	}
	return r
}

func (s *State) force(f *membership.State) {
	c := s.Current
	s.CommittedVersion, s.CommittedHash, s.Rules = c.Version, c.Hash, c.Rules
	c.Step, c.CommittedAtMS = Committed, f.ClockMS
	c.event(f.ClockMS, "in force")
}

func (s *State) past(c *Change) {
	s.History = append(s.History, c)
	if len(s.History) > maxPast {
		s.History = s.History[1:]
	}
	s.Current = nil
}

func (s *State) propose(p *Proposal, f *membership.State, w Versions) Result {
	r := Result{Kind: "propose", IdempotencyKey: p.IdempotencyKey}
	if was := s.keyed(p.IdempotencyKey); was != nil {
		r.ChangeNumber = was.Number
		return r
	}
	switch {
	case s.Current != nil:
		r.Rejection = fmt.Sprintf("change %d to version %d is %s; it has to end first", s.Current.Number, s.Current.Version,
			s.Current.Step)
	case p.Version <= s.DecidedVersion:
		r.Rejection = fmt.Sprintf("version %d, expected one after %d, which is in force: to go back, put the older text "+
			"again, as a new version", p.Version, s.DecidedVersion)
	case p.Version > w.Last():
		r.Rejection = fmt.Sprintf("version %d, expected at most %d, the group's last", p.Version, w.Last())
	case p.Exclusive && s.ActiveRules().Autonomous:
		r.Rejection = "exclusive, while when_alone = go-on is in force: a node that is cut off would hold up all others"
	}
	if r.Rejection != "" {
		return r
	}
	rules, hash, err := w.Check(p.Version, s.CommittedVersion)
	if err != nil {
		r.Rejection = clip(err.Error())
		return r
	}
	s.LastNumber++
	s.Current = &Change{Number: s.LastNumber, Version: p.Version, PreviousVersion: s.CommittedVersion, Step: Preparing, Proposal: *p,
		ProposedAtMS: f.ClockMS, DecideByMS: f.ClockMS + p.PrepareWithinMS, Hash: hash, Rules: rules}
	s.Current.event(f.ClockMS, "proposed by %s: %s", p.Author, p.Reason)
	r.ChangeNumber = s.LastNumber
	return r
}

// BeginGeneration makes a version the one in force of a group that is restored, without a change that led to it. One that was
// under way is called off: whoever knew its end is gone.
func (s *State) BeginGeneration(version uint64, hash string, rules Rules, clock uint64, proof string) {
	if c := s.Current; c != nil {
		if c.Step != Preparing && c.Version == version {
			c.Step = Settled
			c.event(clock, "the group was restored, and has this version: %s", proof)
		} else {
			c.Step, c.AbortReason = Aborted, "the group was restored: "+clip(proof)
			c.event(clock, "called off: %s", c.AbortReason)
		}
		c.EndedAtMS = clock
		s.past(c)
	}
	if version == 0 { // nobody was told of any
		return
	}
	if hash == "" { // nobody has its text: whatever comes next is newer than what was promised, and nothing is in force
		s.DecidedVersion, s.CommittedVersion, s.CommittedHash, s.Rules = version-1, 0, "", Rules{}
		return
	}
	s.LastNumber++
	s.DecidedVersion, s.CommittedVersion, s.CommittedHash, s.Rules = version, version, hash, rules
	c := &Change{Number: s.LastNumber, Version: version, PreviousVersion: version, Step: Settled, Hash: hash, Rules: rules, ProposedAtMS: clock,
		DecidedAtMS: clock, CommittedAtMS: clock, EndedAtMS: clock, Proposal: Proposal{Version: version, Author: "recover", Reason: clip(proof)}}
	c.event(clock, "restored: %s", proof)
	s.past(c)
}

// ActiveRules gives the rules that leases are given under now.
func (s *State) ActiveRules() Rules {
	if s.CommittedVersion == 0 {
		return DefaultRules
	}
	return s.Rules
}

// NodeReport is what a node told the leader that leads now.
type NodeReport struct {
	PreparedVersion uint64
	RefusedVersion  uint64
	RefusedReason   string
	ActiveVersion   uint64
	Fenced          string
}

// Blocker is a node that a change waits for, and why.
type Blocker struct {
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Reason string `json:"why"`
}

// Blockers names whom the change under way waits for. heard gives a node's report, nil for one that has not told
// this leader anything.
func (s *State) Blockers(f *membership.State, heard func(*membership.Node) *NodeReport) (waits []Blocker, refused []Blocker) {
	c := s.Current
	if c == nil {
		return nil, nil
	}
	if f.ClockMS < f.UnknownLeasesUntilMS { // in a restored group's first moments nobody is in, and all of them may be on their way
		waits = append(waits, Blocker{membership.UnknownNodes, "", fmt.Sprintf("may act on their leases for %d ms at most", f.UnknownLeasesUntilMS-f.ClockMS)})
	}
	for _, n := range f.Nodes() {
		if c.Step != Preparing {
			if f.MayServeOlder(n, c.Version) {
				waits = append(waits, Blocker{n.Name, n.Zone, "may serve under an older version " + s.until(f, n, c.Version)})
			}
			continue
		}
		if n.OutReason != "" {
			if n.Lease.Live(f.ClockMS) && n.Lease.Autonomous {
				waits = append(waits, Blocker{n.Name, n.Zone, "is silent and may serve alone, as when_alone = go-on is in force"})
			}
			continue
		}
		r := heard(n)
		switch {
		case r == nil:
			waits = append(waits, Blocker{n.Name, n.Zone, "has not told this leader anything yet"})
		case r.RefusedVersion == c.Version:
			refused = append(refused, Blocker{n.Name, n.Zone, clip(r.RefusedReason)})
		case r.PreparedVersion != c.Version:
			waits = append(waits, Blocker{n.Name, n.Zone, "has not prepared it"})
		}
	}
	return waits, refused
}

func (s *State) until(f *membership.State, n *membership.Node, version uint64) string {
	last, ever := uint64(0), false
	look := func(l *membership.Lease) {
		if l.Live(f.ClockMS) && l.MinVersion < version {
			last, ever = max(last, l.ExpiresAtMS), ever || l.Autonomous
		}
	}
	look(&n.Lease)
	for i := range n.EarlierLeases {
		look(&n.EarlierLeases[i])
	}
	if ever {
		return "until it is heard or forgotten"
	}
	return fmt.Sprintf("for %d ms at most", last-f.ClockMS)
}

// Next gives what the leader should add to the log, nil if the change has to wait.
func (s *State) Next(f *membership.State, heard func(*membership.Node) *NodeReport, without Guard) *Op {
	c := s.Current
	if c == nil {
		return nil
	}
	waits, refused := s.Blockers(f, heard)
	switch c.Step {
	case Preparing:
		late := f.ClockMS >= c.DecideByMS
		switch {
		case without.Has(PrepareAll) && 2*(len(waits)+len(refused)) < len(f.Nodes()):
			return &Op{Kind: "decide", ChangeNumber: c.Number, FleetEpoch: f.Epoch}
		case len(refused) > c.Proposal.MaxLeftBehind:
			return &Op{Kind: "off", ChangeNumber: c.Number, Reason: "refused by " + reasons(refused)}
		case len(waits) == 0 || late && len(waits)+len(refused) <= c.Proposal.MaxLeftBehind && f.ClockMS >= f.UnknownLeasesUntilMS:
			var left []string
			for _, w := range append(refused, waits...) {
				left = append(left, w.Node)
			}
			return &Op{Kind: "decide", ChangeNumber: c.Number, FleetEpoch: f.Epoch, LeftBehind: left}
		case late:
			return &Op{Kind: "off", ChangeNumber: c.Number, Reason: fmt.Sprintf("not prepared within %d ms: %s", c.Proposal.PrepareWithinMS,
				reasons(waits))}
		}
	case Decided:
		if len(waits) == 0 || without.Has(LeaseGuard) {
			return &Op{Kind: "force", ChangeNumber: c.Number}
		}
	case Committed:
		if len(waits) == 0 || without.Has(LeaseGuard) {
			return &Op{Kind: "settle", ChangeNumber: c.Number}
		}
	}
	return nil
}

func clip(s string) string {
	if len(s) > maxWhy {
		return s[:maxWhy] + "..."
	}
	return s
}

// Summarize names some, and how many more there are.
func Summarize(names []string) string {
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}

func reasons(ws []Blocker) string {
	var out []string
	for _, w := range ws {
		out = append(out, w.Node+" ("+w.Reason+")")
	}
	return Summarize(out)
}

// Snapshot and Load keep the state in a snapshot.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads what Save gave.
func Restore(raw []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("a saved policy: %w", err)
	}
	return s, nil
}

// Guard is a set of guards that are taken out, for the laboratory alone: with one out a promise has to break.
type Guard uint

// The guards.
const (
	LeaseGuard   Guard = 1 << iota // nobody is counted out before its lease has run out
	Fence                          // a node whose lease ran out serves nothing
	PrepareAll                     // all who may serve have prepared, not just most
	DecideOnce                     // what is decided is not taken back
	Incarnation                    // a replaced incarnation gets no more time
	NoWayBack                      // a node never goes back to an older version
	Shadow                         // a version is tried before a node says that it is prepared
	Generation                     // a restored group is a new generation, and nodes go by the newest they know
	Proof                          // a group that nodes know more of than it does itself grants nothing
	ListenFirst                    // and a new leader hears the nodes before it grants
	ArrivalOrder                   // nodes are taken in by a group in the order in which they asked
)

var guardNames = []string{"lease", "fence", "prepare-all", "decide-once", "incarnation", "no-way-back", "shadow", "generation", "proof",
	"listen-first", "arrival-order"}

// Has tells whether a guard is out.
func (g Guard) Has(one Guard) bool { return g&one != 0 }

// GuardNamed gives a guard by its name.
func GuardNamed(name string) (Guard, error) {
	for i, n := range guardNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, fmt.Errorf("guard %q, expected one of %s", name, strings.Join(GuardNames(), ", "))
}

// GuardNames lists those of a change of policy; the others are those of coming back.
func GuardNames() []string { return guardNames[:7] }

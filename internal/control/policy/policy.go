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
	Held      = "held"      // decided, and nobody serves under the older one any more before it comes into force
	InForce   = "in force"  // it may be served under; some may not have heard yet
	Settled   = "settled"   // and nobody can serve under an older one any more
	CalledOff = "called off"
)

// Bounds.
const (
	maxPast   = 64  // changes that ended and are still told about
	maxEvents = 64  // of one change
	maxNames  = 8   // nodes named in a reason
	maxWhy    = 300 // bytes of one node's reason
	maxReason = 2000
	MinWithin = 1000
	MaxWithin = 24 * 3600_000
)

// Rules are what the document of a version says of leases and of the group's absence.
type Rules struct {
	LeaseMS uint64        `json:"lease_ms"`
	Alone   bool          `json:"alone"` // when_alone = go-on
	Zones   api.ZoneRules `json:"zones,omitzero"`
}

// Before is the rules until a version is in force. Ten seconds outlast a group's failover several times; a
// fleet that nobody has given a policy goes on without the group.
var Before = Rules{LeaseMS: 10_000, Alone: true}

// Propose asks for a change to a version that the group keeps.
type Propose struct {
	Version   uint64 `json:"version"`
	Exclusive bool   `json:"exclusive,omitempty"` // no moment at which two versions are served under
	Within    uint64 `json:"within_ms"`           // to prepare in
	Spare     int    `json:"spare,omitempty"`     // nodes at most that may be left behind, out of service
	Author    string `json:"author"`
	Reason    string `json:"reason"`
	Key       string `json:"key"` // the asking's own: repeated under it, it counts once
}

// Op is one entry of the log.
type Op struct {
	Kind    string   `json:"op"` // propose, decide, off, force, settle
	Number  uint64   `json:"number,omitempty"`
	Propose *Propose `json:"propose,omitempty"`
	Epoch   uint64   `json:"epoch,omitempty"` // decide: all nodes of this epoch of the fleet were heard
	Left    []string `json:"left,omitempty"`  // decide: but for these, which stay behind
	Why     string   `json:"why,omitempty"`   // off
	By      string   `json:"by,omitempty"`    // off: the operator, or empty for the rules
}

// Event is one thing that happened to a change.
type Event struct {
	Clock uint64 `json:"clock_ms"`
	Text  string `json:"text"`
}

// Change is one change.
type Change struct {
	Number  uint64  `json:"number"`
	Version uint64  `json:"version"`
	From    uint64  `json:"from"`
	Hash    string  `json:"hash"` // of the version's text
	Rules   Rules   `json:"rules"`
	Step    string  `json:"step"`
	Propose Propose `json:"propose"`
	Until   uint64  `json:"until"`    // it has to be decided by then
	Begun   uint64  `json:"begun"`    // the group's time
	Decided uint64  `json:"decided"`  // 0: not yet
	Forced  uint64  `json:"in_force"` //
	Ended   uint64  `json:"ended"`    // settled or called off
	Why     string  `json:"why,omitempty"`
	Events  []Event `json:"events"`
}

// State is what all instances know of changes.
type State struct {
	Number uint64    `json:"number"` // of the newest change
	Need   uint64    `json:"need"`   // the newest decided version: nothing older may be served under by who heard
	Force  uint64    `json:"force"`  // the newest in force
	Hash   string    `json:"hash"`   // of its text
	Rules  Rules     `json:"rules"`  // it has, once there is one
	Now    *Change   `json:"now,omitempty"`
	Past   []*Change `json:"past,omitempty"` // ended, the oldest first
}

// World is what applying asks of the rest of the replicated state.
type World interface {
	Last() uint64
	// Judge reads a version and tells why it may not come after another.
	Judge(version, from uint64) (Rules, string, error)
}

// Result is the end of an op.
type Result struct {
	Kind   string
	Number uint64 // of the change it is about
	Key    string // of the asking, for a propose
	Err    string // it does not count, and why
}

func (c *Change) event(clock uint64, format string, args ...any) {
	if len(c.Events) < maxEvents {
		c.Events = append(c.Events, Event{clock, fmt.Sprintf(format, args...)})
	}
}

// Valid says what is wrong with a propose before it is proposed to the group.
func (p *Propose) Valid() error {
	switch {
	case p.Version == 0:
		return fmt.Errorf("version: found 0, expected one of the group's")
	case p.Within < MinWithin || p.Within > MaxWithin:
		return fmt.Errorf("within_ms: found %d, expected %d to %d", p.Within, MinWithin, MaxWithin)
	case p.Spare < 0 || p.Spare > membership.MaxNodes:
		return fmt.Errorf("spare: found %d, expected 0 to %d", p.Spare, membership.MaxNodes)
	case p.Author == "" || len(p.Author) > 200:
		return fmt.Errorf("author: found %d bytes, expected 1 to 200", len(p.Author))
	case len(p.Reason) > maxReason:
		return fmt.Errorf("reason: found %d bytes, expected at most %d", len(p.Reason), maxReason)
	case len(p.Key) < 8 || len(p.Key) > 80:
		return fmt.Errorf("key: found %d bytes, expected 8 to 80", len(p.Key))
	}
	return nil
}

// Find gives a change by its number, nil if it is not known (any more).
func (s *State) Find(number uint64) *Change {
	if s.Now != nil && s.Now.Number == number {
		return s.Now
	}
	for _, c := range s.Past {
		if c.Number == number {
			return c
		}
	}
	return nil
}

func (s *State) keyed(key string) *Change {
	if s.Now != nil && s.Now.Propose.Key == key {
		return s.Now
	}
	for _, c := range s.Past {
		if c.Propose.Key == key {
			return c
		}
	}
	return nil
}

// Apply plays one op. What no longer holds counts for nothing, so that an op that was proposed twice, or by
// two leaders, is done once.
func (s *State) Apply(op *Op, f *membership.State, w World, without Guard) Result {
	if op.Kind == "propose" {
		return s.propose(op.Propose, f, w)
	}
	c := s.Now
	r := Result{Kind: op.Kind, Number: op.Number}
	if c == nil || c.Number != op.Number {
		r.Err = fmt.Sprintf("change %d is not under way", op.Number)
		return r
	}
	wrong := func(want string) Result {
		r.Err = fmt.Sprintf("change %d is %s, expected %s", c.Number, c.Step, want)
		return r
	}
	switch op.Kind {
	case "decide":
		if c.Step != Preparing {
			return wrong(Preparing)
		}
		if op.Epoch != f.Epoch && !without.Has(PrepareAll) {
			r.Err = fmt.Sprintf("decided for the fleet of epoch %d, and it is in %d: a node joined", op.Epoch, f.Epoch)
			return r
		}
		s.Need, c.Decided = c.Version, f.Clock
		c.event(f.Clock, "decided")
		if len(op.Left) > 0 {
			c.event(f.Clock, "left behind, out of service: %s", Listed(op.Left))
		}
		c.Step = Held
		if !c.Propose.Exclusive {
			s.force(f)
		}
	case "force":
		if c.Step != Held {
			return wrong(Held)
		}
		if left := f.Under(c.Version); len(left) > 0 && !without.Has(LeaseGuard) {
			r.Err = fmt.Sprintf("still under an older one: %s", Listed(left))
			return r
		}
		s.force(f)
	case "settle":
		if c.Step != InForce {
			return wrong(InForce)
		}
		if left := f.Under(c.Version); len(left) > 0 && !without.Has(LeaseGuard) {
			r.Err = fmt.Sprintf("maybe still under an older one: %s", Listed(left))
			return r
		}
		c.Step, c.Ended = Settled, f.Clock
		c.event(f.Clock, "settled: nobody can serve under an older one")
		s.past(c)
	case "off":
		if c.Step != Preparing && !(without.Has(DecideOnce) && c.Step != Settled) {
			return wrong(Preparing + ", as what is decided is not taken back; go back by a change to the older text")
		}
		if c.Step != Preparing { // only with the guard out
			s.Need, s.Force = c.From, c.From
		}
		c.Step, c.Ended, c.Why = CalledOff, f.Clock, op.Why
		if op.By != "" {
			c.event(f.Clock, "called off by %s: %s", op.By, op.Why)
		} else {
			c.event(f.Clock, "called off: %s", op.Why)
		}
		s.past(c)
	default:
		r.Err = fmt.Sprintf("op %q, expected propose, decide, force, settle or off", op.Kind)
	}
	return r
}

func (s *State) force(f *membership.State) {
	c := s.Now
	s.Force, s.Hash, s.Rules = c.Version, c.Hash, c.Rules
	c.Step, c.Forced = InForce, f.Clock
	c.event(f.Clock, "in force")
}

func (s *State) past(c *Change) {
	s.Past = append(s.Past, c)
	if len(s.Past) > maxPast {
		s.Past = s.Past[1:]
	}
	s.Now = nil
}

func (s *State) propose(p *Propose, f *membership.State, w World) Result {
	r := Result{Kind: "propose", Key: p.Key}
	if was := s.keyed(p.Key); was != nil {
		r.Number = was.Number
		return r
	}
	switch {
	case s.Now != nil:
		r.Err = fmt.Sprintf("change %d to version %d is %s; it has to end first", s.Now.Number, s.Now.Version,
			s.Now.Step)
	case p.Version <= s.Need:
		r.Err = fmt.Sprintf("version %d, expected one after %d, which is in force: to go back, put the older text "+
			"again, as a new version", p.Version, s.Need)
	case p.Version > w.Last():
		r.Err = fmt.Sprintf("version %d, expected at most %d, the group's last", p.Version, w.Last())
	case p.Exclusive && s.Grants().Alone:
		r.Err = "exclusive, while when_alone = go-on is in force: a node that is cut off would hold up all others"
	}
	if r.Err != "" {
		return r
	}
	rules, hash, err := w.Judge(p.Version, s.Force)
	if err != nil {
		r.Err = clip(err.Error())
		return r
	}
	s.Number++
	s.Now = &Change{Number: s.Number, Version: p.Version, From: s.Force, Step: Preparing, Propose: *p,
		Begun: f.Clock, Until: f.Clock + p.Within, Hash: hash, Rules: rules}
	s.Now.event(f.Clock, "proposed by %s: %s", p.Author, p.Reason)
	r.Number = s.Number
	return r
}

// Restore makes a version the one in force of a group that is restored, without a change that led to it. One that was
// under way is called off: whoever knew its end is gone.
func (s *State) Restore(version uint64, hash string, rules Rules, clock uint64, proof string) {
	if c := s.Now; c != nil {
		if c.Step != Preparing && c.Version == version {
			c.Step = Settled
			c.event(clock, "the group was restored, and has this version: %s", proof)
		} else {
			c.Step, c.Why = CalledOff, "the group was restored: "+clip(proof)
			c.event(clock, "called off: %s", c.Why)
		}
		c.Ended = clock
		s.past(c)
	}
	if version == 0 { // nobody was told of any
		return
	}
	if hash == "" { // nobody has its text: whatever comes next is newer than what was promised, and nothing is in force
		s.Need, s.Force, s.Hash, s.Rules = version-1, 0, "", Rules{}
		return
	}
	s.Number++
	s.Need, s.Force, s.Hash, s.Rules = version, version, hash, rules
	c := &Change{Number: s.Number, Version: version, From: version, Step: Settled, Hash: hash, Rules: rules, Begun: clock,
		Decided: clock, Forced: clock, Ended: clock, Propose: Propose{Version: version, Author: "recover", Reason: clip(proof)}}
	c.event(clock, "restored: %s", proof)
	s.past(c)
}

// Grants gives the rules that leases are given under now.
func (s *State) Grants() Rules {
	if s.Force == 0 {
		return Before
	}
	return s.Rules
}

// Report is what a node told the leader that leads now.
type Report struct {
	Prepared uint64
	Refused  uint64
	Why      string
	Serves   uint64
	Fenced   string
}

// Wait is a node that a change waits for, and why.
type Wait struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Why  string `json:"why"`
}

// Waits names whom the change under way waits for. heard gives a node's report, nil for one that has not told
// this leader anything.
func (s *State) Waits(f *membership.State, heard func(*membership.Node) *Report) (waits []Wait, refused []Wait) {
	c := s.Now
	if c == nil {
		return nil, nil
	}
	if f.Clock < f.Hush { // in a restored group's first moments nobody is in, and all of them may be on their way
		waits = append(waits, Wait{membership.Unknown, "", fmt.Sprintf("may act on their leases for %d ms at most", f.Hush-f.Clock)})
	}
	for _, n := range f.Nodes() {
		if c.Step != Preparing {
			if f.May(n, c.Version) {
				waits = append(waits, Wait{n.Name, n.Zone, "may serve under an older version " + s.until(f, n, c.Version)})
			}
			continue
		}
		if n.Out != "" {
			if n.Lease.Live(f.Clock) && n.Lease.Alone {
				waits = append(waits, Wait{n.Name, n.Zone, "is silent and may serve alone, as when_alone = go-on is in force"})
			}
			continue
		}
		r := heard(n)
		switch {
		case r == nil:
			waits = append(waits, Wait{n.Name, n.Zone, "has not told this leader anything yet"})
		case r.Refused == c.Version:
			refused = append(refused, Wait{n.Name, n.Zone, clip(r.Why)})
		case r.Prepared != c.Version:
			waits = append(waits, Wait{n.Name, n.Zone, "has not prepared it"})
		}
	}
	return waits, refused
}

func (s *State) until(f *membership.State, n *membership.Node, version uint64) string {
	last, ever := uint64(0), false
	look := func(l *membership.Lease) {
		if l.Live(f.Clock) && l.Floor < version {
			last, ever = max(last, l.Until), ever || l.Alone
		}
	}
	look(&n.Lease)
	for i := range n.Old {
		look(&n.Old[i])
	}
	if ever {
		return "until it is heard or forgotten"
	}
	return fmt.Sprintf("for %d ms at most", last-f.Clock)
}

// Next gives what the leader should add to the log, nil if the change has to wait.
func (s *State) Next(f *membership.State, heard func(*membership.Node) *Report, without Guard) *Op {
	c := s.Now
	if c == nil {
		return nil
	}
	waits, refused := s.Waits(f, heard)
	switch c.Step {
	case Preparing:
		late := f.Clock >= c.Until
		switch {
		case without.Has(PrepareAll) && 2*(len(waits)+len(refused)) < len(f.Nodes()):
			return &Op{Kind: "decide", Number: c.Number, Epoch: f.Epoch}
		case len(refused) > c.Propose.Spare:
			return &Op{Kind: "off", Number: c.Number, Why: "refused by " + reasons(refused)}
		case len(waits) == 0 || late && len(waits)+len(refused) <= c.Propose.Spare && f.Clock >= f.Hush:
			var left []string
			for _, w := range append(refused, waits...) {
				left = append(left, w.Node)
			}
			return &Op{Kind: "decide", Number: c.Number, Epoch: f.Epoch, Left: left}
		case late:
			return &Op{Kind: "off", Number: c.Number, Why: fmt.Sprintf("not prepared within %d ms: %s", c.Propose.Within,
				reasons(waits))}
		}
	case Held:
		if len(waits) == 0 || without.Has(LeaseGuard) {
			return &Op{Kind: "force", Number: c.Number}
		}
	case InForce:
		if len(waits) == 0 || without.Has(LeaseGuard) {
			return &Op{Kind: "settle", Number: c.Number}
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

// Listed names some, and how many more there are.
func Listed(names []string) string {
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}

func reasons(ws []Wait) string {
	var out []string
	for _, w := range ws {
		out = append(out, w.Node+" ("+w.Why+")")
	}
	return Listed(out)
}

// Save and Load keep the state in a snapshot.
func (s *State) Save() ([]byte, error) { return json.Marshal(s) }

// Load reads what Save gave.
func Load(raw []byte) (*State, error) {
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

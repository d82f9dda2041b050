package steward

import (
	"encoding/json"
	"errors"
	"fmt"

	"umberwinch/internal/fleet"
	"umberwinch/internal/policy"
)

// Bounds of what the leader keeps in memory.
const (
	maxOpen = 20000 // askings that wait for a beat; past it a node is told to come again
	maxOps  = 64    // operators' askings that wait
)

// Times. A beat a second has all renewals that came meanwhile, so a thousand are one entry; under leases so short that
// a second is much of them it comes eight times a lease. While a change is under way a promise or a joining waits for a
// tenth of a second at most.
const (
	beatRest   = 1000
	beatShare  = 8
	beatChange = 100
	// An op or a beat that was not applied after this long was lost with a leader or on the way to one.
	lostAfter = 5000
)

// ErrBusy is told to who may ask again shortly.
var ErrBusy = errors.New("too many nodes ask at once")

// ErrNoLead is told to whoever asked an instance that does not lead.
var ErrNoLead = errors.New("this instance does not lead")

// Entry is something for the log.
type Entry struct {
	Kind string
	Body []byte
}

// open is one asking that waits for a beat.
type open struct {
	ask  fleet.Ask
	done func(fleet.Told, error)
}

type opening struct {
	op    policy.Op
	since uint64
	sent  bool
	done  func(policy.Result, error)
}

// Steward is what a leader does about nodes. All of it is in memory: a new leader hears all nodes anew.
type Steward struct {
	Without policy.Guard

	cluster string
	leads   bool
	term    uint64
	now     uint64 // ms that went by here, never back
	beatAt  uint64 // when the last beat was applied here, or the lead began
	sentAt  uint64 // when a beat went out that is not applied yet; 0: none is out
	no      uint64 // of the beat made last
	waits   []open // go into the next beat
	out     []open // are in the one that is out
	opAt    uint64 // when an op of the rules went out; 0: none is out
	ops     []*opening
	forgets []string
	reports map[string]*told // by node
	Beats   uint64           // sent by this instance
	Bytes   uint64           // of them
}

// told is a report and whose it is.
type told struct {
	lease uint32
	policy.Report
}

// New gives a steward that does not lead.
func New(without policy.Guard) *Steward {
	return &Steward{Without: without, reports: map[string]*told{}}
}

// Leads tells whether this instance does the work at present.
func (s *Steward) Leads() bool { return s.leads }

// Lead tells of who leads. Losing the lead lets all go that wait; another term hears everybody anew.
func (s *Steward) Lead(p *Part, cluster string, leads bool, term uint64) {
	if leads == s.leads && term == s.term && cluster == s.cluster {
		return
	}
	s.drop(ErrNoLead)
	s.cluster, s.leads, s.term = cluster, leads, term
	s.beatAt, s.sentAt, s.opAt, s.no = s.now, 0, 0, 0
	s.reports, s.forgets = map[string]*told{}, nil
}

// drop lets all askings go.
func (s *Steward) drop(err error) {
	for _, list := range [][]open{s.waits, s.out} {
		for _, o := range list {
			o.done(fleet.Told{}, err)
		}
	}
	for _, o := range s.ops {
		o.done(policy.Result{}, err)
	}
	s.waits, s.out, s.ops = nil, nil, nil
}

// Ask takes what a node says. done is called once, at once or after a beat.
func (s *Steward) Ask(p *Part, a fleet.Ask, done func(fleet.Told, error)) {
	if !s.leads {
		done(fleet.Told{}, ErrNoLead)
		return
	}
	if a.Lease == 0 {
		if err := a.Join.Valid(); err != nil {
			done(fleet.Told{}, err)
			return
		}
		s.wait(a, done)
		return
	}
	n := p.Fleet.In(a.Lease)
	if n == nil && !a.Bye {
		done(s.tell(p, fleet.Told{Gone: "its lease ran out or its name began anew"}), nil)
		return
	}
	if n != nil {
		s.reports[n.Name] = &told{a.Lease, policy.Report{Prepared: a.Prepared, Refused: a.Refused, Why: a.Why,
			Serves: a.Serves, Fenced: a.Fenced}}
	}
	if n != nil && !a.Bye && p.Fleet.Clock > a.Echo+fleet.Span(p.grant().LeaseMS) {
		// It has not heard an answer for a lease's time, so it serves nothing: what it says reaches the group, and nothing
		// comes back. Its askings must not keep it in, or a change would wait for it.
		done(s.tell(p, fleet.Told{Lease: a.Lease}), nil)
		return
	}
	// A promise that the state lacks goes through the log as well: a change waits for it.
	if a.Renew || a.Bye || n.Lease.Floor < a.Floor && s.behind(p, n) {
		s.wait(a, done)
		return
	}
	done(s.tell(p, fleet.Told{Lease: a.Lease}), nil)
}

// behind tells whether a change waits for this node's promise.
func (s *Steward) behind(p *Part, n *fleet.Node) bool {
	c := p.Policy.Now
	return c != nil && c.Step != policy.Preparing && n.Lease.Floor < c.Version
}

func (s *Steward) wait(a fleet.Ask, done func(fleet.Told, error)) {
	if len(s.waits) >= maxOpen {
		done(fleet.Told{}, ErrBusy)
		return
	}
	s.waits = append(s.waits, open{a, done})
}

// tell fills in what holds now.
func (s *Steward) tell(p *Part, t fleet.Told) fleet.Told {
	t.Cluster, t.Term, t.Index, t.Clock = s.cluster, s.term, p.Index, p.Fleet.Clock
	t.Need, t.Force = p.Policy.Need, fleet.Named{Version: p.Policy.Force, Hash: p.Policy.Hash}
	g := p.grant()
	t.Alone = g.Alone
	t.Again = g.LeaseMS / 4
	if c := p.Policy.Now; c != nil {
		// While a change is under way whoever it waits for is heard soon; reports cost no entry.
		t.Again = min(t.Again, max(200, uint64(len(p.Fleet.Nodes()))/5))
		if c.Step == policy.Preparing {
			t.Prepare = fleet.Named{Version: c.Version, Hash: c.Hash}
		}
	}
	return t
}

// Op takes what an operator asks; done is called once it is applied here, or can't be.
func (s *Steward) Op(op policy.Op, done func(policy.Result, error)) {
	switch {
	case !s.leads:
		done(policy.Result{}, ErrNoLead)
	case len(s.ops) >= maxOps:
		done(policy.Result{}, ErrBusy)
	default:
		s.ops = append(s.ops, &opening{op: op, since: s.now, done: done})
	}
}

// Forget takes names off the list with the next beat.
func (s *Steward) Forget(names ...string) error {
	if !s.leads {
		return ErrNoLead
	}
	if len(s.forgets)+len(names) > maxOps {
		return ErrBusy
	}
	s.forgets = append(s.forgets, names...)
	return nil
}

// heard gives a node's report, as its present incarnation told it.
func (s *Steward) heard(n *fleet.Node) *policy.Report {
	r := s.reports[n.Name]
	if r == nil || r.lease != n.Lease.ID && !s.Without.Has(policy.Incarnation) {
		return nil
	}
	return &r.Report
}

// Heard gives the reports for whoever shows them.
func (s *Steward) Heard() func(*fleet.Node) *policy.Report { return s.heard }

// Tick tells of ms that went by and gives what the leader adds to the log.
func (s *Steward) Tick(p *Part, ms uint64) []Entry {
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
	if s.sentAt != 0 && s.now-s.sentAt > lostAfter {
		s.sentAt = 0
		s.waits, s.out = append(s.out, s.waits...), nil
	}
	since, each := s.now-s.beatAt, min(beatRest, max(beatChange, p.grant().LeaseMS/beatShare))
	if s.sentAt == 0 && (since >= beatRest || since >= each && len(s.waits)+len(s.forgets) > 0 ||
		p.Policy.Now != nil && since >= beatChange && len(s.waits) > 0) {
		b := s.beat(p)
		s.sentAt = s.now
		s.out, s.waits, s.forgets = s.waits, nil, nil
		add(KindBeat, b)
		s.Beats++
		s.Bytes += uint64(len(out[0].Body))
	}
	if s.opAt != 0 && s.now-s.opAt > lostAfter {
		s.opAt = 0
	}
	if s.opAt == 0 {
		if op := p.Policy.Next(p.Fleet, s.heard, s.Without); op != nil {
			s.opAt = s.now
			add(KindPolicy, op)
		}
	}
	for _, o := range s.ops {
		if !o.sent || s.now-o.since > lostAfter {
			o.sent, o.since = true, s.now
			add(KindPolicy, &o.op)
		}
	}
	return out
}

// beat puts together what was asked since the last one.
func (s *Steward) beat(p *Part) *fleet.Beat {
	s.no++
	b := &fleet.Beat{Term: s.term, No: s.no, After: p.Fleet.Beats, Span: s.now - s.beatAt, Floor: p.Policy.Need, Forget: s.forgets}
	for i := range s.waits {
		switch a := &s.waits[i].ask; {
		case a.Bye:
			b.Bye = append(b.Bye, a.Lease)
		case a.Lease == 0:
			b.Join = append(b.Join, a.Join)
		case a.Floor >= b.Floor:
			b.Renew = append(b.Renew, a.Lease)
		default:
			b.Behind = append(b.Behind, a.Lease)
		}
	}
	return b
}

// Applied tells the end of an entry that was this part's, after the part has played it.
func (s *Steward) Applied(p *Part, end any) {
	switch e := end.(type) {
	case BeatDone:
		// Time counts from the beat's application on, whoever made it: none of it is counted twice.
		if e.Counted {
			s.beatAt = s.now
		}
		mine := e.Term == s.term && e.No == s.no
		if s.sentAt == 0 || !mine && !e.Counted {
			return
		}
		out := s.out
		s.sentAt, s.out = 0, nil
		if !mine || !e.Counted { // an earlier leader's came between: the one that is out counts for nothing
			s.waits = append(out, s.waits...)
			return
		}
		joined := map[string]*fleet.Joined{}
		for i := range e.Joined {
			joined[e.Joined[i].Nonce] = &e.Joined[i]
		}
		for _, o := range out {
			o.done(s.answer(p, &o.ask, &e, joined))
		}
		for name, r := range s.reports { // no order is needed: each is judged alone
			if p.Fleet.In(r.lease) == nil && !s.Without.Has(policy.Incarnation) {
				delete(s.reports, name)
			}
		}
	case policy.Result:
		s.opAt = 0
		kept := s.ops[:0]
		for _, o := range s.ops {
			if o.sent && (e.Key != "" && o.op.Propose != nil && o.op.Propose.Key == e.Key ||
				e.Key == "" && o.op.Kind == e.Kind && o.op.Number == e.Number) {
				o.done(e, nil)
			} else {
				kept = append(kept, o)
			}
		}
		s.ops = kept
	}
}

// answer gives one node's answer after its beat.
func (s *Steward) answer(p *Part, a *fleet.Ask, e *BeatDone, joined map[string]*fleet.Joined) (
	fleet.Told, error) {
	t := fleet.Told{Lease: a.Lease}
	if a.Bye {
		return s.tell(p, t), nil
	}
	if a.Lease == 0 {
		j := joined[a.Nonce]
		if j == nil {
			return t, fmt.Errorf("the beat had no joining of %s", a.Name)
		}
		if j.Refused != "" {
			t.Gone, t.Wait = j.Refused, j.Wait
			return s.tell(p, t), nil
		}
		t.Lease = j.Lease
	}
	granted, known := e.Granted[t.Lease]
	switch {
	case !known:
		t.Gone = "its lease ran out or its name began anew"
	case granted:
		t.LeaseMS = e.LeaseMS
	}
	return s.tell(p, t), nil
}

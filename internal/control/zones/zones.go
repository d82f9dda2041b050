// Package zones decides how a fleet leaves a zone that fails and comes back to it. It owns the zones' states, the
// shares and ceilings that go with them, and the evidence that led there. zones.go is what the log made of it, the
// same at every instance: each change is one entry and one epoch, which nodes promise with their leases as they
// promise a version. watch.go is what the leader saw, view by view; next.go what it would add to the log from both.
// gate.go and meter.go are a node's side. No clock, no chance, no I/O; it must never have two zones act on parts of a
// ceiling that come to more than the ceiling.
package zones

import (
	"encoding/json"
	"fmt"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/recovery"
)

// Steps of a zone.
const (
	In        = "in"        // takes what comes
	Leaving   = "leaving"   // decided; some node may not have heard yet
	Out       = "out"       // left, wholly or in part: nobody acts on an older epoch
	Returning = "returning" // at a share
)

// Bounds.
const (
	MaxZones  = 64
	maxEvents = 64 // of one zone: the newest are kept
	maxWord   = 300
)

// Bore is what a zone's services below bore when it was well: the peak in runs a second and in runs under way, which
// slowly falls, and what a run and a call usually took.
type Bore struct {
	Runs   float64 `json:"runs"` // a second
	Flight float64 `json:"in_flight"`
	RunMS  float64 `json:"run_ms"`
	CallMS float64 `json:"call_ms"`
	Opened float64 `json:"opened"` // connections below, a second
	Came   float64 `json:"came"`   // first tries a second, usually
}

// Part is what a lease has of a ceiling, in runs a second.
type Part struct {
	Lease uint32  `json:"lease"`
	Rate  float64 `json:"rate"`
}

// Event is one thing that was decided, and on what.
type Event struct {
	Clock uint64  `json:"clock_ms"`
	Epoch uint64  `json:"epoch"`
	Text  string  `json:"text"`
	Stay  float64 `json:"stay,omitempty"` // value a second expected by staying, and by going
	Go    float64 `json:"go,omitempty"`
}

// Zone is one zone.
type Zone struct {
	Name    string  `json:"name"`
	Step    string  `json:"step"`
	Share   int     `json:"share"` // of fleet.Whole
	Worth   float64 `json:"worth,omitempty"`
	Epoch   uint64  `json:"epoch"` // of its last change
	Since   uint64  `json:"since"` // the group's time of it, and then of its settling
	Cause   string  `json:"cause,omitempty"`
	By      string  `json:"by,omitempty"` // the operator who did it; empty for the rules
	Had     int     `json:"had,omitempty"`
	Ceiling float64 `json:"ceiling,omitempty"` // runs a second; counts while it returns
	Dials   float64 `json:"dials,omitempty"`
	Parts   []Part  `json:"parts,omitempty"` // of the ceiling, by lease
	Was     []Part  `json:"was,omitempty"`   // until the epoch has settled: what may still be acted on
	Flaps   int     `json:"flaps,omitempty"`
	Back    uint64  `json:"back,omitempty"`  // it does not return before
	Well    uint64  `json:"well,omitempty"`  // in since
	Held    uint64  `json:"held,omitempty"`  // nothing is decided by rules before
	Drill   uint64  `json:"drill,omitempty"` // a drill ends then
	Bore    Bore    `json:"bore"`
	Events  []Event `json:"events,omitempty"`
}

// State is what all instances know of zones.
type State struct {
	Epoch   uint64  `json:"epoch"`
	Settled uint64  `json:"settled"` // nobody acts on an epoch before it
	Retry   int     `json:"retry,omitempty"`
	Full    bool    `json:"full,omitempty"`
	Zones   []*Zone `json:"zones,omitempty"` // by name
}

// Op is one entry of the log.
type Op struct {
	Kind    string          `json:"op"` // leave, settle, step, split, in, back, bore, hold
	Zone    string          `json:"zone,omitempty"`
	Epoch   uint64          `json:"epoch"` // it was decided in
	Share   int             `json:"share,omitempty"`
	Worth   float64         `json:"worth,omitempty"`
	Ceiling float64         `json:"ceiling,omitempty"`
	Dials   float64         `json:"dials,omitempty"`
	Retry   int             `json:"retry,omitempty"`
	Full    bool            `json:"full,omitempty"`
	Cause   string          `json:"cause,omitempty"`
	Why     string          `json:"why,omitempty"`
	By      string          `json:"by,omitempty"`
	Stay    float64         `json:"stay,omitempty"`
	Go      float64         `json:"go,omitempty"`
	Wait    uint64          `json:"wait_ms,omitempty"` // leave, back: it returns no sooner; hold: for so long
	Drill   uint64          `json:"drill_ms,omitempty"`
	Bores   map[string]Bore `json:"bores,omitempty"`
	Key     string          `json:"key,omitempty"` // an operator's asking
}

// Result is the end of an op.
type Result struct {
	Kind  string
	Zone  string
	Key   string
	Epoch uint64
	Step  string
	Share int
	Err   string // it does not count, and why
}

// Find gives a zone, nil if it is not known.
func (s *State) Find(name string) *Zone {
	i := sort.Search(len(s.Zones), func(i int) bool { return s.Zones[i].Name >= name })
	if i < len(s.Zones) && s.Zones[i].Name == name {
		return s.Zones[i]
	}
	return nil
}

// Fleet names the whole fleet where it comes back from a restart of most of its nodes: it stands like a zone that returns.
// No zone of nodes can have the name.
const Fleet = "*"

// has tells whether a node is of a zone.
func (z *Zone) has(n *membership.Node) bool { return z.Name == Fleet || n.Zone == z.Name }

// know gives a zone, made if nodes are of it.
func (s *State) know(name string, f *membership.State) *Zone {
	if z := s.Find(name); z != nil {
		return z
	}
	if len(s.Zones) >= MaxZones {
		return nil
	}
	for _, n := range f.Nodes() {
		if n.Zone == name || name == Fleet {
			z := &Zone{Name: name, Step: In, Share: api.FullShare}
			s.Zones = append(s.Zones, z)
			sort.Slice(s.Zones, func(i, k int) bool { return s.Zones[i].Name < s.Zones[k].Name })
			return z
		}
	}
	return nil
}

// StepOf gives how a zone stands; one that was never decided about is in.
func (s *State) StepOf(name string) (step string, share int) {
	if z := s.Find(name); z != nil {
		return z.Step, z.Share
	}
	return In, api.FullShare
}

// othersIn tells whether another zone with nodes is in.
func (s *State) othersIn(name string, f *membership.State) bool {
	for _, n := range f.Nodes() {
		if n.Out == "" && n.Zone != name {
			if step, _ := s.StepOf(n.Zone); step == In {
				return true
			}
		}
	}
	return false
}

func (z *Zone) event(clock, epoch uint64, op *Op, format string, args ...any) {
	e := Event{Clock: clock, Epoch: epoch, Text: fmt.Sprintf(format, args...)}
	if op != nil {
		e.Stay, e.Go = op.Stay, op.Go
	}
	z.Events = append(z.Events, e)
	if len(z.Events) > maxEvents {
		z.Events = z.Events[1:]
	}
}

// Valid says what is wrong with an operator's op before it is proposed.
func (op *Op) Valid() error {
	switch {
	case op.Kind != "leave" && op.Kind != "back" && op.Kind != "step" && op.Kind != "hold":
		return fmt.Errorf("op: found %.20q, expected leave, step, back or hold", op.Kind)
	case op.By == "" || len(op.By) > 200:
		return fmt.Errorf("by: found %d bytes, expected 1 to 200", len(op.By))
	case len(op.Why) > 2000:
		return fmt.Errorf("why: found %d bytes, expected at most 2000", len(op.Why))
	case op.Share < 0 || op.Share > api.FullShare:
		return fmt.Errorf("share: found %d, expected 0 to %d", op.Share, api.FullShare)
	case len(op.Key) < 8 || len(op.Key) > 80:
		return fmt.Errorf("key: found %d bytes, expected 8 to 80", len(op.Key))
	case op.Wait > 24*3600_000 || op.Drill > 24*3600_000:
		return fmt.Errorf("wait_ms %d, drill_ms %d: expected a day at most", op.Wait, op.Drill)
	}
	return nil
}

// flapSpan is within which a zone that fails again has flapped: ten minutes are several returns.
const flapSpan = 600_000

// Apply plays one op. What no longer holds counts for nothing: an op names the epoch it was decided in, so that of two
// leaders' decisions about one picture one counts.
func (s *State) Apply(op *Op, f *membership.State, without Guard) Result {
	r := Result{Kind: op.Kind, Zone: op.Zone, Key: op.Key, Epoch: s.Epoch}
	no := func(format string, args ...any) Result {
		r.Err = fmt.Sprintf(format, args...)
		return r
	}
	switch op.Kind {
	case "bore":
		for _, n := range names(op.Bores) {
			if z := s.know(n, f); z != nil {
				z.Bore = op.Bores[n]
			}
		}
		return r
	case "settle":
		if op.Epoch != s.Epoch || s.Settled == s.Epoch {
			return no("epoch %d is settled or past", op.Epoch)
		}
		if left := f.UnderZones(s.Epoch); len(left) > 0 && !without.Has(OneEpoch) {
			return no("%d nodes may act on an older epoch", len(left))
		}
		for _, z := range s.Zones {
			if z.Was = nil; z.Epoch > s.Settled {
				z.Since = f.Clock
			}
			if z.Step == Leaving {
				z.Step = Out
				z.event(f.Clock, s.Epoch, nil, "out: nobody acts on an older epoch")
			}
		}
		s.Settled = s.Epoch
		return r
	}
	z := s.know(op.Zone, f)
	if z == nil || z.Name == Fleet && (op.Kind == "leave" || op.Kind == "back" && op.Share == 0) {
		return no("found no zone %.50q, expected one that nodes are of", op.Zone)
	}
	if op.Kind == "hold" {
		z.Held = f.Clock + op.Wait
		z.event(f.Clock, s.Epoch, nil, "%s: nothing is decided by rules for %d ms", op.By, op.Wait)
		r.Step, r.Share = z.Step, z.Share
		return r
	}
	if op.Epoch != s.Epoch {
		return no("decided in epoch %d, expected %d", op.Epoch, s.Epoch)
	}
	up := op.Kind == "step" || op.Kind == "in" || op.Kind == "split"
	if up && s.Settled != s.Epoch && !without.Has(OneEpoch) {
		return no("epoch %d is not settled: some node may act on an older one", s.Epoch)
	}
	switch op.Kind {
	case "leave":
		if z.Step == Out && z.Share <= op.Share || z.Step == Leaving {
			return no("zone %s is %s already", z.Name, z.Step)
		}
		if !s.othersIn(z.Name, f) {
			return no("zone %s is the last that is in", z.Name)
		}
		if z.Flaps++; f.Clock-z.Well > flapSpan {
			z.Flaps = 0
		}
		if b, known := op.Bores[z.Name]; known {
			z.Bore = b
		}
		z.Had = 0
		for _, n := range f.Nodes() {
			if n.Zone == z.Name && (n.Out == "" || n.Out == membership.Silent && f.Clock-n.OutAt < 60_000) {
				z.Had++
			}
		}
		s.take(z, f, Leaving, op)
		z.Cause, z.By, z.Back = op.Cause, op.By, f.Clock+op.Wait
		if z.Drill = 0; op.Drill > 0 {
			z.Drill = f.Clock + op.Drill
		}
		what := "left"
		if op.Share > 0 {
			what = fmt.Sprintf("left in part, keeps %d of %d by value", op.Share, api.FullShare)
		}
		z.event(f.Clock, s.Epoch, op, "%s: %s%s", what, by(op.By), clip(op.Why))
	case "step":
		if z.Step != Out && z.Step != Returning {
			return no("zone %s is %s, expected it out or returning", z.Name, z.Step)
		}
		if op.Ceiling == 0 { // an operator's
			o, in := *op, 0
			for _, n := range f.Nodes() {
				if z.has(n) && n.Out == "" {
					in++
				}
			}
			o.Ceiling, o.Dials = z.bears(o.Share, in)
			op = &o
		}
		s.take(z, f, Returning, op)
		z.By = op.By
		z.event(f.Clock, s.Epoch, op, "returns at %d of %d, %.0f runs a second at most: %s%s", z.Share, api.FullShare,
			z.Ceiling, by(op.By), clip(op.Why))
	case "split":
		if z.Step != Returning {
			return no("zone %s is %s, expected it returning", z.Name, z.Step)
		}
		op := *op
		op.Share, op.Ceiling, op.Dials, op.Worth = z.Share, z.Ceiling, z.Dials, z.Worth
		since := z.Since
		s.take(z, f, Returning, &op)
		z.Since = since
	case "back":
		if z.Step != Returning {
			return no("zone %s is %s, expected it returning", z.Name, z.Step)
		}
		step := Returning
		if op.Share == 0 {
			step = Leaving
			z.Flaps++
			z.Back = f.Clock + op.Wait
		}
		s.take(z, f, step, op)
		z.Cause, z.By = op.Cause, op.By
		z.event(f.Clock, s.Epoch, op, "back to %d of %d: %s%s", z.Share, api.FullShare, by(op.By), clip(op.Why))
	case "in":
		if z.Step != Returning {
			return no("zone %s is %s, expected it returning", z.Name, z.Step)
		}
		op := *op
		op.Share = api.FullShare
		s.take(z, f, In, &op)
		z.Cause, z.By, z.Worth, z.Ceiling, z.Dials, z.Parts, z.Drill = "", "", 0, 0, 0, nil, 0
		z.Well = f.Clock
		z.event(f.Clock, s.Epoch, &op, "in again: %s%s", by(op.By), clip(op.Why))
	default:
		return no("op %.20q, expected leave, settle, step, split, in, back, bore or hold", op.Kind)
	}
	r.Epoch, r.Step, r.Share = s.Epoch, z.Step, z.Share
	return r
}

// take has a zone go on by an op in a new epoch, and splits the ceiling anew.
func (s *State) take(z *Zone, f *membership.State, step string, op *Op) {
	s.Epoch++
	was := z.Step
	z.Step, z.Share, z.Worth, z.Epoch, z.Since = step, op.Share, op.Worth, s.Epoch, f.Clock
	z.Ceiling, z.Dials = op.Ceiling, op.Dials
	s.Retry, s.Full = op.Retry, op.Full
	if s.allIn() {
		s.Retry, s.Full = 0, false
	}
	z.Was = merge(z.Was, z.Parts)
	z.Parts = split(z, f)
	if was == In {
		z.Was = append([]Part{}, z.Parts...) // there was no ceiling before that could be passed
	}
}

// bears bounds a share: what the zone's services bore, times the share; without a figure of that, a run a second and node. So
// much a small zone may have in any case, or a small share would show nothing; of a large one it would be too much.
// Of connections it is as many as of runs at least: where reqs come singly, each may need one.
func (z *Zone) bears(share, in int) (runs, dials float64) {
	part := float64(share) / api.FullShare
	least := float64(max(1, in))
	if z.Bore.Runs > 0 {
		least = min(least, z.Bore.Runs/16)
	}
	runs = max(z.Bore.Runs*part, least)
	return runs, max(z.Bore.Opened*part, runs)
}

func (s *State) allIn() bool {
	for _, z := range s.Zones {
		if z.Step != In {
			return false
		}
	}
	return true
}

// merge gives for each lease the most it may still act on.
func merge(a, b []Part) []Part {
	most := map[uint32]float64{}
	for _, p := range append(append([]Part{}, a...), b...) {
		most[p.Lease] = max(most[p.Lease], p.Rate)
	}
	out := make([]Part, 0, len(most))
	for id, r := range most {
		out = append(out, Part{id, r})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Lease < out[k].Lease })
	return out
}

// split gives each node that is in an equal part of what is left of the ceiling once the parts are taken off that
// leases hold which may still be acted on, but not by a node that is in: they count as spent.
func split(z *Zone, f *membership.State) []Part {
	if z.Step != Returning {
		return nil
	}
	was := map[uint32]float64{}
	for _, p := range z.Was {
		was[p.Lease] = p.Rate
	}
	var out []Part
	spent, in := 0.0, 0
	held := func(l *membership.Lease) {
		if r, had := was[l.ID]; had && l.Live(f.Clock) {
			out = append(out, Part{l.ID, r})
			spent += r
		}
	}
	for _, n := range f.Nodes() {
		if !z.has(n) {
			continue
		}
		for i := range n.Old {
			held(&n.Old[i])
		}
		if n.Out != "" {
			held(&n.Lease)
		} else {
			in++
		}
	}
	if in > 0 {
		each := max(0, z.Ceiling-spent) / float64(in)
		for _, n := range f.Nodes() {
			if z.has(n) && n.Out == "" {
				out = append(out, Part{n.Lease.ID, each})
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Lease < out[k].Lease })
	return out
}

// rate finds a lease's part.
func rate(ps []Part, lease uint32) (float64, bool) {
	i := sort.Search(len(ps), func(i int) bool { return ps[i].Lease >= lease })
	if i < len(ps) && ps[i].Lease == lease {
		return ps[i].Rate, true
	}
	return 0, false
}

// Order gives what a zone's state means to a node that holds a lease.
func (s *State) Order(zone string, lease uint32, rules *api.ZoneRules, without Guard) api.ZoneOrder {
	o := api.ZoneOrder{Epoch: s.Epoch, Share: api.FullShare, TTLMS: rules.OrderTTLMS, NoCapacityElsewhere: s.Full}
	if !without.Has(RetryBudget) {
		o.RetryBudget = s.Retry
	}
	z := s.Find(zone)
	if z == nil {
		return o
	}
	o.Share, o.PriorityCutoff = z.Share, z.Worth
	if z.Step != In {
		o.RetryBudget = 0 // what it takes is bounded by its share
	}
	if z.Step != Returning {
		return s.begins(o, lease)
	}
	o.RateLimited = true
	if without.Has(LeaseTokens) { // a part for whoever comes, as if nobody else had any
		o.RateLimit, o.ConnectRateLimit = z.Ceiling/float64(max(1, z.Had)), z.Dials/float64(max(1, z.Had))
		return o
	}
	// A part that grew, or is new, counts once nobody acts on an older epoch.
	is, _ := rate(z.Parts, lease)
	if z.Epoch > s.Settled {
		was, _ := rate(z.Was, lease)
		is = min(is, was)
	}
	o.RateLimit = is
	if n := len(z.Parts); n > 0 {
		o.ConnectRateLimit = z.Dials / float64(n)
	}
	return s.begins(o, lease)
}

// begins lays the share of a fleet that comes back over a zone's own: the less of the two.
func (s *State) begins(o api.ZoneOrder, lease uint32) api.ZoneOrder {
	z := s.Find(Fleet)
	if z == nil || z.Step != Returning {
		return o
	}
	is, _ := rate(z.Parts, lease)
	if z.Epoch > s.Settled {
		was, _ := rate(z.Was, lease)
		is = min(is, was)
	}
	dials := z.Dials / float64(max(1, len(z.Parts)))
	if o.Share = min(o.Share, z.Share); o.RateLimited {
		is, dials = min(is, o.RateLimit), min(dials, o.ConnectRateLimit)
	}
	o.RateLimited, o.RateLimit, o.ConnectRateLimit, o.RetryBudget = true, is, dials, 0
	return o
}

// Probation bounds a node that has just begun, while nobody can tell whether the fleet has: it takes First of what comes,
// under that share of what its zone's services bore. A zone of which nobody knows what they bore bounds nothing.
func (s *State) Probation(o *api.ZoneOrder, zone string, age, clock uint64, in int, rules *api.ZoneRules, without Guard) bool {
	z, all := s.Find(zone), s.Find(Fleet)
	if rules.Mode != api.ZoneModeAuto || !rules.ColdStart || without.Has(SmallStart) || z == nil || z.Bore.Runs == 0 || o.Share <= rules.InitialShare ||
		all != nil && (all.Step == Returning || all.Well > 0 && age >= clock-all.Well) {
		return false // the fleet's own return bounds it, or has ended since
	}
	o.Share = max(1, rules.InitialShare)
	runs, dials := z.bears(o.Share, 0)
	rate, dial := runs/float64(max(1, in)), dials/float64(max(1, in))
	if o.RateLimited {
		rate, dial = min(rate, o.RateLimit), min(dial, o.ConnectRateLimit)
	}
	o.RateLimited, o.RateLimit, o.ConnectRateLimit = true, rate, dial
	return true
}

// Began looks, after a beat, whether most of the fleet has just restarted; then it begins with a share, as a zone that
// returns does. It is called while the log is played, so that the answers to the joins of that beat have it already. A
// fleet of which nobody knows what its services bore begins as it is: there is nothing to go by.
func (s *State) Began(f *membership.State, rules *api.ZoneRules, without Guard) (began bool) {
	z := s.Find(Fleet)
	if z != nil && z.Step != In || rules.Mode != api.ZoneModeAuto || !rules.ColdStart || without.Has(SmallStart) {
		return false
	}
	since := uint64(0)
	if z != nil {
		since = z.Well
	}
	in, young := 0, 0
	for _, n := range f.Nodes() {
		if n.Out != "" {
			continue
		}
		in++
		if age := n.Age(f.Clock); age <= recovery.Span && (since == 0 || age < f.Clock-since) {
			young++
		}
	}
	if !recovery.Common(young, in) {
		return false
	}
	bore := Bore{}
	for _, o := range s.Zones {
		if o.Name != Fleet {
			bore.Runs, bore.Flight, bore.Opened = bore.Runs+o.Bore.Runs, bore.Flight+o.Bore.Flight, bore.Opened+o.Bore.Opened
			bore.RunMS, bore.CallMS = bore.RunMS+o.Bore.Runs*o.Bore.RunMS, bore.CallMS+o.Bore.Runs*o.Bore.CallMS
		}
	}
	if bore.Runs == 0 {
		return false
	}
	bore.RunMS, bore.CallMS = bore.RunMS/bore.Runs, bore.CallMS/bore.Runs // as the fleet's view has them
	if z = s.know(Fleet, f); z == nil {
		return false
	}
	z.Bore, z.Had = bore, in
	op := &Op{Share: max(1, rules.InitialShare)}
	op.Ceiling, op.Dials = z.bears(op.Share, in)
	s.take(z, f, Returning, op)
	z.Cause = "restart"
	z.event(f.Clock, s.Epoch, nil, "%d of %d nodes began within %d s: returns at %d of %d, %.0f runs a second at most; its services "+
		"bore %.0f, %.1f under way, %.0f ms a call", young, in, recovery.Span/1000, z.Share, api.FullShare, z.Ceiling, bore.Runs,
		bore.Flight, bore.CallMS)
	return true
}

// Restore makes the state that of a new generation: epochs go on after the newest that any node was told, so that none is
// taken for another, and zones that nodes were told to take a share of only are out until they show that they are well. An
// ended generation's ceilings stand for nothing: until its leases have run out no epoch settles here.
func (s *State) Restore(epoch uint64, left map[string]int, f *membership.State) {
	s.Epoch = max(s.Epoch, epoch) + 1
	s.Settled = s.Epoch - 1
	if s.Epoch == 1 {
		s.Settled = 1 // nobody was told anything about zones
	}
	s.Retry, s.Full = 0, false
	for _, n := range names(left) {
		z := s.know(n, f)
		if z == nil {
			continue
		}
		z.Step, z.Share, z.Worth, z.Epoch, z.Since, z.Cause, z.By = Out, 0, 0, s.Epoch, f.Clock, "restored", ""
		z.Ceiling, z.Dials, z.Parts, z.Was, z.Drill, z.Back = 0, 0, nil, nil, 0, f.Clock
		z.event(f.Clock, s.Epoch, nil, "the group was restored; its nodes took %d of %d: out, and returns", left[n], api.FullShare)
	}
	in := 0
	for _, z := range s.Zones {
		if (z.Step == Out || z.Step == Leaving) && z.By != "" { // an operator's word holds until he takes it back
			z.Step, z.Share, z.Ceiling, z.Dials, z.Parts, z.Was, z.Drill = Out, 0, 0, 0, nil, nil, 0
		} else if z.Step != In && left[z.Name] == 0 && z.Cause != "restored" { // of an older state: nobody was told so any more
			z.Step, z.Share, z.Ceiling, z.Dials, z.Parts, z.Was = In, api.FullShare, 0, 0, nil, nil
		}
	}
	for _, n := range f.Nodes() {
		if step, _ := s.StepOf(n.Zone); step == In {
			in++
		}
	}
	if in == 0 { // one is always in: nothing tells which, so all are
		for _, z := range s.Zones {
			z.Step, z.Share = In, api.FullShare
		}
	}
}

func by(who string) string {
	if who == "" {
		return ""
	}
	return who + ": "
}

func clip(s string) string {
	if len(s) > maxWord {
		return s[:maxWord] + "..."
	}
	return s
}

func names[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Save and Load keep the state in a snapshot.
func (s *State) Save() ([]byte, error) { return json.Marshal(s) }

// Load reads what Save gave.
func Load(raw []byte) (*State, error) {
	s := &State{}
	if len(raw) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("saved zones: %w", err)
	}
	if len(s.Zones) > MaxZones {
		return nil, fmt.Errorf("%d saved zones, expected at most %d", len(s.Zones), MaxZones)
	}
	return s, nil
}

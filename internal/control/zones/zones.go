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
	InService  = "in"        // takes what comes
	Evacuating = "leaving"   // decided; some node may not have heard yet
	Evacuated  = "out"       // left, wholly or in part: nobody acts on an older epoch
	Ramping    = "returning" // at a share
)

// Bounds.
const (
	MaxZones  = 64
	maxEvents = 64 // of one zone: the newest are kept
	maxWord   = 300
)

// ObservedCapacity is what a zone's services below bore when it was well: the peak in runs a second and in runs under way, which
// slowly falls, and what a run and a call usually took.
type ObservedCapacity struct {
	RunRate          float64 `json:"runs"` // a second
	Concurrency      float64 `json:"in_flight"`
	RunMS            float64 `json:"run_ms"`
	CallMS           float64 `json:"call_ms"`
	ConnectionRate   float64 `json:"opened"` // connections below, a second
	FirstAttemptRate float64 `json:"came"`   // first tries a second, usually
}

// LeaseQuota is what a lease has of a ceiling, in runs a second.
type LeaseQuota struct {
	Lease uint32  `json:"lease"`
	Rate  float64 `json:"rate"`
}

// Event is one thing that was decided, and on what.
type Event struct {
	Clock             uint64  `json:"clock_ms"`
	Epoch             uint64  `json:"epoch"`
	Text              string  `json:"text"`
	ValueOfStaying    float64 `json:"stay,omitempty"` // value a second expected by staying, and by going
	ValueOfEvacuating float64 `json:"go,omitempty"`
}

// Zone is one zone.
type Zone struct {
	Name             string           `json:"name"`
	Phase            string           `json:"step"`
	Share            int              `json:"share"` // of fleet.Whole
	PriorityCutoff   float64          `json:"worth,omitempty"`
	Epoch            uint64           `json:"epoch"` // of its last change
	Since            uint64           `json:"since"` // the group's time of it, and then of its settling
	Cause            string           `json:"cause,omitempty"`
	Operator         string           `json:"by,omitempty"` // the operator who did it; empty for the rules
	NodesBefore      int              `json:"had,omitempty"`
	RateLimit        float64          `json:"ceiling,omitempty"` // runs a second; counts while it returns
	ConnectRateLimit float64          `json:"dials,omitempty"`
	Quotas           []LeaseQuota     `json:"parts,omitempty"` // of the ceiling, by lease
	PreviousQuotas   []LeaseQuota     `json:"was,omitempty"`   // until the epoch has settled: what may still be acted on
	FlapCount        int              `json:"flaps,omitempty"`
	RampNotBefore    uint64           `json:"back,omitempty"`  // it does not return before
	InServiceSince   uint64           `json:"well,omitempty"`  // in since
	HeldUntil        uint64           `json:"held,omitempty"`  // nothing is decided by rules before
	DrillUntil       uint64           `json:"drill,omitempty"` // a drill ends then
	Capacity         ObservedCapacity `json:"bore"`
	Events           []Event          `json:"events,omitempty"`
}

// State is what all instances know of zones.
type State struct {
	Epoch               uint64  `json:"epoch"`
	SettledEpoch        uint64  `json:"settled"` // nobody acts on an epoch before it
	RetryBudget         int     `json:"retry,omitempty"`
	NoCapacityElsewhere bool    `json:"full,omitempty"`
	Zones               []*Zone `json:"zones,omitempty"` // by name
}

// Op is one entry of the log.
type Op struct {
	Kind                string                      `json:"op"` // leave, settle, step, split, in, back, bore, hold
	Zone                string                      `json:"zone,omitempty"`
	Epoch               uint64                      `json:"epoch"` // it was decided in
	Share               int                         `json:"share,omitempty"`
	PriorityCutoff      float64                     `json:"worth,omitempty"`
	RateLimit           float64                     `json:"ceiling,omitempty"`
	ConnectRateLimit    float64                     `json:"dials,omitempty"`
	RetryBudget         int                         `json:"retry,omitempty"`
	NoCapacityElsewhere bool                        `json:"full,omitempty"`
	Cause               string                      `json:"cause,omitempty"`
	Reason              string                      `json:"why,omitempty"`
	Operator            string                      `json:"by,omitempty"`
	ValueOfStaying      float64                     `json:"stay,omitempty"`
	ValueOfEvacuating   float64                     `json:"go,omitempty"`
	WaitMS              uint64                      `json:"wait_ms,omitempty"` // leave, back: it returns no sooner; hold: for so long
	DrillMS             uint64                      `json:"drill_ms,omitempty"`
	Capacities          map[string]ObservedCapacity `json:"bores,omitempty"`
	IdempotencyKey      string                      `json:"key,omitempty"` // an operator's asking
}

// Result is the end of an op.
type Result struct {
	Kind           string `json:"Kind"`
	Zone           string `json:"Zone"`
	IdempotencyKey string `json:"Key"`
	Epoch          uint64 `json:"Epoch"`
	Phase          string `json:"Step"`
	Share          int    `json:"Share"`
	Err            string `json:"Err"` // it does not count, and why
}

// Find gives a zone, nil if it is not known.
func (s *State) Find(name string) *Zone {
	i := sort.Search(len(s.Zones), func(i int) bool { return s.Zones[i].Name >= name })
	if i < len(s.Zones) && s.Zones[i].Name == name {
		return s.Zones[i]
	}
	return nil
}

// WholeFleet names the whole fleet where it comes back from a restart of most of its nodes: it stands like a zone that returns.
// No zone of nodes can have the name.
const WholeFleet = "*"

// has tells whether a node is of a zone.
func (z *Zone) has(n *membership.Node) bool { return z.Name == WholeFleet || n.Zone == z.Name }

// know gives a zone, made if nodes are of it.
func (s *State) know(name string, f *membership.State) *Zone {
	if z := s.Find(name); z != nil {
		return z
	}
	if len(s.Zones) >= MaxZones {
		return nil
	}
	for _, n := range f.Nodes() {
		if n.Zone == name || name == WholeFleet {
			z := &Zone{Name: name, Phase: InService, Share: api.FullShare}
			s.Zones = append(s.Zones, z)
			sort.Slice(s.Zones, func(i, k int) bool { return s.Zones[i].Name < s.Zones[k].Name })
			return z
		}
	}
	return nil
}

// PhaseOf gives how a zone stands; one that was never decided about is in.
func (s *State) PhaseOf(name string) (step string, share int) {
	if z := s.Find(name); z != nil {
		return z.Phase, z.Share
	}
	return InService, api.FullShare
}

// othersIn tells whether another zone with nodes is in.
func (s *State) othersIn(name string, f *membership.State) bool {
	for _, n := range f.Nodes() {
		if n.OutReason == "" && n.Zone != name {
			if step, _ := s.PhaseOf(n.Zone); step == InService {
				return true
			}
		}
	}
	return false
}

func (z *Zone) event(clock, epoch uint64, op *Op, format string, args ...any) {
	e := Event{Clock: clock, Epoch: epoch, Text: fmt.Sprintf(format, args...)}
	if op != nil {
		e.ValueOfStaying, e.ValueOfEvacuating = op.ValueOfStaying, op.ValueOfEvacuating
	}
	z.Events = append(z.Events, e)
	if len(z.Events) > maxEvents {
		z.Events = z.Events[1:]
	}
}

// Validate says what is wrong with an operator's op before it is proposed.
func (op *Op) Validate() error {
	switch {
	case op.Kind != "leave" && op.Kind != "back" && op.Kind != "step" && op.Kind != "hold":
		return fmt.Errorf("op: found %.20q, expected leave, step, back or hold", op.Kind)
	case op.Operator == "" || len(op.Operator) > 200:
		return fmt.Errorf("by: found %d bytes, expected 1 to 200", len(op.Operator))
	case len(op.Reason) > 2000:
		return fmt.Errorf("why: found %d bytes, expected at most 2000", len(op.Reason))
	case op.Share < 0 || op.Share > api.FullShare:
		return fmt.Errorf("share: found %d, expected 0 to %d", op.Share, api.FullShare)
	case len(op.IdempotencyKey) < 8 || len(op.IdempotencyKey) > 80:
		return fmt.Errorf("key: found %d bytes, expected 8 to 80", len(op.IdempotencyKey))
	case op.WaitMS > 24*3600_000 || op.DrillMS > 24*3600_000:
		return fmt.Errorf("wait_ms %d, drill_ms %d: expected a day at most", op.WaitMS, op.DrillMS)
	}
	return nil
}

// flapSpan is within which a zone that fails again has flapped: ten minutes are several returns.
const flapSpan = 600_000

// Apply plays one op. What no longer holds counts for nothing: an op names the epoch it was decided in, so that of two
// leaders' decisions about one picture one counts.
func (s *State) Apply(op *Op, f *membership.State, without Guard) Result {
	r := Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey, Epoch: s.Epoch}
	no := func(format string, args ...any) Result {
		r.Err = fmt.Sprintf(format, args...)
		return r
	}
	switch op.Kind {
	case "bore":
		for _, n := range names(op.Capacities) {
			if z := s.know(n, f); z != nil {
				z.Capacity = op.Capacities[n]
			}
		}
		return r
	case "settle":
		if op.Epoch != s.Epoch || s.SettledEpoch == s.Epoch {
			return no("epoch %d is settled or past", op.Epoch)
		}
		if left := f.NodesOnOlderZoneEpoch(s.Epoch); len(left) > 0 && !without.Has(OneEpoch) {
			return no("%d nodes may act on an older epoch", len(left))
		}
		for _, z := range s.Zones {
			if z.PreviousQuotas = nil; z.Epoch > s.SettledEpoch {
				z.Since = f.ClockMS
			}
			if z.Phase == Evacuating {
				z.Phase = Evacuated
				z.event(f.ClockMS, s.Epoch, nil, "out: nobody acts on an older epoch")
			}
		}
		s.SettledEpoch = s.Epoch
		return r
	}
	z := s.know(op.Zone, f)
	if z == nil || z.Name == WholeFleet && (op.Kind == "leave" || op.Kind == "back" && op.Share == 0) {
		return no("found no zone %.50q, expected one that nodes are of", op.Zone)
	}
	if op.Kind == "hold" {
		z.HeldUntil = f.ClockMS + op.WaitMS
		z.event(f.ClockMS, s.Epoch, nil, "%s: nothing is decided by rules for %d ms", op.Operator, op.WaitMS)
		r.Phase, r.Share = z.Phase, z.Share
		return r
	}
	if op.Epoch != s.Epoch {
		return no("decided in epoch %d, expected %d", op.Epoch, s.Epoch)
	}
	up := op.Kind == "step" || op.Kind == "in" || op.Kind == "split"
	if up && s.SettledEpoch != s.Epoch && !without.Has(OneEpoch) {
		return no("epoch %d is not settled: some node may act on an older one", s.Epoch)
	}
	switch op.Kind {
	case "leave":
		if z.Phase == Evacuated && z.Share <= op.Share || z.Phase == Evacuating {
			return no("zone %s is %s already", z.Name, z.Phase)
		}
		if !s.othersIn(z.Name, f) {
			return no("zone %s is the last that is in", z.Name)
		}
		if z.FlapCount++; f.ClockMS-z.InServiceSince > flapSpan {
			z.FlapCount = 0
		}
		if b, known := op.Capacities[z.Name]; known {
			z.Capacity = b
		}
		z.NodesBefore = 0
		for _, n := range f.Nodes() {
			if n.Zone == z.Name && (n.OutReason == "" || n.OutReason == membership.OutSilent && f.ClockMS-n.OutAtMS < 60_000) {
				z.NodesBefore++
			}
		}
		s.take(z, f, Evacuating, op)
		z.Cause, z.Operator, z.RampNotBefore = op.Cause, op.Operator, f.ClockMS+op.WaitMS
		if z.DrillUntil = 0; op.DrillMS > 0 {
			z.DrillUntil = f.ClockMS + op.DrillMS
		}
		what := "left"
		if op.Share > 0 {
			what = fmt.Sprintf("left in part, keeps %d of %d by value", op.Share, api.FullShare)
		}
		z.event(f.ClockMS, s.Epoch, op, "%s: %s%s", what, by(op.Operator), clip(op.Reason))
	case "step":
		if z.Phase != Evacuated && z.Phase != Ramping {
			return no("zone %s is %s, expected it out or returning", z.Name, z.Phase)
		}
		if op.RateLimit == 0 { // an operator's
			o, in := *op, 0
			for _, n := range f.Nodes() {
				if z.has(n) && n.OutReason == "" {
					in++
				}
			}
			o.RateLimit, o.ConnectRateLimit = z.bears(o.Share, in)
			op = &o
		}
		s.take(z, f, Ramping, op)
		z.Operator = op.Operator
		z.event(f.ClockMS, s.Epoch, op, "returns at %d of %d, %.0f runs a second at most: %s%s", z.Share, api.FullShare,
			z.RateLimit, by(op.Operator), clip(op.Reason))
	case "split":
		if z.Phase != Ramping {
			return no("zone %s is %s, expected it returning", z.Name, z.Phase)
		}
		op := *op
		op.Share, op.RateLimit, op.ConnectRateLimit, op.PriorityCutoff = z.Share, z.RateLimit, z.ConnectRateLimit, z.PriorityCutoff
		since := z.Since
		s.take(z, f, Ramping, &op)
		z.Since = since
	case "back":
		if z.Phase != Ramping {
			return no("zone %s is %s, expected it returning", z.Name, z.Phase)
		}
		step := Ramping
		if op.Share == 0 {
			step = Evacuating
			z.FlapCount++
			z.RampNotBefore = f.ClockMS + op.WaitMS
		}
		s.take(z, f, step, op)
		z.Cause, z.Operator = op.Cause, op.Operator
		z.event(f.ClockMS, s.Epoch, op, "back to %d of %d: %s%s", z.Share, api.FullShare, by(op.Operator), clip(op.Reason))
	case "in":
		if z.Phase != Ramping {
			return no("zone %s is %s, expected it returning", z.Name, z.Phase)
		}
		op := *op
		op.Share = api.FullShare
		s.take(z, f, InService, &op)
		z.Cause, z.Operator, z.PriorityCutoff, z.RateLimit, z.ConnectRateLimit, z.Quotas, z.DrillUntil = "", "", 0, 0, 0, nil, 0
		z.InServiceSince = f.ClockMS
		z.event(f.ClockMS, s.Epoch, &op, "in again: %s%s", by(op.Operator), clip(op.Reason))
	default:
		return no("op %.20q, expected leave, settle, step, split, in, back, bore or hold", op.Kind)
	}
	r.Epoch, r.Phase, r.Share = s.Epoch, z.Phase, z.Share
	return r
}

// take has a zone go on by an op in a new epoch, and splits the ceiling anew.
func (s *State) take(z *Zone, f *membership.State, step string, op *Op) {
	s.Epoch++
	was := z.Phase
	z.Phase, z.Share, z.PriorityCutoff, z.Epoch, z.Since = step, op.Share, op.PriorityCutoff, s.Epoch, f.ClockMS
	z.RateLimit, z.ConnectRateLimit = op.RateLimit, op.ConnectRateLimit
	s.RetryBudget, s.NoCapacityElsewhere = op.RetryBudget, op.NoCapacityElsewhere
	if s.allIn() {
		s.RetryBudget, s.NoCapacityElsewhere = 0, false
	}
	z.PreviousQuotas = merge(z.PreviousQuotas, z.Quotas)
	z.Quotas = split(z, f)
	if was == InService {
		z.PreviousQuotas = append([]LeaseQuota{}, z.Quotas...) // there was no ceiling before that could be passed
	}
}

// bears bounds a share: what the zone's services bore, times the share; without a figure of that, a run a second and node. So
// much a small zone may have in any case, or a small share would show nothing; of a large one it would be too much.
// Of connections it is as many as of runs at least: where reqs come singly, each may need one.
func (z *Zone) bears(share, in int) (runs, dials float64) {
	part := float64(share) / api.FullShare
	least := float64(max(1, in))
	if z.Capacity.RunRate > 0 {
		least = min(least, z.Capacity.RunRate/16)
	}
	runs = max(z.Capacity.RunRate*part, least)
	return runs, max(z.Capacity.ConnectionRate*part, runs)
}

func (s *State) allIn() bool {
	for _, z := range s.Zones {
		if z.Phase != InService {
			return false
		}
	}
	return true
}

// merge gives for each lease the most it may still act on.
func merge(a, b []LeaseQuota) []LeaseQuota {
	most := map[uint32]float64{}
	for _, p := range append(append([]LeaseQuota{}, a...), b...) {
		most[p.Lease] = max(most[p.Lease], p.Rate)
	}
	out := make([]LeaseQuota, 0, len(most))
	for id, r := range most {
		out = append(out, LeaseQuota{id, r})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Lease < out[k].Lease })
	return out
}

// split gives each node that is in an equal part of what is left of the ceiling once the parts are taken off that
// leases hold which may still be acted on, but not by a node that is in: they count as spent.
func split(z *Zone, f *membership.State) []LeaseQuota {
	if z.Phase != Ramping {
		return nil
	}
	was := map[uint32]float64{}
	for _, p := range z.PreviousQuotas {
		was[p.Lease] = p.Rate
	}
	var out []LeaseQuota
	spent, in := 0.0, 0
	held := func(l *membership.Lease) {
		if r, had := was[l.ID]; had && l.Live(f.ClockMS) {
			out = append(out, LeaseQuota{l.ID, r})
			spent += r
		}
	}
	for _, n := range f.Nodes() {
		if !z.has(n) {
			continue
		}
		for i := range n.EarlierLeases {
			held(&n.EarlierLeases[i])
		}
		if n.OutReason != "" {
			held(&n.Lease)
		} else {
			in++
		}
	}
	if in > 0 {
		each := max(0, z.RateLimit-spent) / float64(in)
		for _, n := range f.Nodes() {
			if z.has(n) && n.OutReason == "" {
				out = append(out, LeaseQuota{n.Lease.ID, each})
			}
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Lease < out[k].Lease })
	return out
}

// rate finds a lease's part.
func rate(ps []LeaseQuota, lease uint32) (float64, bool) {
	i := sort.Search(len(ps), func(i int) bool { return ps[i].Lease >= lease })
	if i < len(ps) && ps[i].Lease == lease {
		return ps[i].Rate, true
	}
	return 0, false
}

// Order gives what a zone's state means to a node that holds a lease.
func (s *State) Order(zone string, lease uint32, rules *api.ZoneRules, without Guard) api.ZoneOrder {
	o := api.ZoneOrder{Epoch: s.Epoch, Share: api.FullShare, TTLMS: rules.OrderTTLMS, NoCapacityElsewhere: s.NoCapacityElsewhere}
	if !without.Has(RetryBudget) {
		o.RetryBudget = s.RetryBudget
	}
	z := s.Find(zone)
	if z == nil {
		return o
	}
	o.Share, o.PriorityCutoff = z.Share, z.PriorityCutoff
	if z.Phase != InService {
		o.RetryBudget = 0 // what it takes is bounded by its share
	}
	if z.Phase != Ramping {
		return s.begins(o, lease)
	}
	o.RateLimited = true
	if without.Has(LeaseQuotas) { // a part for whoever comes, as if nobody else had any
		o.RateLimit, o.ConnectRateLimit = z.RateLimit/float64(max(1, z.NodesBefore)), z.ConnectRateLimit/float64(max(1, z.NodesBefore))
		return o
	}
	// A part that grew, or is new, counts once nobody acts on an older epoch.
	is, _ := rate(z.Quotas, lease)
	if z.Epoch > s.SettledEpoch {
		was, _ := rate(z.PreviousQuotas, lease)
		is = min(is, was)
	}
	o.RateLimit = is
	if n := len(z.Quotas); n > 0 {
		o.ConnectRateLimit = z.ConnectRateLimit / float64(n)
	}
	return s.begins(o, lease)
}

// begins lays the share of a fleet that comes back over a zone's own: the less of the two.
func (s *State) begins(o api.ZoneOrder, lease uint32) api.ZoneOrder {
	z := s.Find(WholeFleet)
	if z == nil || z.Phase != Ramping {
		return o
	}
	is, _ := rate(z.Quotas, lease)
	if z.Epoch > s.SettledEpoch {
		was, _ := rate(z.PreviousQuotas, lease)
		is = min(is, was)
	}
	dials := z.ConnectRateLimit / float64(max(1, len(z.Quotas)))
	if o.Share = min(o.Share, z.Share); o.RateLimited {
		is, dials = min(is, o.RateLimit), min(dials, o.ConnectRateLimit)
	}
	o.RateLimited, o.RateLimit, o.ConnectRateLimit, o.RetryBudget = true, is, dials, 0
	return o
}

// LimitNewNode bounds a node that has just begun, while nobody can tell whether the fleet has: it takes First of what comes,
// under that share of what its zone's services bore. A zone of which nobody knows what they bore bounds nothing.
func (s *State) LimitNewNode(o *api.ZoneOrder, zone string, age, clock uint64, in int, rules *api.ZoneRules, without Guard) bool {
	z, all := s.Find(zone), s.Find(WholeFleet)
	if rules.Mode != api.ZoneModeAuto || !rules.ColdStart || without.Has(ColdStart) || z == nil || z.Capacity.RunRate == 0 || o.Share <= rules.InitialShare ||
		all != nil && (all.Phase == Ramping || all.InServiceSince > 0 && age >= clock-all.InServiceSince) {
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

// BeginColdStart looks, after a beat, whether most of the fleet has just restarted; then it begins with a share, as a zone that
// returns does. It is called while the log is played, so that the answers to the joins of that beat have it already. A
// fleet of which nobody knows what its services bore begins as it is: there is nothing to go by.
func (s *State) BeginColdStart(f *membership.State, rules *api.ZoneRules, without Guard) (began bool) {
	z := s.Find(WholeFleet)
	if z != nil && z.Phase != InService || rules.Mode != api.ZoneModeAuto || !rules.ColdStart || without.Has(ColdStart) {
		return false
	}
	since := uint64(0)
	if z != nil {
		since = z.InServiceSince
	}
	in, young := 0, 0
	for _, n := range f.Nodes() {
		if n.OutReason != "" {
			continue
		}
		in++
		if age := n.UptimeMS(f.ClockMS); age <= recovery.ColdStartWindowMS && (since == 0 || age < f.ClockMS-since) {
			young++
		}
	}
	if !recovery.IsColdStart(young, in) {
		return false
	}
	bore := ObservedCapacity{}
	for _, o := range s.Zones {
		if o.Name != WholeFleet {
			bore.RunRate, bore.Concurrency, bore.ConnectionRate = bore.RunRate+o.Capacity.RunRate, bore.Concurrency+o.Capacity.Concurrency, bore.ConnectionRate+o.Capacity.ConnectionRate
			bore.RunMS, bore.CallMS = bore.RunMS+o.Capacity.RunRate*o.Capacity.RunMS, bore.CallMS+o.Capacity.RunRate*o.Capacity.CallMS
		}
	}
	if bore.RunRate == 0 {
		return false
	}
	bore.RunMS, bore.CallMS = bore.RunMS/bore.RunRate, bore.CallMS/bore.RunRate // as the fleet's view has them
	if z = s.know(WholeFleet, f); z == nil {
		return false
	}
	z.Capacity, z.NodesBefore = bore, in
	op := &Op{Share: max(1, rules.InitialShare)}
	op.RateLimit, op.ConnectRateLimit = z.bears(op.Share, in)
	s.take(z, f, Ramping, op)
	z.Cause = "restart"
	z.event(f.ClockMS, s.Epoch, nil, "%d of %d nodes began within %d s: returns at %d of %d, %.0f runs a second at most; its services "+
		"bore %.0f, %.1f under way, %.0f ms a call", young, in, recovery.ColdStartWindowMS/1000, z.Share, api.FullShare, z.RateLimit, bore.RunRate,
		bore.Concurrency, bore.CallMS)
	return true
}

// BeginGeneration makes the state that of a new generation: epochs go on after the newest that any node was told, so that none is
// taken for another, and zones that nodes were told to take a share of only are out until they show that they are well. An
// ended generation's ceilings stand for nothing: until its leases have run out no epoch settles here.
func (s *State) BeginGeneration(epoch uint64, left map[string]int, f *membership.State) {
	s.Epoch = max(s.Epoch, epoch) + 1
	s.SettledEpoch = s.Epoch - 1
	if s.Epoch == 1 {
		s.SettledEpoch = 1 // nobody was told anything about zones
	}
	s.RetryBudget, s.NoCapacityElsewhere = 0, false
	for _, n := range names(left) {
		z := s.know(n, f)
		if z == nil {
			continue
		}
		z.Phase, z.Share, z.PriorityCutoff, z.Epoch, z.Since, z.Cause, z.Operator = Evacuated, 0, 0, s.Epoch, f.ClockMS, "restored", ""
		z.RateLimit, z.ConnectRateLimit, z.Quotas, z.PreviousQuotas, z.DrillUntil, z.RampNotBefore = 0, 0, nil, nil, 0, f.ClockMS
		z.event(f.ClockMS, s.Epoch, nil, "the group was restored; its nodes took %d of %d: out, and returns", left[n], api.FullShare)
	}
	in := 0
	for _, z := range s.Zones {
		if (z.Phase == Evacuated || z.Phase == Evacuating) && z.Operator != "" { // an operator's word holds until he takes it back
			z.Phase, z.Share, z.RateLimit, z.ConnectRateLimit, z.Quotas, z.PreviousQuotas, z.DrillUntil = Evacuated, 0, 0, 0, nil, nil, 0
		} else if z.Phase != InService && left[z.Name] == 0 && z.Cause != "restored" { // of an older state: nobody was told so any more
			z.Phase, z.Share, z.RateLimit, z.ConnectRateLimit, z.Quotas, z.PreviousQuotas = InService, api.FullShare, 0, 0, nil, nil
		}
	}
	for _, n := range f.Nodes() {
		if step, _ := s.PhaseOf(n.Zone); step == InService {
			in++
		}
	}
	if in == 0 { // one is always in: nothing tells which, so all are
		for _, z := range s.Zones {
			z.Phase, z.Share = InService, api.FullShare
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

// Snapshot and Load keep the state in a snapshot.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads what Save gave.
func Restore(raw []byte) (*State, error) {
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

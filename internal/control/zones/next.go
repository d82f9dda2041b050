package zones

import (
	"fmt"
	"math"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Figures of the decisions.
const (
	// Others are not filled past this: what is left over is for what comes unevenly.
	fillMost = 0.85
	// Evacuating has to win a tenth of what the zone is asked for, or it stays: less is within what the figures can tell.
	winLeast = 0.1
	// A part of a zone under an eighth is not worth an epoch.
	partLeast = api.FullShare / 8
	// A return never asks for more runs under way than this of what its services bore, and steps back at backAt. The
	// time that a run takes is in it, so a cold service that takes five times as long is asked for a fifth.
	// The step back is proportional, to below the aim. Where runs take what they usually did the service is warm, and its
	// rate alone bounds it.
	flightMost = 0.85
	backAt     = 1.1
	backTo     = 0.75
	warmTimes  = 1.3
	evenTimes  = 1.15 // slower than usual by less tells nothing: reports differ by a tenth
	overLooks  = 3    // in a row: a second and a half, so that one uneven report does not cost a step
	// A step counts as shown once so many runs have ended at it.
	shownRuns = 10
	splitRest = 1000 // ms between two splits of a ceiling
	boreRest  = 30_000
	boreSoon  = 3000
	boreMoved = 0.2
)

// Decide gives what the leader should add to the log, nil if there is nothing. It looks anew once each lookEvery.
func (w *Monitor) Decide(now uint64, s *State, f *membership.State, rules *api.ZoneRules, without Guard) *Op {
	if !rules.Enabled() {
		return nil
	}
	if w.since == 0 || now-w.at >= lookEvery {
		w.look(now, s, f, without)
	}
	if s.SettledEpoch != s.Epoch && (len(f.NodesOnOlderZoneEpoch(s.Epoch)) == 0 || without.Has(OneEpoch)) {
		return &Op{Kind: "settle", Epoch: s.Epoch}
	}
	if z := s.Find(WholeFleet); z != nil && z.Phase == Ramping && f.ClockMS >= z.HeldUntil {
		if op := w.goOn(now, s, f, rules, z, w.fleet, without); op != nil {
			op.Zone, op.Epoch = WholeFleet, s.Epoch
			return op
		}
	}
	for _, v := range w.views {
		step, _ := s.PhaseOf(v.Zone)
		z := s.Find(v.Zone)
		if z != nil && f.ClockMS < z.HeldUntil {
			continue
		}
		var op *Op
		switch step {
		case InService:
			if rules.Mode == api.ZoneModeAuto {
				op = w.leave(s, f, rules, v, without)
			}
		case Evacuated:
			if z.Share > 0 && v.FailureScore >= needScore && v.silent() { // left in part, and now it is dead
				op = w.leave(s, f, rules, v, without)
			} else if rules.Mode == api.ZoneModeAuto && z.Operator == "" || w.drilled(s, f, z) {
				op = w.begin(s, f, rules, z, v, without)
			}
		case Ramping:
			op = w.goOn(now, s, f, rules, z, v, without)
		}
		if op != nil {
			op.Zone, op.Epoch = v.Zone, s.Epoch
			return op
		}
	}
	return w.bores(now, s)
}

// room is what the zones that are in and well could take beside what they do, in runs a second, and their share of value
// done in time. ok is false where none is well and heard.
func (w *Monitor) room(s *State, but *View, without Guard) (room, done float64, ok bool) {
	got, worth := 0.0, 0.0
	for _, o := range w.views {
		step, _ := s.PhaseOf(o.Zone)
		if o == but || step != InService || o.silent() || !o.quorum() {
			continue
		}
		if o.share() > wellShare && !without.Has(CommonCause) {
			continue
		}
		ok = true
		room += max(0, fillMost*o.RunCapacity-o.RunRate)
		got, worth = got+o.CompletedWeight, worth+o.OfferedWeight
	}
	if done = 1; worth > 0 {
		done = min(1, got/worth)
	}
	return room, done, ok
}

// retry is how many tries from elsewhere the zones that are in may take for each Whole first tries, so that a zone that is
// left does not overload them: what room they have beside the first tries that then come to them, which are all there are
// over the zones that are on the callers' list. one is the zone that the op is about, and how it will stand.
func (w *Monitor) retry(s *State, one *View, next string, listed bool) (retry int, full bool) {
	all, can, in, on := w.fleet.demand, 0.0, 0, 0
	for _, o := range w.views {
		step, share := s.PhaseOf(o.Zone)
		on1 := step != InService && share > 0 && !o.silent()
		if o == one {
			step, on1 = next, listed
		}
		switch {
		case step != InService && on1:
			on += o.NodesIn
		case step == InService && o.quorum():
			on, in, can = on+o.NodesIn, in+o.NodesIn, can+fillMost*o.RunCapacity
		}
	}
	if in == 0 || all <= 0 {
		return 0, false
	}
	first := all * float64(in) / float64(max(1, on))
	share := can/first - 1
	return int(api.FullShare * min(4, max(1.0/16, share))), share < 0.05
}

// leave decides whether a zone that is in should be left, and how much of it.
func (w *Monitor) leave(s *State, f *membership.State, rules *api.ZoneRules, v *View, without Guard) *Op {
	if v.FailureScore < needScore || !s.othersIn(v.Zone, f) {
		return nil
	}
	if all, _ := s.PhaseOf(WholeFleet); all == Ramping && cold(v.Symptom) {
		v.Note = fmt.Sprintf("the fleet comes back, and this zone is not warm yet (%s)", v.Symptom)
		return nil
	}
	op := &Op{Kind: "leave", Cause: v.Cause, WaitMS: w.waitOf(s, f, v, rules)}
	if v.usual.RunRate > 0 { // what the return goes by
		op.Capacities = map[string]ObservedCapacity{v.Zone: v.usual}
	}
	if v.silent() {
		// It serves nobody: leaving it takes nothing from anybody, and has its return paced.
		op.Reason = v.Note
		op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, Evacuated, false)
		return op
	}
	room, done, ok := w.room(s, v, without)
	if !ok || v.share() < sickShare { // it is well again, and the score has not fallen yet
		return nil
	}
	// What it does not do is asked for elsewhere already, as callers try again: what the others would have to take besides
	// is what runs here. What moves is what is worth most; the rest stays and has the zone's chances.
	runs := max(v.RunRate, 1e-9)
	moved := min(runs, room)
	if without.Has(SpareCapacity) {
		moved = runs
	}
	part := moved / runs
	asked := v.OfferedWeight * min(1, runs/max(v.AdmittedRate, 1e-9)) // the value of as many first tries as run
	op.ValueOfStaying = v.CompletedWeight
	op.ValueOfEvacuating = asked*done*valueOf(v, part) + v.CompletedWeight*(1-part)
	whole := asked * done * valueOf(v, part)
	switch {
	case v.CompletedWeight <= winLeast*v.OfferedWeight && whole >= v.CompletedWeight: // it does hardly anything: to leave it whole takes nothing from anybody
		op.ValueOfEvacuating = whole
	case op.ValueOfEvacuating-op.ValueOfStaying < winLeast*v.OfferedWeight:
		v.Note = fmt.Sprintf("sick (%s), but leaving would do %.0f of value a second, staying %.0f", v.Symptom, op.ValueOfEvacuating, op.ValueOfStaying)
		return nil
	case part < 1 && int(part*api.FullShare) < partLeast:
		v.Note = fmt.Sprintf("sick (%s), and the others have room for %.0f runs a second of %.0f", v.Symptom, room, runs)
		return nil
	case part < 1:
		op.Share, op.PriorityCutoff = keeps(v, min(1, (runs-moved)/max(v.AdmittedRate, 1e-9)))
	}
	op.Reason = fmt.Sprintf("%d of %d nodes heard are sick (%s); %.0f runs a second here, room for %.0f elsewhere", v.NodesUnhealthy,
		v.NodesReporting, v.Cause, runs, room)
	op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, Evacuated, op.Share > 0)
	return op
}

// valueOf gives the share of a zone's value that the dearest part of its reqs has.
func valueOf(v *View, part float64) float64 {
	all, left, value, whole := 0, 0.0, 0.0, 0.0
	for _, m := range v.mix {
		all += m.Arrived
		whole += m.Weight * float64(m.Arrived)
	}
	if all == 0 || whole == 0 {
		return part
	}
	left = part * float64(all)
	for i := len(v.mix) - 1; i >= 0 && left > 0; i-- {
		n := min(left, float64(v.mix[i].Arrived))
		value += n * v.mix[i].Weight
		left -= n
	}
	return value / whole
}

// keeps says what of a zone stays where a part has to: the reqs of least value, and of the value at which the part is
// full a share.
func keeps(v *View, part float64) (share int, worth float64) {
	all := 0
	for _, m := range v.mix {
		all += m.Arrived
	}
	left := part * float64(all)
	for _, m := range v.mix {
		if n := float64(m.Arrived); left < n {
			return max(1, int(api.FullShare*left/n)), m.Weight
		} else {
			left -= n
		}
	}
	return api.FullShare, math.MaxFloat64
}

// waitOf is how long a zone stays out at least: twice as long with each time that it failed again.
func (w *Monitor) waitOf(s *State, f *membership.State, v *View, rules *api.ZoneRules) uint64 {
	flaps := 0
	if z := s.Find(v.Zone); z != nil {
		if flaps = z.FlapCount + 1; z.Phase == InService && f.ClockMS-z.InServiceSince > flapSpan {
			flaps = 0
		}
	}
	return min(rules.MinStepMS<<min(flaps, 20), rules.MaxWaitMS)
}

// well tells whether a zone that is out could take something again.
func (w *Monitor) well(z *Zone, v *View) (bool, string) {
	switch {
	case v.silent() || v.NodesIn == 0:
		return false, "nobody of it is heard"
	case 2*(v.NodesIn-min(v.NodesIn, v.NodesSilent)) < z.NodesBefore:
		return false, fmt.Sprintf("%d of the %d nodes it had are there", v.NodesIn-min(v.NodesIn, v.NodesSilent), z.NodesBefore)
	case !v.quorum():
		return false, v.Note
	case !v.KernelsUp:
		return false, "most of its nodes have no kernel"
	case z.Share > 0 && v.share() > wellShare: // what it still takes shows that it is sick
		return false, fmt.Sprintf("%d of %d nodes heard are sick (%s)", v.NodesUnhealthy, v.NodesReporting, v.Symptom)
	}
	return true, ""
}

// begin starts a zone's return with the smallest share.
func (w *Monitor) begin(s *State, f *membership.State, rules *api.ZoneRules, z *Zone, v *View, without Guard) *Op {
	ok, why := w.well(z, v)
	if !ok {
		v.Note = "out: " + why
		return nil
	}
	if f.ClockMS < z.RampNotBefore {
		v.Note = fmt.Sprintf("out, well, and waits for %d ms more", z.RampNotBefore-f.ClockMS)
		return nil
	}
	if s.SettledEpoch != s.Epoch && !without.Has(OneEpoch) {
		return nil
	}
	op := &Op{Kind: "step", Share: max(1, rules.InitialShare), Reason: "its nodes and kernels are there"}
	if z.Share > 0 && v.FirstAttemptRate > 0 { // left in part: it goes on from what it takes
		if v.loads[0] = v.Concurrency / max(z.Capacity.Concurrency, 1e-9); max(v.loads[0], v.loads[1], v.loads[2]) > flightMost &&
			!warm(v, &z.Capacity) {
			v.Note = fmt.Sprintf("left in part, and held there: %.0f runs under way of %.0f it bore", v.Concurrency, z.Capacity.Concurrency)
			return nil
		}
		op.Share = max(op.Share, int(api.FullShare/2*min(1, v.AdmittedRate/v.FirstAttemptRate)))
	}
	if without.Has(PacedRamp) {
		op.Share = api.FullShare
	}
	w.ceiling(z, v, op)
	op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, Ramping, true)
	return op
}

// ceiling bounds a share: what its services bore, times the share; without a figure of that, a run a second and node.
func (w *Monitor) ceiling(z *Zone, v *View, op *Op) {
	op.RateLimit, op.ConnectRateLimit = z.bears(op.Share, v.NodesIn)
}

// goOn decides the next step of a return by what the services below show at this one.
func (w *Monitor) goOn(now uint64, s *State, f *membership.State, rules *api.ZoneRules, z *Zone, v *View, without Guard) *Op {
	back := func(share int, why string) *Op {
		if z.Name == WholeFleet { // it has nowhere else to send what comes
			if share = max(share, 1, rules.InitialShare/4); share >= z.Share {
				return nil
			}
		}
		op := &Op{Kind: "back", Share: share, Cause: v.Symptom, Reason: why, WaitMS: min(rules.MinStepMS<<min(z.FlapCount+1, 20),
			rules.MaxWaitMS)}
		if share > 0 {
			w.ceiling(z, v, op)
		}
		op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, Ramping, share > 0)
		return op
	}
	if v.silent() {
		if v.FailureScore >= needScore {
			return back(0, "it fell silent: "+v.Note)
		}
		return nil
	}
	load := 0.0
	if z.Capacity.Concurrency > 0 {
		load = v.Concurrency / z.Capacity.Concurrency
	}
	v.loads[0] = load
	warm := warm(v, &z.Capacity)
	shown := f.ClockMS - z.Since
	if v.over++; shown < w.pace || load <= backAt || v.Concurrency < 1 || warm || !v.quorum() {
		v.over = 0
	}
	// Reports of this step have to be there: the one before would be held against it.
	if !without.Has(StepBack) && shown >= max(rules.MinStepMS/2, w.pace+1000) && v.quorum() {
		switch {
		case v.FailureScore >= needScore/2 && v.share() >= sickShare && !cold(v.Symptom): // of a cold one its runs under way tell
			return back(0, fmt.Sprintf("%d of %d nodes heard are sick (%s)", v.NodesUnhealthy, v.NodesReporting, v.Symptom))
		case v.over >= overLooks:
			v.over = 0
			share := int(float64(z.Share) * backTo / load)
			if share < max(1, rules.InitialShare/4) {
				share = 0
			}
			return back(share, fmt.Sprintf("%.1f runs under way, and it bore %.1f", v.Concurrency, z.Capacity.Concurrency))
		}
	}
	if s.SettledEpoch != s.Epoch && !without.Has(OneEpoch) {
		return nil
	}
	if op := w.resplit(s, f, z); op != nil {
		return op
	}
	hold := rules.MinStepMS + w.pace // reports of this step alone
	switch {
	case shown < hold || now-w.since < hold:
		return nil
	case !v.quorum():
		return nil
	case v.RunRate*float64(shown)/1000 < shownRuns:
		v.Note = fmt.Sprintf("at %d of %d: waits for reqs, %.1f runs a second came", z.Share, api.FullShare, v.RunRate)
		return nil
	case v.share() > wellShare && (!cold(v.Symptom) || v.Symptom == kindLate):
		v.Note = fmt.Sprintf("at %d of %d: held, %d of %d sick (%s)", z.Share, api.FullShare, v.NodesUnhealthy, v.NodesReporting, v.Symptom)
		return nil
	}
	if z.Share >= api.FullShare {
		if op, waits := w.widen(s, z, v, shown); waits {
			return op
		}
		op := &Op{Kind: "in", Reason: fmt.Sprintf("%.0f runs under way of %.0f it bore", v.Concurrency, z.Capacity.Concurrency)}
		op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, InService, true)
		return op
	}
	grow := float64(api.MaxRampFactor)
	if high := max(v.loads[0], v.loads[1], v.loads[2]); high > 0 { // of some looks, as a report may be uneven
		grow = min(api.MaxRampFactor, flightMost/high)
	}
	if warm {
		grow = max(grow, api.MaxRampFactor/2)
	}
	if grow < api.MinRampFactor {
		v.Note = fmt.Sprintf("at %d of %d: held, %.0f runs under way of %.0f it bore", z.Share, api.FullShare, v.Concurrency,
			z.Capacity.Concurrency)
		return nil
	}
	// What is a little slower than usual bears so much less of the rate it bore at its peak.
	most := float64(api.FullShare)
	if times := slower(v, &z.Capacity); times > evenTimes {
		most *= evenTimes / times
	}
	op := &Op{Kind: "step", Share: min(api.FullShare, max(z.Share+1, int(min(most, float64(z.Share)*grow)))), Operator: z.Operator,
		Reason: fmt.Sprintf("%.1f runs under way of %.1f it bore, %.0f ms a run", v.Concurrency, z.Capacity.Concurrency, v.RunMS)}
	if without.Has(PacedRamp) {
		op.Share = api.FullShare
	}
	w.ceiling(z, v, op)
	op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, Ramping, true)
	return op
}

// Figures of a return's end.
const (
	turnedMost = 0.1  // of the first tries that come: what comes again beside them fits into what fillMost leaves
	widenMost  = 1.15 // times the ceiling, a step; by 1.25 one of 300 schedules asked for 1.03 of what is borne
	widenLeast = 1.02 // a demand of nine tenths leaves a tenth for those who wait: what is gained by small steps drains them
	wideMost   = 1.5  // times what it bore: by then the ceiling bounds nothing that matters
	// ms at one ceiling: it is asked for more than it bears, and sheds that by itself. With callers that come back when they
	// are told to and a demand of 0.9, ten seconds left 1.2 to 1.6 of what services bear to come at once, twenty 0.95 to 1.11,
	// twenty-five and thirty 0.98 at most, over five seeds.
	wideFor = 30_000
)

// widen raises the ceiling of a zone that takes all and still turns some away: those come again, and would all come at once
// if the ceiling just ended. waits tells that the return does not end yet.
func (w *Monitor) widen(s *State, z *Zone, v *View, shown uint64) (op *Op, waits bool) {
	if v.RejectedRate <= turnedMost*v.FirstAttemptRate || z.RateLimit >= wideMost*z.Capacity.RunRate || shown >= wideFor {
		return nil, false
	}
	grow := float64(widenMost)
	if high := max(v.loads[0], v.loads[1], v.loads[2]); high > 0 {
		grow = min(grow, backAt/high) // all that it bore is under way now, and a little more has to be for less to be turned away
	}
	if grow < widenLeast {
		v.Note = fmt.Sprintf("takes all, and still turns %.0f a second away: held, %.0f runs under way of %.0f it bore", v.RejectedRate,
			v.Concurrency, z.Capacity.Concurrency)
		return nil, true
	}
	op = &Op{Kind: "step", Share: api.FullShare, Operator: z.Operator, Reason: fmt.Sprintf("takes all, and still turns %.0f a second away", v.RejectedRate)}
	op.RateLimit, op.ConnectRateLimit = z.RateLimit*grow, z.ConnectRateLimit*grow
	op.RetryBudget, op.NoCapacityElsewhere = w.retry(s, v, Ramping, true)
	return op, true
}

// warm tells whether the services below take what they usually did. Their own time tells where there are calls: in that of
// a run, which has the node's own work in it, a call that takes three times as long may not show.
func warm(v *View, bore *ObservedCapacity) bool {
	times := slower(v, bore)
	return times > 0 && times <= warmTimes
}

// slower gives how many times as long the services take, 0 where nothing tells.
func slower(v *View, bore *ObservedCapacity) float64 {
	switch {
	case bore.CallMS > 0 && v.CallMS > 0:
		return v.CallMS / bore.CallMS
	case bore.RunMS > 0:
		return v.RunMS / bore.RunMS
	}
	return 0
}

// resplit has a ceiling split anew where a node without a part is in, or a part has come free.
func (w *Monitor) resplit(s *State, f *membership.State, z *Zone) *Op {
	if f.ClockMS-z.Since < splitRest {
		return nil
	}
	held := 0.0
	for _, n := range f.Nodes() {
		if !z.has(n) {
			continue
		}
		for i := range n.EarlierLeases {
			if r, had := rate(z.Quotas, n.EarlierLeases[i].ID); had && n.EarlierLeases[i].Live(f.ClockMS) {
				held += r
			}
		}
		r, had := rate(z.Quotas, n.Lease.ID)
		if n.OutReason == "" && !had {
			return &Op{Kind: "split", RetryBudget: s.RetryBudget, NoCapacityElsewhere: s.NoCapacityElsewhere}
		}
		if n.Lease.Live(f.ClockMS) {
			held += r
		}
	}
	if held < 0.9*z.RateLimit {
		return &Op{Kind: "split", RetryBudget: s.RetryBudget, NoCapacityElsewhere: s.NoCapacityElsewhere}
	}
	return nil
}

// drilled tells whether a drill's time is over, or it does harm: a zone that is in turns sick, or loses more than a drill
// may cost.
func (w *Monitor) drilled(s *State, f *membership.State, z *Zone) bool {
	if z.DrillUntil == 0 || z.DrillUntil <= f.ClockMS {
		return z.DrillUntil > 0
	}
	for _, o := range w.views {
		if step, _ := s.PhaseOf(o.Zone); step == InService && o.quorum() && (o.share() >= sickShare ||
			o.OfferedWeight > 0 && o.CompletedWeight < (1-2*winLeast)*o.OfferedWeight) {
			o.Note = fmt.Sprintf("harmed by the drill of %s: %.0f of %.0f of value a second", z.Name, o.CompletedWeight, o.OfferedWeight)
			return true
		}
	}
	return false
}

// bores keeps what services bore in the log, so that it outlives leaders: seldom, and where it moved.
func (w *Monitor) bores(now uint64, s *State) *Op {
	var op *Op
	for _, v := range w.views {
		rest := uint64(boreRest)
		if v.usual.RunRate > (1+boreMoved)*v.told.RunRate { // it is still being learned
			rest = boreSoon
		}
		if v.usual.RunRate == 0 || now-v.toldA < rest && v.told.RunRate != 0 {
			continue
		}
		if math.Abs(v.usual.RunRate-v.told.RunRate) <= boreMoved*v.told.RunRate && math.Abs(v.usual.RunMS-
			v.told.RunMS) <= boreMoved*v.told.RunMS && math.Abs(v.usual.Concurrency-v.told.Concurrency) <= boreMoved*v.told.Concurrency {
			continue
		}
		if op == nil {
			op = &Op{Kind: "bore", Capacities: map[string]ObservedCapacity{}}
		}
		op.Capacities[v.Zone] = v.usual
		v.told, v.toldA = v.usual, now
	}
	return op
}

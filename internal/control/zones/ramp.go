package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

const (
	// targetLoad: a ramp asks for no more runs in flight than this part of those observed. By Little's law runs in
	// flight are the rate times the time of a run, so a cold service that takes five times as long is asked for a
	// fifth of the rate. Higher leaves nothing for load that comes unevenly, lower prolongs the ramp.
	targetLoad = 0.85
	// stepBackLoad: past it a ramp steps back. Nearer to one, uneven reports would cost steps.
	stepBackLoad = 1.1
	// stepBackTargetLoad: a step back is proportional, to below targetLoad, so that the next evaluation does not ask for
	// another.
	stepBackTargetLoad = 0.75
	// slowdownTolerance: a service that is slower than usual by less shows nothing, as reports differ by a tenth.
	slowdownTolerance = 1.15
	// overloadEvaluations in a row, a second and a half: one uneven report does not cost a step.
	overloadEvaluations = 3
	// minStepRuns have to have ended at a step before it counts as shown: fewer tell nothing about the services below.
	minStepRuns = 10
	// stepReportMarginMS: reports that are older than a step describe the share before it; wait this much beyond one
	// heartbeat before the step is judged.
	stepReportMarginMS = 1000
	// minShareDivisor: a step back ends at a quarter of the policy's initial share; below it the zone is evacuated
	// again.
	minShareDivisor = 4
	// warmRampFactor: a warm service's share at least doubles, whatever is in flight: its rate alone limits it.
	warmRampFactor = api.MaxRampFactor / 2
)

// continueRamp decides the next step of a ramp by what the services below show at this one: a step back, a new split
// of the rate limit, a larger share, the end of the ramp, or to wait.
//
// Inputs: the zone's state (share, rate limit, observed capacity), its view, the time since the share settled in ms.
// The reason: only what was seen at the present share tells what services that may be cold bear; no clock does, but
// for the end of a ramp (finishRamp). It acts while a zone, or the fleet as a whole, ramps. A step that is too large
// may overload the services below; one that is too small prolongs the ramp.
//
// Three waits set no note in the view: for the epoch to settle, for the least time at a share, and for the end of an
// operator's hold (decideZone).
func (d *decider) continueRamp(zone *Zone, view *View) operation {
	if view.silent() {
		if view.FailureScore >= evacuateScore {
			return d.stepBack(zone, view, 0, "it fell silent: "+view.Note)
		}
		return nil
	}
	shownMS := d.fleet.ClockMS - zone.SinceMS
	d.recordLoad(zone, view, shownMS)
	if share, reason := d.needsStepBack(zone, view, shownMS); reason != "" {
		return d.stepBack(zone, view, share, reason)
	}
	if !d.mayRaiseLoad() {
		return nil
	}
	if d.needsSplit(zone) {
		return &quotaSplit{d.target(view), retryBudget{d.state.RetryBudget, d.state.NoCapacityElsewhere}}
	}
	if !d.stepComplete(zone, view, shownMS) {
		return nil
	}
	if zone.Share >= api.FullShare {
		return d.finishRamp(zone, view, shownMS)
	}
	return d.raiseShare(zone, view)
}

// recordLoad notes in the view how much is in flight over what was observed, and for how many evaluations it has been
// too much.
func (d *decider) recordLoad(zone *Zone, view *View, shownMS uint64) {
	load := 0.0
	if zone.Capacity.Concurrency > 0 {
		load = view.Concurrency / zone.Capacity.Concurrency
	}
	view.recordLoad(load)
	tooMuch := shownMS >= d.monitor.heartbeatMS && load > stepBackLoad && view.Concurrency >= 1 &&
		!isWarm(view, &zone.Capacity) && view.hasQuorum()
	if tooMuch {
		view.overloadedEvaluations++
	} else {
		view.overloadedEvaluations = 0
	}
}

// needsStepBack decides whether a ramp has to step back, and to which share; the reason is empty if it need not. Where
// nodes fail the zone is evacuated; where more was in flight than the services sustained, the share goes down in
// proportion, and the evaluations with too much are counted anew.
//
// Guards against a step being judged by reports of the one before: they have to be of this share.
func (d *decider) needsStepBack(zone *Zone, view *View, shownMS uint64) (share int, reason string) {
	reportsAreOfThisStep := shownMS >= max(d.rules.MinStepMS/2, d.monitor.heartbeatMS+stepReportMarginMS)
	if d.disabled.Has(StepBack) || !reportsAreOfThisStep || !view.hasQuorum() {
		return 0, ""
	}
	// Of a zone that is merely slow, as one that is cold, runs in flight tell.
	if view.FailureScore >= evacuateScore/2 && view.unhealthyRatio() >= unhealthyShare && !view.Symptom.isSlowness() {
		return 0, fmt.Sprintf("%d of %d nodes heard are sick (%s)", view.NodesUnhealthy, view.NodesReporting,
			view.Symptom)
	}
	if view.overloadedEvaluations < overloadEvaluations {
		return 0, ""
	}
	view.overloadedEvaluations = 0
	if share = int(float64(zone.Share) * stepBackTargetLoad / view.currentLoad()); share < max(1,
		d.rules.InitialShare/minShareDivisor) {
		share = 0
	}
	return share, fmt.Sprintf("%.1f runs under way, and it bore %.1f", view.Concurrency, zone.Capacity.Concurrency)
}

// stepBack returns the operation that lowers a ramp's share, to 0 to evacuate the zone again. The fleet as a whole has
// nowhere else to send its load: it keeps a least share.
func (d *decider) stepBack(zone *Zone, view *View, share int, reason string) operation {
	if zone.Name == WholeFleet {
		share = max(share, 1, d.rules.InitialShare/minShareDivisor)
		if share >= zone.Share {
			return nil
		}
	}
	o := &stepBack{target: d.target(view), rationale: rationale{reason: reason}, cause: Cause(view.Symptom),
		waitMS: rampDelayMS(d.rules, zone.FlapCount+1)}
	o.share, o.budget = share, d.retryBudget(view, Ramping, share > 0)
	if share > 0 {
		o.rateLimit, o.connectRateLimit = zone.rateLimits(share, view.NodesIn)
	}
	return o
}

// stepComplete decides whether the present share has shown what it can: for the policy's least time, by reports of this
// share alone, with some runs, and by nodes that are healthy.
func (d *decider) stepComplete(zone *Zone, view *View, shownMS uint64) bool {
	least := d.rules.MinStepMS + d.monitor.heartbeatMS
	if shownMS < least || d.now-d.monitor.startedAt < least || !view.hasQuorum() {
		return false
	}
	if view.RunRate*float64(shownMS)/millisPerSecond < minStepRuns {
		view.Note = fmt.Sprintf("at %d of %d: waits for reqs, %.1f runs a second came", zone.Share, api.FullShare,
			view.RunRate)
		return false
	}
	coldOnly := view.Symptom.isSlowness() && view.Symptom != symptomRunsLate
	if view.unhealthyRatio() > healthyShare && !coldOnly {
		view.Note = fmt.Sprintf("at %d of %d: held, %d of %d sick (%s)", zone.Share, api.FullShare, view.NodesUnhealthy,
			view.NodesReporting, view.Symptom)
		return false
	}
	return true
}

// raiseShare decides by how much a ramp's share grows: as far as the runs in flight then expected are targetLoad of
// those observed.
func (d *decider) raiseShare(zone *Zone, view *View) operation {
	factor := float64(api.MaxRampFactor)
	if load := view.highestLoad(); load > 0 {
		factor = min(factor, targetLoad/load)
	}
	if isWarm(view, &zone.Capacity) {
		factor = max(factor, warmRampFactor)
	}
	if factor < api.MinRampFactor {
		view.Note = fmt.Sprintf("at %d of %d: held, %.0f runs under way of %.0f it bore", zone.Share, api.FullShare,
			view.Concurrency,
			zone.Capacity.Concurrency)
		return nil
	}
	// What is a little slower than usual bears so much less of the rate that it bore at its peak.
	most := float64(api.FullShare)
	if slower := slowdown(view, &zone.Capacity); slower > slowdownTolerance {
		most *= slowdownTolerance / slower
	}
	share := max(zone.Share+1, int(min(most, float64(zone.Share)*factor)))
	why := rationale{operator: zone.Operator, reason: fmt.Sprintf("%.1f runs under way of %.1f it bore, %.0f ms a run",
		view.Concurrency, zone.Capacity.Concurrency, view.RunMS)}
	return d.rampStep(zone, view, min(api.FullShare, share), why)
}

// isWarm reports whether the services below take the time that they usually do.
func isWarm(view *View, capacity *ObservedCapacity) bool {
	slower := slowdown(view, capacity)
	return slower > 0 && slower <= maxWarmSlowdown
}

// slowdown returns how many times as long as usual the services below take, 0 where nothing tells. Their own time tells
// where there are calls: a run has the node's own work in it, so a call that takes three times as long may not show
// there.
func slowdown(view *View, capacity *ObservedCapacity) float64 {
	switch {
	case capacity.CallMS > 0 && view.CallMS > 0:
		return view.CallMS / capacity.CallMS
	case capacity.RunMS > 0:
		return view.RunMS / capacity.RunMS
	}
	return 0
}

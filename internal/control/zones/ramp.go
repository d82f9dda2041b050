package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

const (
	// targetLoad is the load that a step aims for: runs in flight as a part of those observed. By Little's law runs
	// in flight are the run rate times the run time, so a service that is five times as slow gets a fifth of the
	// rate. A higher load leaves no room for uneven load, a lower one prolongs the ramp.
	targetLoad = 0.85
	// stepBackLoad is the load above which a ramp steps back. Closer to 1, uneven reports would cost steps.
	stepBackLoad = 1.1
	// stepBackTargetLoad is the load that a step back aims for. It is below targetLoad, so that the next evaluation
	// does not step back again.
	stepBackTargetLoad = 0.75
	// slowdownTolerance is the highest slowdown, see slowdown, that counts as noise of the reports, which differ by a
	// tenth.
	slowdownTolerance = 1.15
	// overloadEvaluations in a row have to show overload before a ramp steps back, so that one uneven report does
	// not cost a step.
	overloadEvaluations = 3
	// minStepRuns is the number of runs that have to end at a step before it is complete.
	minStepRuns = 10
	// stepReportMarginMS, beyond a heartbeat interval, is the time after a step in which reports may describe the
	// share before it.
	stepReportMarginMS = 1000
	// minShareDivisor: a step back below the policy's initial share divided by this evacuates the zone.
	minShareDivisor = 4
	// warmRampFactor is the least factor by which a warm service's share grows, whatever its load.
	warmRampFactor = api.MaxRampFactor / 2
)

// continueRamp decides the next operation of a ramp by the reports at the present share: a step back, a new split of
// the rate limit, a larger share, the end of the ramp, or none. Load is never raised by the clock alone, except by
// finishRamp.
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
	stepAgeMS := d.fleet.ClockMS - zone.SinceMS
	d.recordLoad(zone, view, stepAgeMS)
	if share, reason := d.needsStepBack(zone, view, stepAgeMS); reason != "" {
		return d.stepBack(zone, view, share, reason)
	}
	if !d.mayRaiseLoad() {
		return nil
	}
	if d.needsSplit(zone) {
		return &quotaSplit{d.target(view), retryBudget{d.state.RetryBudget, d.state.NoCapacityElsewhere}}
	}
	if !d.stepComplete(zone, view, stepAgeMS) {
		return nil
	}
	if zone.Share >= api.FullShare {
		return d.finishRamp(zone, view, stepAgeMS)
	}
	return d.raiseShare(zone, view)
}

// recordLoad records in the view the load (runs in flight divided by those observed) and the number of evaluations in
// a row at which it was too high.
func (d *decider) recordLoad(zone *Zone, view *View, stepAgeMS uint64) {
	load := 0.0
	if zone.Capacity.Concurrency > 0 {
		load = view.Concurrency / zone.Capacity.Concurrency
	}
	view.recordLoad(load)
	overloaded := stepAgeMS >= d.monitor.heartbeatMS && load > stepBackLoad && view.Concurrency >= 1 &&
		!isWarm(view, &zone.Capacity) && view.hasQuorum()
	if overloaded {
		view.overloadedEvaluations++
	} else {
		view.overloadedEvaluations = 0
	}
}

// needsStepBack decides whether a ramp steps back, and to which share; the reason is empty if it does not. If nodes
// fail, the zone is evacuated; if it is overloaded, the share is lowered in proportion and the overloaded evaluations
// start from 0.
//
// Guards against judging a step by reports from before it.
func (d *decider) needsStepBack(zone *Zone, view *View, stepAgeMS uint64) (share int, reason string) {
	reportsCoverStep := stepAgeMS >= max(d.rules.MinStepMS/2, d.monitor.heartbeatMS+stepReportMarginMS)
	if d.disabled.Has(StepBack) || !reportsCoverStep || !view.hasQuorum() {
		return 0, ""
	}
	// A zone that is only slow may be cold; its load decides below.
	if view.FailureScore >= evacuateScore/2 && view.unhealthyRatio() >= minUnhealthyRatio && !view.Symptom.isSlowness() {
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

// stepBack returns the operation that lowers a ramp's share, at 0 to evacuate the zone. The whole fleet keeps a
// minimum share, as no other zone could take its load.
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

// stepComplete reports whether the present share can be judged: it has lasted the policy's least time, was seen by
// this leader for as long, served enough runs, and its nodes are healthy.
func (d *decider) stepComplete(zone *Zone, view *View, stepAgeMS uint64) bool {
	minAgeMS := d.rules.MinStepMS + d.monitor.heartbeatMS
	if stepAgeMS < minAgeMS || d.now-d.monitor.startedAt < minAgeMS || !view.hasQuorum() {
		return false
	}
	if view.RunRate*float64(stepAgeMS)/millisPerSecond < minStepRuns {
		view.Note = fmt.Sprintf("at %d of %d: waits for reqs, %.1f runs a second came", zone.Share, api.FullShare,
			view.RunRate)
		return false
	}
	coldOnly := view.Symptom.isSlowness() && view.Symptom != symptomRunsLate
	if view.unhealthyRatio() > maxUnhealthyRatio && !coldOnly {
		view.Note = fmt.Sprintf("at %d of %d: held, %d of %d sick (%s)", zone.Share, api.FullShare, view.NodesUnhealthy,
			view.NodesReporting, view.Symptom)
		return false
	}
	return true
}

// raiseShare returns the operation that raises a ramp's share so far that the expected load is targetLoad, or by
// warmRampFactor if the services are warm; nil if the load leaves no room for a step.
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
			view.Concurrency, zone.Capacity.Concurrency)
		return nil
	}
	// A service that is slower than observed while healthy sustains a lower rate than its observed peak.
	maxShare := float64(api.FullShare)
	if slowdownRatio := slowdown(view, &zone.Capacity); slowdownRatio > slowdownTolerance {
		maxShare *= slowdownTolerance / slowdownRatio
	}
	share := max(zone.Share+1, int(min(maxShare, float64(zone.Share)*factor)))
	reason := fmt.Sprintf("%.1f runs under way of %.1f it bore, %.0f ms a run", view.Concurrency,
		zone.Capacity.Concurrency, view.RunMS)
	basis := rationale{operator: zone.Operator, reason: reason}
	return d.rampStep(zone, view, min(api.FullShare, share), basis)
}

// isWarm reports whether the services below are about as fast as observed while healthy.
func isWarm(view *View, capacity *ObservedCapacity) bool {
	slowdownRatio := slowdown(view, capacity)
	return slowdownRatio > 0 && slowdownRatio <= maxWarmSlowdown
}

// slowdown returns the time of the services below as a multiple of the observed, 0 if unknown. Call times are
// preferred: a run includes the node's own work, which hides a slow call.
func slowdown(view *View, capacity *ObservedCapacity) float64 {
	switch {
	case capacity.CallMS > 0 && view.CallMS > 0:
		return view.CallMS / capacity.CallMS
	case capacity.RunMS > 0:
		return view.RunMS / capacity.RunMS
	}
	return 0
}

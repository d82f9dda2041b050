package zones

import (
	"fmt"
	"math"

	"umberwinch/internal/control/api"
)

const (
	// maxUtilization is the part of the run capacity up to which load is moved to other zones; the rest absorbs
	// uneven load. With more, an evacuation could overload the other zones; with less, it would not be possible at half
	// load.
	maxUtilization = 0.85
	// minEvacuationGain is the least gain in completed weight that justifies an evacuation, as a part of the zone's
	// offered weight. Smaller differences are within the error of the reports, and each evacuation costs callers a retry.
	minEvacuationGain = 0.1
	// maxDrillLoss is the part of its offered weight that another zone may fail to complete during a drill.
	maxDrillLoss = 2 * minEvacuationGain
	// minMovedShare, of api.FullShare, is the least part of a zone's load that is worth an epoch, which
	// every node has to promise.
	minMovedShare = api.FullShare / 8
	// maxDelayDoublings bounds the shift in rampDelayMS, which must not overflow; MaxRampDelayMS applies earlier.
	maxDelayDoublings = 20
	// flapWindowMS: a zone that fails within this time after its ramp ended has flapped, and its next ramp delay
	// doubles. The window covers several ramps; with a shorter one a zone that fails at each return would take its
	// callers along every time.
	flapWindowMS = 600_000
	// minRate replaces a rate of 0 as a divisor.
	minRate = 1e-9
)

// evacuate decides whether a zone is evacuated, and how much of it. A silent zone is evacuated so that its return is
// paced; another one if that completes more weight in time than staying, as far as the other zones have spare
// capacity.
//
// One zone with nodes that are in always stays in service, even if its nodes are silent. While the fleet ramps after a
// cold start, a slow zone is not evacuated, as its services are still cold.
func (d *decider) evacuate(view *View) operation {
	if view.FailureScore < evacuateScore || !d.state.anotherInService(view.Zone, d.fleet) {
		return nil
	}
	if phase, _ := d.state.PhaseOf(WholeFleet); phase == Ramping && view.Symptom.isSlowness() {
		view.Note = fmt.Sprintf("the fleet comes back, and this zone is not warm yet (%s)", view.Symptom)
		return nil
	}
	return d.evacuateFailing(view)
}

func (d *decider) evacuateFailing(view *View) operation {
	o := &evacuation{target: d.target(view), cause: view.Cause,
		waitMS: rampDelayMS(d.rules, d.flapsAtNextFailure(view))}
	if view.observed.RunRate > 0 { // sizes the later ramp
		o.capacities = map[string]ObservedCapacity{view.Zone: view.observed}
	}
	if view.silent() { // it serves no callers, so none lose by it
		o.reason, o.budget = view.Note, d.retryBudget(view, Evacuated, false)
		return o
	}
	others, ok := d.spareCapacity(view)
	if !ok || view.unhealthyRatio() < minUnhealthyRatio { // the score lags behind a zone that is healthy again
		return nil
	}
	if !d.chooseEvacuation(o, view, others) {
		return nil
	}
	o.reason = fmt.Sprintf("%d of %d nodes heard are sick (%s); %.0f runs a second here, room for %.0f elsewhere",
		view.NodesUnhealthy, view.NodesReporting, view.Cause, view.RunRate, others.runRate)
	o.budget = d.retryBudget(view, Evacuated, o.share > 0)
	return o
}

// chooseEvacuation decides between staying, a full and a partial evacuation by the weight that each completes, and
// sets the operation's expected values, share and cutoff. It reports whether the zone is evacuated.
//
// Callers already retry elsewhere what the zone does not run, so an evacuation adds only its present run rate to the
// other zones. Requests of the most weight move, those of the least stay.
func (d *decider) chooseEvacuation(o *evacuation, view *View, others spareCapacity) bool {
	runRate := max(view.RunRate, minRate)
	admittedRate := max(view.AdmittedRate, minRate)
	movedRate := min(runRate, others.runRate)
	if d.disabled.Has(SpareCapacity) {
		movedRate = runRate
	}
	movedFraction := movedRate / runRate
	offeredWeight := view.OfferedWeight * min(1, runRate/admittedRate) // weight of as many first attempts as run
	movedWeight := offeredWeight * others.completionRatio * valueFraction(view.arrivedByWeight, movedFraction)
	o.valueOfStaying = view.CompletedWeight
	o.valueOfEvacuating = movedWeight + view.CompletedWeight*(1-movedFraction)
	switch {
	case view.CompletedWeight <= minEvacuationGain*view.OfferedWeight && movedWeight >= view.CompletedWeight:
		o.valueOfEvacuating = movedWeight // it completes almost nothing, so a full evacuation loses nothing
	case o.valueOfEvacuating-o.valueOfStaying < minEvacuationGain*view.OfferedWeight:
		view.Note = fmt.Sprintf("sick (%s), but leaving would do %.0f of value a second, staying %.0f", view.Symptom,
			o.valueOfEvacuating, o.valueOfStaying)
		return false
	case movedFraction < 1 && int(movedFraction*api.FullShare) < minMovedShare:
		view.Note = fmt.Sprintf("sick (%s), and the others have room for %.0f runs a second of %.0f", view.Symptom,
			others.runRate, runRate)
		return false
	case movedFraction < 1:
		o.share, o.priorityCutoff = remainingLimits(view.arrivedByWeight, min(1, (runRate-movedRate)/admittedRate))
	}
	return true
}

// spareCapacity is the capacity of the other zones beyond their present load.
type spareCapacity struct {
	runRate         float64 // runs a second
	completionRatio float64 // completed by offered weight, 0 to 1
}

// spareCapacity sums the spare capacity of the zones in service except one. Zones that are silent, unhealthy or
// without a quorum of reports don't count; ok is false if no zone counts.
func (d *decider) spareCapacity(excluded *View) (others spareCapacity, ok bool) {
	completed, offered := 0.0, 0.0
	for _, other := range d.monitor.views {
		usable := d.state.inService(other.Zone) && !other.silent() && other.hasQuorum()
		healthy := other.unhealthyRatio() <= maxUnhealthyRatio || d.disabled.Has(CommonCause)
		if other == excluded || !usable || !healthy {
			continue
		}
		ok = true
		others.runRate += max(0, maxUtilization*other.RunCapacity-other.RunRate)
		completed += other.CompletedWeight
		offered += other.OfferedWeight
	}
	others.completionRatio = 1
	if offered > 0 {
		others.completionRatio = min(1, completed/offered)
	}
	return others, ok
}

// valueFraction returns the part of the total weight that a part of all requests has, taken in descending order of
// weight. arrivals is in ascending order of weight.
func valueFraction(arrivals []api.PriorityCount, requestFraction float64) float64 {
	totalArrived, weight, totalWeight := 0, 0.0, 0.0
	for _, count := range arrivals {
		totalArrived += count.Arrived
		totalWeight += count.Weight * float64(count.Arrived)
	}
	if totalArrived == 0 || totalWeight == 0 {
		return requestFraction
	}
	remaining := requestFraction * float64(totalArrived)
	for i := len(arrivals) - 1; i >= 0 && remaining > 0; i-- {
		n := min(remaining, float64(arrivals[i].Arrived))
		weight += n * arrivals[i].Weight
		remaining -= n
	}
	return weight / totalWeight
}

// remainingLimits returns the limits that keep a part of a zone's requests, in ascending order of weight: all
// requests below the cutoff, and share of those at it.
func remainingLimits(arrivals []api.PriorityCount, requestFraction float64) (share int, cutoff float64) {
	totalArrived := 0
	for _, count := range arrivals {
		totalArrived += count.Arrived
	}
	remaining := requestFraction * float64(totalArrived)
	for _, count := range arrivals {
		n := float64(count.Arrived)
		if remaining < n {
			return max(1, int(api.FullShare*remaining/n)), count.Weight
		}
		remaining -= n
	}
	return api.FullShare, math.MaxFloat64
}

// flapsAtNextFailure returns the flap count of a zone if it is evacuated now.
func (d *decider) flapsAtNextFailure(view *View) int {
	zone := d.state.Find(view.Zone)
	if zone == nil || zone.Phase == InService && d.fleet.ClockMS-zone.InServiceSinceMS > flapWindowMS {
		return 0
	}
	return zone.FlapCount + 1
}

// rampDelayMS returns the least time between an evacuation and the next ramp, in ms. It doubles with each flap, up to
// the policy's limit, so that a zone that fails at each return affects its callers less often.
func rampDelayMS(rules *api.ZoneRules, flaps int) uint64 {
	return min(rules.MinStepMS<<min(flaps, maxDelayDoublings), rules.MaxRampDelayMS)
}

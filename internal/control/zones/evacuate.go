package zones

import (
	"fmt"
	"math"

	"umberwinch/internal/control/api"
)

const (
	// maxUtilization: other zones are not filled past this part of what they could do; what is left is for load that comes
	// unevenly. Higher, an evacuation could overload the zones that are left; lower, it could not be done at half
	// load.
	maxUtilization = 0.85
	// minEvacuationGain: an evacuation has to win a tenth of the value that the zone is asked for. Less is within what reports
	// can tell, and each evacuation costs callers a retry.
	minEvacuationGain = 0.1
	// minMovedShare, of api.FullShare: less than an eighth of a zone is not worth an epoch that every node has to
	// promise.
	minMovedShare = api.FullShare / 8
	// maxDelayDoublings of a wait: beyond it MaxRampDelayMS is the limit in any case, and the shift must not overflow.
	maxDelayDoublings = 20
	// flapWindowMS: a zone that fails again so soon after its return has flapped, and waits twice as long before the
	// next ramp. Ten minutes are several ramps; shorter would let a zone that fails at each return bring its callers
	// down every time.
	flapWindowMS = 600_000
	// minRate stands for no rate where one is divided by.
	minRate = 1e-9
)

// evacuate decides whether a zone should be evacuated, and how much of it.
//
// Inputs: the zone's view (rates a second, value in priority weight a second), its failure score, and the views of
// the zones in service. A zone that serves nobody is evacuated so that its return is paced. Another is evacuated if
// that completes more value in time than staying does, as far as the others have capacity. It may harm the callers of
// the other zones, whose load grows, and those of what stays in a zone that is evacuated in part.
//
// One zone is always in service, and while the fleet ramps after a cold start a zone that is merely slow is not warm
// yet.
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
	if view.observed.RunRate > 0 { // the ramp goes by it
		o.capacities = map[string]ObservedCapacity{view.Zone: view.observed}
	}
	if view.silent() { // it serves nobody: this takes nothing from anybody
		o.reason, o.budget = view.Note, d.retryBudget(view, Evacuated, false)
		return o
	}
	others, ok := d.spareCapacity(view)
	if !ok || view.unhealthyRatio() < unhealthyShare { // it is healthy again, and the score has not fallen yet
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

// chooseEvacuation decides between staying, a whole evacuation and one in part, and sets the operation's values, share and
// cutoff. It reports whether the zone is evacuated.
//
// What the zone does not do is asked for elsewhere already, as callers retry. So what the others would take besides
// is what runs here. The requests of most value move; those of least value stay and take their chances.
func (d *decider) chooseEvacuation(o *evacuation, view *View, others spareCapacity) bool {
	runs := max(view.RunRate, minRate)
	admitted := max(view.AdmittedRate, minRate)
	moved := min(runs, others.runRate)
	if d.disabled.Has(SpareCapacity) {
		moved = runs
	}
	part := moved / runs
	asked := view.OfferedWeight * min(1, runs/admitted) // the value of as many first attempts as run
	whole := asked * others.completionRatio * valueFraction(view.arrivedByWeight, part)
	o.valueOfStaying = view.CompletedWeight
	o.valueOfEvacuating = whole + view.CompletedWeight*(1-part)
	switch {
	case view.CompletedWeight <= minEvacuationGain*view.OfferedWeight && whole >= view.CompletedWeight:
		o.valueOfEvacuating = whole // it does hardly anything: to evacuate it wholly takes nothing from anybody
	case o.valueOfEvacuating-o.valueOfStaying < minEvacuationGain*view.OfferedWeight:
		view.Note = fmt.Sprintf("sick (%s), but leaving would do %.0f of value a second, staying %.0f", view.Symptom,
			o.valueOfEvacuating, o.valueOfStaying)
		return false
	case part < 1 && int(part*api.FullShare) < minMovedShare:
		view.Note = fmt.Sprintf("sick (%s), and the others have room for %.0f runs a second of %.0f", view.Symptom,
			others.runRate, runs)
		return false
	case part < 1:
		o.share, o.priorityCutoff = remainingLimits(view.arrivedByWeight, min(1, (runs-moved)/admitted))
	}
	return true
}

// spareCapacity is what the other zones could do besides what they do.
type spareCapacity struct {
	runRate         float64 // runs a second
	completionRatio float64 // part of the value that they are asked for which they complete in time, 0 to 1
}

// spareCapacity decides how much load the zones in service could take, beside what they do, without that of one. ok
// is false where none of them is healthy and heard. A limit that is too high overloads them, one that is too low
// leaves callers with a zone that fails.
func (d *decider) spareCapacity(without *View) (others spareCapacity, ok bool) {
	completed, offered := 0.0, 0.0
	for _, other := range d.monitor.views {
		usable := d.state.inService(other.Zone) && !other.silent() && other.hasQuorum()
		healthy := other.unhealthyRatio() <= healthyShare || d.disabled.Has(CommonCause)
		if other == without || !usable || !healthy {
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

// valueFraction returns the part of all value that the requests of most value have, if they are a part of all requests.
// mix is by weight, the least first.
func valueFraction(mix []api.PriorityCount, part float64) float64 {
	arrived, value, whole := 0, 0.0, 0.0
	for _, count := range mix {
		arrived += count.Arrived
		whole += count.Weight * float64(count.Arrived)
	}
	if arrived == 0 || whole == 0 {
		return part
	}
	left := part * float64(arrived)
	for i := len(mix) - 1; i >= 0 && left > 0; i-- {
		n := min(left, float64(mix[i].Arrived))
		value += n * mix[i].Weight
		left -= n
	}
	return value / whole
}

// remainingLimits returns what stays in a zone where a part of its requests does: all of less weight than the cutoff, and a
// share of those at it.
func remainingLimits(mix []api.PriorityCount, part float64) (share int, cutoff float64) {
	arrived := 0
	for _, count := range mix {
		arrived += count.Arrived
	}
	left := part * float64(arrived)
	for _, count := range mix {
		n := float64(count.Arrived)
		if left < n {
			return max(1, int(api.FullShare*left/n)), count.Weight
		}
		left -= n
	}
	return api.FullShare, math.MaxFloat64
}

// flapsAtNextFailure returns the flap count that a zone has if it is evacuated now.
func (d *decider) flapsAtNextFailure(view *View) int {
	zone := d.state.Find(view.Zone)
	if zone == nil || zone.Phase == InService && d.fleet.ClockMS-zone.InServiceSinceMS > flapWindowMS {
		return 0
	}
	return zone.FlapCount + 1
}

// rampDelayMS decides how long a zone stays evacuated at least, in ms: twice as long with each time that it failed
// again soon, up to the policy's limit. A zone that fails at each return must not take its callers along each time.
func rampDelayMS(rules *api.ZoneRules, flaps int) uint64 {
	return min(rules.MinStepMS<<min(flaps, maxDelayDoublings), rules.MaxRampDelayMS)
}

package zones

import "fmt"

const (
	// evacuateScore is the failure score from which a zone may be evacuated: four unhealthy evaluations, two seconds.
	evacuateScore = 4.0
	// maxScore bounds the score, so that a zone that was unhealthy for long is healthy after three evaluations.
	maxScore = 6.0
	// unhealthyPoints and healthyPoints are added to the score at an evaluation; it falls faster than it rises.
	unhealthyPoints = 1.0
	healthyPoints   = -2.0
	// uncertainPoints are added if some nodes are unhealthy, but too few.
	uncertainPoints = healthyPoints / 4
	// silentPoints are added for a silent zone. Silence and probes already took time, so two evaluations suffice.
	silentPoints = evacuateScore / 2
	// A common cause may end in some zones earlier than in others, so for commonCauseWindowMS after it an unhealthy
	// zone gets only reducedUnhealthyPoints.
	commonCauseWindowMS    = 10_000
	reducedUnhealthyPoints = unhealthyPoints / 2
	// minProbeResults is the least number of probe results by which a zone counts as dead.
	minProbeResults = 2
	// A zone that gets fewer than its observed first attempts divided by unreachableDivisor is out of reach of its callers,
	// if the observed rate is above minObservedAttemptRate a second.
	unreachableDivisor     = 20
	minObservedAttemptRate = 1
)

// score updates a zone's failure score, which grows with the time and certainty of a failure. An evaluation without
// enough reports does not change it.
func (m *Monitor) score(now uint64, state *State, view *View, disabled Guard) {
	switch {
	case view.silent():
		m.scoreSilent(now, view)
		return
	case !view.hasQuorum():
		view.Note = fmt.Sprintf("%d of %d nodes heard: nothing can be told", view.NodesReporting, view.NodesIn)
		return
	case view.unhealthyRatio() >= minUnhealthyRatio:
		m.scoreUnhealthy(now, state, view, disabled)
	case view.unhealthyRatio() <= maxUnhealthyRatio:
		view.addScore(healthyPoints)
	default:
		view.addScore(uncertainPoints)
	}
	inService := state.inService(view.Zone)
	if view.NodesUnhealthy > 0 && view.unhealthyRatio() < minUnhealthyRatio {
		view.Note = fmt.Sprintf("%d of %d nodes heard are sick (%s): not the zone", view.NodesUnhealthy,
			view.NodesReporting, view.Symptom)
	}
	observedRate := view.observed.FirstAttemptRate
	if observedRate > minObservedAttemptRate && view.FirstAttemptRate < observedRate/unreachableDivisor && inService {
		view.Note = "hardly any callers reach it: nothing is won by leaving it"
	}
	// Guards against averaging in the reports of a fleet that ramps, whose services are cold and whose rate is limited.
	healthy := view.FailureScore == 0 && view.NodesUnhealthy == 0 && 2*view.NodesReporting >= view.NodesIn
	if inService && state.inService(WholeFleet) && healthy {
		view.observe()
	} else {
		view.healthyHistory = view.healthyHistory[:0]
	}
}

func (v *View) addScore(points float64) {
	v.FailureScore = min(maxScore, max(0, v.FailureScore+points))
}

// scoreUnhealthy scores a zone with mostly unhealthy nodes.
//
// Guards against evacuating a zone for a common cause: if the other zones are unhealthy too, moving load makes it
// worse.
func (m *Monitor) scoreUnhealthy(now uint64, state *State, view *View, disabled Guard) {
	if !m.othersHealthy(state, view) && !disabled.Has(CommonCause) {
		view.addScore(-unhealthyPoints)
		view.commonCauseAt = now
		view.Note = fmt.Sprintf("%d of %d sick (%s), and no other zone is well: a common cause, nobody leaves",
			view.NodesUnhealthy, view.NodesReporting, view.Symptom)
		return
	}
	view.Cause = Cause(view.Symptom)
	if view.commonCauseAt != 0 && now-view.commonCauseAt < commonCauseWindowMS {
		view.addScore(reducedUnhealthyPoints)
	} else {
		view.addScore(unhealthyPoints)
	}
}

// othersHealthy reports whether at least half of the other zones in service, and at least one, report and are
// healthy. Slowness may share a cause with zones at capacity or slow; failures only with zones that fail.
func (m *Monitor) othersHealthy(state *State, view *View) bool {
	healthy, inService := 0, 0
	for _, other := range m.views {
		if other == view || !state.inService(other.Zone) || other.silent() {
			continue
		}
		inService++
		isSlow := view.Symptom.isSlowness()
		isHealthy := other.unhealthyRatio() <= maxUnhealthyRatio && !(other.atCapacity && isSlow)
		if other.hasQuorum() && (isHealthy || other.Symptom.isSlowness() && !isSlow) {
			healthy++
		}
	}
	return healthy > 0 && 2*healthy >= inService
}

// scoreSilent scores a silent zone by the probes of its nodes by nodes of other zones.
//
// Guards against evacuating a zone that serves and has lost contact with the group only.
func (m *Monitor) scoreSilent(now uint64, view *View) {
	counts := m.probes.countResults(now, view.Zone, m.probeTTLMS())
	total := counts.serving + counts.shedding + counts.silent
	switch {
	case total > 0 && 2*counts.serving >= total:
		view.addScore(healthyPoints)
		view.Note = fmt.Sprintf("not heard, but %d of %d looks at its nodes found them serving: "+
			"cut off from the group alone", counts.serving, total)
	case total >= minProbeResults:
		view.Cause = causeDead
		view.Note = fmt.Sprintf("not heard, and %d of %d looks at its nodes had no answer", counts.silent, total)
		if counts.shedding > counts.silent {
			view.Cause, view.Note = causeCutOff, "not heard, and its nodes take nothing as others see them"
		}
		view.addScore(silentPoints)
	default:
		view.Note = "not heard; nobody has looked yet"
	}
}

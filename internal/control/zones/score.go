package zones

import "fmt"

const (
	// evacuateScore: a zone is evacuated after four evaluations at which it is unhealthy, two seconds, which are some
	// reports of each node. Fewer would let noise evacuate it, more would cost a second of service each.
	evacuateScore = 4.0
	// maxScore: a zone that was unhealthy for long is healthy after three evaluations.
	maxScore = 6.0
	// unhealthyPoints and healthyPoints a zone gets at an evaluation. What has ended is forgotten sooner than it was
	// believed.
	unhealthyPoints = 1.0
	healthyPoints   = -2.0
	// uncertainPoints, where some nodes are unhealthy but not enough.
	uncertainPoints = healthyPoints / 4
	// silentPoints: silence and health checks took their time already, so two evaluations are enough.
	silentPoints = evacuateScore / 2
	// What ailed all zones may end a little sooner in some: for commonCauseWindowMS after that it takes twice as long to be
	// sure of one.
	commonCauseWindowMS    = 10_000
	reducedUnhealthyPoints = unhealthyPoints / 2
	// minProbeResults: one node's word alone does not tell that a zone is dead.
	minProbeResults = 2
	// A zone that fewer than one in unreachableDivisor of its usual first attempts reach is cut off from its callers. With
	// minUsualAttemptRate a second or fewer that tells nothing.
	unreachableDivisor  = 20
	minUsualAttemptRate = 1
)

// score keeps the failure score of a zone: how long and how surely it fails, over several evaluations. Reports that
// are missing add nothing to it.
func (m *Monitor) score(now uint64, state *State, view *View, without Guard) {
	switch {
	case view.silent():
		m.scoreSilent(now, view)
		return
	case !view.hasQuorum():
		view.Note = fmt.Sprintf("%d of %d nodes heard: nothing can be told", view.NodesReporting, view.NodesIn)
		return
	case view.unhealthyRatio() >= unhealthyShare:
		m.scoreUnhealthy(now, state, view, without)
	case view.unhealthyRatio() <= healthyShare:
		view.addScore(healthyPoints)
	default:
		view.addScore(uncertainPoints)
	}
	inService := state.inService(view.Zone)
	if view.NodesUnhealthy > 0 && view.unhealthyRatio() < unhealthyShare {
		view.Note = fmt.Sprintf("%d of %d nodes heard are sick (%s): not the zone", view.NodesUnhealthy,
			view.NodesReporting,
			view.Symptom)
	}
	usual := view.observed.FirstAttemptRate
	if usual > minUsualAttemptRate && view.FirstAttemptRate < usual/unreachableDivisor && inService {
		view.Note = "hardly any callers reach it: nothing is won by leaving it"
	}
	// Guards against taking what a fleet shows while it ramps, cold and limited, for what is usual.
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

// scoreUnhealthy scores a zone of which most nodes are unhealthy.
//
// Guards against evacuating one zone for what ails all: where the other zones are unhealthy too the cause is common,
// and moving load only adds to it.
func (m *Monitor) scoreUnhealthy(now uint64, state *State, view *View, without Guard) {
	if !m.othersHealthy(state, view) && !without.Has(CommonCause) {
		view.addScore(-unhealthyPoints)
		view.commonCauseAt = now
		view.Note = fmt.Sprintf("%d of %d sick (%s), and no other zone is well: a common cause, nobody leaves",
			view.NodesUnhealthy,
			view.NodesReporting, view.Symptom)
		return
	}
	view.Cause = Cause(view.Symptom)
	if view.commonCauseAt != 0 && now-view.commonCauseAt < commonCauseWindowMS {
		view.addScore(reducedUnhealthyPoints)
	} else {
		view.addScore(unhealthyPoints)
	}
}

// othersHealthy reports whether half or more of the other zones in service, and one at least, are heard and healthy.
// What is slow may be slow for the same cause as others that are busy or slow; what fails, only as others that fail.
func (m *Monitor) othersHealthy(state *State, view *View) bool {
	healthy, inService := 0, 0
	for _, other := range m.views {
		if other == view || !state.inService(other.Zone) || other.silent() {
			continue
		}
		inService++
		slow := view.Symptom.isSlowness()
		well := other.unhealthyRatio() <= healthyShare && !(other.atCapacity && slow)
		if other.hasQuorum() && (well || other.Symptom.isSlowness() && !slow) {
			healthy++
		}
	}
	return healthy > 0 && 2*healthy >= inService
}

// scoreSilent scores a zone of which no node is heard, by what nodes of other zones found of its health.
//
// Guards against evacuating a zone that serves and is cut off from the group alone.
func (m *Monitor) scoreSilent(now uint64, view *View) {
	found := m.probes.countResults(now, view.Zone, m.probeTTLMS())
	total := found.serving + found.shedding + found.silent
	switch {
	case total > 0 && 2*found.serving >= total:
		view.addScore(healthyPoints)
		view.Note = fmt.Sprintf("not heard, but %d of %d looks at its nodes found them serving: "+
			"cut off from the group alone",
			found.serving, total)
	case total >= minProbeResults:
		view.Cause = causeDead
		view.Note = fmt.Sprintf("not heard, and %d of %d looks at its nodes had no answer", found.silent, total)
		if found.shedding > found.silent {
			view.Cause, view.Note = causeCutOff, "not heard, and its nodes take nothing as others see them"
		}
		view.addScore(silentPoints)
	default:
		view.Note = "not heard; nobody has looked yet"
	}
}

package zones

import "umberwinch/internal/control/api"

const (
	// maxRetryRatio, of first attempts: more retries than this never come, and a report of little demand must not
	// allow any number.
	maxRetryRatio = 4
	// minRetryRatio: where there is no capacity, one in sixteen retries is admitted, so that it is found once there is.
	minRetryRatio = 1.0 / 16
	// noCapacityRatio: under a twentieth of capacity left, callers are told not to retry.
	noCapacityRatio = 0.05
)

// retryBudget decides how many retries of requests that another zone rejected the zones in service may admit for
// api.FullShare first attempts, and whether there is no capacity anywhere, so that a rejection is final.
//
// Inputs: the demand of the whole fleet in first attempts a second, the run capacity of the zones in service, and the
// zones on the callers' list: the first attempts are spread over all of those. view is the zone that the operation is
// about, next the phase it is about to have, listed whether callers go on sending it first attempts.
//
// Guards against an evacuated zone's callers overloading the others: without the budget those were asked for nearly
// twice of what they bear. It may harm callers whose retry is rejected though there would have been capacity: reports
// lag by a second or two.
func (m *Monitor) retryBudget(state *State, view *View, next Phase, listed bool) (budget int, noCapacity bool) {
	demand, capacity, nodesIn, nodesListed := m.fleetView.demand, 0.0, 0, 0
	for _, other := range m.views {
		phase, share := state.PhaseOf(other.Zone)
		isListed := phase != InService && share > 0 && !other.silent()
		if other == view {
			phase, isListed = next, listed
		}
		switch {
		case phase != InService && isListed:
			nodesListed += other.NodesIn
		case phase == InService && other.hasQuorum():
			nodesListed += other.NodesIn
			nodesIn += other.NodesIn
			capacity += maxUtilization * other.RunCapacity
		}
	}
	if nodesIn == 0 || demand <= 0 {
		return 0, false
	}
	firstAttempts := demand * float64(nodesIn) / float64(max(1, nodesListed))
	ratio := capacity/firstAttempts - 1
	return int(api.FullShare * min(maxRetryRatio, max(minRetryRatio, ratio))), ratio < noCapacityRatio
}

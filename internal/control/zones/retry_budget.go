package zones

import "umberwinch/internal/control/api"

const (
	// maxRetryRatio is the highest ratio of retries to first attempts, for a demand that is reported too low.
	maxRetryRatio = 4
	// minRetryRatio is the least ratio of retries that are admitted even without capacity, so that capacity is found
	// once there is some.
	minRetryRatio = 1.0 / 16
	// noCapacityRatio of the first attempts' rate: with less spare capacity callers are not asked to retry.
	noCapacityRatio = 0.05
)

// retryBudget returns how many retries each zone in service may admit per api.FullShare first attempts, and
// whether no zone has capacity, so that a rejection of a retry is final.
//
// The fleet's demand is spread over all zones that callers send first attempts to. view is the zone that the
// operation changes, next its phase after it. getsFirstAttempts: callers then still send it first attempts. Guards
// against an evacuated zone's callers overloading the other zones.
func (m *Monitor) retryBudget(state *State, view *View, next Phase, getsFirstAttempts bool) (
	budget int, noCapacity bool) {
	demand, capacity, nodesIn, nodesWithFirstAttempts := m.fleetView.demand, 0.0, 0, 0
	for _, other := range m.views {
		phase, share := state.PhaseOf(other.Zone)
		hasFirstAttempts := phase != InService && share > 0 && !other.silent()
		if other == view {
			phase, hasFirstAttempts = next, getsFirstAttempts
		}
		switch {
		case phase != InService && hasFirstAttempts:
			nodesWithFirstAttempts += other.NodesIn
		case phase == InService && other.hasQuorum():
			nodesWithFirstAttempts += other.NodesIn
			nodesIn += other.NodesIn
			capacity += maxUtilization * other.RunCapacity
		}
	}
	if nodesIn == 0 || demand <= 0 {
		return 0, false
	}
	firstAttempts := demand * float64(nodesIn) / float64(max(1, nodesWithFirstAttempts))
	ratio := capacity/firstAttempts - 1
	return int(api.FullShare * min(maxRetryRatio, max(minRetryRatio, ratio))), ratio < noCapacityRatio
}

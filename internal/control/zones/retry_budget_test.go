package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestRetryBudgetFollowsDemandSlowly checks that the retry budget does not grow at once when reported demand falls,
// as reports miss callers that move between zones, but does after a lasting fall.
func TestRetryBudgetFollowsDemandSlowly(t *testing.T) {
	fleet := membership.New()
	fleet.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{
		{Name: "a", Zone: "z", Nonce: "nonce-of-a"}, {Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	state := &State{Zones: []*Zone{{Name: "z", Phase: InService, Share: api.FullShare}}}
	monitor := NewMonitor()
	load := func(arrived int) api.LoadReport {
		return api.LoadReport{WindowMS: 1000, Arrived: arrived, RunsEnded: 300, MeanRunMS: 20, Completed: 300,
			KernelConnected: true, Cores: 10, CoresUsed: 5}
	}
	budget := func() int {
		retries, _ := monitor.retryBudget(state, monitor.views[0], InService, true)
		return retries
	}
	now := evaluateRepeatedly(monitor, fleet, state, 100_000, 6, load(500))
	before := budget()
	now = evaluateRepeatedly(monitor, fleet, state, now, 3, load(400))
	if moving := budget(); moving > before+api.FullShare/8 {
		t.Errorf("retry budget while callers move = %d, want at most %d", moving, before+api.FullShare/8)
	}
	evaluateRepeatedly(monitor, fleet, state, now, 60, load(250))
	if fallen := budget(); fallen < 2*before {
		t.Errorf("retry budget at half of the demand = %d, want at least %d", fallen, 2*before)
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestObservesOnlyHealthyZones checks that neither the runs that pile up in a stalled kernel nor the slow calls of a
// ramping fleet count as observed capacity. Otherwise the next ramp would overload the services.
func TestObservesOnlyHealthyZones(t *testing.T) {
	fleet := membership.New()
	fleet.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{
		{Name: "a", Zone: "z", Nonce: "nonce-of-a"}, {Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	state, monitor := &State{}, NewMonitor()
	healthy := api.LoadReport{WindowMS: 2000, Arrived: 200, Completed: 200, RunsEnded: 200, MeanRunMS: 20, Calls: 200,
		MeanCallMS: 10, KernelConnected: true, Cores: 4, CoresUsed: 1}
	now := evaluateRepeatedly(monitor, fleet, state, 0, 30, healthy)
	observed := monitor.Views()[0].observed
	if observed.RunRate < 190 || observed.Concurrency < 3.5 || observed.Concurrency > 4.5 {
		t.Fatalf("observed %+v, want 200 runs a second and 4 in flight", observed)
	}
	stalled := healthy
	stalled.RunsEnded, stalled.MeanRunMS, stalled.Calls, stalled.MeanCallMS, stalled.Completed, stalled.RunsInFlight,
		stalled.WindowMS = 0, 0, 0, 0, 0, 3, 800
	now = evaluateRepeatedly(monitor, fleet, state, now, 12, stalled)
	if got := monitor.Views()[0].observed; got.Concurrency > 1.2*observed.Concurrency {
		t.Errorf("observed concurrency with stalled runs = %.1f, want at most %.1f", got.Concurrency,
			1.2*observed.Concurrency)
	}
	now = evaluateRepeatedly(monitor, fleet, state, now, 12, healthy)
	before := monitor.Views()[0].observed
	state.Zones = []*Zone{{Name: WholeFleet, Phase: Ramping, Share: 32}}
	slow := healthy
	slow.MeanRunMS, slow.MeanCallMS = 25, 15
	evaluateRepeatedly(monitor, fleet, state, now, 40, slow)
	if got := monitor.Views()[0].observed; got.CallMS != before.CallMS || got.RunMS != before.RunMS {
		t.Errorf("average call time after a ramp of the fleet = %.1f ms, want %.1f as before", got.CallMS,
			before.CallMS)
	}
}

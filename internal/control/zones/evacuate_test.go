package zones

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestSharedSlownessDoesNotEvacuate checks that a zone whose runs fail stays in service while all zones are slow, as
// its load would overload the others, and that it is evacuated if it fails alone.
func TestSharedSlownessDoesNotEvacuate(t *testing.T) {
	fleet := membership.New()
	var joins []api.JoinRequest
	for i, zone := range []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"} {
		joins = append(joins, api.JoinRequest{Name: fmt.Sprint("n", i), Zone: zone, Nonce: fmt.Sprint("nonce-of-", i)})
	}
	fleet.Apply(&membership.HeartbeatBatch{Term: 1, Joins: joins}, 1, membership.LeaseTerms{LeaseMS: 5000})
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 2000, MaxRampDelayMS: 60_000, InitialShare: 16}
	healthy := api.LoadReport{WindowMS: 2000, Arrived: 100, Completed: 100, RunsEnded: 100, MeanRunMS: 20, Calls: 100,
		MeanCallMS: 10, KernelConnected: true, Cores: 4, CoresUsed: 1,
		OfferedWeight: 100, CompletedWeight: 100}
	slow, slowFailing, failing, failingSlowCalls, atCapacity := healthy, healthy, healthy, healthy, healthy
	atCapacity.RunsEnded, atCapacity.Completed, atCapacity.Late, atCapacity.MeanRunMS = 80, 40, 40, 150
	atCapacity.Calls, atCapacity.MeanCallMS, atCapacity.CompletedWeight = 80, 140, 40
	slow.RunsEnded, slow.Completed, slow.Late, slow.MeanRunMS = 20, 0, 20, 150
	slow.Calls, slow.MeanCallMS, slow.CompletedWeight = 20, 140, 0
	slowFailing.RunsEnded, slowFailing.Completed, slowFailing.Failed, slowFailing.MeanRunMS = 16, 2, 14, 250
	slowFailing.Calls, slowFailing.MeanCallMS, slowFailing.CompletedWeight = 16, 240, 2
	failing.Completed, failing.Failed, failing.CompletedWeight = 40, 60, 40
	failingSlowCalls.Completed, failingSlowCalls.Failed = 10, 90
	failingSlowCalls.MeanCallMS, failingSlowCalls.CompletedWeight = 60, 10
	for _, c := range []struct {
		name          string
		first, others api.LoadReport
		evacuated     bool
	}{{"all slow, one fails", slowFailing, slow, false},
		{"one fails", failing, healthy, true},
		{"all slow, one fails, the others at capacity", slowFailing, atCapacity, false},
		{"one slow and failing", slowFailing, healthy, true},
		{"one fails, its calls slower than usual", failingSlowCalls, healthy, true}} {
		state, monitor, now := &State{}, NewMonitor(), uint64(0)
		var op *Op
		for evaluation := 0; evaluation < 60; evaluation++ {
			now += evaluationIntervalMS
			fleet.ClockMS = now
			for _, node := range fleet.Nodes() {
				load := healthy
				if evaluation >= 30 {
					if load = c.others; node.Zone == "a" {
						load = c.first
					}
				}
				monitor.Record(now, node, &load, nil)
			}
			if o := monitor.Decide(now, state, fleet, &rules, 0); o != nil && o.Kind == "leave" && op == nil {
				op = o
			}
		}
		if evacuated := op != nil; evacuated != c.evacuated || evacuated && op.Zone != "a" {
			t.Errorf("%s: operation %+v, want zone a evacuated: %v; view %+v", c.name, op, c.evacuated,
				monitor.Views()[0])
		}
	}
}

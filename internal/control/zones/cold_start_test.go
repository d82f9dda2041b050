package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestRejoinIsNotAColdStart checks that nodes that join again without a restart don't start a ramp of the fleet:
// their services are still warm. Only processes with a short uptime count.
func TestRejoinIsNotAColdStart(t *testing.T) {
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16, ColdStart: true}
	for _, c := range []struct {
		uptimeMS uint64
		started  bool
	}{{0, true}, {5000, true}, {60_000, false}} {
		fleet := membership.New()
		fleet.ClockMS = 100_000
		fleet.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z",
			Nonce: "nonce-of-a", UptimeMS: c.uptimeMS}, {Name: "b", Zone: "z",
			Nonce: "nonce-of-b", UptimeMS: c.uptimeMS}}}, 1, membership.LeaseTerms{LeaseMS: 5000})
		state := &State{Zones: []*Zone{{Name: "z", Phase: InService, Share: api.FullShare,
			Capacity: ObservedCapacity{RunRate: 100, RunMS: 20, Concurrency: 2}}}}
		if got := state.BeginColdStart(fleet, &rules, 0); got != c.started {
			t.Errorf("uptime %d ms: BeginColdStart() = %v, want %v", c.uptimeMS, got, c.started)
		}
	}
}

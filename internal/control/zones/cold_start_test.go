package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestRejoinIsNoColdStart: nodes that were up all along join anew, as after their leases ran out or the group was
// restored. Their services are warm: if that counted as a restart, the fleet would ramp for nothing. Only processes
// that began lately count.
func TestRejoinIsNoColdStart(t *testing.T) {
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16, ColdStart: true}
	for _, c := range []struct {
		up    uint64
		began bool
	}{{0, true}, {5000, true}, {60_000, false}} {
		f := membership.New()
		f.ClockMS = 100_000
		f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z",
			Nonce: "nonce-of-a", UptimeMS: c.up}, {Name: "b", Zone: "z",
			Nonce: "nonce-of-b", UptimeMS: c.up}}}, 1, membership.LeaseTerms{LeaseMS: 5000})
		s := &State{Zones: []*Zone{{Name: "z", Phase: InService, Share: api.FullShare,
			Capacity: ObservedCapacity{RunRate: 100, RunMS: 20, Concurrency: 2}}}}
		if got := s.BeginColdStart(f, &rules, 0); got != c.began {
			t.Errorf("up for %d ms: %v, expected %v", c.up, got, c.began)
		}
	}
}

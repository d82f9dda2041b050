package zones

import (
	"testing"

	"umberwinch/internal/control/membership"
)

// TestDrillEndsOnTimeOrOnHarm checks that a drill, an outage of a healthy zone, ends with its time or as soon as a
// zone in service is unhealthy or loses more weight than a drill may cost.
func TestDrillEndsOnTimeOrOnHarm(t *testing.T) {
	for _, c := range []struct {
		name  string
		until uint64
		other View
		ends  bool
	}{
		{"no drill", 0, View{NodesUnhealthy: 9}, false},
		{"time is over", 1000, View{}, true},
		{"no harm", 1001, View{OfferedWeight: 100, CompletedWeight: 80}, false},
		{"another zone loses weight", 1001, View{OfferedWeight: 100, CompletedWeight: 79}, true},
		{"another zone is unhealthy", 1001, View{NodesUnhealthy: 6}, true},
		{"some nodes of another zone are unhealthy", 1001, View{NodesUnhealthy: 5}, false},
	} {
		other := c.other
		other.Zone, other.NodesIn, other.NodesReporting = "b", 10, 10
		d, _ := newTestDecider(&other)
		d.monitor.views = d.monitor.views[1:]
		d.fleet = membership.New()
		d.fleet.ClockMS = 1000
		if got := d.shouldEndDrill(&Zone{Name: "a", DrillUntilMS: c.until}); got != c.ends {
			t.Errorf("%s: shouldEndDrill() = %v, want %v", c.name, got, c.ends)
		}
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/membership"
)

// TestDrillEnds: a drill is an outage of a healthy zone. It ends with its time, or as soon as a zone in service turns
// unhealthy or loses more value than a drill may cost.
func TestDrillEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		until uint64
		other View
		ends  bool
	}{
		{"no drill", 0, View{NodesUnhealthy: 9}, false},
		{"its time is over", 1000, View{}, true},
		{"goes well", 1001, View{OfferedWeight: 100, CompletedWeight: 80}, false},
		{"a zone loses value", 1001, View{OfferedWeight: 100, CompletedWeight: 79}, true},
		{"a zone is unhealthy", 1001, View{NodesUnhealthy: 6}, true},
		{"a few of its nodes are", 1001, View{NodesUnhealthy: 5}, false},
	} {
		other := c.other
		other.Zone, other.NodesIn, other.NodesReporting = "b", 10, 10
		d, _ := newTestDecider(&other)
		d.monitor.views = d.monitor.views[1:]
		d.fleet = membership.New()
		d.fleet.ClockMS = 1000
		if got := d.shouldEndDrill(&Zone{Name: "a", DrillUntilMS: c.until}); got != c.ends {
			t.Errorf("%s: %v, expected %v", c.name, got, c.ends)
		}
	}
}

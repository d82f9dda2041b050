package zones

import (
	"testing"

	"umberwinch/internal/control/api"
)

// newTestDecider returns a decider with a failing zone a and the others, and the view of zone a.
func newTestDecider(others ...*View) (*decider, *View) {
	failing := &View{Zone: "a", NodesIn: 5, NodesReporting: 5, NodesUnhealthy: 5, RunRate: 50}
	monitor := NewMonitor()
	monitor.views = append([]*View{failing}, others...)
	return &decider{monitor: monitor, state: &State{}, rules: &api.ZoneRules{}}, failing
}

// TestSpareCapacity checks that only healthy zones in service with a quorum of reports have spare capacity, up to
// maxUtilization. Otherwise moved load would overload a second zone.
func TestSpareCapacity(t *testing.T) {
	zone := func(change func(v *View)) *View {
		v := &View{Zone: "b", NodesIn: 5, NodesReporting: 5, RunRate: 60, RunCapacity: 100, OfferedWeight: 10,
			CompletedWeight: 8}
		change(v)
		return v
	}
	for _, c := range []struct {
		name   string
		change func(v *View)
		runs   float64
		ok     bool
	}{
		{"healthy", func(*View) {}, 25, true},
		{"at the utilization limit", func(v *View) { v.RunRate = 85 }, 0, true},
		{"above the utilization limit", func(v *View) { v.RunRate = 95 }, 0, true},
		{"a quarter unhealthy", func(v *View) { v.NodesReporting, v.NodesUnhealthy = 4, 1 }, 25, true},
		{"more unhealthy", func(v *View) { v.NodesUnhealthy = 2 }, 0, false},
		{"no quorum of reports", func(v *View) { v.NodesReporting = 1 }, 0, false},
		{"silent", func(v *View) { v.NodesSilent = 5 }, 0, false},
	} {
		d, failing := newTestDecider(zone(c.change))
		others, ok := d.spareCapacity(failing)
		if ok != c.ok || others.runRate != c.runs || ok && others.completionRatio != 0.8 {
			t.Errorf("%s: spareCapacity() = %+v, %v, want %.0f runs a second, %v", c.name, others, ok, c.runs, c.ok)
		}
	}
	d, failing := newTestDecider(zone(func(*View) {}))
	d.state.Zones = []*Zone{{Name: "b", Phase: Ramping}}
	if _, ok := d.spareCapacity(failing); ok {
		t.Error("spareCapacity() counts a ramping zone")
	}
}

// TestPartialEvacuationMovesHighestWeight checks that a partial evacuation moves the requests of the most weight and
// keeps the others in the failing zone.
func TestPartialEvacuationMovesHighestWeight(t *testing.T) {
	arrivals := []api.PriorityCount{{Weight: 1, Arrived: 50}, {Weight: 5, Arrived: 30}, {Weight: 20, Arrived: 20}}
	for _, c := range []struct{ requestFraction, value float64 }{
		{1, 1}, {0.2, 400.0 / 600}, {0.35, 475.0 / 600}, {0, 0},
	} {
		if got := valueFraction(arrivals, c.requestFraction); got < c.value-1e-9 || got > c.value+1e-9 {
			t.Errorf("valueFraction(%.2f) = %.3f, want %.3f", c.requestFraction, got, c.value)
		}
	}
	for _, c := range []struct {
		requestFraction float64
		share           int
		cutoff          float64
	}{{0.25, 128, 1}, {0.65, 128, 5}, {0.9, 128, 20}, {0, 1, 1}} {
		if share, cutoff := remainingLimits(arrivals, c.requestFraction); share != c.share || cutoff != c.cutoff {
			t.Errorf("remainingLimits(%.2f) = %d, %.0f, want %d, %.0f", c.requestFraction, share, cutoff,
				c.share, c.cutoff)
		}
	}
	if got := valueFraction(nil, 0.3); got != 0.3 {
		t.Errorf("valueFraction(0.3) without arrivals = %.2f, want 0.3", got)
	}
}

// TestEvacuationNeedsGainAndCapacity checks that a zone is not evacuated without a gain in completed weight or with
// hardly any spare capacity: each evacuation costs callers a retry and loads the other zones.
func TestEvacuationNeedsGainAndCapacity(t *testing.T) {
	for _, c := range []struct {
		name      string
		completed float64
		spare     float64
		evacuated bool
		share     int
	}{
		{"completes almost nothing", 5, 100, true, 0},
		{"completes half, capacity for all", 50, 100, true, 0},
		{"completes nearly all", 95, 100, false, 0},
		{"completes a fifth, capacity for half", 20, 25, true, 128},
		{"completes a fifth, capacity for a tenth", 20, 5, false, 0},
	} {
		d, view := newTestDecider()
		view.AdmittedRate, view.OfferedWeight, view.CompletedWeight = 50, 100, c.completed
		view.arrivedByWeight = []api.PriorityCount{{Weight: 2, Arrived: 100}}
		o := &evacuation{}
		got := d.chooseEvacuation(o, view, spareCapacity{runRate: c.spare, completionRatio: 1})
		if got != c.evacuated || got && o.share != c.share {
			t.Errorf("%s: chooseEvacuation() = %v, share %d, want %v, %d (%s)", c.name, got, o.share, c.evacuated,
				c.share, view.Note)
		}
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/api"
)

// newTestDecider makes a decider of a zone a, which fails, and of others.
func newTestDecider(others ...*View) (*decider, *View) {
	failing := &View{Zone: "a", NodesIn: 5, NodesReporting: 5, NodesUnhealthy: 5, RunRate: 50}
	monitor := NewMonitor()
	monitor.views = append([]*View{failing}, others...)
	return &decider{monitor: monitor, state: &State{}, rules: &api.ZoneRules{}}, failing
}

// TestSpareCapacity: load that is moved to zones without capacity for it overloads them, and two zones fail in place
// of one. What counts is what the cores of healthy zones in service could do, with some left over.
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
		{"used to the limit", func(v *View) { v.RunRate = 85 }, 0, true},
		{"past the limit", func(v *View) { v.RunRate = 95 }, 0, true},
		{"a quarter unhealthy", func(v *View) { v.NodesReporting, v.NodesUnhealthy = 4, 1 }, 25, true},
		{"more unhealthy", func(v *View) { v.NodesUnhealthy = 2 }, 0, false},
		{"few report", func(v *View) { v.NodesReporting = 1 }, 0, false},
		{"silent", func(v *View) { v.NodesSilent = 5 }, 0, false},
	} {
		d, failing := newTestDecider(zone(c.change))
		others, ok := d.spareCapacity(failing)
		if ok != c.ok || others.runRate != c.runs || ok && others.completionRatio != 0.8 {
			t.Errorf("%s: %+v, %v; expected %.0f runs a second, %v", c.name, others, ok, c.runs, c.ok)
		}
	}
	d, failing := newTestDecider(zone(func(*View) {}))
	d.state.Zones = []*Zone{{Name: "b", Phase: Ramping}}
	if _, ok := d.spareCapacity(failing); ok {
		t.Error("a ramping zone counts as one that could take load")
	}
}

// TestEvacuatedInPart: the other zones have capacity for a part of a failing zone. If the requests of least value
// moved, those of most value would be lost with the zone. The most valued part moves, the rest stays.
func TestEvacuatedInPart(t *testing.T) {
	mix := []api.PriorityCount{{Weight: 1, Arrived: 50}, {Weight: 5, Arrived: 30}, {Weight: 20, Arrived: 20}}
	for _, c := range []struct{ part, value float64 }{{1, 1}, {0.2, 400.0 / 600}, {0.35, 475.0 / 600}, {0, 0}} {
		if got := valueFraction(mix, c.part); got < c.value-1e-9 || got > c.value+1e-9 {
			t.Errorf("%.2f of the requests: %.3f of the value, expected %.3f", c.part, got, c.value)
		}
	}
	for _, c := range []struct {
		part   float64
		share  int
		cutoff float64
	}{{0.25, 128, 1}, {0.65, 128, 5}, {0.9, 128, 20}, {0, 1, 1}} {
		if share, cutoff := remainingLimits(mix, c.part); share != c.share || cutoff != c.cutoff {
			t.Errorf("%.2f stays: %d of 256 at %.0f, expected %d at %.0f", c.part, share, cutoff, c.share, c.cutoff)
		}
	}
	if got := valueFraction(nil, 0.3); got != 0.3 {
		t.Errorf("nothing is known of the requests: %.2f of the value, expected as much as of the requests", got)
	}
}

// TestEvacuationHasToWin: an evacuation costs each caller a retry and loads the other zones. One that wins nothing,
// or for which there is hardly any capacity, is not made.
func TestEvacuationHasToWin(t *testing.T) {
	for _, c := range []struct {
		name      string
		completed float64
		spare     float64
		evacuated bool
		share     int
	}{
		{"completes hardly anything", 5, 100, true, 0},
		{"completes half, and there is capacity", 50, 100, true, 0},
		{"completes nearly all", 95, 100, false, 0},
		{"completes half, capacity for half", 20, 25, true, 128},
		{"completes half, capacity for a tenth", 20, 5, false, 0},
	} {
		d, view := newTestDecider()
		view.AdmittedRate, view.OfferedWeight, view.CompletedWeight = 50, 100, c.completed
		view.arrivedByWeight = []api.PriorityCount{{Weight: 2, Arrived: 100}}
		o := &evacuation{}
		if got := d.chooseEvacuation(o, view, spareCapacity{runRate: c.spare, completionRatio: 1}); got != c.evacuated || got &&
			o.share != c.share {
			t.Errorf("%s: %v, keeps %d; expected %v, %d (%s)", c.name, got, o.share, c.evacuated, c.share, view.Note)
		}
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestStepShown: a ramp that goes on before its step has shown anything goes by the clock, and overloads services
// that are still cold. A step has shown what it can after its time, by reports of its own, with some runs, and by
// nodes that do not fail.
func TestStepShown(t *testing.T) {
	for _, c := range []struct {
		name      string
		shownMS   uint64
		listening uint64
		change    func(v *View)
		shown     bool
	}{
		{"all of it", 3000, 9000, func(*View) {}, true},
		{"too soon", 2999, 9000, func(*View) {}, false},
		{"a new leader", 3000, 2999, func(*View) {}, false},
		{"few report", 3000, 9000, func(v *View) { v.NodesReporting = 3 }, false},
		{"ten runs", 4000, 9000, func(v *View) { v.RunRate = 2.5 }, true},
		{"fewer", 4000, 9000, func(v *View) { v.RunRate = 2.49 }, false},
		{"nodes fail", 3000, 9000, func(v *View) { v.NodesUnhealthy, v.Symptom = 3, symptomRunsFail }, false},
		{"few do", 3000, 9000, func(v *View) { v.NodesUnhealthy, v.Symptom = 2, symptomRunsFail }, true},
		{"nodes are late", 3000, 9000, func(v *View) { v.NodesUnhealthy, v.Symptom = 3, symptomRunsLate }, false},
		{"nodes are slow, as cold ones are", 3000, 9000, func(v *View) {
			v.NodesUnhealthy, v.Symptom = 3,
				symptomCallsSlow
		}, true},
	} {
		d := &decider{monitor: NewMonitor(), now: 100_000, rules: &api.ZoneRules{MinStepMS: 2000}}
		d.monitor.heartbeatMS, d.monitor.startedAt = 1000, 100_000-c.listening
		view := &View{NodesIn: 10, NodesReporting: 10, RunRate: 100}
		c.change(view)
		if got := d.stepComplete(&Zone{Share: 16}, view, c.shownMS); got != c.shown {
			t.Errorf("%s: %v, expected %v (%s)", c.name, got, c.shown, view.Note)
		}
	}
}

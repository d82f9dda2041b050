package zones

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestStepComplete checks that a step is complete only after its least time, with enough reports and runs, and
// without failing nodes. Otherwise a ramp would go by the clock and overload cold services.
func TestStepComplete(t *testing.T) {
	for _, c := range []struct {
		name        string
		stepAgeMS   uint64
		monitoredMS uint64
		change      func(v *View)
		complete    bool
	}{
		{"complete", 3000, 9000, func(*View) {}, true},
		{"too short", 2999, 9000, func(*View) {}, false},
		{"new leader", 3000, 2999, func(*View) {}, false},
		{"no quorum of reports", 3000, 9000, func(v *View) { v.NodesReporting = 3 }, false},
		{"enough runs", 4000, 9000, func(v *View) { v.RunRate = 2.5 }, true},
		{"too few runs", 4000, 9000, func(v *View) { v.RunRate = 2.49 }, false},
		{"too many nodes fail", 3000, 9000, func(v *View) { v.NodesUnhealthy, v.Symptom = 3, symptomRunsFail }, false},
		{"few nodes fail", 3000, 9000, func(v *View) { v.NodesUnhealthy, v.Symptom = 2, symptomRunsFail }, true},
		{"nodes are late", 3000, 9000, func(v *View) { v.NodesUnhealthy, v.Symptom = 3, symptomRunsLate }, false},
		{"nodes are slow, as when cold", 3000, 9000, func(v *View) {
			v.NodesUnhealthy, v.Symptom = 3, symptomCallsSlow
		}, true},
	} {
		d := &decider{monitor: NewMonitor(), now: 100_000, rules: &api.ZoneRules{MinStepMS: 2000}}
		d.monitor.heartbeatMS, d.monitor.startedAt = 1000, 100_000-c.monitoredMS
		view := &View{NodesIn: 10, NodesReporting: 10, RunRate: 100}
		c.change(view)
		if got := d.stepComplete(&Zone{Share: 16}, view, c.stepAgeMS); got != c.complete {
			t.Errorf("%s: stepComplete() = %v, want %v (%s)", c.name, got, c.complete, view.Note)
		}
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestSymptoms checks that each report gives the symptom closest to its cause. A missed symptom keeps a failing zone
// in service, a wrong one counts towards an evacuation.
func TestSymptoms(t *testing.T) {
	view := &View{history: history{observed: ObservedCapacity{RunMS: 20, CallMS: 10}}}
	healthy := api.LoadReport{WindowMS: 2000, Completed: 100, RunsEnded: 100, MeanRunMS: 20, Calls: 100, MeanCallMS: 10,
		KernelConnected: true, Cores: 4}
	for _, c := range []struct {
		name    string
		change  func(r *api.LoadReport)
		symptom Symptom
	}{
		{"healthy", func(*api.LoadReport) {}, symptomNone},
		{"no kernel", func(r *api.LoadReport) { r.KernelConnected = false }, symptomKernel},
		{"calls fail", func(r *api.LoadReport) { r.FailedCalls = 30 }, symptomCallsFail},
		{"fewer calls fail", func(r *api.LoadReport) { r.FailedCalls = 29 }, symptomNone},
		{"two calls, both failed", func(r *api.LoadReport) { r.Calls, r.FailedCalls = 2, 2 }, symptomNone},
		{"runs on all cores stall", func(r *api.LoadReport) { r.RunsEnded, r.RunsInFlight = 0, 4 }, symptomKernel},
		{"runs on three of four cores stall", func(r *api.LoadReport) { r.RunsEnded, r.RunsInFlight = 0, 3 },
			symptomNone},
		{"runs stall for too short a time",
			func(r *api.LoadReport) { r.RunsEnded, r.RunsInFlight, r.WindowMS = 0, 4, 800 }, symptomNone},
		{"calls are slow, and runs fail",
			func(r *api.LoadReport) { r.MeanCallMS, r.Failed = 36, 90 }, symptomCallsSlow},
		{"calls are a little slow", func(r *api.LoadReport) { r.MeanCallMS = 35 }, symptomNone},
		{"runs fail", func(r *api.LoadReport) { r.Completed, r.Failed = 70, 30 }, symptomRunsFail},
		{"runs fail or are late", func(r *api.LoadReport) { r.Completed, r.Failed, r.Late = 70, 20, 10 },
			symptomRunsLate},
		{"all of four responses failed", func(r *api.LoadReport) { r.Completed, r.Failed = 0, 4 }, symptomNone},
		{"runs are slow", func(r *api.LoadReport) { r.MeanRunMS = 66 }, symptomRunsSlow},
		{"runs are a little slow", func(r *api.LoadReport) { r.MeanRunMS = 65 }, symptomNone},
	} {
		report := healthy
		c.change(&report)
		if got := view.symptomOf(&report); got != c.symptom {
			t.Errorf("%s: symptomOf() = %q, want %q", c.name, got, c.symptom)
		}
	}
	unknown := &View{}
	slow := healthy
	slow.MeanRunMS, slow.MeanCallMS = 900, 900
	if got := unknown.symptomOf(&slow); got != symptomNone {
		t.Errorf("symptomOf() without usual times = %q, want none", got)
	}
}

// TestOverloadIsNotAFailure checks that a slow zone counts as healthy if it completes most of its observed rate: an
// evacuation would lose that work.
func TestOverloadIsNotAFailure(t *testing.T) {
	for _, c := range []struct {
		name      string
		symptom   Symptom
		rate      float64
		failed    float64
		unhealthy int
	}{
		{"completes seven tenths of the observed rate", symptomRunsSlow, 70, 0, 0},
		{"completes less", symptomRunsSlow, 69, 0, 5},
		{"runs more, but a part fails", symptomRunsSlow, 80, 0.2, 5},
		{"full rate, but calls fail", symptomCallsFail, 100, 0, 5},
	} {
		view := &View{NodesReporting: 5, NodesUnhealthy: 5, Symptom: c.symptom, RunRate: c.rate,
			history: history{observed: ObservedCapacity{RunRate: 100}}}
		view.discountOverload(c.failed)
		if view.NodesUnhealthy != c.unhealthy || view.atCapacity != (c.unhealthy == 0) {
			t.Errorf("%s: %d unhealthy, at capacity %v, want %d, %v", c.name, view.NodesUnhealthy, view.atCapacity,
				c.unhealthy, c.unhealthy == 0)
		}
	}
}

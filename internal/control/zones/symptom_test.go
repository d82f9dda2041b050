package zones

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestSymptoms: a node that is taken for healthy though it fails keeps its zone in service; one that is taken for
// failing though it is not counts towards an evacuation. Each report shows the symptom nearest to its cause.
func TestSymptoms(t *testing.T) {
	view := &View{history: history{observed: ObservedCapacity{RunMS: 20, CallMS: 10}}}
	healthy := api.LoadReport{WindowMS: 2000, Completed: 100, RunsEnded: 100, MeanRunMS: 20, Calls: 100, MeanCallMS: 10,
		KernelConnected: true, Cores: 4}
	for _, c := range []struct {
		name    string
		change  func(r *api.LoadReport)
		symptom Symptom
	}{
		{"nothing", func(*api.LoadReport) {}, symptomNone},
		{"no kernel", func(r *api.LoadReport) { r.KernelConnected = false }, symptomKernel},
		{"calls fail", func(r *api.LoadReport) { r.FailedCalls = 30 }, symptomCallsFail},
		{"fewer calls fail", func(r *api.LoadReport) { r.FailedCalls = 29 }, symptomNone},
		{"two calls, both failed", func(r *api.LoadReport) { r.Calls, r.FailedCalls = 2, 2 }, symptomNone},
		{"runs on all cores stall", func(r *api.LoadReport) { r.RunsEnded, r.RunsInFlight = 0, 4 }, symptomKernel},
		{"on three of four", func(r *api.LoadReport) { r.RunsEnded, r.RunsInFlight = 0, 3 }, symptomNone},
		{"for too short a time", func(r *api.LoadReport) { r.RunsEnded, r.RunsInFlight, r.WindowMS = 0, 4, 800 },
			symptomNone},
		{"calls are slow, and runs fail for want of them",
			func(r *api.LoadReport) { r.MeanCallMS, r.Failed = 36, 90 }, symptomCallsSlow},
		{"calls are a little slow", func(r *api.LoadReport) { r.MeanCallMS = 35 }, symptomNone},
		{"runs fail", func(r *api.LoadReport) { r.Completed, r.Failed = 70, 30 }, symptomRunsFail},
		{"runs fail or are late", func(r *api.LoadReport) { r.Completed, r.Failed, r.Late = 70, 20, 10 },
			symptomRunsLate},
		{"of four answers all failed", func(r *api.LoadReport) { r.Completed, r.Failed = 0, 4 }, symptomNone},
		{"runs are slow", func(r *api.LoadReport) { r.MeanRunMS = 66 }, symptomRunsSlow},
		{"runs are a little slow", func(r *api.LoadReport) { r.MeanRunMS = 65 }, symptomNone},
	} {
		report := healthy
		c.change(&report)
		if got := view.symptomOf(&report); got != c.symptom {
			t.Errorf("%s: %q, expected %q", c.name, got, c.symptom)
		}
	}
	unknown := &View{}
	slow := healthy
	slow.MeanRunMS, slow.MeanCallMS = 900, 900
	if got := unknown.symptomOf(&slow); got != symptomNone {
		t.Errorf("slow with nothing known to be usual: %q, expected nothing", got)
	}
}

// TestOverloadIsNoFailure: a zone that is asked for more than it bears is slow; if it were evacuated for that, what
// it does would be lost, and the other zones be asked for it.
func TestOverloadIsNoFailure(t *testing.T) {
	for _, c := range []struct {
		name      string
		symptom   Symptom
		rate      float64
		failed    float64
		unhealthy int
	}{
		{"does seven tenths of what it bore", symptomRunsSlow, 70, 0, 0},
		{"does less", symptomRunsSlow, 69, 0, 5},
		{"does as much, but a part of it fails", symptomRunsSlow, 80, 0.2, 5},
		{"does all, and its calls fail", symptomCallsFail, 100, 0, 5},
	} {
		view := &View{NodesReporting: 5, NodesUnhealthy: 5, Symptom: c.symptom, RunRate: c.rate,
			history: history{observed: ObservedCapacity{RunRate: 100}}}
		view.discountOverload(c.failed)
		if view.NodesUnhealthy != c.unhealthy || view.atCapacity != (c.unhealthy == 0) {
			t.Errorf("%s: %d unhealthy, busy %v; expected %d", c.name, view.NodesUnhealthy, view.atCapacity, c.unhealthy)
		}
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestObservesHealthyZonesOnly: a kernel stalls, and runs pile up; later a fleet ramps with cold services. If the one
// counted as borne or the other as usual, the next ramp would ask the services for too much. Neither is observed.
func TestObservesHealthyZonesOnly(t *testing.T) {
	f := membership.New()
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z", Nonce: "nonce-of-a"},
		{Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	s, w := &State{}, NewMonitor()
	well := api.LoadReport{WindowMS: 2000, Arrived: 200, Completed: 200, RunsEnded: 200, MeanRunMS: 20, Calls: 200,
		MeanCallMS: 10, KernelConnected: true, Cores: 4, CoresUsed: 1}
	at := evaluateRepeatedly(w, f, s, 0, 30, well)
	bore := w.Views()[0].observed
	if bore.RunRate < 190 || bore.Concurrency < 3.5 || bore.Concurrency > 4.5 {
		t.Fatalf("bore %+v, expected 200 runs a second and 4 under way", bore)
	}
	stands := well
	stands.RunsEnded, stands.MeanRunMS, stands.Calls, stands.MeanCallMS, stands.Completed, stands.RunsInFlight,
		stands.WindowMS = 0, 0, 0, 0, 0, 3, 800
	at = evaluateRepeatedly(w, f, s, at, 12, stands)
	if b := w.Views()[0].observed; b.Concurrency > 1.2*bore.Concurrency {
		t.Errorf("%.1f runs that stood count as borne, expected %.1f at most", b.Concurrency, 1.2*bore.Concurrency)
	}
	at = evaluateRepeatedly(w, f, s, at, 12, well)
	usual := w.Views()[0].observed
	s.Zones = []*Zone{{Name: WholeFleet, Phase: Ramping, Share: 32}}
	slow := well
	slow.MeanRunMS, slow.MeanCallMS = 25, 15
	evaluateRepeatedly(w, f, s, at, 40, slow)
	if b := w.Views()[0].observed; b.CallMS != usual.CallMS || b.RunMS != usual.RunMS {
		t.Errorf("a fleet on its way back has %.1f ms a call for usual, expected %.1f as before", b.CallMS,
			usual.CallMS)
	}
}

package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestDemandLagsBehind: while callers move from one zone to another, reports miss some of them on both sides. If that
// counted as less demand the retry budget would grow just then, and the zones in service be overloaded. The budget
// goes by the demand of late; one that fell in earnest is believed after a while.
func TestDemandLagsBehind(t *testing.T) {
	f := membership.New()
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z", Nonce: "nonce-of-a"},
		{Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	s := &State{Zones: []*Zone{{Name: "z", Phase: InService, Share: api.FullShare}}}
	w := NewMonitor()
	load := func(came int) api.LoadReport {
		return api.LoadReport{WindowMS: 1000, Arrived: came, RunsEnded: 300, MeanRunMS: 20, Completed: 300,
			KernelConnected: true, Cores: 10, CoresUsed: 5}
	}
	budget := func() int {
		r, _ := w.retryBudget(s, w.views[0], InService, true)
		return r
	}
	at := evaluateRepeatedly(w, f, s, 100_000, 6, load(500))
	asked := budget()
	at = evaluateRepeatedly(w, f, s, at, 3, load(400))
	if less := budget(); less > asked+api.FullShare/8 {
		t.Errorf("%d of %d further tries where callers move, %d before", less, api.FullShare, asked)
	}
	evaluateRepeatedly(w, f, s, at, 60, load(250))
	if fell := budget(); fell < 2*asked {
		t.Errorf("%d of %d further tries where half of the demand is gone, %d before", fell, api.FullShare, asked)
	}
}

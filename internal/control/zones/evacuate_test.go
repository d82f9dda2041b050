package zones

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestSlownessIsNoFailure: a cause that all zones share makes all services slow, and in one zone runs fail first for
// want of calls. If that zone were evacuated the others would get its load on top. It stays; a zone whose runs fail
// while its calls are as usual is evacuated, and so is one that alone is slow and fails.
func TestSlownessIsNoFailure(t *testing.T) {
	f := membership.New()
	var joins []api.JoinRequest
	for i, zone := range []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"} {
		joins = append(joins, api.JoinRequest{Name: fmt.Sprint("n", i), Zone: zone, Nonce: fmt.Sprint("nonce-of-", i)})
	}
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: joins}, 1, membership.LeaseTerms{LeaseMS: 5000})
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 2000, MaxRampDelayMS: 60_000, InitialShare: 16}
	well := api.LoadReport{WindowMS: 2000, Arrived: 100, Completed: 100, RunsEnded: 100, MeanRunMS: 20, Calls: 100,
		MeanCallMS: 10, KernelConnected: true, Cores: 4,
		CoresUsed: 1, OfferedWeight: 100, CompletedWeight: 100}
	crawls, gaveUp, fails, paced, busy := well, well, well, well, well
	busy.RunsEnded, busy.Completed, busy.Late, busy.MeanRunMS, busy.Calls, busy.MeanCallMS,
		busy.CompletedWeight = 80, 40, 40, 150, 80, 140, 40
	crawls.RunsEnded, crawls.Completed, crawls.Late, crawls.MeanRunMS, crawls.Calls, crawls.MeanCallMS,
		crawls.CompletedWeight = 20, 0, 20, 150, 20, 140, 0
	gaveUp.RunsEnded, gaveUp.Completed, gaveUp.Failed, gaveUp.MeanRunMS, gaveUp.Calls, gaveUp.MeanCallMS,
		gaveUp.CompletedWeight = 16, 2, 14, 250, 16, 240, 2
	fails.Completed, fails.Failed, fails.CompletedWeight = 40, 60, 40
	paced.Completed, paced.Failed, paced.MeanCallMS, paced.CompletedWeight = 10, 90, 60, 10
	for _, c := range []struct {
		name          string
		first, others api.LoadReport
		left          bool
	}{{"all slow, one fails", gaveUp, crawls, false}, {"one fails", fails, well, true},
		{"all slow, one fails, the others busy", gaveUp, busy, false},
		{"one slow and failing", gaveUp, well, true}, {"one slow, and fails at its usual pace", paced, well, true}} {
		s, w, now := &State{}, NewMonitor(), uint64(0)
		var op *Op
		for look := 0; look < 60; look++ {
			now += evaluationIntervalMS
			f.ClockMS = now
			for _, n := range f.Nodes() {
				l := well
				if look >= 30 {
					if l = c.others; n.Zone == "a" {
						l = c.first
					}
				}
				w.Record(now, n, &l, nil)
			}
			if o := w.Decide(now, s, f, &rules, 0); o != nil && o.Kind == "leave" && op == nil {
				op = o
			}
		}
		if left := op != nil; left != c.left || left && op.Zone != "a" {
			t.Errorf("%s: %+v, expected a left: %v; %+v", c.name, op, c.left, w.Views()[0])
		}
	}
}

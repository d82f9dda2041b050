package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestWarmByCallTimes: a service that is still cold takes three times as long for a call, but a run has the node's
// own work in it, so the run hardly shows it. If runs told, a ramp would take the service for warm and double its
// load. The times of calls tell where there are calls.
func TestWarmByCallTimes(t *testing.T) {
	bore := ObservedCapacity{RunRate: 100, RunMS: 20, CallMS: 4}
	for _, c := range []struct {
		run, call float64
		warm      bool
	}{{20, 4, true}, {25, 5, true}, {25, 9, false}, {30, 5, true}, {25, 0, true}, {30, 0, false}} {
		if got := isWarm(&View{RunMS: c.run, CallMS: c.call}, &bore); got != c.warm {
			t.Errorf("%.0f ms a run, %.0f ms a call: %v, expected %v", c.run, c.call, got, c.warm)
		}
	}
}

// TestLeastRateLimit: a rate limit that is too low shows too few runs to tell whether services are warm, and the zone
// never returns; one that is too high overloads them. A small zone may have a run a second and node in any case, a
// large one a part of its observed capacity at most.
func TestLeastRateLimit(t *testing.T) {
	for _, c := range []struct {
		bore      float64
		share, in int
		runs      float64
	}{{60, 16, 3, 3.75}, {60, 4, 3, 3}, {1875, 16, 5000, 117.1875}, {1875, 4, 5000, 117.1875}, {0, 16, 5, 5}, {1875,
		128, 5000, 937.5}} {
		z := &Zone{Capacity: ObservedCapacity{RunRate: c.bore}}
		if runs, dials := z.rateLimits(c.share, c.in); runs != c.runs || dials < runs {
			t.Errorf("%+v: %.2f runs and %.2f connections a second, expected %.2f", c, runs, dials, c.runs)
		}
	}
}

// TestRampEnds: callers that were rejected on a ramp come again, all at once if its rate limit just ends. So a ramp
// at a full share goes on while many are rejected and its limit goes up; it ends once few are, or once the limit
// could not go up for a while.
func TestRampEnds(t *testing.T) {
	f := membership.New()
	f.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{{Name: "a", Zone: "z", Nonce: "nonce-of-a"},
		{Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	for _, n := range f.Nodes() {
		n.Lease.ExpiresAtMS = 1 << 40
	}
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 1000, MaxRampDelayMS: 60_000, InitialShare: 16}
	bore := ObservedCapacity{RunRate: 100, Concurrency: 2, RunMS: 20, CallMS: 10}
	for _, c := range []struct {
		name   string
		turned int
		runMS  float64
		kind   OpKind
		after  uint64 // ms at the share
	}{{"little is turned away", 10, 20, "in", 5000}, {"much is", 200, 20, "step", 5000},
		{"much is, and all it bore is under way", 200, 24, "", 5000},
		{"the same for long", 200, 24, "in", maxFinalStepMS + 1000}} {
		s := &State{Epoch: 7, SettledEpoch: 7, Zones: []*Zone{{Name: "z", Phase: Ramping, Share: api.FullShare,
			RateLimit: 100, ConnectRateLimit: 100, Capacity: bore, NodesBefore: 2,
			SinceMS: 100_000}}}
		s.Zones[0].Quotas = []LeaseQuota{{f.Nodes()[0].Lease.ID, 50}, {f.Nodes()[1].Lease.ID, 50}}
		w := NewMonitor()
		l := api.LoadReport{WindowMS: 2000, Arrived: 100 + c.turned, Retries: c.turned, RejectedByZone: c.turned,
			Completed: 100, RunsEnded: 100, MeanRunMS: c.runMS, Calls: 100,
			MeanCallMS: c.runMS / 2, KernelConnected: true, Cores: 4, CoresUsed: 1, OfferedWeight: 100,
			CompletedWeight: 100}
		f.ClockMS = 100_000
		at := evaluateRepeatedly(w, f, s, 100_000, int(c.after/evaluationIntervalMS), l)
		f.ClockMS = at
		op := w.Decide(at, s, f, &rules, 0)
		kind := OpKind("")
		if op != nil && op.Kind != OpObserve {
			kind = op.Kind
		}
		if kind != c.kind || kind == OpRamp && (op.RateLimit <= 100 || op.RateLimit > maxLimitFactor*100) {
			t.Errorf("%s: %+v (%s), expected %q", c.name, op, w.Views()[0].Note, c.kind)
		}
	}
}

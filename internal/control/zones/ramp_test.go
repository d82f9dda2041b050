package zones

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestWarmByCallTimes checks that call times decide whether services are warm, where there are calls. Run times
// include the node's own work and hide slow calls, so a ramp would double the load of a cold service.
func TestWarmByCallTimes(t *testing.T) {
	observed := ObservedCapacity{RunRate: 100, RunMS: 20, CallMS: 4}
	for _, c := range []struct {
		runMS, callMS float64
		warm          bool
	}{{20, 4, true}, {25, 5, true}, {25, 9, false}, {30, 5, true}, {25, 0, true}, {30, 0, false}} {
		if got := isWarm(&View{RunMS: c.runMS, CallMS: c.callMS}, &observed); got != c.warm {
			t.Errorf("%.0f ms a run, %.0f ms a call: isWarm() = %v, want %v", c.runMS, c.callMS, got, c.warm)
		}
	}
}

// TestRateLimitFloor checks the floor of a rate limit: too low a limit shows too few runs to find out whether
// services are warm, too high a limit overloads them.
func TestRateLimitFloor(t *testing.T) {
	for _, c := range []struct {
		observed     float64
		share, nodes int
		runs         float64
	}{{60, 16, 3, 3.75}, {60, 4, 3, 3}, {1875, 16, 5000, 117.1875}, {1875, 4, 5000, 117.1875}, {0, 16, 5, 5},
		{1875, 128, 5000, 937.5}} {
		zone := &Zone{Capacity: ObservedCapacity{RunRate: c.observed}}
		if runs, connections := zone.rateLimits(c.share, c.nodes); runs != c.runs || connections < runs {
			t.Errorf("%+v: rateLimits() = %.2f runs, %.2f connections a second, want %.2f runs", c, runs, connections,
				c.runs)
		}
	}
}

// TestRampEndsWithFewRejections checks that a ramp at full share raises its rate limit while many attempts are
// rejected, whose callers would all retry at once, and ends with few rejections or if the limit could not rise for a
// while.
func TestRampEndsWithFewRejections(t *testing.T) {
	fleet := membership.New()
	fleet.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{
		{Name: "a", Zone: "z", Nonce: "nonce-of-a"}, {Name: "b", Zone: "z", Nonce: "nonce-of-b"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	for _, node := range fleet.Nodes() {
		node.Lease.ExpiresAtMS = 1 << 40
	}
	rules := api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 1000, MaxRampDelayMS: 60_000, InitialShare: 16}
	observed := ObservedCapacity{RunRate: 100, Concurrency: 2, RunMS: 20, CallMS: 10}
	for _, c := range []struct {
		name      string
		rejected  int
		runMS     float64
		kind      OpKind
		stepAgeMS uint64
	}{
		{"few rejected", 10, 20, "in", 5000}, {"many rejected", 200, 20, "step", 5000},
		{"many rejected at the observed concurrency", 200, 24, "", 5000},
		{"many rejected at the observed concurrency for long", 200, 24, "in", maxFinalStepMS + 1000},
	} {
		state := &State{Epoch: 7, SettledEpoch: 7, Zones: []*Zone{{Name: "z", Phase: Ramping, Share: api.FullShare,
			RateLimit: 100, ConnectRateLimit: 100, Capacity: observed, NodesBefore: 2, SinceMS: 100_000}}}
		state.Zones[0].Quotas = []LeaseQuota{{fleet.Nodes()[0].Lease.ID, 50}, {fleet.Nodes()[1].Lease.ID, 50}}
		monitor := NewMonitor()
		load := api.LoadReport{WindowMS: 2000, Arrived: 100 + c.rejected, Retries: c.rejected,
			RejectedByZone: c.rejected, Completed: 100, RunsEnded: 100, MeanRunMS: c.runMS, Calls: 100,
			MeanCallMS: c.runMS / 2, KernelConnected: true, Cores: 4, CoresUsed: 1, OfferedWeight: 100,
			CompletedWeight: 100}
		fleet.ClockMS = 100_000
		now := evaluateRepeatedly(monitor, fleet, state, 100_000, int(c.stepAgeMS/evaluationIntervalMS), load)
		fleet.ClockMS = now
		op := monitor.Decide(now, state, fleet, &rules, 0)
		kind := OpKind("")
		if op != nil && op.Kind != OpObserve {
			kind = op.Kind
		}
		if kind != c.kind || kind == OpRamp && (op.RateLimit <= 100 || op.RateLimit > maxLimitFactor*100) {
			t.Errorf("%s: operation %+v (%s), want kind %q", c.name, op, monitor.Views()[0].Note, c.kind)
		}
	}
}

package simulation

import (
	"context"
	"fmt"
	"testing"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// fullRestartPlan kills all nodes of three zones at once and restarts them after 2 s.
func fullRestartPlan(seed int64) ZonePlan {
	return ZonePlan{Seed: seed, Nodes: 15, Faults: []string{ZoneRestart, ZoneRestart, ZoneRestart},
		FaultStartMS: 15_000, FaultEndMS: 17_000, EndMS: 220_000, Load: 0.6}
}

func simulateZones(p ZonePlan) *ZoneSimulation {
	v := NewZoneSimulation(p)
	v.Play()
	return v
}

// TestZoneSchedules: under random faults of one, two or all zones, evacuations are justified, no dependency is
// overloaded by a ramp or by traffic from other zones, and all zones are in service at the end.
func TestZoneSchedules(t *testing.T) {
	n := scheduleCount(t, 40)
	evacuations, steps, failures := 0, 0, 0
	play := func(seed int64) *ZoneSimulation { return simulateZones(DrawZonePlan(seed)) }
	report.RunSeeds(context.Background(), 1, n, play, func(seed int64, v *ZoneSimulation) bool {
		if p := v.ZonePlan; v.Broken != "" {
			t.Errorf("seed %d (faults %q, load %.2f, cold factor %.1f, %d nodes in %d zones, second fault %v, "+
				"late nodes %d): %s", seed, p.Faults, p.Load, p.ColdFactor, p.Nodes, p.Zones, p.SecondFault,
				p.LateNodes, v.Broken)
			failures++
		}
		evacuations, steps = evacuations+len(v.EvacuationDelaysMS), steps+v.RampSteps
		return failures > 8
	})
	t.Logf("%d runs, %d evacuations, %d ramp steps", n, evacuations, steps)
	if evacuations < n/6 || steps < n {
		t.Errorf("%d evacuations and %d ramp steps in %d runs, want at least %d and %d", evacuations, steps, n, n/6, n)
	}
}

// TestZoneGuards: for each guard of zone evacuation, a fault that the guard protects against violates no invariant with
// the guard, and violates one with the guard disabled.
func TestZoneGuards(t *testing.T) {
	base := ZonePlan{Seed: 3, Nodes: 15, FaultStartMS: 15_000, FaultEndMS: 40_000, EndMS: 200_000, Load: 0.6}
	highLoad := base
	highLoad.Faults, highLoad.Load, highLoad.NoEvacuation = []string{ZoneErrors}, 0.9, true
	baseline := simulateZones(highLoad)
	for name, plan := range map[string]func(p *ZonePlan){
		"common-cause": func(p *ZonePlan) { p.Faults, p.Load = []string{ZoneErrors, ZoneErrors, ZoneErrors}, 0.4 },
		"room":         func(p *ZonePlan) { p.Faults, p.Load = []string{ZoneErrors}, 0.9 },
		"one-epoch":    func(p *ZonePlan) { p.Faults = []string{ZoneKernels} },
		"paced":        func(p *ZonePlan) { p.Faults = []string{ZoneDead} },
		"step-back":    func(p *ZonePlan) { p.Faults, p.SecondFault = []string{ZoneDead}, true },
		"retry-budget": func(p *ZonePlan) { p.Faults, p.Load = []string{ZoneDead}, 0.8 },
		"lease-tokens": func(p *ZonePlan) { p.Faults, p.LateNodes = []string{ZoneDead}, 2 },
	} {
		p := base
		plan(&p)
		violation := func(p ZonePlan) string {
			v := simulateZones(p)
			if name == "room" && v.WeightDuringFault < 0.98*baseline.WeightDuringFault {
				return fmt.Sprintf("weight completed during the fault = %.0f, want at least 98%% of %.0f without "+
					"evacuation", v.WeightDuringFault,
					baseline.WeightDuringFault)
			}
			return v.Broken
		}
		if broken := violation(p); broken != "" {
			t.Errorf("with guard %s: %s", name, broken)
		}
		g, err := zones.GuardNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		p.DisabledGuards = g
		if broken := violation(p); broken == "" {
			t.Errorf("without guard %s no invariant was violated", name)
		} else {
			t.Logf("without guard %s: %s", name, broken)
		}
	}
}

// TestFullRestartColdStart: after a restart of the whole fleet with cold dependencies a cold start keeps the load
// within capacity, and traffic recovers fully. Without the guard dependencies are overloaded. A restart of one zone is
// no cold start.
func TestFullRestartColdStart(t *testing.T) {
	base := fullRestartPlan(5)
	v := simulateZones(base)
	if v.Broken != "" || v.ColdStarts == 0 || v.TimeToFullRecovery() < 0 {
		t.Errorf("violation %q, %d cold starts, full recovery after %.1f s, want none, at least 1, at least 0 s",
			v.Broken, v.ColdStarts, v.TimeToFullRecovery()/1000)
	}
	t.Logf("highest load of a dependency %.2f, full recovery after %.1f s", v.PeakRestartLoad,
		v.TimeToFullRecovery()/1000)
	without := base
	without.DisabledGuards = zones.ColdStart
	if v := simulateZones(without); v.Broken == "" {
		t.Error("without guard small-start no invariant was violated")
	} else {
		t.Logf("without guard small-start: %s; full recovery after %.1f s", v.Broken, v.TimeToFullRecovery()/1000)
	}
	oneZone := base
	oneZone.Faults, oneZone.Nodes = []string{ZoneDead}, 15
	if v := simulateZones(oneZone); v.ColdStarts != 0 {
		t.Errorf("cold starts after a restart of one zone = %d, want 0", v.ColdStarts)
	}
	for seed := int64(1); seed <= 12; seed++ {
		p := base
		p.Seed, p.Load, p.ColdFactor, p.CrashLeader = seed, 0.4+0.04*float64(seed%10), 2+float64(seed%7), seed%3 == 0
		p.EndMS = 400_000
		if v := simulateZones(p); v.Broken != "" {
			t.Errorf("seed %d, load %.2f, cold factor %.0f: %s", seed, p.Load, p.ColdFactor, v.Broken)
		}
	}
}

// TestRetryAfterSpread: after a restart of the whole fleet, with callers that wait for their Retry-After, a spread
// Retry-After distributes the retries over the recovery. Without the guard they arrive together.
func TestRetryAfterSpread(t *testing.T) {
	p := fullRestartPlan(1)
	p.HonorRetryAfter = true
	v := simulateZones(p)
	if v.Broken != "" || v.ColdStarts == 0 || v.TimeToFullRecovery() < 0 {
		t.Errorf("violation %q, %d cold starts, full recovery after %.1f s, want none, at least 1, at least 0 s",
			v.Broken, v.ColdStarts, v.TimeToFullRecovery()/1000)
	}
	t.Logf("highest ratio of all attempts to first attempts: %.1f", v.PeakRetryRatio)
	p.DisabledGuards = zones.RetryAfterSpread
	if v = simulateZones(p); v.Broken == "" {
		t.Error("without guard RetryAfterSpread no invariant was violated")
	}
	t.Log(v.Broken)
}

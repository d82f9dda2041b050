package simulation

import (
	"context"
	"fmt"
	"testing"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// restartOfAll has all nodes of three zones killed at once, to start again two seconds later.
func restartOfAll(seed int64) ZonePlan {
	return ZonePlan{Seed: seed, Nodes: 15, Kinds: []string{ZoneRestart, ZoneRestart, ZoneRestart}, Fails: 15_000,
		Heals: 17_000, Ends: 220_000, Load: 0.6}
}

func playZones(p ZonePlan) *Zones {
	v := NewZones(p)
	v.Play()
	return v
}

// TestZoneSchedules: in a fleet of three to five zones one fails, or two, or all by one cause, at a drawn load;
// some leaders are lost, some services fail once more while their zone returns. Then all heals. Zones are left for
// a fault of their own alone, no service is overloaded by a return or by a neighbour's callers, and all zones are
// in service at the end.
func TestZoneSchedules(t *testing.T) {
	n := scheduleCount(t, 40)
	left, steps, bad := 0, 0, 0
	play := func(seed int64) *Zones { return playZones(DrawZones(seed)) }
	report.EachSeed(context.Background(), 1, n, play, func(seed int64, v *Zones) bool {
		if p := v.ZonePlan; v.Broken != "" {
			t.Errorf("seed %d (%v, load %.2f, cold %.1f, %d nodes in %d zones, again %v, spare %d): %s", seed, p.Kinds,
				p.Load, p.ColdFactor, p.Nodes, p.Zones, p.SecondFault, p.LateNodes, v.Broken)
			bad++
		}
		left, steps = left+len(v.Left), steps+v.Steps
		return bad > 8
	})
	t.Logf("%d runs, %d zones left, %d steps back in", n, left, steps)
	if left < n/6 || steps < n {
		t.Errorf("%d zones left and %d steps in %d runs: too few to hold anything to", left, steps, n)
	}
}

// TestZoneGuards: a fault that one guard of zone evacuation is there for keeps all promises. With that guard taken
// out a promise has to break, or no check would find that it is missing.
func TestZoneGuards(t *testing.T) {
	base := ZonePlan{Seed: 3, Nodes: 15, Fails: 15_000, Heals: 40_000, Ends: 200_000, Load: 0.6}
	highLoad := base
	highLoad.Kinds, highLoad.Load, highLoad.Off = []string{ZoneErrors}, 0.9, true
	baseline := playZones(highLoad)
	for name, plan := range map[string]func(p *ZonePlan){
		"common-cause": func(p *ZonePlan) { p.Kinds, p.Load = []string{ZoneErrors, ZoneErrors, ZoneErrors}, 0.4 },
		"room":         func(p *ZonePlan) { p.Kinds, p.Load = []string{ZoneErrors}, 0.9 },
		"one-epoch":    func(p *ZonePlan) { p.Kinds = []string{ZoneKernels} },
		"paced":        func(p *ZonePlan) { p.Kinds = []string{ZoneDead} },
		"step-back":    func(p *ZonePlan) { p.Kinds, p.SecondFault = []string{ZoneDead}, true },
		"retry-budget": func(p *ZonePlan) { p.Kinds, p.Load = []string{ZoneDead}, 0.8 },
		"lease-tokens": func(p *ZonePlan) { p.Kinds, p.LateNodes = []string{ZoneDead}, 2 },
	} {
		p := base
		plan(&p)
		verdict := func(p ZonePlan) string {
			v := playZones(p)
			if name == "room" && v.WeightDuringFault < 0.98*baseline.WeightDuringFault {
				return fmt.Sprintf("%.0f of value done while it failed, and %.0f by nodes alone", v.WeightDuringFault,
					baseline.WeightDuringFault)
			}
			return v.Broken
		}
		if broken := verdict(p); broken != "" {
			t.Errorf("with %s: %s", name, broken)
		}
		g, err := zones.GuardNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		p.Without = g
		if broken := verdict(p); broken == "" {
			t.Errorf("without %s no promise broke", name)
		} else {
			t.Logf("without %s: %s", name, broken)
		}
	}
}

// TestRestart: all nodes of a fleet are killed at once and start again, and the services below are cold. The fleet
// begins with a small rate limit: no service is sent more than its capacity, and all of the load is done in the end.
// Without a small start services are overloaded. A restart of one zone alone doesn't begin small.
func TestRestart(t *testing.T) {
	base := restartOfAll(5)
	v := playZones(base)
	if v.Broken != "" || v.ColdStarts == 0 || v.TimeToFullRecovery() < 0 {
		t.Errorf("%s; began small %d times, full after %.1f s", v.Broken, v.ColdStarts, v.TimeToFullRecovery()/1000)
	}
	t.Logf("below at worst %.2f of what it bears; full after %.1f s", v.Start, v.TimeToFullRecovery()/1000)
	without := base
	without.Without = zones.ColdStart
	if v := playZones(without); v.Broken == "" {
		t.Error("without small-start no promise broke")
	} else {
		t.Logf("without small-start: %s; full after %.1f s", v.Broken, v.TimeToFullRecovery()/1000)
	}
	oneZone := base
	oneZone.Kinds, oneZone.Nodes = []string{ZoneDead}, 15
	if v := playZones(oneZone); v.ColdStarts != 0 {
		t.Errorf("a third of the fleet restarted and all began with a share")
	}
	for seed := int64(1); seed <= 12; seed++ {
		p := base
		p.Seed, p.Load, p.ColdFactor, p.CrashLeader = seed, 0.4+0.04*float64(seed%10), 2+float64(seed%7), seed%3 == 0
		p.Ends = 400_000
		if v := playZones(p); v.Broken != "" {
			t.Errorf("seed %d, load %.2f, cold %.0f: %s", seed, p.Load, p.ColdFactor, v.Broken)
		}
	}
}

// TestSpread: the same restart, with callers that wait for their Retry-After. It is spread, so that their retries
// arrive over the recovery. With one moment told to all they arrive together.
func TestSpread(t *testing.T) {
	p := restartOfAll(1)
	p.Patient = true
	v := playZones(p)
	if v.Broken != "" || v.ColdStarts == 0 || v.TimeToFullRecovery() < 0 {
		t.Errorf("%s; began small %d times, full after %.1f s", v.Broken, v.ColdStarts, v.TimeToFullRecovery()/1000)
	}
	t.Logf("at worst %.1f times the first tries", v.PeakRetryRatio)
	p.Without = zones.RetryAfterSpread
	if v = playZones(p); v.Broken == "" {
		t.Error("without spread no promise broke")
	}
	t.Log(v.Broken)
}

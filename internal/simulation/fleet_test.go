package simulation

import (
	"fmt"
	"slices"
	"testing"

	"umberwinch/internal/control/policy"
)

// TestFleetSchedules: under random faults of nodes and of the group's instances every policy change settles or is
// aborted, all nodes serve under the committed version at the end, and the history keeps its invariants.
func TestFleetSchedules(t *testing.T) {
	n := scheduleCount(t, 60)
	ends := map[policy.Step]int{}
	for seed := 1; seed <= n; seed++ {
		f := NewFleet(FleetPlan{Seed: int64(seed), Nodes: 12, ControlInstances: 3, Changes: 5})
		f.Play()
		if f.Broken != "" {
			t.Fatalf("seed %d: %s", seed, f.Broken)
		}
		for k, v := range f.ChangesByStep {
			ends[k] += v
		}
	}
	t.Log(fmt.Sprint(ends))
	if ends[policy.Settled] < n || ends[policy.Aborted] == 0 {
		t.Errorf("changes by last step = %v, want at least %d settled and 1 aborted", ends, n)
	}
}

// TestFleetGuards: with a guard of the policy change disabled an invariant must be violated within 500 seeds, or no
// check detects a missing guard.
func TestFleetGuards(t *testing.T) {
	for _, name := range policy.GuardNames() {
		g, err := policy.GuardNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		broken := ""
		for seed := int64(1); seed <= 500 && broken == ""; seed++ {
			f := NewFleet(FleetPlan{Seed: seed, Nodes: 12, ControlInstances: 3, Changes: 5, DisabledGuards: g})
			f.Play()
			broken = f.Broken
		}
		if broken == "" {
			t.Errorf("without %s no invariant was violated on 500 seeds", name)
		} else {
			t.Logf("without %s: %s", name, broken)
		}
	}
}

// TestCheckFleetDetectsViolations: CheckFleetHistory accepts a correct history, and rejects it with events added that
// violate one invariant.
func TestCheckFleetDetectsViolations(t *testing.T) {
	correct := []FleetEvent{{At: 0, Kind: "serves", Node: "a", Version: 1},
		{At: 0, Kind: "serves", Node: "b", Version: 1},
		{At: 100, Kind: "decided", Version: 2, PreviousVersion: 1}, {At: 100, Kind: "forced", Version: 2},
		{At: 120, Kind: "serves", Node: "a", Version: 2}, {At: 150, Kind: "stops", Node: "b"},
		{At: 160, Kind: "serves", Node: "b", Version: 2}, {At: 200, Kind: "settled", Version: 2},
		{At: 300, Kind: "off", Version: 3, PreviousVersion: 2}}
	first := []FleetEvent{{At: -10, Kind: "decided", Version: 1}, {At: -10, Kind: "forced", Version: 1}}
	p := FleetInvariants{MaxOverlap: 50, Fences: true}
	if broken, overlap := CheckFleetHistory(append(first, correct...), p); broken != "" || overlap != 30 {
		t.Fatalf("CheckFleet(correct history) = %q, overlap %d, want no violation, overlap 30", broken, overlap)
	}
	for name, added := range map[string][]FleetEvent{
		"return to an older version": {{At: 170, Kind: "serves", Node: "a", Version: 1}},
		"served before the decision": {{At: 50, Kind: "serves", Node: "c", Version: 2}},
		"served after the abort":     {{At: 310, Kind: "serves", Node: "c", Version: 3}},
		"decided, then aborted":      {{At: 310, Kind: "off", Version: 2}},
		"aborted, then decided":      {{At: 310, Kind: "decided", Version: 3, PreviousVersion: 2}},
		"older version after the change settled": {{At: 90, Kind: "serves", Node: "c", Version: 1},
			{At: 210, Kind: "stops", Node: "c"}},
		"overlap above the bound": {{At: 90, Kind: "serves", Node: "c", Version: 1},
			{At: 180, Kind: "stops", Node: "c"}},
		"settled without a decision": {{At: 320, Kind: "settled", Version: 4}},
		"served without a decision":  {{At: 320, Kind: "serves", Node: "c", Version: 9}},
		"overlap in an exclusive change": {{At: 400, Kind: "decided", Version: 5, PreviousVersion: 2, Exclusive: true},
			{At: 400, Kind: "forced", Version: 5}, {At: 410, Kind: "serves", Node: "a", Version: 5},
			{At: 420, Kind: "serves", Node: "b", Version: 5}},
		"served before the commit": {{At: 400, Kind: "decided", Version: 5, PreviousVersion: 2},
			{At: 450, Kind: "forced", Version: 5}, {At: 410, Kind: "serves", Node: "a", Version: 5}},
	} {
		if broken, _ := CheckFleetHistory(slices.Concat(first, correct, added), p); broken == "" {
			t.Errorf("%s: CheckFleet found no violation", name)
		}
	}
}

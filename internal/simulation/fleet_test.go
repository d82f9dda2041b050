package simulation

import (
	"fmt"
	"slices"
	"testing"

	"umberwinch/internal/control/policy"
)

// TestFleetSchedules: an operator changes the policy version five times while nodes are killed, paused, partitioned
// and restarted, instances of the group crash, and nodes reject a version or never prepare it. Then all heals. Each
// change has settled or was called off, all nodes serve under the version in force, and the history keeps the
// promises of docs/design/policy.md.
func TestFleetSchedules(t *testing.T) {
	n := scheduleCount(t, 60)
	ends := map[policy.Step]int{}
	for seed := 1; seed <= n; seed++ {
		f := NewFleet(FleetPlan{Seed: int64(seed), Nodes: 12, Ctl: 3, Changes: 5})
		f.Play()
		if f.Broken != "" {
			t.Fatalf("seed %d: %s", seed, f.Broken)
		}
		for k, v := range f.Ends {
			ends[k] += v
		}
	}
	t.Log(fmt.Sprint(ends))
	if ends[policy.Settled] < n || ends[policy.Aborted] == 0 {
		t.Errorf("%v: expected changes that settled and some that were called off", ends)
	}
}

// TestFleetGuards: a guard of the policy change is taken out, and the same schedules are played until a promise
// breaks. One must, on 500 seeds, or no check would find that the guard is missing.
func TestFleetGuards(t *testing.T) {
	for _, name := range policy.GuardNames() {
		g, err := policy.GuardNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		broken := ""
		for seed := int64(1); seed <= 500 && broken == ""; seed++ {
			f := NewFleet(FleetPlan{Seed: seed, Nodes: 12, Ctl: 3, Changes: 5, Without: g})
			f.Play()
			broken = f.Broken
		}
		if broken == "" {
			t.Errorf("without %s no promise broke", name)
		} else {
			t.Logf("without %s: %s", name, broken)
		}
	}
}

// TestWrongHistories: a correct history of changes passes the check. Each case adds events that break one promise,
// and the check has to find it.
func TestWrongHistories(t *testing.T) {
	good := []FleetEvent{{At: 0, Kind: "serves", Node: "a", Version: 1}, {At: 0, Kind: "serves", Node: "b", Version: 1},
		{At: 100, Kind: "decided", Version: 2, From: 1}, {At: 100, Kind: "forced", Version: 2},
		{At: 120, Kind: "serves", Node: "a", Version: 2}, {At: 150, Kind: "stops", Node: "b"},
		{At: 160, Kind: "serves", Node: "b", Version: 2}, {At: 200, Kind: "settled", Version: 2},
		{At: 300, Kind: "off", Version: 3, From: 2}}
	first := []FleetEvent{{At: -10, Kind: "decided", Version: 1}, {At: -10, Kind: "forced", Version: 1}}
	p := FleetPromises{Overlap: 50, Fences: true}
	if broken, overlap := CheckFleet(append(first, good...), p); broken != "" || overlap != 30 {
		t.Fatalf("the right history: %q, overlap %d", broken, overlap)
	}
	for what, more := range map[string][]FleetEvent{
		"back to an older version": {{At: 170, Kind: "serves", Node: "a", Version: 1}},
		"before it was decided":    {{At: 50, Kind: "serves", Node: "c", Version: 2}},
		"called off and served":    {{At: 310, Kind: "serves", Node: "c", Version: 3}},
		"decided and called off":   {{At: 310, Kind: "off", Version: 2}},
		"called off and decided":   {{At: 310, Kind: "decided", Version: 3, From: 2}},
		"older after it was settled": {{At: 90, Kind: "serves", Node: "c", Version: 1},
			{At: 210, Kind: "stops", Node: "c"}},
		"older for longer than bound": {{At: 90, Kind: "serves", Node: "c", Version: 1},
			{At: 180, Kind: "stops", Node: "c"}},
		"settled and never decided":   {{At: 320, Kind: "settled", Version: 4}},
		"in a version nobody decided": {{At: 320, Kind: "serves", Node: "c", Version: 9}},
		"overlap in an exclusive change": {{At: 400, Kind: "decided", Version: 5, From: 2, Excl: true},
			{At: 400, Kind: "forced", Version: 5}, {At: 410, Kind: "serves", Node: "a", Version: 5},
			{At: 420, Kind: "serves", Node: "b", Version: 5}},
		"in force only later": {{At: 400, Kind: "decided", Version: 5, From: 2}, {At: 450, Kind: "forced", Version: 5},
			{At: 410, Kind: "serves", Node: "a", Version: 5}},
	} {
		if broken, _ := CheckFleet(slices.Concat(first, good, more), p); broken == "" {
			t.Errorf("%s: not found", what)
		}
	}
}

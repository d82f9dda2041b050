package simulation

import (
	"context"
	"os"
	"strconv"
	"testing"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/report"
)

// TestLostSchedules has groups lose state, in virtual time, and holds what nodes do to all promises: nobody acts on
// what an earlier generation said, nor goes back to an older version.
func TestLostSchedules(t *testing.T) {
	n := 60
	if s := os.Getenv("UMBERWINCH_SCHEDULES"); s != "" {
		n, _ = strconv.Atoi(s)
	}
	lost, found, restored, bad := 0, 0, 0, 0
	report.EachSeed(context.Background(), 1, n, func(seed int64) *Fleet {
		w := NewFleet(DrawStateLoss(seed, 0))
		w.Play()
		return w
	}, func(seed int64, w *Fleet) bool {
		if lost, found, restored = lost+w.Lost, found+w.Found, restored+w.Restored; w.Broken != "" {
			t.Errorf("seed %d, %d losses, %d restorings: %s", seed, w.Lost, w.Restored, w.Broken)
			bad++
		}
		return bad > 8
	})
	t.Logf("%d schedules, state lost %d times, found by nodes' proofs %d times, %d restorings", n, lost, found, restored)
	if lost < n || found < n/8 || restored < n/2 {
		t.Error("too few to hold anything to")
	}
}

// TestLostGuards takes the guards of a restored group out: a promise has to break on some schedule.
func TestLostGuards(t *testing.T) {
	for _, g := range []policy.Guard{policy.Generation, policy.Proof, policy.ListenFirst} {
		broken := ""
		for seed := int64(1); seed <= 100 && broken == ""; seed++ {
			w := NewFleet(DrawStateLoss(seed, g))
			w.Play()
			broken = w.Broken
		}
		if broken == "" {
			t.Errorf("without guard %b no promise broke", g)
		}
		t.Logf("without guard %b: %s", g, broken)
	}
}

package simulation

import (
	"context"
	"testing"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/report"
)

// TestStateLossSchedules: the group loses its state twice amid policy changes and faults, and is restored. No node acts
// on a former generation once the new one has settled an epoch, and none returns to an older version.
func TestStateLossSchedules(t *testing.T) {
	n := scheduleCount(t, 60)
	losses, detected, restorations, failures := 0, 0, 0, 0
	report.RunSeeds(context.Background(), 1, n, func(seed int64) *Fleet {
		f := NewFleet(DrawStateLoss(seed, 0))
		f.Play()
		return f
	}, func(seed int64, f *Fleet) bool {
		losses, detected, restorations = losses+f.Losses, detected+f.DetectedLosses, restorations+f.Restorations
		if f.Broken != "" {
			t.Errorf("seed %d, %d losses, %d restorations: %s", seed, f.Losses, f.Restorations, f.Broken)
			failures++
		}
		return failures > 8
	})
	t.Logf("%d schedules: %d state losses, %d detected by nodes' proofs, %d restorations", n, losses, detected,
		restorations)
	if losses < n || detected < n/8 || restorations < n/2 {
		t.Errorf("%d losses, %d detected, %d restorations, want at least %d, %d, %d", losses, detected, restorations, n,
			n/8, n/2)
	}
}

// TestStateLossGuards: with a guard of the restoration disabled an invariant must be violated within 100 seeds, or no
// check detects a missing guard.
func TestStateLossGuards(t *testing.T) {
	for _, g := range []policy.Guard{policy.NewestGeneration, policy.LossProof, policy.ListenFirst} {
		broken := ""
		for seed := int64(1); seed <= 100 && broken == ""; seed++ {
			f := NewFleet(DrawStateLoss(seed, g))
			f.Play()
			broken = f.Broken
		}
		if broken == "" {
			t.Errorf("without guard %b no invariant was violated on 100 seeds", g)
		}
		t.Logf("without guard %b: %s", g, broken)
	}
}

package simulation

import (
	"context"
	"testing"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/report"
)

// TestLostSchedules: while the policy changes and faults come, the group loses its state twice: an older copy of
// its folders is put back, or none is left. Nodes prove the loss, an operator restores the group from what they
// have, and a leader of the former generation may go on answering. No node acts on a former generation once the new
// one has settled an epoch, and none goes back to an older version.
func TestLostSchedules(t *testing.T) {
	n := scheduleCount(t, 60)
	lost, found, restored, bad := 0, 0, 0, 0
	report.EachSeed(context.Background(), 1, n, func(seed int64) *Fleet {
		f := NewFleet(DrawStateLoss(seed, 0))
		f.Play()
		return f
	}, func(seed int64, f *Fleet) bool {
		if lost, found, restored = lost+f.Losses, found+f.DetectedLosses, restored+f.Restorations; f.Broken != "" {
			t.Errorf("seed %d, %d losses, %d restorings: %s", seed, f.Losses, f.Restorations, f.Broken)
			bad++
		}
		return bad > 8
	})
	t.Logf("%d schedules, state lost %d times, found by nodes' proofs %d times, %d restorings", n, lost, found,
		restored)
	if lost < n || found < n/8 || restored < n/2 {
		t.Error("too few to hold anything to")
	}
}

// TestLostGuards: a guard of restoring a group is taken out, and schedules of state loss are played until a promise
// breaks. One must, on 100 seeds, or no check would find that the guard is missing.
func TestLostGuards(t *testing.T) {
	for _, g := range []policy.Guard{policy.Generation, policy.Proof, policy.ListenFirst} {
		broken := ""
		for seed := int64(1); seed <= 100 && broken == ""; seed++ {
			f := NewFleet(DrawStateLoss(seed, g))
			f.Play()
			broken = f.Broken
		}
		if broken == "" {
			t.Errorf("without guard %b no promise broke", g)
		}
		t.Logf("without guard %b: %s", g, broken)
	}
}

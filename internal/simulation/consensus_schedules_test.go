package simulation

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/consensus"
)

const scheduleMS = ScheduleMilliseconds

// TestConsensusSchedules: groups of three and five keep the Raft invariants, and the clients' history is linearizable,
// under random crashes, power loss, partitions, lost messages, stalls and lost disks.
func TestConsensusSchedules(t *testing.T) {
	for seed := int64(1); seed <= 24; seed++ {
		size := 3 + int(seed%2)*2
		t.Run(fmt.Sprintf("seed %d, %d instances", seed, size), func(t *testing.T) {
			t.Parallel()
			faults := DrawFaults(seed, size, scheduleMS)
			if r := Play(seed, size, faults, 0, nil); r.Broken != "" {
				short := Shrink(seed, size, faults, 0, 30)
				t.Fatalf("seed %d, %d instances: %s\n%s", seed, size, r.Broken, FaultLines(short))
			}
		})
	}
}

// TestConsensusGuards: with a guard of the consensus code disabled an invariant must be violated within 120 seeds, or
// no check detects a missing guard.
func TestConsensusGuards(t *testing.T) {
	for _, name := range consensus.GuardNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, err := consensus.GuardNamed(name)
			if err != nil {
				t.Fatal(err)
			}
			for seed := int64(1); seed <= 120; seed++ {
				if r := Play(seed, 3, DrawFaults(seed, 3, scheduleMS), g, nil); r.Broken != "" {
					t.Logf("seed %d: %s", seed, r.Broken)
					return
				}
			}
			t.Fatal("no invariant was violated on 120 seeds")
		})
	}
}

// TestSameSeedSameResult: two runs of a seed have the same result, so that a failure can be reproduced.
func TestSameSeedSameResult(t *testing.T) {
	a := Play(3, 5, DrawFaults(3, 5, scheduleMS), 0, nil)
	if b := Play(3, 5, DrawFaults(3, 5, scheduleMS), 0, nil); a != b {
		t.Fatalf("two runs of seed 3 differ: %+v and %+v", a, b)
	}
}

package simulation

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/consensus"
)

const playMS = ScheduleMilliseconds

// TestSchedules: groups of three and of five grow, and clients put and read while drawn faults come: crashes, power
// loss, partitions, lost messages, stalled disks, disks lost or put back. Then all heals, and scripted cases
// follow. Throughout no two leaders have one term, no applied entry changes, and the clients' history is
// linearizable.
func TestSchedules(t *testing.T) {
	for seed := int64(1); seed <= 24; seed++ {
		size := 3 + int(seed%2)*2
		t.Run(fmt.Sprintf("seed %d, %d instances", seed, size), func(t *testing.T) {
			t.Parallel()
			faults := DrawFaults(seed, size, playMS)
			if r := Play(seed, size, faults, 0, nil); r.Broken != "" {
				short := Shrink(seed, size, faults, 0, 30)
				t.Fatalf("seed %d, %d instances: %s\n%s", seed, size, r.Broken, FaultLines(short))
			}
		})
	}
}

// TestWithoutGuards: a guard of the consensus code is taken out and schedules are played until a promise breaks.
// One must, on 120 seeds, or no check would find that the guard is missing.
func TestWithoutGuards(t *testing.T) {
	for _, name := range consensus.GuardNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, err := consensus.GuardNamed(name)
			if err != nil {
				t.Fatal(err)
			}
			for seed := int64(1); seed <= 120; seed++ {
				if r := Play(seed, 3, DrawFaults(seed, 3, playMS), g, nil); r.Broken != "" {
					t.Logf("seed %d: %s", seed, r.Broken)
					return
				}
			}
			t.Fatal("nothing broke on 120 seeds")
		})
	}
}

// TestSameSeedSameRun: a schedule is played twice from its seed and comes to the same, so that a failure can be
// reproduced.
func TestSameSeedSameRun(t *testing.T) {
	a := Play(3, 5, DrawFaults(3, 5, playMS), 0, nil)
	if b := Play(3, 5, DrawFaults(3, 5, playMS), 0, nil); a != b {
		t.Fatalf("two runs of one seed: %+v and %+v", a, b)
	}
}

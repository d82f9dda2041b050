package simulation

import (
	"testing"

	"umberwinch/internal/control/consensus"
)

const playMS = ScheduleMilliseconds

// TestSchedules plays drawn faults on groups of three and five: no promise breaks.
func TestSchedules(t *testing.T) {
	for seed := int64(1); seed <= 24; seed++ {
		size := 3 + int(seed%2)*2
		t.Run("", func(t *testing.T) {
			t.Parallel()
			faults := DrawFaults(seed, size, playMS)
			if r := Play(seed, size, faults, 0, nil); r.Broken != "" {
				short := Shrink(seed, size, faults, 0, 30)
				t.Fatalf("seed %d, %d instances: %s\n%s", seed, size, r.Broken, FaultLines(short))
			}
		})
	}
}

// TestWithoutGuards takes each guard out in turn: a promise has to break, or nothing checks it.
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

// TestSameSeedSameRun: a seed is of no use otherwise.
func TestSameSeedSameRun(t *testing.T) {
	a := Play(3, 5, DrawFaults(3, 5, playMS), 0, nil)
	if b := Play(3, 5, DrawFaults(3, 5, playMS), 0, nil); a != b {
		t.Fatalf("two runs of one seed: %+v and %+v", a, b)
	}
}

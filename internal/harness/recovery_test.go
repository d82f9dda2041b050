package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// TestRecoveryCasesOnProcesses plays the hard cases of coming back on processes, in two fleets side by side.
func TestRecoveryCasesOnProcesses(t *testing.T) {
	t.Parallel()
	const parts = 2
	for part := 0; part < parts; part++ {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			rep, err := (&RecoveryTest{Seed: int64(31 + part), Quick: true, Mode: "real", Part: part, Parts: parts,
				Program: builtProgram(t)}).Run(context.Background(), &out)
			if err != nil || rep.Broken != "" {
				t.Fatalf("%v\n%s", err, out.String())
			}
			if n := strings.Count(out.String(), " kept, "); n < 2 {
				t.Fatalf("%d cases kept, expected two at least\n%s", n, out.String())
			}
			t.Log(out.String())
		})
	}
}

// TestRecoveryCasesFailWithoutGuard takes guards out on processes: the case that needs each breaks. small-start is taken out in
// virtual time (TestRestart), and by umberctl faulttest recovery.
func TestRecoveryCasesFailWithoutGuard(t *testing.T) {
	t.Parallel()
	for guard, only := range map[string]string{"generation": "a paused majority of the old generation goes on",
		"proof": "an old copy of all folders put back while nodes serve under a newer policy"} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			expectViolationWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&RecoveryTest{Seed: seed, Quick: true, Mode: "real", ProcessGuards: guard, Only: only,
					Program: builtProgram(t)}).Run(context.Background(), w)
			})
		})
	}
}

// TestMassJoinInArrivalOrder: a crowd of nodes is taken in by the group in the order in which they asked, in entries of a bounded size,
// and nobody waits for long; without that order the first of them do.
func TestMassJoinInArrivalOrder(t *testing.T) {
	entries, largest, worst, broken := runMassJoin(1, 5000, 0)
	if broken != "" || largest > 200_000 || worst > 1500 {
		t.Errorf("%d entries, the largest of %d bytes, %d ms at worst: %s", entries, largest, worst, broken)
	}
	t.Logf("%d entries, the largest of %d bytes, %d ms at worst", entries, largest, worst)
	if _, _, _, broken = runMassJoin(1, 5000, policy.ArrivalOrder); broken == "" {
		t.Error("without arrival-order no promise broke")
	}
	t.Log(broken)
}

// TestShortestRecovery holds the lower bound to a count of steps.
func TestShortestRecovery(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.9, 1} {
		const cold, dt = 8.0, 0.001
		warm, at := 0.0, 0.0
		for 1/(1+(cold-1)*(1-warm)) < load-1e-9 && at < 100 {
			warm = min(1, warm+dt/simulation.WarmUpSeconds/(1+(cold-1)*(1-warm)))
			at += dt
		}
		if got := shortestRecovery(load, cold, simulation.WarmUpSeconds); math.Abs(got-at) > 0.2 {
			t.Errorf("load %.1f: %.2f s, counted %.2f", load, got, at)
		}
	}
}

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

// Every recovery case that isn't long passes on processes, split over two fleets in parallel.
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
				t.Fatalf("Run() error = %v, want none and no violation\n%s", err, out.String())
			}
			if n := strings.Count(out.String(), " kept, "); n < 2 {
				t.Fatalf("got %d cases kept, want at least 2\n%s", n, out.String())
			}
			t.Log(out.String())
		})
	}
}

// With a guard disabled, the case that depends on it has to find a violation. small-start is covered in virtual time
// (TestRestart) and by umberctl faulttest recovery.
func TestRecoveryCasesFailWithoutGuard(t *testing.T) {
	t.Parallel()
	for guard, only := range map[string]string{"generation": "a paused majority of the old generation goes on",
		"proof": "an old copy of all folders put back while nodes serve under a newer policy"} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			expectViolationWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&RecoveryTest{Seed: seed, Quick: true, Mode: "real", DisabledProcessGuards: guard, Only: only,
					Program: builtProgram(t)}).Run(context.Background(), w)
			})
		})
	}
}

// The group accepts 5,000 joining nodes in the order of their arrival, in entries of a bounded size and without long
// waits. With arrival-order disabled, the check has to find nodes out of order.
func TestMassJoinInArrivalOrder(t *testing.T) {
	entries, largest, worst, violation := runMassJoin(1, 5000, 0)
	if violation != "" || largest > 200_000 || worst > 1500 {
		t.Errorf("runMassJoin() = %d entries, largest %d bytes, longest wait %d ms, violation %q; want at most "+
			"200000 bytes, 1500 ms and no violation", entries, largest, worst, violation)
	}
	t.Logf("%d entries, largest %d bytes, longest wait %d ms", entries, largest, worst)
	if _, _, _, violation = runMassJoin(1, 5000, policy.ArrivalOrder); violation == "" {
		t.Error("without arrival-order: no violation, want one")
	}
	t.Log(violation)
}

// The closed form of the shortest recovery agrees with a numerical integration.
func TestShortestRecovery(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.9, 1} {
		const cold, dt = 8.0, 0.001
		warm, at := 0.0, 0.0
		for 1/(1+(cold-1)*(1-warm)) < load-1e-9 && at < 100 {
			warm = min(1, warm+dt/simulation.WarmUpSeconds/(1+(cold-1)*(1-warm)))
			at += dt
		}
		if got := shortestRecovery(load, cold, simulation.WarmUpSeconds); math.Abs(got-at) > 0.2 {
			t.Errorf("shortestRecovery(%.1f) = %.2f s, want %.2f within 0.2", load, got, at)
		}
	}
}

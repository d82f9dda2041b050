package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"umberwinch/internal/report"
)

// Every zone case that isn't long passes on processes, split over five fleets in parallel.
func TestZoneCasesOnProcesses(t *testing.T) {
	t.Parallel()
	const parts = 5
	for part := 0; part < parts; part++ {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			rep, err := (&ZonesTest{Seed: int64(11 + part), Quick: true, Mode: "real", Part: part, Parts: parts,
				Program: builtProgram(t)}).Run(context.Background(), &out)
			if err != nil || rep.Broken != "" {
				t.Fatalf("Run() error = %v, want none and no violation\n%s", err, out.String())
			}
			if n := strings.Count(out.String(), " kept, "); n < len(zoneCases)/parts-1 {
				t.Fatalf("got %d cases kept, want at least %d\n%s", n, len(zoneCases)/parts-1, out.String())
			}
			t.Log(out.String())
		})
	}
}

// With a guard disabled, the case that depends on it has to find a violation. "paced" takes half a minute and is
// covered by faulttest zones --without; the other guards need more load or nodes than this fleet has. All are
// disabled in virtual time.
func TestZoneCasesFailWithoutGuard(t *testing.T) {
	t.Parallel()
	for guard, only := range map[string]string{"step-back": "its service below fails in the middle of the return",
		"one-epoch": "its kernels dead, its nodes well"} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			expectViolationWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&ZonesTest{Seed: seed, Quick: true, Mode: "real", DisabledProcessGuards: guard, Only: only,
					Program: builtProgram(t)}).Run(context.Background(), w)
			})
		})
	}
}

// CheckZones accepts a correct history and detects each kind of violation.
func TestCheckZonesDetectsViolations(t *testing.T) {
	correct := []ZoneEvent{{At: 0, Kind: "zone", Zone: "a"}, {At: 0, Kind: "zone", Zone: "b"},
		{At: 10, Kind: "decided", Zone: "a", Epoch: 1, Share: 0, Op: "leave"},
		{At: 20, Kind: "applied", Node: "n", Epoch: 1},
		{At: 30, Kind: "settled", Epoch: 1}, {At: 40, Kind: "responds", Node: "n"},
		{At: 50, Kind: "decided", Zone: "a", Epoch: 2, Share: 16, Op: "step"}, {At: 60, Kind: "settled", Epoch: 2},
		{At: 62, Kind: "responds", Node: "n"}, {At: 65, Kind: "applied", Node: "n", Epoch: 2},
		{At: 90, Kind: "responds", Node: "n"}}
	mayEvacuate := map[string]bool{"a": true}
	if violation := CheckZones(correct, mayEvacuate, 5); violation != "" {
		t.Fatalf("CheckZones(correct history) = %q, want none", violation)
	}
	for name, events := range map[string][]ZoneEvent{
		"evacuated without a reason": {{At: 70, Kind: "decided", Zone: "b", Epoch: 3, Op: "leave"}},
		"no zone in service":         {{At: 70, Kind: "decided", Zone: "b", Epoch: 3, Op: "step", Share: 0}},
		"decreasing epoch":           {{At: 70, Kind: "decided", Zone: "a", Epoch: 1, Share: 16, Op: "step"}},
		"share raised before the epoch settled": {{At: 70, Kind: "decided", Zone: "a", Epoch: 3, Share: 32, Op: "step"},
			{At: 71, Kind: "decided", Zone: "a", Epoch: 4, Share: 64, Op: "step"}},
		"node applies an earlier epoch": {{At: 61, Kind: "applied", Node: "m", Epoch: 1},
			{At: 80, Kind: "responds", Node: "m"}},
		"node keeps acting on an earlier epoch": {{At: 15, Kind: "applied", Node: "k", Epoch: 0},
			{At: 45, Kind: "responds", Node: "k"}},
	} {
		if violation := CheckZones(append(append([]ZoneEvent{}, correct...), events...), mayEvacuate,
			5); violation == "" {
			t.Errorf("CheckZones(%s) = none, want a violation", name)
		}
	}
}

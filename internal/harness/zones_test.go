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

// TestZoneCasesOnProcesses plays every hard case about zones on processes, in fleets side by side.
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
				t.Fatalf("%v\n%s", err, out.String())
			}
			if n := strings.Count(out.String(), " kept, "); n < len(zoneCases)/parts-1 {
				t.Fatalf("%d cases kept, expected %d\n%s", n, len(zoneCases)/parts, out.String())
			}
			t.Log(out.String())
		})
	}
}

// TestZoneCasesFailWithoutGuard takes guards out of the processes: the case that needs each breaks. "paced" takes half a
// minute and is taken out by faulttest zones --without; the others need more load or more nodes than a fleet has; all
// are taken out in virtual time.
func TestZoneCasesFailWithoutGuard(t *testing.T) {
	t.Parallel()
	for guard, only := range map[string]string{"step-back": "its service below fails in the middle of the return",
		"one-epoch": "its kernels dead, its nodes well"} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			expectViolationWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&ZonesTest{Seed: seed, Quick: true, Mode: "real", ProcessGuards: guard, Only: only,
					Program: builtProgram(t)}).Run(context.Background(), w)
			})
		})
	}
}

// TestCheckZonesDetectsViolations holds the checker to histories that are wrong on purpose.
func TestCheckZonesDetectsViolations(t *testing.T) {
	good := []ZoneEvent{{At: 0, Kind: "zone", Zone: "a"}, {At: 0, Kind: "zone", Zone: "b"},
		{At: 10, Kind: "decided", Zone: "a", Epoch: 1, Share: 0, Op: "leave"},
		{At: 20, Kind: "acts", Node: "n", Epoch: 1},
		{At: 30, Kind: "settled", Epoch: 1}, {At: 40, Kind: "answers", Node: "n"},
		{At: 50, Kind: "decided", Zone: "a", Epoch: 2, Share: 16, Op: "step"}, {At: 60, Kind: "settled", Epoch: 2},
		{At: 62, Kind: "answers", Node: "n"}, {At: 65, Kind: "acts", Node: "n", Epoch: 2},
		{At: 90, Kind: "answers", Node: "n"}}
	mayEvacuate := map[string]bool{"a": true}
	if broken := CheckZones(good, mayEvacuate, 5); broken != "" {
		t.Fatalf("the right history: %s", broken)
	}
	for name, more := range map[string][]ZoneEvent{
		"left without a reason":   {{At: 70, Kind: "decided", Zone: "b", Epoch: 3, Op: "leave"}},
		"no zone is in":           {{At: 70, Kind: "decided", Zone: "b", Epoch: 3, Op: "step", Share: 0}},
		"an epoch that goes back": {{At: 70, Kind: "decided", Zone: "a", Epoch: 1, Share: 16, Op: "step"}},
		"raised before it settled": {{At: 70, Kind: "decided", Zone: "a", Epoch: 3, Share: 32, Op: "step"},
			{At: 71, Kind: "decided", Zone: "a", Epoch: 4, Share: 64, Op: "step"}},
		"acts on what was settled": {{At: 61, Kind: "acts", Node: "m", Epoch: 1},
			{At: 80, Kind: "answers", Node: "m"}},
		"acts long after, by another": {{At: 15, Kind: "acts", Node: "k", Epoch: 0},
			{At: 45, Kind: "answers", Node: "k"}},
	} {
		if broken := CheckZones(append(append([]ZoneEvent{}, good...), more...), mayEvacuate, 5); broken == "" {
			t.Errorf("%s: not found", name)
		}
	}
}

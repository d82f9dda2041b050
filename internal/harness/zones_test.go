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

// TestZonesOnProcesses plays every hard case about zones on processes, in fleets side by side.
func TestZonesOnProcesses(t *testing.T) {
	t.Parallel()
	const parts = 5
	for part := 0; part < parts; part++ {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			rep, err := (&Zones{Seed: int64(11 + part), Quick: true, Mode: "real", Part: part, Parts: parts,
				Program: built(t)}).Run(context.Background(), &out)
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

// TestZoneGuardsOnProcesses takes guards out of the processes: the case that needs each breaks. "paced" takes half a minute and is
// taken out by lab zones --without; the others need more load or more nodes than a rig has; all are taken out in virtual time.
func TestZoneGuardsOnProcesses(t *testing.T) {
	t.Parallel()
	for guard, only := range map[string]string{"step-back": "its service below fails in the middle of the return", "one-epoch": "its kernels dead, its nodes well"} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			breaksWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&Zones{Seed: seed, Quick: true, Mode: "real", Words: guard, Only: only, Program: built(t)}).Run(context.Background(), w)
			})
		})
	}
}

package harness

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	"umberwinch/internal/control/consensus"
)

// Leaders of a group of processes are killed under load: no acknowledged version may be lost or committed twice.
func TestCommittedVersionsSurviveLeaderKills(t *testing.T) {
	var out bytes.Buffer
	dir := t.TempDir()
	rep, err := (&RaftTest{Seed: 4, Quick: true, Size: 3, Mode: "real", Kills: 4, Program: builtProgram(t),
		Out: dir}).Run(
		context.Background(), &out)
	if err != nil || rep.Broken != "" {
		t.Fatalf("Run() error = %v, want none and no violation\n%s", err, out.String())
	}
	if !strings.Contains(out.String(), "raft: kept seed=4 kills3=4 ") {
		t.Fatalf("got\n%s\nwant the verdict raft: kept seed=4 kills3=4", out.String())
	}
	for _, name := range []string{"report.html", "result.json"} {
		if m, err := filepath.Glob(filepath.Join(dir, name)); err != nil || len(m) != 1 {
			t.Errorf("%s: got %d files (%v), want 1", name, len(m), err)
		}
	}
}

// With a guard disabled the report has to name the violation, its seed and the shortest list of faults that
// reproduces it.
func TestVerdictNamesViolation(t *testing.T) {
	var out bytes.Buffer
	rep, err := (&RaftTest{Seed: 2, Quick: true, Mode: "virtual", Schedules: 20,
		DisabledGuards: consensus.CompareAndSet}).Run(
		context.Background(), &out)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Broken == "" || !strings.Contains(out.String(), "raft: broken: seed ") ||
		!strings.Contains(out.String(), "with these faults alone") {
		t.Fatalf("got\n%s\nwant a verdict that names the seed and a note with the remaining faults", out.String())
	}
}

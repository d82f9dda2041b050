package harness

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	"umberwinch/internal/control/consensus"
)

// TestCommittedVersionsSurviveLeaderKills kills leaders of real processes; all that clients were told is there, once.
func TestCommittedVersionsSurviveLeaderKills(t *testing.T) {
	var out bytes.Buffer
	dir := t.TempDir()
	rep, err := (&RaftTest{Seed: 4, Quick: true, Size: 3, Mode: "real", Kills: 4, Program: builtProgram(t), Out: dir}).Run(
		context.Background(), &out)
	if err != nil || rep.Broken != "" {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if !strings.Contains(out.String(), "raft: kept seed=4 kills3=4 ") {
		t.Fatalf("last line of\n%s", out.String())
	}
	for _, name := range []string{"report.html", "result.json"} {
		if m, err := filepath.Glob(filepath.Join(dir, name)); err != nil || len(m) != 1 {
			t.Errorf("%s is missing", name)
		}
	}
}

// TestVerdictNamesViolation: the command's verdict follows what was found.
func TestVerdictNamesViolation(t *testing.T) {
	var out bytes.Buffer
	rep, err := (&RaftTest{Seed: 2, Quick: true, Mode: "virtual", Schedules: 20,
		Without: consensus.CompareAndSet}).Run(
		context.Background(), &out)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Broken == "" || !strings.Contains(out.String(), "raft: broken: seed ") ||
		!strings.Contains(out.String(), "with these faults alone") {
		t.Fatalf("got\n%s", out.String())
	}
}

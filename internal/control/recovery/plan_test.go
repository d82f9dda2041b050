package recovery

import (
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
)

// newNodeRecord returns the record of a node that serves under a version and promised minVersion.
func newNodeRecord(name string, version uint64, text string, minVersion uint64) api.NodeRecord {
	return api.NodeRecord{Name: name, Zone: "z", Group: "g1", Generation: 1, Term: 3, Index: 100,
		ActiveVersion: version, ActiveText: text, ActiveHash: document.Hash([]byte(text)), MinVersion: minVersion,
		ZoneEpoch: 4, ZoneShare: 256, LeaseMS: 5000}
}

// newStoredGroup returns the content of an old folder with the versions 1 to last, whose texts are t1, t2, ...
func newStoredGroup(last, decided, committed uint64) *StoredGroup {
	return &StoredGroup{GroupIdentity: api.GroupIdentity{Group: "g1", Generation: 1}, LastVersion: last,
		DecidedVersion: decided, CommittedVersion: committed, Index: 90, Nodes: []string{"a", "b", "x"},
		LeaseMS: 2000, TextOf: func(version uint64) (string, string, bool) {
			text := fmt.Sprint("t", version)
			return text, document.Hash([]byte(text)), version > 0 && version <= last
		}}
}

// TestPlanRestore guards against restoring a text that no node served under, or an older text under its old number:
// nodes would serve under different policies of the same version.
func TestPlanRestore(t *testing.T) {
	decided := newNodeRecord("b", 6, "t6", 7) // prepared version 7, which is decided
	decided.PreparedVersion, decided.PreparedText, decided.PreparedHash = 7, "t7", document.Hash([]byte("t7"))
	undecided := decided
	undecided.MinVersion = 6
	corrupt := newNodeRecord("a", 9, "t9", 9)
	corrupt.ActiveText = "t9 with a bit flipped"
	nextGeneration := newNodeRecord("c", 3, "t3", 3)
	nextGeneration.Group, nextGeneration.Generation = "g2", 2
	otherGroup := newNodeRecord("d", 3, "t3", 3)
	otherGroup.Group = "g9"
	for _, c := range []struct {
		name           string
		records        []api.NodeRecord
		stored         *StoredGroup
		choice         string
		wantVersion    uint64
		wantSource     uint64
		wantGeneration uint64
		wantProof      string // substring of the proof or of the conflict
		wantUnknown    string // substring of the unknowns
		wantConflict   bool   // versions and generation are not compared
	}{
		{
			name:      "no records and no folder",
			wantProof: "nobody served", wantUnknown: "nodes that were not heard",
		},
		{
			name:        "records only",
			records:     []api.NodeRecord{newNodeRecord("a", 5, "t5", 5), newNodeRecord("b", 6, "t6", 6)},
			wantVersion: 6, wantSource: 6, wantGeneration: 1,
			wantProof: "served under by b", wantUnknown: "not heard",
		},
		{
			name:        "decided version prepared by one node and active on none",
			records:     []api.NodeRecord{newNodeRecord("a", 6, "t6", 6), decided},
			wantVersion: 7, wantSource: 7, wantGeneration: 1,
			wantProof: "prepared by b",
		},
		{
			name:        "prepared version not known to be decided",
			records:     []api.NodeRecord{newNodeRecord("a", 6, "t6", 6), undecided},
			wantVersion: 6, wantSource: 6, wantGeneration: 1,
			wantProof: "served under by a, b",
		},
		{
			name:        "text of the decided version is missing",
			records:     []api.NodeRecord{newNodeRecord("a", 6, "t6", 8)},
			wantVersion: 9, wantSource: 6, wantGeneration: 1,
			wantProof: "served under by a", wantUnknown: "nobody holds its text",
		},
		{
			name:        "text does not match its hash",
			records:     []api.NodeRecord{corrupt, newNodeRecord("b", 6, "t6", 6)},
			wantVersion: 10, wantSource: 6, wantGeneration: 1,
			wantProof: "served under by b", wantUnknown: "nobody holds its text",
		},
		{
			name:        "folder only",
			stored:      newStoredGroup(6, 5, 5),
			wantVersion: 5, wantSource: 5, wantGeneration: 1,
			wantProof: "the folder", wantUnknown: "a, b, x: not heard",
		},
		{
			name:        "folder older than a record",
			records:     []api.NodeRecord{newNodeRecord("a", 8, "t8", 8)},
			stored:      newStoredGroup(6, 5, 5),
			wantVersion: 8, wantSource: 8, wantGeneration: 1,
			wantProof: "served under by a", wantUnknown: "entry 90",
		},
		{
			name:        "folder has diverged",
			records:     []api.NodeRecord{newNodeRecord("a", 6, "another t6", 6)},
			stored:      newStoredGroup(6, 5, 5),
			wantVersion: 7, wantSource: 6, wantGeneration: 1,
			wantProof: "served under by a",
		},
		{
			name:        "folder has diverged, with an operator's choice",
			records:     []api.NodeRecord{newNodeRecord("a", 6, "another t6", 6)},
			stored:      newStoredGroup(6, 6, 6),
			choice:      document.Hash([]byte("another t6"))[:12],
			wantVersion: 7, wantSource: 6, wantGeneration: 1,
			wantProof: "served under by a",
		},
		{
			name:         "two texts of one version",
			records:      []api.NodeRecord{newNodeRecord("a", 7, "another t7", 7), newNodeRecord("b", 7, "t7", 7)},
			wantProof:    "name one with --take",
			wantConflict: true,
		},
		{
			name:        "newer generation",
			records:     []api.NodeRecord{newNodeRecord("a", 9, "t9", 9), nextGeneration},
			wantVersion: 3, wantSource: 3, wantGeneration: 2,
			wantProof: "served under by c",
		},
		{
			name:         "two groups of one generation",
			records:      []api.NodeRecord{newNodeRecord("a", 3, "t3", 3), otherGroup},
			wantProof:    "go on apart",
			wantConflict: true,
		},
	} {
		plan := PlanRestore(c.records, c.stored, c.choice)
		if got := plan.Conflict != ""; got != c.wantConflict {
			t.Errorf("%s: conflict %q, want one: %v", c.name, plan.Conflict, c.wantConflict)
		}
		if !c.wantConflict && (plan.Version != c.wantVersion || plan.SourceVersion != c.wantSource ||
			plan.Lost.Generation != c.wantGeneration) {
			t.Errorf(
				"%s: version %d with the text of %d, generation %d; want version %d with the text of %d, generation %d",
				c.name, plan.Version, plan.SourceVersion, plan.Lost.Generation,
				c.wantVersion, c.wantSource, c.wantGeneration)
		}
		if got := plan.Proof + plan.Conflict; !strings.Contains(got, c.wantProof) {
			t.Errorf("%s: proof or conflict %q, want %q in it", c.name, got, c.wantProof)
		}
		if got := strings.Join(plan.Unknown, "; "); !strings.Contains(got, c.wantUnknown) {
			t.Errorf("%s: unknown %q, want %q in it", c.name, got, c.wantUnknown)
		}
		if plan.Conflict == "" && plan.Hash != "" && document.Hash([]byte(plan.Text)) != plan.Hash {
			t.Errorf("%s: hash %s does not match text %q", c.name, plan.Hash, plan.Text)
		}
	}
	plan := PlanRestore([]api.NodeRecord{newNodeRecord("a", 6, "t6", 6)}, newStoredGroup(4, 4, 4), "")
	if plan.ZoneEpoch != 4 || plan.LeaseMS != 5000 {
		t.Errorf("zone epoch %d, lease %d ms; want the newest epoch 4 and the longest lease 5000 ms",
			plan.ZoneEpoch, plan.LeaseMS)
	}
}

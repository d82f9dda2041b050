package recovery

import (
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
)

// newNodeRecord makes what a node remembers: it serves under a version of a text, and was told of another as decided.
func newNodeRecord(name string, version uint64, text string, floor uint64) api.NodeRecord {
	return api.NodeRecord{Name: name, Zone: "z", Group: "g1", Generation: 1, Term: 3, Index: 100,
		ActiveVersion: version,
		ActiveText:    text,
		ActiveHash:    document.Hash([]byte(text)), MinVersion: floor, ZoneEpoch: 4, ZoneShare: 256, LeaseMS: 5000}
}

// newStoredGroup makes what an old folder holds: versions with texts t1, t2, ...
func newStoredGroup(last, need, force uint64) *StoredGroup {
	return &StoredGroup{GroupIdentity: api.GroupIdentity{Group: "g1", Generation: 1}, LastVersion: last,
		DecidedVersion: need, CommittedVersion: force, Index: 90, Nodes: []string{"a", "b", "x"},
		LeaseMS: 2000, TextOf: func(n uint64) (string, string, bool) {
			text := fmt.Sprint("t", n)
			return text, document.Hash([]byte(text)), n > 0 && n <= last
		}}
}

// TestPlanRestore: a group lost its state, and nodes and an old folder remember parts of it. If a text were restored
// that nobody served under, or an older one by its old number, nodes would serve under different policies by one
// number. Only what proves itself is restored; what is at odds is a conflict, and what nobody holds is named.
func TestPlanRestore(t *testing.T) {
	next := newNodeRecord("b", 6, "t6", 7) // prepared 7, which is decided
	next.PreparedVersion, next.PreparedText, next.PreparedHash = 7, "t7", document.Hash([]byte("t7"))
	undecided := next
	undecided.MinVersion = 6
	spoilt := newNodeRecord("a", 9, "t9", 9)
	spoilt.ActiveText = "t9 with a bit flipped"
	later := newNodeRecord("c", 3, "t3", 3)
	later.Group, later.Generation = "g2", 2
	sibling := newNodeRecord("d", 3, "t3", 3)
	sibling.Group = "g9"
	other := newNodeRecord("a", 7, "another t7", 7)
	for _, c := range []struct {
		what     string
		kept     []api.NodeRecord
		base     *StoredGroup
		take     string
		version  uint64
		was      uint64
		gen      uint64
		proof    string // part of it, or of the conflict
		unknown  string // part of one of them
		conflict bool
	}{
		{"nobody and nothing", nil, nil, "", 0, 0, 0, "nobody served", "nodes that were not heard", false},
		{"nodes alone", []api.NodeRecord{newNodeRecord("a", 5, "t5", 5), newNodeRecord("b", 6, "t6", 6)}, nil, "", 6, 6, 1,
			"served under by b", "not heard", false},
		{"decided, prepared by one, taken over by nobody", []api.NodeRecord{newNodeRecord("a", 6, "t6", 6), next}, nil, "", 7, 7,
			1, "prepared by b", "", false},
		{"prepared, and not decided as anybody knows", []api.NodeRecord{newNodeRecord("a", 6, "t6", 6), undecided}, nil, "",
			6, 6,
			1, "served under by a, b", "",
			false},
		{"decided, and nobody has the text", []api.NodeRecord{newNodeRecord("a", 6, "t6", 8)}, nil, "", 9, 6, 1,
			"served under by a", "nobody holds its text",
			false},
		{"a text that its hash does not fit", []api.NodeRecord{spoilt, newNodeRecord("b", 6, "t6", 6)}, nil, "", 10, 6, 1,
			"served under by b",
			"nobody holds its text", false},
		{"a folder alone", nil, newStoredGroup(6, 5, 5), "", 5, 5, 1, "the folder", "a, b, x: not heard", false},
		{"an older folder", []api.NodeRecord{newNodeRecord("a", 8, "t8", 8)}, newStoredGroup(6, 5, 5), "", 8, 8, 1, "served under by a",
			"entry 90", false},
		{"a folder that went on another way", []api.NodeRecord{newNodeRecord("a", 6, "another t6", 6)}, newStoredGroup(6, 5, 5), "",
			7, 6,
			1, "served under by a", "",
			false},
		{"the same, and an operator chose", []api.NodeRecord{newNodeRecord("a", 6, "another t6", 6)}, newStoredGroup(6, 6, 6),
			document.Hash([]byte("another t6"))[:12], 7, 6, 1,
			"served under by a", "", false},
		{"two texts by one number", []api.NodeRecord{other, newNodeRecord("b", 7, "t7", 7)}, nil, "", 0, 0, 1,
			"name one with --take", "", true},
		{"a newer generation", []api.NodeRecord{newNodeRecord("a", 9, "t9", 9), later}, nil, "", 3, 3, 2, "served under by c",
			"",
			false},
		{"two groups of one generation", []api.NodeRecord{newNodeRecord("a", 3, "t3", 3), sibling}, nil, "", 0, 0, 1,
			"go on apart", "", true},
	} {
		f := PlanRestore(c.kept, c.base, c.take)
		said := f.Proof + f.Conflict
		if c.conflict != (f.Conflict != "") || !c.conflict && (f.Version != c.version ||
			f.SourceVersion != c.was || f.Lost.Generation != c.gen) || !strings.Contains(said, c.proof) ||
			!strings.Contains(strings.Join(f.Unknown, "; "),
				c.unknown) {
			t.Errorf("%s: %+v, expected version %d of %d, generation %d, %q, %q", c.what, f, c.version, c.was, c.gen,
				c.proof, c.unknown)
		}
		if f.Conflict == "" && f.Hash != "" && document.Hash([]byte(f.Text)) != f.Hash {
			t.Errorf("%s: a text of another hash", c.what)
		}
	}
	if f := PlanRestore([]api.NodeRecord{newNodeRecord("a", 6, "t6", 6)}, newStoredGroup(4, 4, 4), ""); f.ZoneEpoch != 4 ||
		f.LeaseMS != 5000 {
		t.Errorf("epoch %d, lease %d: expected the newest and the longest of all", f.ZoneEpoch, f.LeaseMS)
	}
}

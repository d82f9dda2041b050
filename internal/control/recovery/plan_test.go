package recovery

import (
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/document"
)

// kept makes what a node holds: it serves under a version of a text, and was told of another as decided.
func kept(name string, version uint64, text string, floor uint64) NodeRecord {
	return NodeRecord{Name: name, Zone: "z", Group: "g1", Generation: 1, Term: 3, Index: 100, ActiveVersion: version,
		ActiveText: text,
		ActiveHash: document.Hash([]byte(text)), MinVersion: floor, ZoneEpoch: 4, ZoneShare: 256, LeaseMS: 5000}
}

// folder makes what an old folder holds: versions with texts t1, t2, ...
func folder(last, need, force uint64) *StoredGroup {
	return &StoredGroup{GroupIdentity: GroupIdentity{Group: "g1", Generation: 1}, LastVersion: last,
		DecidedVersion: need, CommittedVersion: force, Index: 90, Nodes: []string{"a", "b", "x"},
		LeaseMS: 2000, TextOf: func(n uint64) (string, string, bool) {
			text := fmt.Sprint("t", n)
			return text, document.Hash([]byte(text)), n > 0 && n <= last
		}}
}

func TestPlan(t *testing.T) {
	next := kept("b", 6, "t6", 7) // prepared 7, which is decided
	next.PreparedVersion, next.PreparedText, next.PreparedHash = 7, "t7", document.Hash([]byte("t7"))
	undecided := next
	undecided.MinVersion = 6
	spoilt := kept("a", 9, "t9", 9)
	spoilt.ActiveText = "t9 with a bit flipped"
	later := kept("c", 3, "t3", 3)
	later.Group, later.Generation = "g2", 2
	sibling := kept("d", 3, "t3", 3)
	sibling.Group = "g9"
	other := kept("a", 7, "another t7", 7)
	for _, c := range []struct {
		what     string
		kept     []NodeRecord
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
		{"nodes alone", []NodeRecord{kept("a", 5, "t5", 5), kept("b", 6, "t6", 6)}, nil, "", 6, 6, 1,
			"served under by b", "not heard", false},
		{"decided, prepared by one, taken over by nobody", []NodeRecord{kept("a", 6, "t6", 6), next}, nil, "", 7, 7,
			1, "prepared by b", "", false},
		{"prepared, and not decided as anybody knows", []NodeRecord{kept("a", 6, "t6", 6), undecided}, nil, "", 6, 6,
			1, "served under by a, b", "",
			false},
		{"decided, and nobody has the text", []NodeRecord{kept("a", 6, "t6", 8)}, nil, "", 9, 6, 1,
			"served under by a", "nobody holds its text",
			false},
		{"a text that its hash does not fit", []NodeRecord{spoilt, kept("b", 6, "t6", 6)}, nil, "", 10, 6, 1,
			"served under by b",
			"nobody holds its text", false},
		{"a folder alone", nil, folder(6, 5, 5), "", 5, 5, 1, "the folder", "a, b, x: not heard", false},
		{"an older folder", []NodeRecord{kept("a", 8, "t8", 8)}, folder(6, 5, 5), "", 8, 8, 1, "served under by a",
			"entry 90", false},
		{"a folder that went on another way", []NodeRecord{kept("a", 6, "another t6", 6)}, folder(6, 5, 5), "", 7, 6,
			1, "served under by a", "",
			false},
		{"the same, and an operator chose", []NodeRecord{kept("a", 6, "another t6", 6)}, folder(6, 6, 6),
			document.Hash([]byte("another t6"))[:12], 7, 6, 1,
			"served under by a", "", false},
		{"two texts by one number", []NodeRecord{other, kept("b", 7, "t7", 7)}, nil, "", 0, 0, 1,
			"name one with --take", "", true},
		{"a newer generation", []NodeRecord{kept("a", 9, "t9", 9), later}, nil, "", 3, 3, 2, "served under by c", "",
			false},
		{"two groups of one generation", []NodeRecord{kept("a", 3, "t3", 3), sibling}, nil, "", 0, 0, 1,
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
	if f := PlanRestore([]NodeRecord{kept("a", 6, "t6", 6)}, folder(4, 4, 4), ""); f.ZoneEpoch != 4 ||
		f.LeaseMS != 5000 {
		t.Errorf("epoch %d, lease %d: expected the newest and the longest of all", f.ZoneEpoch, f.LeaseMS)
	}
}

// TestLacks: what a node was told by this very group is known to it, or it has lost state.
func TestLacks(t *testing.T) {
	have := GroupState{Group: "g1", Generation: 1, Term: 3, Index: 100, DecidedVersion: 6, ZoneEpoch: 4,
		HashOf:     func(v uint64) string { return map[uint64]string{6: document.Hash([]byte("t6"))}[v] },
		ChecksumAt: func(index uint64) (uint64, bool) { return index * 7, index >= 50 }}
	for what, c := range map[string]struct {
		change func(k *NodeRecord)
		lacks  bool
	}{
		"just what it has": {func(*NodeRecord) {}, false},
		"less": {func(k *NodeRecord) {
			k.Index, k.Term, k.MinVersion, k.ActiveVersion,
				k.ZoneEpoch = 3, 1, 2, 2, 0
		}, false},
		"a later entry":            {func(k *NodeRecord) { k.Index++ }, true},
		"a later term":             {func(k *NodeRecord) { k.Term++ }, true},
		"a later decision":         {func(k *NodeRecord) { k.MinVersion++ }, true},
		"a later epoch":            {func(k *NodeRecord) { k.ZoneEpoch++ }, true},
		"another entry":            {func(k *NodeRecord) { k.Index, k.EntryChecksum = 80, 80*7+1 }, true},
		"the same entry":           {func(k *NodeRecord) { k.Index, k.EntryChecksum = 80, 80*7 }, false},
		"an entry kept no more":    {func(k *NodeRecord) { k.Index, k.EntryChecksum = 40, 1 }, false},
		"another text":             {func(k *NodeRecord) { k.ActiveHash = "other" }, true},
		"a version kept no more":   {func(k *NodeRecord) { k.ActiveVersion, k.ActiveHash = 2, "other" }, false},
		"of another generation":    {func(k *NodeRecord) { k.Generation, k.Index = 2, 900 }, false},
		"of another group":         {func(k *NodeRecord) { k.Group, k.Index = "g7", 900 }, false},
		"a node that has no texts": {func(k *NodeRecord) { k.ActiveVersion, k.ActiveHash = 0, "" }, false},
	} {
		k := kept("a", 6, "t6", 6)
		if c.change(&k); c.lacks != (have.LostState(&k) != "") {
			t.Errorf("%s: %q", what, have.LostState(&k))
		}
	}
}

func TestAfter(t *testing.T) {
	first := GroupIdentity{Group: "g1", Generation: 1}
	second := first.NextGeneration("g2")
	third := second.NextGeneration("g3")
	if !second.Succeeds("g1", 1) || !third.Succeeds("g1", 1) || !third.Succeeds("g2", 2) || first.Succeeds("g2",
		2) || second.Succeeds("g9", 1) ||
		second.Succeeds("g2", 2) || first.Succeeds("g1", 1) {
		t.Errorf("%+v, %+v", second, third)
	}
	for i := 0; i < 100; i++ {
		third = third.NextGeneration(fmt.Sprint("g", i))
	}
	if len(third.Predecessors) > maxPredecessors {
		t.Errorf("%d groups are remembered", len(third.Predecessors))
	}
}

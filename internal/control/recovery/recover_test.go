package recovery

import (
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/document"
)

// kept makes what a node holds: it serves under a version of a text, and was told of another as decided.
func kept(name string, version uint64, text string, floor uint64) Kept {
	return Kept{Name: name, Zone: "z", Group: "g1", Gen: 1, Term: 3, Index: 100, Version: version, Text: text,
		Hash: document.Hash([]byte(text)), Floor: floor, Epoch: 4, Share: 256, Held: 5000}
}

// folder makes what an old folder holds: versions with texts t1, t2, ...
func folder(last, need, force uint64) *Base {
	return &Base{Whose: Whose{Group: "g1", Gen: 1}, Last: last, Need: need, Force: force, Index: 90, Nodes: []string{"a", "b", "x"},
		LeaseM: 2000, Text: func(n uint64) (string, string, bool) {
			text := fmt.Sprint("t", n)
			return text, document.Hash([]byte(text)), n > 0 && n <= last
		}}
}

func TestPlan(t *testing.T) {
	next := kept("b", 6, "t6", 7) // prepared 7, which is decided
	next.Next, next.NextText, next.NextHash = 7, "t7", document.Hash([]byte("t7"))
	undecided := next
	undecided.Floor = 6
	spoilt := kept("a", 9, "t9", 9)
	spoilt.Text = "t9 with a bit flipped"
	later := kept("c", 3, "t3", 3)
	later.Group, later.Gen = "g2", 2
	sibling := kept("d", 3, "t3", 3)
	sibling.Group = "g9"
	other := kept("a", 7, "another t7", 7)
	for _, c := range []struct {
		what     string
		kept     []Kept
		base     *Base
		take     string
		version  uint64
		was      uint64
		gen      uint64
		proof    string // part of it, or of the conflict
		unknown  string // part of one of them
		conflict bool
	}{
		{"nobody and nothing", nil, nil, "", 0, 0, 0, "nobody served", "nodes that were not heard", false},
		{"nodes alone", []Kept{kept("a", 5, "t5", 5), kept("b", 6, "t6", 6)}, nil, "", 6, 6, 1, "served under by b", "not heard", false},
		{"decided, prepared by one, taken over by nobody", []Kept{kept("a", 6, "t6", 6), next}, nil, "", 7, 7, 1, "prepared by b", "", false},
		{"prepared, and not decided as anybody knows", []Kept{kept("a", 6, "t6", 6), undecided}, nil, "", 6, 6, 1, "served under by a, b", "",
			false},
		{"decided, and nobody has the text", []Kept{kept("a", 6, "t6", 8)}, nil, "", 9, 6, 1, "served under by a", "nobody holds its text",
			false},
		{"a text that its hash does not fit", []Kept{spoilt, kept("b", 6, "t6", 6)}, nil, "", 10, 6, 1, "served under by b",
			"nobody holds its text", false},
		{"a folder alone", nil, folder(6, 5, 5), "", 5, 5, 1, "the folder", "a, b, x: not heard", false},
		{"an older folder", []Kept{kept("a", 8, "t8", 8)}, folder(6, 5, 5), "", 8, 8, 1, "served under by a", "entry 90", false},
		{"a folder that went on another way", []Kept{kept("a", 6, "another t6", 6)}, folder(6, 5, 5), "", 7, 6, 1, "served under by a", "",
			false},
		{"the same, and an operator chose", []Kept{kept("a", 6, "another t6", 6)}, folder(6, 6, 6), document.Hash([]byte("another t6"))[:12], 7, 6, 1,
			"served under by a", "", false},
		{"two texts by one number", []Kept{other, kept("b", 7, "t7", 7)}, nil, "", 0, 0, 1, "name one with --take", "", true},
		{"a newer generation", []Kept{kept("a", 9, "t9", 9), later}, nil, "", 3, 3, 2, "served under by c", "", false},
		{"two groups of one generation", []Kept{kept("a", 3, "t3", 3), sibling}, nil, "", 0, 0, 1, "go on apart", "", true},
	} {
		f := Plan(c.kept, c.base, c.take)
		said := f.Proof + f.Conflict
		if c.conflict != (f.Conflict != "") || !c.conflict && (f.Version != c.version ||
			f.Was != c.was || f.Whose.Gen != c.gen) || !strings.Contains(said, c.proof) || !strings.Contains(strings.Join(f.Unknown, "; "),
			c.unknown) {
			t.Errorf("%s: %+v, expected version %d of %d, generation %d, %q, %q", c.what, f, c.version, c.was, c.gen, c.proof, c.unknown)
		}
		if f.Conflict == "" && f.Hash != "" && document.Hash([]byte(f.Text)) != f.Hash {
			t.Errorf("%s: a text of another hash", c.what)
		}
	}
	if f := Plan([]Kept{kept("a", 6, "t6", 6)}, folder(4, 4, 4), ""); f.Epoch != 4 || f.LeaseMS != 5000 {
		t.Errorf("epoch %d, lease %d: expected the newest and the longest of all", f.Epoch, f.LeaseMS)
	}
}

// TestLacks: what a node was told by this very group is known to it, or it has lost state.
func TestLacks(t *testing.T) {
	have := Have{Group: "g1", Gen: 1, Term: 3, Index: 100, Need: 6, Last: 6, Epoch: 4,
		HashOf: func(v uint64) string { return map[uint64]string{6: document.Hash([]byte("t6"))}[v] },
		SumOf:  func(index uint64) (uint64, bool) { return index * 7, index >= 50 }}
	for what, c := range map[string]struct {
		change func(k *Kept)
		lacks  bool
	}{
		"just what it has":         {func(*Kept) {}, false},
		"less":                     {func(k *Kept) { k.Index, k.Term, k.Floor, k.Version, k.Epoch = 3, 1, 2, 2, 0 }, false},
		"a later entry":            {func(k *Kept) { k.Index++ }, true},
		"a later term":             {func(k *Kept) { k.Term++ }, true},
		"a later decision":         {func(k *Kept) { k.Floor++ }, true},
		"a later epoch":            {func(k *Kept) { k.Epoch++ }, true},
		"another entry":            {func(k *Kept) { k.Index, k.Sum = 80, 80*7+1 }, true},
		"the same entry":           {func(k *Kept) { k.Index, k.Sum = 80, 80*7 }, false},
		"an entry kept no more":    {func(k *Kept) { k.Index, k.Sum = 40, 1 }, false},
		"another text":             {func(k *Kept) { k.Hash = "other" }, true},
		"a version kept no more":   {func(k *Kept) { k.Version, k.Hash = 2, "other" }, false},
		"of another generation":    {func(k *Kept) { k.Gen, k.Index = 2, 900 }, false},
		"of another group":         {func(k *Kept) { k.Group, k.Index = "g7", 900 }, false},
		"a node that has no texts": {func(k *Kept) { k.Version, k.Hash = 0, "" }, false},
	} {
		k := kept("a", 6, "t6", 6)
		if c.change(&k); c.lacks != (have.Lacks(&k) != "") {
			t.Errorf("%s: %q", what, have.Lacks(&k))
		}
	}
}

func TestAfter(t *testing.T) {
	first := Whose{Group: "g1", Gen: 1}
	second := first.Next("g2")
	third := second.Next("g3")
	if !second.After("g1", 1) || !third.After("g1", 1) || !third.After("g2", 2) || first.After("g2", 2) || second.After("g9", 1) ||
		second.After("g2", 2) || first.After("g1", 1) {
		t.Errorf("%+v, %+v", second, third)
	}
	for i := 0; i < 100; i++ {
		third = third.Next(fmt.Sprint("g", i))
	}
	if len(third.Before) > maxBefore {
		t.Errorf("%d groups are remembered", len(third.Before))
	}
}

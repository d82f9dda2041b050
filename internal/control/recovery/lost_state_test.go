package recovery

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
)

// TestLostState: a group was put back to an older copy of its state, and grants leases that contradict what nodes act
// on. What a node was told by this very group is known to the group, or it has lost state.
func TestLostState(t *testing.T) {
	have := GroupState{Group: "g1", Generation: 1, Term: 3, Index: 100, DecidedVersion: 6, ZoneEpoch: 4,
		HashOf:     func(v uint64) string { return map[uint64]string{6: document.Hash([]byte("t6"))}[v] },
		ChecksumAt: func(index uint64) (uint64, bool) { return index * 7, index >= 50 }}
	for what, c := range map[string]struct {
		change func(k *api.NodeRecord)
		lacks  bool
	}{
		"just what it has": {func(*api.NodeRecord) {}, false},
		"less": {func(k *api.NodeRecord) {
			k.Index, k.Term, k.MinVersion, k.ActiveVersion,
				k.ZoneEpoch = 3, 1, 2, 2, 0
		}, false},
		"a later entry":            {func(k *api.NodeRecord) { k.Index++ }, true},
		"a later term":             {func(k *api.NodeRecord) { k.Term++ }, true},
		"a later decision":         {func(k *api.NodeRecord) { k.MinVersion++ }, true},
		"a later epoch":            {func(k *api.NodeRecord) { k.ZoneEpoch++ }, true},
		"another entry":            {func(k *api.NodeRecord) { k.Index, k.EntryChecksum = 80, 80*7+1 }, true},
		"the same entry":           {func(k *api.NodeRecord) { k.Index, k.EntryChecksum = 80, 80*7 }, false},
		"an entry kept no more":    {func(k *api.NodeRecord) { k.Index, k.EntryChecksum = 40, 1 }, false},
		"another text":             {func(k *api.NodeRecord) { k.ActiveHash = "other" }, true},
		"a version kept no more":   {func(k *api.NodeRecord) { k.ActiveVersion, k.ActiveHash = 2, "other" }, false},
		"of another generation":    {func(k *api.NodeRecord) { k.Generation, k.Index = 2, 900 }, false},
		"of another group":         {func(k *api.NodeRecord) { k.Group, k.Index = "g7", 900 }, false},
		"a node that has no texts": {func(k *api.NodeRecord) { k.ActiveVersion, k.ActiveHash = 0, "" }, false},
	} {
		k := newNodeRecord("a", 6, "t6", 6)
		if c.change(&k); c.lacks != (have.LostState(&k) != "") {
			t.Errorf("%s: %q", what, have.LostState(&k))
		}
	}
}

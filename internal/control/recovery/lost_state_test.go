package recovery

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
)

// TestLostState guards against a group that was reset to an older copy of its state and grants leases that contradict
// the state that it sent to nodes before.
func TestLostState(t *testing.T) {
	group := GroupState{Group: "g1", Generation: 1, Term: 3, Index: 100, DecidedVersion: 6, ZoneEpoch: 4,
		HashOf:     func(v uint64) string { return map[uint64]string{6: document.Hash([]byte("t6"))}[v] },
		ChecksumAt: func(index uint64) (uint64, bool) { return index * 7, index >= 50 }}
	for name, c := range map[string]struct {
		change func(r *api.NodeRecord)
		lost   bool
	}{
		"same state": {func(*api.NodeRecord) {}, false},
		"older state": {func(r *api.NodeRecord) {
			r.Index, r.Term, r.MinVersion, r.ActiveVersion,
				r.ZoneEpoch = 3, 1, 2, 2, 0
		}, false},
		"later entry":               {func(r *api.NodeRecord) { r.Index++ }, true},
		"later term":                {func(r *api.NodeRecord) { r.Term++ }, true},
		"later decision":            {func(r *api.NodeRecord) { r.MinVersion++ }, true},
		"later zone epoch":          {func(r *api.NodeRecord) { r.ZoneEpoch++ }, true},
		"different checksum":        {func(r *api.NodeRecord) { r.Index, r.EntryChecksum = 80, 80*7+1 }, true},
		"same checksum":             {func(r *api.NodeRecord) { r.Index, r.EntryChecksum = 80, 80*7 }, false},
		"checksum no longer stored": {func(r *api.NodeRecord) { r.Index, r.EntryChecksum = 40, 1 }, false},
		"different hash":            {func(r *api.NodeRecord) { r.ActiveHash = "other" }, true},
		"hash no longer stored":     {func(r *api.NodeRecord) { r.ActiveVersion, r.ActiveHash = 2, "other" }, false},
		"another generation":        {func(r *api.NodeRecord) { r.Generation, r.Index = 2, 900 }, false},
		"another group":             {func(r *api.NodeRecord) { r.Group, r.Index = "g7", 900 }, false},
		"no active version":         {func(r *api.NodeRecord) { r.ActiveVersion, r.ActiveHash = 0, "" }, false},
	} {
		record := newNodeRecord("a", 6, "t6", 6)
		c.change(&record)
		if got := group.LostState(&record); (got != "") != c.lost {
			t.Errorf("%s: LostState() = %q, want a contradiction: %v", name, got, c.lost)
		}
	}
}

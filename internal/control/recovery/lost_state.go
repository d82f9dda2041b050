package recovery

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// GroupState is where a group's own state stands.
type GroupState struct {
	Group          string
	Generation     uint64
	Term           uint64
	Index          uint64 // of its log
	DecidedVersion uint64
	ZoneEpoch      uint64
	// HashOf returns the hash of a version's text, empty if the group keeps it no more.
	HashOf func(version uint64) string
	// ChecksumAt returns the checksum of an entry of the log, 0 for an entry that has none; known is false where the
	// group keeps it no more. Nil: none is kept.
	ChecksumAt func(index uint64) (checksum uint64, known bool)
}

// LostState decides whether a node was told something by this very generation of the group that the group does not
// know, and returns what; empty if there is nothing.
//
// Inputs: where the group's own state stands, and what the node remembers. What a node was told was committed before,
// so a group that lost nothing knows it.
//
// It guards against a group that was put back to an older copy of its state, or lost the newest of it: it would grant
// leases and decide versions that contradict what nodes act on. It shows as a node that knows a later entry, term,
// decision or epoch, or another text or entry by the same number. The last two hold also once the group's log has
// outgrown what was lost. The caller must not act on one node's word alone, which may be wrong.
func (g *GroupState) LostState(node *api.NodeRecord) string {
	if node.Group != g.Group || node.Generation != g.Generation {
		return "" // of another generation: whoever is behind is told so
	}
	if later := g.behindNode(node); later != "" {
		return later
	}
	if node.EntryChecksum != 0 && g.ChecksumAt != nil {
		if checksum, known := g.ChecksumAt(node.Index); known && checksum != node.EntryChecksum {
			return fmt.Sprintf("another entry %d than the group has", node.Index)
		}
	}
	if node.ActiveVersion > 0 && node.ActiveHash != "" {
		if hash := g.HashOf(node.ActiveVersion); hash != "" && hash != node.ActiveHash {
			return fmt.Sprintf("another version %d than the group has", node.ActiveVersion)
		}
	}
	return ""
}

// behindNode returns what a node was told that is later than all that the group has.
func (g *GroupState) behindNode(node *api.NodeRecord) string {
	switch {
	case node.Index > g.Index:
		return fmt.Sprintf("entry %d of the log, and the group is at %d", node.Index, g.Index)
	case node.Term > g.Term:
		return fmt.Sprintf("term %d, and the group is in %d", node.Term, g.Term)
	case node.MinVersion > g.DecidedVersion:
		return fmt.Sprintf("version %d decided, and the group has %d", node.MinVersion, g.DecidedVersion)
	case node.ZoneEpoch > g.ZoneEpoch:
		return fmt.Sprintf("epoch %d of the zones, and the group is at %d", node.ZoneEpoch, g.ZoneEpoch)
	}
	return ""
}

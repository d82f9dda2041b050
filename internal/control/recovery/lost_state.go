package recovery

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// GroupState is the group's current position and its lookups of earlier entries and versions.
type GroupState struct {
	Group          string
	Generation     uint64
	Term           uint64
	Index          uint64 // last entry of its log
	DecidedVersion uint64
	ZoneEpoch      uint64
	// HashOf returns the hash of a version's text, empty if the group no longer stores it.
	HashOf func(version uint64) string
	// ChecksumAt returns the checksum of a log entry, 0 for an entry that has none; known is false if the
	// group no longer stores it. Nil means that no checksums are stored.
	ChecksumAt func(index uint64) (checksum uint64, known bool)
}

// LostState returns the first contradiction between a node's record of this generation of the group and the group's
// state, empty if there is none. Responses to nodes carry only committed state, so a group that lost nothing has it.
//
// It guards against a group that was reset to an older copy of its state or lost the end of its log, and would grant
// leases and decide versions that contradict the earlier ones. Differing texts and checksums show this even after the
// log has grown past the lost entries. A single record may be wrong: the caller needs evidence from several nodes.
func (g *GroupState) LostState(node *api.NodeRecord) string {
	if node.Group != g.Group || node.Generation != g.Generation {
		return "" // not comparable
	}
	if contradiction := g.behindNode(node); contradiction != "" {
		return contradiction
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

// behindNode returns the first position in a node's record that is later than the group's, empty if there is none.
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

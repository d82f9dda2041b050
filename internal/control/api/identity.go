package api

import "slices"

// maxPredecessors bounds the predecessors stored. A node that missed more restorations does not follow its group.
const maxPredecessors = 64

// GroupIdentity names a group and counts its restorations.
type GroupIdentity struct {
	Group        string   `json:"group"`
	Generation   uint64   `json:"generation"`
	Predecessors []string `json:"before,omitempty"` // groups of earlier generations, oldest first
}

// Succeeds reports whether this is a later generation of the named group. It guards against a node following an
// unrelated group at the same addresses, or an earlier generation whose paused instances have resumed.
func (g *GroupIdentity) Succeeds(group string, generation uint64) bool {
	return g.Generation > generation && slices.Contains(g.Predecessors, group)
}

// NextGeneration returns the identity of the next generation, whose group has the given name.
func (g *GroupIdentity) NextGeneration(group string) GroupIdentity {
	predecessors := append(slices.Clone(g.Predecessors), g.Group)
	if len(predecessors) > maxPredecessors {
		predecessors = predecessors[len(predecessors)-maxPredecessors:]
	}
	return GroupIdentity{Group: group, Generation: max(1, g.Generation) + 1, Predecessors: predecessors}
}

package api

import "slices"

// maxPredecessors are remembered: a node that was away for so many restorations of its group joins anew.
const maxPredecessors = 64

// GroupIdentity names a group and counts how often it was restored.
type GroupIdentity struct {
	Group        string   `json:"group"`
	Generation   uint64   `json:"generation"`
	Predecessors []string `json:"before,omitempty"` // groups of earlier generations, the oldest first
}

// Succeeds reports whether this is a later generation of the named group.
//
// It guards against a node following a group that has nothing to do with its own, as one that was made by hand at the
// same addresses, or an earlier generation whose paused instances go on.
func (g *GroupIdentity) Succeeds(group string, generation uint64) bool {
	return g.Generation > generation && slices.Contains(g.Predecessors, group)
}

// NextGeneration returns the identity of the generation after this one, under the name of its new group.
func (g *GroupIdentity) NextGeneration(group string) GroupIdentity {
	predecessors := append(slices.Clone(g.Predecessors), g.Group)
	if len(predecessors) > maxPredecessors {
		predecessors = predecessors[len(predecessors)-maxPredecessors:]
	}
	return GroupIdentity{Group: group, Generation: max(1, g.Generation) + 1, Predecessors: predecessors}
}

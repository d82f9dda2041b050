package api

import (
	"fmt"
	"testing"
)

// TestSucceeds: a node must follow a restored group, and neither an earlier generation whose paused instances go on
// nor a group that has nothing to do with its own. It follows a later generation that names the node's group among
// its predecessors, of which only so many are remembered.
func TestSucceeds(t *testing.T) {
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

package api

import (
	"fmt"
	"testing"
)

// TestSucceeds guards against a node following an earlier generation of its group or an unrelated group, and against an
// unbounded list of predecessors.
func TestSucceeds(t *testing.T) {
	first := GroupIdentity{Group: "g1", Generation: 1}
	second := first.NextGeneration("g2")
	third := second.NextGeneration("g3")
	for _, c := range []struct {
		identity   GroupIdentity
		group      string
		generation uint64
		want       bool
	}{
		{second, "g1", 1, true},
		{third, "g1", 1, true},
		{third, "g2", 2, true},
		{first, "g2", 2, false},
		{second, "g9", 1, false},
		{second, "g2", 2, false},
		{first, "g1", 1, false},
	} {
		if got := c.identity.Succeeds(c.group, c.generation); got != c.want {
			t.Errorf("%+v.Succeeds(%q, %d) = %v, want %v", c.identity, c.group, c.generation, got, c.want)
		}
	}
	for i := 0; i < 100; i++ {
		third = third.NextGeneration(fmt.Sprint("g", i))
	}
	if len(third.Predecessors) > maxPredecessors {
		t.Errorf("%d predecessors, want at most %d", len(third.Predecessors), maxPredecessors)
	}
}

package recovery

import (
	"testing"
)

// TestIsColdStart: a lone restart among warm nodes must cost nothing, and a restart of most of the fleet must be
// found. It is one if half or more of the nodes are young, and two at least.
func TestIsColdStart(t *testing.T) {
	for _, c := range []struct {
		young, in int
		common    bool
	}{{1, 100, false}, {1, 1, false}, {1, 2, false}, {2, 2, true}, {49, 100, false}, {50, 100, true}, {88, 100,
		true}, {0, 0, false}} {
		if got := IsColdStart(c.young, c.in); got != c.common {
			t.Errorf("%d of %d: %v, expected %v", c.young, c.in, got, c.common)
		}
	}
}

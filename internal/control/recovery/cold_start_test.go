package recovery

import (
	"testing"
)

// TestIsColdStart guards against ramping a warm fleet because one node restarted, and against missing a restart of
// half the fleet or more.
func TestIsColdStart(t *testing.T) {
	for _, c := range []struct {
		restarted, total int
		want             bool
	}{
		{1, 100, false}, {1, 1, false}, {1, 2, false}, {2, 2, true}, {49, 100, false}, {50, 100, true}, {88, 100, true},
		{0, 0, false},
	} {
		if got := IsColdStart(c.restarted, c.total); got != c.want {
			t.Errorf("IsColdStart(%d, %d) = %v, want %v", c.restarted, c.total, got, c.want)
		}
	}
}

package comeback

import "testing"

func TestCommon(t *testing.T) {
	for _, c := range []struct {
		young, in int
		common    bool
	}{{1, 100, false}, {1, 1, false}, {1, 2, false}, {2, 2, true}, {49, 100, false}, {50, 100, true}, {88, 100, true}, {0, 0, false}} {
		if got := Common(c.young, c.in); got != c.common {
			t.Errorf("%d of %d: %v, expected %v", c.young, c.in, got, c.common)
		}
	}
}

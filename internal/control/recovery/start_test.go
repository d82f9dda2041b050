package recovery

import "testing"

func TestCommon(t *testing.T) {
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

// TestComeBack: times to come back are spread, over one to two seconds or over when the share will have grown, and
// never past what the settings allow.
func TestComeBack(t *testing.T) {
	for _, c := range []struct{ most, after, least, high int64 }{{0, 0, 0, 0}, {30_000, 0, 1000, 2000},
		{30_000, 10_000, 10_000, 15_000}, {5000, 10_000, 3750, 5000}, {1000, 0, 500, 1000}} {
		f, low, high := new(RetryAfterSpreader), int64(1)<<40, int64(0)
		for range 500 {
			ms := f.Next(c.most, c.after)
			low, high = min(low, ms), max(high, ms)
		}
		if low < c.least || high > c.high || high-low < (c.high-c.least)*8/10 {
			t.Errorf("within %d, after %d ms: %d to %d, expected %d to %d", c.most, c.after, low, high, c.least, c.high)
		}
	}
}

package retryafter

import (
	"testing"
)

// TestTimesAreSpread: callers that are told one moment come back together and are rejected together. What they
// are told is spread, over one to two seconds or over when the share will have grown, and never past what the
// settings allow.
func TestTimesAreSpread(t *testing.T) {
	for _, c := range []struct{ most, after, least, high int64 }{{0, 0, 0, 0}, {30_000, 0, 1000, 2000},
		{30_000, 10_000, 10_000, 15_000}, {5000, 10_000, 3750, 5000}, {1000, 0, 500, 1000}} {
		f, low, high := new(Spreader), int64(1)<<40, int64(0)
		for range 500 {
			ms := f.Next(c.most, c.after)
			low, high = min(low, ms), max(high, ms)
		}
		if low < c.least || high > c.high || high-low < (c.high-c.least)*8/10 {
			t.Errorf("within %d, after %d ms: %d to %d, expected %d to %d", c.most, c.after, low, high, c.least, c.high)
		}
	}
}

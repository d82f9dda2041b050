package retryafter

import (
	"testing"
)

// Callers that are told one moment come back together and are rejected together. What they are told is spread, over
// one to two seconds or over when the share will have grown, and never past what the settings allow.
func TestTimesToComeBackAreSpread(t *testing.T) {
	for _, c := range []struct {
		name                    string
		most, after, least, max int64 // ms
	}{
		{"settings allow none", 0, 0, 0, 0},
		{"share does not grow", 30_000, 0, 1000, 2000},
		{"share grows later", 30_000, 10_000, 10_000, 15_000},
		{"share grows after what settings allow", 5000, 10_000, 3750, 5000},
		{"settings allow a second", 1000, 0, 500, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, low, high := new(Spreader), int64(1)<<40, int64(0)
			for range 500 {
				ms := f.Next(c.most, c.after)
				low, high = min(low, ms), max(high, ms)
			}
			if low < c.least || high > c.max || high-low < (c.max-c.least)*8/10 {
				t.Errorf("within %d, after %d ms: %d to %d, expected %d to %d",
					c.most, c.after, low, high, c.least, c.max)
			}
		})
	}
}

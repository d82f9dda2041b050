package retryafter

import (
	"testing"
)

// TestNextIsSpreadWithinWindow guards against callers that are rejected together and retry together: their times have
// to cover most of the window, and never exceed the longest allowed time.
func TestNextIsSpreadWithinWindow(t *testing.T) {
	for _, c := range []struct {
		name                            string
		maxMS, earliestMS, fromMS, toMS int64
	}{
		{"no time is allowed", 0, 0, 0, 0},
		{"earliest time is unknown", 30_000, 0, 1000, 2000},
		{"earliest time is later", 30_000, 10_000, 10_000, 15_000},
		{"earliest time exceeds the longest allowed", 5000, 10_000, 3750, 5000},
		{"longest allowed time is one second", 1000, 0, 500, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, lowest, highest := new(Spreader), int64(1)<<40, int64(0)
			for range 500 {
				ms := s.Next(c.maxMS, c.earliestMS)
				lowest, highest = min(lowest, ms), max(highest, ms)
			}
			if lowest < c.fromMS || highest > c.toMS || highest-lowest < (c.toMS-c.fromMS)*8/10 {
				t.Errorf("Next(%d, %d) = %d to %d ms, want %d to %d and at least 8/10 of that covered",
					c.maxMS, c.earliestMS, lowest, highest, c.fromMS, c.toMS)
			}
		})
	}
}

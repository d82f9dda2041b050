package zones

import "testing"

// TestFinishRampBounds checks that the rate limit is raised while more than a tenth is rejected, up to one and a half
// times the observed rate and for at most half a minute. Otherwise a ramp would never end, or end with many callers
// that retry at once.
func TestFinishRampBounds(t *testing.T) {
	for _, c := range []struct {
		name      string
		rejected  float64
		limit     float64
		stepAgeMS uint64
		load      float64
		kind      OpKind
	}{
		{"a tenth rejected", 10, 100, 5000, 0.5, OpEndRamp},
		{"more rejected", 10.1, 100, 5000, 0.5, OpRamp},
		{"more rejected, near the highest limit", 10.1, 149, 5000, 0.5, OpRamp},
		{"more rejected, at the highest limit", 10.1, 150, 5000, 0.5, OpEndRamp},
		{"more rejected, for the longest time", 10.1, 100, 30_000, 0.5, OpEndRamp},
		{"more rejected, and the load leaves room for a step", 10.1, 100, 5000, 1.07, OpRamp},
		{"more rejected, and the load leaves no room for a step", 10.1, 100, 5000, 1.08, ""},
	} {
		d, _ := newTestDecider()
		d.monitor.fleetView = &View{}
		view := &View{Zone: "a", FirstAttemptRate: 100, RejectedRate: c.rejected,
			history: history{loads: [loadHistory]float64{c.load}}}
		zone := &Zone{Name: "a", Phase: Ramping, RateLimit: c.limit, ConnectRateLimit: c.limit,
			Capacity: ObservedCapacity{RunRate: 100}}
		op := &Op{}
		if o := d.finishRamp(zone, view, c.stepAgeMS); o != nil {
			op = o.encode()
		}
		tooLow, tooHigh := op.RateLimit <= c.limit, op.RateLimit > maxLimitFactor*c.limit
		if op.Kind != c.kind || op.Kind == OpRamp && (tooLow || tooHigh) {
			t.Errorf("%s: operation %+v, want kind %q and a raised limit if it is a step", c.name, op, c.kind)
		}
	}
}

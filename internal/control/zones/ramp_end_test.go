package zones

import "testing"

// TestRampEndBounds: a ramp whose rate limit went up for ever would never end, and one that ended while many are
// rejected would be asked for all of them at once. The limit goes up while more than a tenth is rejected, to one and
// a half times what was observed, for half a minute at one limit.
func TestRampEndBounds(t *testing.T) {
	for _, c := range []struct {
		name     string
		rejected float64
		limit    float64
		shownMS  uint64
		load     float64
		kind     OpKind
	}{
		{"a tenth is rejected", 10, 100, 5000, 0.5, OpEndRamp},
		{"more is", 10.1, 100, 5000, 0.5, OpRamp},
		{"more is, near the highest limit", 10.1, 149, 5000, 0.5, OpRamp},
		{"more is, at the highest limit", 10.1, 150, 5000, 0.5, OpEndRamp},
		{"more is, for long", 10.1, 100, 30_000, 0.5, OpEndRamp},
		{"more is, and a little more may be asked for", 10.1, 100, 5000, 1.07, OpRamp},
		{"more is, and all that was observed is in flight", 10.1, 100, 5000, 1.08, ""},
	} {
		d, _ := newTestDecider()
		d.monitor.fleetView = &View{}
		view := &View{Zone: "a", FirstAttemptRate: 100, RejectedRate: c.rejected,
			history: history{loads: [loadHistory]float64{c.load}}}
		zone := &Zone{Name: "a", Phase: Ramping, RateLimit: c.limit, ConnectRateLimit: c.limit,
			Capacity: ObservedCapacity{RunRate: 100}}
		op := &Op{}
		if o := d.finishRamp(zone, view, c.shownMS); o != nil {
			op = o.encode()
		}
		tooLittle, tooMuch := op.RateLimit <= c.limit, op.RateLimit > maxLimitFactor*c.limit
		if op.Kind != c.kind || op.Kind == OpRamp && (tooLittle || tooMuch) {
			t.Errorf("%s: %+v, expected %q", c.name, op, c.kind)
		}
	}
}

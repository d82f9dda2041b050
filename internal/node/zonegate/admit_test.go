package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestRejectionReasons guards against a rejection with the wrong reason, and against one that is final for a first
// attempt or while other zones have capacity.
func TestRejectionReasons(t *testing.T) {
	for _, c := range []struct {
		name    string
		order   api.ZoneOrder
		request Request
		reason  Reason
		final   bool
	}{
		{"full share", api.ZoneOrder{Share: api.FullShare}, Request{}, ReasonNone, false},
		{"seen before", api.ZoneOrder{Share: 0}, Request{SeenBefore: true}, ReasonNone, false},
		{"outside the share", api.ZoneOrder{Share: 16}, Request{Hash: 16 << 16}, ReasonShare, false},
		{"outside the share, no capacity elsewhere, first attempt", api.ZoneOrder{NoCapacityElsewhere: true}, Request{},
			ReasonShare, false},
		{"outside the share, no capacity elsewhere, retry", api.ZoneOrder{NoCapacityElsewhere: true},
			Request{IsRetry: true}, ReasonShare, true},
		{"above the cutoff", api.ZoneOrder{Share: api.FullShare, PriorityCutoff: 2}, Request{Weight: 3}, ReasonShare,
			false},
		{"no token", api.ZoneOrder{Share: api.FullShare, RateLimited: true}, Request{}, ReasonRateLimit, false},
		{"no retry budget left", api.ZoneOrder{Share: api.FullShare, RetryBudget: 64}, Request{IsRetry: true},
			ReasonRetryBudget, false},
	} {
		gate := NewGate(1, 7)
		gate.SetOrder(1000, &c.order)
		got := gate.Admit(1000, c.request)
		want := Decision{Admitted: c.reason == ReasonNone, Final: c.final, Reason: c.reason}
		if got != want {
			t.Errorf("%s: Admit() = %+v, want %+v", c.name, got, want)
		}
		if counted := gate.Rejected == 1; counted == got.Admitted {
			t.Errorf("%s: Rejected = %d after Admitted = %v", c.name, gate.Rejected, got.Admitted)
		}
	}
}

package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestRetryAfterFollowsShareGrowth guards against callers outside the share that retry before it can admit them, and
// against estimates from a share that hasn't grown.
func TestRetryAfterFollowsShareGrowth(t *testing.T) {
	g := NewGate(1, 7)
	at := func(bucket int) Request { return Request{Hash: uint32(bucket) << 16} }
	g.SetOrder(1000, &api.ZoneOrder{Epoch: 1, Share: 16})
	if ms := g.RetryAfter(1500, at(200)); ms != 0 {
		t.Errorf("RetryAfter() = %d ms before the share has grown, want 0", ms)
	}
	g.SetOrder(3000, &api.ZoneOrder{Epoch: 2, Share: 32})
	for _, c := range []struct {
		now    uint64
		bucket int
		wantMS uint64
	}{{3000, 31, 0}, {3000, 32, 2000}, {3000, 63, 2000}, {3000, 64, 4000}, {4500, 64, 2500}, {3000, 255, 6000},
		{9500, 32, 0}} {
		if ms := g.RetryAfter(c.now, at(c.bucket)); ms != c.wantMS {
			t.Errorf("RetryAfter() for bucket %d at %d ms = %d, want %d", c.bucket, c.now, ms, c.wantMS)
		}
	}
	g.SetOrder(5000, &api.ZoneOrder{Epoch: 3, Share: 20})
	if ms := g.RetryAfter(5000, at(200)); ms != 0 {
		t.Errorf("RetryAfter() = %d ms after the share fell, want 0", ms)
	}
	g.SetOrder(7000, &api.ZoneOrder{Epoch: 4, Share: 0})
	if ms := g.RetryAfter(7000, at(200)); ms != 0 {
		t.Errorf("RetryAfter() = %d ms in an evacuated zone, want 0", ms)
	}
}

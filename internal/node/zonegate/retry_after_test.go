package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestRetryAfterByPlace: callers beyond the share that come back at once are rejected again and again. Each is told
// when the share is expected to have reached its place; nothing is told where nothing is known, and a share that fell
// says nothing of growth.
func TestRetryAfterByPlace(t *testing.T) {
	g := NewGate(1, 7)
	at := func(place int) Request { return Request{Hash: uint32(place) << 16} }
	g.SetOrder(1000, &api.ZoneOrder{Epoch: 1, Share: 16})
	if ms := g.RetryAfter(1500, at(200)); ms != 0 {
		t.Errorf("%d ms, and the share has not grown yet", ms)
	}
	g.SetOrder(3000, &api.ZoneOrder{Epoch: 2, Share: 32})
	for _, c := range []struct {
		now   uint64
		place int
		ms    uint64
	}{{3000, 31, 0}, {3000, 32, 2000}, {3000, 63, 2000}, {3000, 64, 4000}, {4500, 64, 2500}, {3000, 255, 6000},
		{9500, 32, 0}} {
		if ms := g.RetryAfter(c.now, at(c.place)); ms != c.ms {
			t.Errorf("place %d at %d: %d ms, expected %d", c.place, c.now, ms, c.ms)
		}
	}
	g.SetOrder(5000, &api.ZoneOrder{Epoch: 3, Share: 20})
	if ms := g.RetryAfter(5000, at(200)); ms != 0 {
		t.Errorf("%d ms after a step back, expected nothing", ms)
	}
	g.SetOrder(7000, &api.ZoneOrder{Epoch: 4, Share: 0})
	if ms := g.RetryAfter(7000, at(200)); ms != 0 {
		t.Errorf("%d ms of a zone that is out, expected nothing", ms)
	}
}

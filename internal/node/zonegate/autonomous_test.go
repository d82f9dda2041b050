package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestAutonomousShare guards against a zone that stays evacuated while the control service is down: after the order's
// time to live the share doubles while the node is healthy and halves otherwise, until the next order.
func TestAutonomousShare(t *testing.T) {
	g := NewGate(1, 7)
	order := &api.ZoneOrder{Epoch: 4, Share: 0, TTLMS: 60_000}
	g.SetOrder(0, order)
	now := uint64(1000)
	step := func(healthy bool, want int) {
		t.Helper()
		if g.AdjustAutonomousShare(now, healthy); g.Share() != want {
			t.Errorf("Share() at %d ms = %d of 256, want %d", now, g.Share(), want)
		}
	}
	step(true, 0)
	now += 59_000
	step(true, 0)
	now += 1000
	step(true, 16)
	for _, share := range []int{32, 64} {
		now += 60_000
		step(true, share)
	}
	now += 60_000
	step(false, 32)
	g.SetOrder(now, order)
	step(true, 0)
}

// TestAutonomousColdStart guards against a fleet that restarts without the control service and overloads dependencies
// that are warming up: a node begins with a small share that grows while it is healthy, until the next order.
func TestAutonomousColdStart(t *testing.T) {
	g := NewGate(1, 7)
	g.BeginAutonomousColdStart(1000, 16, 2000)
	admitted := func(now uint64) (n int) {
		for i := uint32(0); i < 256; i++ {
			if g.Admit(now, Request{Hash: i << 16}).Admitted {
				n++
			}
		}
		return n
	}
	if n := admitted(1000); n != 16 {
		t.Fatalf("admitted %d of 256, want 16", n)
	}
	if g.AdjustAutonomousShare(2900, true) || !g.AdjustAutonomousShare(3000, true) || g.Share() != 32 {
		t.Fatalf("Share() = %d, want 32 after a healthy step of 2 s and not before", g.Share())
	}
	if !g.AdjustAutonomousShare(5000, false) || g.Share() != 16 {
		t.Fatalf("Share() = %d, want 16 after an unhealthy step", g.Share())
	}
	for now := uint64(7000); now <= 15_000; now += 2000 {
		g.AdjustAutonomousShare(now, true)
	}
	if n := admitted(15_000); n != 256 {
		t.Fatalf("admitted %d of 256 after the ramp, want all", n)
	}
	g.BeginAutonomousColdStart(20_000, 16, 2000)
	if g.SetOrder(20_100, nil); g.Share() != api.FullShare {
		t.Fatalf("Share() = %d after the order was removed, want %d", g.Share(), api.FullShare)
	}
	g.SetOrder(1, &api.ZoneOrder{Epoch: 3, Share: 0, TTLMS: 1000})
	if g.BeginAutonomousColdStart(2, 16, 2000); g.Share() != 0 {
		t.Fatalf("Share() = %d after a cold start in an evacuated zone, want 0", g.Share())
	}
}

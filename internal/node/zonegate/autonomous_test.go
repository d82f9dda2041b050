package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestAutonomousShare: the control service is away, and a zone would stay evacuated for ever. The order holds for its
// time to live, then the share doubles while requests go well and halves where they do not; the next order ends that.
func TestAutonomousShare(t *testing.T) {
	g := NewGate(1, 7)
	o := &api.ZoneOrder{Epoch: 4, Share: 0, TTLMS: 60_000}
	g.SetOrder(0, o)
	now := uint64(1000)
	step := func(well bool, share int) {
		t.Helper()
		if g.ContinueAutonomously(now, well); g.Share() != share {
			t.Errorf("after %d ms alone: %d of 256, expected %d", now, g.Share(), share)
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
	g.SetOrder(now, o)
	step(true, 0)
}

// TestSlowStartWithoutControl: a whole fleet restarts while the control service is away: each node sees itself alone,
// and all of them would ask cold services for everything. Such a node begins with a share, more of it after each step
// that goes well, and takes all at once when the group says so.
func TestSlowStartWithoutControl(t *testing.T) {
	g := NewGate(1, 7)
	g.BeginAutonomousColdStart(1000, 16, 2000)
	took := func(now uint64) (n int) {
		for i := uint32(0); i < 256; i++ {
			if g.Admit(now, Request{Hash: i << 16}).Admitted {
				n++
			}
		}
		return n
	}
	if n := took(1000); n != 16 {
		t.Fatalf("takes %d of 256, expected 16", n)
	}
	if g.ContinueAutonomously(2900, true) || !g.ContinueAutonomously(3000, true) || g.Share() != 32 {
		t.Fatalf("share %d, expected 32 after a hold that went well", g.Share())
	}
	if !g.ContinueAutonomously(5000, false) || g.Share() != 16 {
		t.Fatalf("share %d, expected 16 after one that did not", g.Share())
	}
	for now := uint64(7000); now <= 15_000; now += 2000 {
		g.ContinueAutonomously(now, true)
	}
	if n := took(15_000); n != 256 {
		t.Fatalf("takes %d of 256 after four holds that went well", n)
	}
	g.BeginAutonomousColdStart(20_000, 16, 2000)
	if g.SetOrder(20_100, nil); g.Share() != api.FullShare {
		t.Fatalf("share %d, though the group has said nothing of zones", g.Share())
	}
	g.SetOrder(1, &api.ZoneOrder{Epoch: 3, Share: 0, TTLMS: 1000})
	if g.BeginAutonomousColdStart(2, 16, 2000); g.Share() != 0 {
		t.Fatalf("share %d of a zone that was out", g.Share())
	}
}

package zonegate

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

// TestGateShare: who is in stays in while the share grows, the share is about what it says, also where reqs name no
// tenant, and what came here first is answered here whatever the share.
func TestGateShare(t *testing.T) {
	g := NewGate(1, 7)
	for _, tenant := range []string{"", "t0", "some-longer-tenant"} {
		was := map[uint32]bool{}
		for _, share := range []int{0, 16, 64, 128, 255, 256} {
			g.SetOrder(1000, &api.ZoneOrder{Epoch: uint64(share), Share: share})
			taken := 0
			for sender := uint32(0); sender < 4000; sender++ {
				h := RequestHash(nil, []byte(tenant), sender)
				ok := g.Admit(1000, Request{Hash: h}).Admitted
				if ok {
					taken++
				}
				if was[sender] && !ok {
					t.Fatalf("tenant %q, sender %d was in and is out at %d", tenant, sender, share)
				}
				was[sender] = ok
			}
			if want := 4000 * share / 256; taken < want*8/10 || taken > want*12/10 {
				t.Errorf("tenant %q at %d of 256: %d of 4000 taken", tenant, share, taken)
			}
		}
	}
	g.SetOrder(1000, &api.ZoneOrder{Epoch: 300, Share: 0})
	if !g.Admit(1000, Request{SeenBefore: true}).Admitted || !g.Evacuated() {
		t.Error("a repeat of what came here is turned away, or the gate is not out")
	}
	// A policy that decides nothing about zones any more takes all.
	if g.SetOrder(1000, nil); g.Evacuated() || g.Share() != api.FullShare {
		t.Error("out with nothing decided about zones")
	}
	if !g.Admit(1000, Request{}).Admitted {
		t.Error("turns away with nothing decided about zones")
	}
}

// TestGateWorth: a zone left in part keeps what is worth least.
func TestGateWorth(t *testing.T) {
	g := NewGate(1, 7)
	g.SetOrder(0, &api.ZoneOrder{Epoch: 1, Share: 128, PriorityCutoff: 2})
	in, n := 0, 0
	for s := uint32(0); s < 1000; s++ {
		h := RequestHash([]byte(fmt.Sprint("key", s)), nil, 0)
		if !g.Admit(0, Request{Value: 1, Hash: h}).Admitted {
			t.Fatal("what is worth less is turned away")
		}
		if g.Admit(0, Request{Value: 20, Hash: h}).Admitted {
			t.Fatal("what is worth more is taken")
		}
		if g.Admit(0, Request{Value: 2, Hash: h}).Admitted {
			in++
		}
		n++
	}
	if in < 400 || in > 600 {
		t.Errorf("%d of %d at the value, expected half", in, n)
	}
}

// TestGateCeilingAndBudget: tokens bound what begins and what is opened; tries from elsewhere have a budget that first
// tries fill.
func TestGateCeilingAndBudget(t *testing.T) {
	g := NewGate(2, 7)
	g.SetOrder(1000, &api.ZoneOrder{Epoch: 1, Share: api.FullShare, RateLimited: true, RateLimit: 10,
		ConnectRateLimit: 2})
	taken, dials := 0, 0
	for now := uint64(1000); now < 6000; now += 10 {
		if g.Admit(now, Request{}).Admitted {
			taken++
		}
		if g.AdmitConnection(now) {
			dials++
		}
	}
	if taken < 45 || taken > 52 || dials < 9 || dials > 11 {
		t.Errorf("%d runs and %d connections in 5 s, expected 50 and 10", taken, dials)
	}
	g.SetOrder(6000, &api.ZoneOrder{Epoch: 2, Share: api.FullShare, RetryBudget: 64, NoCapacityElsewhere: true})
	again, turned := 0, 0
	for i := 0; i < 400; i++ {
		g.Admit(6000, Request{Handler: 1})
		d := g.Admit(6000, Request{Handler: 1, IsRetry: true})
		if d.Admitted {
			again++
		} else if turned++; !d.Final {
			t.Fatal("with no room anywhere it is not final")
		}
	}
	if again != 100 || turned != 300 {
		t.Errorf("%d tries from elsewhere taken beside 400 first ones, expected 100", again)
	}
	if g.Admit(6000, Request{Handler: 0, IsRetry: true}).Admitted {
		t.Error("one handler's first tries pay for another's")
	}
}

// TestGateAlone: without the group the order holds for its time, then the share doubles while reqs go well, and halves
// where they do not; the group's word ends that.
func TestGateAlone(t *testing.T) {
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

// TestMeter: a report has the last two seconds, and nothing that is older.
func TestMeter(t *testing.T) {
	m := NewMeter(10_000, []float64{1, 20})
	for now := uint64(10_000); now < 20_000; now += 10 {
		m.RequestAdmitted(now, int(now/10)%2, now%100 == 0)
		m.RequestAnswered(now, 1, 200, true)
		m.RunEnded(now, 8)
		m.CallEnded(now, 4, now%50 == 0)
		m.CoresSampled(now, 2)
	}
	l := m.Report(20_000, true, 4, 3)
	if l.WindowMS < 1700 || l.WindowMS > 2000 || l.Arrived < 170 || l.Arrived > 200 || l.Retries != l.Arrived/10 &&
		l.Retries != l.Arrived/10+1 || l.MeanRunMS != 8 ||
		l.MeanCallMS != 4 || l.CoresUsed != 2 || l.Completed != l.RunsEnded || l.RunsInFlight != 3 ||
		len(l.ArrivedByWeight) != 2 || !l.Plausible() || !m.Healthy(20_000, 0) {
		t.Errorf("%+v", l)
	}
	m.RequestAnswered(29_000, 0, 500, true)
	m.RequestAnswered(29_000, 0, 500, false)
	m.RequestAnswered(29_000, 0, 200, false)
	if l = m.Report(29_900, true, 4, 0); l.Failed != 1 || l.Late != 2 {
		t.Errorf("%d errored and %d late, expected one that failed in its time, and two past it", l.Failed, l.Late)
	}
	if l = m.Report(39_000, true, 4, 0); l.Arrived != 0 || l.RunsEnded != 0 || !m.Healthy(39_000, 0) ||
		m.Healthy(39_000, 1) {
		t.Errorf("ten seconds later: %+v", l)
	}
}

// TestBeginsAlone: a node that starts without the group takes a share, more of it each hold that goes well, and all
// of it at once when the group says so.
func TestBeginsAlone(t *testing.T) {
	g := NewGate(1, 7)
	g.BeginSlowStart(1000, 16, 2000)
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
	g.BeginSlowStart(20_000, 16, 2000)
	if g.SetOrder(20_100, nil); g.Share() != api.FullShare {
		t.Fatalf("share %d, though the group has said nothing of zones", g.Share())
	}
	g.SetOrder(1, &api.ZoneOrder{Epoch: 3, Share: 0, TTLMS: 1000})
	if g.BeginSlowStart(2, 16, 2000); g.Share() != 0 {
		t.Fatalf("share %d of a zone that was out", g.Share())
	}
}

// TestBack: who the share leaves out is told when it may be let in, by its place and by how the share has grown;
// nothing is told where nothing is known, and a share that fell says nothing of growth.
func TestBack(t *testing.T) {
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

// TestSmallParts: nodes whose part of a ceiling is a run in many seconds take what they may together, from the first
// second of an epoch on and over epochs that come quickly, and no more.
func TestSmallParts(t *testing.T) {
	const nodes, each = 4000, 0.02
	taken := 0
	for n := uint32(0); n < nodes; n++ {
		g := NewGate(1, n*2654435761)
		for epoch := uint64(1); epoch <= 5; epoch++ {
			g.SetOrder(epoch*4000, &api.ZoneOrder{Epoch: epoch, Share: api.FullShare, RateLimited: true,
				RateLimit: each})
			for now := epoch * 4000; now < epoch*4000+4000; now += 50 {
				if g.Admit(now, Request{}).Admitted {
					taken++
				}
			}
		}
	}
	if most := nodes * each * 20; float64(taken) > 1.1*most || float64(taken) < 0.9*most {
		t.Errorf("%d runs in 20 s, expected about %.0f", taken, most)
	}
}

package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestRateLimitAndRetryBudget: services that are cold must not be asked for more than the node's quota, nor zones in
// service for all retries of one that was evacuated. Tokens limit what begins and what is opened; retries have a
// budget that the first attempts of the same handler fill.
func TestRateLimitAndRetryBudget(t *testing.T) {
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

// TestQuotasUnderOneToken: in a fleet of thousands a node's quota is one run in many seconds. If each node saved up
// for its first token from nothing, all would spend it in the same second, or lose it at each new epoch. Together
// they take what they may from the first second on and over epochs that come quickly, and no more.
func TestQuotasUnderOneToken(t *testing.T) {
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

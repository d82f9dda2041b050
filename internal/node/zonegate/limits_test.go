package zonegate

import (
	"testing"

	"umberwinch/internal/control/api"
)

// TestRateLimitAndRetryBudget guards against runs and connections above the node's quota, which overload dependencies
// that are warming up, and against retries above the budget that first attempts of the same handler provide.
func TestRateLimitAndRetryBudget(t *testing.T) {
	g := NewGate(2, 7)
	g.SetOrder(1000, &api.ZoneOrder{Epoch: 1, Share: api.FullShare, RateLimited: true, RateLimit: 10,
		ConnectRateLimit: 2})
	runs, connections := 0, 0
	for now := uint64(1000); now < 6000; now += 10 {
		if g.Admit(now, Request{}).Admitted {
			runs++
		}
		if g.AdmitConnection(now) {
			connections++
		}
	}
	if runs < 45 || runs > 52 || connections < 9 || connections > 11 {
		t.Errorf("%d runs and %d connections in 5 s, want 45 to 52 and 9 to 11", runs, connections)
	}
	g.SetOrder(6000, &api.ZoneOrder{Epoch: 2, Share: api.FullShare, RetryBudget: 64, NoCapacityElsewhere: true})
	retries, rejected := 0, 0
	for i := 0; i < 400; i++ {
		g.Admit(6000, Request{Handler: 1})
		d := g.Admit(6000, Request{Handler: 1, IsRetry: true})
		if d.Admitted {
			retries++
		} else if rejected++; !d.Final {
			t.Fatalf("Admit() of a retry = %+v without capacity elsewhere, want a final rejection", d)
		}
	}
	if retries != 100 || rejected != 300 {
		t.Errorf("%d retries admitted and %d rejected beside 400 first attempts, want 100 and 300", retries, rejected)
	}
	if g.Admit(6000, Request{Handler: 0, IsRetry: true}).Admitted {
		t.Error("first attempts of one handler provide retry budget for another")
	}
}

// TestQuotasBelowOneRunPerEpoch guards against nodes of a large fleet, with a quota of one run in many seconds, that
// get their first token all at once or lose it at each new epoch: together they have to use the whole limit, and no
// more.
func TestQuotasBelowOneRunPerEpoch(t *testing.T) {
	const nodes, nodeLimit = 4000, 0.02
	runs := 0
	for n := uint32(0); n < nodes; n++ {
		g := NewGate(1, n*2654435761)
		for epoch := uint64(1); epoch <= 5; epoch++ {
			g.SetOrder(epoch*4000, &api.ZoneOrder{Epoch: epoch, Share: api.FullShare, RateLimited: true,
				RateLimit: nodeLimit})
			for now := epoch * 4000; now < epoch*4000+4000; now += 50 {
				if g.Admit(now, Request{}).Admitted {
					runs++
				}
			}
		}
	}
	if limit := nodes * nodeLimit * 20; float64(runs) > 1.1*limit || float64(runs) < 0.9*limit {
		t.Errorf("%d runs in 20 s, want %.0f within 10%%", runs, limit)
	}
}

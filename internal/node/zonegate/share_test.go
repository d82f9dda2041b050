package zonegate

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

// TestAdmittedCallersStayAdmittedAsShareGrows guards against a caller that has to change zones while its zone ramps up,
// an admitted fraction that differs from the share, and a rejected request whose result is at this node.
func TestAdmittedCallersStayAdmittedAsShareGrows(t *testing.T) {
	g := NewGate(1, 7)
	for _, tenant := range []string{"", "t0", "some-longer-tenant"} {
		admitted := map[uint32]bool{}
		for _, share := range []int{0, 16, 64, 128, 255, 256} {
			g.SetOrder(1000, &api.ZoneOrder{Epoch: uint64(share), Share: share})
			count := 0
			for caller := uint32(0); caller < 4000; caller++ {
				h := RequestHash(nil, []byte(tenant), caller)
				ok := g.Admit(1000, Request{Hash: h}).Admitted
				if ok {
					count++
				}
				if admitted[caller] && !ok {
					t.Fatalf("tenant %q, caller %d: admitted at a smaller share and rejected at %d",
						tenant, caller, share)
				}
				admitted[caller] = ok
			}
			if want := 4000 * share / 256; count < want*8/10 || count > want*12/10 {
				t.Errorf("tenant %q at share %d of 256: admitted %d of 4000, want %d within 20%%",
					tenant, share, count, want)
			}
		}
	}
	g.SetOrder(1000, &api.ZoneOrder{Epoch: 300, Share: 0})
	if !g.Admit(1000, Request{SeenBefore: true}).Admitted || !g.Evacuated() {
		t.Error("evacuated: a request seen before is rejected, or Evacuated() = false")
	}
	// Without an order all requests are admitted.
	if g.SetOrder(1000, nil); g.Evacuated() || g.Share() != api.FullShare {
		t.Errorf("without an order: Evacuated() = %v, Share() = %d, want false and %d", g.Evacuated(), g.Share(),
			api.FullShare)
	}
	if !g.Admit(1000, Request{}).Admitted {
		t.Error("without an order a request is rejected")
	}
}

// TestPriorityCutoff guards against a partial evacuation that keeps the wrong requests: those above the cutoff have to
// be rejected, those below it admitted, and those at it admitted by the share.
func TestPriorityCutoff(t *testing.T) {
	g := NewGate(1, 7)
	g.SetOrder(0, &api.ZoneOrder{Epoch: 1, Share: 128, PriorityCutoff: 2})
	admitted, n := 0, 0
	for key := uint32(0); key < 1000; key++ {
		h := RequestHash([]byte(fmt.Sprint("key", key)), nil, 0)
		if !g.Admit(0, Request{Weight: 1, Hash: h}).Admitted {
			t.Fatal("a request below the cutoff is rejected")
		}
		if g.Admit(0, Request{Weight: 20, Hash: h}).Admitted {
			t.Fatal("a request above the cutoff is admitted")
		}
		if g.Admit(0, Request{Weight: 2, Hash: h}).Admitted {
			admitted++
		}
		n++
	}
	if admitted < 400 || admitted > 600 {
		t.Errorf("admitted %d of %d requests at the cutoff, want 400 to 600", admitted, n)
	}
}

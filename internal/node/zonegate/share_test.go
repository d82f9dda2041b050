package zonegate

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

// TestShareKeepsWhoIsAdmitted: a caller that is admitted at one share and rejected at a larger one would have to move
// while the zone ramps. Who is admitted stays so while the share grows, the share is about what it says, also where
// requests name no tenant, and a request seen before is answered whatever the share.
func TestShareKeepsWhoIsAdmitted(t *testing.T) {
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

// TestPriorityCutoff: a zone that is evacuated in part must keep the requests of least value, or the others get what
// the evacuation was to spare. What is above the cutoff is rejected, what is below it admitted, what is at it by the
// share.
func TestPriorityCutoff(t *testing.T) {
	g := NewGate(1, 7)
	g.SetOrder(0, &api.ZoneOrder{Epoch: 1, Share: 128, PriorityCutoff: 2})
	in, n := 0, 0
	for s := uint32(0); s < 1000; s++ {
		h := RequestHash([]byte(fmt.Sprint("key", s)), nil, 0)
		if !g.Admit(0, Request{Weight: 1, Hash: h}).Admitted {
			t.Fatal("what is worth less is turned away")
		}
		if g.Admit(0, Request{Weight: 20, Hash: h}).Admitted {
			t.Fatal("what is worth more is taken")
		}
		if g.Admit(0, Request{Weight: 2, Hash: h}).Admitted {
			in++
		}
		n++
	}
	if in < 400 || in > 600 {
		t.Errorf("%d of %d at the value, expected half", in, n)
	}
}

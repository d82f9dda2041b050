package consensus

import (
	"net/http"
	"testing"
)

// An instance is removed while it is up. It must be told, and take no part under any later start, or it would disturb
// elections for good.
func TestRemovedInstanceIsBarred(t *testing.T) {
	all := startThree(t, nil)
	id := all[2].group.View().ID
	var out []Member
	if code, _ := all[0].request(http.MethodPost, "/v1/members", Change{Op: "remove", Member: Member{ID: id}},
		&out); code !=
		200 || len(out) != 2 {
		t.Fatalf("remove: %d, %+v", code, out)
	}
	all[2].await("barred", func(v *View) bool { return v.Barred != "" })
	all[2].stop()
	all[2].start()
	if v := all[2].group.View(); v.Role != "barred" || !v.OutOfContact() {
		t.Fatalf("after a start: %+v", v.Status)
	}
	if result := all[0].put("s", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("put after a removal: %+v", result)
	}
}

// A learner takes a voter's place. Both changes must take effect at once, or the group would have an even number of
// voters in between; the one that left must be told.
func TestReplaceIsOneJointChange(t *testing.T) {
	all := startThree(t, nil)
	added := startInstance(t, "d", "join", nil)
	var self Self
	added.request(http.MethodGet, "/v1/self", nil, &self)
	learner := Member{ID: self.ID, Name: self.Name, Peer: self.Peer, Listen: self.Listen}
	if code, _ := all[0].request(http.MethodPost, "/v1/members", Change{Op: "add", Member: learner}, nil); code != 200 {
		t.Fatalf("add: %d", code)
	}
	added.await("it is a learner that has the state", func(v *View) bool {
		return v.Role == "learner" &&
			v.Applied > 1
	})
	replaced := all[2].group.View().ID
	var out []Member
	if code, _ := all[0].request(http.MethodPost, "/v1/members", Change{Op: "replace", Member: learner, ReplacedID: replaced},
		&out); code != 200 {
		t.Fatalf("replace: %d", code)
	}
	for _, m := range out {
		if m.ID == replaced || !m.Voter {
			t.Fatalf("members %+v, expected three voters without %x", out, replaced)
		}
	}
	all[2].await("barred", func(v *View) bool { return v.Barred != "" })
	if result := added.put("s", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("put at the new one: %+v", result)
	}
}

// The leader itself is removed. It must hand the lead over first, so that writes go on.
func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	all := startThree(t, nil)
	for n, i := range all {
		v := i.group.View()
		if v.Role != "leader" {
			continue
		}
		other := all[(n+1)%3]
		if code, _ := other.request(http.MethodPost, "/v1/members", Change{Op: "remove", Member: Member{ID: v.ID}},
			nil); code !=
			200 {
			t.Fatalf("remove: %d", code)
		}
		if result := other.put("s", 1, 0); result.Outcome != PutCommitted {
			t.Fatalf("put: %+v", result)
		}
		return
	}
	t.Fatal("no leader")
}

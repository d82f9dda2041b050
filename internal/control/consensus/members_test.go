package consensus

import (
	"net/http"
	"testing"
)

// An instance that is removed while it runs must be barred, also after a restart, or it would keep disturbing
// elections.
func TestRemovedInstanceIsBarred(t *testing.T) {
	all := startThree(t, nil)
	id := all[2].group.View().ID
	var out []Member
	if code, _ := all[0].request(http.MethodPost, "/v1/members", MemberChange{Op: "remove", Member: Member{ID: id}},
		&out); code != 200 || len(out) != 2 {
		t.Fatalf("remove: status %d, members %+v, want 200 and two members", code, out)
	}
	all[2].await("barred", func(v *View) bool { return v.Barred != "" })
	all[2].stop()
	all[2].start()
	if v := all[2].group.View(); v.Role != "barred" || !v.OutOfContact() {
		t.Fatalf("status after a restart = %+v, want role barred and out of contact", v.Status)
	}
	if result := all[0].put("s", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("put after the removal = %+v, want %s", result, PutCommitted)
	}
}

// A learner replaces a voter. Both changes must take effect at once, or the group would have an even number of voters
// in between; the replaced instance must be barred.
func TestReplaceIsOneJointChange(t *testing.T) {
	all := startThree(t, nil)
	added := startInstance(t, "d", "join", nil)
	var self InstanceInfo
	added.request(http.MethodGet, "/v1/self", nil, &self)
	learner := Member{ID: self.ID, Name: self.Name, Peer: self.Peer, Listen: self.Listen}
	if code, _ := all[0].request(http.MethodPost, "/v1/members",
		MemberChange{Op: "add", Member: learner}, nil); code != 200 {
		t.Fatalf("add: status %d, want 200", code)
	}
	added.await("role learner with the group's state", func(v *View) bool {
		return v.Role == "learner" && v.Applied > 1
	})
	replaced := all[2].group.View().ID
	var out []Member
	change := MemberChange{Op: "replace", Member: learner, ReplacedID: replaced}
	if code, _ := all[0].request(http.MethodPost, "/v1/members", change, &out); code != 200 {
		t.Fatalf("replace: status %d, want 200", code)
	}
	for _, m := range out {
		if m.ID == replaced || !m.Voter {
			t.Fatalf("members = %+v, want voters only, without %x", out, replaced)
		}
	}
	all[2].await("barred", func(v *View) bool { return v.Barred != "" })
	if result := added.put("s", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("put at the added instance = %+v, want %s", result, PutCommitted)
	}
}

// A leader that is removed must transfer leadership first, so that writes continue.
func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	all := startThree(t, nil)
	for n, i := range all {
		v := i.group.View()
		if v.Role != "leader" {
			continue
		}
		other := all[(n+1)%3]
		if code, _ := other.request(http.MethodPost, "/v1/members",
			MemberChange{Op: "remove", Member: Member{ID: v.ID}}, nil); code != 200 {
			t.Fatalf("remove: status %d, want 200", code)
		}
		if result := other.put("s", 1, 0); result.Outcome != PutCommitted {
			t.Fatalf("put = %+v, want %s", result, PutCommitted)
		}
		return
	}
	t.Fatal("no instance has role leader")
}

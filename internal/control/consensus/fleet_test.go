package consensus

import (
	"net/http"
	"testing"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// node asks an instance as a node would.
func (i *instance) node(a api.HeartbeatRequest) (api.HeartbeatResponse, int) {
	i.t.Helper()
	var t api.HeartbeatResponse
	code, _ := i.ask(http.MethodPost, "/v1/nodes", a, &t)
	return t, code
}

func joining(name, nonce string) api.HeartbeatRequest {
	return api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z1", Nonce: nonce + "-12345678"}}
}

// A group has an instance of an older build. It must not use what that one can't read, must rise once it is replaced,
// and must refuse the older build from then on, or that one would come to another state.
func TestTwoBuilds(t *testing.T) {
	t.Parallel()
	low := boot(t, "x", "new", nil)
	low.await("the level of this build", func(v *View) bool { return v.Level == LatestLevel })
	if reason, _ := low.group.handleHello(Hello{Identity: Identity{ID: 99, Name: "d", Starts: 1, Nonce: 1},
		To: low.group.View().ID, Level: LevelVersions}); reason != refusedOlderProgram {
		t.Errorf("an older build is met with %q, expected %q", reason, refusedOlderProgram)
	}
	low = old(t, "x", "new")
	high := boot(t, "y", "join", nil)
	low.join(high)
	if got := low.put("s", 1, 0); got.Outcome != PutCommitted {
		t.Fatalf("a put in a group of two builds: %+v", got)
	}
	high.await("the put", func(v *View) bool { return v.Version == 1 })
	// The one of the newer build leads: it must hold back what the other does not know.
	high.await("the lead", func(v *View) bool {
		if v.Role != "leader" {
			low.group.Transfer(0)
		}
		return v.Role == "leader"
	})
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v := high.group.View(); v.Level != LevelVersions {
			t.Fatalf("the group is at level %d, and an instance does not know it", v.Level)
		}
	}
	if _, code := high.node(joining("n", "one")); code != http.StatusServiceUnavailable {
		t.Errorf("a node is answered %d, expected 503 until the group has risen", code)
	}
	if got := high.put("s", 2, 1); got.Outcome != PutCommitted {
		t.Fatalf("a put by the newer build's leader: %+v", got)
	}
	low.await("that put", func(v *View) bool { return v.Version == 2 })
	low.stop()
	low.level = 0
	low.start()
	high.await("the higher level", func(v *View) bool { return v.Level == LatestLevel })
	low.await("the same there", func(v *View) bool { return v.Level == LatestLevel })
	// And back: it is refused, takes part in nothing, and says so.
	low.stop()
	low.level = LevelVersions
	low.start()
	low.await("that it is out of touch", func(v *View) bool { return v.OutOfContact() })
	if v := low.group.View(); v.Role == "leader" || v.Leader != 0 {
		t.Errorf("an instance of the older build follows %x as %s", v.Leader, v.Role)
	}
}

// old boots an instance of the build before there were nodes.
func old(t *testing.T, name, start string) *instance {
	t.Helper()
	i := prepared(t, name, start, nil)
	i.level = LevelVersions
	i.start()
	t.Cleanup(i.stop)
	return i
}

// Nodes send heartbeats to any instance, and the leader dies. The next leader must neither count out nodes that it
// never heard nor keep a lease that was replaced.
func TestNodesAnywhere(t *testing.T) {
	t.Parallel()
	all := three(t, nil)
	for _, i := range all {
		i.await("the level", func(v *View) bool { return v.Level == LatestLevel })
	}
	leases := map[string]uint32{}
	for k, i := range all {
		name := string(rune('p' + k))
		var told api.HeartbeatResponse
		i.retry("joining", func() bool {
			var code int
			told, code = i.node(joining(name, name))
			return code == http.StatusOK && told.LeaseMS > 0
		})
		leases[name] = told.LeaseID
	}
	if leases["p"] == leases["q"] || leases["q"] == leases["r"] {
		t.Fatalf("leases %v, expected three", leases)
	}
	// Asked again with the same nonce it is the same lease; with another it is another, and the first counts no more.
	again, _ := all[1].node(joining("p", "p"))
	if again.LeaseID != leases["p"] {
		t.Errorf("the same asking again gives lease %d, expected %d", again.LeaseID, leases["p"])
	}
	next, _ := all[2].node(joining("p", "p2"))
	if next.LeaseID == leases["p"] || next.LeaseID == 0 {
		t.Fatalf("another incarnation has lease %d", next.LeaseID)
	}
	a := joining("p", "p")
	a.LeaseID, a.Renew = leases["p"], true
	if told, _ := all[0].node(a); told.EndedReason == "" || told.LeaseMS != 0 {
		t.Errorf("a replaced incarnation is told %+v, expected that it is gone", told)
	}
	for _, i := range all {
		if i.group.View().Role == "leader" {
			i.stop()
			break
		}
	}
	left := all[0]
	if left.group == nil {
		left = all[1]
	}
	a.LeaseID, a.Nonce = next.LeaseID, "p2-12345678"
	left.retry("a renewal by another leader", func() bool {
		var code int
		var told api.HeartbeatResponse
		told, code = left.node(a)
		a.LastClockMS = told.ClockMS
		return code == http.StatusOK && told.EndedReason == "" && told.LeaseMS > 0
	})
	views, err := leaderOf(all).group.Nodes()
	if err != nil || len(views) != 3 {
		t.Fatalf("%d nodes (%v), expected 3", len(views), err)
	}
	for _, v := range views {
		if v.OutReason != "" {
			t.Errorf("%s was counted out by a leader that never heard it", v.Name)
		}
	}
	var r policy.Result
	code, _ := left.ask(http.MethodPost, "/v1/policy", policy.Op{Kind: "propose", Proposal: &policy.Proposal{Version: 9,
		PrepareWithinMS: 5000, Author: "t", IdempotencyKey: "12345678"}}, nil)
	if code != http.StatusConflict {
		t.Errorf("a change to a version that is not there: %d (%+v), expected 409", code, r)
	}
}

func leaderOf(all []*instance) *instance {
	for {
		for _, i := range all {
			if i.group != nil && i.group.View().Role == "leader" {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// retry asks until it holds.
func (i *instance) retry(what string, holds func() bool) {
	i.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			i.t.Fatalf("%s: not within 20 s", what)
		}
	}
}

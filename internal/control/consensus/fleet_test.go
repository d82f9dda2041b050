package consensus

import (
	"net/http"
	"testing"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// heartbeat asks an instance as a node would.
func (i *instance) heartbeat(request api.HeartbeatRequest) (api.HeartbeatResponse, int) {
	i.t.Helper()
	var response api.HeartbeatResponse
	code, _ := i.request(http.MethodPost, "/v1/nodes", request, &response)
	return response, code
}

func joinRequest(name, nonce string) api.HeartbeatRequest {
	return api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z1", Nonce: nonce + "-12345678"}}
}

// A group has an instance of an older build. It must not use what that one can't read, must rise once it is replaced,
// and must refuse the older build from then on, or that one would come to another state.
func TestFeatureLevelWithTwoBuilds(t *testing.T) {
	t.Parallel()
	older := startInstance(t, "x", "new", nil)
	older.await("the level of this build", func(v *View) bool { return v.Level == LatestLevel })
	if reason, _ := older.group.handleHello(Hello{Identity: Identity{ID: 99, Name: "d", Starts: 1, Nonce: 1},
		To: older.group.View().ID, Level: LevelVersions}); reason != refusedOlderProgram {
		t.Errorf("an older build is met with %q, expected %q", reason, refusedOlderProgram)
	}
	older = startOldBuild(t, "x", "new")
	newer := startInstance(t, "y", "join", nil)
	older.addVoter(newer)
	if got := older.put("s", 1, 0); got.Outcome != PutCommitted {
		t.Fatalf("a put in a group of two builds: %+v", got)
	}
	newer.await("the put", func(v *View) bool { return v.Version == 1 })
	// The one of the newer build leads: it must hold back what the other does not know.
	newer.await("the lead", func(v *View) bool {
		if v.Role != "leader" {
			older.group.Transfer(0)
		}
		return v.Role == "leader"
	})
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v := newer.group.View(); v.Level != LevelVersions {
			t.Fatalf("the group is at level %d, and an instance does not know it", v.Level)
		}
	}
	if _, code := newer.heartbeat(joinRequest("n", "one")); code != http.StatusServiceUnavailable {
		t.Errorf("a node is answered %d, expected 503 until the group has risen", code)
	}
	if got := newer.put("s", 2, 1); got.Outcome != PutCommitted {
		t.Fatalf("a put by the newer build's leader: %+v", got)
	}
	older.await("that put", func(v *View) bool { return v.Version == 2 })
	older.stop()
	older.level = 0
	older.start()
	newer.await("the higher level", func(v *View) bool { return v.Level == LatestLevel })
	older.await("the same there", func(v *View) bool { return v.Level == LatestLevel })
	// And back: it is refused, takes part in nothing, and says so.
	older.stop()
	older.level = LevelVersions
	older.start()
	older.await("that it is out of touch", func(v *View) bool { return v.OutOfContact() })
	if v := older.group.View(); v.Role == "leader" || v.Leader != 0 {
		t.Errorf("an instance of the older build follows %x as %s", v.Leader, v.Role)
	}
}

// startOldBuild boots an instance of the build before there were nodes.
func startOldBuild(t *testing.T, name, start string) *instance {
	t.Helper()
	i := newInstance(t, name, start, nil)
	i.level = LevelVersions
	i.start()
	t.Cleanup(i.stop)
	return i
}

// Nodes send heartbeats to any instance, and the leader dies. The next leader must neither count out nodes that it
// never heard nor keep a lease that was replaced.
func TestLeasesSurviveLeaderFailure(t *testing.T) {
	t.Parallel()
	instances := startThree(t, nil)
	for _, i := range instances {
		i.await("the level", func(v *View) bool { return v.Level == LatestLevel })
	}
	leases := map[string]uint32{}
	for n, i := range instances {
		name := string(rune('p' + n))
		var response api.HeartbeatResponse
		i.eventually("joining", func() bool {
			var code int
			response, code = i.heartbeat(joinRequest(name, name))
			return code == http.StatusOK && response.LeaseMS > 0
		})
		leases[name] = response.LeaseID
	}
	if leases["p"] == leases["q"] || leases["q"] == leases["r"] {
		t.Fatalf("leases %v, expected three", leases)
	}
	// Asked again with the same nonce it is the same lease; with another it is another, and the first counts no more.
	repeated, _ := instances[1].heartbeat(joinRequest("p", "p"))
	if repeated.LeaseID != leases["p"] {
		t.Errorf("the same asking again gives lease %d, expected %d", repeated.LeaseID, leases["p"])
	}
	next, _ := instances[2].heartbeat(joinRequest("p", "p2"))
	if next.LeaseID == leases["p"] || next.LeaseID == 0 {
		t.Fatalf("another incarnation has lease %d", next.LeaseID)
	}
	request := joinRequest("p", "p")
	request.LeaseID, request.Renew = leases["p"], true
	if response, _ := instances[0].heartbeat(request); response.EndedReason == "" || response.LeaseMS != 0 {
		t.Errorf("a replaced incarnation is told %+v, expected that it is gone", response)
	}
	for _, i := range instances {
		if i.group.View().Role == "leader" {
			i.stop()
			break
		}
	}
	survivor := instances[0]
	if survivor.group == nil {
		survivor = instances[1]
	}
	request.LeaseID, request.Nonce = next.LeaseID, "p2-12345678"
	survivor.eventually("a renewal by another leader", func() bool {
		var code int
		var response api.HeartbeatResponse
		response, code = survivor.heartbeat(request)
		request.LastClockMS = response.ClockMS
		return code == http.StatusOK && response.EndedReason == "" && response.LeaseMS > 0
	})
	views, err := waitForLeader(instances).group.Nodes()
	if err != nil || len(views) != 3 {
		t.Fatalf("%d nodes (%v), expected 3", len(views), err)
	}
	for _, v := range views {
		if v.OutReason != "" {
			t.Errorf("%s was counted out by a leader that never heard it", v.Name)
		}
	}
	var r policy.Result
	code, _ := survivor.request(http.MethodPost, "/v1/policy", policy.Op{Kind: "propose", Proposal: &policy.Proposal{Version: 9,
		PrepareWithinMS: 5000, Author: "t", IdempotencyKey: "12345678"}}, nil)
	if code != http.StatusConflict {
		t.Errorf("a change to a version that is not there: %d (%+v), expected 409", code, r)
	}
}

func waitForLeader(instances []*instance) *instance {
	for {
		for _, i := range instances {
			if i.group != nil && i.group.View().Role == "leader" {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// eventually asks until it holds.
func (i *instance) eventually(what string, holds func() bool) {
	i.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			i.t.Fatalf("%s: not within 20 s", what)
		}
	}
}

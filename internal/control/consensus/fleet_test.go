package consensus

import (
	"net/http"
	"testing"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// heartbeat sends a node's heartbeat request and returns the response and its status.
func (i *instance) heartbeat(request api.HeartbeatRequest) (api.HeartbeatResponse, int) {
	i.t.Helper()
	var response api.HeartbeatResponse
	code, _ := i.request(http.MethodPost, "/v1/nodes", request, &response)
	return response, code
}

func joinRequest(name, nonce string) api.HeartbeatRequest {
	return api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z1", Nonce: nonce + "-12345678"}}
}

// A group with an instance of an older build must use nothing that it can not read, must raise its level once the
// instance is upgraded, and must refuse the older build from then on, whose state would diverge.
func TestFeatureLevelWithTwoBuilds(t *testing.T) {
	t.Parallel()
	older := startInstance(t, "x", "new", nil)
	older.await("the latest level", func(v *View) bool { return v.Level == LatestLevel })
	if reason, _ := older.group.handleHello(Hello{Identity: Identity{ID: 99, Name: "d", Starts: 1, Nonce: 1},
		To: older.group.View().ID, Level: LevelVersions}); reason != refusedOlderProgram {
		t.Errorf("handleHello() of an older build = %q, want %q", reason, refusedOlderProgram)
	}
	older = startOldBuild(t, "x", "new")
	newer := startInstance(t, "y", "join", nil)
	older.addVoter(newer)
	if got := older.put("s", 1, 0); got.Outcome != PutCommitted {
		t.Fatalf("put in a group with two builds = %+v, want %s", got, PutCommitted)
	}
	newer.await("version 1", func(v *View) bool { return v.Version == 1 })
	// With the newer build as leader the group must stay at the older build's level.
	newer.await("role leader", func(v *View) bool {
		if v.Role != "leader" {
			older.group.Transfer(0)
		}
		return v.Role == "leader"
	})
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v := newer.group.View(); v.Level != LevelVersions {
			t.Fatalf("group level = %d, want %d, as one instance supports no more", v.Level, LevelVersions)
		}
	}
	if _, code := newer.heartbeat(joinRequest("n", "one")); code != http.StatusServiceUnavailable {
		t.Errorf("heartbeat at level %d: status %d, want 503", LevelVersions, code)
	}
	if got := newer.put("s", 2, 1); got.Outcome != PutCommitted {
		t.Fatalf("put with the newer build as leader = %+v, want %s", got, PutCommitted)
	}
	older.await("version 2", func(v *View) bool { return v.Version == 2 })
	older.stop()
	older.level = 0
	older.start()
	newer.await("the latest level", func(v *View) bool { return v.Level == LatestLevel })
	older.await("the latest level after the upgrade", func(v *View) bool { return v.Level == LatestLevel })
	// Downgraded again, the instance must be refused and report that it is out of contact.
	older.stop()
	older.level = LevelVersions
	older.start()
	older.await("out of contact", func(v *View) bool { return v.OutOfContact() })
	if v := older.group.View(); v.Role == "leader" || v.Leader != 0 {
		t.Errorf("leader = %x, role = %s at the older build, want no leader, role not leader", v.Leader, v.Role)
	}
}

// startOldBuild starts an instance that supports LevelVersions only.
func startOldBuild(t *testing.T, name, start string) *instance {
	t.Helper()
	i := newInstance(t, name, start, nil)
	i.level = LevelVersions
	i.start()
	t.Cleanup(i.stop)
	return i
}

// Nodes send heartbeats to any instance, and the leader fails. The next leader must neither mark nodes out that it has
// not heard from yet nor restore a replaced lease.
func TestLeasesSurviveLeaderFailure(t *testing.T) {
	t.Parallel()
	instances := startThree(t, nil)
	for _, i := range instances {
		i.await("the latest level", func(v *View) bool { return v.Level == LatestLevel })
	}
	leases := map[string]uint32{}
	for n, i := range instances {
		name := string(rune('p' + n))
		var response api.HeartbeatResponse
		i.eventually("a lease", func() bool {
			var code int
			response, code = i.heartbeat(joinRequest(name, name))
			return code == http.StatusOK && response.LeaseMS > 0
		})
		leases[name] = response.LeaseID
	}
	if leases["p"] == leases["q"] || leases["q"] == leases["r"] {
		t.Fatalf("lease ids = %v, want three distinct", leases)
	}
	// A repeated join with the same nonce keeps its lease; another nonce is a new incarnation, whose lease replaces the
	// first.
	repeated, _ := instances[1].heartbeat(joinRequest("p", "p"))
	if repeated.LeaseID != leases["p"] {
		t.Errorf("repeated join: lease %d, want %d", repeated.LeaseID, leases["p"])
	}
	next, _ := instances[2].heartbeat(joinRequest("p", "p2"))
	if next.LeaseID == leases["p"] || next.LeaseID == 0 {
		t.Fatalf("join of another incarnation: lease %d, want a new one", next.LeaseID)
	}
	request := joinRequest("p", "p")
	request.LeaseID, request.Renew = leases["p"], true
	if response, _ := instances[0].heartbeat(request); response.EndedReason == "" || response.LeaseMS != 0 {
		t.Errorf("renewal by a replaced incarnation = %+v, want an ended reason and no lease", response)
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
	survivor.eventually("renewal by the next leader", func() bool {
		var code int
		var response api.HeartbeatResponse
		response, code = survivor.heartbeat(request)
		request.LastClockMS = response.ClockMS
		return code == http.StatusOK && response.EndedReason == "" && response.LeaseMS > 0
	})
	views, err := waitForLeader(instances).group.Nodes()
	if err != nil || len(views) != 3 {
		t.Fatalf("Nodes() = %d nodes, %v, want 3", len(views), err)
	}
	for _, v := range views {
		if v.OutReason != "" {
			t.Errorf("node %s: OutReason = %q, want none", v.Name, v.OutReason)
		}
	}
	var r policy.Result
	code, _ := survivor.request(http.MethodPost, "/v1/policy", policy.Op{Kind: "propose", Proposal: &policy.Proposal{
		Version:         9,
		PrepareWithinMS: 5000, Author: "t", IdempotencyKey: "12345678"}}, nil)
	if code != http.StatusConflict {
		t.Errorf("proposal of an unknown version: status %d (%+v), want 409", code, r)
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

// eventually polls a condition until it holds, for at most 20 s.
func (i *instance) eventually(what string, holds func() bool) {
	i.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			i.t.Fatalf("%s: not within 20 s", what)
		}
	}
}

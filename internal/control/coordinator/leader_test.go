package coordinator

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

// TestHeartbeatsShareOneEntry: an entry per heartbeat would fill the log. All heartbeats of a second must share one
// entry, and a heartbeat that changes nothing must need none.
func TestHeartbeatsShareOneEntry(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	for i := 0; i < 1000; i++ {
		g.leaders[0].Heartbeat(g.state, request(fmt.Sprint("n", i)), got.add)
	}
	g.run(0, 1000)
	if len(got) != 1000 || g.state.Fleet.Batches != 1 {
		t.Fatalf("%d responses by %d batches, want 1000 by 1", len(got), g.state.Fleet.Batches)
	}
	for second := 0; second < 10; second++ {
		for i := range got {
			r := request(fmt.Sprint("n", i))
			r.LeaseID, r.Renew, r.LastClockMS = got[i].LeaseID, true, g.state.Fleet.ClockMS
			g.leaders[0].Heartbeat(g.state, r, func(api.HeartbeatResponse, error) {})
		}
		g.run(0, 1000)
	}
	if g.state.Fleet.Batches > 11 {
		t.Errorf("%d batches for 10,000 renewals in 10 s, want at most 11", g.state.Fleet.Batches)
	}
	// A heartbeat that changes nothing is answered without an entry.
	batchesBefore, answered := g.state.Fleet.Batches, 0
	r := request("n1")
	r.LeaseID, r.LastClockMS = got[1].LeaseID, g.state.Fleet.ClockMS
	g.leaders[0].Heartbeat(g.state, r, func(_ api.HeartbeatResponse, _ error) { answered++ })
	if answered != 1 || g.state.Fleet.Batches != batchesBefore {
		t.Errorf("heartbeat answered %d times with %d entries, want 1 and 0", answered,
			g.state.Fleet.Batches-batchesBefore)
	}
}

// TestLostLeaseIsNotCountedAsRestart: the joins of a process that repeatedly loses its lease must not back off like
// those of a crash loop. The leader decides which it is, not the node, and only at a feature level that supports it.
func TestLostLeaseIsNotCountedAsRestart(t *testing.T) {
	for level, wantStarts := range map[int]int{LevelGenerations: 4, LevelSameProcess: 1} {
		g := newTestGroup(t)
		g.leaders[0].Level = level
		join := func(nonce string) (response api.HeartbeatResponse) {
			r := request("n1")
			r.Nonce, r.SameProcess = nonce, true // the leader ignores the node's claim
			g.leaders[0].Heartbeat(g.state, r, func(t api.HeartbeatResponse, _ error) { response = t })
			g.run(0, 1000)
			return response
		}
		for i := range 4 {
			if response := join(fmt.Sprint("process-one-", i)); response.LeaseID == 0 || response.EndedReason != "" {
				t.Fatalf("level %d, join %d: response %+v, want a lease", level, i, response)
			}
		}
		if n := len(g.state.Fleet.Lookup("n1").JoinTimesMS); n != wantStarts {
			t.Errorf("level %d: %d join times, want %d", level, n, wantStarts)
		}
		if join("process-two-0"); level == LevelSameProcess && len(g.state.Fleet.Lookup("n1").JoinTimesMS) != 2 {
			t.Error("the join of another process was not counted as a restart")
		}
	}
}

// TestBatchOfEarlierLeaderAnswersNoHeartbeat: an earlier leader's batch is applied while the new leader's is in flight.
// It must complete no heartbeat of the new leader, whose own batch is then ignored; a later batch must complete them.
func TestBatchOfEarlierLeaderAnswersNoHeartbeat(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	g.leaders[0].Heartbeat(g.state, request("a"), got.add)
	g.run(0, 1000)
	lease := got[0].LeaseID
	delayed := g.leaders[0].Tick(g.state, 1000) // in flight when leadership changes
	g.lead(1)
	r := request("a")
	r.LeaseID, r.Renew, r.LastClockMS = lease, true, g.state.Fleet.ClockMS
	got = nil
	g.leaders[1].Heartbeat(g.state, r, got.add)
	own := g.leaders[1].Tick(g.state, 1000)
	g.apply(delayed[0], 1)
	if len(got) != 0 {
		t.Fatalf("responses %+v by another leader's batch, want none", got)
	}
	g.apply(own[0], 2)
	if len(got) != 0 || g.state.Fleet.Batches != 2 {
		t.Fatalf("responses %+v by an ignored batch, %d batches applied; want none and 2", got, g.state.Fleet.Batches)
	}
	g.run(1, 1000)
	if len(got) != 1 || got[0].LeaseMS == 0 {
		t.Errorf("responses %+v, want one that extends the lease", got)
	}
}

// TestLostBatchIsRetried: the heartbeats of a lost batch must go into a later one. On loss of leadership all pending
// heartbeats must fail, as their callers would otherwise hang.
func TestLostBatchIsRetried(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	g.leaders[0].Heartbeat(g.state, request("a"), got.add)
	if n := len(g.leaders[0].Tick(g.state, 1000)); n != 1 { // the entry is lost
		t.Fatalf("Tick() returned %d entries, want 1", n)
	}
	for i := 0; i < 3; i++ {
		g.run(0, appendTimeoutMS/2)
	}
	if len(got) != 1 || got[0].LeaseID == 0 {
		t.Fatalf("responses %+v, want one with a lease", got)
	}
	failures := 0
	g.leaders[0].Heartbeat(g.state, request("b"), func(_ api.HeartbeatResponse, err error) {
		if errors.Is(err, ErrNotLeader) {
			failures++
		}
	})
	g.lead(1)
	if failures != 1 {
		t.Errorf("pending heartbeat failed with ErrNotLeader %d times, want 1", failures)
	}
	g.leaders[0].Heartbeat(g.state, request("b"), func(_ api.HeartbeatResponse, err error) {
		if !errors.Is(err, ErrNotLeader) {
			t.Errorf("Heartbeat() of an instance that does not lead = %v, want %v", err, ErrNotLeader)
		}
	})
}

// TestNodeWithoutResponsesIsMarkedOut: a node whose responses are all lost serves nothing. If its renewals kept it in,
// it would block every change.
func TestNodeWithoutResponsesIsMarkedOut(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	g.leaders[0].Heartbeat(g.state, request("a"), got.add)
	g.run(0, 1000)
	r := request("a")
	r.LeaseID, r.Renew, r.LastClockMS = got[0].LeaseID, true, got[0].ClockMS
	for i := 0; i < 30; i++ {
		g.leaders[0].Heartbeat(g.state, r, func(api.HeartbeatResponse, error) {})
		g.leaders[0].Heartbeat(g.state, request("b"), func(api.HeartbeatResponse, error) {})
		g.run(0, 1000)
	}
	for _, name := range []string{"a", "b"} {
		if n := g.state.Fleet.Lookup(name); n.OutReason != membership.OutSilent {
			t.Errorf("%s received no response for 30 s: out reason %q, want %q", name, n.OutReason,
				membership.OutSilent)
		}
	}
}

// TestNewLeaderListensBeforeGranting: a new leader may have been reset to an older state. It must wait for heartbeats
// of all nodes that are in, or for the whole listen phase, before it grants a lease.
func TestNewLeaderListensBeforeGranting(t *testing.T) {
	for _, allSend := range []bool{true, false} {
		g := newTestGroup(t)
		var got responses
		for _, n := range []string{"a", "b"} {
			g.leaders[0].Heartbeat(g.state, request(n), got.add)
		}
		g.run(0, 1000)
		g.leaders[1].Level = LevelGenerations
		g.lead(1)
		granted := false
		renew := func(i int, name string, done func(api.HeartbeatResponse, error)) {
			r := request(name)
			r.LeaseID, r.LastClockMS, r.Renew = got[i].LeaseID, got[i].ClockMS, true
			g.leaders[1].Heartbeat(g.state, r, done)
		}
		renew(0, "a", func(t api.HeartbeatResponse, err error) { granted = err == nil && t.LeaseMS > 0 })
		g.run(1, 600)
		if granted {
			t.Fatal("lease granted before b sent a heartbeat")
		}
		if allSend {
			renew(1, "b", func(api.HeartbeatResponse, error) {})
			g.run(1, 500)
		} else {
			g.run(1, maxListenMS)
		}
		if !granted {
			t.Errorf("all nodes sent a heartbeat: %v; no lease granted after the listen phase", allSend)
		}
	}
}

// TestChangeWaitsForJoinedNode: a repeated proposal must begin one change, and a change must not be decided without a
// node that joined between the decision's append and its application.
func TestChangeWaitsForJoinedNode(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	g.leaders[0].Heartbeat(g.state, request("a"), got.add)
	g.run(0, 1000)
	propose := policy.Op{Kind: policy.OpPropose,
		Proposal: &policy.Proposal{Version: 2, PrepareWithinMS: 5000, Author: "t", IdempotencyKey: "key-0001"}}
	outcomes := 0
	done := func(r policy.Result, err error) {
		if err == nil && r.Rejection == "" && r.ChangeNumber == 1 {
			outcomes++
		}
	}
	g.leaders[0].SubmitPolicy(propose, done)
	g.leaders[0].SubmitPolicy(propose, done) // repeated
	g.run(0, 1)
	if outcomes != 2 || g.state.Policy.LastNumber != 1 {
		t.Fatalf("%d results, last change %d; want 2 results of change 1", outcomes, g.state.Policy.LastNumber)
	}
	r := request("a")
	r.LeaseID, r.PreparedVersion, r.LastClockMS = got[0].LeaseID, 2, got[0].ClockMS
	g.leaders[0].Heartbeat(g.state, r, got.add)
	decide := g.leaders[0].Tick(g.state, 0)
	if len(decide) != 1 {
		t.Fatalf("%d entries after all nodes have prepared, want the decision", len(decide))
	}
	// A node joins before the decision is applied: it is rejected, and the leader waits for the node.
	body, err := json.Marshal(membership.HeartbeatBatch{BatchesBefore: g.state.Fleet.Batches, ElapsedMS: 1,
		Joins: []api.JoinRequest{request("b").JoinRequest}})
	if err != nil {
		t.Fatal(err)
	}
	g.apply(Entry{KindHeartbeats, body}, g.term)
	g.apply(decide[0], g.term)
	if g.state.Policy.Current.Step != policy.Preparing {
		t.Fatalf("step %q after a node joined, want %q", g.state.Policy.Current.Step, policy.Preparing)
	}
	for _, e := range g.leaders[0].Tick(g.state, 0) {
		t.Errorf("appended %s %s while a node has not prepared, want nothing", e.Kind, e.Body)
	}
	// A snapshot keeps the step.
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(0)
	err = restored.Restore(raw)
	if c := restored.Policy.Current; err != nil || c == nil || c.Step != policy.Preparing || restored.Fleet.FleetEpoch != 2 {
		t.Errorf("restored change %+v (error %v), want it preparing at fleet epoch 2", c, err)
	}
	abort := policy.Op{Kind: policy.OpAbort, ChangeNumber: 1, Author: "t", Reason: "enough"}
	g.leaders[0].SubmitPolicy(abort, func(policy.Result, error) {})
	g.run(0, 1)
	c, changes := g.state.Policy.Find(1), g.state.Policy
	if c.Step != policy.Aborted || changes.Current != nil || changes.DecidedVersion != 0 {
		t.Errorf("change %+v after its abort, want it aborted and no decided version", c)
	}
}

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

// TestHeartbeatsShareOneEntry: a thousand nodes join and renew. An entry for each would fill the log and slow the group, so all
// heartbeats of a second have to be one entry, and a report that changes nothing has to cost none.
func TestHeartbeatsShareOneEntry(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	for i := 0; i < 1000; i++ {
		g.leaders[0].Heartbeat(g.state, request(fmt.Sprint("n", i)), got.add)
	}
	g.run(0, 1000)
	if len(got) != 1000 || g.state.Fleet.Batches != 1 {
		t.Fatalf("%d answers by %d batches, expected 1000 by one", len(got), g.state.Fleet.Batches)
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
		t.Errorf("%d entries for 10,000 renewals in 10 s", g.state.Fleet.Batches)
	}
	// Reports that change nothing are answered without an entry.
	batchesBefore, answered := g.state.Fleet.Batches, 0
	r := request("n1")
	r.LeaseID, r.LastClockMS = got[1].LeaseID, g.state.Fleet.ClockMS
	g.leaders[0].Heartbeat(g.state, r, func(_ api.HeartbeatResponse, _ error) { answered++ })
	if answered != 1 || g.state.Fleet.Batches != batchesBefore {
		t.Errorf("a report was answered %d times by %d entries", answered, g.state.Fleet.Batches-batchesBefore)
	}
}

// TestLostLeaseIsNotCountedAsRestart: a process loses its lease over and over, as on a machine that is paused now and then.
// Counted as restarts, its joins would be delayed like a crash loop's. The leader tells the two apart, not the node,
// and only where all instances can read such entries.
func TestLostLeaseIsNotCountedAsRestart(t *testing.T) {
	for level, wantStarts := range map[int]int{LevelGenerations: 4, LevelSameProcess: 1} {
		g := newTestGroup(t)
		g.leaders[0].Level = level
		join := func(nonce string) (response api.HeartbeatResponse) {
			r := request("n1")
			r.Nonce, r.SameProcess = nonce, true // what it claims counts for nothing
			g.leaders[0].Heartbeat(g.state, r, func(t api.HeartbeatResponse, _ error) { response = t })
			g.run(0, 1000)
			return response
		}
		for i := range 4 {
			if response := join(fmt.Sprint("process-one-", i)); response.LeaseID == 0 || response.EndedReason != "" {
				t.Fatalf("level %d, time %d: %+v", level, i, response)
			}
		}
		if n := len(g.state.Fleet.Lookup("n1").JoinTimesMS); n != wantStarts {
			t.Errorf("level %d: %d starts, expected %d", level, n, wantStarts)
		}
		if join("process-two-0"); level == LevelSameProcess && len(g.state.Fleet.Lookup("n1").JoinTimesMS) != 2 {
			t.Error("another process is no start")
		}
	}
}

// TestBatchOfEarlierLeaderAnswersNoHeartbeat: a batch of the earlier leader is applied while the new one's is appended. What it grants
// was asked of the other, so it must answer nobody here; the new leader's own batch changes nothing then, and its
// heartbeats have to be answered by a later one.
func TestBatchOfEarlierLeaderAnswersNoHeartbeat(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	g.leaders[0].Heartbeat(g.state, request("a"), got.add)
	g.run(0, 1000)
	lease := got[0].LeaseID
	delayed := g.leaders[0].Tick(g.state, 1000) // made, and on its way when the lead goes over
	g.lead(1)
	r := request("a")
	r.LeaseID, r.Renew, r.LastClockMS = lease, true, g.state.Fleet.ClockMS
	got = nil
	g.leaders[1].Heartbeat(g.state, r, got.add)
	own := g.leaders[1].Tick(g.state, 1000)
	g.apply(delayed[0], 1)
	if len(got) != 0 {
		t.Fatalf("answered %+v by a batch that did not have it", got)
	}
	g.apply(own[0], 2)
	if len(got) != 0 || g.state.Fleet.Batches != 2 {
		t.Fatalf("answered %+v by a batch that came second, %d batches", got, g.state.Fleet.Batches)
	}
	g.run(1, 1000)
	if len(got) != 1 || got[0].LeaseMS == 0 {
		t.Errorf("answers %+v, expected one that extends the lease", got)
	}
}

// TestLostBatchIsRetried: an appended batch is lost with a leader on the way. Its heartbeats have to go into a later batch, and
// all that wait have to be answered when leadership is lost: their callers would hang otherwise.
func TestLostBatchIsRetried(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	g.leaders[0].Heartbeat(g.state, request("a"), got.add)
	if n := len(g.leaders[0].Tick(g.state, 1000)); n != 1 { // and it is lost
		t.Fatal(n)
	}
	for i := 0; i < 3; i++ {
		g.run(0, appendTimeoutMS/2)
	}
	if len(got) != 1 || got[0].LeaseID == 0 {
		t.Fatalf("answers %+v, expected one", got)
	}
	released := 0
	g.leaders[0].Heartbeat(g.state, request("b"), func(_ api.HeartbeatResponse, err error) {
		if errors.Is(err, ErrNotLeader) {
			released++
		}
	})
	g.lead(1)
	if released != 1 {
		t.Errorf("let go %d times by the lost lead, expected once", released)
	}
	g.leaders[0].Heartbeat(g.state, request("b"), func(_ api.HeartbeatResponse, err error) {
		if !errors.Is(err, ErrNotLeader) {
			t.Errorf("one that does not lead answers %v", err)
		}
	})
}

// TestNodeWithoutResponsesIsMarkedOut: nodes' requests arrive and all responses are lost. Such a node serves nothing, and if its
// renewals kept it in, every change would wait for it.
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
			t.Errorf("%s hears nothing for 30 s and is %q, expected %q", name, n.OutReason, membership.OutSilent)
		}
	}
}

// TestNewLeaderListensBeforeGranting: an instance that was put back to an older state becomes leader. If it granted at once, a node
// that knows more would be heard too late: it has to hear all nodes that are in first, or listen for its whole time.
func TestNewLeaderListensBeforeGranting(t *testing.T) {
	for _, allHeard := range []bool{true, false} {
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
			t.Fatal("it grants, and b was not heard")
		}
		if allHeard {
			renew(1, "b", func(api.HeartbeatResponse, error) {})
			g.run(1, 500)
		} else {
			g.run(1, maxListenMS)
		}
		if !granted {
			t.Errorf("all heard %v: it grants nothing after that", allHeard)
		}
	}
}

// TestChangeWaitsForJoinedNode: an operator repeats a proposal, and a node joins between the decision's append and its
// application. There has to be one change, and it must not be decided without the node that joined.
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
	g.leaders[0].SubmitPolicy(propose, done) // sent again
	g.run(0, 1)
	if outcomes != 2 || g.state.Policy.LastNumber != 1 {
		t.Fatalf("%d ends, %d changes; expected both ends of one change", outcomes, g.state.Policy.LastNumber)
	}
	r := request("a")
	r.LeaseID, r.PreparedVersion, r.LastClockMS = got[0].LeaseID, 2, got[0].ClockMS
	g.leaders[0].Heartbeat(g.state, r, got.add)
	decide := g.leaders[0].Tick(g.state, 0)
	if len(decide) != 1 {
		t.Fatalf("%d entries once all have prepared, expected the decision", len(decide))
	}
	// A node joins before it is applied: it does not count, and the leader waits for that one too.
	body, err := json.Marshal(membership.HeartbeatBatch{BatchesBefore: g.state.Fleet.Batches, ElapsedMS: 1,
		Joins: []api.JoinRequest{request("b").JoinRequest}})
	if err != nil {
		t.Fatal(err)
	}
	g.apply(Entry{KindHeartbeats, body}, g.term)
	g.apply(decide[0], g.term)
	if g.state.Policy.Current.Step != policy.Preparing {
		t.Fatalf("decided, and a node joined meanwhile")
	}
	for _, e := range g.leaders[0].Tick(g.state, 0) {
		t.Errorf("proposes %s %s while a node has not prepared", e.Kind, e.Body)
	}
	// Snapshots keep the step.
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(0)
	err = restored.Restore(raw)
	if c := restored.Policy.Current; err != nil || c == nil || c.Step != policy.Preparing || restored.Fleet.Epoch != 2 {
		t.Errorf("loaded %+v (%v)", c, err)
	}
	abort := policy.Op{Kind: policy.OpAbort, ChangeNumber: 1, Author: "t", Reason: "enough"}
	g.leaders[0].SubmitPolicy(abort, func(policy.Result, error) {})
	g.run(0, 1)
	c, changes := g.state.Policy.Find(1), g.state.Policy
	if c.Step != policy.Aborted || changes.Current != nil || changes.DecidedVersion != 0 {
		t.Errorf("after it was called off: %+v", c)
	}
}

package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// TestHeartbeatSchedule: the shortest of the times that apply holds, and larger fleets send more slowly.
func TestHeartbeatSchedule(t *testing.T) {
	for _, c := range []struct {
		pace heartbeatSchedule
		want uint64
	}{
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12}, 2500},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12, zonesEnabled: true}, 1000},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12, zonesEnabled: true, newNodeLimited: true}, 500},
		{heartbeatSchedule{leaseMS: 1000, nodes: 12, zonesEnabled: true, newNodeLimited: true}, 250},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12, changeActive: true}, 200},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 5000, changeActive: true}, 1000},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 5000, zonesEnabled: true}, 2000},
	} {
		if got := c.pace.nextMS(); got != c.want {
			t.Errorf("%+v: found %d ms, expected %d", c.pace, got, c.want)
		}
	}
}

// TestAppendTimer: an entry counts as lost once its time is over, and only then.
func TestAppendTimer(t *testing.T) {
	var timer appendTimer
	timer.start(1000)
	if timer.stopIfLost(1000+appendTimeoutMS) || !timer.running() {
		t.Error("an entry counts as lost within its time")
	}
	if !timer.stopIfLost(1001+appendTimeoutMS) || timer.running() {
		t.Error("an entry does not count as lost past its time")
	}
	if timer.stopIfLost(1 << 40) {
		t.Error("an entry is lost that was not appended")
	}
}

// TestSubmissionsRetryAndBound: an operation that is lost is appended again, all that have its outcome are answered, and past the
// bound the caller is told so.
func TestSubmissionsRetryAndBound(t *testing.T) {
	var q submissions[int, string]
	var answers []string
	answer := func(r string, err error) { answers = append(answers, fmt.Sprint(r, " ", err)) }
	for range maxPendingOps {
		if err := q.add(7, answer); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.add(8, answer); !errors.Is(err, ErrBusy) {
		t.Errorf("found %v, expected %v", err, ErrBusy)
	}
	if first, again := len(q.toAppend(1)), len(q.toAppend(1+appendTimeoutMS)); first != maxPendingOps || again != 0 {
		t.Errorf("appended %d and again %d within their time, expected %d and 0", first, again, maxPendingOps)
	}
	if n := len(q.toAppend(2 + appendTimeoutMS)); n != maxPendingOps {
		t.Errorf("appended %d again past their time, expected %d", n, maxPendingOps)
	}
	q.applied("done", func(op *int) bool { return *op == 7 })
	if len(answers) != maxPendingOps || answers[0] != "done <nil>" || len(q.pending) != 0 {
		t.Errorf("%d answers, %d pending", len(answers), len(q.pending))
	}
	if err := q.add(9, answer); err != nil {
		t.Fatal(err)
	}
	q.fail(ErrNotLeader)
	if got, want := answers[len(answers)-1], " "+ErrNotLeader.Error(); got != want {
		t.Errorf("found answer %q, expected %q", got, want)
	}
}

// TestJoinsBatchedInOrderOfArrival: a fleet of thousands restarts as a whole. The joins that came first go first, so that no
// node waits for ever, and renewals wait for nobody's join.
func TestJoinsBatchedInOrderOfArrival(t *testing.T) {
	var b heartbeatBatcher
	ignore := func(api.HeartbeatResponse, error) {}
	var want []string
	for i := range maxJoinsPerBatch + 5 {
		join := api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: fmt.Sprint("n", i)}}
		want = append(want, join.Name)
		if err := b.add(join, ignore); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.add(api.HeartbeatRequest{LeaseID: 3, Renew: true}, ignore); err != nil {
		t.Fatal(err)
	}
	var got []string
	for batches := range 2 {
		batch := b.fill(&membership.HeartbeatBatch{}, 1, 0)
		for _, j := range batch.Joins {
			got = append(got, j.Name)
		}
		if renewals := len(batch.Renewals); renewals != 1-batches {
			t.Errorf("batch %d has %d renewals", batches, renewals)
		}
		b.inFlight = nil
	}
	if !slices.Equal(got, want) || b.joinsDeferred || len(b.waiting) > 0 {
		t.Errorf("%d joins in two batches, the last %s; %d wait", len(got), got[len(got)-1], len(b.waiting))
	}
}

// TestNeedsEntry: what a change or an operator waits for goes into the log, anything else is answered at once, and a
// node whose responses are lost gets nothing extended.
func TestNeedsEntry(t *testing.T) {
	g := newTestGroup(t)
	g.leaders[0].Heartbeat(g.state, request("a"), func(api.HeartbeatResponse, error) {})
	g.run(0, 1000)
	n := g.state.Fleet.Lookup("a")
	now := g.state.Fleet.ClockMS
	promise := api.HeartbeatRequest{LeaseID: n.Lease.ID, LastClockMS: now, MinVersion: 2}
	if needsEntry(g.state, n, &promise) {
		t.Error("a promise that nothing waits for costs an entry")
	}
	g.state.Policy.Current = &policy.Change{Version: 2, Step: policy.Committed}
	if !needsEntry(g.state, n, &promise) {
		t.Error("a promise that a change waits for does not go into the log")
	}
	g.state.Policy.Current = nil
	renewal := api.HeartbeatRequest{LeaseID: n.Lease.ID, LastClockMS: now, Renew: true}
	if !needsEntry(g.state, n, &renewal) {
		t.Error("a renewal does not go into the log")
	}
	g.state.Fleet.ClockMS += membership.LeaseSpanMS(g.state.leaseTerms().LeaseMS) + 1
	if needsEntry(g.state, n, &renewal) {
		t.Error("a node that gets no responses is renewed")
	}
	if leave := (api.HeartbeatRequest{LeaseID: n.Lease.ID, Leave: true}); !needsEntry(g.state, nil, &leave) {
		t.Error("a leave does not go into the log")
	}
}

// TestErrorTypes: callers can tell entries that can't be read, and spoilt snapshots, from other errors.
func TestErrorTypes(t *testing.T) {
	var entry *EntryError
	if _, err := NewState(0).Apply(KindZones, []byte("{"), 1, 1, nil); !errors.As(err, &entry) {
		t.Errorf("found %v, expected an EntryError", err)
	}
	var kind *UnknownKindError
	if _, err := NewState(0).Apply("other", nil, 1, 1, nil); !errors.As(err, &kind) || kind.Kind != "other" {
		t.Errorf("found %v, expected an UnknownKindError", err)
	}
	_, err := NewState(0).Apply(KindPolicy, []byte(`{"op":"propose"}`), 1, 1, nil)
	if !errors.Is(err, policy.ErrEmptyProposal) {
		t.Errorf("found %v, expected %v", err, policy.ErrEmptyProposal)
	}
	for raw, want := range map[string]error{
		"{":                                  ErrSnapshot,
		`{"fleet":{"clock":-1}}`:             membership.ErrSnapshot,
		`{"fleet":{},"policy":1}`:            policy.ErrSnapshot,
		`{"fleet":{},"policy":{},"zones":1}`: zones.ErrSnapshot,
	} {
		if err := NewState(0).Restore([]byte(raw)); !errors.Is(err, want) {
			t.Errorf("%s: found %v, expected one that wraps %v", raw, err, want)
		}
	}
	g := newTestGroup(t)
	var missing *VersionMissingError
	if _, _, err := (versionCatalog{g}).Check(9, 0); !errors.As(err, &missing) || missing.Version != 9 {
		t.Errorf("found %v, expected a VersionMissingError of 9", err)
	}
}

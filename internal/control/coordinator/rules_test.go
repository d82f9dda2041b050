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

// TestHeartbeatSchedule: the shortest interval that applies is used, and intervals grow with the fleet.
func TestHeartbeatSchedule(t *testing.T) {
	for _, c := range []struct {
		schedule heartbeatSchedule
		want     uint64
	}{
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12}, 2500},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12, zonesEnabled: true}, 1000},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12, zonesEnabled: true, newNodeLimited: true}, 500},
		{heartbeatSchedule{leaseMS: 1000, nodes: 12, zonesEnabled: true, newNodeLimited: true}, 250},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 12, changeActive: true}, 200},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 5000, changeActive: true}, 1000},
		{heartbeatSchedule{leaseMS: 10_000, nodes: 5000, zonesEnabled: true}, 2000},
	} {
		if got := c.schedule.nextMS(); got != c.want {
			t.Errorf("%+v: nextMS() = %d, want %d", c.schedule, got, c.want)
		}
	}
}

// TestAppendTimer: an entry is considered lost after appendTimeoutMS and no earlier.
func TestAppendTimer(t *testing.T) {
	var timer appendTimer
	timer.start(1000)
	if timer.stopIfLost(1000+appendTimeoutMS) || !timer.running() {
		t.Error("stopIfLost() = true or the timer stopped at appendTimeoutMS, want it running")
	}
	if !timer.stopIfLost(1001+appendTimeoutMS) || timer.running() {
		t.Error("stopIfLost() = false or the timer running after appendTimeoutMS, want it stopped")
	}
	if timer.stopIfLost(1 << 40) {
		t.Error("stopIfLost() = true of a stopped timer, want false")
	}
}

// TestSubmissionsRetryAndBound: a lost operation is appended again, a result completes all operations that it is the
// outcome of, and beyond maxPendingOps operations fail with ErrBusy.
func TestSubmissionsRetryAndBound(t *testing.T) {
	var q submissions[int, string]
	var answers []string
	done := func(r string, err error) { answers = append(answers, fmt.Sprint(r, " ", err)) }
	for range maxPendingOps {
		if err := q.add(7, done); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.add(8, done); !errors.Is(err, ErrBusy) {
		t.Errorf("add() beyond maxPendingOps = %v, want %v", err, ErrBusy)
	}
	if first, again := len(q.toAppend(1)), len(q.toAppend(1+appendTimeoutMS)); first != maxPendingOps || again != 0 {
		t.Errorf("appended %d, and %d again within appendTimeoutMS; want %d and 0", first, again, maxPendingOps)
	}
	if n := len(q.toAppend(2 + appendTimeoutMS)); n != maxPendingOps {
		t.Errorf("appended %d again after appendTimeoutMS, want %d", n, maxPendingOps)
	}
	q.applied("done", func(op *int) bool { return *op == 7 })
	if len(answers) != maxPendingOps || answers[0] != "done <nil>" || len(q.pending) != 0 {
		t.Errorf("%d answers, %d pending; want %d answers of \"done\" and none pending", len(answers), len(q.pending),
			maxPendingOps)
	}
	if err := q.add(9, done); err != nil {
		t.Fatal(err)
	}
	q.fail(ErrNotLeader)
	if got, want := answers[len(answers)-1], " "+ErrNotLeader.Error(); got != want {
		t.Errorf("last answer = %q, want %q", got, want)
	}
}

// TestJoinsBatchedInOrderOfArrival: when the whole fleet restarts, joins are batched in order of arrival, so that no
// node starves, and renewals do not wait for joins.
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
			t.Errorf("batch %d has %d renewals, want %d", batches, renewals, 1-batches)
		}
		b.inFlight = nil
	}
	if !slices.Equal(got, want) || b.joinsDeferred || len(b.waiting) > 0 {
		t.Errorf("%d joins in two batches, the last %s, %d waiting; want %d in order of arrival, none waiting",
			len(got), got[len(got)-1], len(b.waiting), len(want))
	}
}

// TestNeedsEntry: renewals, leaves and awaited promises need an entry, other heartbeats none. A node whose responses
// are lost is not renewed.
func TestNeedsEntry(t *testing.T) {
	g := newTestGroup(t)
	g.leaders[0].Heartbeat(g.state, request("a"), func(api.HeartbeatResponse, error) {})
	g.run(0, 1000)
	n := g.state.Fleet.Lookup("a")
	now := g.state.Fleet.ClockMS
	promise := api.HeartbeatRequest{LeaseID: n.Lease.ID, LastClockMS: now, MinVersion: 2}
	if needsEntry(g.state, n, &promise) {
		t.Error("needsEntry() = true of a promise that nothing waits for, want false")
	}
	g.state.Policy.Current = &policy.Change{Version: 2, Step: policy.Committed}
	if !needsEntry(g.state, n, &promise) {
		t.Error("needsEntry() = false of a promise that a change waits for, want true")
	}
	g.state.Policy.Current = nil
	renewal := api.HeartbeatRequest{LeaseID: n.Lease.ID, LastClockMS: now, Renew: true}
	if !needsEntry(g.state, n, &renewal) {
		t.Error("needsEntry() = false of a renewal, want true")
	}
	g.state.Fleet.ClockMS += membership.LeaseSpanMS(g.state.leaseTerms().LeaseMS) + 1
	if needsEntry(g.state, n, &renewal) {
		t.Error("needsEntry() = true of a renewal by a node without responses, want false")
	}
	if leave := (api.HeartbeatRequest{LeaseID: n.Lease.ID, Leave: true}); !needsEntry(g.state, nil, &leave) {
		t.Error("needsEntry() = false of a leave, want true")
	}
}

// TestErrorTypes: errors of entries, snapshots and versions have types that callers can match.
func TestErrorTypes(t *testing.T) {
	var entry *EntryError
	if _, err := NewState(0).Apply(KindZones, []byte("{"), 1, 1, nil); !errors.As(err, &entry) {
		t.Errorf("Apply() error = %v, want an EntryError", err)
	}
	var kind *UnknownKindError
	if _, err := NewState(0).Apply("other", nil, 1, 1, nil); !errors.As(err, &kind) || kind.Kind != "other" {
		t.Errorf("Apply() error = %v, want an UnknownKindError of kind other", err)
	}
	_, err := NewState(0).Apply(KindPolicy, []byte(`{"op":"propose"}`), 1, 1, nil)
	if !errors.Is(err, policy.ErrEmptyProposal) {
		t.Errorf("Apply() error = %v, want %v", err, policy.ErrEmptyProposal)
	}
	for raw, want := range map[string]error{
		"{":                                  ErrSnapshot,
		`{"fleet":{"clock":-1}}`:             membership.ErrSnapshot,
		`{"fleet":{},"policy":1}`:            policy.ErrSnapshot,
		`{"fleet":{},"policy":{},"zones":1}`: zones.ErrSnapshot,
	} {
		if err := NewState(0).Restore([]byte(raw)); !errors.Is(err, want) {
			t.Errorf("Restore(%s) = %v, want an error that wraps %v", raw, err, want)
		}
	}
	g := newTestGroup(t)
	var missing *VersionMissingError
	if _, _, err := (versionCatalog{g}).Check(9, 0); !errors.As(err, &missing) || missing.Version != 9 {
		t.Errorf("Check(9, 0) error = %v, want a VersionMissingError of 9", err)
	}
}

package membership

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

var terms = LeaseTerms{LeaseMS: 4000}

// fleetTest applies batches to a node table.
type fleetTest struct {
	*testing.T
	state *State
	term  uint64
}

func (f *fleetTest) apply(ms uint64, terms LeaseTerms, change func(*HeartbeatBatch)) BatchResult {
	f.Helper()
	b := &HeartbeatBatch{BatchesBefore: f.state.Batches, ElapsedMS: ms, MinVersion: terms.DecidedVersion}
	if change != nil {
		change(b)
	}
	return f.state.Apply(b, f.term, terms)
}

func (f *fleetTest) join(name, nonce string, terms LeaseTerms) JoinResult {
	f.Helper()
	return f.apply(1, terms, func(b *HeartbeatBatch) {
		b.Joins = []api.JoinRequest{{Name: name, Zone: "z", Nonce: nonce + "-00000000"}}
	}).Joins[0]
}

func newFleetTest(t *testing.T) *fleetTest { return &fleetTest{t, New(), 1} }

// TestSilentNodeKeepsLeaseUntilExpiry guards against a lease that expires while its holder may still act on it: a
// change could settle while the holder serves under the older version. A node that was marked out must not return.
func TestSilentNodeKeepsLeaseUntilExpiry(t *testing.T) {
	f := newFleetTest(t)
	j := f.join("a", "x", terms)
	if r := f.apply(4000, terms, nil); len(r.MarkedOut) > 0 || !f.state.MayServeOlder(f.state.Lookup("a"), 1) {
		t.Fatalf("result %+v while the lease is live, want the node in and able to serve an older version", r)
	}
	r := f.apply(LeaseSpanMS(4000)-4000+1, terms, nil)
	if len(r.MarkedOut) != 1 || f.state.LeaseHolder(j.LeaseID) != nil || f.state.MayServeOlder(f.state.Lookup("a"), 1) {
		t.Fatalf("result %+v after the lease span, want the node marked out and unable to serve", r)
	}
	if r := f.apply(1, terms, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} }); len(r.Granted) != 0 {
		t.Errorf("Granted = %v after a renewal of a node that is out, want none", r.Granted)
	}
	if repeated := f.join("a", "x", terms); repeated.RefusedReason == "" {
		t.Error("join of an incarnation that was marked out was accepted, want refused")
	}
	if replacement := f.join("a", "y", terms); replacement.RefusedReason != "" || replacement.LeaseID == j.LeaseID {
		t.Errorf("join of another incarnation = %+v, want accepted under a new lease", replacement)
	}
}

// TestLeaseSpan checks the margin for a node's clock that is one percent slow and for the ticks until a renewal
// commits.
func TestLeaseSpan(t *testing.T) {
	for leaseMS, want := range map[uint64]uint64{1000: 1110, 4000: 4140, 10_000: 10_200} {
		if got := LeaseSpanMS(leaseMS); got != want {
			t.Errorf("LeaseSpanMS(%d) = %d, want %d", leaseMS, got, want)
		}
	}
}

// TestShorterLeaseTermsKeepLongerLease: an unreachable node acts on its longer lease after the policy shortened leases,
// so that lease must run to its end.
func TestShorterLeaseTermsKeepLongerLease(t *testing.T) {
	f := newFleetTest(t)
	j := f.join("a", "x", LeaseTerms{LeaseMS: 10_000})
	f.apply(100, LeaseTerms{LeaseMS: 1000}, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} })
	f.apply(9000, LeaseTerms{LeaseMS: 1000}, nil)
	if !f.state.MayServeOlder(f.state.Lookup("a"), 1) {
		t.Error("MayServeOlder = false 9.1 s into a lease of 10 s, want true")
	}
}

// TestOnlyPromisingNodesAreRenewed: a node that has not received a decision could serve under the older version
// indefinitely if its lease were extended. Only a node that promises the decided version may be renewed.
func TestOnlyPromisingNodesAreRenewed(t *testing.T) {
	f := newFleetTest(t)
	a, b := f.join("a", "x", terms), f.join("b", "y", terms)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	r := f.apply(100, decided, func(x *HeartbeatBatch) {
		x.Renewals, x.Outdated = []uint32{a.LeaseID}, []uint32{b.LeaseID}
	})
	if !r.Granted[a.LeaseID] || r.Granted[b.LeaseID] {
		t.Fatalf("Granted = %v, want lease %d extended and lease %d not", r.Granted, a.LeaseID, b.LeaseID)
	}
	if got := f.state.NodesServingOlder(2); len(got) != 1 || got[0] != "b" {
		t.Errorf("NodesServingOlder(2) = %v, want [b]", got)
	}
	// A batch that was built before the decision extends no lease after it.
	r = f.apply(100, decided, func(x *HeartbeatBatch) { x.MinVersion, x.Renewals = 1, []uint32{b.LeaseID} })
	if r.Granted[b.LeaseID] {
		t.Error("a renewal without the promise was granted, want no extension")
	}
	f.apply(LeaseSpanMS(4000), decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{a.LeaseID} })
	if got := f.state.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("NodesServingOlder(2) = %v after the lease span, want none", got)
	}
}

// TestReplacedIncarnationKeepsLease: a node restarts within its lease, or two nodes use one name. The newest
// incarnation holds the name, and a change must still wait for the earlier incarnation's lease.
func TestReplacedIncarnationKeepsLease(t *testing.T) {
	f := newFleetTest(t)
	a := f.join("a", "x", terms)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	b := f.join("a", "y", decided)
	if f.state.LeaseHolder(a.LeaseID) != nil || f.state.LeaseHolder(b.LeaseID) == nil {
		t.Fatal("LeaseHolder: want none for the first incarnation, and the node for the second")
	}
	if got := f.state.NodesServingOlder(2); len(got) != 1 {
		t.Errorf("NodesServingOlder(2) = %v, want one for the earlier incarnation", got)
	}
	f.apply(LeaseSpanMS(4000)+1, decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{b.LeaseID} })
	if got := f.state.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("NodesServingOlder(2) = %v after the earlier lease expired, want none", got)
	}
}

// TestCrashLoopBacksOff: each join of a node in a crash loop adds to the log and delays decisions. Its joins must back
// off up to the maximum, and the state kept for it must be bounded.
func TestCrashLoopBacksOff(t *testing.T) {
	f := newFleetTest(t)
	accepted, longestWaitMS := 0, uint64(0)
	for i := 0; i < 600; i++ { // one start per 200 ms for two minutes
		f.apply(200, terms, nil)
		j := f.join("a", fmt.Sprint("n", i), terms)
		if j.RefusedReason == "" {
			accepted++
		} else if longestWaitMS = max(longestWaitMS, j.RetryAfterMS); j.RetryAfterMS == 0 {
			t.Fatalf("join refused without a retry time: %+v", j)
		}
		if n := f.state.Lookup("a"); len(n.EarlierLeases) > maxEarlierLeases || len(n.JoinTimesMS) > maxJoinTimes {
			t.Fatalf("%d earlier leases and %d join times kept, want at most %d and %d", len(n.EarlierLeases),
				len(n.JoinTimesMS), maxEarlierLeases, maxJoinTimes)
		}
	}
	if accepted < 8 || accepted > 24 || longestWaitMS < 8000 || longestWaitMS > maxJoinBackoffMS {
		t.Errorf("%d of 600 joins accepted, longest backoff %d ms; want 8 to 24, and 8000 to %d ms", accepted,
			longestWaitMS, maxJoinBackoffMS)
	}
}

// TestLostLeaseIsNotCountedAsRestart: a process that repeatedly loses its lease, as on a machine that is paused, is not
// in a crash loop, so its joins must not back off.
func TestLostLeaseIsNotCountedAsRestart(t *testing.T) {
	f := newFleetTest(t)
	j := JoinResult{}
	for i := range 20 {
		if j = f.apply(LeaseSpanMS(terms.LeaseMS), terms, func(b *HeartbeatBatch) {
			nonce := fmt.Sprintf("proc-1-%d", i)
			b.Joins = []api.JoinRequest{{Name: "a", Zone: "z", Addr: "x", Nonce: nonce, SameProcess: i > 0}}
		}).Joins[0]; j.RefusedReason != "" {
			t.Fatalf("join %d refused: %s, retry after %d ms; want accepted", i, j.RefusedReason, j.RetryAfterMS)
		}
	}
	if n := f.state.Lookup("a"); len(n.JoinTimesMS) > 1 {
		t.Errorf("%d join times, want at most 1", len(n.JoinTimesMS))
	}
	for earlier, c := range map[string]struct {
		later string
		same  bool
	}{"proc-1-3": {"proc-1-4", true}, "proc-2-1": {"proc-1-1", false}, "x": {"x", false}, "": {"y-1", false}} {
		if IsSameProcess(earlier, c.later) != c.same {
			t.Errorf("IsSameProcess(%q, %q) = %v, want %v", earlier, c.later, !c.same, c.same)
		}
	}
}

// TestNewLeaderListensBeforeMarkingOut: a new leader has no heartbeats yet, and marking nodes out at once would stop
// the whole fleet. It must wait for the span of a lease, and the old leader's late batch must change nothing.
func TestNewLeaderListensBeforeMarkingOut(t *testing.T) {
	f := newFleetTest(t)
	j := f.join("a", "x", terms)
	old := &HeartbeatBatch{BatchesBefore: f.state.Batches, ElapsedMS: 3000, Renewals: []uint32{j.LeaseID}}
	f.apply(4000, terms, nil)
	f.term = 2
	if r := f.state.Apply(old, 1, terms); r.Applied || len(r.Granted) > 0 {
		t.Fatalf("result %+v of a batch that was built before another was applied, want it ignored", r)
	}
	if r := f.apply(3000, terms, nil); len(r.MarkedOut) != 0 {
		t.Errorf("the new leader's first batch marks out %v, want none", r.MarkedOut)
	}
	if r := f.apply(LeaseSpanMS(4000)+1, terms, nil); len(r.MarkedOut) != 1 {
		t.Errorf("marked out %v after a silent lease span under the new leader, want [a]", r.MarkedOut)
	}
}

// TestAutonomousNode: a silent autonomous node may serve under the older version indefinitely, so a change must wait
// until it sends a heartbeat, rejoins or is forgotten by an operator.
func TestAutonomousNode(t *testing.T) {
	autonomous := LeaseTerms{LeaseMS: 4000, Autonomous: true}
	f := newFleetTest(t)
	f.join("a", "x", autonomous)
	f.apply(100_000, autonomous, nil)
	if n := f.state.Lookup("a"); n.OutReason != OutSilent || !f.state.MayServeOlder(n, 1) {
		t.Fatalf("node %+v, want it out as silent and able to serve an older version", n)
	}
	f.join("a", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true, DecidedVersion: 1})
	f.apply(LeaseSpanMS(4000)+1, autonomous, nil)
	if n := f.state.Lookup("a"); len(n.EarlierLeases) != 0 {
		t.Errorf("earlier leases %+v after the lease span, want none", n.EarlierLeases)
	}
	f.apply(1, autonomous, func(b *HeartbeatBatch) { b.Forget = []string{"a"} })
	if f.state.Lookup("a") != nil || len(f.state.NodesServingOlder(9)) != 0 {
		t.Error("the node is still known or blocks a change after it was forgotten")
	}
}

// TestNodeTableIsBounded: a full table must not evict a node that may still serve. A snapshot of the full table must
// restore to the same state.
func TestNodeTableIsBounded(t *testing.T) {
	f := newFleetTest(t)
	var names []api.JoinRequest
	for i := 0; i < MaxNodes; i++ {
		name, nonce := fmt.Sprintf("n%05d", i), fmt.Sprintf("nonce-%05d", i)
		names = append(names, api.JoinRequest{Name: name, Zone: "z", Nonce: nonce})
	}
	f.apply(1, terms, func(b *HeartbeatBatch) { b.Joins = names })
	if j := f.join("one-more", "x", terms); j.RefusedReason == "" {
		t.Fatal("join accepted by a full table of live nodes, want refused")
	}
	f.apply(LeaseSpanMS(4000)+2, terms, nil)
	if j := f.join("one-more", "x", terms); j.RefusedReason != "" {
		t.Errorf("join = %+v after all nodes were marked out, want accepted", j)
	}
	raw, err := f.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(raw, again) {
		t.Errorf("the snapshot of the restored state differs (error %v)", err)
	}
	b := &HeartbeatBatch{BatchesBefore: restored.Batches, ElapsedMS: 5,
		Joins: []api.JoinRequest{{Name: "last", Zone: "z", Nonce: "nonce-last"}}}
	if x, y := f.state.Apply(b, 1, terms), restored.Apply(b, 1, terms); fmt.Sprint(x) != fmt.Sprint(y) {
		t.Errorf("result of the batch: original state %v, restored state %v, want equal", x, y)
	}
}

// TestBeginGeneration: nodes hold leases that a restored state does not know, so it must wait for all leases that an
// earlier generation may have granted.
func TestBeginGeneration(t *testing.T) {
	f := newFleetTest(t)
	a := f.join("a", "x", terms)
	f.join("b", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true})
	raw, err := f.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	known := []api.JoinRequest{{Name: "a", Zone: "z"}, {Name: "c", Zone: "y", Addr: "127.0.0.1:1"}}
	s.BeginGeneration(6000, false, known)
	f.state, f.term = s, 9
	if s.LeaseHolder(a.LeaseID) != nil {
		t.Fatal("LeaseHolder accepts a lease of the old generation, want none")
	}
	if older := fmt.Sprint(s.NodesServingOlder(1)); older != fmt.Sprint([]string{"a", "b", "c", UnknownNodes}) {
		t.Fatalf("NodesServingOlder(1) = %s, want all known nodes and the unknown ones", older)
	}
	j := f.join("a", "again", LeaseTerms{LeaseMS: 4000, DecidedVersion: 5})
	if j.RefusedReason != "" || j.LeaseID <= a.LeaseID+1000 {
		t.Fatalf("join = %+v, want a lease ID that no earlier generation granted", j)
	}
	f.apply(LeaseSpanMS(6000)-10, terms, nil)
	if len(s.NodesServingOlder(1)) == 0 || len(s.NodesOnOlderZoneEpoch(1)) == 0 {
		t.Fatal("leases of the old generation expired within their span")
	}
	f.apply(10, terms, nil)
	if older := fmt.Sprint(s.NodesServingOlder(1)); older != "[b]" { // b is autonomous
		t.Fatalf("NodesServingOlder(1) = %s, want [b]", older)
	}
	if raw, err = s.Snapshot(); err != nil {
		t.Fatal(err)
	}
	if s, err = Restore(raw); err != nil || s.UnknownLeasesExpireMS == 0 {
		t.Fatalf("restored UnknownLeasesExpireMS = %d (error %v), want it kept", s.UnknownLeasesExpireMS, err)
	}
}

// TestRestoreErrors: a truncated or corrupt snapshot is rejected with an error that wraps ErrSnapshot.
func TestRestoreErrors(t *testing.T) {
	for _, raw := range []string{"", `{"clock":-1}`, `{"nodes":[{"name":"b"},{"name":"a"}]}`} {
		if _, err := Restore([]byte(raw)); !errors.Is(err, ErrSnapshot) {
			t.Errorf("Restore(%q) = %v, want an error that wraps %v", raw, err, ErrSnapshot)
		}
	}
}

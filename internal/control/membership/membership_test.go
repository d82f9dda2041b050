package membership

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

var terms = LeaseTerms{LeaseMS: 4000}

// fleetTest applies batches to a state.
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

// TestSilentNodeKeepsLeaseUntilExpiry: a node falls silent. If the group counted its lease as run out while the node still acts on it, a change
// could settle beside a node that serves under the older version. The lease has to outlast its holder's own count, the
// holder has to be counted out after that, and what was counted out never comes back.
func TestSilentNodeKeepsLeaseUntilExpiry(t *testing.T) {
	f := newFleetTest(t)
	j := f.join("a", "x", terms)
	if r := f.apply(4000, terms, nil); len(r.CountedOut) > 0 || !f.state.MayServeOlder(f.state.Lookup("a"), 1) {
		t.Fatalf("counted out with its lease: %+v", r)
	}
	r := f.apply(LeaseSpanMS(4000)-4000+1, terms, nil)
	if len(r.CountedOut) != 1 || f.state.LeaseHolder(j.LeaseID) != nil || f.state.MayServeOlder(f.state.Lookup("a"), 1) {
		t.Fatalf("not counted out after it: %+v", r)
	}
	if r := f.apply(1, terms, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} }); len(r.Granted) != 0 {
		t.Errorf("what was counted out is renewed: %+v", r)
	}
	if repeated := f.join("a", "x", terms); repeated.RefusedReason == "" {
		t.Error("the incarnation that was counted out joins again")
	}
	if replacement := f.join("a", "y", terms); replacement.RefusedReason != "" || replacement.LeaseID == j.LeaseID {
		t.Errorf("another incarnation: %+v", replacement)
	}
}

// TestLeaseSpan: a node's clock may run a hundredth slower than the leader's, and a renewal is committed some ticks
// after it was asked for. The group's count of a lease has to be longer by both.
func TestLeaseSpan(t *testing.T) {
	for leaseMS, want := range map[uint64]uint64{1000: 1110, 4000: 4140, 10_000: 10_200} {
		if got := LeaseSpanMS(leaseMS); got != want {
			t.Errorf("a lease of %d ms is counted for %d ms, expected %d", leaseMS, got, want)
		}
	}
}

// TestShorterLeaseTermsKeepLongerLease: a policy with a shorter lease comes into force while a node is cut off. The node has not heard of
// it and acts on its longer lease, so the group has to count that one to its end.
func TestShorterLeaseTermsKeepLongerLease(t *testing.T) {
	f := newFleetTest(t)
	j := f.join("a", "x", LeaseTerms{LeaseMS: 10_000})
	f.apply(100, LeaseTerms{LeaseMS: 1000}, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} })
	f.apply(9000, LeaseTerms{LeaseMS: 1000}, nil)
	if !f.state.MayServeOlder(f.state.Lookup("a"), 1) {
		t.Error("a lease of 10 s is taken as run out after 9.1 s")
	}
}

// TestOnlyPromisingNodesAreRenewed: a version is decided, and one of two nodes has not heard so. If its lease were extended, it could serve
// under the older version for ever. Only the node that promises the decided version may get a longer lease.
func TestOnlyPromisingNodesAreRenewed(t *testing.T) {
	f := newFleetTest(t)
	a, b := f.join("a", "x", terms), f.join("b", "y", terms)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	r := f.apply(100, decided, func(x *HeartbeatBatch) {
		x.Renewals, x.Outdated = []uint32{a.LeaseID}, []uint32{b.LeaseID}
	})
	if !r.Granted[a.LeaseID] || r.Granted[b.LeaseID] {
		t.Fatalf("granted %v", r.Granted)
	}
	if got := f.state.NodesServingOlder(2); len(got) != 1 || got[0] != "b" {
		t.Errorf("may serve under an older one: %v, expected b", got)
	}
	// A batch made before the decision extends no lease after it.
	r = f.apply(100, decided, func(x *HeartbeatBatch) { x.MinVersion, x.Renewals = 1, []uint32{b.LeaseID} })
	if r.Granted[b.LeaseID] {
		t.Error("a renewal without the promise was granted")
	}
	f.apply(LeaseSpanMS(4000), decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{a.LeaseID} })
	if got := f.state.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("after a lease %v may still serve under an older one", got)
	}
}

// TestReplacedIncarnationKeepsLease: a node restarts within its lease, or two nodes have one name. The newest incarnation stands for
// the name, and a change still has to wait for the lease of the earlier one.
func TestReplacedIncarnationKeepsLease(t *testing.T) {
	f := newFleetTest(t)
	a := f.join("a", "x", terms)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	b := f.join("a", "y", decided)
	if f.state.LeaseHolder(a.LeaseID) != nil || f.state.LeaseHolder(b.LeaseID) == nil {
		t.Fatal("the first incarnation still counts, or the second does not")
	}
	if got := f.state.NodesServingOlder(2); len(got) != 1 {
		t.Errorf("the earlier incarnation is forgotten: %v", got)
	}
	f.apply(LeaseSpanMS(4000)+1, decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{b.LeaseID} })
	if got := f.state.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("after its lease it is still waited for: %v", got)
	}
}

// TestCrashLoopBacksOff: a node crashes and restarts in a loop. Each join is an entry of the log and delays decisions, so it has
// to wait longer each time, within the bound, and what is kept of it has to be bounded.
func TestCrashLoopBacksOff(t *testing.T) {
	f := newFleetTest(t)
	accepted, longestWaitMS := 0, uint64(0)
	for i := 0; i < 600; i++ { // a start each 200 ms for two minutes
		f.apply(200, terms, nil)
		j := f.join("a", fmt.Sprint("n", i), terms)
		if j.RefusedReason == "" {
			accepted++
		} else if longestWaitMS = max(longestWaitMS, j.RetryAfterMS); j.RetryAfterMS == 0 {
			t.Fatalf("refused without a time to come back: %+v", j)
		}
		if n := f.state.Lookup("a"); len(n.EarlierLeases) > maxEarlierLeases || len(n.JoinTimesMS) > maxJoinTimes {
			t.Fatalf("%d earlier leases, %d starts", len(n.EarlierLeases), len(n.JoinTimesMS))
		}
	}
	if accepted < 8 || accepted > 24 || longestWaitMS < 8000 || longestWaitMS > maxJoinBackoffMS {
		t.Errorf("%d starts taken of 600, longest wait %d ms; expected 8 to 24, 8 to 30 s", accepted, longestWaitMS)
	}
}

// TestLostLeaseIsNotCountedAsRestart: a process loses its lease over and over, as on a machine that is paused now and then. That is no crash
// loop: neither its joins nor a restart after them may wait.
func TestLostLeaseIsNotCountedAsRestart(t *testing.T) {
	f := newFleetTest(t)
	j := JoinResult{}
	for i := range 20 {
		if j = f.apply(LeaseSpanMS(terms.LeaseMS), terms, func(b *HeartbeatBatch) {
			nonce := fmt.Sprintf("proc-1-%d", i)
			b.Joins = []api.JoinRequest{{Name: "a", Zone: "z", Addr: "x", Nonce: nonce, SameProcess: i > 0}}
		}).Joins[0]; j.RefusedReason != "" {
			t.Fatalf("time %d: %s, %d ms", i, j.RefusedReason, j.RetryAfterMS)
		}
	}
	if n := f.state.Lookup("a"); len(n.JoinTimesMS) > 1 {
		t.Errorf("%d starts", len(n.JoinTimesMS))
	}
	for earlier, c := range map[string]struct {
		is   string
		same bool
	}{"proc-1-3": {"proc-1-4", true}, "proc-2-1": {"proc-1-1", false}, "x": {"x", false}, "": {"y-1", false}} {
		if IsSameProcess(earlier, c.is) != c.same {
			t.Errorf("%q and %q: expected %v", earlier, c.is, c.same)
		}
	}
}

// TestNewLeaderListensBeforeMarkingOut: the leader changes while nodes renew with the old one. The new one has heard nobody, and counting them
// out would stop the whole fleet: it has to listen for the span of a lease first, and the old leader's late batch must
// change nothing.
func TestNewLeaderListensBeforeMarkingOut(t *testing.T) {
	f := newFleetTest(t)
	j := f.join("a", "x", terms)
	old := &HeartbeatBatch{BatchesBefore: f.state.Batches, ElapsedMS: 3000, Renewals: []uint32{j.LeaseID}}
	f.apply(4000, terms, nil)
	f.term = 2
	if r := f.state.Apply(old, 1, terms); r.Applied || len(r.Granted) > 0 {
		t.Fatalf("a batch made before another counts: %+v", r)
	}
	if r := f.apply(3000, terms, nil); len(r.CountedOut) != 0 {
		t.Errorf("the new leader's first batch counts out %v", r.CountedOut)
	}
	if r := f.apply(LeaseSpanMS(4000)+1, terms, nil); len(r.CountedOut) != 1 {
		t.Error("who was silent for a lease since it leads is not counted out")
	}
}

// TestAutonomousNode: a node that may serve on without the group falls silent. No time bounds what it serves under,
// so a change has to wait until it is heard, begins anew or is forgotten by an operator.
func TestAutonomousNode(t *testing.T) {
	autonomous := LeaseTerms{LeaseMS: 4000, Autonomous: true}
	f := newFleetTest(t)
	f.join("a", "x", autonomous)
	f.apply(100_000, autonomous, nil)
	if n := f.state.Lookup("a"); n.OutReason != OutSilent || !f.state.MayServeOlder(n, 1) {
		t.Fatalf("%+v", n)
	}
	f.join("a", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true, DecidedVersion: 1})
	f.apply(LeaseSpanMS(4000)+1, autonomous, nil)
	if n := f.state.Lookup("a"); len(n.EarlierLeases) != 0 {
		t.Errorf("the earlier incarnation is waited for after a lease: %+v", n.EarlierLeases)
	}
	f.apply(1, autonomous, func(b *HeartbeatBatch) { b.Forget = []string{"a"} })
	if f.state.Lookup("a") != nil || len(f.state.NodesServingOlder(9)) != 0 {
		t.Error("it is not forgotten")
	}
}

// TestNodeTableIsBounded: more names come than the table holds. A name that may still serve must not be dropped for
// another; of those that are gone the longest gone goes. A snapshot of the full table restores to the same state.
func TestNodeTableIsBounded(t *testing.T) {
	f := newFleetTest(t)
	var names []api.JoinRequest
	for i := 0; i < MaxNodes; i++ {
		name, nonce := fmt.Sprintf("n%05d", i), fmt.Sprintf("nonce-%05d", i)
		names = append(names, api.JoinRequest{Name: name, Zone: "z", Nonce: nonce})
	}
	f.apply(1, terms, func(b *HeartbeatBatch) { b.Joins = names })
	if j := f.join("one-more", "x", terms); j.RefusedReason == "" {
		t.Fatal("one more than the bound joined while all may serve")
	}
	f.apply(LeaseSpanMS(4000)+2, terms, nil)
	if j := f.join("one-more", "x", terms); j.RefusedReason != "" {
		t.Errorf("after all were counted out: %+v", j)
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
		t.Errorf("loaded and saved it differs (%v)", err)
	}
	b := &HeartbeatBatch{BatchesBefore: restored.Batches, ElapsedMS: 5,
		Joins: []api.JoinRequest{{Name: "last", Zone: "z", Nonce: "nonce-last"}}}
	if x, y := f.state.Apply(b, 1, terms), restored.Apply(b, 1, terms); fmt.Sprint(x) != fmt.Sprint(y) {
		t.Errorf("the same batch does %v and %v", x, y)
	}
}

// TestBeginGeneration: a group is restored from an old state. Nodes hold leases that this state does not know, so it
// has to wait for all leases that an earlier generation may have granted, known here or not.
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
		t.Fatal("a lease of the old generation is one of the new")
	}
	if older := fmt.Sprint(s.NodesServingOlder(1)); older != fmt.Sprint([]string{"a", "b", "c", UnknownNodes}) {
		t.Fatalf("%s may serve under an older version, expected all that are known and those that are not", older)
	}
	j := f.join("a", "again", LeaseTerms{LeaseMS: 4000, DecidedVersion: 5})
	if j.RefusedReason != "" || j.LeaseID <= a.LeaseID+1000 {
		t.Fatalf("%+v, expected a number that no earlier generation gave", j)
	}
	f.apply(LeaseSpanMS(6000)-10, terms, nil)
	if len(s.NodesServingOlder(1)) == 0 || len(s.NodesOnOlderZoneEpoch(1)) == 0 {
		t.Fatal("a lease of the old generation was counted as run out before its time")
	}
	f.apply(10, terms, nil)
	if older := fmt.Sprint(s.NodesServingOlder(1)); older != "[b]" { // it may go on alone for ever
		t.Fatalf("%s, expected b alone", older)
	}
	if raw, err = s.Snapshot(); err != nil {
		t.Fatal(err)
	}
	if s, err = Restore(raw); err != nil || s.UnknownLeasesExpireMS == 0 {
		t.Fatalf("%v, hush %d: expected it kept", err, s.UnknownLeasesExpireMS)
	}
}

// TestRestoreErrors: a torn or spoilt snapshot is refused by an error that callers can tell from others.
func TestRestoreErrors(t *testing.T) {
	for _, raw := range []string{"", `{"clock":-1}`, `{"nodes":[{"name":"b"},{"name":"a"}]}`} {
		if _, err := Restore([]byte(raw)); !errors.Is(err, ErrSnapshot) {
			t.Errorf("%q: found %v, expected one that wraps %v", raw, err, ErrSnapshot)
		}
	}
}

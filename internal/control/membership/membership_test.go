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
	s    *State
	term uint64
}

func (w *fleetTest) apply(ms uint64, g LeaseTerms, change func(*HeartbeatBatch)) BatchResult {
	w.Helper()
	b := &HeartbeatBatch{BatchesBefore: w.s.Batches, ElapsedMS: ms, MinVersion: g.DecidedVersion}
	if change != nil {
		change(b)
	}
	return w.s.Apply(b, w.term, g)
}

func (w *fleetTest) join(name, nonce string, g LeaseTerms) JoinResult {
	w.Helper()
	return w.apply(1, g, func(b *HeartbeatBatch) {
		b.Joins = []api.JoinRequest{{Name: name, Zone: "z", Nonce: nonce + "-00000000"}}
	}).Joins[0]
}

func newFleetTest(t *testing.T) *fleetTest { return &fleetTest{t, New(), 1} }

// TestLeases: a node falls silent. If the group counted its lease as run out while the node still acts on it, a change
// could settle beside a node that serves under the older version. The lease has to outlast its holder's own count, the
// holder has to be counted out after that, and what was counted out never comes back.
func TestLeases(t *testing.T) {
	w := newFleetTest(t)
	j := w.join("a", "x", terms)
	if r := w.apply(4000, terms, nil); len(r.CountedOut) > 0 || !w.s.MayServeOlder(w.s.Lookup("a"), 1) {
		t.Fatalf("counted out with its lease: %+v", r)
	}
	r := w.apply(LeaseSpanMS(4000)-4000+1, terms, nil)
	if len(r.CountedOut) != 1 || w.s.LeaseHolder(j.LeaseID) != nil || w.s.MayServeOlder(w.s.Lookup("a"), 1) {
		t.Fatalf("not counted out after it: %+v", r)
	}
	if r := w.apply(1, terms, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} }); len(r.Granted) != 0 {
		t.Errorf("what was counted out is renewed: %+v", r)
	}
	if again := w.join("a", "x", terms); again.RefusedReason == "" {
		t.Error("the incarnation that was counted out joins again")
	}
	if next := w.join("a", "y", terms); next.RefusedReason != "" || next.LeaseID == j.LeaseID {
		t.Errorf("another incarnation: %+v", next)
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

// TestShorterLease: a policy with a shorter lease comes into force while a node is cut off. The node has not heard of
// it and acts on its longer lease, so the group has to count that one to its end.
func TestShorterLease(t *testing.T) {
	w := newFleetTest(t)
	j := w.join("a", "x", LeaseTerms{LeaseMS: 10_000})
	w.apply(100, LeaseTerms{LeaseMS: 1000}, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} })
	w.apply(9000, LeaseTerms{LeaseMS: 1000}, nil)
	if !w.s.MayServeOlder(w.s.Lookup("a"), 1) {
		t.Error("a lease of 10 s is taken as run out after 9.1 s")
	}
}

// TestPromises: a version is decided, and one of two nodes has not heard so. If its lease were extended, it could serve
// under the older version for ever. Only the node that promises the decided version may get a longer lease.
func TestPromises(t *testing.T) {
	w := newFleetTest(t)
	a, b := w.join("a", "x", terms), w.join("b", "y", terms)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	r := w.apply(100, decided, func(x *HeartbeatBatch) {
		x.Renewals, x.Outdated = []uint32{a.LeaseID}, []uint32{b.LeaseID}
	})
	if !r.Granted[a.LeaseID] || r.Granted[b.LeaseID] {
		t.Fatalf("granted %v", r.Granted)
	}
	if got := w.s.NodesServingOlder(2); len(got) != 1 || got[0] != "b" {
		t.Errorf("may serve under an older one: %v, expected b", got)
	}
	// A batch made before the decision extends no lease after it.
	r = w.apply(100, decided, func(x *HeartbeatBatch) { x.MinVersion, x.Renewals = 1, []uint32{b.LeaseID} })
	if r.Granted[b.LeaseID] {
		t.Error("a renewal without the promise was granted")
	}
	w.apply(LeaseSpanMS(4000), decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{a.LeaseID} })
	if got := w.s.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("after a lease %v may still serve under an older one", got)
	}
}

// TestNamesUsedTwice: a node restarts within its lease, or two nodes have one name. The newest incarnation stands for
// the name, and a change still has to wait for the lease of the earlier one.
func TestNamesUsedTwice(t *testing.T) {
	w := newFleetTest(t)
	a := w.join("a", "x", terms)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	b := w.join("a", "y", decided)
	if w.s.LeaseHolder(a.LeaseID) != nil || w.s.LeaseHolder(b.LeaseID) == nil {
		t.Fatal("the first incarnation still counts, or the second does not")
	}
	if got := w.s.NodesServingOlder(2); len(got) != 1 {
		t.Errorf("the earlier incarnation is forgotten: %v", got)
	}
	w.apply(LeaseSpanMS(4000)+1, decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{b.LeaseID} })
	if got := w.s.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("after its lease it is still waited for: %v", got)
	}
}

// TestFlapping: a node crashes and restarts in a loop. Each join is an entry of the log and delays decisions, so it has
// to wait longer each time, within the bound, and what is kept of it has to be bounded.
func TestFlapping(t *testing.T) {
	w := newFleetTest(t)
	taken, longest := 0, uint64(0)
	for at := 0; at < 600; at++ { // a start each 200 ms for two minutes
		w.apply(200, terms, nil)
		j := w.join("a", fmt.Sprint("n", at), terms)
		if j.RefusedReason == "" {
			taken++
		} else if longest = max(longest, j.RetryAfterMS); j.RetryAfterMS == 0 {
			t.Fatalf("refused without a time to come back: %+v", j)
		}
		if n := w.s.Lookup("a"); len(n.EarlierLeases) > maxEarlierLeases || len(n.JoinTimesMS) > maxJoinTimes {
			t.Fatalf("%d earlier leases, %d starts", len(n.EarlierLeases), len(n.JoinTimesMS))
		}
	}
	if taken < 8 || taken > 24 || longest < 8000 || longest > maxJoinBackoffMS {
		t.Errorf("%d starts taken of 600, longest wait %d ms; expected 8 to 24, 8 to 30 s", taken, longest)
	}
}

// TestLeaseLost: a process loses its lease over and over, as on a machine that is paused now and then. That is no crash
// loop: neither its joins nor a restart after them may wait.
func TestLeaseLost(t *testing.T) {
	w := newFleetTest(t)
	j := JoinResult{}
	for i := range 20 {
		if j = w.apply(LeaseSpanMS(terms.LeaseMS), terms, func(b *HeartbeatBatch) {
			nonce := fmt.Sprintf("proc-1-%d", i)
			b.Joins = []api.JoinRequest{{Name: "a", Zone: "z", Addr: "x", Nonce: nonce, SameProcess: i > 0}}
		}).Joins[0]; j.RefusedReason != "" {
			t.Fatalf("time %d: %s, %d ms", i, j.RefusedReason, j.RetryAfterMS)
		}
	}
	if n := w.s.Lookup("a"); len(n.JoinTimesMS) > 1 {
		t.Errorf("%d starts", len(n.JoinTimesMS))
	}
	for was, c := range map[string]struct {
		is   string
		same bool
	}{"proc-1-3": {"proc-1-4", true}, "proc-2-1": {"proc-1-1", false}, "x": {"x", false}, "": {"y-1", false}} {
		if IsSameProcess(was, c.is) != c.same {
			t.Errorf("%q and %q: expected %v", was, c.is, c.same)
		}
	}
}

// TestNewLeader: the leader changes while nodes renew with the old one. The new one has heard nobody, and counting them
// out would stop the whole fleet: it has to listen for the span of a lease first, and the old leader's late batch must
// change nothing.
func TestNewLeader(t *testing.T) {
	w := newFleetTest(t)
	j := w.join("a", "x", terms)
	old := &HeartbeatBatch{BatchesBefore: w.s.Batches, ElapsedMS: 3000, Renewals: []uint32{j.LeaseID}}
	w.apply(4000, terms, nil)
	w.term = 2
	if r := w.s.Apply(old, 1, terms); r.Applied || len(r.Granted) > 0 {
		t.Fatalf("a batch made before another counts: %+v", r)
	}
	if r := w.apply(3000, terms, nil); len(r.CountedOut) != 0 {
		t.Errorf("the new leader's first batch counts out %v", r.CountedOut)
	}
	if r := w.apply(LeaseSpanMS(4000)+1, terms, nil); len(r.CountedOut) != 1 {
		t.Error("who was silent for a lease since it leads is not counted out")
	}
}

// TestAutonomousNode: a node that may serve on without the group falls silent. No time bounds what it serves under,
// so a change has to wait until it is heard, begins anew or is forgotten by an operator.
func TestAutonomousNode(t *testing.T) {
	alone := LeaseTerms{LeaseMS: 4000, Autonomous: true}
	w := newFleetTest(t)
	w.join("a", "x", alone)
	w.apply(100_000, alone, nil)
	if n := w.s.Lookup("a"); n.OutReason != OutSilent || !w.s.MayServeOlder(n, 1) {
		t.Fatalf("%+v", n)
	}
	w.join("a", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true, DecidedVersion: 1})
	w.apply(LeaseSpanMS(4000)+1, alone, nil)
	if n := w.s.Lookup("a"); len(n.EarlierLeases) != 0 {
		t.Errorf("the earlier incarnation is waited for after a lease: %+v", n.EarlierLeases)
	}
	w.apply(1, alone, func(b *HeartbeatBatch) { b.Forget = []string{"a"} })
	if w.s.Lookup("a") != nil || len(w.s.NodesServingOlder(9)) != 0 {
		t.Error("it is not forgotten")
	}
}

// TestTableIsBounded: more names come than the table holds. A name that may still serve must not be dropped for
// another; of those that are gone the longest gone goes. A snapshot of the full table restores to the same state.
func TestTableIsBounded(t *testing.T) {
	w := newFleetTest(t)
	var names []api.JoinRequest
	for i := 0; i < MaxNodes; i++ {
		name, nonce := fmt.Sprintf("n%05d", i), fmt.Sprintf("nonce-%05d", i)
		names = append(names, api.JoinRequest{Name: name, Zone: "z", Nonce: nonce})
	}
	w.apply(1, terms, func(b *HeartbeatBatch) { b.Joins = names })
	if j := w.join("one-more", "x", terms); j.RefusedReason == "" {
		t.Fatal("one more than the bound joined while all may serve")
	}
	w.apply(LeaseSpanMS(4000)+2, terms, nil)
	if j := w.join("one-more", "x", terms); j.RefusedReason != "" {
		t.Errorf("after all were counted out: %+v", j)
	}
	raw, err := w.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	o, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	again, err := o.Snapshot()
	if err != nil || !bytes.Equal(raw, again) {
		t.Errorf("loaded and saved it differs (%v)", err)
	}
	b := &HeartbeatBatch{BatchesBefore: o.Batches, ElapsedMS: 5,
		Joins: []api.JoinRequest{{Name: "last", Zone: "z", Nonce: "nonce-last"}}}
	if x, y := w.s.Apply(b, 1, terms), o.Apply(b, 1, terms); fmt.Sprint(x) != fmt.Sprint(y) {
		t.Errorf("the same batch does %v and %v", x, y)
	}
}

// TestBeginGeneration: a group is restored from an old state. Nodes hold leases that this state does not know, so it
// has to wait for all leases that an earlier generation may have granted, known here or not.
func TestBeginGeneration(t *testing.T) {
	w := newFleetTest(t)
	a := w.join("a", "x", terms)
	w.join("b", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true})
	raw, err := w.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	known := []api.JoinRequest{{Name: "a", Zone: "z"}, {Name: "c", Zone: "y", Addr: "127.0.0.1:1"}}
	s.BeginGeneration(6000, false, known)
	w.s, w.term = s, 9
	if s.LeaseHolder(a.LeaseID) != nil {
		t.Fatal("a lease of the old generation is one of the new")
	}
	if under := fmt.Sprint(s.NodesServingOlder(1)); under != fmt.Sprint([]string{"a", "b", "c", UnknownNodes}) {
		t.Fatalf("%s may serve under an older version, expected all that are known and those that are not", under)
	}
	j := w.join("a", "again", LeaseTerms{LeaseMS: 4000, DecidedVersion: 5})
	if j.RefusedReason != "" || j.LeaseID <= a.LeaseID+1000 {
		t.Fatalf("%+v, expected a number that no earlier generation gave", j)
	}
	w.apply(LeaseSpanMS(6000)-10, terms, nil)
	if len(s.NodesServingOlder(1)) == 0 || len(s.NodesOnOlderZoneEpoch(1)) == 0 {
		t.Fatal("a lease of the old generation was counted as run out before its time")
	}
	w.apply(10, terms, nil)
	if under := fmt.Sprint(s.NodesServingOlder(1)); under != "[b]" { // it may go on alone for ever
		t.Fatalf("%s, expected b alone", under)
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

package membership

import (
	"bytes"
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

var grant = LeaseTerms{LeaseMS: 4000}

// world is a state with beats put to it.
type world struct {
	*testing.T
	s    *State
	term uint64
}

func (w *world) beat(ms uint64, g LeaseTerms, change func(*HeartbeatBatch)) BatchResult {
	w.Helper()
	b := &HeartbeatBatch{BatchesBefore: w.s.Batches, ElapsedMS: ms, MinVersion: g.DecidedVersion}
	if change != nil {
		change(b)
	}
	return w.s.Apply(b, w.term, g)
}

func (w *world) join(name, nonce string, g LeaseTerms) JoinResult {
	w.Helper()
	return w.beat(1, g, func(b *HeartbeatBatch) {
		b.Joins = []api.JoinRequest{{Name: name, Zone: "z", Nonce: nonce + "-00000000"}}
	}).Joins[0]
}

func fresh(t *testing.T) *world { return &world{t, New(), 1} }

// TestLeases: a lease outlasts its holder's count of it, and its holder is counted out after that.
func TestLeases(t *testing.T) {
	w := fresh(t)
	j := w.join("a", "x", grant)
	if r := w.beat(4000, grant, nil); len(r.WentSilent) > 0 || !w.s.MayServeOlder(w.s.Lookup("a"), 1) {
		t.Fatalf("counted out with its lease: %+v", r)
	}
	if r := w.beat(LeaseSpanMS(4000)-4000+1, grant, nil); len(r.WentSilent) != 1 || w.s.LeaseHolder(j.LeaseID) != nil || w.s.MayServeOlder(w.s.Lookup("a"), 1) {
		t.Fatalf("not counted out after it: %+v", r)
	}
	if r := w.beat(1, grant, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} }); len(r.Granted) != 0 {
		t.Errorf("what was counted out is renewed: %+v", r)
	}
	if again := w.join("a", "x", grant); again.RefusedReason == "" {
		t.Error("the incarnation that was counted out joins again")
	}
	if next := w.join("a", "y", grant); next.RefusedReason != "" || next.LeaseID == j.LeaseID {
		t.Errorf("another incarnation: %+v", next)
	}
}

// TestShorterLease: a policy with a shorter lease takes no time back from what was granted before, as its holder may
// not have heard.
func TestShorterLease(t *testing.T) {
	w := fresh(t)
	j := w.join("a", "x", LeaseTerms{LeaseMS: 10_000})
	w.beat(100, LeaseTerms{LeaseMS: 1000}, func(b *HeartbeatBatch) { b.Renewals = []uint32{j.LeaseID} })
	w.beat(9000, LeaseTerms{LeaseMS: 1000}, nil)
	if !w.s.MayServeOlder(w.s.Lookup("a"), 1) {
		t.Error("a lease of 10 s is taken as run out after 9.1 s")
	}
}

// TestPromises: after a decision only who promises it gets time.
func TestPromises(t *testing.T) {
	w := fresh(t)
	a, b := w.join("a", "x", grant), w.join("b", "y", grant)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	r := w.beat(100, decided, func(x *HeartbeatBatch) { x.Renewals, x.Outdated = []uint32{a.LeaseID}, []uint32{b.LeaseID} })
	if !r.Granted[a.LeaseID] || r.Granted[b.LeaseID] {
		t.Fatalf("granted %v", r.Granted)
	}
	if got := w.s.NodesServingOlder(2); len(got) != 1 || got[0] != "b" {
		t.Errorf("may serve under an older one: %v, expected b", got)
	}
	// A beat made before the decision brings nobody time after it.
	r = w.beat(100, decided, func(x *HeartbeatBatch) { x.MinVersion, x.Renewals = 1, []uint32{b.LeaseID} })
	if r.Granted[b.LeaseID] {
		t.Error("a renewal without the promise was granted")
	}
	w.beat(LeaseSpanMS(4000), decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{a.LeaseID} })
	if got := w.s.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("after a lease %v may still serve under an older one", got)
	}
}

// TestNamesUsedTwice: the newest incarnation stands for a name, and what an earlier one may do is kept in mind.
func TestNamesUsedTwice(t *testing.T) {
	w := fresh(t)
	a := w.join("a", "x", grant)
	decided := LeaseTerms{LeaseMS: 4000, DecidedVersion: 2}
	b := w.join("a", "y", decided)
	if w.s.LeaseHolder(a.LeaseID) != nil || w.s.LeaseHolder(b.LeaseID) == nil {
		t.Fatal("the first incarnation still counts, or the second does not")
	}
	if got := w.s.NodesServingOlder(2); len(got) != 1 {
		t.Errorf("the earlier incarnation is forgotten: %v", got)
	}
	w.beat(LeaseSpanMS(4000)+1, decided, func(x *HeartbeatBatch) { x.Renewals = []uint32{b.LeaseID} })
	if got := w.s.NodesServingOlder(2); len(got) != 0 {
		t.Errorf("after its lease it is still waited for: %v", got)
	}
}

// TestFlapping: a name that begins again and again waits longer each time, within the bound, and its table is bounded.
func TestFlapping(t *testing.T) {
	w := fresh(t)
	taken, longest := 0, uint64(0)
	for at := 0; at < 600; at++ { // a start each 200 ms for two minutes
		w.beat(200, grant, nil)
		j := w.join("a", fmt.Sprint("n", at), grant)
		if j.RefusedReason == "" {
			taken++
		} else if longest = max(longest, j.RetryAfterMS); j.RetryAfterMS == 0 {
			t.Fatalf("refused without a time to come back: %+v", j)
		}
		if n := w.s.Lookup("a"); len(n.EarlierLeases) > maxEarlierLeases || len(n.JoinTimesMS) > maxJoinTimes {
			t.Fatalf("%d earlier leases, %d starts", len(n.EarlierLeases), len(n.JoinTimesMS))
		}
	}
	if taken < 8 || taken > 24 || longest < 8000 || longest > maxJoinWaitMS {
		t.Errorf("%d starts taken of 600, longest wait %d ms; expected 8 to 24, 8 to 30 s", taken, longest)
	}
}

// TestLeaseLost: a process that loses its lease over and over, as on a machine that stands still now and then, is no start: it
// waits for nobody, and a restart after it neither.
func TestLeaseLost(t *testing.T) {
	w := fresh(t)
	j := JoinResult{}
	for i := range 20 {
		if j = w.beat(LeaseSpanMS(grant.LeaseMS), grant, func(b *HeartbeatBatch) {
			b.Joins = []api.JoinRequest{{Name: "a", Zone: "z", Addr: "x", Nonce: fmt.Sprintf("proc-1-%d", i), SameProcess: i > 0}}
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

// TestNewLeader: it counts nobody out that it has not listened for, and an old leader's beat counts for nothing.
func TestNewLeader(t *testing.T) {
	w := fresh(t)
	j := w.join("a", "x", grant)
	old := &HeartbeatBatch{BatchesBefore: w.s.Batches, ElapsedMS: 3000, Renewals: []uint32{j.LeaseID}}
	w.beat(4000, grant, nil)
	w.term = 2
	if r := w.s.Apply(old, 1, grant); r.Counted || len(r.Granted) > 0 {
		t.Fatalf("a beat made before another counts: %+v", r)
	}
	if r := w.beat(3000, grant, nil); len(r.WentSilent) != 0 {
		t.Errorf("the new leader's first beat counts out %v", r.WentSilent)
	}
	if r := w.beat(LeaseSpanMS(4000)+1, grant, nil); len(r.WentSilent) != 1 {
		t.Error("who was silent for a lease since it leads is not counted out")
	}
}

// TestGoesOnAlone: who may go on alone is never counted as done until it is heard, begins anew, or is forgotten.
func TestGoesOnAlone(t *testing.T) {
	alone := LeaseTerms{LeaseMS: 4000, Autonomous: true}
	w := fresh(t)
	w.join("a", "x", alone)
	w.beat(100_000, alone, nil)
	if n := w.s.Lookup("a"); n.OutReason != OutSilent || !w.s.MayServeOlder(n, 1) {
		t.Fatalf("%+v", n)
	}
	w.join("a", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true, DecidedVersion: 1})
	w.beat(LeaseSpanMS(4000)+1, alone, nil)
	if n := w.s.Lookup("a"); len(n.EarlierLeases) != 0 {
		t.Errorf("the earlier incarnation is waited for after a lease: %+v", n.EarlierLeases)
	}
	w.beat(1, alone, func(b *HeartbeatBatch) { b.Forget = []string{"a"} })
	if w.s.Lookup("a") != nil || len(w.s.NodesServingOlder(9)) != 0 {
		t.Error("it is not forgotten")
	}
}

// TestTableIsBounded: past the bound the longest gone go, never one that may serve; a saved state is the same.
func TestTableIsBounded(t *testing.T) {
	w := fresh(t)
	var names []api.JoinRequest
	for i := 0; i < MaxNodes; i++ {
		names = append(names, api.JoinRequest{Name: fmt.Sprintf("n%05d", i), Zone: "z", Nonce: fmt.Sprintf("nonce-%05d", i)})
	}
	w.beat(1, grant, func(b *HeartbeatBatch) { b.Joins = names })
	if j := w.join("one-more", "x", grant); j.RefusedReason == "" {
		t.Fatal("one more than the bound joined while all may serve")
	}
	w.beat(LeaseSpanMS(4000)+2, grant, nil)
	if j := w.join("one-more", "x", grant); j.RefusedReason != "" {
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
	b := &HeartbeatBatch{BatchesBefore: o.Batches, ElapsedMS: 5, Joins: []api.JoinRequest{{Name: "last", Zone: "z", Nonce: "nonce-last"}}}
	if x, y := w.s.Apply(b, 1, grant), o.Apply(b, 1, grant); fmt.Sprint(x) != fmt.Sprint(y) {
		t.Errorf("the same beat does %v and %v", x, y)
	}
}

// TestRestore: a restored fleet counts on no lease having run out that an earlier generation gave, known here or not.
func TestRestore(t *testing.T) {
	w := fresh(t)
	a := w.join("a", "x", grant)
	w.join("b", "y", LeaseTerms{LeaseMS: 4000, Autonomous: true})
	raw, err := w.s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	s.BeginGeneration(6000, false, []api.JoinRequest{{Name: "a", Zone: "z"}, {Name: "c", Zone: "y", Addr: "127.0.0.1:1"}})
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
	w.beat(LeaseSpanMS(6000)-10, grant, nil)
	if len(s.NodesServingOlder(1)) == 0 || len(s.NodesOnOlderZoneEpoch(1)) == 0 {
		t.Fatal("a lease of the old generation was counted as run out before its time")
	}
	w.beat(10, grant, nil)
	if under := fmt.Sprint(s.NodesServingOlder(1)); under != "[b]" { // it may go on alone for ever
		t.Fatalf("%s, expected b alone", under)
	}
	if raw, err = s.Snapshot(); err != nil {
		t.Fatal(err)
	}
	if s, err = Restore(raw); err != nil || s.UnknownLeasesUntilMS == 0 {
		t.Fatalf("%v, hush %d: expected it kept", err, s.UnknownLeasesUntilMS)
	}
}

package membership

import (
	"bytes"
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

var grant = Grant{LeaseMS: 4000}

// world is a state with beats put to it.
type world struct {
	*testing.T
	s    *State
	term uint64
}

func (w *world) beat(ms uint64, g Grant, change func(*Beat)) Result {
	w.Helper()
	b := &Beat{After: w.s.Beats, Span: ms, Floor: g.Need}
	if change != nil {
		change(b)
	}
	return w.s.Apply(b, w.term, g)
}

func (w *world) join(name, nonce string, g Grant) Joined {
	w.Helper()
	return w.beat(1, g, func(b *Beat) { b.Join = []api.JoinRequest{{Name: name, Zone: "z", Nonce: nonce + "-00000000"}} }).Joined[0]
}

func fresh(t *testing.T) *world { return &world{t, New(), 1} }

// TestLeases: a lease outlasts its holder's count of it, and its holder is counted out after that.
func TestLeases(t *testing.T) {
	w := fresh(t)
	j := w.join("a", "x", grant)
	if r := w.beat(4000, grant, nil); len(r.Silenced) > 0 || !w.s.May(w.s.Named("a"), 1) {
		t.Fatalf("counted out with its lease: %+v", r)
	}
	if r := w.beat(Span(4000)-4000+1, grant, nil); len(r.Silenced) != 1 || w.s.In(j.Lease) != nil || w.s.May(w.s.Named("a"), 1) {
		t.Fatalf("not counted out after it: %+v", r)
	}
	if r := w.beat(1, grant, func(b *Beat) { b.Renew = []uint32{j.Lease} }); len(r.Granted) != 0 {
		t.Errorf("what was counted out is renewed: %+v", r)
	}
	if again := w.join("a", "x", grant); again.Refused == "" {
		t.Error("the incarnation that was counted out joins again")
	}
	if next := w.join("a", "y", grant); next.Refused != "" || next.Lease == j.Lease {
		t.Errorf("another incarnation: %+v", next)
	}
}

// TestShorterLease: a policy with a shorter lease takes no time back from what was granted before, as its holder may
// not have heard.
func TestShorterLease(t *testing.T) {
	w := fresh(t)
	j := w.join("a", "x", Grant{LeaseMS: 10_000})
	w.beat(100, Grant{LeaseMS: 1000}, func(b *Beat) { b.Renew = []uint32{j.Lease} })
	w.beat(9000, Grant{LeaseMS: 1000}, nil)
	if !w.s.May(w.s.Named("a"), 1) {
		t.Error("a lease of 10 s is taken as run out after 9.1 s")
	}
}

// TestPromises: after a decision only who promises it gets time.
func TestPromises(t *testing.T) {
	w := fresh(t)
	a, b := w.join("a", "x", grant), w.join("b", "y", grant)
	decided := Grant{LeaseMS: 4000, Need: 2}
	r := w.beat(100, decided, func(x *Beat) { x.Renew, x.Behind = []uint32{a.Lease}, []uint32{b.Lease} })
	if !r.Granted[a.Lease] || r.Granted[b.Lease] {
		t.Fatalf("granted %v", r.Granted)
	}
	if got := w.s.Under(2); len(got) != 1 || got[0] != "b" {
		t.Errorf("may serve under an older one: %v, expected b", got)
	}
	// A beat made before the decision brings nobody time after it.
	r = w.beat(100, decided, func(x *Beat) { x.Floor, x.Renew = 1, []uint32{b.Lease} })
	if r.Granted[b.Lease] {
		t.Error("a renewal without the promise was granted")
	}
	w.beat(Span(4000), decided, func(x *Beat) { x.Renew = []uint32{a.Lease} })
	if got := w.s.Under(2); len(got) != 0 {
		t.Errorf("after a lease %v may still serve under an older one", got)
	}
}

// TestNamesUsedTwice: the newest incarnation stands for a name, and what an earlier one may do is kept in mind.
func TestNamesUsedTwice(t *testing.T) {
	w := fresh(t)
	a := w.join("a", "x", grant)
	decided := Grant{LeaseMS: 4000, Need: 2}
	b := w.join("a", "y", decided)
	if w.s.In(a.Lease) != nil || w.s.In(b.Lease) == nil {
		t.Fatal("the first incarnation still counts, or the second does not")
	}
	if got := w.s.Under(2); len(got) != 1 {
		t.Errorf("the earlier incarnation is forgotten: %v", got)
	}
	w.beat(Span(4000)+1, decided, func(x *Beat) { x.Renew = []uint32{b.Lease} })
	if got := w.s.Under(2); len(got) != 0 {
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
		if j.Refused == "" {
			taken++
		} else if longest = max(longest, j.Wait); j.Wait == 0 {
			t.Fatalf("refused without a time to come back: %+v", j)
		}
		if n := w.s.Named("a"); len(n.Old) > maxOld || len(n.Starts) > maxStarts {
			t.Fatalf("%d earlier leases, %d starts", len(n.Old), len(n.Starts))
		}
	}
	if taken < 8 || taken > 24 || longest < 8000 || longest > flapMost {
		t.Errorf("%d starts taken of 600, longest wait %d ms; expected 8 to 24, 8 to 30 s", taken, longest)
	}
}

// TestLeaseLost: a process that loses its lease over and over, as on a machine that stands still now and then, is no start: it
// waits for nobody, and a restart after it neither.
func TestLeaseLost(t *testing.T) {
	w := fresh(t)
	j := Joined{}
	for i := range 20 {
		if j = w.beat(Span(grant.LeaseMS), grant, func(b *Beat) {
			b.Join = []api.JoinRequest{{Name: "a", Zone: "z", Addr: "x", Nonce: fmt.Sprintf("proc-1-%d", i), SameProcess: i > 0}}
		}).Joined[0]; j.Refused != "" {
			t.Fatalf("time %d: %s, %d ms", i, j.Refused, j.Wait)
		}
	}
	if n := w.s.Named("a"); len(n.Starts) > 1 {
		t.Errorf("%d starts", len(n.Starts))
	}
	for was, c := range map[string]struct {
		is   string
		same bool
	}{"proc-1-3": {"proc-1-4", true}, "proc-2-1": {"proc-1-1", false}, "x": {"x", false}, "": {"y-1", false}} {
		if SameProcess(was, c.is) != c.same {
			t.Errorf("%q and %q: expected %v", was, c.is, c.same)
		}
	}
}

// TestNewLeader: it counts nobody out that it has not listened for, and an old leader's beat counts for nothing.
func TestNewLeader(t *testing.T) {
	w := fresh(t)
	j := w.join("a", "x", grant)
	old := &Beat{After: w.s.Beats, Span: 3000, Renew: []uint32{j.Lease}}
	w.beat(4000, grant, nil)
	w.term = 2
	if r := w.s.Apply(old, 1, grant); r.Counted || len(r.Granted) > 0 {
		t.Fatalf("a beat made before another counts: %+v", r)
	}
	if r := w.beat(3000, grant, nil); len(r.Silenced) != 0 {
		t.Errorf("the new leader's first beat counts out %v", r.Silenced)
	}
	if r := w.beat(Span(4000)+1, grant, nil); len(r.Silenced) != 1 {
		t.Error("who was silent for a lease since it leads is not counted out")
	}
}

// TestGoesOnAlone: who may go on alone is never counted as done until it is heard, begins anew, or is forgotten.
func TestGoesOnAlone(t *testing.T) {
	alone := Grant{LeaseMS: 4000, Alone: true}
	w := fresh(t)
	w.join("a", "x", alone)
	w.beat(100_000, alone, nil)
	if n := w.s.Named("a"); n.Out != Silent || !w.s.May(n, 1) {
		t.Fatalf("%+v", n)
	}
	w.join("a", "y", Grant{LeaseMS: 4000, Alone: true, Need: 1})
	w.beat(Span(4000)+1, alone, nil)
	if n := w.s.Named("a"); len(n.Old) != 0 {
		t.Errorf("the earlier incarnation is waited for after a lease: %+v", n.Old)
	}
	w.beat(1, alone, func(b *Beat) { b.Forget = []string{"a"} })
	if w.s.Named("a") != nil || len(w.s.Under(9)) != 0 {
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
	w.beat(1, grant, func(b *Beat) { b.Join = names })
	if j := w.join("one-more", "x", grant); j.Refused == "" {
		t.Fatal("one more than the bound joined while all may serve")
	}
	w.beat(Span(4000)+2, grant, nil)
	if j := w.join("one-more", "x", grant); j.Refused != "" {
		t.Errorf("after all were counted out: %+v", j)
	}
	raw, err := w.s.Save()
	if err != nil {
		t.Fatal(err)
	}
	o, err := Load(raw)
	if err != nil {
		t.Fatal(err)
	}
	again, err := o.Save()
	if err != nil || !bytes.Equal(raw, again) {
		t.Errorf("loaded and saved it differs (%v)", err)
	}
	b := &Beat{After: o.Beats, Span: 5, Join: []api.JoinRequest{{Name: "last", Zone: "z", Nonce: "nonce-last"}}}
	if x, y := w.s.Apply(b, 1, grant), o.Apply(b, 1, grant); fmt.Sprint(x) != fmt.Sprint(y) {
		t.Errorf("the same beat does %v and %v", x, y)
	}
}

// TestRestore: a restored fleet counts on no lease having run out that an earlier generation gave, known here or not.
func TestRestore(t *testing.T) {
	w := fresh(t)
	a := w.join("a", "x", grant)
	w.join("b", "y", Grant{LeaseMS: 4000, Alone: true})
	raw, err := w.s.Save()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Load(raw)
	if err != nil {
		t.Fatal(err)
	}
	s.Restore(6000, false, []api.JoinRequest{{Name: "a", Zone: "z"}, {Name: "c", Zone: "y", Addr: "127.0.0.1:1"}})
	w.s, w.term = s, 9
	if s.In(a.Lease) != nil {
		t.Fatal("a lease of the old generation is one of the new")
	}
	if under := fmt.Sprint(s.Under(1)); under != fmt.Sprint([]string{"a", "b", "c", Unknown}) {
		t.Fatalf("%s may serve under an older version, expected all that are known and those that are not", under)
	}
	j := w.join("a", "again", Grant{LeaseMS: 4000, Need: 5})
	if j.Refused != "" || j.Lease <= a.Lease+1000 {
		t.Fatalf("%+v, expected a number that no earlier generation gave", j)
	}
	w.beat(Span(6000)-10, grant, nil)
	if len(s.Under(1)) == 0 || len(s.UnderZones(1)) == 0 {
		t.Fatal("a lease of the old generation was counted as run out before its time")
	}
	w.beat(10, grant, nil)
	if under := fmt.Sprint(s.Under(1)); under != "[b]" { // it may go on alone for ever
		t.Fatalf("%s, expected b alone", under)
	}
	if raw, err = s.Save(); err != nil {
		t.Fatal(err)
	}
	if s, err = Load(raw); err != nil || s.Hush == 0 {
		t.Fatalf("%v, hush %d: expected it kept", err, s.Hush)
	}
}

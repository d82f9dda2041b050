package steward

import (
	"encoding/json"
	"fmt"
	"testing"

	"umberwinch/internal/fleet"
	"umberwinch/internal/policy"
)

// group is a part with two instances' stewards, of which one leads at a time; the log is the test's.
type group struct {
	*testing.T
	p     *Part
	s     [2]*Steward
	index uint64
	term  uint64
}

func (g *group) Last() uint64 { return 3 }

func (g *group) Text(n uint64) (string, string, bool) {
	return fmt.Sprintf("[fleet]\nlease = 4s\nwhen_alone = fence\n[tenant t]\nrate = %d\n", n), fmt.Sprint("h", n), n > 0 && n <= 3
}

func start(t *testing.T) *group {
	g := &group{T: t, p: NewPart(0), s: [2]*Steward{New(0), New(0)}}
	g.lead(0)
	return g
}

func (g *group) lead(i int) {
	g.term++
	for k, s := range g.s {
		s.Lead(g.p, "g", k == i, g.term)
	}
}

// apply commits an entry, and both instances hear its end.
func (g *group) apply(e Entry, term uint64) {
	g.Helper()
	g.index++
	end, err := g.p.Apply(e.Kind, e.Body, g.index, term, g)
	if err != nil {
		g.Fatal(err)
	}
	for _, s := range g.s {
		s.Applied(g.p, end)
	}
}

func (g *group) run(i int, ms uint64) {
	g.Helper()
	for _, e := range g.s[i].Tick(g.p, ms) {
		g.apply(e, g.term)
	}
}

// answers gathers what a node is told.
type answers []fleet.Told

func (a *answers) take(t fleet.Told, err error) {
	if err == nil {
		*a = append(*a, t)
	}
}

func ask(name string) fleet.Ask {
	return fleet.Ask{Join: fleet.Join{Name: name, Zone: "z", Nonce: name + "-nonce-1"}}
}

// TestOneEntryForAll: whoever asks within half a second is in one entry, a thousand as one.
func TestOneEntryForAll(t *testing.T) {
	g := start(t)
	var got answers
	for i := 0; i < 1000; i++ {
		g.s[0].Ask(g.p, ask(fmt.Sprint("n", i)), got.take)
	}
	g.run(0, 1000)
	if len(got) != 1000 || g.p.Fleet.Beats != 1 {
		t.Fatalf("%d answers by %d beats, expected 1000 by one", len(got), g.p.Fleet.Beats)
	}
	for second := 0; second < 10; second++ {
		for i := range got {
			a := ask(fmt.Sprint("n", i))
			a.Lease, a.Renew, a.Echo = got[i].Lease, true, g.p.Fleet.Clock
			g.s[0].Ask(g.p, a, func(fleet.Told, error) {})
		}
		g.run(0, 1000)
	}
	if g.p.Fleet.Beats > 11 {
		t.Errorf("%d entries for 10,000 renewals in 10 s", g.p.Fleet.Beats)
	}
	// Reports that change nothing are answered without an entry.
	was, answered := g.p.Fleet.Beats, 0
	a := ask("n1")
	a.Lease, a.Echo = got[1].Lease, g.p.Fleet.Clock
	g.s[0].Ask(g.p, a, func(t fleet.Told, err error) { answered++ })
	if answered != 1 || g.p.Fleet.Beats != was {
		t.Errorf("a report was answered %d times by %d entries", answered, g.p.Fleet.Beats-was)
	}
}

// TestAnothersBeat: a beat of the leader before that is applied while one's own is out answers nobody: what it grants
// was asked of the other.
func TestAnothersBeat(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Ask(g.p, ask("a"), got.take)
	g.run(0, 1000)
	lease := got[0].Lease
	late := g.s[0].Tick(g.p, 1000) // made, and on its way when the lead goes over
	g.lead(1)
	a := ask("a")
	a.Lease, a.Renew, a.Echo = lease, true, g.p.Fleet.Clock
	got = nil
	g.s[1].Ask(g.p, a, got.take)
	mine := g.s[1].Tick(g.p, 1000)
	g.apply(late[0], 1)
	if len(got) != 0 {
		t.Fatalf("answered %+v by a beat that did not have it", got)
	}
	g.apply(mine[0], 2)
	if len(got) != 0 || g.p.Fleet.Beats != 2 {
		t.Fatalf("answered %+v by a beat that came second, %d beats", got, g.p.Fleet.Beats)
	}
	g.run(1, 1000)
	if len(got) != 1 || got[0].LeaseMS == 0 {
		t.Errorf("answers %+v, expected one that extends the lease", got)
	}
}

// TestLostBeat: what was in a beat that was lost goes into a later one; losing the lead lets all go.
func TestLostBeat(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Ask(g.p, ask("a"), got.take)
	if n := len(g.s[0].Tick(g.p, 1000)); n != 1 { // and it is lost
		t.Fatal(n)
	}
	for i := 0; i < 3; i++ {
		g.run(0, lostAfter/2)
	}
	if len(got) != 1 || got[0].Lease == 0 {
		t.Fatalf("answers %+v, expected one", got)
	}
	let := 0
	g.s[0].Ask(g.p, ask("b"), func(_ fleet.Told, err error) {
		if err == ErrNoLead {
			let++
		}
	})
	g.lead(1)
	if let != 1 {
		t.Errorf("let go %d times by the lost lead, expected once", let)
	}
	g.s[0].Ask(g.p, ask("b"), func(_ fleet.Told, err error) {
		if err != ErrNoLead {
			t.Errorf("one that does not lead answers %v", err)
		}
	})
}

// TestDeafNodes: a node whose askings arrive and that hears no answer doesn't stay in by asking on.
func TestDeafNodes(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Ask(g.p, ask("a"), got.take)
	g.run(0, 1000)
	a := ask("a")
	a.Lease, a.Renew, a.Echo = got[0].Lease, true, got[0].Clock
	for at := 0; at < 30; at++ {
		g.s[0].Ask(g.p, a, func(fleet.Told, error) {})
		g.s[0].Ask(g.p, ask("b"), func(fleet.Told, error) {})
		g.run(0, 1000)
	}
	for _, name := range []string{"a", "b"} {
		if n := g.p.Fleet.Named(name); n.Out != fleet.Silent {
			t.Errorf("%s hears nothing for 30 s and is %q, expected %q", name, n.Out, fleet.Silent)
		}
	}
}

// TestSteps: a change goes its way by entries that count once, whoever proposes them and however often.
func TestSteps(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Ask(g.p, ask("a"), got.take)
	g.run(0, 1000)
	propose := policy.Op{Kind: "propose", Propose: &policy.Propose{Version: 2, Within: 5000, Author: "t", Key: "key-0001"}}
	ends := 0
	done := func(r policy.Result, err error) {
		if err == nil && r.Err == "" && r.Number == 1 {
			ends++
		}
	}
	g.s[0].Op(propose, done)
	g.s[0].Op(propose, done) // the same asking again
	g.run(0, 1)
	if ends != 2 || g.p.Policy.Number != 1 {
		t.Fatalf("%d ends, %d changes; expected both ends of one change", ends, g.p.Policy.Number)
	}
	a := ask("a")
	a.Lease, a.Prepared, a.Echo = got[0].Lease, 2, got[0].Clock
	g.s[0].Ask(g.p, a, got.take)
	decide := g.s[0].Tick(g.p, 0)
	if len(decide) != 1 {
		t.Fatalf("%d entries once all have prepared, expected the decision", len(decide))
	}
	// A node joins before it is applied: it does not count, and the leader waits for that one too.
	body, _ := json.Marshal(fleet.Beat{After: g.p.Fleet.Beats, Span: 1, Join: []fleet.Join{ask("b").Join}})
	g.apply(Entry{KindBeat, body}, g.term)
	g.apply(decide[0], g.term)
	if g.p.Policy.Now.Step != policy.Preparing {
		t.Fatalf("decided, and a node joined meanwhile")
	}
	for _, e := range g.s[0].Tick(g.p, 0) {
		t.Errorf("proposes %s %s while a node has not prepared", e.Kind, e.Body)
	}
	// Snapshots keep the step.
	raw, err := g.p.Save()
	if err != nil {
		t.Fatal(err)
	}
	o := NewPart(0)
	if err = o.Load(raw); err != nil || o.Policy.Now == nil || o.Policy.Now.Step != policy.Preparing || o.Fleet.Epoch != 2 {
		t.Errorf("loaded %+v (%v)", o.Policy.Now, err)
	}
	off := policy.Op{Kind: "off", Number: 1, By: "t", Why: "enough"}
	g.s[0].Op(off, func(policy.Result, error) {})
	g.run(0, 1)
	if c := g.p.Policy.Find(1); c.Step != policy.CalledOff || g.p.Policy.Now != nil || g.p.Policy.Need != 0 {
		t.Errorf("after it was called off: %+v", c)
	}
}

package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// group is a part with two instances' stewards, of which one leads at a time; the log is the test's.
type group struct {
	*testing.T
	p     *State
	s     [2]*Leader
	index uint64
	term  uint64
}

func (g *group) Last() uint64 { return 3 }

func (g *group) Text(n uint64) (string, string, bool) {
	return fmt.Sprintf("[fleet]\nlease = 4s\nwhen_alone = fence\n[tenant t]\nrate = %d\n", n), fmt.Sprint("h", n), n > 0 && n <= 3
}

func start(t *testing.T) *group {
	g := &group{T: t, p: NewState(0), s: [2]*Leader{NewLeader(0), NewLeader(0)}}
	g.lead(0)
	return g
}

func (g *group) lead(i int) {
	g.term++
	for k, s := range g.s {
		s.SetRole(g.p, "g", k == i, g.term)
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
		s.EntryApplied(g.p, end)
	}
}

func (g *group) run(i int, ms uint64) {
	g.Helper()
	for _, e := range g.s[i].Tick(g.p, ms) {
		g.apply(e, g.term)
	}
}

// answers gathers what a node is told.
type answers []api.HeartbeatResponse

func (a *answers) take(t api.HeartbeatResponse, err error) {
	if err == nil {
		*a = append(*a, t)
	}
}

func ask(name string) api.HeartbeatRequest {
	return api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z", Nonce: name + "-nonce-1"}}
}

// TestOneEntryForAll: whoever asks within half a second is in one entry, a thousand as one.
func TestOneEntryForAll(t *testing.T) {
	g := start(t)
	var got answers
	for i := 0; i < 1000; i++ {
		g.s[0].Heartbeat(g.p, ask(fmt.Sprint("n", i)), got.take)
	}
	g.run(0, 1000)
	if len(got) != 1000 || g.p.Fleet.Batches != 1 {
		t.Fatalf("%d answers by %d beats, expected 1000 by one", len(got), g.p.Fleet.Batches)
	}
	for second := 0; second < 10; second++ {
		for i := range got {
			a := ask(fmt.Sprint("n", i))
			a.LeaseID, a.Renew, a.LastClockMS = got[i].LeaseID, true, g.p.Fleet.ClockMS
			g.s[0].Heartbeat(g.p, a, func(api.HeartbeatResponse, error) {})
		}
		g.run(0, 1000)
	}
	if g.p.Fleet.Batches > 11 {
		t.Errorf("%d entries for 10,000 renewals in 10 s", g.p.Fleet.Batches)
	}
	// Reports that change nothing are answered without an entry.
	was, answered := g.p.Fleet.Batches, 0
	a := ask("n1")
	a.LeaseID, a.LastClockMS = got[1].LeaseID, g.p.Fleet.ClockMS
	g.s[0].Heartbeat(g.p, a, func(t api.HeartbeatResponse, err error) { answered++ })
	if answered != 1 || g.p.Fleet.Batches != was {
		t.Errorf("a report was answered %d times by %d entries", answered, g.p.Fleet.Batches-was)
	}
}

// TestLeaseLostIsNoStart: a process that lost its lease over and over is no start, by the leader's word alone, and only where all
// instances know such entries; another process by its name is.
func TestLeaseLostIsNoStart(t *testing.T) {
	for level, starts := range map[int]int{LevelGenerations: 4, LevelSameProcess: 1} {
		g := start(t)
		g.s[0].Level = level
		join := func(nonce string) (told api.HeartbeatResponse) {
			a := ask("n1")
			a.Nonce, a.SameProcess = nonce, true // what it claims counts for nothing
			g.s[0].Heartbeat(g.p, a, func(t api.HeartbeatResponse, _ error) { told = t })
			g.run(0, 1000)
			return told
		}
		for i := range 4 {
			if told := join(fmt.Sprint("process-one-", i)); told.LeaseID == 0 || told.EndedReason != "" {
				t.Fatalf("level %d, time %d: %+v", level, i, told)
			}
		}
		if n := len(g.p.Fleet.Lookup("n1").JoinTimesMS); n != starts {
			t.Errorf("level %d: %d starts, expected %d", level, n, starts)
		}
		if join("process-two-0"); level == LevelSameProcess && len(g.p.Fleet.Lookup("n1").JoinTimesMS) != 2 {
			t.Error("another process is no start")
		}
	}
}

// TestAnothersBeat: a beat of the leader before that is applied while one's own is out answers nobody: what it grants
// was asked of the other.
func TestAnothersBeat(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Heartbeat(g.p, ask("a"), got.take)
	g.run(0, 1000)
	lease := got[0].LeaseID
	late := g.s[0].Tick(g.p, 1000) // made, and on its way when the lead goes over
	g.lead(1)
	a := ask("a")
	a.LeaseID, a.Renew, a.LastClockMS = lease, true, g.p.Fleet.ClockMS
	got = nil
	g.s[1].Heartbeat(g.p, a, got.take)
	mine := g.s[1].Tick(g.p, 1000)
	g.apply(late[0], 1)
	if len(got) != 0 {
		t.Fatalf("answered %+v by a beat that did not have it", got)
	}
	g.apply(mine[0], 2)
	if len(got) != 0 || g.p.Fleet.Batches != 2 {
		t.Fatalf("answered %+v by a beat that came second, %d beats", got, g.p.Fleet.Batches)
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
	g.s[0].Heartbeat(g.p, ask("a"), got.take)
	if n := len(g.s[0].Tick(g.p, 1000)); n != 1 { // and it is lost
		t.Fatal(n)
	}
	for i := 0; i < 3; i++ {
		g.run(0, appendTimeoutMS/2)
	}
	if len(got) != 1 || got[0].LeaseID == 0 {
		t.Fatalf("answers %+v, expected one", got)
	}
	let := 0
	g.s[0].Heartbeat(g.p, ask("b"), func(_ api.HeartbeatResponse, err error) {
		if err == ErrNotLeader {
			let++
		}
	})
	g.lead(1)
	if let != 1 {
		t.Errorf("let go %d times by the lost lead, expected once", let)
	}
	g.s[0].Heartbeat(g.p, ask("b"), func(_ api.HeartbeatResponse, err error) {
		if err != ErrNotLeader {
			t.Errorf("one that does not lead answers %v", err)
		}
	})
}

// TestDeafNodes: a node whose askings arrive and that hears no answer doesn't stay in by asking on.
func TestDeafNodes(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Heartbeat(g.p, ask("a"), got.take)
	g.run(0, 1000)
	a := ask("a")
	a.LeaseID, a.Renew, a.LastClockMS = got[0].LeaseID, true, got[0].ClockMS
	for at := 0; at < 30; at++ {
		g.s[0].Heartbeat(g.p, a, func(api.HeartbeatResponse, error) {})
		g.s[0].Heartbeat(g.p, ask("b"), func(api.HeartbeatResponse, error) {})
		g.run(0, 1000)
	}
	for _, name := range []string{"a", "b"} {
		if n := g.p.Fleet.Lookup(name); n.OutReason != membership.OutSilent {
			t.Errorf("%s hears nothing for 30 s and is %q, expected %q", name, n.OutReason, membership.OutSilent)
		}
	}
}

// TestSteps: a change goes its way by entries that count once, whoever proposes them and however often.
func TestSteps(t *testing.T) {
	g := start(t)
	var got answers
	g.s[0].Heartbeat(g.p, ask("a"), got.take)
	g.run(0, 1000)
	propose := policy.Op{Kind: "propose", Proposal: &policy.Proposal{Version: 2, PrepareWithinMS: 5000, Author: "t", IdempotencyKey: "key-0001"}}
	ends := 0
	done := func(r policy.Result, err error) {
		if err == nil && r.Rejection == "" && r.ChangeNumber == 1 {
			ends++
		}
	}
	g.s[0].SubmitPolicy(propose, done)
	g.s[0].SubmitPolicy(propose, done) // the same asking again
	g.run(0, 1)
	if ends != 2 || g.p.Policy.LastNumber != 1 {
		t.Fatalf("%d ends, %d changes; expected both ends of one change", ends, g.p.Policy.LastNumber)
	}
	a := ask("a")
	a.LeaseID, a.PreparedVersion, a.LastClockMS = got[0].LeaseID, 2, got[0].ClockMS
	g.s[0].Heartbeat(g.p, a, got.take)
	decide := g.s[0].Tick(g.p, 0)
	if len(decide) != 1 {
		t.Fatalf("%d entries once all have prepared, expected the decision", len(decide))
	}
	// A node joins before it is applied: it does not count, and the leader waits for that one too.
	body, _ := json.Marshal(membership.HeartbeatBatch{BatchesBefore: g.p.Fleet.Batches, ElapsedMS: 1, Joins: []api.JoinRequest{ask("b").JoinRequest}})
	g.apply(Entry{KindHeartbeats, body}, g.term)
	g.apply(decide[0], g.term)
	if g.p.Policy.Current.Step != policy.Preparing {
		t.Fatalf("decided, and a node joined meanwhile")
	}
	for _, e := range g.s[0].Tick(g.p, 0) {
		t.Errorf("proposes %s %s while a node has not prepared", e.Kind, e.Body)
	}
	// Snapshots keep the step.
	raw, err := g.p.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	o := NewState(0)
	if err = o.Restore(raw); err != nil || o.Policy.Current == nil || o.Policy.Current.Step != policy.Preparing || o.Fleet.Epoch != 2 {
		t.Errorf("loaded %+v (%v)", o.Policy.Current, err)
	}
	off := policy.Op{Kind: "off", ChangeNumber: 1, Author: "t", Reason: "enough"}
	g.s[0].SubmitPolicy(off, func(policy.Result, error) {})
	g.run(0, 1)
	if c := g.p.Policy.Find(1); c.Step != policy.Aborted || g.p.Policy.Current != nil || g.p.Policy.DecidedVersion != 0 {
		t.Errorf("after it was called off: %+v", c)
	}
}

// TestLostState: two nodes that were told what this group does not know stop it, one alone does not; another generation's
// leases mean nothing here, whatever their numbers.
func TestLostState(t *testing.T) {
	g := start(t)
	for _, s := range g.s {
		s.Level = LevelGenerations
	}
	var got answers
	for _, n := range []string{"a", "b", "c"} {
		g.s[0].Heartbeat(g.p, ask(n), got.take)
	}
	g.run(0, 1000)
	heard := func(i int, name string, change func(h *api.GroupPosition)) (t api.HeartbeatResponse, err error) {
		a := ask(name)
		a.LeaseID, a.Renew, a.LastClockMS = got[i].LeaseID, true, g.p.Fleet.ClockMS
		a.LastSeen = &api.GroupPosition{Group: "g", Generation: 1, Term: 1, Index: g.p.Index}
		change(a.LastSeen)
		g.s[0].Heartbeat(g.p, a, func(x api.HeartbeatResponse, e error) { t, err = x, e })
		g.run(0, 1000)
		return t, err
	}
	if told, err := heard(0, "a", func(*api.GroupPosition) {}); err != nil || told.LeaseMS == 0 {
		t.Fatalf("%+v, %v: expected a longer lease", told, err)
	}
	of := func(h *api.GroupPosition) { h.Group, h.Generation = "g0", 1 }
	if told, err := heard(1, "b", of); err != nil || told.EndedReason == "" || told.LeaseMS != 0 {
		t.Fatalf("%+v, %v: a lease of another group counts", told, err)
	}
	ahead := func(h *api.GroupPosition) { h.Index += 100 }
	if _, err := heard(0, "a", ahead); err != nil || g.p.Fleet.LostState != "" {
		t.Fatalf("%v, %q: one node stops the group", err, g.p.Fleet.LostState)
	}
	g.run(0, evidenceSpanMS)
	heard(1, "b", ahead)
	if g.p.Fleet.LostState != "" {
		t.Fatal("what two nodes told long apart stops the group")
	}
	heard(0, "a", ahead)
	if g.p.Fleet.LostState == "" {
		t.Fatal("two nodes know of later entries, and the group goes on")
	}
	if _, err := heard(2, "c", func(*api.GroupPosition) {}); err != ErrStateLost {
		t.Fatalf("%v, expected %v", err, ErrStateLost)
	}
	if err := g.s[0].Forget("a"); err != ErrStateLost {
		t.Errorf("%v, expected %v", err, ErrStateLost)
	}
	g.s[0].SubmitPolicy(policy.Op{Kind: "off"}, func(_ policy.Result, err error) {
		if err != ErrStateLost {
			t.Errorf("%v, expected %v", err, ErrStateLost)
		}
	})
	if out := g.s[0].Tick(g.p, 5000); len(out) > 0 {
		t.Fatalf("it adds %v to the log", out)
	}
	raw, err := g.p.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	p := NewState(0)
	if err = p.Restore(raw); err != nil || p.Fleet.LostState == "" {
		t.Fatalf("%v: a snapshot forgets that state was lost", err)
	}
	// The next generation grants again, goes on after all epochs, and calls off what was under way.
	if err = p.BeginGeneration(&recovery.RestorePlan{Lost: recovery.GroupIdentity{Group: "g", Generation: 1}, Version: 2, Hash: "h2", ZoneEpoch: 7, LeaseMS: 4000,
		Records: []recovery.NodeRecord{{Name: "a", Zone: "z", ZoneEpoch: 7, ZoneShare: 256}, {Name: "k", Zone: "y", ZoneEpoch: 7, ZoneShare: 16}}}, g); err != nil {
		t.Fatal(err)
	}
	if p.Generation != 2 || p.Fleet.LostState != "" || p.Policy.CommittedVersion != 2 || p.Zones.Epoch != 8 || p.Zones.SettledEpoch != 7 || p.Fleet.Lookup("k") == nil {
		t.Fatalf("generation %d, lost %q, version %d, epoch %d of %d", p.Generation, p.Fleet.LostState, p.Policy.CommittedVersion, p.Zones.SettledEpoch, p.Zones.Epoch)
	}
	under := NewState(0)
	under.Policy.Current = &policy.Change{Number: 1, Version: 3, Step: policy.Preparing}
	if err = under.BeginGeneration(&recovery.RestorePlan{Lost: recovery.GroupIdentity{Group: "g", Generation: 1}}, g); err != nil || under.Policy.Current != nil ||
		under.Policy.History[0].Step != policy.Aborted || under.Policy.DecidedVersion != 0 {
		t.Errorf("%v: a first change that was under way is %+v", err, under.Policy.Current)
	}
	if step, share := p.Zones.PhaseOf("y"); step != zones.Evacuated || share != 0 {
		t.Errorf("a zone whose nodes took a sixteenth is %s at %d, expected it out", step, share)
	}
	if step, _ := p.Zones.PhaseOf("z"); step != zones.InService {
		t.Errorf("a zone whose nodes took all is %s", step)
	}
}

// TestFirstOfMany: the first nodes of a fleet that restarts come before it can be told from a lone start. They take a share
// until the others are heard, or have begun as well.
func TestFirstOfMany(t *testing.T) {
	g := start(t)
	g.s[0].Level = LevelGenerations
	rules := policy.Rules{LeaseMS: 4000, Zones: api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16, MinStepMS: 1000, ColdStart: true}}
	g.p.Policy.CommittedVersion, g.p.Policy.DecidedVersion, g.p.Policy.Rules = 1, 1, rules
	leases := map[string]uint32{}
	each := func(names, nonce string, up uint64) map[string]*api.HeartbeatResponse {
		out := map[string]*api.HeartbeatResponse{}
		for _, n := range names {
			a := ask(string(n))
			a.Nonce, a.UptimeMS, a.MinVersion, a.LeaseID = string(n)+nonce, up, 1, leases[string(n)+nonce]
			a.Renew, a.LastClockMS = a.LeaseID != 0, g.p.Fleet.ClockMS
			told := &api.HeartbeatResponse{}
			out[string(n)] = told
			g.s[0].Heartbeat(g.p, a, func(x api.HeartbeatResponse, err error) { *told = x })
		}
		g.run(0, 1000)
		for n, told := range out {
			leases[n+nonce] = told.LeaseID
		}
		return out
	}
	each("abcdef", "-first-life", 60_000)
	g.p.Zones.Zones = []*zones.Zone{{Name: "z", Phase: zones.InService, Share: api.FullShare, Capacity: zones.ObservedCapacity{RunRate: 96, Concurrency: 2, RunMS: 20}}}
	each("abcdef", "-first-life", 61_000)
	// One restarts: it takes a share until the others were heard after it, and all at once then.
	if told := each("a", "-second-life", 0)["a"]; told.Zone == nil || told.Zone.Share != 16 || told.Zone.RateLimit != 1 || told.NextHeartbeatMS > 500 {
		t.Fatalf("%+v: the first one of maybe many begins whole", told.Zone)
	}
	each("bcdef", "-first-life", 63_000)
	if told := each("a", "-second-life", 2000)["a"]; told.Zone.Share != api.FullShare || told.Zone.RateLimited {
		t.Fatalf("%+v: a lone restart is held", told.Zone)
	}
	// FleetView do, the first two before the others.
	g.run(0, 20_000)
	each("abcdef", "-third-life", 90_000)
	each("abcdef", "-third-life", 91_000)
	early := each("ab", "-fourth-life", 0)
	if early["a"].Zone.Share != 16 || early["b"].Zone.Share != 16 || g.p.Zones.Find(zones.WholeFleet) != nil {
		t.Fatalf("%+v and %+v: the first two of six begin whole", early["a"].Zone, early["b"].Zone)
	}
	late := each("cdef", "-fourth-life", 0)
	if z := g.p.Zones.Find(zones.WholeFleet); z == nil || z.Phase != zones.Ramping || late["c"].Zone.Share != 16 {
		t.Fatalf("%+v, %+v: six of six began, and the fleet does not come back", z, late["c"].Zone)
	}
}

// TestOutgrown: a group that was put back to an older state, and whose log has grown past what nodes were told since, is
// found all the same: by whoever was told of entries that are others there. One that lost nothing is found so by nobody, also
// where an instance began to keep sums later than the others.
func TestOutgrown(t *testing.T) {
	g := start(t)
	var got answers
	for _, n := range []string{"a", "b"} {
		g.s[0].Heartbeat(g.p, ask(n), got.take)
	}
	g.run(0, 1000)
	raw, err := g.p.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	told := map[uint32]api.HeartbeatResponse{}
	for range 3 { // what is lost afterwards
		for _, a := range got[:2] {
			g.s[0].Heartbeat(g.p, api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: "x"}, LeaseID: a.LeaseID, LastClockMS: a.ClockMS, Renew: true}, func(t api.HeartbeatResponse, err error) {
				told[a.LeaseID] = t
			})
		}
		g.run(0, 1000)
	}
	if len(told) != 2 || told[got[0].LeaseID].Index != 4 {
		t.Fatalf("%+v, expected two nodes told of entry 4", told)
	}
	if err = g.p.Restore(raw); err != nil || len(g.p.Checksums) != 1 {
		t.Fatalf("%v, sums %v", err, g.p.Checksums)
	}
	g.index, g.s[1].Level = g.p.Index, LevelGenerations
	g.lead(1)
	for range 10 {
		g.run(1, 1000)
	}
	if g.p.Index <= 4 || g.p.Fleet.LostState != "" {
		t.Fatalf("entry %d, lost %q: expected it to have grown past what was lost", g.p.Index, g.p.Fleet.LostState)
	}
	for i, n := range []string{"a", "b"} {
		is := told[got[i].LeaseID]
		a := ask(n)
		a.LeaseID, a.LastClockMS, a.LastSeen = is.LeaseID, is.ClockMS, &api.GroupPosition{Group: "g", Generation: 1, Term: is.Term, Index: is.Index, EntryChecksum: is.EntryChecksum}
		g.s[1].Heartbeat(g.p, a, func(api.HeartbeatResponse, error) {})
	}
	if g.run(1, 1000); g.p.Fleet.LostState == "" {
		t.Error("two nodes were told of entries that it lacks, and the group goes on")
	}

	g = start(t)
	got = nil
	for _, n := range []string{"a", "b"} {
		g.s[0].Heartbeat(g.p, ask(n), got.take)
	}
	g.run(0, 1000)
	g.p.Checksums = nil // as an older program's snapshot has none
	g.lead(1)
	g.s[1].Level = LevelGenerations
	for i := range 2000 {
		for k, a := range got[:2] {
			q := ask([]string{"a", "b"}[k])
			q.LeaseID, q.LastClockMS, q.Renew = a.LeaseID, a.ClockMS, true
			q.LastSeen = &api.GroupPosition{Group: "g", Generation: 1, Term: a.Term, Index: a.Index, EntryChecksum: a.EntryChecksum}
			if g.s[1].Heartbeat(g.p, q, func(t api.HeartbeatResponse, err error) { got[k] = t }); i%3 == 0 { // some are behind by a beat or two
				break
			}
		}
		if g.run(1, 1000); g.p.Fleet.LostState != "" {
			t.Fatalf("after %d beats: %s", i, g.p.Fleet.LostState)
		}
	}
	if n := len(g.p.Checksums); n < maxChecksums || n > 2*maxChecksums {
		t.Errorf("%d sums are kept, expected %d to %d", n, maxChecksums, 2*maxChecksums)
	}
}

// TestNewLeaderListens: a new leader grants and decides nothing before it has heard all nodes that are in, or its time to
// listen is over: who knows more than it does comes to word first.
func TestNewLeaderListens(t *testing.T) {
	for _, all := range []bool{true, false} {
		g := start(t)
		var got answers
		for _, n := range []string{"a", "b"} {
			g.s[0].Heartbeat(g.p, ask(n), got.take)
		}
		g.run(0, 1000)
		g.s[1].Level = LevelGenerations
		g.lead(1)
		granted := false
		renew := func(i int, name string, done func(api.HeartbeatResponse, error)) {
			a := ask(name)
			a.LeaseID, a.LastClockMS, a.Renew = got[i].LeaseID, got[i].ClockMS, true
			g.s[1].Heartbeat(g.p, a, done)
		}
		renew(0, "a", func(t api.HeartbeatResponse, err error) { granted = err == nil && t.LeaseMS > 0 })
		g.run(1, 600)
		if granted {
			t.Fatal("it grants, and b was not heard")
		}
		if all {
			renew(1, "b", func(api.HeartbeatResponse, error) {})
			g.run(1, 500)
		} else {
			g.run(1, maxListenMS)
		}
		if !granted {
			t.Errorf("all heard %v: it grants nothing after that", all)
		}
	}
}

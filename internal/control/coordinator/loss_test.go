package coordinator

import (
	"errors"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// TestLostState: a group was put back to an older state, and nodes were told what it does not know. If it went on, one
// decision could have two outcomes. One node may be wrong, so two have to say so at about the same time. A lease of
// another generation means nothing, whatever its number.
func TestLostState(t *testing.T) {
	g := startGroup(t)
	for _, s := range g.leaders {
		s.Level = LevelGenerations
	}
	var got answers
	for _, n := range []string{"a", "b", "c"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.take)
	}
	g.run(0, 1000)
	heard := func(i int, name string, change func(h *api.GroupPosition)) (t api.HeartbeatResponse, err error) {
		r := request(name)
		r.LeaseID, r.Renew, r.LastClockMS = got[i].LeaseID, true, g.state.Fleet.ClockMS
		r.LastSeen = &api.GroupPosition{Group: "g", Generation: 1, Term: 1, Index: g.state.Index}
		change(r.LastSeen)
		g.leaders[0].Heartbeat(g.state, r, func(x api.HeartbeatResponse, e error) { t, err = x, e })
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
	if _, err := heard(0, "a", ahead); err != nil || g.state.Fleet.LostState != "" {
		t.Fatalf("%v, %q: one node stops the group", err, g.state.Fleet.LostState)
	}
	g.run(0, evidenceSpanMS)
	heard(1, "b", ahead)
	if g.state.Fleet.LostState != "" {
		t.Fatal("what two nodes told long apart stops the group")
	}
	heard(0, "a", ahead)
	if g.state.Fleet.LostState == "" {
		t.Fatal("two nodes know of later entries, and the group goes on")
	}
	if _, err := heard(2, "c", func(*api.GroupPosition) {}); !errors.Is(err, ErrStateLost) {
		t.Fatalf("%v, expected %v", err, ErrStateLost)
	}
	if err := g.leaders[0].Forget("a"); !errors.Is(err, ErrStateLost) {
		t.Errorf("%v, expected %v", err, ErrStateLost)
	}
	g.leaders[0].SubmitPolicy(policy.Op{Kind: policy.OpAbort}, func(_ policy.Result, err error) {
		if !errors.Is(err, ErrStateLost) {
			t.Errorf("%v, expected %v", err, ErrStateLost)
		}
	})
	if out := g.leaders[0].Tick(g.state, 5000); len(out) > 0 {
		t.Fatalf("it adds %v to the log", out)
	}
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	p := NewState(0)
	if err = p.Restore(raw); err != nil || p.Fleet.LostState == "" {
		t.Fatalf("%v: a snapshot forgets that state was lost", err)
	}
	restoreLostGroup(t, g, p)
}

// restoreLostGroup restores a group that lost state. Its next generation has to grant again, to go on after all
// epochs that nodes know, and to end what was under way.
func restoreLostGroup(t *testing.T, g *testGroup, p *State) {
	lost := api.GroupIdentity{Group: "g", Generation: 1}
	err := p.BeginGeneration(&recovery.RestorePlan{Lost: lost, Version: 2, Hash: "h2", ZoneEpoch: 7, LeaseMS: 4000,
		Records: []api.NodeRecord{
			{Name: "a", Zone: "z", ZoneEpoch: 7, ZoneShare: 256},
			{Name: "k", Zone: "y", ZoneEpoch: 7, ZoneShare: 16},
		}}, g)
	if err != nil {
		t.Fatal(err)
	}
	if p.Generation != 2 || p.Fleet.LostState != "" || p.Policy.CommittedVersion != 2 || p.Zones.Epoch != 8 ||
		p.Zones.SettledEpoch != 7 || p.Fleet.Lookup("k") == nil {
		t.Fatalf("generation %d, lost %q, version %d, epoch %d of %d", p.Generation, p.Fleet.LostState,
			p.Policy.CommittedVersion, p.Zones.SettledEpoch, p.Zones.Epoch)
	}
	under := NewState(0)
	under.Policy.Current = &policy.Change{Number: 1, Version: 3, Step: policy.Preparing}
	err = under.BeginGeneration(&recovery.RestorePlan{Lost: lost}, g)
	if err != nil || under.Policy.Current != nil || under.Policy.History[0].Step != policy.Aborted ||
		under.Policy.DecidedVersion != 0 {
		t.Errorf("%v: a first change that was under way is %+v", err, under.Policy.Current)
	}
	if phase, share := p.Zones.PhaseOf("y"); phase != zones.Evacuated || share != 0 {
		t.Errorf("a zone whose nodes took a sixteenth is %s at %d, expected it out", phase, share)
	}
	if phase, _ := p.Zones.PhaseOf("z"); phase != zones.InService {
		t.Errorf("a zone whose nodes took all is %s", phase)
	}
}

// positionOf is where the group stood at a response.
func positionOf(r api.HeartbeatResponse) *api.GroupPosition {
	return &api.GroupPosition{Group: "g", Generation: 1, Term: r.Term, Index: r.Index, EntryChecksum: r.EntryChecksum}
}

// TestOutgrown: a group was put back to an older state, and its log has grown past what nodes were told before. Neither
// index nor term shows the loss any more; the checksums of entries have to.
func TestOutgrown(t *testing.T) {
	g := startGroup(t)
	var got answers
	for _, n := range []string{"a", "b"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.take)
	}
	g.run(0, 1000)
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	told := map[uint32]api.HeartbeatResponse{}
	for range 3 { // what is lost afterwards
		for _, a := range got[:2] {
			renewal := api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: "x"}, LeaseID: a.LeaseID,
				LastClockMS: a.ClockMS, Renew: true}
			g.leaders[0].Heartbeat(g.state, renewal, func(t api.HeartbeatResponse, _ error) { told[a.LeaseID] = t })
		}
		g.run(0, 1000)
	}
	if len(told) != 2 || told[got[0].LeaseID].Index != 4 {
		t.Fatalf("%+v, expected two nodes told of entry 4", told)
	}
	if err = g.state.Restore(raw); err != nil || len(g.state.Checksums) != 1 {
		t.Fatalf("%v, sums %v", err, g.state.Checksums)
	}
	g.index, g.leaders[1].Level = g.state.Index, LevelGenerations
	g.lead(1)
	for range 10 {
		g.run(1, 1000)
	}
	if g.state.Index <= 4 || g.state.Fleet.LostState != "" {
		t.Fatalf("entry %d, lost %q: expected it to have grown past what was lost", g.state.Index,
			g.state.Fleet.LostState)
	}
	for i, n := range []string{"a", "b"} {
		is := told[got[i].LeaseID]
		a := request(n)
		a.LeaseID, a.LastClockMS = is.LeaseID, is.ClockMS
		a.LastSeen = positionOf(is)
		g.leaders[1].Heartbeat(g.state, a, func(api.HeartbeatResponse, error) {})
	}
	if g.run(1, 1000); g.state.Fleet.LostState == "" {
		t.Error("two nodes were told of entries that it lacks, and the group goes on")
	}
}

// TestNothingLost: nodes that are behind by a batch or two renew with a group that lost nothing, of which an instance
// began to keep checksums later than the others. It must not be stopped, and what it keeps has to stay bounded.
func TestNothingLost(t *testing.T) {
	g := startGroup(t)
	var got answers
	for _, n := range []string{"a", "b"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.take)
	}
	g.run(0, 1000)
	g.state.Checksums = nil // as an older program's snapshot has none
	g.lead(1)
	g.leaders[1].Level = LevelGenerations
	for i := range 2000 {
		for k, a := range got[:2] {
			q := request([]string{"a", "b"}[k])
			q.LeaseID, q.LastClockMS, q.Renew = a.LeaseID, a.ClockMS, true
			q.LastSeen = positionOf(a)
			g.leaders[1].Heartbeat(g.state, q, func(t api.HeartbeatResponse, _ error) { got[k] = t })
			if i%3 == 0 { // the other is behind by a batch or two
				break
			}
		}
		if g.run(1, 1000); g.state.Fleet.LostState != "" {
			t.Fatalf("after %d batches: %s", i, g.state.Fleet.LostState)
		}
	}
	if n := len(g.state.Checksums); n < maxChecksums || n > 2*maxChecksums {
		t.Errorf("%d sums are kept, expected %d to %d", n, maxChecksums, 2*maxChecksums)
	}
}

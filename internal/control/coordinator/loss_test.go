package coordinator

import (
	"errors"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// TestTwoNodesProveLostState: a group was put back to an older state, and nodes were told what it does not know. If it went on, one
// decision could have two outcomes. One node may be wrong, so two have to say so at about the same time. A lease of
// another generation means nothing, whatever its number.
func TestTwoNodesProveLostState(t *testing.T) {
	g := newTestGroup(t)
	for _, l := range g.leaders {
		l.Level = LevelGenerations
	}
	var got responses
	for _, n := range []string{"a", "b", "c"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.add)
	}
	g.run(0, 1000)
	renew := func(i int, name string, change func(last *api.GroupPosition)) (t api.HeartbeatResponse, err error) {
		r := request(name)
		r.LeaseID, r.Renew, r.LastClockMS = got[i].LeaseID, true, g.state.Fleet.ClockMS
		r.LastSeen = &api.GroupPosition{Group: "g", Generation: 1, Term: 1, Index: g.state.Index}
		change(r.LastSeen)
		g.leaders[0].Heartbeat(g.state, r, func(x api.HeartbeatResponse, e error) { t, err = x, e })
		g.run(0, 1000)
		return t, err
	}
	if response, err := renew(0, "a", func(*api.GroupPosition) {}); err != nil || response.LeaseMS == 0 {
		t.Fatalf("%+v, %v: expected a longer lease", response, err)
	}
	otherGroup := func(last *api.GroupPosition) { last.Group, last.Generation = "g0", 1 }
	if response, err := renew(1, "b", otherGroup); err != nil || response.EndedReason == "" || response.LeaseMS != 0 {
		t.Fatalf("%+v, %v: a lease of another group counts", response, err)
	}
	ahead := func(last *api.GroupPosition) { last.Index += 100 }
	if _, err := renew(0, "a", ahead); err != nil || g.state.Fleet.LostState != "" {
		t.Fatalf("%v, %q: one node stops the group", err, g.state.Fleet.LostState)
	}
	g.run(0, evidenceSpanMS)
	renew(1, "b", ahead)
	if g.state.Fleet.LostState != "" {
		t.Fatal("what two nodes told long apart stops the group")
	}
	renew(0, "a", ahead)
	if g.state.Fleet.LostState == "" {
		t.Fatal("two nodes know of later entries, and the group goes on")
	}
	if _, err := renew(2, "c", func(*api.GroupPosition) {}); !errors.Is(err, ErrStateLost) {
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
	if entries := g.leaders[0].Tick(g.state, 5000); len(entries) > 0 {
		t.Fatalf("it adds %v to the log", entries)
	}
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(0)
	if err = restored.Restore(raw); err != nil || restored.Fleet.LostState == "" {
		t.Fatalf("%v: a snapshot forgets that state was lost", err)
	}
	restoreLostGroup(t, g, restored)
}

// restoreLostGroup restores a group that lost state. Its next generation has to grant again, to go on after all
// epochs that nodes know, and to end what was under way.
func restoreLostGroup(t *testing.T, g *testGroup, state *State) {
	lost := api.GroupIdentity{Group: "g", Generation: 1}
	err := state.BeginGeneration(&recovery.RestorePlan{Lost: lost, Version: 2, Hash: "h2", ZoneEpoch: 7, LeaseMS: 4000,
		Records: []api.NodeRecord{
			{Name: "a", Zone: "z", ZoneEpoch: 7, ZoneShare: 256},
			{Name: "k", Zone: "y", ZoneEpoch: 7, ZoneShare: 16},
		}}, g)
	if err != nil {
		t.Fatal(err)
	}
	if state.Generation != 2 || state.Fleet.LostState != "" || state.Policy.CommittedVersion != 2 || state.Zones.Epoch != 8 ||
		state.Zones.SettledEpoch != 7 || state.Fleet.Lookup("k") == nil {
		t.Fatalf("generation %d, lost %q, version %d, epoch %d of %d", state.Generation, state.Fleet.LostState,
			state.Policy.CommittedVersion, state.Zones.SettledEpoch, state.Zones.Epoch)
	}
	preparing := NewState(0)
	preparing.Policy.Current = &policy.Change{Number: 1, Version: 3, Step: policy.Preparing}
	err = preparing.BeginGeneration(&recovery.RestorePlan{Lost: lost}, g)
	if err != nil || preparing.Policy.Current != nil || preparing.Policy.History[0].Step != policy.Aborted ||
		preparing.Policy.DecidedVersion != 0 {
		t.Errorf("%v: a first change that was under way is %+v", err, preparing.Policy.Current)
	}
	if phase, share := state.Zones.PhaseOf("y"); phase != zones.Evacuated || share != 0 {
		t.Errorf("a zone whose nodes took a sixteenth is %s at %d, expected it out", phase, share)
	}
	if phase, _ := state.Zones.PhaseOf("z"); phase != zones.InService {
		t.Errorf("a zone whose nodes took all is %s", phase)
	}
}

// lastSeenOf is where the group stood at a response.
func lastSeenOf(r api.HeartbeatResponse) *api.GroupPosition {
	return &api.GroupPosition{Group: "g", Generation: 1, Term: r.Term, Index: r.Index, EntryChecksum: r.EntryChecksum}
}

// TestChecksumsProveLossOfOverwrittenEntries: a group was put back to an older state, and its log has grown past what nodes were told before. Neither
// index nor term shows the loss any more; the checksums of entries have to.
func TestChecksumsProveLossOfOverwrittenEntries(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	for _, n := range []string{"a", "b"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.add)
	}
	g.run(0, 1000)
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	responses := map[uint32]api.HeartbeatResponse{}
	for range 3 { // what is lost afterwards
		for _, response := range got[:2] {
			renewal := api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: "x"}, LeaseID: response.LeaseID,
				LastClockMS: response.ClockMS, Renew: true}
			g.leaders[0].Heartbeat(g.state, renewal, func(t api.HeartbeatResponse, _ error) { responses[response.LeaseID] = t })
		}
		g.run(0, 1000)
	}
	if len(responses) != 2 || responses[got[0].LeaseID].Index != 4 {
		t.Fatalf("%+v, expected two nodes told of entry 4", responses)
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
		lastResponse := responses[got[i].LeaseID]
		r := request(n)
		r.LeaseID, r.LastClockMS = lastResponse.LeaseID, lastResponse.ClockMS
		r.LastSeen = lastSeenOf(lastResponse)
		g.leaders[1].Heartbeat(g.state, r, func(api.HeartbeatResponse, error) {})
	}
	if g.run(1, 1000); g.state.Fleet.LostState == "" {
		t.Error("two nodes were told of entries that it lacks, and the group goes on")
	}
}

// TestLaggingNodesProveNoLoss: nodes that are behind by a batch or two renew with a group that lost nothing, of which an instance
// began to keep checksums later than the others. It must not be stopped, and what it keeps has to stay bounded.
func TestLaggingNodesProveNoLoss(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	for _, n := range []string{"a", "b"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.add)
	}
	g.run(0, 1000)
	g.state.Checksums = nil // as an older program's snapshot has none
	g.lead(1)
	g.leaders[1].Level = LevelGenerations
	for i := range 2000 {
		for j, response := range got[:2] {
			r := request([]string{"a", "b"}[j])
			r.LeaseID, r.LastClockMS, r.Renew = response.LeaseID, response.ClockMS, true
			r.LastSeen = lastSeenOf(response)
			g.leaders[1].Heartbeat(g.state, r, func(t api.HeartbeatResponse, _ error) { got[j] = t })
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

package coordinator

import (
	"errors"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// TestTwoNodesProveLostState: a group that was reset to an older state could decide the same change twice. Evidence
// from two nodes within evidenceSpanMS must stop it, evidence from one must not. A lease of another group is never
// valid.
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
		t.Fatalf("response %+v (error %v), want an extended lease", response, err)
	}
	otherGroup := func(last *api.GroupPosition) { last.Group, last.Generation = "g0", 1 }
	if response, err := renew(1, "b", otherGroup); err != nil || response.EndedReason == "" || response.LeaseMS != 0 {
		t.Fatalf("response %+v (error %v) to a lease of another group, want an ended reason and no lease", response,
			err)
	}
	aheadOfGroup := func(last *api.GroupPosition) { last.Index += 100 }
	if _, err := renew(0, "a", aheadOfGroup); err != nil || g.state.Fleet.LostState != "" {
		t.Fatalf("evidence from one node: error %v, LostState %q; want none", err, g.state.Fleet.LostState)
	}
	g.run(0, evidenceSpanMS)
	renew(1, "b", aheadOfGroup)
	if g.state.Fleet.LostState != "" {
		t.Fatalf("LostState = %q by evidence of two nodes further apart than evidenceSpanMS, want none",
			g.state.Fleet.LostState)
	}
	renew(0, "a", aheadOfGroup)
	if g.state.Fleet.LostState == "" {
		t.Fatal("LostState is empty after evidence from two nodes")
	}
	if _, err := renew(2, "c", func(*api.GroupPosition) {}); !errors.Is(err, ErrStateLost) {
		t.Fatalf("Heartbeat() = %v, want %v", err, ErrStateLost)
	}
	if err := g.leaders[0].Forget("a"); !errors.Is(err, ErrStateLost) {
		t.Errorf("Forget() = %v, want %v", err, ErrStateLost)
	}
	g.leaders[0].SubmitPolicy(policy.Op{Kind: policy.OpAbort}, func(_ policy.Result, err error) {
		if !errors.Is(err, ErrStateLost) {
			t.Errorf("SubmitPolicy() = %v, want %v", err, ErrStateLost)
		}
	})
	if entries := g.leaders[0].Tick(g.state, 5000); len(entries) > 0 {
		t.Fatalf("Tick() = %v after lost state, want no entries", entries)
	}
	raw, err := g.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewState(0)
	if err = restored.Restore(raw); err != nil || restored.Fleet.LostState == "" {
		t.Fatalf("restored LostState = %q (error %v), want it kept", restored.Fleet.LostState, err)
	}
	restoreLostGroup(t, g, restored)
}

// restoreLostGroup restores a group that lost state. Its next generation must grant leases again, continue after all
// zone epochs that nodes know, and end the current change.
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
	if state.Generation != 2 || state.Fleet.LostState != "" || state.Policy.CommittedVersion != 2 ||
		state.Zones.Epoch != 8 ||
		state.Zones.SettledEpoch != 7 || state.Fleet.Lookup("k") == nil {
		t.Fatalf(
			"generation %d, LostState %q, committed version %d, zone epochs %d settled of %d; want 2, none, 2, 7 of 8",
			state.Generation, state.Fleet.LostState,
			state.Policy.CommittedVersion, state.Zones.SettledEpoch, state.Zones.Epoch)
	}
	preparing := NewState(0)
	preparing.Policy.Current = &policy.Change{Number: 1, Version: 3, Step: policy.Preparing}
	err = preparing.BeginGeneration(&recovery.RestorePlan{Lost: lost}, g)
	if err != nil || preparing.Policy.Current != nil || preparing.Policy.History[0].Step != policy.Aborted ||
		preparing.Policy.DecidedVersion != 0 {
		t.Errorf("current change %+v (error %v) after a restoration, want it aborted", preparing.Policy.Current, err)
	}
	if phase, share := state.Zones.PhaseOf("y"); phase != zones.Evacuated || share != 0 {
		t.Errorf("zone y with a recorded share of 16 is %s at share %d, want %s at 0", phase, share, zones.Evacuated)
	}
	if phase, _ := state.Zones.PhaseOf("z"); phase != zones.InService {
		t.Errorf("zone z with a recorded full share is %s, want %s", phase, zones.InService)
	}
}

// lastSeenOf returns the group position that a response carries.
func lastSeenOf(r api.HeartbeatResponse) *api.GroupPosition {
	return &api.GroupPosition{Group: "g", Generation: 1, Term: r.Term, Index: r.Index, EntryChecksum: r.EntryChecksum}
}

// TestChecksumsProveLossOfOverwrittenEntries: after a reset to an older state the log has grown past the positions that
// nodes have seen, so that index and term no longer show the loss. The checksums of entries must.
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
	for range 3 { // entries that are lost afterwards
		for _, response := range got[:2] {
			renewal := api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: "x"}, LeaseID: response.LeaseID,
				LastClockMS: response.ClockMS, Renew: true}
			g.leaders[0].Heartbeat(g.state, renewal, func(t api.HeartbeatResponse, _ error) {
				responses[response.LeaseID] = t
			})
		}
		g.run(0, 1000)
	}
	if len(responses) != 2 || responses[got[0].LeaseID].Index != 4 {
		t.Fatalf("responses %+v, want two nodes that have seen entry 4", responses)
	}
	if err = g.state.Restore(raw); err != nil || len(g.state.Checksums) != 1 {
		t.Fatalf("restored checksums %v (error %v), want one", g.state.Checksums, err)
	}
	g.index, g.leaders[1].Level = g.state.Index, LevelGenerations
	g.lead(1)
	for range 10 {
		g.run(1, 1000)
	}
	if g.state.Index <= 4 || g.state.Fleet.LostState != "" {
		t.Fatalf("index %d, LostState %q; want an index past the lost entries and no proof yet", g.state.Index,
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
		t.Error("LostState is empty, though two nodes have seen entries that the state lacks")
	}
}

// TestLaggingNodesProveNoLoss: nodes that lag by a batch or two must not stop a group that lost nothing, also if an
// instance began to store checksums late. The number of stored checksums must be bounded.
func TestLaggingNodesProveNoLoss(t *testing.T) {
	g := newTestGroup(t)
	var got responses
	for _, n := range []string{"a", "b"} {
		g.leaders[0].Heartbeat(g.state, request(n), got.add)
	}
	g.run(0, 1000)
	g.state.Checksums = nil // as in a snapshot of an older build
	g.lead(1)
	g.leaders[1].Level = LevelGenerations
	for i := range 2000 {
		for j, response := range got[:2] {
			r := request([]string{"a", "b"}[j])
			r.LeaseID, r.LastClockMS, r.Renew = response.LeaseID, response.ClockMS, true
			r.LastSeen = lastSeenOf(response)
			g.leaders[1].Heartbeat(g.state, r, func(t api.HeartbeatResponse, _ error) { got[j] = t })
			if i%3 == 0 { // the other node lags
				break
			}
		}
		if g.run(1, 1000); g.state.Fleet.LostState != "" {
			t.Fatalf("LostState = %q after %d batches, want none", g.state.Fleet.LostState, i)
		}
	}
	if n := len(g.state.Checksums); n < maxChecksums || n > 2*maxChecksums {
		t.Errorf("%d checksums kept, want %d to %d", n, maxChecksums, 2*maxChecksums)
	}
}

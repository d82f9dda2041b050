package agent

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// testDriver is an agent with a clock, which the test answers.
type testDriver struct {
	*testing.T
	agent    *Agent
	now      uint64
	request  api.HeartbeatRequest
	sequence uint64
}

func startAgent(t *testing.T, stored *Record, without policy.Guard) *testDriver {
	d := &testDriver{T: t, now: 1000}
	d.agent = New(Config{Name: "n", Zone: "z", ControlAddresses: []string{"a", "b", "c"}, Nonce: "nonce-00000000",
		JitterSeed:     7,
		DisabledGuards: without}, stored, d.now)
	return d
}

// nextHeartbeat lets time go on to the next heartbeat.
func (d *testDriver) nextHeartbeat() {
	d.Helper()
	for end := d.now + 70_000; d.now <= end; d.now += 5 {
		var due bool
		if d.request, d.sequence, due = d.agent.Heartbeat(d.now); due {
			return
		}
	}
	d.Fatal("nothing was asked within 70 s")
}

func (d *testDriver) handleResponse(t api.HeartbeatResponse) error {
	d.Helper()
	if t.Cluster == "" {
		t.Cluster = "g"
	}
	t.Term = max(t.Term, 1)
	return d.agent.HandleResponse(d.now, d.sequence, t)
}

// join takes a lease under a version in force.
func (d *testDriver) join(version uint64, alone bool) {
	d.Helper()
	d.nextHeartbeat()
	v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
	if err := d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: version, CommittedVersion: v,
		Autonomous: alone, Index: 10,
		NextHeartbeatMS: 1000}); err != nil {
		d.Fatal(err)
	}
	if version > 0 {
		d.activate(version, alone)
	}
}

func (d *testDriver) activate(version uint64, alone bool) {
	d.Helper()
	v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
	if w, _, ok := d.agent.VersionToFetch(); !ok || w != v {
		d.Fatalf("wants %v %v, expected %v", w, ok, v)
	}
	d.agent.MarkPrepared(d.now, v)
	if got, ok := d.agent.VersionToActivate(d.now); !ok || got != v {
		d.Fatalf("takes %v %v, expected %v", got, ok, v)
	}
	d.agent.MarkActive(d.now, v, alone)
}

func (d *testDriver) checkServing(want bool, why string) {
	d.Helper()
	if ok, got := d.agent.MayServe(d.now); ok != want || !strings.Contains(got, why) {
		d.Errorf("at %d: serves %v (%s), expected %v (%s)", d.now, ok, got, want, why)
	}
}

// TestLeaseRunsFromSendingOfHeartbeat: a response is delayed, on the network or by a leader that was paused. A node
// that counted its lease from the response would serve past the time at which the group counts it out. So a slow
// response brings less time, and one to a heartbeat that was given up brings none.
func TestLeaseRunsFromSendingOfHeartbeat(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.checkServing(false, "not heard")
	d.nextHeartbeat()
	sent := d.now
	d.now += 700
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, Index: 1, NextHeartbeatMS: 1000})
	d.checkServing(true, "")
	d.now = sent + 3999
	d.checkServing(true, "")
	d.now = sent + 4000
	d.checkServing(false, "run out")
	d.nextHeartbeat()
	d.now += d.agent.HeartbeatTimeout()
	d.agent.HandleFailure(d.now, d.sequence)
	late := d.sequence
	d.nextHeartbeat()
	if err := d.agent.HandleResponse(d.now, late, api.HeartbeatResponse{Cluster: "g", Term: 1, Index: 2, LeaseID: 5,
		LeaseMS: 4000}); err != nil {
		t.Fatal(err)
	}
	d.checkServing(false, "run out") // the response to a heartbeat that was given up
}

// TestDecidedVersionFencesNode: the group has decided on a version that the node has not prepared. If the node served on,
// it would serve under the older version after the change was settled. So from that moment on it serves under nothing
// older, promises so with its next heartbeat, and serves again once it has activated the committed version.
func TestDecidedVersionFencesNode(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(1, false)
	d.checkServing(true, "")
	d.nextHeartbeat()
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 11,
		NextHeartbeatMS: 1000}) // held
	d.checkServing(false, "version 2 is decided")
	d.nextHeartbeat()
	if d.request.MinVersion != 2 || !strings.Contains(d.request.Fenced, "decided") {
		t.Errorf("it asks with %+v, expected the promise of version 2", d.request)
	}
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"},
		Index:            12, NextHeartbeatMS: 1000})
	d.activate(2, false)
	d.checkServing(true, "")
}

// TestRejectedResponses: an instance is behind, belongs to another group, or contradicts itself. A node that believed
// it could go back to an older version. So its response changes nothing, and the next heartbeat goes to another
// instance; one that no correct instance would send keeps its sender out of use for longer.
func TestRejectedResponses(t *testing.T) {
	for what, c := range map[string]struct {
		t    api.HeartbeatResponse
		kind error
		back uint64 // it is not asked again sooner
	}{
		"behind in its log": {api.HeartbeatResponse{Index: 9, DecidedVersion: 3,
			CommittedVersion: api.VersionHash{Version: 3}}, ErrStale, 0},
		"of another group": {api.HeartbeatResponse{Cluster: "other", Index: 99, DecidedVersion: 7,
			CommittedVersion: api.VersionHash{Version: 7}}, ErrUntrusted, untrustedBackoff / 2},
		"in force, not decided": {api.HeartbeatResponse{Index: 99, DecidedVersion: 3,
			CommittedVersion: api.VersionHash{Version: 4}}, ErrUntrusted, untrustedBackoff / 2},
		"an older one decided": {api.HeartbeatResponse{Index: 99, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2}}, ErrStale, 0},
		"without a group at all": {api.HeartbeatResponse{Cluster: " ", Index: 99, DecidedVersion: 3}, ErrUntrusted,
			untrustedBackoff / 2},
	} {
		d := startAgent(t, nil, 0)
		d.join(3, false)
		d.nextHeartbeat()
		at := d.agent.ControlAddress()
		if strings.TrimSpace(c.t.Cluster) == "" && c.t.Cluster != "" {
			c.t.Cluster = ""
			if err := d.agent.HandleResponse(d.now, d.sequence, c.t); !errors.Is(err, c.kind) {
				t.Errorf("%s: found %v, expected %v", what, err, c.kind)
			}
		} else if err := d.handleResponse(c.t); !errors.Is(err, c.kind) {
			t.Errorf("%s: found %v, expected %v", what, err, c.kind)
		}
		if d.agent.ControlAddress() == at {
			t.Errorf("%s: it goes on contacting %s", what, at)
		}
		if d.agent.CommittedVersion() != 3 || d.agent.ActiveVersion() != 3 || d.agent.MinVersion() != 3 {
			t.Errorf("%s: changed what it serves to %d, in force %d", what, d.agent.ActiveVersion(),
				d.agent.CommittedVersion())
		}
		for k := range d.agent.instances.list {
			if d.agent.instances.list[k].address == at && d.agent.instances.list[k].notBefore < d.now+c.back {
				t.Errorf("%s: asked again after %d ms, expected %d at least", what,
					d.agent.instances.list[k].notBefore-d.now, c.back)
			}
		}
	}
}

// TestBackoffWithoutInstances: no instance answers. Each is contacted less and less often, within the bound, and none is
// forgotten, so that the first that comes back is found.
func TestBackoffWithoutInstances(t *testing.T) {
	d := startAgent(t, nil, 0)
	asked, times := map[string]int{}, 0
	for end := d.now + 30_000; d.now < end; times++ {
		d.nextHeartbeat()
		asked[d.agent.ControlAddress()]++
		d.now += 20
		d.agent.HandleFailure(d.now, d.sequence)
	}
	if len(asked) != 3 || times < 20 || times > 120 {
		t.Errorf("asked %v, %d times in 30 s; expected all three, 20 to 120 times", asked, times)
	}
}

// TestAutonomousStart: a node is restarted while no instance answers. It serves the version that its disk has if that
// version lets nodes serve autonomously, and never if its record knows of a newer decision: the fleet may have gone
// on without it.
func TestAutonomousStart(t *testing.T) {
	stored := Record{Cluster: "g", ActiveVersion: 3, ActiveHash: "h3", ActiveAutonomous: true, MinVersion: 3}
	for what, c := range map[string]struct {
		change func(*Record)
		serves bool
	}{
		"go-on":                   {func(*Record) {}, true},
		"fence":                   {func(r *Record) { r.ActiveAutonomous = false }, false},
		"a newer one was decided": {func(r *Record) { r.MinVersion = 4 }, false},
		"killed as it took the next over": {func(r *Record) {
			r.ActiveVersion, r.ActiveHash, r.MinVersion, r.PreparedVersion, r.PreparedHash, r.PreparedAutonomous = 2,
				"h2", 3, 3, "h3", true
		}, true},
		"the same, and that one fences": {func(r *Record) {
			r.ActiveVersion, r.ActiveHash, r.MinVersion, r.PreparedVersion, r.PreparedHash = 2, "h2", 3, 3, "h3"
		}, false},
		"it had said prepared, in doubt": {func(r *Record) { r.PreparedVersion, r.PreparedHash = 4, "h4" }, true},
	} {
		r := stored
		c.change(&r)
		d := startAgent(t, &r, 0)
		for end := d.now + 2*autonomousStartDelay; d.now < end; {
			d.nextHeartbeat()
			d.now += 50
			d.agent.HandleFailure(d.now, d.sequence)
			if v, ok := d.agent.VersionToActivate(d.now); ok {
				if v.Version != 3 {
					t.Errorf("%s: takes version %d", what, v.Version)
				}
				d.agent.MarkActive(d.now, v, true)
			}
		}
		if ok, why := d.agent.MayServe(d.now); ok != c.serves {
			t.Errorf("%s: serves %v (%s), expected %v", what, ok, why, c.serves)
		}
		if !c.serves {
			continue
		}
		if !d.agent.Autonomous(d.now) {
			t.Errorf("%s: it does not say that it is alone", what)
		}
		d.nextHeartbeat()
		d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 4,
			CommittedVersion: api.VersionHash{Version: 4, Hash: "h4"},
			Index:            1})
		d.checkServing(false, "version 4 is decided")
	}
}

// TestLeave: a node shuts down. It ends its lease with one heartbeat, even if another was in flight, so that the
// group need not wait for the lease to expire; and it never joins again.
func TestLeave(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(1, false)
	d.nextHeartbeat()
	d.agent.Leave(d.now)
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 1,
		CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"},
		Index:            11, NextHeartbeatMS: 1000})
	before := d.now
	d.nextHeartbeat()
	if !d.request.Leave || d.now-before > 200 {
		t.Fatalf("after %d ms it sends %+v, expected that it leaves", d.now-before, d.request)
	}
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, DecidedVersion: 1,
		CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 12,
		NextHeartbeatMS: 1000})
	for end := d.now + 20_000; d.now < end; d.now += 50 {
		if a, _, due := d.agent.Heartbeat(d.now); due {
			t.Fatalf("after it has left it sends %+v", a)
		}
	}
}

// TestRestoredGroup: the group has lost its state and was restored, and an instance of the old generation is still up.
// The node follows the newest generation that it knows, serves on under what is left of its lease until that takes it
// in, and never follows an older generation, nor goes back to an older version with a newer one.
func TestRestoredGroup(t *testing.T) {
	second := func(need uint64) api.HeartbeatResponse {
		v := api.VersionHash{Version: need, Hash: fmt.Sprint("h", need)}
		return api.HeartbeatResponse{Cluster: "g2", Generation: 2, Predecessors: []string{"g"}, DecidedVersion: need,
			CommittedVersion: v, Index: 3,
			NextHeartbeatMS: 1000}
	}
	d := startAgent(t, nil, 0)
	d.join(2, false)
	d.nextHeartbeat()
	if h := d.request.LastSeen; h == nil || h.Group != "g" || h.Generation != 1 || h.Index != 10 ||
		h.ActiveHash != "h2" {
		t.Fatalf("it asks with %+v, expected where the group stood", h)
	}
	// One that was restored from before version 2 is not followed, and may catch up.
	if err := d.handleResponse(second(1)); err == nil || !strings.Contains(err.Error(), "restored without") {
		t.Fatalf("%v", err)
	}
	if ok, _ := d.agent.MayServe(d.now); !ok {
		t.Fatal("it does not serve on under its lease")
	}
	d.nextHeartbeat()
	d.agent.zone.order = &api.ZoneOrder{Epoch: 90, Share: 32}
	one := second(2)
	one.EndedReason = "its lease is of another generation"
	if err := d.handleResponse(one); err != nil {
		t.Fatal(err)
	}
	if ok, why := d.agent.MayServe(d.now); !ok || d.agent.LeaseID() != 0 || d.agent.Autonomous(d.now) {
		t.Fatalf("between the generations: %v %s, lease %d", ok, why, d.agent.LeaseID())
	}
	// Its zone's order holds until the new one says otherwise, and that one's epochs need not be later.
	if z := d.agent.ZoneOrder(); z == nil || z.Share != 32 || d.agent.StoredZoneOrder().Epoch != 0 {
		t.Fatalf("%+v: it forgot what it may take", z)
	}
	until := d.agent.LeaseExpiry()
	d.nextHeartbeat()
	if d.request.MinZoneEpoch != 0 {
		t.Fatalf("it promises epoch %d of an earlier generation", d.request.MinZoneEpoch)
	}
	if d.request.LeaseID != 0 || d.request.LastSeen.Group != "g2" || d.request.LastSeen.Generation != 2 {
		t.Fatalf("it asks %+v, expected to join the new one", d.request)
	}
	if ok, _ := d.agent.MayServe(until); ok {
		t.Fatal("it serves past the end of the old lease")
	}
	one = second(2)
	one.LeaseID, one.LeaseMS, one.Zone = 9, 4000, &api.ZoneOrder{Epoch: 3, Share: 256}
	if err := d.handleResponse(one); err != nil {
		t.Fatal(err)
	}
	if ok, _ := d.agent.MayServe(d.now + 3000); !ok || d.agent.ActiveVersion() != 2 {
		t.Fatal("it is in and does not serve")
	}
	// The old generation goes on, far ahead: nobody follows it. A sibling of the new one neither.
	for what, told := range map[string]api.HeartbeatResponse{
		"the old one": {Cluster: "g", Generation: 1, Term: 90, Index: 9000, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}},
		"a sibling": {Cluster: "g7", Generation: 2, Predecessors: []string{"g"}, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}},
		"a stranger": {Cluster: "g8", Generation: 3, Predecessors: []string{"g7"}, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}} {
		d.nextHeartbeat()
		if err := d.handleResponse(told); err == nil {
			t.Errorf("it follows %s", what)
		}
	}
	// Over a restart it is remembered.
	d = startAgent(t, &Record{Cluster: "g2", Generation: 2, ActiveVersion: 2, ActiveHash: "h2", MinVersion: 2, Term: 4,
		Index: 77}, 0)
	d.nextHeartbeat()
	if h := d.request.LastSeen; h == nil || h.Generation != 2 || h.Index != 77 {
		t.Fatalf("after a restart it asks with %+v", h)
	}
	if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g", Generation: 1, Index: 9000, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}); err == nil {
		t.Error("after a restart it follows the old generation")
	}
	without := startAgent(t, &Record{Cluster: "g2", Generation: 2, ActiveVersion: 2, ActiveHash: "h2", MinVersion: 2},
		policy.Generation)
	without.nextHeartbeat()
	if err := without.handleResponse(api.HeartbeatResponse{Cluster: "g", Generation: 1, Index: 9000, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}); err != nil {
		t.Errorf("without the guard the old generation is not followed either: %v", err)
	}
}

// TestRecordRequested: an operator restores the group and collects what the nodes hold. The node is asked for its
// record once; the response counts as no fault of the instance, and the lease stays.
func TestRecordRequested(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(2, false)
	d.nextHeartbeat()
	if err := d.handleResponse(api.HeartbeatResponse{CollectRecord: true}); err != nil || !d.agent.TakeRecordRequest() ||
		d.agent.TakeRecordRequest() {
		t.Fatalf("%v: expected to be asked for what it holds, once", err)
	}
	if ok, _ := d.agent.MayServe(d.now); !ok || d.agent.MinVersion() != 2 {
		t.Fatal("it forgot its lease")
	}
	was := d.now
	d.nextHeartbeat()
	if d.now-was > maxBackoff {
		t.Errorf("it asks again after %d ms", d.now-was)
	}
}

// TestFirstGeneration: a node that knows no group takes the generation of the first that it contacts. Else it would
// refuse that group's next generation, or follow a sibling of it.
func TestFirstGeneration(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.nextHeartbeat()
	if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g3", Generation: 3, Predecessors: []string{"g", "g2"},
		Term: 1, Index: 5, EntryChecksum: 77,
		LeaseID: 4, LeaseMS: 4000}); err != nil {
		t.Fatal(err)
	}
	d.nextHeartbeat()
	if h := d.request.LastSeen; h == nil || h.Generation != 3 || h.EntryChecksum != 77 {
		t.Fatalf("it asks with %+v, expected generation 3 and what the entry was", h)
	}
	if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g4", Generation: 3, Predecessors: []string{"g", "g2", "g3"},
		Term:  1,
		Index: 9}); err == nil {
		t.Error("it follows another group of its own generation")
	}
}

// TestPreparedVersionMatchesHash: a group that lost state gives the number of a version to another document. A version counts as
// prepared by its hash, not by its number; else the node would vote for, and activate, a document that the group does
// not mean.
func TestPreparedVersionMatchesHash(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(2, false)
	told := func(hash string) {
		t.Helper()
		d.nextHeartbeat()
		if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g", Term: 1, Index: 10, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"},
			PrepareVersion:   api.VersionHash{Version: 3, Hash: hash}, LeaseID: 1, LeaseMS: 4000}); err != nil {
			t.Fatal(err)
		}
	}
	told("h3")
	d.agent.MarkPrepared(d.now, api.VersionHash{Version: 3, Hash: "h3"})
	if d.nextHeartbeat(); d.request.PreparedVersion != 3 {
		t.Fatalf("%+v: it does not say that it is prepared", d.request)
	}
	d.agent.HandleFailure(d.now, d.sequence)
	told("another")
	if d.nextHeartbeat(); d.request.PreparedVersion != 0 {
		t.Fatalf("%+v: it says that it has prepared a text that it never saw", d.request)
	}
	if v, _, ok := d.agent.VersionToFetch(); !ok || v.Hash != "another" {
		t.Fatalf("it wants %+v, expected the other text", v)
	}
}

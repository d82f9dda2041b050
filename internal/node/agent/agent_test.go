package agent

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// testDriver drives an agent with its own clock; the test supplies the responses.
type testDriver struct {
	*testing.T
	agent    *Agent
	now      uint64
	request  api.HeartbeatRequest // the last one
	sequence uint64
}

func startAgent(t *testing.T, stored *Record, disabled policy.Guard) *testDriver {
	d := &testDriver{T: t, now: 1000}
	d.agent = New(Config{Name: "n", Zone: "z", ControlAddresses: []string{"a", "b", "c"}, Nonce: "nonce-00000000",
		JitterSeed: 7, DisabledGuards: disabled}, stored, d.now)
	return d
}

// nextHeartbeat advances the clock to the next heartbeat.
func (d *testDriver) nextHeartbeat() {
	d.Helper()
	for end := d.now + 70_000; d.now <= end; d.now += 5 {
		var due bool
		if d.request, d.sequence, due = d.agent.Heartbeat(d.now); due {
			return
		}
	}
	d.Fatal("no heartbeat within 70 s, want one")
}

func (d *testDriver) handleResponse(r api.HeartbeatResponse) error {
	d.Helper()
	if r.Cluster == "" {
		r.Cluster = "g"
	}
	r.Term = max(r.Term, 1)
	return d.agent.HandleResponse(d.now, d.sequence, r)
}

// join joins the group under a committed version and activates it.
func (d *testDriver) join(version uint64, autonomous bool) {
	d.Helper()
	d.nextHeartbeat()
	v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
	if err := d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: version,
		CommittedVersion: v, Autonomous: autonomous, Index: 10, NextHeartbeatMS: 1000}); err != nil {
		d.Fatal(err)
	}
	if version > 0 {
		d.activate(version, autonomous)
	}
}

func (d *testDriver) activate(version uint64, autonomous bool) {
	d.Helper()
	v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
	if got, _, ok := d.agent.VersionToFetch(); !ok || got != v {
		d.Fatalf("VersionToFetch() = %v, %v, want %v", got, ok, v)
	}
	d.agent.MarkPrepared(d.now, v)
	if got, ok := d.agent.VersionToActivate(d.now); !ok || got != v {
		d.Fatalf("VersionToActivate() = %v, %v, want %v", got, ok, v)
	}
	d.agent.MarkActive(d.now, v, autonomous)
}

func (d *testDriver) checkServing(want bool, reason string) {
	d.Helper()
	if ok, got := d.agent.MayServe(d.now); ok != want || !strings.Contains(got, reason) {
		d.Errorf("MayServe(%d) = %v, %q, want %v, %q", d.now, ok, got, want, reason)
	}
}

// TestLeaseRunsFromSendingOfHeartbeat guards against a node that serves after its lease has expired at the group: a
// slow response grants less time, and one to a heartbeat that has failed grants none.
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
	failed := d.sequence
	d.nextHeartbeat()
	if err := d.agent.HandleResponse(d.now, failed, api.HeartbeatResponse{Cluster: "g", Term: 1, Index: 2, LeaseID: 5,
		LeaseMS: 4000}); err != nil {
		t.Fatal(err)
	}
	d.checkServing(false, "run out") // the response to the failed heartbeat was ignored
}

// TestDecidedVersionFencesNode guards against a node that serves under an older version than the decided one: it is
// fenced, promises the decided version, and serves again once it has activated the committed one.
func TestDecidedVersionFencesNode(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(1, false)
	d.checkServing(true, "")
	d.nextHeartbeat()
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 11,
		NextHeartbeatMS: 1000}) // the lease isn't renewed
	d.checkServing(false, "version 2 is decided")
	d.nextHeartbeat()
	if d.request.MinVersion != 2 || !strings.Contains(d.request.Fenced, "decided") {
		t.Errorf("heartbeat %+v, want MinVersion 2 and the reason of fencing", d.request)
	}
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"},
		Index:            12, NextHeartbeatMS: 1000})
	d.activate(2, false)
	d.checkServing(true, "")
}

// TestRejectedResponses guards against a response of a stale or untrusted instance that moves the node to another
// version. It changes nothing, and the next heartbeat goes to another instance.
func TestRejectedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		response   api.HeartbeatResponse
		want       error
		minBackoff uint64 // ms
	}{
		"earlier index": {api.HeartbeatResponse{Index: 9, DecidedVersion: 3,
			CommittedVersion: api.VersionHash{Version: 3}}, ErrStale, 0},
		"another group": {api.HeartbeatResponse{Cluster: "other", Index: 99, DecidedVersion: 7,
			CommittedVersion: api.VersionHash{Version: 7}}, ErrUntrusted, untrustedBackoff / 2},
		"committed, not decided": {api.HeartbeatResponse{Index: 99, DecidedVersion: 3,
			CommittedVersion: api.VersionHash{Version: 4}}, ErrUntrusted, untrustedBackoff / 2},
		"older decided version": {api.HeartbeatResponse{Index: 99, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2}}, ErrStale, 0},
		"no group name": {api.HeartbeatResponse{Cluster: " ", Index: 99, DecidedVersion: 3}, ErrUntrusted,
			untrustedBackoff / 2},
	} {
		d := startAgent(t, nil, 0)
		d.join(3, false)
		d.nextHeartbeat()
		address := d.agent.ControlAddress()
		if strings.TrimSpace(c.response.Cluster) == "" && c.response.Cluster != "" {
			c.response.Cluster = ""
			if err := d.agent.HandleResponse(d.now, d.sequence, c.response); !errors.Is(err, c.want) {
				t.Errorf("%s: HandleResponse() = %v, want %v", name, err, c.want)
			}
		} else if err := d.handleResponse(c.response); !errors.Is(err, c.want) {
			t.Errorf("%s: HandleResponse() = %v, want %v", name, err, c.want)
		}
		if d.agent.ControlAddress() == address {
			t.Errorf("%s: ControlAddress() = %s after the rejection, want another instance", name, address)
		}
		if d.agent.CommittedVersion() != 3 || d.agent.ActiveVersion() != 3 || d.agent.MinVersion() != 3 {
			t.Errorf("%s: active version %d, committed %d, minimum %d, want 3 for all", name, d.agent.ActiveVersion(),
				d.agent.CommittedVersion(), d.agent.MinVersion())
		}
		for k := range d.agent.instances.list {
			i := &d.agent.instances.list[k]
			if i.address == address && i.notBefore < d.now+c.minBackoff {
				t.Errorf("%s: backoff of %d ms, want at least %d", name, i.notBefore-d.now, c.minBackoff)
			}
		}
	}
}

// TestBackoffWithoutInstances guards against too many heartbeats while no instance responds, and against an instance
// that is no longer contacted.
func TestBackoffWithoutInstances(t *testing.T) {
	d := startAgent(t, nil, 0)
	byAddress, heartbeats := map[string]int{}, 0
	for end := d.now + 30_000; d.now < end; heartbeats++ {
		d.nextHeartbeat()
		byAddress[d.agent.ControlAddress()]++
		d.now += 20
		d.agent.HandleFailure(d.now, d.sequence)
	}
	if len(byAddress) != 3 || heartbeats < 20 || heartbeats > 120 {
		t.Errorf("%d heartbeats in 30 s, %v, want 20 to 120 to all three instances", heartbeats, byAddress)
	}
}

// TestAutonomousStart guards against a node that can't start while no instance responds, though its stored version
// allows autonomous serving, and against one that serves under a version older than a decided one.
func TestAutonomousStart(t *testing.T) {
	stored := Record{Cluster: "g", ActiveVersion: 3, ActiveHash: "h3", ActiveAutonomous: true, MinVersion: 3}
	for name, c := range map[string]struct {
		change func(*Record)
		serves bool
	}{
		"autonomous":            {func(*Record) {}, true},
		"not autonomous":        {func(r *Record) { r.ActiveAutonomous = false }, false},
		"newer version decided": {func(r *Record) { r.MinVersion = 4 }, false},
		"stopped during an activation": {func(r *Record) {
			r.ActiveVersion, r.ActiveHash, r.MinVersion, r.PreparedVersion, r.PreparedHash, r.PreparedAutonomous = 2,
				"h2", 3, 3, "h3", true
		}, true},
		"stopped during an activation, not autonomous": {func(r *Record) {
			r.ActiveVersion, r.ActiveHash, r.MinVersion, r.PreparedVersion, r.PreparedHash = 2, "h2", 3, 3, "h3"
		}, false},
		"newer version prepared, not decided": {func(r *Record) { r.PreparedVersion, r.PreparedHash = 4, "h4" }, true},
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
					t.Errorf("%s: VersionToActivate() = %d, want 3", name, v.Version)
				}
				d.agent.MarkActive(d.now, v, true)
			}
		}
		if ok, reason := d.agent.MayServe(d.now); ok != c.serves {
			t.Errorf("%s: MayServe() = %v, %q, want %v", name, ok, reason, c.serves)
		}
		if !c.serves {
			continue
		}
		if !d.agent.Autonomous(d.now) {
			t.Errorf("%s: Autonomous() = false, want true", name)
		}
		d.nextHeartbeat()
		d.handleResponse(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 4,
			CommittedVersion: api.VersionHash{Version: 4, Hash: "h4"}, Index: 1})
		d.checkServing(false, "version 4 is decided")
	}
}

// TestLeave guards against a node that shuts down without ending its lease, which the group would have to wait for, or
// that joins again after that.
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
		t.Fatalf("heartbeat after %d ms: %+v, want Leave within 200 ms", d.now-before, d.request)
	}
	d.handleResponse(api.HeartbeatResponse{LeaseID: 5, DecidedVersion: 1,
		CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 12,
		NextHeartbeatMS: 1000})
	for end := d.now + 20_000; d.now < end; d.now += 50 {
		if request, _, due := d.agent.Heartbeat(d.now); due {
			t.Fatalf("heartbeat after leaving: %+v, want none", request)
		}
	}
}

// TestRestoredGroup guards against a node that follows an earlier generation of a restored group, or an unrelated
// group, goes back to an older version, or doesn't serve under the rest of its lease between two generations.
func TestRestoredGroup(t *testing.T) {
	restored := func(version uint64) api.HeartbeatResponse {
		v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
		return api.HeartbeatResponse{Cluster: "g2", Generation: 2, Predecessors: []string{"g"},
			DecidedVersion: version, CommittedVersion: v, Index: 3, NextHeartbeatMS: 1000}
	}
	d := startAgent(t, nil, 0)
	d.join(2, false)
	d.nextHeartbeat()
	if h := d.request.LastSeen; h == nil || h.Group != "g" || h.Generation != 1 || h.Index != 10 ||
		h.ActiveHash != "h2" {
		t.Fatalf("LastSeen = %+v, want group g, generation 1, index 10 and hash h2", h)
	}
	// A group that was restored without version 2 is not followed.
	if err := d.handleResponse(restored(1)); err == nil || !strings.Contains(err.Error(), "restored without") {
		t.Fatalf("HandleResponse() = %v, want an error: restored without the version", err)
	}
	if ok, _ := d.agent.MayServe(d.now); !ok {
		t.Fatal("MayServe() = false under the lease of the previous generation, want true")
	}
	d.nextHeartbeat()
	d.agent.zone.order = &api.ZoneOrder{Epoch: 90, Share: 32}
	response := restored(2)
	response.EndedReason = "its lease is of another generation"
	if err := d.handleResponse(response); err != nil {
		t.Fatal(err)
	}
	if ok, reason := d.agent.MayServe(d.now); !ok || d.agent.LeaseID() != 0 || d.agent.Autonomous(d.now) {
		t.Fatalf("between generations: MayServe() = %v, %q, LeaseID() = %d, Autonomous() = %v, want true, 0, false",
			ok, reason, d.agent.LeaseID(), d.agent.Autonomous(d.now))
	}
	// The zone order applies until the new generation sends its own, whose epoch may be lower.
	if order := d.agent.ZoneOrder(); order == nil || order.Share != 32 || d.agent.StoredZoneOrder().Epoch != 0 {
		t.Fatalf("ZoneOrder() = %+v, want share 32, stored without its epoch", order)
	}
	expiry := d.agent.LeaseExpiry()
	d.nextHeartbeat()
	if d.request.MinZoneEpoch != 0 {
		t.Fatalf("MinZoneEpoch = %d of an earlier generation, want 0", d.request.MinZoneEpoch)
	}
	if d.request.LeaseID != 0 || d.request.LastSeen.Group != "g2" || d.request.LastSeen.Generation != 2 {
		t.Fatalf("heartbeat %+v, want a join of generation 2 of group g2", d.request)
	}
	if ok, _ := d.agent.MayServe(expiry); ok {
		t.Fatal("MayServe() = true after the expiry of the earlier lease, want false")
	}
	response = restored(2)
	response.LeaseID, response.LeaseMS, response.Zone = 9, 4000, &api.ZoneOrder{Epoch: 3, Share: 256}
	if err := d.handleResponse(response); err != nil {
		t.Fatal(err)
	}
	if ok, _ := d.agent.MayServe(d.now + 3000); !ok || d.agent.ActiveVersion() != 2 {
		t.Fatalf("under the new lease: MayServe() = %v, active version %d, want true and 2", ok,
			d.agent.ActiveVersion())
	}
	// Instances of an earlier generation that still run, and other groups, are not followed.
	for name, response := range map[string]api.HeartbeatResponse{
		"earlier generation": {Cluster: "g", Generation: 1, Term: 90, Index: 9000, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}},
		"another group of the same generation": {Cluster: "g7", Generation: 2, Predecessors: []string{"g"},
			DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}},
		"unrelated group": {Cluster: "g8", Generation: 3, Predecessors: []string{"g7"}, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}} {
		d.nextHeartbeat()
		if err := d.handleResponse(response); err == nil {
			t.Errorf("%s: HandleResponse() = nil, want an error", name)
		}
	}
	// The generation survives a restart.
	d = startAgent(t, &Record{Cluster: "g2", Generation: 2, ActiveVersion: 2, ActiveHash: "h2", MinVersion: 2, Term: 4,
		Index: 77}, 0)
	d.nextHeartbeat()
	if h := d.request.LastSeen; h == nil || h.Generation != 2 || h.Index != 77 {
		t.Fatalf("LastSeen after a restart = %+v, want generation 2 and index 77", h)
	}
	if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g", Generation: 1, Index: 9000, DecidedVersion: 2,
		CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}); err == nil {
		t.Error("after a restart: HandleResponse() of an earlier generation = nil, want an error")
	}
	unguarded := startAgent(t, &Record{Cluster: "g2", Generation: 2, ActiveVersion: 2, ActiveHash: "h2", MinVersion: 2},
		policy.NewestGeneration)
	unguarded.nextHeartbeat()
	if err := unguarded.handleResponse(api.HeartbeatResponse{Cluster: "g", Generation: 1, Index: 9000,
		DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}); err != nil {
		t.Errorf("without the guard: HandleResponse() of an earlier generation = %v, want nil", err)
	}
}

// TestRecordRequested guards against a request for the node's record that is reported more than once, costs the lease
// or counts as a fault of the instance.
func TestRecordRequested(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(2, false)
	d.nextHeartbeat()
	if err := d.handleResponse(api.HeartbeatResponse{CollectRecord: true}); err != nil ||
		!d.agent.TakeRecordRequest() || d.agent.TakeRecordRequest() {
		t.Fatalf("HandleResponse() = %v, want nil and one request for the record", err)
	}
	if ok, _ := d.agent.MayServe(d.now); !ok || d.agent.MinVersion() != 2 {
		t.Fatalf("MayServe() = %v, MinVersion() = %d after a request for the record, want true and 2", ok,
			d.agent.MinVersion())
	}
	before := d.now
	d.nextHeartbeat()
	if d.now-before > maxBackoff {
		t.Errorf("next heartbeat after %d ms, want at most %d", d.now-before, maxBackoff)
	}
}

// TestFirstGeneration guards against a node that doesn't take over the generation of the first group that it contacts:
// it would follow another group of the same generation.
func TestFirstGeneration(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.nextHeartbeat()
	if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g3", Generation: 3, Predecessors: []string{"g", "g2"},
		Term: 1, Index: 5, EntryChecksum: 77, LeaseID: 4, LeaseMS: 4000}); err != nil {
		t.Fatal(err)
	}
	d.nextHeartbeat()
	if h := d.request.LastSeen; h == nil || h.Generation != 3 || h.EntryChecksum != 77 {
		t.Fatalf("LastSeen = %+v, want generation 3 and entry checksum 77", h)
	}
	if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g4", Generation: 3,
		Predecessors: []string{"g", "g2", "g3"}, Term: 1, Index: 9}); err == nil {
		t.Error("HandleResponse() of another group of the same generation = nil, want an error")
	}
}

// TestPreparedVersionMatchesHash guards against a vote for, or the activation of, another document under the number of
// a prepared version, which a group that lost state may reuse.
func TestPreparedVersionMatchesHash(t *testing.T) {
	d := startAgent(t, nil, 0)
	d.join(2, false)
	propose := func(hash string) {
		t.Helper()
		d.nextHeartbeat()
		if err := d.handleResponse(api.HeartbeatResponse{Cluster: "g", Term: 1, Index: 10, DecidedVersion: 2,
			CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"},
			PrepareVersion:   api.VersionHash{Version: 3, Hash: hash}, LeaseID: 1, LeaseMS: 4000}); err != nil {
			t.Fatal(err)
		}
	}
	propose("h3")
	d.agent.MarkPrepared(d.now, api.VersionHash{Version: 3, Hash: "h3"})
	if d.nextHeartbeat(); d.request.PreparedVersion != 3 {
		t.Fatalf("PreparedVersion = %d, want 3", d.request.PreparedVersion)
	}
	d.agent.HandleFailure(d.now, d.sequence)
	propose("another")
	if d.nextHeartbeat(); d.request.PreparedVersion != 0 {
		t.Fatalf("PreparedVersion = %d for another document, want 0", d.request.PreparedVersion)
	}
	if v, _, ok := d.agent.VersionToFetch(); !ok || v.Hash != "another" {
		t.Fatalf("VersionToFetch() = %+v, %v, want the other document", v, ok)
	}
}

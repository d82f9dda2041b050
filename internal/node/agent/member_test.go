package agent

import (
	"fmt"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// drive is a member with a clock, told things by the test.
type drive struct {
	*testing.T
	m   *Agent
	now uint64
	ask api.HeartbeatRequest
	no  uint64
}

func begin(t *testing.T, kept *Record, without policy.Guard) *drive {
	d := &drive{T: t, now: 1000}
	d.m = New(Config{Name: "n", Zone: "z", ControlAddresses: []string{"a", "b", "c"}, Nonce: "nonce-00000000", JitterSeed: 7,
		DisabledGuards: without}, kept, d.now)
	return d
}

// asks lets time go on to the next asking.
func (d *drive) asks() {
	d.Helper()
	for end := d.now + 70_000; d.now <= end; d.now += 5 {
		var due bool
		if d.ask, d.no, due = d.m.Heartbeat(d.now); due {
			return
		}
	}
	d.Fatal("nothing was asked within 70 s")
}

func (d *drive) told(t api.HeartbeatResponse) error {
	d.Helper()
	if t.Cluster == "" {
		t.Cluster = "g"
	}
	t.Term = max(t.Term, 1)
	return d.m.HandleResponse(d.now, d.no, t)
}

// joined takes a lease under a version in force.
func (d *drive) joined(version uint64, alone bool) {
	d.Helper()
	d.asks()
	v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
	if err := d.told(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: version, CommittedVersion: v, Autonomous: alone, Index: 10, NextHeartbeatMS: 1000}); err != nil {
		d.Fatal(err)
	}
	if version > 0 {
		d.takes(version, alone)
	}
}

func (d *drive) takes(version uint64, alone bool) {
	d.Helper()
	v := api.VersionHash{Version: version, Hash: fmt.Sprint("h", version)}
	if w, _, ok := d.m.VersionToFetch(); !ok || w != v {
		d.Fatalf("wants %v %v, expected %v", w, ok, v)
	}
	d.m.MarkPrepared(d.now, v)
	if got, ok := d.m.VersionToActivate(d.now); !ok || got != v {
		d.Fatalf("takes %v %v, expected %v", got, ok, v)
	}
	d.m.MarkActive(d.now, v, alone)
}

func (d *drive) serves(want bool, why string) {
	d.Helper()
	if ok, got := d.m.MayServe(d.now); ok != want || !strings.Contains(got, why) {
		d.Errorf("at %d: serves %v (%s), expected %v (%s)", d.now, ok, got, want, why)
	}
}

// TestLeaseRunsFromTheAsking: an answer that took long brings less, and one that came too late brings nothing.
func TestLeaseRunsFromTheAsking(t *testing.T) {
	d := begin(t, nil, 0)
	d.serves(false, "not heard")
	d.asks()
	sent := d.now
	d.now += 700
	d.told(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, Index: 1, NextHeartbeatMS: 1000})
	d.serves(true, "")
	d.now = sent + 3999
	d.serves(true, "")
	d.now = sent + 4000
	d.serves(false, "run out")
	d.asks()
	d.now += d.m.HeartbeatTimeout()
	d.m.HandleFailure(d.now, d.no)
	late := d.no
	d.asks()
	if err := d.m.HandleResponse(d.now, late, api.HeartbeatResponse{Cluster: "g", Term: 1, Index: 2, LeaseID: 5, LeaseMS: 4000}); err != nil {
		t.Fatal(err)
	}
	d.serves(false, "run out") // the answer to an asking that was given up
}

// TestDecidedFencesAtOnce: told that a version is decided, a node serves under nothing older from that moment, promises
// so, and goes on once it has taken over what is in force.
func TestDecidedFencesAtOnce(t *testing.T) {
	d := begin(t, nil, 0)
	d.joined(1, false)
	d.serves(true, "")
	d.asks()
	d.told(api.HeartbeatResponse{LeaseID: 5, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 11, NextHeartbeatMS: 1000}) // held
	d.serves(false, "version 2 is decided")
	d.asks()
	if d.ask.MinVersion != 2 || !strings.Contains(d.ask.Fenced, "decided") {
		t.Errorf("it asks with %+v, expected the promise of version 2", d.ask)
	}
	d.told(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}, Index: 12, NextHeartbeatMS: 1000})
	d.takes(2, false)
	d.serves(true, "")
}

// TestWhomItBelieves: an instance that is behind, of another group or at odds with itself is left, and what it said
// changes nothing.
func TestWhomItBelieves(t *testing.T) {
	for what, c := range map[string]struct {
		t    api.HeartbeatResponse
		back uint64 // it is not asked again sooner
	}{
		"behind in its log":      {api.HeartbeatResponse{Index: 9, DecidedVersion: 3, CommittedVersion: api.VersionHash{Version: 3}}, 0},
		"of another group":       {api.HeartbeatResponse{Cluster: "other", Index: 99, DecidedVersion: 7, CommittedVersion: api.VersionHash{Version: 7}}, lieBack / 2},
		"in force, not decided":  {api.HeartbeatResponse{Index: 99, DecidedVersion: 3, CommittedVersion: api.VersionHash{Version: 4}}, lieBack / 2},
		"an older one decided":   {api.HeartbeatResponse{Index: 99, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2}}, 0},
		"without a group at all": {api.HeartbeatResponse{Cluster: " ", Index: 99, DecidedVersion: 3}, 0},
	} {
		d := begin(t, nil, 0)
		d.joined(3, false)
		d.asks()
		at := d.m.ControlAddress()
		if strings.TrimSpace(c.t.Cluster) == "" && c.t.Cluster != "" {
			c.t.Cluster = ""
			if err := d.m.HandleResponse(d.now, d.no, c.t); err == nil {
				t.Errorf("%s: believed", what)
			}
		} else if err := d.told(c.t); err == nil {
			t.Errorf("%s: believed", what)
		}
		if d.m.ControlAddress() == at {
			t.Errorf("%s: it goes on asking %s", what, at)
		}
		if d.m.CommittedVersion() != 3 || d.m.ActiveVersion() != 3 || d.m.MinVersion() != 3 {
			t.Errorf("%s: changed what it serves to %d, in force %d", what, d.m.ActiveVersion(), d.m.CommittedVersion())
		}
		for k := range d.m.ctl {
			if d.m.ctl[k].addr == at && d.m.ctl[k].again < d.now+c.back {
				t.Errorf("%s: asked again after %d ms, expected %d at least", what, d.m.ctl[k].again-d.now, c.back)
			}
		}
	}
}

// TestBacksOff: instances that don't answer are asked less and less, none of them forgotten, within the bound.
func TestBacksOff(t *testing.T) {
	d := begin(t, nil, 0)
	asked, times := map[string]int{}, 0
	for end := d.now + 30_000; d.now < end; times++ {
		d.asks()
		asked[d.m.ControlAddress()]++
		d.now += 20
		d.m.HandleFailure(d.now, d.no)
	}
	if len(asked) != 3 || times < 20 || times > 120 {
		t.Errorf("asked %v, %d times in 30 s; expected all three, 20 to 120 times", asked, times)
	}
}

// TestStartAlone: a node that kept its version serves it when nobody answers, if that version's rule lets it, and never
// when it knows of a newer decision.
func TestStartAlone(t *testing.T) {
	kept := Record{Cluster: "g", ActiveVersion: 3, ActiveHash: "h3", ActiveAutonomous: true, MinVersion: 3}
	for what, c := range map[string]struct {
		change func(*Record)
		serves bool
	}{
		"go-on":                   {func(*Record) {}, true},
		"fence":                   {func(r *Record) { r.ActiveAutonomous = false }, false},
		"a newer one was decided": {func(r *Record) { r.MinVersion = 4 }, false},
		"killed as it took the next over": {func(r *Record) {
			r.ActiveVersion, r.ActiveHash, r.MinVersion, r.PreparedVersion, r.PreparedHash, r.PreparedAutonomous = 2, "h2", 3, 3, "h3", true
		}, true},
		"the same, and that one fences": {func(r *Record) {
			r.ActiveVersion, r.ActiveHash, r.MinVersion, r.PreparedVersion, r.PreparedHash = 2, "h2", 3, 3, "h3"
		}, false},
		"it had said prepared, in doubt": {func(r *Record) { r.PreparedVersion, r.PreparedHash = 4, "h4" }, true},
	} {
		r := kept
		c.change(&r)
		d := begin(t, &r, 0)
		for end := d.now + 2*aloneAfter; d.now < end; {
			d.asks()
			d.now += 50
			d.m.HandleFailure(d.now, d.no)
			if v, ok := d.m.VersionToActivate(d.now); ok {
				if v.Version != 3 {
					t.Errorf("%s: takes version %d", what, v.Version)
				}
				d.m.MarkActive(d.now, v, true)
			}
		}
		if ok, why := d.m.MayServe(d.now); ok != c.serves {
			t.Errorf("%s: serves %v (%s), expected %v", what, ok, why, c.serves)
		}
		if !c.serves {
			continue
		}
		if !d.m.Autonomous(d.now) {
			t.Errorf("%s: it does not say that it is alone", what)
		}
		d.asks()
		d.told(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 4, CommittedVersion: api.VersionHash{Version: 4, Hash: "h4"}, Index: 1})
		d.serves(false, "version 4 is decided")
	}
}

// TestGoodbye: a node that leaves says so once, even when an asking was out, and never joins again.
func TestGoodbye(t *testing.T) {
	d := begin(t, nil, 0)
	d.joined(1, false)
	d.asks()
	d.m.Leave(d.now)
	d.told(api.HeartbeatResponse{LeaseID: 5, LeaseMS: 4000, DecidedVersion: 1, CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 11, NextHeartbeatMS: 1000})
	before := d.now
	d.asks()
	if !d.ask.Leave || d.now-before > 200 {
		t.Fatalf("after %d ms it asks %+v, expected its goodbye", d.now-before, d.ask)
	}
	d.told(api.HeartbeatResponse{LeaseID: 5, DecidedVersion: 1, CommittedVersion: api.VersionHash{Version: 1, Hash: "h1"}, Index: 12, NextHeartbeatMS: 1000})
	for end := d.now + 20_000; d.now < end; d.now += 50 {
		if a, _, due := d.m.Heartbeat(d.now); due {
			t.Fatalf("after its goodbye it asks %+v", a)
		}
	}
}

// TestGenerations: a node goes by the newest generation of its group that it knows, serves on under what is left of its
// lease until that takes it in, and never goes back to an older one, nor to an older version with a newer one.
func TestGenerations(t *testing.T) {
	second := func(need uint64) api.HeartbeatResponse {
		v := api.VersionHash{Version: need, Hash: fmt.Sprint("h", need)}
		return api.HeartbeatResponse{Cluster: "g2", Generation: 2, Predecessors: []string{"g"}, DecidedVersion: need, CommittedVersion: v, Index: 3, NextHeartbeatMS: 1000}
	}
	d := begin(t, nil, 0)
	d.joined(2, false)
	d.asks()
	if h := d.ask.LastSeen; h == nil || h.Group != "g" || h.Generation != 1 || h.Index != 10 || h.ActiveHash != "h2" {
		t.Fatalf("it asks with %+v, expected where the group stood", h)
	}
	// One that was restored from before version 2 is not followed, and may catch up.
	if err := d.told(second(1)); err == nil || !strings.Contains(err.Error(), "restored without") {
		t.Fatalf("%v", err)
	}
	if ok, _ := d.m.MayServe(d.now); !ok {
		t.Fatal("it does not serve on under its lease")
	}
	d.asks()
	d.m.zone = &api.ZoneOrder{Epoch: 90, Share: 32}
	one := second(2)
	one.EndedReason = "its lease is of another generation"
	if err := d.told(one); err != nil {
		t.Fatal(err)
	}
	if ok, why := d.m.MayServe(d.now); !ok || d.m.LeaseID() != 0 || d.m.Autonomous(d.now) {
		t.Fatalf("between the generations: %v %s, lease %d", ok, why, d.m.LeaseID())
	}
	// Its zone's order holds until the new one says otherwise, and that one's epochs need not be later.
	if z := d.m.ZoneOrder(); z == nil || z.Share != 32 || d.m.StoredZoneOrder().Epoch != 0 {
		t.Fatalf("%+v: it forgot what it may take", z)
	}
	until := d.m.LeaseExpiry()
	d.asks()
	if d.ask.MinZoneEpoch != 0 {
		t.Fatalf("it promises epoch %d of an earlier generation", d.ask.MinZoneEpoch)
	}
	if d.ask.LeaseID != 0 || d.ask.LastSeen.Group != "g2" || d.ask.LastSeen.Generation != 2 {
		t.Fatalf("it asks %+v, expected to join the new one", d.ask)
	}
	if ok, _ := d.m.MayServe(until); ok {
		t.Fatal("it serves past the end of the old lease")
	}
	one = second(2)
	one.LeaseID, one.LeaseMS, one.Zone = 9, 4000, &api.ZoneOrder{Epoch: 3, Share: 256}
	if err := d.told(one); err != nil {
		t.Fatal(err)
	}
	if ok, _ := d.m.MayServe(d.now + 3000); !ok || d.m.ActiveVersion() != 2 {
		t.Fatal("it is in and does not serve")
	}
	// The old generation goes on, far ahead: nobody follows it. A sibling of the new one neither.
	for what, told := range map[string]api.HeartbeatResponse{
		"the old one": {Cluster: "g", Generation: 1, Term: 90, Index: 9000, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}},
		"a sibling":   {Cluster: "g7", Generation: 2, Predecessors: []string{"g"}, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}},
		"a stranger":  {Cluster: "g8", Generation: 3, Predecessors: []string{"g7"}, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}} {
		d.asks()
		if err := d.told(told); err == nil {
			t.Errorf("it follows %s", what)
		}
	}
	// Over a restart it is remembered.
	d = begin(t, &Record{Cluster: "g2", Generation: 2, ActiveVersion: 2, ActiveHash: "h2", MinVersion: 2, Term: 4, Index: 77}, 0)
	d.asks()
	if h := d.ask.LastSeen; h == nil || h.Generation != 2 || h.Index != 77 {
		t.Fatalf("after a restart it asks with %+v", h)
	}
	if err := d.told(api.HeartbeatResponse{Cluster: "g", Generation: 1, Index: 9000, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}); err == nil {
		t.Error("after a restart it follows the old generation")
	}
	without := begin(t, &Record{Cluster: "g2", Generation: 2, ActiveVersion: 2, ActiveHash: "h2", MinVersion: 2}, policy.Generation)
	without.asks()
	if err := without.told(api.HeartbeatResponse{Cluster: "g", Generation: 1, Index: 9000, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"}}); err != nil {
		t.Errorf("without the guard the old generation is not followed either: %v", err)
	}
}

// TestGathered: one that restores the group is told what the node holds, and its answer is no lie of an instance's.
func TestGathered(t *testing.T) {
	d := begin(t, nil, 0)
	d.joined(2, false)
	d.asks()
	if err := d.told(api.HeartbeatResponse{CollectRecord: true}); err != nil || !d.m.TakeRecordRequest() || d.m.TakeRecordRequest() {
		t.Fatalf("%v: expected to be asked for what it holds, once", err)
	}
	if ok, _ := d.m.MayServe(d.now); !ok || d.m.MinVersion() != 2 {
		t.Fatal("it forgot its lease")
	}
	was := d.now
	d.asks()
	if d.now-was > backMost {
		t.Errorf("it asks again after %d ms", d.now-was)
	}
}

// TestFirstGeneration: a node that knows no group takes the generation of the first that it hears, so that it counts as one of
// that when the group is restored again, or has lost state.
func TestFirstGeneration(t *testing.T) {
	d := begin(t, nil, 0)
	d.asks()
	if err := d.told(api.HeartbeatResponse{Cluster: "g3", Generation: 3, Predecessors: []string{"g", "g2"}, Term: 1, Index: 5, EntryChecksum: 77, LeaseID: 4, LeaseMS: 4000}); err != nil {
		t.Fatal(err)
	}
	d.asks()
	if h := d.ask.LastSeen; h == nil || h.Generation != 3 || h.EntryChecksum != 77 {
		t.Fatalf("it asks with %+v, expected generation 3 and what the entry was", h)
	}
	if err := d.told(api.HeartbeatResponse{Cluster: "g4", Generation: 3, Predecessors: []string{"g", "g2", "g3"}, Term: 1, Index: 9}); err == nil {
		t.Error("it follows another group of its own generation")
	}
}

// TestPreparedByHash: a version counts as prepared by its text, not by its number: a group that lost state gives the number to
// another one.
func TestPreparedByHash(t *testing.T) {
	d := begin(t, nil, 0)
	d.joined(2, false)
	told := func(hash string) {
		t.Helper()
		d.asks()
		if err := d.told(api.HeartbeatResponse{Cluster: "g", Term: 1, Index: 10, DecidedVersion: 2, CommittedVersion: api.VersionHash{Version: 2, Hash: "h2"},
			PrepareVersion: api.VersionHash{Version: 3, Hash: hash}, LeaseID: 1, LeaseMS: 4000}); err != nil {
			t.Fatal(err)
		}
	}
	told("h3")
	d.m.MarkPrepared(d.now, api.VersionHash{Version: 3, Hash: "h3"})
	if d.asks(); d.ask.PreparedVersion != 3 {
		t.Fatalf("%+v: it does not say that it is prepared", d.ask)
	}
	d.m.HandleFailure(d.now, d.no)
	told("another")
	if d.asks(); d.ask.PreparedVersion != 0 {
		t.Fatalf("%+v: it says that it has prepared a text that it never saw", d.ask)
	}
	if v, _, ok := d.m.VersionToFetch(); !ok || v.Hash != "another" {
		t.Fatalf("it wants %+v, expected the other text", v)
	}
}

package coordinator

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"math/rand"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// goType matches the Go type in an error of encoding/json. It is not part of the recorded error texts.
var goType = regexp.MustCompile(`Go (struct field|value) .*`)

var updateFixtures = flag.Bool("write-pins", false, "rewrite the fixtures of the recorded streams")

// streamTest drives two instances, one of which leads at a time, and test nodes under random faults: lost requests and
// responses, nodes that pause, restart, drain, refuse versions or report false positions, lost and delayed entries, and
// changes of leader. Entries are recorded; a digest covers entries, responses and results.
type streamTest struct {
	*testing.T
	rng       *rand.Rand
	level     int
	state     *State
	leaders   [2]*Leader
	nowMS     uint64
	term      uint64
	index     uint64
	delayed   []Entry // committed, not applied yet
	nodes     []*testNode
	digest    hash.Hash
	entries   bytes.Buffer
	lastKey   int
	responses int
}

// testNode simulates a node's heartbeats. Times are in ms of the test's clock.
type testNode struct {
	name, zone      string
	incarnation     int
	leaseID         uint32
	lastClockMS     uint64
	minVersion      uint64
	activeVersion   uint64
	activeHash      string
	preparedVersion uint64
	refusedVersion  uint64
	zoneEpoch       uint64
	lastSeen        api.GroupPosition
	nextHeartbeatMS uint64
	pausedUntilMS   uint64
	leaving         bool
}

func (r *streamTest) Last() uint64 { return 40 }

func (r *streamTest) Text(n uint64) (string, string, bool) {
	if n == 0 || n > 40 || n == 13 {
		return "", "", false
	}
	text := fmt.Sprintf("[fleet]\nlease = %ds\nwhen_alone = %s\n[tenant t]\nrate = %d\n", 2+n%3,
		[]string{"fence", "fence", "go-on"}[n%3], n)
	if r.level >= 3 && n%5 != 0 {
		text += fmt.Sprintf("[zones]\ndecide = %s\nfirst = 0.125\nhold = 500ms\n", []string{"auto", "ask"}[n%2])
		if r.level >= 4 {
			text += "small_start = yes\n"
		}
	}
	return text, fmt.Sprint("hash-", n), true
}

func (r *streamTest) addToDigest(kind string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		r.Fatal(err)
	}
	fmt.Fprintf(r.digest, "%d %s %s\n", r.nowMS, kind, raw)
}

func (r *streamTest) lead(i int) {
	r.term++
	for j, l := range r.leaders {
		l.SetRole("group", j == i, r.term)
	}
}

func (r *streamTest) leader() *Leader {
	for _, l := range r.leaders {
		if l.Leading() {
			return l
		}
	}
	return r.leaders[0]
}

func (r *streamTest) apply(e Entry) {
	r.index++
	fmt.Fprintf(&r.entries, "%d %d %s %s\n", r.index, r.term, e.Kind, e.Body)
	outcome, err := r.state.Apply(e.Kind, e.Body, r.index, r.term, r)
	if err != nil {
		r.Fatal(err)
	}
	fmt.Fprintf(r.digest, "%d applied %s %s\n", r.nowMS, e.Kind, e.Body)
	for _, l := range r.leaders {
		l.EntryApplied(r.state, outcome)
	}
}

// loadReport returns a load report that is consistent enough for the zone rules to evaluate.
func (r *streamTest) loadReport(overloaded bool) *api.LoadReport {
	raw := fmt.Sprintf(`{"ms":1000,"came":%d,"done":%d,"late":1,"shed":%d,"worth":50,"got":%d,
		"mix":[{"value":1,"came":30},{"value":5,"came":4}],
		"kernel":true,"cores":4,"on_cores":1.5,"out":3,"runs":%d,"run_ms":20,"calls":20,
		"bad":%d,"call_ms":4,"opened":1}`,
		34+r.rng.Intn(5), 30+r.rng.Intn(3), r.rng.Intn(3), 40+r.rng.Intn(8), 28+r.rng.Intn(6), r.rng.Intn(2))
	if overloaded {
		raw = `{"ms":1000,"came":40,"done":2,"late":20,"errored":10,"worth":50,"got":2,
			"kernel":false,"cores":4,"on_cores":3.9,"out":40,"runs":3,"run_ms":900,"calls":20,"bad":19}`
	}
	report := &api.LoadReport{}
	if err := json.Unmarshal([]byte(raw), report); err != nil {
		r.Fatal(err)
	}
	return report
}

// request builds a node's heartbeat from JSON, so that it depends on the names on the wire only.
func (r *streamTest) request(n *testNode) (request api.HeartbeatRequest) {
	fields := map[string]any{"name": n.name, "zone": n.zone, "addr": "127.0.0.1:1",
		"nonce": fmt.Sprintf("%s-process-%d", n.name, n.incarnation), "up_ms": r.nowMS,
		"echo": n.lastClockMS, "floor": n.minVersion, "serves": n.activeVersion, "zones": n.zoneEpoch}
	if n.preparedVersion != 0 {
		fields["prepared"] = n.preparedVersion
	}
	if n.refusedVersion != 0 {
		fields["refused"], fields["why"] = n.refusedVersion, "its trial sheds too much"
	}
	if n.leaseID != 0 {
		fields["lease"], fields["renew"], fields["bye"] = n.leaseID, r.rng.Intn(3) > 0, n.leaving
		fields["load"] = r.loadReport(n.zone == "west" && r.nowMS > 60_000 && r.nowMS < 90_000)
		if r.rng.Intn(4) == 0 {
			fields["seen"] = []map[string]string{{"name": "n1", "is": "serves"}, {"name": "n5", "is": "silent"}}
		}
		if n.lastSeen.Group != "" {
			lastSeen := n.lastSeen
			if r.rng.Intn(300) == 0 {
				lastSeen.Index += 50 // a false position of a single node
			}
			fields["heard"] = lastSeen
		}
	}
	raw, err := json.Marshal(fields)
	if err == nil {
		err = json.Unmarshal(raw, &request)
	}
	if err != nil {
		r.Fatal(err)
	}
	return request
}

func (r *streamTest) sendHeartbeat(n *testNode) {
	n.nextHeartbeatMS = r.nowMS + 300 + uint64(r.rng.Intn(700))
	if r.rng.Intn(12) == 0 {
		return // the request is lost
	}
	request := r.request(n)
	lost := r.rng.Intn(12) == 0
	incarnation := n.incarnation
	r.leader().Heartbeat(r.state, request, func(t api.HeartbeatResponse, err error) {
		r.responses++
		r.addToDigest("answer to "+n.name+fmt.Sprint(" ", err), t)
		if err == nil && !lost && incarnation == n.incarnation {
			r.handleResponse(n, t)
		}
	})
}

// responseFields are the response fields that a testNode uses, decoded by their names on the wire.
type responseFields struct {
	Term  uint64
	Index uint64
	Sum   uint64
	Clock uint64 `json:"clock_ms"`
	Lease uint32
	Gone  string
	Wait  uint64 `json:"wait_ms"`
	Need  uint64
	Force struct {
		Version uint64
		Hash    string
	}
	Prepare struct {
		Version uint64
		Hash    string
	}
	Again uint64                  `json:"again_ms"`
	Zone  *struct{ Epoch uint64 } `json:"zone"`
	Gen   uint64                  `json:"generation"`
}

func (r *streamTest) handleResponse(n *testNode, response api.HeartbeatResponse) {
	raw, err := json.Marshal(response)
	if err != nil {
		r.Fatal(err)
	}
	var fields responseFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		r.Fatal(err)
	}
	n.lastClockMS = max(n.lastClockMS, fields.Clock)
	if n.leaving {
		n.leaseID, n.leaving, n.pausedUntilMS = 0, false, r.nowMS+8000
		n.incarnation++
		return
	}
	if fields.Gone != "" {
		if n.leaseID != 0 || fields.Wait == 0 {
			n.incarnation++
		}
		n.leaseID, n.nextHeartbeatMS = 0, r.nowMS+max(fields.Wait, 100)
		return
	}
	n.leaseID = fields.Lease
	n.minVersion = max(n.minVersion, fields.Need)
	if fields.Force.Version >= n.minVersion && fields.Force.Version > n.activeVersion {
		n.activeVersion, n.activeHash = fields.Force.Version, fields.Force.Hash
	}
	if v := fields.Prepare.Version; v != 0 && n.preparedVersion != v && n.refusedVersion != v {
		if r.rng.Intn(25) == 0 {
			n.refusedVersion = v
		} else {
			n.preparedVersion = v
		}
	}
	if fields.Zone != nil {
		n.zoneEpoch = max(n.zoneEpoch, fields.Zone.Epoch)
	}
	position := map[string]any{"group": "group", "generation": max(1, fields.Gen), "term": fields.Term,
		"index": fields.Index, "sum": fields.Sum, "hash": n.activeHash}
	if raw, err = json.Marshal(position); err == nil {
		n.lastSeen = api.GroupPosition{}
		err = json.Unmarshal(raw, &n.lastSeen)
	}
	if err != nil {
		r.Fatal(err)
	}
	n.nextHeartbeatMS = r.nowMS + max(50, fields.Again)
}

// submitPolicy and submitZone submit an operator's operation, built from JSON.
func (r *streamTest) submitPolicy(fields map[string]any) {
	raw, _ := json.Marshal(fields)
	var op policy.Op
	if err := json.Unmarshal(raw, &op); err != nil {
		r.Fatal(err)
	}
	r.leader().SubmitPolicy(op, func(e policy.Result, err error) { r.addToDigest(fmt.Sprint("policy ", err), e) })
}

func (r *streamTest) submitZone(fields map[string]any) {
	raw, _ := json.Marshal(fields)
	var op zones.Op
	if err := json.Unmarshal(raw, &op); err != nil {
		r.Fatal(err)
	}
	r.leader().SubmitZone(r.state, op, func(e zones.Result, err error) { r.addToDigest(fmt.Sprint("zone ", err), e) })
}

func (r *streamTest) submitOperation() {
	r.lastKey++
	key := fmt.Sprintf("key-%06d", r.lastKey)
	switch r.rng.Intn(9) {
	case 0, 1, 2, 3:
		r.submitPolicy(map[string]any{"op": "propose", "propose": map[string]any{
			"version":   r.state.Policy.DecidedVersion + 1 + uint64(r.rng.Intn(2)),
			"exclusive": r.rng.Intn(3) == 0,
			"within_ms": 1000 + r.rng.Intn(8000),
			"spare":     r.rng.Intn(3),
			"author":    "an operator", "reason": "<why> & what", "key": key,
		}})
	case 4:
		r.submitPolicy(map[string]any{"op": "off", "number": r.state.Policy.LastNumber, "by": "an operator",
			"why": "enough"})
	case 5:
		err := r.leader().Forget(fmt.Sprint("n", r.rng.Intn(len(r.nodes))))
		fmt.Fprintln(r.digest, "forget", err)
	case 6, 7:
		r.submitZone(map[string]any{"op": "leave", "zone": []string{"east", "west"}[r.rng.Intn(2)],
			"epoch": r.state.Zones.Epoch, "by": "an operator", "why": "a drill",
			"cause": "drill", "drill_ms": 2000 * r.rng.Intn(2), "key": key})
	case 8:
		r.submitZone(map[string]any{"op": "back", "zone": []string{"east", "west"}[r.rng.Intn(2)],
			"epoch": r.state.Zones.Epoch, "by": "an operator", "why": "again", "key": key})
	}
}

func (r *streamTest) step() {
	ms := uint64(20 + r.rng.Intn(180))
	if r.rng.Intn(400) == 0 {
		ms = 6000 // the leader was paused
	}
	r.nowMS += ms
	for _, n := range r.nodes {
		if r.rng.Intn(600) == 0 {
			n.pausedUntilMS = r.nowMS + uint64(r.rng.Intn(9000))
		}
		if r.rng.Intn(900) == 0 { // restarts with its active version
			n.incarnation, n.leaseID, n.preparedVersion = n.incarnation+1, 0, 0
		}
		if r.rng.Intn(1500) == 0 {
			n.leaving = n.leaseID != 0
		}
		if r.nowMS >= n.pausedUntilMS && r.nowMS >= n.nextHeartbeatMS {
			r.sendHeartbeat(n)
		}
	}
	if r.rng.Intn(25) == 0 {
		r.submitOperation()
	}
	delayed := r.delayed
	r.delayed = nil
	for _, e := range delayed {
		r.apply(e)
	}
	for _, l := range r.leaders {
		for _, e := range l.Tick(r.state, ms) {
			switch {
			case r.rng.Intn(40) == 0: // the entry is lost
			case r.rng.Intn(10) == 0:
				r.delayed = append(r.delayed, e)
			default:
				r.apply(e)
			}
		}
	}
	if r.rng.Intn(250) == 0 {
		r.lead(r.rng.Intn(2))
	}
}

func (r *streamTest) snapshot() string {
	raw, err := r.state.Snapshot()
	if err != nil {
		r.Fatal(err)
	}
	return string(raw) + "\n"
}

func runStream(t *testing.T, seed int64, level int, disabled policy.Guard, disabledZones zones.Guard, steps int,
) *streamTest {
	r := &streamTest{T: t, rng: rand.New(rand.NewSource(seed)), level: level, digest: sha256.New()}
	r.state = NewState(disabled)
	r.state.DisabledZoneGuards = disabledZones
	for i := range r.leaders {
		r.leaders[i] = NewLeader(disabled)
		r.leaders[i].DisabledZoneGuards, r.leaders[i].Level = disabledZones, level
	}
	for i := range 9 {
		zone := []string{"east", "west", "north"}[i%3]
		r.nodes = append(r.nodes, &testNode{name: fmt.Sprint("n", i), zone: zone})
	}
	r.lead(0)
	for range steps {
		r.step()
	}
	return r
}

// compareFixture compares got with a fixture and returns the fixture's content.
func compareFixture(t *testing.T, name, got string) string {
	t.Helper()
	file := filepath.Join("testdata", "stream", name)
	if *updateFixtures {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		at := 0
		for at < min(len(got), len(want)) && got[at] == want[at] {
			at++
		}
		from := max(0, at-100)
		t.Errorf("%s: at byte %d got\n%.300s\nwant\n%.300s", name, at, got[from:], want[from:])
	}
	return string(want)
}

// TestRecordedStream: at each feature level, entries, responses and snapshots must equal those recorded by version
// 2a0a97e, byte for byte, and its entries and snapshots must restore the same state.
func TestRecordedStream(t *testing.T) {
	for level := 2; level <= 5; level++ {
		r := runStream(t, int64(level), level, 0, 0, 1200)
		kinds := map[string]int{}
		entries := compareFixture(t, fmt.Sprintf("entries-%d.txt", level), r.entries.String())
		snapshot := compareFixture(t, fmt.Sprintf("snapshot-%d.json", level), r.snapshot())
		digest := fmt.Sprintf("%x %d answers\n", r.digest.Sum(nil), r.responses)
		compareFixture(t, fmt.Sprintf("hash-%d.txt", level), digest)

		// The recorded entries and the recorded snapshot restore the same state.
		replayed := NewState(0)
		for _, line := range strings.Split(strings.TrimSuffix(entries, "\n"), "\n") {
			fields := strings.SplitN(line, " ", 4)
			var index, term uint64
			fmt.Sscan(fields[0], &index)
			fmt.Sscan(fields[1], &term)
			kinds[fields[2]]++
			if _, err := replayed.Apply(fields[2], []byte(fields[3]), index, term, r); err != nil {
				t.Fatal(err)
			}
		}
		if raw, err := replayed.Snapshot(); err != nil || string(raw)+"\n" != snapshot {
			t.Errorf("level %d: snapshot after replaying the entries = %s (error %v), want the recorded one", level, raw, err)
		}
		restored := NewState(0)
		if err := restored.Restore([]byte(snapshot)); err != nil {
			t.Fatal(err)
		}
		if raw, err := restored.Snapshot(); err != nil || string(raw)+"\n" != snapshot {
			t.Errorf("level %d: snapshot of the restored state = %s (error %v), want the recorded one", level, raw, err)
		}
		if kinds[KindHeartbeats] == 0 || kinds[KindPolicy] == 0 || level >= 3 && kinds[KindZones] == 0 {
			t.Errorf("level %d: entries by kind = %v, want some of each", level, kinds)
		}
	}
}

// TestRecordedGuards: with each guard disabled in turn, the digest must equal the recorded one.
func TestRecordedGuards(t *testing.T) {
	var out strings.Builder
	for i := range 11 {
		r := runStream(t, int64(100+i), 5, policy.Guard(1)<<i, 0, 800)
		fmt.Fprintf(&out, "policy %d %x %d\n", i, r.digest.Sum(nil), r.responses)
	}
	for i := range 9 {
		r := runStream(t, int64(200+i), 5, 0, zones.Guard(1)<<i, 800)
		fmt.Fprintf(&out, "zones %d %x %d\n", i, r.digest.Sum(nil), r.responses)
	}
	compareFixture(t, "guards.txt", out.String())
}

// TestRecordedLostState: the snapshots of a group with lost state, and of its next generation, must equal those
// recorded by version 2a0a97e.
func TestRecordedLostState(t *testing.T) {
	r := runStream(t, 7, 5, 0, 0, 600)
	for range 40 {
		for _, n := range r.nodes[:4] {
			if n.lastSeen.Group != "" {
				n.lastSeen.Index += 1000
			}
		}
		r.step()
	}
	lost := r.snapshot()
	if r.state.Fleet.LostState == "" {
		t.Error("LostState is empty, want a proof")
	}
	compareFixture(t, "snapshot-lost.json", lost)
	plan := &recovery.RestorePlan{}
	raw := `{"of":{"group":"group","generation":1,"before":["older"]},
		"version":11,"hash":"hash-11","proof":"served under by n1","epoch":9,"lease_ms":5000}`
	if err := json.Unmarshal([]byte(raw), plan); err != nil {
		t.Fatal(err)
	}
	records := `[{"name":"n1","zone":"east","addr":"127.0.0.1:1","epoch":9,"share":256},
		{"name":"other","zone":"south","addr":"127.0.0.1:2","epoch":8,"share":16}]`
	if err := json.Unmarshal([]byte(records), &plan.Records); err != nil {
		t.Fatal(err)
	}
	if err := r.state.BeginGeneration(plan, r); err != nil {
		t.Fatal(err)
	}
	compareFixture(t, "snapshot-next.json", r.snapshot())
}

// TestRecordedSnapshotErrors: errors of corrupt snapshots and entries must have the texts recorded by version 2a0a97e.
func TestRecordedSnapshotErrors(t *testing.T) {
	snapshot := runStream(t, 5, 5, 0, 0, 300).snapshot()
	var out strings.Builder
	for _, raw := range []string{
		"", snapshot[:len(snapshot)/2],
		strings.Replace(snapshot, `"fleet":{`, `"fleet":[{`, 1),
		strings.Replace(snapshot, `"clock":`, `"clock":"x`, 1),
		strings.Replace(snapshot, `"clock":`, `"clock":-`, 1),
		strings.Replace(snapshot, `"name":"n0"`, `"name":"n9"`, 1),
		strings.Replace(snapshot, `"need":`, `"need":-1`, 1),
		strings.Replace(snapshot, `"zones":[`, `"zones":[1,`, 1),
	} {
		fmt.Fprintln(&out, NewState(0).Restore([]byte(raw)))
	}
	for _, e := range []Entry{
		{"other", []byte("{}")}, {KindHeartbeats, []byte("{")}, {KindPolicy, []byte("[]")}, {KindZones, []byte("1")},
		{KindPolicy, []byte(`{"op":"propose"}`)},
	} {
		_, err := NewState(0).Apply(e.Kind, e.Body, 1, 1, nil)
		fmt.Fprintln(&out, err)
	}
	compareFixture(t, "errors.txt", goType.ReplaceAllString(out.String(), "Go value"))
}

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

var goType = regexp.MustCompile(`Go (struct field|value) .*`)

var write = flag.Bool("write-pins", false, "write the fixtures of the recorded streams anew")

// recorded drives two instances, of which one leads at a time, and some nodes with faults: requests and answers that
// are lost, nodes that pause, restart, drain, refuse or lie, entries that are lost or come late, leaders that change.
// All that is decided goes into a hash; the entries are kept.
type recorded struct {
	*testing.T
	rng     *rand.Rand
	level   int
	part    *State
	leaders [2]*Leader
	now     uint64
	term    uint64
	index   uint64
	late    []Entry // committed, not applied yet
	nodes   []*simulatedNode
	sum     hash.Hash
	entries bytes.Buffer
	keys    int
	answers int
}

type simulatedNode struct {
	name, zone string
	life       int
	lease      uint32
	clock      uint64
	floor      uint64
	active     uint64
	hash       string
	prepared   uint64
	refused    uint64
	epoch      uint64
	at         api.GroupPosition
	next       uint64 // when it asks
	paused     uint64 // until then
	leaves     bool
}

func (r *recorded) Last() uint64 { return 40 }

func (r *recorded) Text(n uint64) (string, string, bool) {
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

func (r *recorded) note(kind string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		r.Fatal(err)
	}
	fmt.Fprintf(r.sum, "%d %s %s\n", r.now, kind, raw)
}

func (r *recorded) lead(i int) {
	r.term++
	for k, s := range r.leaders {
		s.SetRole("group", k == i, r.term)
	}
}

func (r *recorded) leader() *Leader {
	for _, s := range r.leaders {
		if s.Leading() {
			return s
		}
	}
	return r.leaders[0]
}

func (r *recorded) apply(e Entry) {
	r.index++
	fmt.Fprintf(&r.entries, "%d %d %s %s\n", r.index, r.term, e.Kind, e.Body)
	end, err := r.part.Apply(e.Kind, e.Body, r.index, r.term, r)
	if err != nil {
		r.Fatal(err)
	}
	fmt.Fprintf(r.sum, "%d applied %s %s\n", r.now, e.Kind, e.Body)
	for _, s := range r.leaders {
		s.EntryApplied(r.part, end)
	}
}

// tally is a load report of which the parts hang together well enough for zones to be judged by it.
func (r *recorded) tally(bad bool) *api.LoadReport {
	raw := fmt.Sprintf(`{"ms":1000,"came":%d,"done":%d,"late":1,"shed":%d,"worth":50,"got":%d,
		"mix":[{"value":1,"came":30},{"value":5,"came":4}],
		"kernel":true,"cores":4,"on_cores":1.5,"out":3,"runs":%d,"run_ms":20,"calls":20,
		"bad":%d,"call_ms":4,"opened":1}`,
		34+r.rng.Intn(5), 30+r.rng.Intn(3), r.rng.Intn(3), 40+r.rng.Intn(8), 28+r.rng.Intn(6), r.rng.Intn(2))
	if bad {
		raw = `{"ms":1000,"came":40,"done":2,"late":20,"errored":10,"worth":50,"got":2,
			"kernel":false,"cores":4,"on_cores":3.9,"out":40,"runs":3,"run_ms":900,"calls":20,"bad":19}`
	}
	t := &api.LoadReport{}
	if err := json.Unmarshal([]byte(raw), t); err != nil {
		r.Fatal(err)
	}
	return t
}

// request is what the node says, as JSON: its tags outlive names.
func (r *recorded) request(n *simulatedNode) (a api.HeartbeatRequest) {
	said := map[string]any{"name": n.name, "zone": n.zone, "addr": "127.0.0.1:1",
		"nonce": fmt.Sprintf("%s-process-%d", n.name, n.life), "up_ms": r.now,
		"echo": n.clock, "floor": n.floor, "serves": n.active, "zones": n.epoch}
	if n.prepared != 0 {
		said["prepared"] = n.prepared
	}
	if n.refused != 0 {
		said["refused"], said["why"] = n.refused, "its trial sheds too much"
	}
	if n.lease != 0 {
		said["lease"], said["renew"], said["bye"] = n.lease, r.rng.Intn(3) > 0, n.leaves
		said["load"] = r.tally(n.zone == "west" && r.now > 60_000 && r.now < 90_000)
		if r.rng.Intn(4) == 0 {
			said["seen"] = []map[string]string{{"name": "n1", "is": "serves"}, {"name": "n5", "is": "silent"}}
		}
		if n.at.Group != "" {
			at := n.at
			if r.rng.Intn(300) == 0 {
				at.Index += 50 // it lies, alone
			}
			said["heard"] = at
		}
	}
	raw, err := json.Marshal(said)
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	if err != nil {
		r.Fatal(err)
	}
	return a
}

func (r *recorded) ask(n *simulatedNode) {
	n.next = r.now + 300 + uint64(r.rng.Intn(700))
	if r.rng.Intn(12) == 0 {
		return // the request is lost
	}
	a := r.request(n)
	lost := r.rng.Intn(12) == 0
	life := n.life
	r.leader().Heartbeat(r.part, a, func(t api.HeartbeatResponse, err error) {
		r.answers++
		r.note("answer to "+n.name+fmt.Sprint(" ", err), t)
		if err == nil && !lost && life == n.life {
			r.heard(n, t)
		}
	})
}

// answered are the fields of an answer that a simulated node goes by.
type answered struct {
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

func (r *recorded) heard(n *simulatedNode, told api.HeartbeatResponse) {
	raw, err := json.Marshal(told)
	if err != nil {
		r.Fatal(err)
	}
	var t answered
	if err := json.Unmarshal(raw, &t); err != nil {
		r.Fatal(err)
	}
	n.clock = max(n.clock, t.Clock)
	if n.leaves {
		n.lease, n.leaves, n.paused = 0, false, r.now+8000
		n.life++
		return
	}
	if t.Gone != "" {
		if n.lease != 0 || t.Wait == 0 {
			n.life++
		}
		n.lease, n.next = 0, r.now+max(t.Wait, 100)
		return
	}
	n.lease = t.Lease
	n.floor = max(n.floor, t.Need)
	if t.Force.Version >= n.floor && t.Force.Version > n.active {
		n.active, n.hash = t.Force.Version, t.Force.Hash
	}
	if v := t.Prepare.Version; v != 0 && n.prepared != v && n.refused != v {
		if r.rng.Intn(25) == 0 {
			n.refused = v
		} else {
			n.prepared = v
		}
	}
	if t.Zone != nil {
		n.epoch = max(n.epoch, t.Zone.Epoch)
	}
	position := map[string]any{"group": "group", "generation": max(1, t.Gen), "term": t.Term, "index": t.Index,
		"sum": t.Sum, "hash": n.hash}
	if raw, err = json.Marshal(position); err == nil {
		n.at = api.GroupPosition{}
		err = json.Unmarshal(raw, &n.at)
	}
	if err != nil {
		r.Fatal(err)
	}
	n.next = r.now + max(50, t.Again)
}

// policyOp and zoneOp are what an operator sends, as JSON.
func (r *recorded) policyOp(said map[string]any) {
	raw, _ := json.Marshal(said)
	var op policy.Op
	if err := json.Unmarshal(raw, &op); err != nil {
		r.Fatal(err)
	}
	r.leader().SubmitPolicy(op, func(e policy.Result, err error) { r.note(fmt.Sprint("policy ", err), e) })
}

func (r *recorded) zoneOp(said map[string]any) {
	raw, _ := json.Marshal(said)
	var op zones.Op
	if err := json.Unmarshal(raw, &op); err != nil {
		r.Fatal(err)
	}
	r.leader().SubmitZone(r.part, op, func(e zones.Result, err error) { r.note(fmt.Sprint("zone ", err), e) })
}

func (r *recorded) operator() {
	r.keys++
	key := fmt.Sprintf("key-%06d", r.keys)
	switch r.rng.Intn(9) {
	case 0, 1, 2, 3:
		r.policyOp(map[string]any{"op": "propose", "propose": map[string]any{
			"version":   r.part.Policy.DecidedVersion + 1 + uint64(r.rng.Intn(2)),
			"exclusive": r.rng.Intn(3) == 0,
			"within_ms": 1000 + r.rng.Intn(8000),
			"spare":     r.rng.Intn(3),
			"author":    "an operator", "reason": "<why> & what", "key": key,
		}})
	case 4:
		r.policyOp(map[string]any{"op": "off", "number": r.part.Policy.LastNumber, "by": "an operator",
			"why": "enough"})
	case 5:
		err := r.leader().Forget(fmt.Sprint("n", r.rng.Intn(len(r.nodes))))
		fmt.Fprintln(r.sum, "forget", err)
	case 6, 7:
		r.zoneOp(map[string]any{"op": "leave", "zone": []string{"east", "west"}[r.rng.Intn(2)],
			"epoch": r.part.Zones.Epoch, "by": "an operator", "why": "a drill",
			"cause": "drill", "drill_ms": 2000 * r.rng.Intn(2), "key": key})
	case 8:
		r.zoneOp(map[string]any{"op": "back", "zone": []string{"east", "west"}[r.rng.Intn(2)],
			"epoch": r.part.Zones.Epoch, "by": "an operator", "why": "again", "key": key})
	}
}

func (r *recorded) step() {
	ms := uint64(20 + r.rng.Intn(180))
	if r.rng.Intn(400) == 0 {
		ms = 6000 // the leader stood still
	}
	r.now += ms
	for _, n := range r.nodes {
		if r.rng.Intn(600) == 0 {
			n.paused = r.now + uint64(r.rng.Intn(9000))
		}
		if r.rng.Intn(900) == 0 { // it restarts, and has kept what it serves under
			n.life, n.lease, n.prepared = n.life+1, 0, 0
		}
		if r.rng.Intn(1500) == 0 {
			n.leaves = n.lease != 0
		}
		if r.now >= n.paused && r.now >= n.next {
			r.ask(n)
		}
	}
	if r.rng.Intn(25) == 0 {
		r.operator()
	}
	late := r.late
	r.late = nil
	for _, e := range late {
		r.apply(e)
	}
	for _, s := range r.leaders {
		for _, e := range s.Tick(r.part, ms) {
			switch {
			case r.rng.Intn(40) == 0: // it is lost
			case r.rng.Intn(10) == 0:
				r.late = append(r.late, e)
			default:
				r.apply(e)
			}
		}
	}
	if r.rng.Intn(250) == 0 {
		r.lead(r.rng.Intn(2))
	}
}

func (r *recorded) snapshot() string {
	raw, err := r.part.Snapshot()
	if err != nil {
		r.Fatal(err)
	}
	return string(raw) + "\n"
}

func record(t *testing.T, seed int64, level int, without policy.Guard, noZones zones.Guard, steps int) *recorded {
	r := &recorded{T: t, rng: rand.New(rand.NewSource(seed)), level: level, sum: sha256.New()}
	r.part = NewState(without)
	r.part.DisabledZoneGuards = noZones
	for i := range r.leaders {
		r.leaders[i] = NewLeader(without)
		r.leaders[i].DisabledZoneGuards, r.leaders[i].Level = noZones, level
	}
	for i := range 9 {
		zone := []string{"east", "west", "north"}[i%3]
		r.nodes = append(r.nodes, &simulatedNode{name: fmt.Sprint("n", i), zone: zone})
	}
	r.lead(0)
	for range steps {
		r.step()
	}
	return r
}

func compare(t *testing.T, name, got string) string {
	t.Helper()
	file := filepath.Join("testdata", "stream", name)
	if *write {
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
		t.Errorf("%s: at byte %d found\n%.300s\nexpected\n%.300s", name, at, got[from:], want[from:])
	}
	return string(want)
}

// TestRecordedStream: nodes, operators and leaders with faults get the answers and make the entries that version
// 2a0a97e gave and made, byte for byte, at each level of the group; the entries lead to the same state, and a
// snapshot of it is the same.
func TestRecordedStream(t *testing.T) {
	for level := 2; level <= 5; level++ {
		r := record(t, int64(level), level, 0, 0, 1200)
		kinds := map[string]int{}
		entries := compare(t, fmt.Sprintf("entries-%d.txt", level), r.entries.String())
		saved := compare(t, fmt.Sprintf("snapshot-%d.json", level), r.snapshot())
		compare(t, fmt.Sprintf("hash-%d.txt", level), fmt.Sprintf("%x %d answers\n", r.sum.Sum(nil), r.answers))

		// What that version stored gives the same state, from the log as well as from the snapshot.
		p := NewState(0)
		for _, line := range strings.Split(strings.TrimSuffix(entries, "\n"), "\n") {
			words := strings.SplitN(line, " ", 4)
			var index, term uint64
			fmt.Sscan(words[0], &index)
			fmt.Sscan(words[1], &term)
			kinds[words[2]]++
			if _, err := p.Apply(words[2], []byte(words[3]), index, term, r); err != nil {
				t.Fatal(err)
			}
		}
		if raw, err := p.Snapshot(); err != nil || string(raw)+"\n" != saved {
			t.Errorf("level %d: the entries lead to %s (%v)", level, raw, err)
		}
		q := NewState(0)
		if err := q.Restore([]byte(saved)); err != nil {
			t.Fatal(err)
		}
		if raw, err := q.Snapshot(); err != nil || string(raw)+"\n" != saved {
			t.Errorf("level %d: loaded and saved again it is %s (%v)", level, raw, err)
		}
		if kinds[KindHeartbeats] == 0 || kinds[KindPolicy] == 0 || level >= 3 && kinds[KindZones] == 0 {
			t.Errorf("level %d: entries %v, expected some of each kind", level, kinds)
		}
	}
}

// TestRecordedGuards: with each guard taken out what is decided is what it was, so that a promise breaks as it did.
func TestRecordedGuards(t *testing.T) {
	var out strings.Builder
	for i := range 11 {
		r := record(t, int64(100+i), 5, policy.Guard(1)<<i, 0, 800)
		fmt.Fprintf(&out, "policy %d %x %d\n", i, r.sum.Sum(nil), r.answers)
	}
	for i := range 9 {
		r := record(t, int64(200+i), 5, 0, zones.Guard(1)<<i, 800)
		fmt.Fprintf(&out, "zones %d %x %d\n", i, r.sum.Sum(nil), r.answers)
	}
	compare(t, "guards.txt", out.String())
}

// TestLostStateAsStored: a group that two nodes prove to be behind stores so, and the generation after it begins with
// the bytes it began with in version 2a0a97e.
func TestLostStateAsStored(t *testing.T) {
	r := record(t, 7, 5, 0, 0, 600)
	for range 40 {
		for _, n := range r.nodes[:4] {
			if n.at.Group != "" {
				n.at.Index += 1000
			}
		}
		r.step()
	}
	lost := r.snapshot()
	if r.part.Fleet.LostState == "" {
		t.Error("the state was not found lost")
	}
	compare(t, "snapshot-lost.json", lost)
	found := &recovery.RestorePlan{}
	raw := `{"of":{"group":"group","generation":1,"before":["older"]},
		"version":11,"hash":"hash-11","proof":"served under by n1","epoch":9,"lease_ms":5000}`
	if err := json.Unmarshal([]byte(raw), found); err != nil {
		t.Fatal(err)
	}
	records := `[{"name":"n1","zone":"east","addr":"127.0.0.1:1","epoch":9,"share":256},
		{"name":"other","zone":"south","addr":"127.0.0.1:2","epoch":8,"share":16}]`
	if err := json.Unmarshal([]byte(records), &found.Records); err != nil {
		t.Fatal(err)
	}
	if err := r.part.BeginGeneration(found, r); err != nil {
		t.Fatal(err)
	}
	compare(t, "snapshot-next.json", r.snapshot())
}

// TestSpoiltSnapshots: a torn or spoilt copy is refused with the words that version 2a0a97e had for it.
func TestSpoiltSnapshots(t *testing.T) {
	whole := record(t, 5, 5, 0, 0, 300).snapshot()
	var out strings.Builder
	for _, copyOf := range []string{
		"", whole[:len(whole)/2],
		strings.Replace(whole, `"fleet":{`, `"fleet":[{`, 1),
		strings.Replace(whole, `"clock":`, `"clock":"x`, 1),
		strings.Replace(whole, `"clock":`, `"clock":-`, 1),
		strings.Replace(whole, `"name":"n0"`, `"name":"n9"`, 1),
		strings.Replace(whole, `"need":`, `"need":-1`, 1),
		strings.Replace(whole, `"zones":[`, `"zones":[1,`, 1),
	} {
		fmt.Fprintln(&out, NewState(0).Restore([]byte(copyOf)))
	}
	for _, e := range []Entry{
		{"other", []byte("{}")}, {KindHeartbeats, []byte("{")}, {KindPolicy, []byte("[]")}, {KindZones, []byte("1")},
		{KindPolicy, []byte(`{"op":"propose"}`)},
	} {
		_, err := NewState(0).Apply(e.Kind, e.Body, 1, 1, nil)
		fmt.Fprintln(&out, err)
	}
	// encoding/json names the Go type that a value was meant for: not part of the error as an operator knows it.
	compare(t, "errors.txt", goType.ReplaceAllString(out.String(), "Go value"))
}

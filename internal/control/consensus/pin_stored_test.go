package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/wal"
)

const (
	goldenPlainText = "[class view]\nkind = replayable\nvalue = 1\n\n" +
		"[class submit]\nkind = uniqued\nvalue = 40\nwindow = 20s\n"
	goldenFleetText = goldenPlainText + "\n[fleet]\nlease = 4s\nwhen_alone = fence\n"
	goldenZonesText = goldenFleetText + "\n[zones]\ndecide = ask\nhold = 1s\n"
)

// goldenConfig is the configuration that wrote the golden files; its ids are deterministic.
func goldenConfig() Config {
	lastRandom := uint64(0)
	return Config{Name: "a", Peer: "10.1.1.1:7101", Listen: "10.1.1.1:7201", Bootstrap: true, ElectionTicks: 5,
		SnapshotBytes: 1 << 30,
		Sizes:         wal.Sizes{SegmentBytes: 1500, MaxBytes: 64 << 20}, Logger: raftLogger{newDiscardLogger()},
		Random: func() uint64 { lastRandom += 0x1111; return lastRandom }}
}

// scriptedGroup applies a fixed sequence of entries, of every kind at every level, in a group of one.
type scriptedGroup struct {
	t       *testing.T
	replica *Replica
	report  textReport
}

func (s *scriptedGroup) processReady() {
	s.t.Helper()
	out, err := s.replica.ProcessReady(func([]*pb.Message) {})
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range out.Puts {
		s.report.addLine("put %s %d: {End:%s Version:%d Reason:%s}", r.Session, r.Seq, r.Result.Outcome,
			r.Result.Version, r.Result.Reason)
	}
	for _, n := range out.Outcomes {
		switch n.(type) {
		case policy.Result, zones.Result: // client responses; the effect of heartbeat batches shows in the state
			raw, err := json.Marshal(n)
			if err != nil {
				s.t.Fatal(err)
			}
			s.report.addLine("entry: %s", raw)
		}
	}
}

// tickUntil ticks until a condition holds and adds what to the report.
func (s *scriptedGroup) tickUntil(what string, holds func(Status) bool) {
	s.t.Helper()
	for n := 0; !holds(s.replica.Status()); n++ {
		if n > 100 {
			s.t.Fatalf("%s: not after 100 ticks", what)
		}
		s.replica.Tick()
		s.processReady()
	}
	s.report.addLine("%s", what)
}

func (s *scriptedGroup) put(session string, seq, base uint64, text string) {
	s.t.Helper()
	if err := s.replica.Propose(&Put{Session: session, Seq: seq, Base: base, Author: "an author", Reason: "a reason",
		ProposedAtMS: 1700000000123,
		Text:         text}); err != nil {
		s.t.Fatal(err)
	}
	s.processReady()
}

func (s *scriptedGroup) entry(kind, body string) {
	s.t.Helper()
	if err := s.replica.ProposeEntry(kind, []byte(body)); err != nil {
		s.t.Fatal(err)
	}
	s.processReady()
}

func (s *scriptedGroup) snapshot() {
	s.t.Helper()
	snapshot, err := s.replica.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	if err = s.replica.SnapshotWritten(snapshot, snapshot.Write()); err != nil {
		s.t.Fatal(err)
	}
}

func (s *scriptedGroup) run() {
	s.tickUntil("it leads", func(st Status) bool { return st.Role == "leader" })
	s.put("client", 1, 0, goldenPlainText)
	s.put("client", 1, 0, goldenPlainText)
	s.put("other", 1, 0, goldenPlainText)
	s.tickUntil("level 2", func(st Status) bool { return st.Level == 2 })
	s.put("client", 2, 1, goldenFleetText)
	s.entry("beat", `{"term":2,"no":1,"after":0,"ms":100,"floor":0,"join":[`+
		`{"name":"n1","zone":"z1","addr":"10.0.0.1:7000","nonce":"n1-12345678","up_ms":5},`+
		`{"name":"n2","zone":"z2","addr":"10.0.0.2:7000","nonce":"n2-12345678"}]}`)
	s.entry("policy", `{"op":"propose","propose":{"version":2,"within_ms":5000,"spare":1,"author":"op","reason":"why",`+
		`"key":"key-00001"}}`)
	s.entry("beat", `{"term":2,"no":2,"after":1,"ms":100,"floor":0,"renew":[1,2]}`)
	s.entry("policy", `{"op":"decide","number":1,"epoch":2}`)
	s.entry("beat", `{"term":2,"no":3,"after":2,"ms":100,"floor":2,"renew":[1],"behind":[2]}`)
	s.entry("policy", `{"op":"force","number":1}`)
	s.entry("policy", `{"op":"settle","number":1}`)
	s.entry("beat", `{"term":2,"no":4,"after":3,"ms":9000,"floor":2,"renew":[1,2]}`)
	s.entry("policy", `{"op":"settle","number":1}`)
	s.snapshot()
	s.tickUntil("level 3", func(st Status) bool { return st.Level == 3 })
	s.put("client", 3, 2, goldenZonesText)
	s.put("client", 4, 3, "[class view]\nkind = replayable\n")
	s.put("third", 1, 1, goldenZonesText)
	s.entry("policy",
		`{"op":"propose","propose":{"version":3,"within_ms":9000,"author":"op","reason":"zones","key":"key-00002"}}`)
	s.entry("policy", `{"op":"off","number":2,"why":"not now","by":"op"}`)
	s.entry("policy",
		`{"op":"propose","propose":{"version":3,"within_ms":9000,"author":"op","reason":"zones","key":"key-00005"}}`)
	s.entry("policy", `{"op":"decide","number":3,"epoch":2}`)
	s.entry("policy", `{"op":"force","number":3}`)
	s.entry("beat", `{"term":2,"no":5,"after":4,"ms":9000,"floor":3,"renew":[1,2]}`)
	s.entry("policy", `{"op":"settle","number":3}`)
	s.tickUntil("level 5", func(st Status) bool { return st.Level == 5 })
	s.entry("zones", `{"op":"leave","zone":"z1","epoch":0,"cause":"operator","why":"a drill","by":"op","wait_ms":1000,`+
		`"drill_ms":60000,"key":"key-00003"}`)
	s.entry("beat", `{"term":2,"no":6,"after":5,"ms":3000,"floor":3,"zones":1,"renew":[1,2]}`)
	s.entry("zones", `{"op":"settle","epoch":1}`)
	if err := s.replica.ProposeMemberChange(MemberChange{Op: "add", Member: Member{ID: 77, Name: "b", Peer: "10.1.1.2:7101",
		Listen:  "10.1.1.2:7201",
		Promote: true}}); err != nil {
		s.t.Fatal(err)
	}
	s.processReady()
	s.snapshot()
	s.entry("zones",
		`{"op":"step","zone":"z1","epoch":1,"share":64,"ceiling":50.5,"dials":3.5,"why":"it returns",`+
			`"key":"key-00004"}`)
	if err := s.replica.ProposeMemberChange(MemberChange{Op: "remove", Member: Member{ID: 77}}); err != nil {
		s.t.Fatal(err)
	}
	s.processReady()
	s.entry("beat", `{"term":2,"no":7,"after":6,"ms":100,"floor":3,"bye":[2],"forget":["n9"],"lost":"for the pin"}`)
	s.put("fourth", 1, 3, goldenZonesText+"\n[tenant t]\nshare = 0.5\nrate = 9\n")
}

// readFiles returns the files of a folder.
func readFiles(t *testing.T, fs wal.FS) map[string][]byte {
	t.Helper()
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for _, name := range names {
		f, err := fs.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		size, err := f.Size()
		if err != nil {
			t.Fatal(err)
		}
		out[name] = make([]byte, size)
		if _, err = f.ReadAt(out[name], 0); err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	return out
}

// loadGoldenFolder loads the folder that version 2a0a97e wrote into memory.
func loadGoldenFolder(t *testing.T) *wal.MemFS {
	t.Helper()
	paths, err := filepath.Glob("testdata/pin/group/0*")
	if err != nil || len(paths) == 0 {
		t.Fatalf("golden folder: no files (%v)", err)
	}
	fs := wal.NewMemFS()
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f, err := fs.Create(filepath.Base(path))
		if err != nil {
			t.Fatal(err)
		}
		if _, err = f.WriteAt(raw, 0); err != nil {
			t.Fatal(err)
		}
		if err = f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	if err := fs.Sync(); err != nil {
		t.Fatal(err)
	}
	return fs
}

// serializeState returns status and snapshot of a replica.
func serializeState(t *testing.T, r *Replica) []byte {
	t.Helper()
	status, err := json.Marshal(r.Status())
	if err != nil {
		t.Fatal(err)
	}
	parts, err := r.stateMachine.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return append(append(status, '\n'), bytes.Join(parts, nil)...)
}

// The same entries must give the results, state, log segments and snapshots of version 2a0a97e.
func TestGoldenGroupIsWritten(t *testing.T) {
	fs := wal.NewMemFS()
	r, err := Open(fs, goldenConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedGroup{t: t, replica: r}
	s.run()
	checkGolden(t, "group/answers.txt", []byte(s.report.String()))
	checkGolden(t, "group/state.txt", serializeState(t, r))
	if err = r.Close(); err != nil {
		t.Fatal(err)
	}
	var names []string
	for name, raw := range readFiles(t, fs) {
		names = append(names, name)
		checkGolden(t, "group/"+name, raw)
	}
	if stored, err := filepath.Glob("testdata/pin/group/0*"); err != nil || len(stored) != len(names) {
		t.Errorf("wrote files %v, want %v (%v)", names, stored, err)
	}
}

// The stored folder must give the state that it had, and the identity with one more start.
func TestGoldenGroupIsRead(t *testing.T) {
	r, err := Open(loadGoldenFolder(t), goldenConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err = r.ProcessReady(func([]*pb.Message) {}); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "group/read.txt", serializeState(t, r))
	hello, err := json.Marshal(r.HelloTo(9))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "group/hello.json", append(hello, '\n'))
}

// Opening a folder with a truncated or damaged file must give the same result as version 2a0a97e did.
func TestGoldenDamagedGroup(t *testing.T) {
	var all textReport
	names, err := loadGoldenFolder(t).List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		size := len(readFiles(t, loadGoldenFolder(t))[name])
		for _, at := range []int{0, 9, 20, 30, 37, 41, 60, size / 2, size - 40, size - 2} {
			for _, damage := range []string{"flipped", "cut", "zeroed"} {
				fs := loadGoldenFolder(t)
				f, err := fs.Open(name)
				if err != nil {
					t.Fatal(err)
				}
				switch damage {
				case "flipped":
					fs.FlipBits(name, int64(at), 0x10)
				case "cut":
					err = f.Truncate(int64(at))
				case "zeroed":
					_, err = f.WriteAt(make([]byte, size-at), int64(at))
				}
				if err != nil {
					t.Fatal(err)
				}
				if err = f.Sync(); err != nil {
					t.Fatal(err)
				}
				all.addLine("%s %s at %d: %s", name, damage, at, openResult(fs))
			}
		}
	}
	checkGolden(t, "group/spoilt.txt", []byte(all.String()))
}

// openResult opens a folder and describes the error, or what was repaired and read.
func openResult(fs wal.FS) string {
	r, err := Open(fs, goldenConfig())
	if err != nil {
		return err.Error()
	}
	defer r.Close()
	if _, err = r.ProcessReady(func([]*pb.Message) {}); err != nil {
		return "work: " + err.Error()
	}
	st := r.Status()
	return fmt.Sprintf("%d bytes cut off %q, stale %v, applied %d, level %d, version %d", r.LogRepair.TornBytes,
		r.LogRepair.TornAt,
		r.LogRepair.RemovedFiles, st.Applied, st.Level, st.Version)
}

// goTypeNames match Go type names in errors of encoding/json, which may change.
var goTypeNames = regexp.MustCompile(`Go value of type \S+`)

// Invalid snapshots and entries, and those of a later level, must give the same errors as version 2a0a97e did.
func TestGoldenInvalidStates(t *testing.T) {
	var all textReport
	read := func(what, raw string) {
		group, err := ReadSnapshot([]byte(raw))
		if err != nil {
			all.addLine("%s: %v", what, err)
			return
		}
		all.addLine("%s: read, version %d", what, group.stateMachine.Last())
	}
	head := `{"meta":"CgQKAgEC"}` + "\n"
	read("nothing", "")
	read("no head", "no head of a snapshot at all")
	read("a head that is none", "{\n")
	read("a head of no snapshot", `{"meta":"/////w=="}`+"\n{}\n")
	read("a state that is none", head+"[]\n")
	read("from 0", head+`{"cluster":"c","first":0}`+"\n")
	read("a later level", head+`{"cluster":"c","first":1,"level":6}`+"\n")
	read("many versions", head+`{"cluster":"c","first":1,"versions":100001}`+"\n")
	read("a session short", head+`{"cluster":"c","first":1,"sessions":1}`+"\n")
	read("a version short", head+`{"cluster":"c","first":1,"versions":1}`+"\n")
	read("another version", head+`{"cluster":"c","first":1,"versions":1}`+"\n"+`{"version":2,"text":""}`+"\n")
	read("a wrong text", head+`{"cluster":"c","first":1,"versions":1}`+"\n"+`{"version":1,"text":"[x]"}`+"\n")
	read("wrong nodes", head+`{"cluster":"c","first":1,"level":5,"nodes":[]}`+"\n")
	read("an empty one", head+`{"cluster":"c","first":1}`+"\n")
	read("one of this level", head+`{"cluster":"c","first":1,"versions":1,"level":5}`+"\n"+
		`{"version":1,"text":"[tenant t]\nrate = 1\n"}`+"\n")
	for _, entry := range []string{"[]", `{"kind":""}`, `{"rules":9,"session":"s"}`, `{"kind":"level","body":9}`,
		`{"kind":"beat","body":[]}`, `{"kind":"policy","body":{"op":"propose"}}`, `{"kind":"policy","body":7}`,
		`{"kind":"zones","body":7}`, `{"kind":"other","body":7}`} {
		m := newStateMachine("c", 0)
		r := &Replica{stateMachine: m}
		var out ReadyResult
		kind := pb.EntryType_EntryNormal
		all.addLine("entry %s: %v", entry, r.apply(&pb.Entry{Type: &kind, Data: []byte(entry)}, &out))
		m.supportedLevel = LevelVersions
		all.addLine("at level 1, entry %s: %v", entry, r.apply(&pb.Entry{Type: &kind, Data: []byte(entry)}, &out))
	}
	// protobuf's error texts contain a space or a non-breaking one, depending on the build.
	text := bytes.ReplaceAll([]byte(all.String()), []byte("\u00a0"), []byte(" "))
	checkGolden(t, "group/wrong-states.txt", goTypeNames.ReplaceAll(text, []byte("Go value")))
}

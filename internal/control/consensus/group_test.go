package consensus

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/config"
	"umberwinch/internal/wal"
)

// TestThreeInstances: a change shows at all; it outlasts the leader's end; what comes back catches up.
func TestThreeInstances(t *testing.T) {
	all := three(t, nil)
	if a := all[1].put("s", 1, 0); a.Outcome != PutCommitted || a.Version != 1 {
		t.Fatalf("put at a follower: %+v", a)
	}
	for _, i := range all {
		var v Version
		if code, h := i.ask(http.MethodGet, "/v1/config", nil, &v); code != 200 || v.Number != 1 ||
			h.Get(HeaderVersion) != "1" || h.Get(HeaderOutOfContact) != "" {
			t.Fatalf("read: %d, version %d, headers %v", code, v.Number, h)
		}
	}
	leader := -1
	for n, i := range all {
		if i.group.View().Role == "leader" {
			leader = n
		}
	}
	all[leader].stop()
	other := all[(leader+1)%3]
	if a := other.put("s", 1, 0); a.Outcome != PutCommitted || a.Version != 1 {
		t.Fatalf("repeat under the next leader: %+v, expected the first answer", a)
	}
	for n := uint64(2); n < 12; n++ {
		if a := other.put("s", n, n-1); a.Outcome != PutCommitted || a.Version != n {
			t.Fatalf("put %d: %+v", n, a)
		}
	}
	all[leader].start()
	all[leader].await("it catches up", func(v *View) bool { return v.Version == 11 })
}

// TestAloneItSaysSo: without a majority reads and puts have no answer, and all that is said is marked.
func TestAloneItSaysSo(t *testing.T) {
	t.Parallel()
	all := three(t, nil)
	all[0].put("s", 1, 0)
	all[2].await("version 1", func(v *View) bool { return v.Version == 1 })
	all[0].stop()
	all[1].stop()
	all[2].await("out of touch", (*View).OutOfContact)
	var v Version
	if code, h := all[2].ask(http.MethodGet, "/v1/config?read=stale", nil, &v); code != 200 || v.Number != 1 ||
		h.Get(HeaderOutOfContact) == "" {
		t.Fatalf("stale read: %d, version %d, headers %v", code, v.Number, h)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if _, err := all[2].group.LinearizableView(ctx); err == nil {
		t.Fatal("a read was answered without a majority")
	}
	if _, err := all[2].group.Put(ctx, Put{Session: "t", Seq: 1, Author: "x", Text: text(1)}); err == nil {
		t.Fatal("a put was answered without a majority")
	}
	if all[2].group.View().Version != 1 {
		t.Fatal("what no majority has was applied")
	}
}

// TestWatchGoesOn: a watcher that moves to another instance misses no version and gets none twice.
func TestWatchGoesOn(t *testing.T) {
	all := three(t, nil)
	from := uint64(1)
	for round := 0; round < 6; round++ {
		i := all[round%3]
		last := all[0].group.View().Version
		for n := last + 1; n <= last+5; n++ {
			if a := i.put("s", n, n-1); a.Version != n {
				t.Fatalf("put %d: %+v", n, a)
			}
		}
		res, err := http.Get(fmt.Sprintf("http://%s/v1/watch?from=%d", i.control.Listen, from))
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(res.Body)
		lines.Buffer(nil, 1<<20)
		for got := 0; got < 3+round%3 && lines.Scan(); {
			var b Heartbeat
			if json.Unmarshal(lines.Bytes(), &b) == nil && b.Heartbeat {
				continue
			}
			v, err := ReadVersion(lines.Bytes())
			if err != nil || v.Number != from {
				t.Fatalf("version %v (%v), expected %d", v, err, from)
			}
			from++
			got++
		}
		res.Body.Close()
	}
	if code, _ := all[0].ask(http.MethodGet, "/v1/watch?from=0", nil, nil); code != http.StatusGone {
		t.Fatalf("watch from 0: %d, expected %d", code, http.StatusGone)
	}
}

// TestRemovedIsTold: a removed instance hears that it is, and takes no part under any later start.
func TestRemovedIsTold(t *testing.T) {
	all := three(t, nil)
	id := all[2].group.View().ID
	var out []Member
	if code, _ := all[0].ask(http.MethodPost, "/v1/members", Change{Op: "remove", Member: Member{ID: id}},
		&out); code !=
		200 || len(out) != 2 {
		t.Fatalf("remove: %d, %+v", code, out)
	}
	all[2].await("barred", func(v *View) bool { return v.Barred != "" })
	all[2].stop()
	all[2].start()
	if v := all[2].group.View(); v.Role != "barred" || !v.OutOfContact() {
		t.Fatalf("after a start: %+v", v.Status)
	}
	if a := all[0].put("s", 1, 0); a.Outcome != PutCommitted {
		t.Fatalf("put after a removal: %+v", a)
	}
}

// TestReplaceInOneStep: a learner takes a voter's place by a joint change, and the one that left is told.
func TestReplaceInOneStep(t *testing.T) {
	all := three(t, nil)
	fresh := boot(t, "d", "join", nil)
	var s Self
	fresh.ask(http.MethodGet, "/v1/self", nil, &s)
	learner := Member{ID: s.ID, Name: s.Name, Peer: s.Peer, Listen: s.Listen}
	if code, _ := all[0].ask(http.MethodPost, "/v1/members", Change{Op: "add", Member: learner}, nil); code != 200 {
		t.Fatalf("add: %d", code)
	}
	fresh.await("it is a learner that has the state", func(v *View) bool {
		return v.Role == "learner" &&
			v.Applied > 1
	})
	gone := all[2].group.View().ID
	var out []Member
	if code, _ := all[0].ask(http.MethodPost, "/v1/members", Change{Op: "replace", Member: learner, ReplacedID: gone},
		&out); code != 200 {
		t.Fatalf("replace: %d", code)
	}
	for _, m := range out {
		if m.ID == gone || !m.Voter {
			t.Fatalf("members %+v, expected three voters without %x", out, gone)
		}
	}
	all[2].await("barred", func(v *View) bool { return v.Barred != "" })
	if a := fresh.put("s", 1, 0); a.Outcome != PutCommitted {
		t.Fatalf("put at the new one: %+v", a)
	}
}

// TestRemoveTheLeader: the lead goes over, then the change is made.
func TestRemoveTheLeader(t *testing.T) {
	all := three(t, nil)
	for n, i := range all {
		v := i.group.View()
		if v.Role != "leader" {
			continue
		}
		other := all[(n+1)%3]
		if code, _ := other.ask(http.MethodPost, "/v1/members", Change{Op: "remove", Member: Member{ID: v.ID}},
			nil); code !=
			200 {
			t.Fatalf("remove: %d", code)
		}
		if a := other.put("s", 1, 0); a.Outcome != PutCommitted {
			t.Fatalf("put: %+v", a)
		}
		return
	}
	t.Fatal("no leader")
}

// TestSnapshotToALateOne: a group whose log was let go of takes in an instance by a snapshot, large enough
// for many chunks, and goes on meanwhile.
func TestSnapshotToALateOne(t *testing.T) {
	t.Parallel()
	a := boot(t, "a", "new", nil)
	large := func(n int) string {
		var b strings.Builder
		for i := 0; i < 9000; i++ {
			fmt.Fprintf(&b, "[tenant t%d]\nrate = %d\n", i, n+i)
		}
		return b.String()
	}
	for n := uint64(1); n <= 12; n++ {
		var end PutResult
		a.await("a leader", func(v *View) bool { return v.Leader != 0 })
		if a.ask(http.MethodPut, "/v1/config", Put{Session: "s", Seq: n, Base: n - 1, Author: "x",
			Text: large(int(n))},
			&end); end.Outcome != PutCommitted {
			t.Fatalf("put %d: %+v", n, end)
		}
	}
	a.await("the log was let go of", func(v *View) bool { return v.Status.FirstIndex > 2 })
	b := boot(t, "b", "join", nil)
	a.join(b)
	if v := b.group.View(); v.Version != 12 || b.group.transport.count.snapsReceived.Load() == 0 {
		t.Fatalf("version %d after %d snapshots", v.Version, b.group.transport.count.snapsReceived.Load())
	}
	b.stop()
	b.start()
	b.await("the state after a start", func(v *View) bool { return v.Version == 12 })
}

func TestRestoreMakesAnotherGroup(t *testing.T) {
	a := boot(t, "a", "new", nil)
	a.put("s", 1, 0)
	parts, err := a.group.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	a.group.stopOnce.Do(func() { close(a.group.stopping) }) // its folder is looked into
	<-a.group.Done()
	again, err := Open(wal.Dir(a.control.Data), loudPlan(a.control))
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err = again.Work(func([]*pb.Message) {}); err != nil {
		t.Fatal(err)
	}
	for n := 0; n < 40 && again.Status().Version == 0; n++ {
		again.Tick()
		if _, err = again.Work(func([]*pb.Message) {}); err != nil {
			t.Fatal(err)
		}
	}
	head, err := again.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err = head.Write(); err != nil {
		t.Fatal(err)
	}
	inFolder, err := filepath.Glob(filepath.Join(a.control.Data, "*.snap"))
	if err != nil || len(inFolder) == 0 {
		t.Fatalf("snapshots %v, %v", inFolder, err)
	}
	fromFolder, err := os.ReadFile(inFolder[len(inFolder)-1])
	if err != nil {
		t.Fatal(err)
	}
	if v, err := Restore(wal.NewMemFS(), ConfigFrom(a.control), fromFolder); err != nil || v.Number != 1 {
		t.Fatalf("from a folder's file: %v, %v", v, err)
	}
	var control config.Control
	b := boot(t, "b", "new", func(c *config.Control) {
		dir, err := wal.MakeDir(c.Data)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = Restore(dir, ConfigFrom(c), bytes.Join(parts, nil)); err != nil {
			t.Fatal(err)
		}
		if _, err = Restore(dir, ConfigFrom(c), bytes.Join(parts, nil)); err == nil {
			t.Fatal("restored into a folder that is an instance's")
		}
		control = *c
	})
	b.await("it leads", func(v *View) bool { return v.Role == "leader" })
	if v := b.group.View(); v.Version != 1 || v.Cluster == a.group.View().Cluster || len(v.Members) != 1 ||
		v.Members[0].Listen != control.Listen {
		t.Fatalf("%+v with %+v", v.Status, v.Members)
	}
	if a := b.put("s", 1, 0); a.Outcome != PutCommitted || a.Version != 1 {
		t.Fatalf("a repeat of a put of before: %+v, expected its first answer", a)
	}
}

// TestPeersThatCantBeBelieved send what is no greeting, another cluster's, or messages in another's name.
func TestPeersThatCantBeBelieved(t *testing.T) {
	a := boot(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	own := a.group.View()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", a.control.Peer)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		t.Cleanup(func() { c.Close() })
		return c
	}
	closed := func(c net.Conn, what string) {
		t.Helper()
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Fatalf("%s: %v, expected a close", what, err)
		}
	}
	for what, raw := range map[string][]byte{"noise": []byte(strings.Repeat("GET / HTTP/1.1\r\n", 9)),
		"a frame of 4 GB": {255, 255, 255, 255, 0, 0, 0, 0}, "a wrong sum": {2, 0, 0, 0, 1, 2, 3, 4, 1, 1}} {
		c := dial()
		c.Write(raw)
		closed(c, what)
	}
	c := dial()
	writeJSON(c, frameHello, Hello{Identity: Identity{Cluster: "other", ID: 9}, To: own.ID})
	if kind, raw, err := readFrame(c, 1000); err != nil || kind != frameRefused || string(raw) != `"`+otherCluster+`"` {
		t.Fatalf("another cluster: kind %d %s %v", kind, raw, err)
	}
	closed(c, "another cluster")
	c = dial()
	writeJSON(c, frameHello, Hello{Identity: Identity{Cluster: own.Cluster, ID: 9, Starts: 1}, To: own.ID,
		Level: LatestLevel})
	if kind, _, err := readFrame(c, 1000); err != nil || kind != frameAccepted {
		t.Fatalf("kind %d %v, expected a welcome", kind, err)
	}
	forged, _ := proto.Marshal(&pb.Message{Type: pb.MessageType_MsgHeartbeat.Enum(), From: proto.Uint64(8),
		To: proto.Uint64(own.ID), Term: proto.Uint64(own.Term + 9)})
	writeFrame(c, frameMessage, forged)
	closed(c, "a message in another's name")
	if v := a.group.View(); v.Term != own.Term || a.group.transport.count.broken.Load() < 4 {
		t.Fatalf("term %d, %d broken", v.Term, a.group.transport.count.broken.Load())
	}
}

// TestSnapshotCutOff: one that ends in the middle, lies about its length or its content changes nothing.
func TestSnapshotCutOff(t *testing.T) {
	a := boot(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	own := a.group.View()
	for n, announced := range []int{5000, -1, maxSnapshotBytes + 1, 3000} {
		c, err := net.Dial("tcp", a.control.Peer)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second))
		writeJSON(c, frameHello, Hello{Identity: Identity{Cluster: own.Cluster, ID: 9, Starts: 1}, To: own.ID,
			Level: LatestLevel,
			Bulk:  true})
		readFrame(c, 1000)
		m, _ := proto.Marshal(&pb.Message{Type: pb.MessageType_MsgSnap.Enum(), From: proto.Uint64(9),
			To: proto.Uint64(own.ID), Term: proto.Uint64(own.Term + 9),
			Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(99), Term: proto.Uint64(9)}}})
		writeJSON(c, frameSnapshot, snapshotAnnouncement{m, announced, 1})
		writeFrame(c, frameChunk, make([]byte, 3000))
		if n == 0 {
			c.(*net.TCPConn).CloseWrite()
		}
		io.Copy(io.Discard, c)
		c.Close()
	}
	if v := a.group.View(); v.Term != own.Term || v.Applied < own.Applied ||
		a.group.transport.count.broken.Load() != 4 {
		t.Fatalf("term %d, applied %d, %d broken of 4", v.Term, v.Applied, a.group.transport.count.broken.Load())
	}
}

// TestClientsAreBounded: what clients send past the bounds, or wrong, is told and harms nothing.
func TestClientsAreBounded(t *testing.T) {
	t.Parallel()
	a := boot(t, "a", "new", func(c *config.Control) { c.Token = "a token of some length" })
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	url := "http://" + a.control.Listen + "/v1/config"
	for _, c := range []struct {
		name, body, token string
		code              int
	}{
		{"no token", "{}", "", 401},
		{"another token", "{}", "a token of some lengtH", 401},
		{"no JSON", "x", a.control.Token, 400},
		{"an unknown key", `{"sesion":"x"}`, a.control.Token, 400},
		{"no session", `{"seq":1,"author":"x"}`, a.control.Token, 400},
		{"no number", `{"session":"s","author":"x"}`, a.control.Token, 400},
		{"no author", `{"session":"s","seq":1}`, a.control.Token, 400},
		{"a long text", `{"session":"s","seq":1,"author":"x","text":"` + strings.Repeat("x", 1<<20+1) + `"}`,
			a.control.Token, 400},
		{"a body without end", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, a.control.Token, 413},
		{"a wrong document", `{"session":"s","seq":1,"author":"x","text":"[x]\ny = 1\n"}`, a.control.Token, 422},
		{"rules of its own", `{"session":"r","seq":1,"author":"x","rules":99,"text":"[tenant a]\nrate = 1\n"}`,
			a.control.Token, 200},
	} {
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+c.token)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		raw, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode != c.code {
			t.Errorf("%s: %d %.200s, expected %d", c.name, res.StatusCode, raw, c.code)
		}
	}
	for _, path := range []string{"/v1/config?version=x", "/v1/history?limit=0", "/v1/history?limit=1001",
		"/v1/config?read=quick"} {
		if code, _ := a.ask(http.MethodGet, path, nil, nil); code != 400 {
			t.Errorf("%s: %d, expected 400", path, code)
		}
	}
	if code, _ := a.ask(http.MethodGet, "/v1/config?version=7", nil, nil); code != 404 {
		t.Errorf("version 7: %d, expected 404", code)
	}
	slow, err := net.Dial("tcp", a.control.Listen) // a head that never ends
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.Write([]byte("GET /v1/status HTTP/1.1\r\nX: "))
	slow.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, slow); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("a head that never ends: %v, expected a close", err)
	}
}

// TestBodiesAreBounded: clients that announce much and send nothing take the room there is for bodies; others
// are told to come again, and once those are gone all goes on.
func TestBodiesAreBounded(t *testing.T) {
	a := boot(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	var open []net.Conn
	for i := 0; i < maxBodiesBytes/maxBodyBytes; i++ {
		c, err := net.Dial("tcp", a.control.Listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "PUT /v1/config HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
			maxBodyBytes)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
			t.Fatalf("body %d: %q, %v", i, line, err)
		}
		open = append(open, c)
	}
	put := Put{Session: "s", Seq: 1, Author: "x", Text: text(1) + strings.Repeat(";\n", 1<<19-100)}
	if code, h := a.ask(http.MethodPut, "/v1/config", put, nil); code != 503 || h.Get("Retry-After") == "" {
		t.Fatalf("a put beside full bodies: %d, expected 503 and a time to come back", code)
	}
	for _, c := range open {
		c.Close()
	}
	if end := a.put("t", 1, 0); end.Outcome != PutCommitted {
		t.Fatalf("a put after them: %+v", end)
	}
}

// TestQueueOfAPeerIsBounded: what waits for a peer that takes nothing is bounded in bytes too.
func TestQueueOfAPeerIsBounded(t *testing.T) {
	p := &peer{queue: make(chan *pb.Message, maxQueuedMessages)}
	m := &pb.Message{Entries: []*pb.Entry{{Data: make([]byte, 1<<20)}}}
	n := 0
	for p.enqueue(m) {
		n++
	}
	if n < 30 || n > 32 {
		t.Fatalf("%d messages of 1 MiB queued, expected 31", n)
	}
	p.release(<-p.queue)
	if !p.enqueue(m) {
		t.Fatal("no room after one left")
	}
}

// gatedFS holds a snapshot's making until its gate opens.
type gatedFS struct {
	wal.FS
	entered, gate chan struct{}
}

func (f gatedFS) Create(name string) (wal.File, error) {
	if strings.HasSuffix(name, ".snap.tmp") && !strings.HasPrefix(name, "0000000000000001.") {
		close(f.entered)
		<-f.gate
	}
	return f.FS.Create(name)
}

// TestFolderIsKeptWhileASnapshotIsWritten: an instance that ends lets its folder go once nobody writes to it.
func TestFolderIsKeptWhileASnapshotIsWritten(t *testing.T) {
	at := address()
	c := &config.Control{Name: "a", Data: t.TempDir(), Start: "new", Peer: at + ":7101", Bind: at + ":7101",
		Listen: at + ":7201", Tick: 10 * time.Millisecond, Elect: 10, DiskMB: 64, SnapMB: 1, RateMB: 64,
		Touch: time.Second}
	entered, gate := make(chan struct{}), make(chan struct{})
	g, err := Start(c, quietLogger(), Faults{WrapDisk: func(fs wal.FS) wal.FS { return gatedFS{fs, entered, gate} }})
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 3; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		end, err := g.Put(ctx, Put{Session: "s", Seq: n, Base: n - 1, Author: "x",
			Text: text(int(n)) + strings.Repeat(";\n", 1<<18)})
		cancel()
		if err != nil || end.Outcome != PutCommitted {
			t.Fatalf("put %d: %+v, %v", n, end, err)
		}
	}
	<-entered
	g.stopOnce.Do(func() { close(g.stopping) })
	select {
	case <-g.Done():
		t.Fatal("it ended while its snapshot was being written")
	case <-time.After(200 * time.Millisecond): // long past what an end takes
	}
	if _, _, err := wal.Open(wal.Dir(c.Data), ConfigFrom(c).Sizes); !errors.Is(err, wal.ErrLocked) {
		t.Fatalf("the folder meanwhile: %v, expected %v", err, wal.ErrLocked)
	}
	close(gate)
	<-g.Done()
}

// certificates writes an authority and one certificate for some addresses.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
	n    int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key, dir: t.TempDir(), n: 1}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.write(t, "authority", a.cert, key)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) write(t *testing.T, name string, c *x509.Certificate, key *ecdsa.PrivateKey) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for path, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: der},
		name + ".key": {Type: "EC PRIVATE KEY", Bytes: raw}} {
		if err := os.WriteFile(a.path(path), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func (a *authority) issue(t *testing.T, name, ip string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.n++
	a.write(t, name, &x509.Certificate{SerialNumber: big.NewInt(a.n), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}, key)
}

// TestTLS: instances and clients of one authority speak; others don't; a bad new certificate leaves the old
// one.
func TestTLS(t *testing.T) {
	ca := newAuthority(t)
	with := func(c *config.Control) {
		host, _, _ := net.SplitHostPort(c.Peer)
		ca.issue(t, c.Name, host)
		c.Cert, c.Key, c.CA = ca.path(c.Name+".pem"), ca.path(c.Name+".key"), ca.path("authority.pem")
	}
	a, b := boot(t, "a", "new", with), boot(t, "b", "join", with)
	ca.issue(t, "client", "127.0.0.1")
	pair, err := tls.LoadX509KeyPair(ca.path("client.pem"), ca.path("client.key"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	raw, _ := os.ReadFile(ca.path("authority.pem"))
	pool.AppendCertsFromPEM(raw)
	for _, i := range []*instance{a, b} {
		i.web = "https"
		i.http = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool,
			Certificates: []tls.Certificate{pair}}}}
	}
	a.join(b)
	if end := b.put("s", 1, 0); end.Outcome != PutCommitted {
		t.Fatalf("put: %+v", end)
	}
	bare := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	if _, err := bare.Get("https://" + a.control.Listen + "/v1/status"); err == nil {
		t.Fatal("a client without a certificate was answered")
	}
	if c, err := net.Dial("tcp", a.control.Peer); err == nil {
		writeJSON(c, frameHello, Hello{Identity: Identity{ID: 9}})
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if kind, _, err := readFrame(c, 1000); err == nil {
			t.Fatalf("a peer without TLS was answered with kind %d", kind)
		}
		c.Close()
	}
	if err := os.WriteFile(a.control.Cert, []byte("nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.group.Reload(); err == nil {
		t.Fatal("a bad certificate was taken")
	}
	if end := a.put("s", 2, 1); end.Outcome != PutCommitted {
		t.Fatalf("put after a bad certificate: %+v", end)
	}
	with(a.control)
	if err := a.group.Reload(); err != nil {
		t.Fatalf("a good certificate: %v", err)
	}
	b.stop() // a new connection, with the new certificate
	b.start()
	b.await("it hears the leader", func(v *View) bool { return v.Leader != 0 && v.Version == 2 })
}

// TestManyClients: 32 at once, each answered; one sync serves many puts.
func TestManyClients(t *testing.T) {
	a := boot(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for n := 0; n < 32; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seq := uint64(1); seq <= 20; seq++ {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				end, err := a.group.Put(ctx, Put{Session: fmt.Sprint("s", n), Seq: seq, Base: a.group.View().Version,
					Author: "x", Text: fmt.Sprintf("[tenant t%d]\nrate = %d\n", n, seq)})
				cancel()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				ends[end.Outcome]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	v := a.group.View()
	if ends[PutCommitted]+ends[PutConflict] != 640 || uint64(ends[PutCommitted]) != v.Version {
		t.Fatalf("ends %v, version %d", ends, v.Version)
	}
	if v.Syncs >= 640 {
		t.Fatalf("%d syncs for 640 puts", v.Syncs)
	}
}

package consensus

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// An instance that joins after the log was truncated must get the state by a snapshot of many chunks, and have it after
// a restart.
func TestSnapshotToNewMember(t *testing.T) {
	t.Parallel()
	a := startInstance(t, "a", "new", nil)
	large := func(n int) string {
		var b strings.Builder
		for i := 0; i < 9000; i++ {
			fmt.Fprintf(&b, "[tenant t%d]\nrate = %d\n", i, n+i)
		}
		return b.String()
	}
	for n := uint64(1); n <= 12; n++ {
		var result PutResult
		a.await("a leader", func(v *View) bool { return v.Leader != 0 })
		if a.request(http.MethodPut, "/v1/config", Put{Session: "s", Seq: n, Base: n - 1, Author: "x",
			Text: large(int(n))},
			&result); result.Outcome != PutCommitted {
			t.Fatalf("put(seq %d) = %+v, want %s", n, result, PutCommitted)
		}
	}
	a.await("a truncated log", func(v *View) bool { return v.Status.FirstIndex > 2 })
	b := startInstance(t, "b", "join", nil)
	a.addVoter(b)
	if v := b.group.View(); v.Version != 12 || b.group.transport.counters.snapshotsReceived.Load() == 0 {
		t.Fatalf("version %d after %d snapshots, want version 12 after at least one", v.Version,
			b.group.transport.counters.snapshotsReceived.Load())
	}
	b.stop()
	b.start()
	b.await("version 12 after a restart", func(v *View) bool { return v.Version == 12 })
}

// Connections with invalid data, another cluster's hello or a message with a forged sender must be closed, and the term
// must not change.
func TestInvalidPeersAreDisconnected(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("role leader", func(v *View) bool { return v.Role == "leader" })
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
			t.Fatalf("%s: read = %v, want EOF or a reset", what, err)
		}
	}
	for what, raw := range map[string][]byte{"noise": []byte(strings.Repeat("GET / HTTP/1.1\r\n", 9)),
		"frame of 4 GB": {255, 255, 255, 255, 0, 0, 0, 0}, "wrong checksum": {2, 0, 0, 0, 1, 2, 3, 4, 1, 1}} {
		c := dial()
		c.Write(raw)
		closed(c, what)
	}
	c := dial()
	writeJSON(c, frameHello, Hello{Identity: Identity{Cluster: "other", ID: 9}, To: own.ID})
	wantReason := `"` + refusedOtherCluster + `"`
	if kind, raw, err := readFrame(c, 1000); err != nil || kind != frameRefused || string(raw) != wantReason {
		t.Fatalf("response to another cluster = kind %d %s, %v, want kind %d %s", kind, raw, err, frameRefused,
			wantReason)
	}
	closed(c, "another cluster")
	c = dial()
	writeJSON(c, frameHello, Hello{Identity: Identity{Cluster: own.Cluster, ID: 9, Starts: 1}, To: own.ID,
		Level: LatestLevel})
	if kind, _, err := readFrame(c, 1000); err != nil || kind != frameAccepted {
		t.Fatalf("response to a valid hello = kind %d, %v, want kind %d", kind, err, frameAccepted)
	}
	forged, _ := proto.Marshal(&pb.Message{Type: pb.MessageType_MsgHeartbeat.Enum(), From: proto.Uint64(8),
		To: proto.Uint64(own.ID), Term: proto.Uint64(own.Term + 9)})
	writeFrame(c, frameMessage, forged)
	closed(c, "message with a forged sender")
	if v := a.group.View(); v.Term != own.Term || a.group.transport.counters.broken.Load() < 4 {
		t.Fatalf("term = %d with %d broken connections, want term %d with at least 4", v.Term,
			a.group.transport.counters.broken.Load(), own.Term)
	}
}

// A snapshot that ends early or has a wrong length or checksum must not be applied.
func TestInvalidSnapshotsAreNotApplied(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("role leader", func(v *View) bool { return v.Role == "leader" })
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
		a.group.transport.counters.broken.Load() != 4 {
		t.Fatalf("term = %d, applied = %d, %d broken connections, want term %d, applied at least %d, 4 broken", v.Term,
			v.Applied, a.group.transport.counters.broken.Load(), own.Term, own.Applied)
	}
}

// The queue of a peer that reads no messages must be bounded in bytes too, as a message may carry a large document.
func TestPeerQueueIsBounded(t *testing.T) {
	p := &peer{queue: make(chan *pb.Message, maxQueuedMessages)}
	m := &pb.Message{Entries: []*pb.Entry{{Data: make([]byte, 1<<20)}}}
	n := 0
	for p.enqueue(m) {
		n++
	}
	if n < 30 || n > 32 {
		t.Fatalf("%d messages of 1 MiB queued, want 30 to 32", n)
	}
	p.releaseBytes(<-p.queue)
	if !p.enqueue(m) {
		t.Fatal("enqueue() after a message was dequeued = false, want true")
	}
}

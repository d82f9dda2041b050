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

// An instance joins when the log before it has been truncated. It must get the state by a snapshot of many chunks,
// and find it again after a restart.
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
			t.Fatalf("put %d: %+v", n, result)
		}
	}
	a.await("the log was let go of", func(v *View) bool { return v.Status.FirstIndex > 2 })
	b := startInstance(t, "b", "join", nil)
	a.addVoter(b)
	if v := b.group.View(); v.Version != 12 || b.group.transport.counters.snapshotsReceived.Load() == 0 {
		t.Fatalf("version %d after %d snapshots", v.Version, b.group.transport.counters.snapshotsReceived.Load())
	}
	b.stop()
	b.start()
	b.await("the state after a start", func(v *View) bool { return v.Version == 12 })
}

// Something connects to the peers' address and sends noise, another cluster's hello, or a message in another
// instance's name. Each connection must be closed, and the term must not change.
func TestInvalidPeersAreDisconnected(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
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
	if kind, raw, err := readFrame(c, 1000); err != nil || kind != frameRefused || string(raw) != `"`+refusedOtherCluster+`"` {
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
	if v := a.group.View(); v.Term != own.Term || a.group.transport.counters.broken.Load() < 4 {
		t.Fatalf("term %d, %d broken", v.Term, a.group.transport.counters.broken.Load())
	}
}

// A peer sends a snapshot that ends in the middle, or lies about its length or content. Nothing of it may be applied.
func TestInvalidSnapshotsAreNotApplied(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
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
		a.group.transport.counters.broken.Load() != 4 {
		t.Fatalf("term %d, applied %d, %d broken of 4", v.Term, v.Applied, a.group.transport.counters.broken.Load())
	}
}

// A peer takes no messages. What is queued for it must be bounded in bytes too, as a message may carry a large
// document.
func TestPeerQueueIsBounded(t *testing.T) {
	p := &peer{queue: make(chan *pb.Message, maxQueuedMessages)}
	m := &pb.Message{Entries: []*pb.Entry{{Data: make([]byte, 1<<20)}}}
	n := 0
	for p.enqueue(m) {
		n++
	}
	if n < 30 || n > 32 {
		t.Fatalf("%d messages of 1 MiB queued, expected 31", n)
	}
	p.releaseBytes(<-p.queue)
	if !p.enqueue(m) {
		t.Fatal("no room after one left")
	}
}

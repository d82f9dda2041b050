package consensus

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/logging"
)

// snapshotAnnouncement precedes the chunks of a snapshot.
type snapshotAnnouncement struct {
	Message []byte `json:"message"` // raft's message without the state
	Bytes   int    `json:"bytes"`   // size of the state
	Sum     uint64 `json:"sum"`     // xxhash of the state
}

// receiveSnapshot reads one snapshot, at most one at a time, and passes it on once it is complete and verified.
func (t *transport) receiveSnapshot(c net.Conn, r *bufio.Reader, from uint64) {
	t.mu.Lock()
	busy := t.receivingSnapshot
	t.receivingSnapshot = true
	t.mu.Unlock()
	if busy {
		t.counters.refused.Add(1)
		return
	}
	defer func() { t.mu.Lock(); t.receivingSnapshot = false; t.mu.Unlock() }()
	fail := func(err error) {
		t.counters.broken.Add(1)
		t.log.WithFields(logrus.Fields{logging.Peer: idText(from), logging.Error: err}).Warn(
			"received an incomplete or invalid snapshot")
	}
	c.SetReadDeadline(time.Now().Add(snapshotIdleTimeout))
	kind, raw, err := readFrame(r, maxFrameBytes)
	var announcement snapshotAnnouncement
	m := &pb.Message{}
	if err == nil && kind == frameSnapshot {
		err = json.Unmarshal(raw, &announcement)
	}
	if err == nil {
		err = proto.Unmarshal(announcement.Message, m)
	}
	if err != nil || kind != frameSnapshot || announcement.Bytes < 0 || announcement.Bytes > maxSnapshotBytes ||
		m.GetFrom() != from || m.GetType() != pb.MessageType_MsgSnap || m.GetSnapshot() == nil {
		fail(fmt.Errorf("announcement: found kind %d and %d bytes, expected kind %d and at most %d bytes: %v", kind,
			announcement.Bytes, frameSnapshot, maxSnapshotBytes, err))
		return
	}
	// The buffer grows with the chunks, so that an announcement alone allocates little.
	state := make([]byte, 0, min(announcement.Bytes, 1<<20))
	for len(state) < announcement.Bytes {
		c.SetReadDeadline(time.Now().Add(snapshotIdleTimeout))
		kind, raw, err := readFrame(r, snapshotChunkBytes+1)
		if err != nil || kind != frameChunk || len(state)+len(raw) > announcement.Bytes {
			fail(fmt.Errorf("state: found kind %d after %d of %d bytes, expected kind %d: %v", kind, len(state),
				announcement.Bytes, frameChunk, err))
			return
		}
		state = append(state, raw...)
	}
	if sum := xxhash.Sum64(state); sum != announcement.Sum {
		fail(fmt.Errorf("state: found checksum %016x, expected %016x", sum, announcement.Sum))
		return
	}
	m.Snapshot.Data = state
	t.counters.snapshotsReceived.Add(1)
	t.handler.receive(m)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeFrame(c, frameDone, nil)
}

// sendSnapshot sends a snapshot over its own connection, within the operator's rate limit.
func (t *transport) sendSnapshot(p *peer, m *pb.Message) error {
	c, err := t.dial(p, true)
	if err != nil {
		return err
	}
	defer c.Close()
	state := m.GetSnapshot().GetData()
	header := proto.Clone(&pb.Message{Type: m.Type, To: m.To, From: m.From, Term: m.Term,
		Snapshot: &pb.Snapshot{Metadata: m.GetSnapshot().GetMetadata()}}).(*pb.Message)
	raw, err := proto.Marshal(header)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err = writeJSON(c, frameSnapshot, snapshotAnnouncement{raw, len(state), xxhash.Sum64(state)}); err != nil {
		return err
	}
	for len(state) > 0 {
		n := min(snapshotChunkBytes, len(state))
		if err = t.rate.WaitN(t.ctx, n); err != nil {
			return err
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err = writeFrame(c, frameChunk, state[:n]); err != nil {
			return err
		}
		state = state[n:]
	}
	c.SetReadDeadline(time.Now().Add(snapshotIdleTimeout))
	kind, _, err := readFrame(c, maxHandshakeBytes)
	if err == nil && kind != frameDone {
		err = errSnapshotNotAcknowledged
	}
	t.counters.snapshotsSent.Add(1)
	return err
}

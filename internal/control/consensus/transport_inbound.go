package consensus

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/logging"
)

// accept handles the handshake of an inbound connection and reads from it until it ends.
func (t *transport) accept(c net.Conn) {
	r := bufio.NewReaderSize(c, 64<<10)
	h, ok := t.acceptHello(c, r)
	if !ok {
		return
	}
	if h.Bulk {
		t.receiveSnapshot(c, r, h.ID)
		return
	}
	t.replaceConnection(c, h.ID)
	t.readMessages(r, h.ID)
}

// acceptHello reads and answers a hello. If ok is false the caller must close the connection.
func (t *transport) acceptHello(c net.Conn, r *bufio.Reader) (h Hello, ok bool) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	kind, raw, err := readFrame(r, maxHandshakeBytes)
	if err == nil && kind != frameHello {
		err = &FrameError{fmt.Sprintf("of kind %d", kind), "a hello"}
	}
	if err == nil {
		err = json.Unmarshal(raw, &h)
	}
	if err != nil {
		t.counters.broken.Add(1)
		t.log.WithField(logging.Error, err).Debug("inbound connection without a valid hello")
		return h, false
	}
	reason, err := t.handler.handleHello(h)
	var own Hello
	if err == nil {
		own, err = t.handler.hello(h.ID)
	}
	if err != nil {
		return h, false
	}
	if reason != "" {
		t.counters.refused.Add(1)
		t.log.WithFields(logrus.Fields{logging.Peer: idText(h.ID), logging.Node: h.Name, logging.Reason: reason}).
			Warn("connection of an instance refused")
		writeJSON(c, frameRefused, reason)
		return h, false
	}
	if err = writeJSON(c, frameAccepted, own); err != nil {
		return h, false
	}
	c.SetDeadline(time.Time{})
	return h, true
}

// readMessages passes a peer's messages to the handler. A message with another sender, or a snapshot outside a bulk
// connection, ends the connection: raft would attribute it to the other instance.
func (t *transport) readMessages(r *bufio.Reader, from uint64) {
	for t.ctx.Err() == nil {
		kind, raw, err := readFrame(r, maxFrameBytes)
		if err != nil {
			return
		}
		m := &pb.Message{}
		if kind != frameMessage || proto.Unmarshal(raw, m) != nil || m.GetFrom() != from ||
			m.GetType() == pb.MessageType_MsgSnap {
			t.counters.broken.Add(1)
			t.log.WithField(logging.Peer, idText(from)).Warn("invalid message from a peer; its connection is closed")
			return
		}
		t.counters.received.Add(1)
		t.handler.receive(m)
	}
}

// replaceConnection registers the connection's peer and closes older connections of that peer.
func (t *transport) replaceConnection(c net.Conn, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, peerID := range t.inbound {
		if peerID == id && other != c {
			other.Close()
		}
	}
	t.inbound[c] = id
}

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

// take greets whoever dialled and reads what it sends.
func (t *transport) accept(c net.Conn) {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	r := bufio.NewReaderSize(c, 64<<10)
	kind, raw, err := readFrame(r, maxHandshakeBytes)
	var h Hello
	if err == nil && kind != frameHello {
		err = fmt.Errorf("a frame of kind %d, expected a hello", kind)
	}
	if err == nil {
		err = json.Unmarshal(raw, &h)
	}
	if err != nil {
		t.count.broken.Add(1)
		t.log.WithField(logging.Error, err).Debug("a peer's connection without a greeting")
		return
	}
	reason, err := t.handler.handshake(h)
	var own Hello
	if err == nil {
		own, err = t.handler.hello(h.ID)
	}
	if err != nil {
		return
	}
	if reason != "" {
		t.count.refused.Add(1)
		t.log.WithFields(logrus.Fields{logging.Peer: fmt.Sprintf("%x", h.ID), "name": h.Name, logging.Reason: reason}).
			Warn("an instance was refused")
		writeJSON(c, frameRefused, reason)
		return
	}
	if err = writeJSON(c, frameAccepted, own); err != nil {
		return
	}
	c.SetDeadline(time.Time{})
	if h.Bulk {
		t.receiveSnapshot(c, r, h.ID)
		return
	}
	t.registerConnection(c, h.ID)
	for t.ctx.Err() == nil {
		kind, raw, err := readFrame(r, maxFrameBytes)
		if err != nil {
			return
		}
		m := &pb.Message{}
		if kind != frameMessage || proto.Unmarshal(raw, m) != nil || m.GetFrom() != h.ID ||
			m.GetType() == pb.MessageType_MsgSnap {
			t.count.broken.Add(1)
			t.log.WithField(logging.Peer, fmt.Sprintf("%x", h.ID)).Warn("a message that can't be from this peer")
			return
		}
		t.count.received.Add(1)
		t.handler.receive(m)
	}
}

// replace closes an older connection of the same peer.
func (t *transport) registerConnection(c net.Conn, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for o, who := range t.inbound {
		if who == id && o != c {
			o.Close()
		}
	}
	t.inbound[c] = id
}

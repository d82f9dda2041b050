package consensus

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/logging"
)

// peer is the sending side for another instance.
type peer struct {
	id              uint64
	addr            string
	queue           chan *pb.Message
	queuedBytes     atomic.Int64 // size of the messages in queue
	stop            context.CancelFunc
	sendingSnapshot atomic.Bool
}

// enqueue queues a message. It returns false if the queue's limit of messages or bytes would be exceeded.
func (p *peer) enqueue(m *pb.Message) bool {
	n := int64(proto.Size(m))
	if p.queuedBytes.Add(n) <= maxQueuedBytes {
		select {
		case p.queue <- m:
			return true
		default:
		}
	}
	p.queuedBytes.Add(-n)
	return false
}

// releaseBytes subtracts a dequeued message from queuedBytes.
func (p *peer) releaseBytes(m *pb.Message) { p.queuedBytes.Add(-int64(proto.Size(m))) }

// dial connects to a peer and completes the handshake.
func (t *transport) dial(p *peer, bulk bool) (net.Conn, error) {
	c, err := t.credentials.dial(p.addr, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	if err = t.handshake(c, p, bulk); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// handshake sends a hello and checks the response. A refusal may bar this instance from the group.
func (t *transport) handshake(c net.Conn, p *peer, bulk bool) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	h, err := t.handler.hello(p.id)
	if err != nil {
		return err
	}
	h.Bulk = bulk
	if err = writeJSON(c, frameHello, h); err != nil {
		return err
	}
	kind, raw, err := readFrame(c, maxHandshakeBytes)
	if err != nil {
		return err
	}
	switch kind {
	case frameRefused:
		var reason string
		if err = json.Unmarshal(raw, &reason); err != nil {
			return err
		}
		if BarsInstance(reason) {
			t.handler.barInstance(reason)
		}
		return &PeerRefusedError{ByPeer: true, Reason: reason}
	case frameAccepted:
		var other Hello
		if err = json.Unmarshal(raw, &other); err != nil {
			return err
		}
		if other.ID != p.id {
			return &UnexpectedPeerError{other.ID, p.id}
		}
		reason, err := t.handler.handleHello(other)
		if err == nil && reason != "" {
			t.counters.refused.Add(1)
			err = &PeerRefusedError{Reason: reason}
		}
		c.SetDeadline(time.Time{})
		return err
	}
	return &FrameError{fmt.Sprintf("of kind %d", kind), "a response to the hello"}
}

// connect keeps a connection to a peer and sends queued messages until ctx is done.
func (t *transport) connect(ctx context.Context, p *peer) {
	backoff, logged := minBackoff, ""
	for ctx.Err() == nil {
		c, err := t.dial(p, false)
		if err != nil {
			if err.Error() != logged { // log each failure once
				logged = err.Error()
				t.log.WithFields(logrus.Fields{logging.Peer: idText(p.id), logging.Address: p.addr,
					logging.Error: err}).Info("peer unreachable")
			}
			t.handler.reportUnreachable(p.id)
			t.dropQueued(p)
			select {
			case <-ctx.Done():
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if logged != "" {
			t.log.WithField(logging.Peer, idText(p.id)).Info("peer reachable again")
		}
		backoff, logged = minBackoff, ""
		t.writeMessages(ctx, p, c)
		c.Close()
		t.handler.reportUnreachable(p.id)
	}
}

// dropQueued empties a queue: messages queued while the peer was unreachable are outdated, and raft sends them again.
func (t *transport) dropQueued(p *peer) {
	for {
		select {
		case m := <-p.queue:
			p.releaseBytes(m)
			t.counters.dropped.Add(1)
		default:
			return
		}
	}
}

// writeMessages sends queued messages until the connection fails or ctx is done.
func (t *transport) writeMessages(ctx context.Context, p *peer, c net.Conn) {
	closed := make(chan struct{})
	// Peers send nothing on this connection, so the read returns only when it is closed. connect closes it after this
	// function returns, which ends the goroutine.
	go func() {
		var unread [1]byte
		c.Read(unread[:])
		close(closed)
	}()
	w := bufio.NewWriterSize(c, 64<<10)
	for {
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case m := <-p.queue:
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			for m != nil {
				p.releaseBytes(m)
				raw, err := proto.Marshal(m)
				if err == nil {
					err = writeFrame(w, frameMessage, raw)
				}
				if err != nil {
					return
				}
				t.counters.sent.Add(1)
				select {
				case m = <-p.queue:
				default:
					m = nil
				}
			}
			if w.Flush() != nil {
				return
			}
		}
	}
}

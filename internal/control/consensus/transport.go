package consensus

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/logging"
)

// Bounds of the transport.
const (
	maxQueuedMessages     = 512             // messages that wait for one peer; the core sends again what is dropped
	maxQueuedBytes        = 32 << 20        // and their bytes
	maxInboundConnections = 64              // connections taken in at once
	maxSnapshotBytes      = 160 << 20       // of a state: twice what the machine keeps of versions, and the rest of it
	snapshotChunkBytes    = 256 << 10       // of a state in one frame
	handshakeTimeout      = 2 * time.Second // for dialling and greeting
	writeTimeout          = 5 * time.Second // for a frame to leave
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = time.Second
	snapshotIdleTimeout   = 10 * time.Second // without a chunk a snapshot is given up
	maxHandshakeBytes     = 4 << 10          // of a greeting
)

// owner is what the transport asks of whoever owns the replica. All but the counters run on the owner's
// goroutine.
type messageHandler interface {
	hello(to uint64) (Hello, error)
	handshake(h Hello) (reason string, err error)
	bar(reason string)
	receive(m *pb.Message)
	reportUnreachable(to uint64)
	reportSnapshot(to uint64, ok bool)
}

// traffic counts what went over the wire.
type transportCounters struct {
	sent, received, dropped, refused, broken, snapsSent, snapsReceived atomic.Uint64
}

// transport carries messages between instances: one connection a peer and direction for what is small,
// another for a snapshot, so that a heartbeat never waits behind bulk. It owns connections and queues; it
// never decides whom to speak with, and never waits for a peer on the owner's goroutine.
type transport struct {
	handler messageHandler
	trust   *credentials
	log     *logrus.Logger
	rate    *rate.Limiter
	count   transportCounters
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu                sync.Mutex
	peers             map[uint64]*peer
	inbound           map[net.Conn]uint64 // taken in, by whom
	receivingSnapshot bool                // a snapshot is coming in
}

type peer struct {
	id              uint64
	addr            string
	queue           chan *pb.Message
	bytes           atomic.Int64 // of what is queued
	stop            context.CancelFunc
	sendingSnapshot atomic.Bool
}

// put queues a message if there is room for it; took frees the room of one that left the queue.
func (p *peer) enqueue(m *pb.Message) bool {
	n := int64(proto.Size(m))
	if p.bytes.Add(n) <= maxQueuedBytes {
		select {
		case p.queue <- m:
			return true
		default:
		}
	}
	p.bytes.Add(-n)
	return false
}

func (p *peer) release(m *pb.Message) { p.bytes.Add(-int64(proto.Size(m))) }

func newTransport(o messageHandler, t *credentials, log *logrus.Logger, rateMB int) *transport {
	ctx, stop := context.WithCancel(context.Background())
	return &transport{handler: o, trust: t, log: log, ctx: ctx, stop: stop, peers: map[uint64]*peer{},
		inbound: map[net.Conn]uint64{}, rate: rate.NewLimiter(rate.Limit(rateMB<<20), max(snapshotChunkBytes, rateMB<<18))}
}

// serve takes connections in until the listener closes.
func (t *transport) serve(l net.Listener) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		<-t.ctx.Done()
		l.Close()
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.log.WithField(logging.Error, err).Warn("a connection of a peer was not accepted")
			time.Sleep(minBackoff)
			continue
		}
		t.mu.Lock()
		full := len(t.inbound) >= maxInboundConnections
		if !full {
			t.inbound[c] = 0
		}
		t.mu.Unlock()
		if full {
			t.count.refused.Add(1)
			c.Close()
			continue
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.accept(c)
			t.mu.Lock()
			delete(t.inbound, c)
			t.mu.Unlock()
			c.Close()
		}()
	}
}

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

// snapshotAnnouncement opens a snapshot: how long the state is and its sum.
type snapshotAnnouncement struct {
	Message []byte `json:"message"`
	Bytes   int    `json:"bytes"`
	Sum     uint64 `json:"sum"`
}

// receiveSnapshot reads one snapshot, at most one at a time, and hands it over whole.
func (t *transport) receiveSnapshot(c net.Conn, r *bufio.Reader, from uint64) {
	t.mu.Lock()
	busy := t.receivingSnapshot
	t.receivingSnapshot = true
	t.mu.Unlock()
	if busy {
		t.count.refused.Add(1)
		return
	}
	defer func() { t.mu.Lock(); t.receivingSnapshot = false; t.mu.Unlock() }()
	bad := func(err error) {
		t.count.broken.Add(1)
		t.log.WithFields(logrus.Fields{logging.Peer: fmt.Sprintf("%x", from), logging.Error: err}).Warn(
			"a snapshot did not come whole; it will be sent again")
	}
	c.SetReadDeadline(time.Now().Add(snapshotIdleTimeout))
	kind, raw, err := readFrame(r, maxFrameBytes)
	var note snapshotAnnouncement
	m := &pb.Message{}
	if err == nil && kind == frameSnapshot {
		err = json.Unmarshal(raw, &note)
	}
	if err == nil {
		err = proto.Unmarshal(note.Message, m)
	}
	if err != nil || kind != frameSnapshot || note.Bytes < 0 || note.Bytes > maxSnapshotBytes || m.GetFrom() != from ||
		m.GetType() != pb.MessageType_MsgSnap || m.GetSnapshot() == nil {
		bad(fmt.Errorf("it opens with kind %d and %d bytes to come, expected at most %d: %v", kind, note.Bytes,
			maxSnapshotBytes, err))
		return
	}
	state := make([]byte, 0, min(note.Bytes, 1<<20)) // grows as it comes: a note alone takes no memory
	for len(state) < note.Bytes {
		c.SetReadDeadline(time.Now().Add(snapshotIdleTimeout))
		kind, raw, err := readFrame(r, snapshotChunkBytes+1)
		if err != nil || kind != frameChunk || len(state)+len(raw) > note.Bytes {
			bad(fmt.Errorf("%d of %d bytes, then kind %d: %w", len(state), note.Bytes, kind, err))
			return
		}
		state = append(state, raw...)
	}
	if sum := xxhash.Sum64(state); sum != note.Sum {
		bad(fmt.Errorf("its sum is %016x, expected %016x", sum, note.Sum))
		return
	}
	m.Snapshot.Data = state
	t.count.snapsReceived.Add(1)
	t.handler.receive(m)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeFrame(c, frameDone, nil)
}

// know sets whom to speak with, by id and address. Connections of those that were removed close, so that they
// hear of it when they come again.
func (t *transport) setPeers(members []Member, removed []uint64, own uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, who := range t.inbound {
		for _, id := range removed {
			if who == id {
				c.Close()
			}
		}
	}
	for id, p := range t.peers {
		keep := false
		for _, m := range members {
			keep = keep || m.ID == id && m.Peer == p.addr
		}
		if !keep {
			p.stop()
			delete(t.peers, id)
		}
	}
	for _, m := range members {
		if m.ID == own || t.peers[m.ID] != nil || t.ctx.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		p := &peer{id: m.ID, addr: m.Peer, queue: make(chan *pb.Message, maxQueuedMessages), stop: stop}
		t.peers[m.ID] = p
		t.wg.Add(1)
		go func() { defer t.wg.Done(); t.connect(ctx, p) }()
	}
}

// send queues messages; those for whom there is no room are dropped, as a network would.
func (t *transport) send(ms []*pb.Message) {
	for _, m := range ms {
		t.mu.Lock()
		p := t.peers[m.GetTo()]
		t.mu.Unlock()
		snap := m.GetType() == pb.MessageType_MsgSnap
		switch {
		case p == nil:
			t.count.dropped.Add(1)
			if snap {
				t.handler.reportSnapshot(m.GetTo(), false)
			}
		case snap:
			if !p.sendingSnapshot.CompareAndSwap(false, true) {
				t.handler.reportSnapshot(p.id, false)
				continue
			}
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				err := t.sendSnapshot(p, m)
				p.sendingSnapshot.Store(false)
				if err != nil {
					t.log.WithFields(logrus.Fields{logging.Peer: fmt.Sprintf("%x", p.id), logging.Error: err}).Warn(
						"a snapshot was not sent whole")
				}
				t.handler.reportSnapshot(p.id, err == nil)
			}()
		default:
			if !p.enqueue(m) {
				t.count.dropped.Add(1)
				t.handler.reportUnreachable(p.id)
			}
		}
	}
}

// greet dials a peer and makes sure of who answers.
func (t *transport) dial(p *peer, bulk bool) (net.Conn, error) {
	c, err := t.trust.dial(p.addr, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	if err = t.handshake(c, p, bulk); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

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
			t.handler.bar(reason)
		}
		return fmt.Errorf("refused: %s", reason)
	case frameAccepted:
		var other Hello
		if err = json.Unmarshal(raw, &other); err != nil {
			return err
		}
		if other.ID != p.id {
			return fmt.Errorf("instance %x answers, expected %x", other.ID, p.id)
		}
		reason, err := t.handler.handshake(other)
		if err == nil && reason != "" {
			t.count.refused.Add(1)
			err = fmt.Errorf("it was refused: %s", reason)
		}
		c.SetDeadline(time.Time{})
		return err
	}
	return fmt.Errorf("a frame of kind %d, expected a welcome", kind)
}

// speak keeps a connection to a peer and sends what is queued.
func (t *transport) connect(ctx context.Context, p *peer) {
	wait, told := minBackoff, ""
	for ctx.Err() == nil {
		c, err := t.dial(p, false)
		if err != nil {
			if err.Error() != told { // changes of state only
				told = err.Error()
				t.log.WithFields(logrus.Fields{logging.Peer: fmt.Sprintf("%x", p.id), "address": p.addr,
					logging.Error: err}).Info("a peer can't be reached")
			}
			t.handler.reportUnreachable(p.id)
			t.dropQueued(p)
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			wait = min(2*wait, maxBackoff)
			continue
		}
		if told != "" {
			t.log.WithField(logging.Peer, fmt.Sprintf("%x", p.id)).Info("a peer is reached again")
		}
		wait, told = minBackoff, ""
		t.writeMessages(ctx, p, c)
		c.Close()
		t.handler.reportUnreachable(p.id)
	}
}

// drop empties a queue: what waited while a peer was away is old, and the core sends it again.
func (t *transport) dropQueued(p *peer) {
	for {
		select {
		case m := <-p.queue:
			p.release(m)
			t.count.dropped.Add(1)
		default:
			return
		}
	}
}

func (t *transport) writeMessages(ctx context.Context, p *peer, c net.Conn) {
	gone := make(chan struct{})
	go func() { // nothing comes this way: a read that ends means that the peer is gone
		var one [1]byte
		c.Read(one[:])
		close(gone)
	}()
	w := bufio.NewWriterSize(c, 64<<10)
	for {
		select {
		case <-ctx.Done():
			return
		case <-gone:
			return
		case m := <-p.queue:
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			for m != nil {
				p.release(m)
				raw, err := proto.Marshal(m)
				if err == nil {
					err = writeFrame(w, frameMessage, raw)
				}
				if err != nil {
					return
				}
				t.count.sent.Add(1)
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

// sendSnapshot sends one over a connection of its own, no faster than the operator allows.
func (t *transport) sendSnapshot(p *peer, m *pb.Message) error {
	c, err := t.dial(p, true)
	if err != nil {
		return err
	}
	defer c.Close()
	state := m.GetSnapshot().GetData()
	head := proto.Clone(&pb.Message{Type: m.Type, To: m.To, From: m.From, Term: m.Term,
		Snapshot: &pb.Snapshot{Metadata: m.GetSnapshot().GetMetadata()}}).(*pb.Message)
	raw, err := proto.Marshal(head)
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
		err = errors.New("it was not taken")
	}
	t.count.snapsSent.Add(1)
	return err
}

// close ends all connections and waits for their goroutines.
func (t *transport) close() {
	t.stop()
	t.mu.Lock()
	for c := range t.inbound {
		c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

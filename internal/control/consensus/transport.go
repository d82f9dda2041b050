package consensus

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/time/rate"

	"umberwinch/internal/logging"
)

// Bounds of the transport. They limit memory when peers are slow or send invalid data; raft sends dropped messages
// again.
const (
	maxQueuedMessages     = 512       // per peer
	maxQueuedBytes        = 32 << 20  // per peer
	maxInboundConnections = 64        // several for each of maxMembers
	maxSnapshotBytes      = 160 << 20 // twice maxVersionBytes, and the rest of a state
	snapshotChunkBytes    = 256 << 10 // per frame; small enough that the rate limit is smooth
	maxHandshakeBytes     = 4 << 10
)

// Timeouts of the transport.
const (
	handshakeTimeout    = 2 * time.Second  // to connect and exchange hellos
	writeTimeout        = 5 * time.Second  // of one frame
	snapshotIdleTimeout = 10 * time.Second // between two chunks
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = time.Second // bounds the delay until a recovered peer is reached
)

// messageHandler is the transport's access to the replica, implemented by Group. Its methods are called from the
// transport's goroutines; reportUnreachable and reportSnapshot also from the replica's own, so they must not block.
type messageHandler interface {
	hello(to uint64) (Hello, error)
	handleHello(h Hello) (reason string, err error)
	barInstance(reason string)
	receive(m *pb.Message)
	reportUnreachable(to uint64)
	reportSnapshot(to uint64, ok bool)
}

// transportCounters are exported as metrics.
type transportCounters struct {
	sent, received, dropped, refused, broken, snapshotsSent, snapshotsReceived atomic.Uint64
}

// transport carries messages between instances: one connection per peer and direction for raft messages, and one per
// snapshot, so that heartbeats are not delayed behind a snapshot, which could trigger an election. It owns connections,
// queues and their goroutines until close. Its handler decides which peers to accept. It never blocks the replica's
// goroutine on a peer.
type transport struct {
	handler     messageHandler
	credentials *credentials
	log         *logrus.Logger
	rate        *rate.Limiter
	counters    transportCounters
	ctx         context.Context
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu                sync.Mutex
	peers             map[uint64]*peer
	inbound           map[net.Conn]uint64 // id of the peer, 0 before its hello
	receivingSnapshot bool                // at most one at a time
}

func newTransport(handler messageHandler, creds *credentials, log *logrus.Logger, rateMB int) *transport {
	ctx, stop := context.WithCancel(context.Background())
	burst := max(snapshotChunkBytes, rateMB<<18)
	return &transport{
		handler:     handler,
		credentials: creds,
		log:         log,
		rate:        rate.NewLimiter(rate.Limit(rateMB<<20), burst),
		ctx:         ctx,
		stop:        stop,
		peers:       map[uint64]*peer{},
		inbound:     map[net.Conn]uint64{},
	}
}

// spawn runs f on a goroutine that close waits for. Once close has begun it returns false and does not run f: adding to
// the wait group then could panic or leave a goroutine behind.
func (t *transport) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.wg.Go(f)
	return true
}

// serve accepts connections until close.
func (t *transport) serve(l net.Listener) {
	closer := func() {
		<-t.ctx.Done()
		l.Close()
	}
	if !t.spawn(closer) {
		l.Close()
		return
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.log.WithField(logging.Error, err).Warn("inbound connection not accepted")
			time.Sleep(minBackoff)
			continue
		}
		t.serveConnection(c)
	}
}

// serveConnection handles an accepted connection on its own goroutine. It closes the connection at once if the
// transport is closing or the table is full.
func (t *transport) serveConnection(c net.Conn) {
	if !t.register(c) {
		t.counters.refused.Add(1)
		c.Close()
		return
	}
	handle := func() {
		defer t.unregister(c)
		t.accept(c)
	}
	if !t.spawn(handle) {
		t.unregister(c)
	}
}

// register adds an inbound connection to the table. It returns false if the table is full.
func (t *transport) register(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.inbound) >= maxInboundConnections {
		return false
	}
	t.inbound[c] = 0
	return true
}

// unregister closes an inbound connection and removes it from the table.
func (t *transport) unregister(c net.Conn) {
	t.mu.Lock()
	delete(t.inbound, c)
	t.mu.Unlock()
	c.Close()
}

// setPeers sets the peers to connect to. Connections of removed instances are closed, so that they learn of their
// removal when they reconnect.
func (t *transport) setPeers(members []Member, removed []uint64, self uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, peerID := range t.inbound {
		for _, id := range removed {
			if peerID == id {
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
		if m.ID == self || t.peers[m.ID] != nil || t.ctx.Err() != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		p := &peer{id: m.ID, addr: m.Peer, queue: make(chan *pb.Message, maxQueuedMessages), stop: stop}
		t.peers[m.ID] = p
		t.wg.Go(func() { t.connect(ctx, p) })
	}
}

// send queues messages. Messages that exceed a peer's queue are dropped, as a network would.
func (t *transport) send(ms []*pb.Message) {
	for _, m := range ms {
		t.mu.Lock()
		p := t.peers[m.GetTo()]
		t.mu.Unlock()
		isSnapshot := m.GetType() == pb.MessageType_MsgSnap
		switch {
		case p == nil:
			t.counters.dropped.Add(1)
			if isSnapshot {
				t.handler.reportSnapshot(m.GetTo(), false)
			}
		case isSnapshot:
			if !p.sendingSnapshot.CompareAndSwap(false, true) {
				t.handler.reportSnapshot(p.id, false)
				continue
			}
			if !t.spawn(func() { t.deliverSnapshot(p, m) }) {
				p.sendingSnapshot.Store(false)
				t.handler.reportSnapshot(p.id, false)
			}
		default:
			if !p.enqueue(m) {
				t.counters.dropped.Add(1)
				t.handler.reportUnreachable(p.id)
			}
		}
	}
}

// deliverSnapshot sends a snapshot and reports the result to raft.
func (t *transport) deliverSnapshot(p *peer, m *pb.Message) {
	err := t.sendSnapshot(p, m)
	p.sendingSnapshot.Store(false)
	if err != nil {
		t.log.WithFields(logrus.Fields{logging.Peer: idText(p.id), logging.Error: err}).
			Warn("failed to send a snapshot")
	}
	t.handler.reportSnapshot(p.id, err == nil)
}

// close closes all connections and waits for their goroutines.
func (t *transport) close() {
	t.stop()
	t.mu.Lock()
	for c := range t.inbound {
		c.Close()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

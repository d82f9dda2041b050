package consensus

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/time/rate"

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

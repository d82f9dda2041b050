package consensus

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/logging"
)

// closeTimeout is far longer than close takes, and shorter than the timeout of go test.
const closeTimeout = 10 * time.Second

// pipeListener accepts ends of pipes. Like a socket, it may still return a pending connection after Close.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	default:
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// handlerStub fails every hello and records the results of snapshots.
type handlerStub struct {
	mu        sync.Mutex
	snapshots []bool
}

var errStubHello = errors.New("no hello from the stub")

func (h *handlerStub) hello(uint64) (Hello, error)       { return Hello{}, errStubHello }
func (h *handlerStub) handleHello(Hello) (string, error) { return "", errStubHello }
func (h *handlerStub) barInstance(string)                {}
func (h *handlerStub) receive(*pb.Message)               {}
func (h *handlerStub) reportUnreachable(uint64)          {}
func (h *handlerStub) reportSnapshot(_ uint64, sent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshots = append(h.snapshots, sent)
}

func newTestTransport(h *handlerStub) *transport {
	return newTransport(h, &credentials{}, logging.New(io.Discard, "text", "error"), 1)
}

// within fails the test unless f returns within closeTimeout.
func within(t *testing.T, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
		t.Fatalf("%s: not within %v", what, closeTimeout)
	}
}

// expectClosed fails the test unless the other end of a pipe is closed.
func expectClosed(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read of a connection accepted during close = %v, want %v", err, io.EOF)
	}
}

// The listener returns a pending connection while the transport closes. It must be closed without starting a goroutine:
// adding to the wait group during close may panic.
func TestConnectionAcceptedDuringClose(t *testing.T) {
	for _, at := range []string{"before close returns", "after close returned"} {
		t.Run(at, func(t *testing.T) {
			transport := newTestTransport(&handlerStub{})
			listener := newPipeListener()
			served := make(chan struct{})
			go func() {
				defer close(served)
				transport.serve(listener)
			}()
			first, second := net.Pipe()
			if at == "before close returns" {
				transport.stop()
				listener.conns <- second
				within(t, "serve", func() { <-served })
				within(t, "close", transport.close)
			} else {
				within(t, "close", transport.close)
				within(t, "serve", func() { <-served })
				transport.serveConnection(second)
			}
			select {
			case <-listener.conns: // not accepted: the listener was closed first
			default:
				expectClosed(t, first)
			}
			if len(transport.inbound) != 0 {
				t.Errorf("%d inbound connections are registered, want none", len(transport.inbound))
			}
		})
	}
}

// close must return while connections keep arriving, with no goroutine running and no connection open.
func TestConnectionsArriveDuringClose(t *testing.T) {
	const rounds = 200
	for range rounds {
		transport := newTestTransport(&handlerStub{})
		listener := newPipeListener()
		served := make(chan struct{})
		go func() {
			defer close(served)
			transport.serve(listener)
		}()
		stop := make(chan struct{})
		dialed := make(chan []net.Conn)
		go func() {
			var ends []net.Conn
			defer func() { dialed <- ends }()
			for {
				first, second := net.Pipe()
				select {
				case listener.conns <- second:
					ends = append(ends, first)
				case <-stop:
					return
				}
			}
		}()
		within(t, "close", transport.close)
		within(t, "serve", func() { <-served })
		close(stop)
		ends := <-dialed
		select {
		case <-listener.conns: // the last one was not accepted
			ends = ends[:len(ends)-1]
		default:
		}
		for _, c := range ends {
			expectClosed(t, c)
		}
		if len(transport.inbound) != 0 {
			t.Fatalf("%d inbound connections are registered after close, want none", len(transport.inbound))
		}
	}
}

// A snapshot sent after close must be reported as failed, or raft would wait for it forever, and must start no
// goroutine.
func TestSnapshotAfterCloseIsReportedUnsent(t *testing.T) {
	handler := &handlerStub{}
	transport := newTestTransport(handler)
	const peerID = 7
	transport.setPeers([]Member{{ID: peerID, Peer: "127.0.0.1:1"}}, nil, 1)
	within(t, "close", transport.close)
	snapshot := &pb.Message{Type: pb.MessageType_MsgSnap.Enum(), To: proto.Uint64(peerID)}
	for range 2 {
		transport.send([]*pb.Message{snapshot})
	}
	if len(handler.snapshots) != 2 || handler.snapshots[0] || handler.snapshots[1] {
		t.Errorf("reported snapshots = %v, want [false false]", handler.snapshots)
	}
	if transport.peers[peerID].sendingSnapshot.Load() {
		t.Error("sendingSnapshot = true after close, want false")
	}
}

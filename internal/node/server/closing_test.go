package server

// Tests of how connections end. Each test is the loop: it decides when events are handled, and so what is in transit
// while a connection ends.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
)

// manualLoop is a loop with a listener on loopback whose events the test handles itself.
type manualLoop struct {
	*loop
	t    *testing.T
	addr string
}

func newManualLoop(t *testing.T, conns int) *manualLoop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	limits := NewLimits(1, 64, 256)
	limits.Connections, limits.EvictionThreshold = conns, conns
	l := &loop{crossGoroutine: crossGoroutine{log: log, limits: limits, events: make(chan event, 256),
		pool: bufferPool{capacity: limits.Buffers}, workers: newWorkers(1)},
		clients:          clients{connections: newTable[connection](conns), idleTimeout: admission.Second},
		inFlightRequests: inFlightRequests{requests: newTable[request](8)}, readiness: readiness{ready: true},
		configuration: configuration{settings: &settings.Startup{Deployment: &admission.Deployment{}}}}
	l.startClock(admission.Second)
	ln, err := newListener("127.0.0.1:0", conns, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	var address string
	ln.raw.Control(func(fd uintptr) {
		name, err := syscall.Getsockname(int(fd))
		if in4, ok := name.(*syscall.SockaddrInet4); ok && err == nil {
			address = fmt.Sprintf("127.0.0.1:%d", in4.Port)
		}
	})
	l.serve(ln)
	t.Cleanup(ln.stop)
	return &manualLoop{loop: l, t: t, addr: address}
}

func (l *manualLoop) dial() net.Conn {
	c, err := net.Dial("tcp", l.addr)
	if err != nil {
		l.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	l.t.Cleanup(func() { c.Close() })
	return c
}

// waitForEvents waits until at least this many events are queued, and handles none.
func (l *manualLoop) waitForEvents(n int) {
	l.t.Helper()
	if !waitUntil(func() bool { return len(l.events) >= n }) {
		l.t.Fatalf("queued events = %d, want %d", len(l.events), n)
	}
}

func (l *manualLoop) handleEvents(n int) {
	l.t.Helper()
	for range n {
		l.waitForEvents(1)
		l.handle(<-l.events)
	}
}

// advance moves the clock and sweeps the connections.
func (l *manualLoop) advance(duration admission.Time) {
	l.now += duration
	l.sweep(l.now)
}

func (l *manualLoop) firstConnection() *connection {
	h, _ := l.connections.next(0)
	return l.connections.get(h)
}

const healthCheck = "GET /health HTTP/1.1\r\n\r\n"

func sendHealthCheck(c net.Conn) { io.WriteString(c, healthCheck) }

// expectResponse reads a response and returns whether it announces the close of the connection.
func expectResponse(t *testing.T, r *bufio.Reader, status int) (closes bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != status {
		t.Fatalf("response = %+v, %v, want status %d", response, err, status)
	}
	return response.Close
}

// A posted request that is not handled yet keeps its connection open; closing it would leave the request without a
// response.
func TestPostedRequestKeepsConnectionOpen(t *testing.T) {
	for name, closeIdle := range map[string]func(l *manualLoop){
		"idle":   func(l *manualLoop) { l.advance(10 * admission.Second) },
		"silent": func(l *manualLoop) { l.advance(l.limits.MessageTimeout) },
		"eviction": func(l *manualLoop) {
			l.limits.EvictionThreshold = 0
			l.now += l.limits.EvictionMinIdle
			l.evict()
		},
		"drain": func(l *manualLoop) { l.closeAllIdle(true) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newManualLoop(t, 4)
			c := l.dial()
			l.handleEvents(1)
			sendHealthCheck(c)
			l.waitForEvents(1)
			closeIdle(l)
			l.handleEvents(1)
			if expectResponse(t, bufio.NewReader(c), 200) {
				t.Error("response announces the close of the connection, want it kept open")
			}
		})
	}
}

// Bytes unread in the socket keep a connection open; the end of the stream does not.
func TestHasUnread(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	if hasUnread(pair[0]) {
		t.Error("hasUnread() = true for an empty socket, want false")
	}
	unix.Write(pair[1], []byte("G"))
	if !hasUnread(pair[0]) {
		t.Error("hasUnread() = false with one byte in the socket, want true")
	}
	var b [1]byte
	unix.Read(pair[0], b[:])
	unix.Close(pair[1])
	if hasUnread(pair[0]) {
		t.Error("hasUnread() = true at the end of the stream, want false")
	}
}

// A complete message that waits for room in the event queue, and an incomplete one, keep their connection open.
func TestMessageInProgressKeepsConnectionOpen(t *testing.T) {
	l := newManualLoop(t, 4)
	c := l.dial()
	l.handleEvents(1)
	p := l.firstConnection().peer
	for len(l.events) < cap(l.events) {
		l.events <- callback{func() {}}
	}
	sendHealthCheck(c)
	if !waitUntil(func() bool { return p.pipelined.Load() > 0 }) {
		t.Fatal("the request is not read")
	}
	l.advance(10 * admission.Second)
	if l.firstConnection().closing {
		t.Error("connection is closing while a request waits for room in the event queue")
	}
	l.handleEvents(cap(l.events) + 1)
	expectResponse(t, bufio.NewReader(c), 200)
	io.WriteString(c, "GET /hea")
	if !waitUntil(func() bool { return p.incompleteSince.Load() != 0 }) {
		t.Fatal("the incomplete message is not read")
	}
	l.firstConnection().lastActive = l.now + admission.Second // active, but slow
	l.closeAllIdle(false)
	if l.firstConnection().closing {
		t.Error("connection is closing in the middle of a message")
	}
	io.WriteString(c, "lth HTTP/1.1\r\n\r\n")
	l.handleEvents(1)
	expectResponse(t, bufio.NewReader(c), 200)
}

// An idle connection ends by a shutdown of its sending side: the client reads the end of the stream, and its later
// input is discarded without a response.
func TestIdleConnectionIsShutDown(t *testing.T) {
	l := newManualLoop(t, 4)
	c := l.dial()
	l.handleEvents(1)
	sendHealthCheck(c)
	l.handleEvents(1)
	r := bufio.NewReader(c)
	expectResponse(t, r, 200)
	l.advance(2 * admission.Second)
	if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
		t.Errorf("read %q, %v, want the end of the stream", b, err)
	}
	sendHealthCheck(c)
	sendHealthCheck(c)
	p := l.firstConnection().peer
	discarded := func() int {
		p.inputMu.Lock()
		defer p.inputMu.Unlock()
		return p.discarded
	}
	if !waitUntil(func() bool { return discarded() == 2*len(healthCheck) }) {
		t.Errorf("discarded bytes = %d, want %d (both requests)", discarded(), 2*len(healthCheck))
	}
	if len(l.events) > 0 {
		t.Error("a request was posted that came after the shutdown")
	}
	c.Close()
	l.handleEvents(1)
	if l.connections.used != 0 {
		t.Error("the closed connection is still in the table")
	}
}

// A client that never closes its side is disconnected after LingerTimeout, and one that sends without end once it
// exceeds DiscardBytes.
func TestLingeringConnectionIsBounded(t *testing.T) {
	l := newManualLoop(t, 4)
	l.dial()
	l.handleEvents(1)
	l.advance(2 * admission.Second)
	l.advance(l.limits.LingerTimeout)
	l.handleEvents(1)
	flood := l.dial()
	l.handleEvents(1)
	l.advance(2 * admission.Second)
	flood.Write(make([]byte, l.limits.DiscardBytes+1))
	l.handleEvents(1) // discardLimitExceeded
	l.handleEvents(1) // connectionClosed
	if l.connections.used != 0 {
		t.Errorf("open connections = %d, want 0", l.connections.used)
	}
}

// An accepted connection always finds a free table slot, however many connections open and close before the loop
// handles the events.
func TestAcceptedConnectionFindsFreeSlot(t *testing.T) {
	l := newManualLoop(t, 2)
	for range 2 {
		l.dial()
	}
	l.handleEvents(2)
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		l.abort(l.connections.get(h))
	}
	l.waitForEvents(2) // both are closed, and the loop has not handled that yet
	var waiting []net.Conn
	for range 3 {
		waiting = append(waiting, l.dial())
		sendHealthCheck(waiting[len(waiting)-1])
	}
	time.Sleep(50 * time.Millisecond) // nothing must happen, so there is no event to wait for
	if len(l.events) != 2 {
		t.Fatalf("queued events = %d, want 2: a connection without a free slot was accepted", len(l.events))
	}
	l.handleEvents(2)
	l.handleEvents(4)
	for _, c := range waiting[:2] {
		expectResponse(t, bufio.NewReader(c), 200)
		c.Close()
	}
	l.handleEvents(2)
	l.handleEvents(2)
	expectResponse(t, bufio.NewReader(waiting[2]), 200)
}

// While all slots are taken, lingering connections are closed after InFlightGrace, and not before.
func TestLingeringConnectionsAreEvicted(t *testing.T) {
	l := newManualLoop(t, 2)
	l.dial()
	l.dial()
	l.handleEvents(2)
	waiting := l.dial()
	sendHealthCheck(waiting)
	l.advance(l.limits.MessageTimeout)
	l.advance(l.limits.InFlightGrace - 1)
	if l.connections.used != 2 || len(l.events) > 0 {
		t.Fatal("connection closed before input that crossed the shutdown could arrive")
	}
	l.advance(1)
	l.handleEvents(2)
	l.handleEvents(2)
	expectResponse(t, bufio.NewReader(waiting), 200)
}

// Connections in the backlog of a stopped listener are served; later ones are refused.
func TestStoppedListenerAcceptsBacklog(t *testing.T) {
	ln, err := newListener("127.0.0.1:0", 1, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	var address string
	ln.raw.Control(func(fd uintptr) {
		name, _ := syscall.Getsockname(int(fd))
		address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	})
	ln.acquireSlot() // takes the only slot, so that all connections wait in the backlog
	var clients []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, "x")
		clients = append(clients, c)
	}
	accepted, ended := make(chan int, 8), make(chan bool)
	go func() {
		ln.run(func(fd int) { accepted <- fd }, func(err error) { t.Error(err) })
		close(ended)
	}()
	ln.stop()
	for range clients {
		ln.releaseSlot()
		select {
		case fd := <-accepted:
			syscall.Write(fd, []byte("y"))
			syscall.Close(fd)
		case <-time.After(testTimeout):
			t.Fatal("connection is not accepted")
		}
	}
	ln.releaseSlot()
	<-ended
	for i, c := range clients {
		var b [1]byte
		if _, err := c.Read(b[:]); err != nil {
			t.Errorf("client %d: %v", i, err)
		}
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("a stopped listener accepts a connection")
	}
}

// The listener survives any accept error and warns once per series of errors.
func TestListenerRetriesAcceptErrors(t *testing.T) {
	ln, err := newListener("127.0.0.1:0", 4, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	failures := []error{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.ENETDOWN, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.EPERM}
	var acceptCalls atomic.Int32
	warnings := make(chan error, len(failures))
	ln.accept = func(fd int) (int, error) {
		if n := int(acceptCalls.Add(1)); n <= len(failures) {
			return -1, failures[n-1]
		}
		return acceptNonblocking(fd)
	}
	var address string
	ln.raw.Control(func(fd uintptr) {
		name, _ := syscall.Getsockname(int(fd))
		address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	})
	accepted, ended := make(chan int, 1), make(chan bool)
	go func() {
		ln.run(func(fd int) { accepted <- fd }, func(err error) { warnings <- err })
		close(ended)
	}()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case fd := <-accepted:
		syscall.Close(fd)
	case <-time.After(testTimeout):
		t.Fatalf("connection is not accepted after %d calls of accept", acceptCalls.Load())
	}
	if n := len(warnings); n != 1 {
		t.Errorf("warnings = %d, want 1", n)
	} else if err := <-warnings; err != syscall.EMFILE {
		t.Errorf("warning = %v, want %v, the first error that does not concern a single connection", err,
			syscall.EMFILE)
	}
	ln.stop()
	<-ended
	if ln.openConnections != 1 {
		t.Errorf("open connections = %d, want 1", ln.openConnections)
	}
}

// Responses are sent although clients hold all buffers, and a request that can't be read for lack of a buffer is
// rejected with 503.
func TestResponsesNeedNoFreeBuffer(t *testing.T) {
	l := newManualLoop(t, 4)
	a, b := l.dial(), l.dial()
	l.handleEvents(2)
	sendHealthCheck(a)
	l.waitForEvents(1)
	l.pool.mu.Lock()
	l.pool.capacity = 0
	l.pool.mu.Unlock()
	sendHealthCheck(b)
	l.handleEvents(2)
	expectResponse(t, bufio.NewReader(a), 200)
	if !expectResponse(t, bufio.NewReader(b), 503) {
		t.Error("response to an unreadable request does not announce the close of the connection")
	}
	if l.counters.BadRequests != 0 {
		t.Errorf("BadRequests = %d, want 0", l.counters.BadRequests)
	}
}

// A signal of one kind never displaces one of another kind, and an early SIGHUP does not end the program.
func TestSignalKindsAreIndependent(t *testing.T) {
	n := startNode(t, map[string]string{"stop_ms": "2500"})
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	replaceWithPipe := func() {
		if err := errors.Join(os.Remove(n.file), syscall.Mkfifo(n.file, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	replaceWithPipe() // reading the file blocks until the test writes it
	for range 20 {
		n.signal(syscall.SIGHUP)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if !n.waitForLog("drain: ") {
		t.Fatal("SIGTERM is lost after SIGHUP")
	}
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if !n.waitForLog("msg=counters ") {
		t.Error("SIGUSR1 is lost after SIGHUP")
	}
	n.cmd.Process.Kill()
	<-n.ended

	n.kernel.mu.Lock() // next, a SIGHUP before the first reading of the file
	n.kernel.events, n.kernel.bootDelayed = nil, true
	n.kernel.mu.Unlock()
	n.launch()                                         // does not wait for the kernel, whose boot is delayed
	writer, err := os.OpenFile(n.file, os.O_WRONLY, 0) // blocks until the program reads
	if err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGHUP)
	writer.Write(text)
	n.writeStartupFile("") // replaces the pipe for the second reading
	writer.Close()
	if !n.waitForLog(`msg="start-up file taken" `) {
		t.Error("an early SIGHUP is lost")
	}
}

// A health check and a notice to drain that both waited are handled in either order. The check gets 200 only before the
// notice, and the connection stays open; from the notice on it gets 503 and the close, even in the same round.
func TestWaitingHealthCheckAndDrainNotice(t *testing.T) {
	for _, c := range []struct {
		name        string
		noticeFirst bool
		status      int
		closes      bool
	}{{"check first", false, 200, false}, {"notice first", true, 503, true}} {
		t.Run(c.name, func(t *testing.T) {
			l := newManualLoop(t, 4)
			client := l.dial()
			l.handleEvents(1)
			if c.noticeFirst {
				l.post(drainRequested{})
			}
			sendHealthCheck(client)
			if !c.noticeFirst {
				l.waitForEvents(1)
				l.post(drainRequested{})
			}
			l.waitForEvents(2)
			l.handleEvents(2)
			if closes := expectResponse(t, bufio.NewReader(client), c.status); closes != c.closes {
				t.Errorf("response announces the close of the connection: %v, want %v", closes, c.closes)
			}
		})
	}
}

// A response announces the close of the connection only if no request read before is unanswered.
func TestCloseIsAnnouncedByLastResponse(t *testing.T) {
	l := newManualLoop(t, 4)
	c := l.dial()
	l.handleEvents(1)
	sendHealthCheck(c)
	sendHealthCheck(c)
	l.waitForEvents(2)
	l.draining = true
	r := bufio.NewReader(c)
	l.handleEvents(1)
	if expectResponse(t, r, 200) {
		t.Error("first of two responses announces the close of the connection")
	}
	l.handleEvents(1)
	if !expectResponse(t, r, 200) {
		t.Error("last response does not announce the close of the connection")
	}
	if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
		t.Errorf("read %q, %v, want the end of the stream", b, err)
	}
}

// A connection whose client asked for the close, then stays with an incomplete message, is closed after LingerTimeout.
func TestClosingConnectionWithIncompleteMessageIsBounded(t *testing.T) {
	l := newManualLoop(t, 4)
	c := l.dial()
	l.handleEvents(1)
	io.WriteString(c, "GET /health HTTP/1.1\r\nConnection: close\r\n\r\nGET /hea")
	l.handleEvents(1)
	r := bufio.NewReader(c)
	expectResponse(t, r, 200)
	if !waitUntil(func() bool {
		return l.firstConnection().closing || l.firstConnection().peer.incompleteSince.Load() != 0
	}) {
		t.Error("the incomplete message is not read")
	}
	if !l.firstConnection().closing {
		l.advance(l.limits.LingerTimeout)
	}
	if b, err := io.ReadAll(r); err != nil || strings.Contains(string(b), "200") {
		t.Errorf("read %q, %v, want the end of the stream", b, err)
	}
}

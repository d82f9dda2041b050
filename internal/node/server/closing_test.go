package server

// The instants at which a connection ends, each forced by its order: the test is the loop, takes events when it wants
// to, and so decides what is still on its way as something ends.

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

// manualLoop is a loop with a listener on loopback whose events the test handles by hand.
type manualLoop struct {
	*loop
	t    *testing.T
	addr string
}

func newManualLoop(t *testing.T, conns int) *manualLoop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	lim := NewLimits(1, 64, 256)
	lim.Connections, lim.EvictionThreshold = conns, conns
	l := &loop{crossGoroutine: crossGoroutine{log: log, limits: lim, events: make(chan event, 256),
		pool: bufferPool{capacity: lim.Buffers}, workers: newWorkers(1)},
		clients:        clients{connections: newTable[connection](conns), idleTimeout: admission.Second},
		requestsInHand: requestsInHand{requests: newTable[request](8)}, readiness: readiness{ready: true},
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
	c.SetDeadline(time.Now().Add(patience))
	l.t.Cleanup(func() { c.Close() })
	return c
}

// waitForEvents until so many events are handed over, and takes none.
func (l *manualLoop) waitForEvents(events int) {
	l.t.Helper()
	if !waitUntil(func() bool { return len(l.events) >= events }) {
		l.t.Fatalf("%d events are handed over, expected %d", len(l.events), events)
	}
}

func (l *manualLoop) handleEvents(events int) {
	l.t.Helper()
	for range events {
		l.waitForEvents(1)
		l.handle(<-l.events)
	}
}

// advance has the time go on and the connections looked over.
func (l *manualLoop) advance(span admission.Time) {
	l.now += span
	l.sweep(l.now)
}

func (l *manualLoop) firstConnection() *connection {
	h, _ := l.connections.next(0)
	return l.connections.get(h)
}

const healthCheck = "GET /health HTTP/1.1\r\n\r\n"

func sendHealthCheck(c net.Conn) { io.WriteString(c, healthCheck) }

// expectResponse reads an answer and tells whether it says that the connection closes.
func expectResponse(t *testing.T, r *bufio.Reader, status int) (closes bool) {
	t.Helper()
	a, err := http.ReadResponse(r, nil)
	if err != nil || a.StatusCode != status {
		t.Fatalf("gets %+v, %v, expected %d", a, err, status)
	}
	return a.Close
}

// A request that is handed over and not taken keeps its connection open, whatever would close it.
func TestHandedOverRequestKeepsItsConnection(t *testing.T) {
	for name, closes := range map[string]func(l *manualLoop){
		"idle":     func(l *manualLoop) { l.advance(10 * admission.Second) },
		"silent":   func(l *manualLoop) { l.advance(l.limits.MessageTimeout) },
		"eviction": func(l *manualLoop) { l.limits.EvictionThreshold = 0; l.now += l.limits.EvictionMinIdle; l.evict() },
		"drain":    func(l *manualLoop) { l.closeAllIdle(true) },
	} {
		t.Run(name, func(t *testing.T) {
			l := newManualLoop(t, 4)
			c := l.dial()
			l.handleEvents(1)
			sendHealthCheck(c)
			l.waitForEvents(1)
			closes(l)
			l.handleEvents(1)
			if expectResponse(t, bufio.NewReader(c), 200) {
				t.Error("the answer says that the connection closes")
			}
		})
	}
}

// Bytes that this process has not read yet keep a connection open as well; with force they do not, and nothing that
// comes after is forwarded.
func TestUnreadBytesKeepAConnection(t *testing.T) {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[0])
	if hasUnread(pair[0]) {
		t.Error("an empty socket has unread bytes")
	}
	unix.Write(pair[1], []byte("G"))
	if !hasUnread(pair[0]) {
		t.Error("a byte is not seen")
	}
	var b [1]byte
	unix.Read(pair[0], b[:])
	unix.Close(pair[1])
	if hasUnread(pair[0]) {
		t.Error("the end of the stream counts as bytes")
	}
}

// A message that is read whole and waits for room in the queue, and one that is not whole yet, keep their connection
// open.
func TestReadingKeepsAConnection(t *testing.T) {
	l := newManualLoop(t, 4)
	c := l.dial()
	l.handleEvents(1)
	p := l.firstConnection().peer
	for len(l.events) < cap(l.events) {
		l.events <- callback{func() {}}
	}
	sendHealthCheck(c)
	if !waitUntil(func() bool { return p.pipelined.Load() > 0 }) {
		t.Fatal("never read")
	}
	l.advance(10 * admission.Second)
	if l.firstConnection().closing {
		t.Error("closed while a request waits for room in the queue")
	}
	l.handleEvents(cap(l.events) + 1)
	expectResponse(t, bufio.NewReader(c), 200)
	io.WriteString(c, "GET /hea")
	if !waitUntil(func() bool { return p.incompleteSince.Load() != 0 }) {
		t.Fatal("half a message is never read")
	}
	l.firstConnection().lastActive = l.now + admission.Second // it goes on slowly
	l.closeAllIdle(false)
	if l.firstConnection().closing {
		t.Error("closed amid a message")
	}
	io.WriteString(c, "lth HTTP/1.1\r\n\r\n")
	l.handleEvents(1)
	expectResponse(t, bufio.NewReader(c), 200)
}

// An idle connection ends by its sending side: the client reads the end of the stream, and what it has sent meanwhile
// is discarded and answered by nothing.
func TestIdleConnectionEndsInOrder(t *testing.T) {
	l := newManualLoop(t, 4)
	c := l.dial()
	l.handleEvents(1)
	sendHealthCheck(c)
	l.handleEvents(1)
	r := bufio.NewReader(c)
	expectResponse(t, r, 200)
	l.advance(2 * admission.Second)
	if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
		t.Errorf("reads %q, %v, expected the end of the stream", b, err)
	}
	sendHealthCheck(c)
	sendHealthCheck(c)
	p := l.firstConnection().peer
	discarded := func() int {
		p.intake.Lock()
		defer p.intake.Unlock()
		return p.discarded
	}
	if !waitUntil(func() bool { return discarded() == 2*len(healthCheck) }) {
		t.Errorf("%d bytes are discarded, expected both requests", discarded())
	}
	if len(l.events) > 0 {
		t.Error("a request is handed over that came after the end")
	}
	c.Close()
	l.handleEvents(1)
	if l.connections.used != 0 {
		t.Error("the connection is still known")
	}
}

// A client that never closes its side is closed after a bound, and one that sends without end at once.
func TestEndedConnectionIsNotKept(t *testing.T) {
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
	l.handleEvents(1) // word of the flood
	l.handleEvents(1) // its end
	if l.connections.used != 0 {
		t.Errorf("%d connections are kept", l.connections.used)
	}
}

// A new connection always finds a slot in the table: however many are closed and opened before the loop hears of
// either, no more are accepted than it has slots.
func TestNewConnectionFindsASlot(t *testing.T) {
	l := newManualLoop(t, 2)
	for range 2 {
		l.dial()
	}
	l.handleEvents(2)
	for h, i := l.connections.next(0); h != 0; h, i = l.connections.next(i) {
		l.abort(l.connections.get(h))
	}
	l.waitForEvents(2) // both are gone, and the loop has not heard of it
	var asks []net.Conn
	for range 3 {
		asks = append(asks, l.dial())
		sendHealthCheck(asks[len(asks)-1])
	}
	time.Sleep(50 * time.Millisecond) // nothing is to happen, so there is no event to wait for
	if len(l.events) != 2 {
		t.Fatalf("%d events: connections are accepted that have no slot", len(l.events))
	}
	l.handleEvents(2)
	l.handleEvents(4)
	for _, c := range asks[:2] {
		expectResponse(t, bufio.NewReader(c), 200)
		c.Close()
	}
	l.handleEvents(2)
	l.handleEvents(2)
	expectResponse(t, bufio.NewReader(asks[2]), 200)
}

// While all places are taken, connections whose end is over for long enough make room.
func TestLingeringConnectionsMakeRoom(t *testing.T) {
	l := newManualLoop(t, 2)
	l.dial()
	l.dial()
	l.handleEvents(2)
	waits := l.dial()
	sendHealthCheck(waits)
	l.advance(l.limits.MessageTimeout)
	l.advance(l.limits.InFlightGrace - 1)
	if l.connections.used != 2 || len(l.events) > 0 {
		t.Fatal("closed before what crosses the end could have come")
	}
	l.advance(1)
	l.handleEvents(2)
	l.handleEvents(2)
	expectResponse(t, bufio.NewReader(waits), 200)
}

// Who is accepted by the system as the listener stops is served; who comes after is refused.
func TestStoppedListenerTakesItsBacklog(t *testing.T) {
	ln, err := newListener("127.0.0.1:0", 1, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	var address string
	ln.raw.Control(func(fd uintptr) {
		name, _ := syscall.Getsockname(int(fd))
		address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	})
	ln.acquireSlot() // the one place is taken, so all that come wait in the backlog
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
	entered, ended := make(chan int, 8), make(chan bool)
	go func() {
		ln.run(func(fd int) { entered <- fd }, func(err error) { t.Error(err) })
		close(ended)
	}()
	ln.stop()
	for range clients {
		ln.releaseSlot()
		select {
		case fd := <-entered:
			syscall.Write(fd, []byte("y"))
			syscall.Close(fd)
		case <-time.After(patience):
			t.Fatal("not accepted")
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
		t.Error("a stopped listener takes connections")
	}
}

// Whatever accept fails with, the listener goes on, and says so once for as long as it lasts.
func TestListenerOutlivesFailures(t *testing.T) {
	ln, err := newListener("127.0.0.1:0", 4, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	failures := []error{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.ENETDOWN, syscall.EPROTO, syscall.EHOSTUNREACH, syscall.EPERM}
	var tries atomic.Int32
	warnings := make(chan error, len(failures))
	ln.accept = func(fd int) (int, error) {
		if n := int(tries.Add(1)); n <= len(failures) {
			return -1, failures[n-1]
		}
		return acceptNonblocking(fd)
	}
	var address string
	ln.raw.Control(func(fd uintptr) {
		name, _ := syscall.Getsockname(int(fd))
		address = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	})
	entered, ended := make(chan int, 1), make(chan bool)
	go func() {
		ln.run(func(fd int) { entered <- fd }, func(err error) { warnings <- err })
		close(ended)
	}()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	select {
	case fd := <-entered:
		syscall.Close(fd)
	case <-time.After(patience):
		t.Fatalf("not accepted after %d tries", tries.Load())
	}
	if n := len(warnings); n != 1 {
		t.Errorf("%d warnings, expected one", n)
	} else if err := <-warnings; err != syscall.EMFILE {
		t.Errorf("warns of %v, expected the first that is not about one connection alone", err)
	}
	ln.stop()
	<-ended
	if ln.openConnections != 1 {
		t.Errorf("%d places are taken, expected the one of the connection", ln.openConnections)
	}
}

// Clients that hold all buffers take no answer from others: what is owed goes out all the same, and a request that
// could not be read is shed.
func TestAnswersNeedNoFreeBuffer(t *testing.T) {
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
		t.Error("what is not read whole goes on")
	}
	if l.counters.BadRequests != 0 {
		t.Error("its sender did nothing wrong")
	}
}

// What the listener and its connections did before SIGHUP after SIGHUP is not lost: one kind of signal takes no other's
// place, and none that comes early ends the program.
func TestSignalsTakeNoOthersPlace(t *testing.T) {
	n := start(t, map[string]string{"stop_ms": "2500"})
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	pipe := func() {
		if err := errors.Join(os.Remove(n.file), syscall.Mkfifo(n.file, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	pipe() // the file is read until the test writes it
	for range 20 {
		n.signal(syscall.SIGHUP)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	if !n.logged("drain: ") {
		t.Fatal("SIGTERM is lost behind SIGHUP")
	}
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if !n.logged("msg=counters ") {
		t.Error("SIGUSR1 is lost behind SIGHUP")
	}
	n.cmd.Process.Kill()
	<-n.ended

	n.kernel.mu.Lock() // now one that hears SIGHUP before it has read its file for the first time
	n.kernel.events, n.kernel.bootDelayed = nil, true
	n.kernel.mu.Unlock()
	n.launch()                                         // which does not wait for a kernel that is late
	writer, err := os.OpenFile(n.file, os.O_WRONLY, 0) // waits until the program reads
	if err != nil {
		t.Fatal(err)
	}
	n.signal(syscall.SIGHUP)
	writer.Write(text)
	n.writeStartupFile("") // in place of the pipe, for the second reading
	writer.Close()
	if !n.logged(`msg="start-up file taken" `) {
		t.Error("a SIGHUP that came early is lost")
	}
}

// A closing answer is not written where more is on its way, and says so as soon as that is answered.
func TestClosingAnswerWaitsForWhatWasRead(t *testing.T) {
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
		t.Error("the first answer closes over a request that was read")
	}
	l.handleEvents(1)
	if !expectResponse(t, r, 200) {
		t.Error("the last answer does not say that it closes")
	}
	if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
		t.Errorf("reads %q, %v, expected the end", b, err)
	}
}

// A connection whose client asked for its end and then stays, with half a message, is ended after a bound.
func TestEndingConnectionIsBounded(t *testing.T) {
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
		t.Error("half a message is never read")
	}
	if !l.firstConnection().closing {
		l.advance(l.limits.LingerTimeout)
	}
	if b, err := io.ReadAll(r); err != nil || strings.Contains(string(b), "200") {
		t.Errorf("reads %q, %v, expected the end", b, err)
	}
}

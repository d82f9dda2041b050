package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
)

// Links are the connections that the server opens, to kernel, store and service discovery. This file dials them, with
// backoff after a failure, for as long as the process serves. Each event names the dial that it belongs to, and events
// of a dial that was replaced are ignored.

// Why a link is closed.
var (
	errNoAnswer = errors.New("no response in time")
	errStuck    = errors.New("send queue is full: the peer does not read")
	errClosed   = errors.New("closed by the peer")
	// errEventGap: the kernel's next event is not the one after the last.
	errEventGap = errors.New("an event of the kernel is missing")
)

// Peers of links.
const (
	peerKernel = iota
	peerStore
	peerDiscovery
)

// dialAttempt is one dial and its connection. The loop's goroutine owns it, except for parser, which the connection's
// own goroutine calls. It ends when the connection closes or the dial is replaced.
type dialAttempt struct {
	peer      int     // peerKernel, peerStore or peerDiscovery
	storeConn handle  // the store connection, for peerStore
	writer    *writer // nil until the connection is open
	err       error   // why the connection ended, maybe before the loop has handled its linkDialed
	parser    linkParser
	socket    socket
}

// backoff is the wait before the next dial to one address.
type backoff struct {
	delay     admission.Time
	notBefore admission.Time // earliest time of the next dial
}

// recordFailure doubles the delay, within MinBackoff and MaxBackoff, and draws half of the wait at random. Guards
// against servers that lost the same peer at the same time and reconnect to it together. See row "socket, connect: any"
// in docs/design/failures.md.
func (b *backoff) recordFailure(now admission.Time, limits *Limits) {
	b.delay = min(max(2*b.delay, limits.MinBackoff), limits.MaxBackoff)
	b.notBefore = now + b.delay/2 + admission.Time(rand.Int64N(int64(b.delay/2)+1))
}

// linkParser parses the first message in b and returns its size in bytes, 0 while the message is incomplete.
type linkParser func(from *dialAttempt, b *buffer) (e event, n int, err error)

// dialer opens a connection; tests replace it.
type dialer func(address string, timeout time.Duration) (netpoll.Connection, error)

func dialTCP(address string, timeout time.Duration) (netpoll.Connection, error) {
	return netpoll.NewDialer().DialConnection("tcp", address, timeout)
}

// link is the connection to kernel or service discovery, dialed again when it ends. It is used by the loop's goroutine
// alone, until the process ends.
type link struct {
	backoff
	peer        int
	name        string
	addr        string
	dialed      *dialAttempt   // open or being dialed; nil while down
	timerSetFor admission.Time // time for which the redial timer was last set
	retry       timerKind
	parser      linkParser
}

func (k *link) up() bool { return k.dialed != nil && k.dialed.writer != nil }

// dial opens a link unless it is open, being dialed, or in its backoff.
func (l *loop) dial(k *link) {
	if k.dialed != nil || k.addr == "" {
		return
	}
	if l.now < k.notBefore {
		// Guards against one more timer for each report that finds the link down.
		if k.timerSetFor != k.notBefore {
			k.timerSetFor = k.notBefore
			l.timers.set(k.notBefore, k.retry, 0)
		}
		return
	}
	k.dialed = &dialAttempt{peer: k.peer, parser: k.parser}
	l.open(k.dialed, k.addr)
}

// open dials in a goroutine that ends with the dial. From linkDialed on the connection belongs to the dial's writer, or
// is closed there if the dial was replaced. Its intake ends with the close callback.
func (l *loop) open(n *dialAttempt, addr string) {
	go func() {
		c, err := l.dialTo(addr, l.limits.DialTimeout)
		if err != nil {
			l.post(&linkDialed{dialed: n, err: err})
			return
		}
		c.SetWriteTimeout(l.limits.WriteTimeout)
		in := &intake{pool: &l.pool}
		n.socket.fd = c.(netpoll.Conn).Fd()
		c.AddCloseCallback(func(netpoll.Connection) error {
			n.socket.release()
			in.drop()
			l.post(&linkClosed{dialed: n, err: errClosed})
			return nil
		})
		l.post(&linkDialed{dialed: n, conn: c})
		parse := func(b *buffer) (event, int, error) { return n.parser(n, b) }
		c.SetOnRequest(func(_ context.Context, c netpoll.Connection) error {
			err := in.read(c.Reader(), parse, l.post)
			if err != nil {
				l.post(&linkClosed{dialed: n, err: err})
				_ = c.Close() // the parse error is reported, a close error is not
			}
			return err
		})
		if !c.IsActive() {
			// The connection ended before its close callback was set: Close runs it now. See row "connection that ends
			// during its setup" in docs/design/shutdown.md.
			_ = c.Close()
		}
	}()
}

// linkOf returns the link to kernel or service discovery.
func (u *upstreams) linkOf(peer int) *link {
	if peer == peerKernel {
		return &u.kernel.link
	}
	return &u.discovery.link
}

// isCurrent reports whether a dial was not replaced. Guards against late events of a replaced dial, whose replies would
// be taken for replies to calls that were made again. See row "replaced dial" in docs/design/shutdown.md.
func (u *upstreams) isCurrent(n *dialAttempt) bool {
	if n.peer == peerStore {
		c := u.store.connections.get(n.storeConn)
		return c != nil && c.dialed == n
	}
	return u.linkOf(n.peer).dialed == n
}

// linkDialed handles the outcome of a dial. The connection may have ended before this event is handled.
func (l *loop) linkDialed(e *linkDialed) {
	n, err := e.dialed, e.err
	if err == nil {
		err = n.err
	}
	current := l.isCurrent(n)
	if current && err == nil {
		n.writer = l.newWriter(e.conn)
		if n.peer == peerKernel {
			n.writer.peerEnded = n.socket.streamEnded
		}
		l.linkOpened(n)
		return
	}
	if e.conn != nil {
		_ = e.conn.Close() // nothing was sent
	}
	if current {
		l.linkLost(n, err)
	}
}

// linkClosed handles the end of a connection. If it is handled before linkDialed, the error is stored for linkDialed.
// Guards against a closed link that counts as open for good. See row "connection that ends during its setup" in
// docs/design/shutdown.md.
func (l *loop) linkClosed(e *linkClosed) {
	n := e.dialed
	if n.err == nil {
		n.err = e.err
	}
	if l.isCurrent(n) && n.writer != nil {
		l.linkLost(n, e.err)
	}
}

// linkOpened notifies the owner of a link that it is up.
func (l *loop) linkOpened(n *dialAttempt) {
	switch n.peer {
	case peerKernel:
		l.counters.KernelLinks++
		l.kernelUp()
	case peerStore:
		l.counters.StoreLinks++
		l.storeConnected(n.storeConn, l.store.connections.get(n.storeConn))
	case peerDiscovery:
		l.counters.DiscoveryLinks++
		l.discoveryUp()
	}
}

// linkLost notifies the owner of a link that it is down.
func (l *loop) linkLost(n *dialAttempt, err error) {
	if n.peer == peerStore {
		l.storeConnectionLost(n.storeConn, l.store.connections.get(n.storeConn), err)
		return
	}
	l.closeLink(l.linkOf(n.peer), err)
}

// closeLink closes a link, with backoff if err is not nil, notifies its owner and dials again.
func (l *loop) closeLink(k *link, err error) {
	if k.dialed == nil {
		return
	}
	if k.dialed.writer != nil {
		l.endWriter(k)
	}
	k.dialed = nil // its late events are ignored
	if err == nil {
		k.backoff = backoff{} // closed without a failure
	} else {
		k.recordFailure(l.now, &l.limits)
		if log := l.limitLog(); log != nil {
			log.WithFields(logrus.Fields{logging.Link: k.name, logging.Error: err}).Info(logLinkLost)
		}
	}
	if k.peer == peerKernel {
		l.kernelDown()
	} else {
		l.discoveryDown()
	}
	l.dial(k)
}

// endWriter closes the connection of a link. Commands to the kernel that were not sent by then never are.
func (l *loop) endWriter(k *link) {
	if k.peer == peerKernel {
		l.kernel.sent.end(k.dialed.writer.abort())
		return
	}
	k.dialed.writer.close()
}

// setLinkAddress changes the address of a link and dials it at once, the kernel's once its old link is read to its end.
func (l *loop) setLinkAddress(k *link, addr string) {
	if k.addr == addr {
		return
	}
	if log := l.limitLog(); log != nil {
		log.WithFields(logrus.Fields{logging.Link: k.name, logging.Address: addr}).Info(logLinkAddressChanged)
	}
	k.addr, k.backoff = addr, backoff{}
	if k.dialed == nil {
		l.dial(k)
		return
	}
	if k.peer == peerKernel && l.moveKernelLink() {
		return
	}
	l.closeLink(k, nil)
}

package server

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listener owns the listening socket and the limit on open connections. It accepts in a goroutine of its own, as
// netpoll's server would accept on its poller, where waiting for a free slot blocks all other connections. Each
// accepted connection holds a slot until releaseSlot. It ends with stop, after the backlog is accepted; run closes the
// socket. See row "full table" in docs/design/shutdown.md.
type listener struct {
	file       *os.File // non-blocking duplicate of the socket; its Fd method would make it blocking
	raw        syscall.RawConn
	accept     func(fd int) (int, error) // accept4, replaced in tests
	retryDelay time.Duration             // pause after an accept error that may last

	mu              sync.Mutex
	slotFreed       *sync.Cond
	openConnections int
	maxConnections  int
	stopping        bool
}

// newListener listens on an address.
func newListener(address string, limit int, pause time.Duration) (*listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tcp.Close() }() // the duplicate keeps the socket open
	file, err := tcp.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	ln := &listener{file: file, raw: raw, accept: acceptNonblocking, retryDelay: pause, maxConnections: limit}
	ln.slotFreed = sync.NewCond(&ln.mu)
	return ln, nil
}

// listenWithRetry retries a failing listen for ListenTimeout: on a restart the previous process may still hold the
// address, or descriptors or memory may be short for a moment. warn gets the first error. See row "socket, bind,
// listen: EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM" in docs/design/failures.md.
func listenWithRetry(address string, limits Limits, warn func(error)) (*listener, error) {
	startedAt := time.Now()
	for try := 0; ; try++ {
		ln, err := newListener(address, limits.Connections, limits.AcceptRetryDelay)
		if err == nil || !isRetryableListenError(err) || time.Since(startedAt) >= limits.ListenTimeout {
			return ln, err
		}
		if try == 0 {
			warn(err)
		}
		time.Sleep(limits.AcceptRetryDelay)
	}
}

// isRetryableListenError reports whether a listen error may pass by itself.
func isRetryableListenError(err error) bool {
	for _, transient := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

func acceptNonblocking(fd int) (int, error) {
	accepted, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return accepted, err
}

// run passes each accepted descriptor to onAccept until stop is called. Errors are retried: see rows "accept:
// ECONNABORTED, EINTR" and "accept: any other" in docs/design/failures.md. Before it returns it accepts the connections
// completed by then and closes the socket: a later connect is refused, which proves that nothing ran. See row "end of
// the drain" in docs/design/shutdown.md. warn gets the first of a series of errors.
func (ln *listener) run(onAccept func(fd int), warn func(error)) {
	var lastErr error
	for {
		ln.acquireSlot()
		fd, err := ln.acceptNext()
		if err == nil {
			lastErr = nil
			onAccept(fd)
			continue
		}
		ln.releaseSlot()
		if errors.Is(err, errBacklogEmpty) {
			_ = ln.file.Close() // no data can be lost by the close
			return
		}
		if isTransient(err) {
			continue
		}
		if lastErr == nil {
			warn(err)
		}
		lastErr = err
		time.Sleep(ln.retryDelay)
	}
}

// errBacklogEmpty ends the run of a stopped listener.
var errBacklogEmpty = errors.New("no connection in the listen backlog")

// isTransient reports whether an accept error concerns a single connection or none, and needs no pause.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED)
}

// acceptNext waits for a connection; a stopping listener only accepts those in the backlog.
func (ln *listener) acceptNext() (fd int, err error) {
	waitErr := ln.raw.Read(func(listening uintptr) bool {
		fd, err = ln.accept(int(listening))
		return err != syscall.EAGAIN
	})
	if waitErr == nil {
		return fd, err
	}
	if !errors.Is(waitErr, os.ErrDeadlineExceeded) {
		return 0, waitErr
	}
	// The deadline set by stop may have passed before the first try, so the backlog is tried without waiting.
	controlErr := ln.raw.Control(func(listening uintptr) { fd, err = ln.accept(int(listening)) })
	if controlErr != nil {
		return 0, controlErr
	}
	if err == syscall.EAGAIN {
		return 0, errBacklogEmpty
	}
	return fd, err
}

// stop makes run accept the backlog, close the socket and return.
func (ln *listener) stop() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.stopping {
		return
	}
	ln.stopping = true
	_ = ln.file.SetReadDeadline(time.Now().Add(-time.Second)) // a past deadline wakes run
}

// acquireSlot takes a connection slot and waits while none is free.
func (ln *listener) acquireSlot() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for ln.openConnections >= ln.maxConnections {
		ln.slotFreed.Wait()
	}
	ln.openConnections++
}

// releaseSlot returns a connection slot.
func (ln *listener) releaseSlot() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.openConnections--
	ln.slotFreed.Signal()
}

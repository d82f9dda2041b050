package server

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listener owns the listening socket and its bound on open connections. It accepts in a goroutine of its own, which
// alone waits while every place is taken; each accepted connection holds a place until release is called for it. It
// ends with stop, once what the system has completed is accepted; run closes the socket. Guards against a full table
// that stops all reading: netpoll's own server accepts on its poller, and whatever waits there keeps every other
// connection and the links waiting too. See row "full table" in docs/design/shutdown.md.
type listener struct {
	file       *os.File // a non-blocking duplicate of the socket; its Fd method would make it block
	raw        syscall.RawConn
	accept     func(fd int) (int, error) // accept4, or what a test has in its place
	retryDelay time.Duration             // between tries while the system has no descriptor or memory left

	mu              sync.Mutex
	slotFreed       *sync.Cond
	openConnections int
	maxConnections  int
	stopping        bool
}

// newListener opens a socket that listens on an address.
func newListener(address string, limit int, pause time.Duration) (*listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tcp.Close() }() // the duplicate stands for the same socket
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

// listenWithRetry tries again for ListenTimeout where the system can't open the socket at the moment. Guards against a
// restart that fails while the process before still holds the address, or no descriptor or memory is left. It holds for
// as long as a process may take to end. warn hears of the first error. See row "socket, bind, listen: EADDRINUSE,
// EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM" in docs/design/failures.md.
func listenWithRetry(address string, lim Limits, warn func(error)) (*listener, error) {
	started := time.Now()
	for try := 0; ; try++ {
		ln, err := newListener(address, lim.Connections, lim.AcceptRetryDelay)
		if err == nil || !isRetryableListenError(err) || time.Since(started) >= lim.ListenTimeout {
			return ln, err
		}
		if try == 0 {
			warn(err)
		}
		time.Sleep(lim.AcceptRetryDelay)
	}
}

// isRetryableListenError tells errors of opening a listening socket that may pass.
func isRetryableListenError(err error) bool {
	for _, passing := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

func acceptNonblocking(fd int) (int, error) {
	accepted, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	return accepted, err
}

// run hands each accepted descriptor to enter until stop is called. What fails is tried again: see rows "accept:
// ECONNABORTED, EINTR" and "accept: any other" in docs/design/failures.md. Before it returns it accepts whatever the
// system had completed by then and closes the socket: who connects after that is refused, which proves that nothing
// ran. See row "drain's end" in docs/design/shutdown.md. warn hears of an error once for as long as it lasts.
func (ln *listener) run(enter func(fd int), warn func(error)) {
	var last error
	for {
		ln.acquireSlot()
		fd, err := ln.acceptNext()
		if err == nil {
			last = nil
			enter(fd)
			continue
		}
		ln.releaseSlot()
		if errors.Is(err, errBacklogEmpty) {
			_ = ln.file.Close() // nothing is read or written by it
			return
		}
		if isTransient(err) {
			continue
		}
		if last == nil {
			warn(err)
		}
		last = err
		time.Sleep(ln.retryDelay)
	}
}

// errBacklogEmpty ends a stopped listener: no completed connection waits to be accepted.
var errBacklogEmpty = errors.New("no connection waits to be accepted")

// isTransient tells errors that concern one connection, or no connection at all, and need no pause.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED)
}

// acceptNext waits for a connection; once the listener is stopping it only takes those that are complete.
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
	// The deadline that stop set may have come before the first try: what is complete is taken without waiting.
	controlErr := ln.raw.Control(func(listening uintptr) { fd, err = ln.accept(int(listening)) })
	if controlErr != nil {
		return 0, controlErr
	}
	if err == syscall.EAGAIN {
		return 0, errBacklogEmpty
	}
	return fd, err
}

// stop has run accept what is complete, close the socket and return.
func (ln *listener) stop() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.stopping {
		return
	}
	ln.stopping = true
	_ = ln.file.SetReadDeadline(time.Now().Add(-time.Second)) // it is past, so that run wakes
}

// acquireSlot takes a place, and waits while none is free.
func (ln *listener) acquireSlot() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for ln.openConnections >= ln.maxConnections {
		ln.slotFreed.Wait()
	}
	ln.openConnections++
}

// releaseSlot gives a place back.
func (ln *listener) releaseSlot() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.openConnections--
	ln.slotFreed.Signal()
}

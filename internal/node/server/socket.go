package server

import (
	"sync"
	"syscall"
)

// socket is the descriptor of a connection, as long as netpoll has not closed it: afterwards its number may belong to
// another connection.
type socket struct {
	mu     sync.Mutex
	fd     int
	closed bool
}

// release forgets the descriptor, which is about to be closed.
func (s *socket) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// streamEnded reports whether the peer has closed or reset the connection and nothing is left to read on it.
func (s *socket) streamEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed || streamEnded(s.fd)
}

// streamEnded reports whether the peer of a socket has closed its side, or reset the connection, and nothing is left to
// read. See row "recv with MSG_PEEK: any other but EAGAIN" in docs/design/failures.md.
func streamEnded(fd int) bool {
	n, err := peek(fd)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// hasUnread reports whether bytes wait in a socket's receive buffer; the end of the stream does not count. An
// interrupted call counts as bytes, so that the close is tried again later. See row "recv with MSG_PEEK: EINTR" in
// docs/design/failures.md.
func hasUnread(fd int) bool {
	n, err := peek(fd)
	return n > 0 || err == syscall.EINTR
}

// peek reads a byte of a socket's receive buffer, which stays there.
func peek(fd int) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

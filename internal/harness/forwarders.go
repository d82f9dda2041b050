package harness

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// forwarders forward connections between instances, nodes and callers, and inject faults by the names of both ends.
// The forwarder before an instance's peer address learns the name of the dialling instance from its handshake.
type forwarders struct {
	mu        sync.Mutex
	blocked   map[[2]string]bool // by names: from, to
	faults    map[[2]string]linkFault
	conns     map[net.Conn][2]string
	wg        sync.WaitGroup
	listeners []net.Listener
	accepted  map[net.Conn]bool // accepted connections until they are closed
	closed    bool
}

func newForwarders() *forwarders {
	return &forwarders{blocked: map[[2]string]bool{}, faults: map[[2]string]linkFault{},
		conns: map[net.Conn][2]string{}, accepted: map[net.Conn]bool{}}
}

// forwardPeers forwards peer connections that a listener accepts to an instance.
func (s *forwarders) forwardPeers(l net.Listener, name, to string) {
	s.serve(l, func(c net.Conn) { s.forwardPeer(c, name, to) })
}

// serve handles connections that a listener accepts, until it is closed.
func (s *forwarders) serve(l net.Listener, handle func(net.Conn)) {
	s.listeners = append(s.listeners, l)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !s.track(c) {
				c.Close()
				return
			}
			s.wg.Add(1)
			go func() { defer s.wg.Done(); defer s.untrack(c); handle(c) }()
		}
	}()
}

// track registers a connection for close. It returns false if the forwarders are closed.
func (s *forwarders) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.accepted[c] = true
	}
	return !s.closed
}

func (s *forwarders) untrack(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.accepted, c)
	s.mu.Unlock()
}

// forwardPeer reads the handshake for the dialling instance's name, then copies both ways until either side closes
// or the two instances are partitioned.
func (s *forwarders) forwardPeer(c net.Conn, name, to string) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	head := make([]byte, 8)
	if _, err := io.ReadFull(c, head); err != nil {
		return
	}
	n := binary.LittleEndian.Uint32(head)
	if n == 0 || n > 4<<10 {
		return
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(c, raw); err != nil {
		return
	}
	var hello struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(raw[1:], &hello) != nil {
		return
	}
	c.SetReadDeadline(time.Time{})
	out, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	key := [2]string{hello.Name, name}
	s.mu.Lock()
	blocked := s.blocked[key]
	if !blocked {
		s.conns[c] = key
	}
	s.mu.Unlock()
	if blocked {
		return
	}
	defer func() { s.mu.Lock(); delete(s.conns, c); s.mu.Unlock() }()
	if _, err = out.Write(append(head, raw...)); err != nil {
		return
	}
	copied := make(chan struct{})
	go func() { io.Copy(c, out); c.Close(); close(copied) }()
	io.Copy(out, c)
	out.Close()
	<-copied
}

// partition blocks connections that an instance dials to others (outbound), that the others dial to it (inbound), or
// both. It closes open ones.
func (s *forwarders) partition(name string, others []string, outbound, inbound bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range others {
		if outbound {
			s.blocked[[2]string{name, o}] = true
		}
		if inbound {
			s.blocked[[2]string{o, name}] = true
		}
	}
	for c, key := range s.conns {
		if s.blocked[key] {
			c.Close()
		}
	}
}

// heal removes all faults and partitions.
func (s *forwarders) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked, s.faults = map[[2]string]bool{}, map[[2]string]linkFault{}
}

// linkFault is a fault on the link from one named end to another.
type linkFault struct {
	cut          bool          // new connections are rejected, open ones are closed
	dropRequests bool          // data from the dialling end is dropped
	dropReplies  bool          // data from the other end is dropped
	delay        time.Duration // of each read, in both directions
	dropPrefix   string        // once a read from the dialling end begins with it, the rest is dropped
	replace      [2]string     // old and new bytes, of the same length, in data from the dialling end
	// response to any request but GET, in place of the other end's, as a stale instance would send it
	staleResponse []byte
}

// set replaces the fault of a link. It closes the link's connections if the new fault cuts it or has a stale
// response.
func (s *forwarders) set(from, to string, f linkFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{from, to}
	s.faults[key] = f
	for c, k := range s.conns {
		if (f.cut || f.staleResponse != nil) && k == key {
			c.Close()
		}
	}
}

// faultFor returns the fault of a link, cut if it is partitioned.
func (s *forwarders) faultFor(key [2]string) linkFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[key]
	f.cut = f.cut || s.blocked[key]
	return f
}

// listenBetween opens an address that forwards to target, with the faults of the link from one end to another.
func (s *forwarders) listenBetween(from, to, target string) (string, error) {
	l, err := net.Listen("tcp", newLoopbackAddr(7300))
	if err != nil {
		return "", err
	}
	s.serve(l, func(c net.Conn) { s.relay(c, [2]string{from, to}, target) })
	return l.Addr().String(), nil
}

// relay copies a connection to and from the target under the link's fault.
func (s *forwarders) relay(c net.Conn, key [2]string, target string) {
	defer c.Close()
	f := s.faultFor(key)
	if f.cut {
		return
	}
	s.mu.Lock()
	s.conns[c] = key
	s.mu.Unlock()
	defer func() { s.mu.Lock(); delete(s.conns, c); s.mu.Unlock() }()
	if f.staleResponse != nil {
		serveStaleResponse(c, target, f.staleResponse)
		return
	}
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	copied := make(chan struct{})
	go func() {
		s.copyBytes(c, out, key, func(f linkFault, _ []byte) bool { return f.dropReplies })
		c.Close()
		close(copied)
	}()
	dropping := false
	s.copyBytes(out, c, key, func(f linkFault, b []byte) bool {
		dropping = dropping || f.dropPrefix != "" && bytes.HasPrefix(b, []byte(f.dropPrefix))
		return f.dropRequests || dropping
	})
	out.Close()
	<-copied
}

// serveStaleResponse serves HTTP requests in an instance's place: a GET is forwarded to the instance, any other
// request gets the stale response.
func serveStaleResponse(c net.Conn, target string, response []byte) {
	lines := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(lines)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		body := response
		if req.Method == http.MethodGet {
			res, err := http.Get("http://" + target + req.URL.RequestURI())
			if err != nil {
				return
			}
			body, _ = io.ReadAll(res.Body)
			res.Body.Close()
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// copyBytes copies what it reads from src to dst, with the link's delay and replacement, except what drop selects.
func (s *forwarders) copyBytes(dst, src net.Conn, key [2]string, drop func(linkFault, []byte) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f := s.faultFor(key)
			if f.delay > 0 {
				time.Sleep(f.delay)
			}
			if !drop(f, buf[:n]) {
				piece := buf[:n]
				if f.replace[0] != "" {
					piece = bytes.ReplaceAll(piece, []byte(f.replace[0]), []byte(f.replace[1]))
				}
				if _, werr := dst.Write(piece); werr != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// close closes the listeners and all connections, and waits for the forwarding goroutines.
func (s *forwarders) close() {
	for _, l := range s.listeners {
		l.Close()
	}
	s.mu.Lock()
	s.closed = true
	for c := range s.accepted {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

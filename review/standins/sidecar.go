package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Request is one try.
type Request struct {
	ID, Class, Body  string
	Tenant           string
	OnceKey, Subject string
	Again            bool
	Rank             float64
	Sidecar          int
	FootprintKB      float64
	receivedAt       time.Time
}

// Answer is what a sidecar got. Status 0: none, for the reason in Err.
type Answer struct {
	Status int
	Body   []byte
	Header http.Header
	Err    error
	Took   time.Duration
}

// Refused reports whether the node promised that this try never ran.
func (a *Answer) Refused() bool { return a.Status == 429 || a.Status == 503 }

// Sidecars sends requests to one node on keep-alive connections, one request at a time on each.
type Sidecars struct {
	rec      *Record
	requests *Requests
	kernel   *Kernel
	addr     string
	mu       sync.Mutex
	idle     []*sidecarConn
}

type sidecarConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
	at   time.Time
}

// NewSidecars returns sidecars without connections.
func NewSidecars(rec *Record, requests *Requests, kernel *Kernel, addr string) *Sidecars {
	return &Sidecars{rec: rec, requests: requests, kernel: kernel, addr: addr}
}

// idleLimit is after how long a sidecar closes an idle connection.
const idleLimit = 5 * time.Second

func (s *Sidecars) take() (*sidecarConn, error) {
	s.mu.Lock()
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if time.Since(c.at) < idleLimit {
			s.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	s.mu.Unlock()
	conn, err := net.DialTimeout("tcp", s.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &sidecarConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (s *Sidecars) put(c *sidecarConn) {
	c.used, c.at = true, time.Now()
	s.mu.Lock()
	s.idle = append(s.idle, c)
	s.mu.Unlock()
}

// CloseIdle closes the idle connections.
func (s *Sidecars) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.idle {
		c.Close()
	}
	s.idle = nil
}

// Send sends a request and waits for its answer, for at most patience: then it closes the connection. A request that
// crosses the close of a connection is sent again, once, on a new connection, as the protocol page has it.
func (s *Sidecars) Send(q *Request, patience time.Duration) Answer {
	q.receivedAt = time.Now()
	s.requests.Sent(q.ID, q.Class, []byte(q.Body))
	c, err := s.take()
	if err != nil {
		s.rec.Addf("sidecar %s not sent: %v", q.ID, err)
		s.requests.End(q.ID)
		return Answer{Err: err}
	}
	a := s.exchange(c, q, patience)
	if a.Status == 0 && c.used && !errors.Is(a.Err, errGaveUp) && time.Since(c.at) < 10*time.Second &&
		a.Took < 50*time.Millisecond {
		if fresh, err := net.DialTimeout("tcp", s.addr, time.Second); err == nil {
			s.rec.Addf("sidecar %s crossed a close, is sent again", q.ID)
			a = s.exchange(&sidecarConn{Conn: fresh, in: bufio.NewReader(fresh)}, q, patience)
		}
	}
	s.requests.End(q.ID)
	if s.kernel != nil {
		s.kernel.RequestOver(q.ID)
	}
	return a
}

// errGaveUp: the sidecar stopped waiting and closed the connection.
var errGaveUp = errors.New("the sidecar stopped waiting")

func (s *Sidecars) exchange(c *sidecarConn, q *Request, patience time.Duration) (a Answer) {
	start := time.Now()
	s.rec.Addf("sidecar SEND %s /rpc/%s once=%q subject=%q again=%t %q to %s", q.ID, q.Class, q.OnceKey, q.Subject,
		q.Again, q.Body, s.addr)
	defer func() {
		a.Took = time.Since(start)
		s.rec.Addf("sidecar ANSWER %s %d in %.1f ms %v %q", q.ID, a.Status, float64(a.Took.Microseconds())/1000, a.Err,
			short(a.Body))
	}()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c, q.text()); err != nil {
		c.Close()
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		a.Status, a.Header = resp.StatusCode, resp.Header
		a.Body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.Close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			err = errGaveUp
		}
		return Answer{Err: err}
	}
	if resp.Close {
		c.Close()
	} else {
		c.SetDeadline(time.Time{})
		s.put(c)
	}
	return a
}

// text returns the request as it is written.
func (q *Request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /rpc/%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nReceived-At: %d\r\n", q.Class,
		q.ID, q.receivedAt.UnixMilli())
	fmt.Fprintf(&b, "Sent-By: %d\r\nFootprint-Kb: %.1f\r\nPriority-Rank: %.4f\r\n", q.Sidecar, max(q.FootprintKB, 8),
		q.Rank)
	if q.Tenant != "" {
		b.WriteString("Account: " + q.Tenant + "\r\n")
	}
	if q.Again {
		b.WriteString("Attempt-Again: 1\r\n")
	}
	if q.OnceKey != "" {
		b.WriteString("Once-Key: " + q.OnceKey + "\r\n")
	}
	if q.Subject != "" {
		b.WriteString("Resource-Key: " + q.Subject + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n\r\n" + q.Body)
	return b.String()
}

// isRefusedConnection reports whether an error proves that nothing was sent.
func isRefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

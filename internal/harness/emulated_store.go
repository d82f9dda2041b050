package harness

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"
)

// EmulatedStore is an emulated service below on a socket: it speaks the platform's lines to the nodes of a zone and has
// so many workers, a cache that calls fill, and a cost for each connection that is opened. Work takes no real core: a
// call is answered when its turn and its time have come.
type EmulatedStore struct {
	mu          sync.Mutex
	ln          net.Listener
	conns       map[net.Conn]bool
	random      *rand.Rand
	freeAt      []time.Time // when each worker is
	cost        time.Duration
	coldFactor  float64 // times that a call takes while the cache is empty
	warmUpCalls float64 // calls after which it is full
	warmth      float64
	speed       float64
	errorRate   float64
	dropped     map[string]bool // calls that were dropped
	started     time.Time
	demand      []float64         // worker time asked for, by tenth of a second since from, over what there is
	onCall      func(body []byte) // told each call that is carried out; nil: nobody is
}

// openCost is what a new connection takes of a worker: some calls' time, as a handshake and a session do.
const openCost = 20 * time.Millisecond

// busyAfter is how long a call may have to wait; then it is told BUSY at once.
const busyAfter = 2 * time.Second

// maxStoreBody is the largest body of a call, in bytes.
const maxStoreBody = 1 << 20

// NewEmulatedStore listens on an address.
func NewEmulatedStore(addr string, seed int64, workers int, cost time.Duration,
	cold, fill float64) (*EmulatedStore, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &EmulatedStore{ln: ln, conns: map[net.Conn]bool{}, random: rand.New(rand.NewSource(seed)),
		freeAt: make([]time.Time, workers), cost: cost, coldFactor: cold, warmUpCalls: fill, warmth: 1, speed: 1,
		dropped: map[string]bool{}, started: time.Now()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.work(openCost)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close ends it.
func (s *EmulatedStore) Close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

// Set changes it while it goes on.
func (s *EmulatedStore) Set(change func(speed, warm, fails *float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.speed, &s.warmth, &s.errorRate)
}

// work takes a worker's time and says when it is done and how long it had to wait.
func (s *EmulatedStore) work(cost time.Duration) (done time.Time, wait time.Duration) {
	now := time.Now()
	best := 0
	for i := range s.freeAt {
		if s.freeAt[i].Before(s.freeAt[best]) {
			best = i
		}
	}
	start := now
	if s.freeAt[best].After(now) {
		start = s.freeAt[best]
	}
	slot := int(now.Sub(s.started) / (100 * time.Millisecond))
	for len(s.demand) <= slot {
		s.demand = append(s.demand, 0)
	}
	s.demand[slot] += cost.Seconds() / (0.1 * float64(len(s.freeAt)))
	if wait = start.Sub(now); wait > busyAfter {
		return start, wait
	}
	s.freeAt[best] = start.Add(cost)
	return s.freeAt[best], wait
}

// Peak gives the most that was asked for over what it bears since a time, over any whole second.
func (s *EmulatedStore) Peak(since time.Time) (peak float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := max(0, int(since.Sub(s.started)/(100*time.Millisecond))); i+10 <= len(s.demand); i++ {
		sum := 0.0
		for _, a := range s.demand[i : i+10] {
			sum += a / 10
		}
		peak = max(peak, sum)
	}
	return peak
}

// Mean gives what was asked for over what it bears since a time, in the mean.
func (s *EmulatedStore) Mean(since time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, from := 0.0, max(0, int(since.Sub(s.started)/(100*time.Millisecond)))
	for _, a := range s.demand[min(from, len(s.demand)):] {
		sum += a
	}
	return sum / max(1, float64(time.Since(s.started)/(100*time.Millisecond))-float64(from))
}

// storeConn is one connection to the store.
type storeConn struct {
	s   *EmulatedStore
	c   net.Conn
	out sync.Mutex // one answer is written at a time
}

// storeCall is one call of a node.
type storeCall struct {
	id   string
	body []byte
}

// serve reads commands until the connection ends or says something that is none.
func (s *EmulatedStore) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	conn, lines := &storeConn{s: s, c: c}, bufio.NewReader(c)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		var verb, id string
		var wait, size int
		fmt.Sscan(line, &verb, &id, &wait, &size)
		switch {
		case verb == "DROP":
			s.drop(id)
		case verb != "CALL" || size < 0 || size > maxStoreBody:
			return
		default:
			body := make([]byte, size+2)
			if _, err = io.ReadFull(lines, body); err != nil {
				return
			}
			conn.begin(storeCall{id, body[:size]})
		}
	}
}

// drop has a call that is under way go without an answer or an effect.
func (s *EmulatedStore) drop(id string) {
	s.mu.Lock()
	s.dropped[id] = true
	s.mu.Unlock()
}

// begin gives a call its place among the workers and answers it when its time has come, or at once where it would wait
// too long.
func (c *storeConn) begin(call storeCall) {
	s := c.s
	s.mu.Lock()
	delete(s.dropped, call.id)
	cost := time.Duration(float64(s.cost) * (1 + (s.coldFactor-1)*(1-s.warmth)) / s.speed)
	done, waits := s.work(cost)
	fails := s.random.Float64() < s.errorRate
	s.mu.Unlock()
	if waits > busyAfter {
		c.answer(call.id + " BUSY\r\n")
		return
	}
	time.AfterFunc(time.Until(done), func() { c.end(call, fails) })
}

// end carries a call out and answers it.
func (c *storeConn) end(call storeCall, fails bool) {
	s := c.s
	s.mu.Lock()
	s.warmth = min(1, s.warmth+1/s.warmUpCalls)
	gone := s.dropped[call.id]
	delete(s.dropped, call.id)
	if s.onCall != nil && !gone && !fails {
		s.onCall(call.body)
	}
	s.mu.Unlock()
	switch {
	case gone:
	case fails:
		c.answer(call.id + " ERR\r\n")
	default:
		c.answer(call.id + " OK 4\r\nread\r\n")
	}
}

func (c *storeConn) answer(line string) {
	c.out.Lock()
	defer c.out.Unlock()
	c.c.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(c.c, line)
}

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

// EmulatedStore emulates a service below on a socket: it speaks the platform's protocol to the nodes of a zone. It
// has a fixed number of workers, a cache that calls warm up, and a cost for each new connection. A call uses no real
// core time: its response is sent when an emulated worker would have completed it.
type EmulatedStore struct {
	mu           sync.Mutex
	listener     net.Listener
	conns        map[net.Conn]bool
	random       *rand.Rand
	workerFreeAt []time.Time // by worker
	callTime     time.Duration
	coldFactor   float64         // factor on callTime while the cache is empty
	warmUpCalls  float64         // calls that fill an empty cache
	warmth       float64         // filled fraction of the cache
	speed        float64         // factor on the workers' speed
	errorRate    float64         // fraction of calls that fail
	dropped      map[string]bool // by id of a call
	started      time.Time
	loads        []float64         // requested worker time over available time, by tenth of a second from started on
	onExecute    func(body []byte) // called for each call that succeeds; may be nil
}

// connectCost is the worker time that a new connection takes, for its handshake and session.
const connectCost = 20 * time.Millisecond

// maxCallQueueTime is the maximum time that a call may wait for a worker; the store responds BUSY to one that would
// wait longer.
const maxCallQueueTime = 2 * time.Second

// maxCallBody is the largest body of a call, in bytes.
const maxCallBody = 1 << 20

// NewEmulatedStore starts an emulated store that listens on an address. Its cache is full.
func NewEmulatedStore(addr string, seed int64, workers int, callTime time.Duration,
	coldFactor, warmUpCalls float64) (*EmulatedStore, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &EmulatedStore{listener: ln, conns: map[net.Conn]bool{}, random: rand.New(rand.NewSource(seed)),
		workerFreeAt: make([]time.Time, workers), callTime: callTime, coldFactor: coldFactor, warmUpCalls: warmUpCalls,
		warmth: 1, speed: 1, dropped: map[string]bool{}, started: time.Now()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.reserveWorker(connectCost)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close closes the listener and all connections.
func (s *EmulatedStore) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

// Update changes the store's speed, the warmth of its cache and its error rate.
func (s *EmulatedStore) Update(change func(speed, warmth, errorRate *float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.speed, &s.warmth, &s.errorRate)
}

// reserveWorker reserves time of the worker that is free first. It returns when the work is done and how long it has
// to wait; nothing is reserved if that is above maxCallQueueTime.
func (s *EmulatedStore) reserveWorker(cost time.Duration) (done time.Time, wait time.Duration) {
	now := time.Now()
	earliest := 0
	for i := range s.workerFreeAt {
		if s.workerFreeAt[i].Before(s.workerFreeAt[earliest]) {
			earliest = i
		}
	}
	start := now
	if s.workerFreeAt[earliest].After(now) {
		start = s.workerFreeAt[earliest]
	}
	slot := int(now.Sub(s.started) / (100 * time.Millisecond))
	for len(s.loads) <= slot {
		s.loads = append(s.loads, 0)
	}
	s.loads[slot] += cost.Seconds() / (0.1 * float64(len(s.workerFreeAt)))
	if wait = start.Sub(now); wait > maxCallQueueTime {
		return start, wait
	}
	s.workerFreeAt[earliest] = start.Add(cost)
	return s.workerFreeAt[earliest], wait
}

// PeakLoad returns the highest load over capacity since a time, over any full second.
func (s *EmulatedStore) PeakLoad(since time.Time) (peak float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := max(0, int(since.Sub(s.started)/(100*time.Millisecond))); i+10 <= len(s.loads); i++ {
		sum := 0.0
		for _, load := range s.loads[i : i+10] {
			sum += load / 10
		}
		peak = max(peak, sum)
	}
	return peak
}

// MeanLoad returns the mean load over capacity since a time.
func (s *EmulatedStore) MeanLoad(since time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, from := 0.0, max(0, int(since.Sub(s.started)/(100*time.Millisecond)))
	for _, load := range s.loads[min(from, len(s.loads)):] {
		sum += load
	}
	return sum / max(1, float64(time.Since(s.started)/(100*time.Millisecond))-float64(from))
}

// storeConn is one connection of a node to the store.
type storeConn struct {
	store   *EmulatedStore
	conn    net.Conn
	writeMu sync.Mutex // held while a response is written
}

type storeCall struct {
	id   string
	body []byte
}

// serve reads commands until the connection is closed or sends an invalid one.
func (s *EmulatedStore) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	conn, lines := &storeConn{store: s, conn: c}, bufio.NewReader(c)
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
			s.dropCall(id)
		case verb != "CALL" || size < 0 || size > maxCallBody:
			return
		default:
			body := make([]byte, size+2)
			if _, err = io.ReadFull(lines, body); err != nil {
				return
			}
			conn.startCall(storeCall{id, body[:size]})
		}
	}
}

// dropCall cancels a call in progress: it gets no response and has no effect.
func (s *EmulatedStore) dropCall(id string) {
	s.mu.Lock()
	s.dropped[id] = true
	s.mu.Unlock()
}

// startCall queues a call for a worker and schedules its end, or responds BUSY at once.
func (c *storeConn) startCall(call storeCall) {
	s := c.store
	s.mu.Lock()
	delete(s.dropped, call.id)
	cost := time.Duration(float64(s.callTime) * (1 + (s.coldFactor-1)*(1-s.warmth)) / s.speed)
	done, wait := s.reserveWorker(cost)
	failed := s.random.Float64() < s.errorRate
	s.mu.Unlock()
	if wait > maxCallQueueTime {
		c.respond(call.id + " BUSY\r\n")
		return
	}
	time.AfterFunc(time.Until(done), func() { c.finishCall(call, failed) })
}

// finishCall executes a call and sends its response.
func (c *storeConn) finishCall(call storeCall, failed bool) {
	s := c.store
	s.mu.Lock()
	s.warmth = min(1, s.warmth+1/s.warmUpCalls)
	dropped := s.dropped[call.id]
	delete(s.dropped, call.id)
	if s.onExecute != nil && !dropped && !failed {
		s.onExecute(call.body)
	}
	s.mu.Unlock()
	switch {
	case dropped:
	case failed:
		c.respond(call.id + " ERR\r\n")
	default:
		c.respond(call.id + " OK 4\r\nread\r\n")
	}
}

func (c *storeConn) respond(line string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(c.conn, line)
}

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
	mu           sync.Mutex
	listener     net.Listener
	conns        map[net.Conn]bool
	random       *rand.Rand
	workerFreeAt []time.Time // when each worker is
	callTime     time.Duration
	coldFactor   float64 // times that a call takes while the cache is empty
	warmUpCalls  float64 // calls after which it is full
	warmth       float64
	speed        float64
	errorRate    float64
	dropped      map[string]bool // calls that were dropped
	started      time.Time
	loads        []float64         // worker time asked for, by tenth of a second since from, over what there is
	onExecute    func(body []byte) // told each call that is carried out; nil: nobody is
}

// connectCost is what a new connection takes of a worker: some calls' time, as a handshake and a session do.
const connectCost = 20 * time.Millisecond

// maxCallQueueTime is how long a call may have to wait; then it is told BUSY at once.
const maxCallQueueTime = 2 * time.Second

// maxCallBody is the largest body of a call, in bytes.
const maxCallBody = 1 << 20

// NewEmulatedStore listens on an address.
func NewEmulatedStore(addr string, seed int64, workers int, callTime time.Duration,
	coldFactor, warmUpCalls float64) (*EmulatedStore, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &EmulatedStore{listener: ln, conns: map[net.Conn]bool{}, random: rand.New(rand.NewSource(seed)),
		workerFreeAt: make([]time.Time, workers), callTime: callTime, coldFactor: coldFactor, warmUpCalls: warmUpCalls, warmth: 1, speed: 1,
		dropped: map[string]bool{}, started: time.Now()}
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

// Close ends it.
func (s *EmulatedStore) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

// Update changes it while it goes on.
func (s *EmulatedStore) Update(change func(speed, warm, fails *float64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.speed, &s.warmth, &s.errorRate)
}

// reserveWorker takes a worker's time and says when it is done and how long it had to wait.
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

// PeakLoad gives the most that was asked for over what it bears since a time, over any whole second.
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

// MeanLoad gives what was asked for over what it bears since a time, in the mean.
func (s *EmulatedStore) MeanLoad(since time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, from := 0.0, max(0, int(since.Sub(s.started)/(100*time.Millisecond)))
	for _, load := range s.loads[min(from, len(s.loads)):] {
		sum += load
	}
	return sum / max(1, float64(time.Since(s.started)/(100*time.Millisecond))-float64(from))
}

// storeConn is one connection to the store.
type storeConn struct {
	store   *EmulatedStore
	conn    net.Conn
	writeMu sync.Mutex // one answer is written at a time
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

// dropCall has a call that is under way go without an answer or an effect.
func (s *EmulatedStore) dropCall(id string) {
	s.mu.Lock()
	s.dropped[id] = true
	s.mu.Unlock()
}

// startCall gives a call its place among the workers and answers it when its time has come, or at once where it would wait
// too long.
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

// finishCall carries a call out and answers it.
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

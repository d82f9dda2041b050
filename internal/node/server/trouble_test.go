package server

// Long quiet, then several troubles at once, on one server and on many: the built program between stand-ins, under
// clients that keep connections, rest and repeat keys. What happened is recorded and held to the rules.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	faultTimeout     = 1500 * time.Millisecond // of a request
	faultWindow      = 800 * time.Millisecond  // of a key
	faultQuietPeriod = 2200 * time.Millisecond // longer than both
	faultKillDelay   = 3500 * time.Millisecond
	faultRunTime     = 4 * time.Millisecond // of a run
	faultClients     = 4                    // of a server
	faultBurst       = 12                   // requests of a client
)

// The slack is wider than the protocol's, for machines that run other tests at the same time.
var faultRules = rules{maxLateness: 300 * time.Millisecond, crossingGrace: 250 * time.Millisecond, idempotencyWindow: faultWindow,
	drainGrace: 500*time.Millisecond + 100*time.Millisecond, killDelay: faultKillDelay}

// faultServer is one address behind which one process follows another.
type faultServer struct {
	t       *testing.T
	history *history
	number  int
	node    *node
	clients []*faultClient
	ids     *atomic.Int64
}

// faultClient is a client's connection: it rests between bursts until the server ends it.
type faultClient struct {
	server *faultServer
	rand   *rand.Rand
	conn   net.Conn
	read   *bufio.Reader
}

func newFaultServer(t *testing.T, h *history, number int, ids *atomic.Int64) *faultServer {
	set := map[string]string{"give_up": "1500000", "promise": "1000000", "window": "800000", "stop_ms": "3500"}
	s := &faultServer{t: t, history: h, number: number, node: start(t, set), ids: ids}
	s.serveRuns(s.node, 2*number)
	for i := range faultClients {
		s.clients = append(s.clients, &faultClient{server: s, rand: rand.New(rand.NewPCG(uint64(number), uint64(i)))})
	}
	return s
}

// serveRuns has a kernel run what it is told to, once, and end it with the result of its body.
func (s *faultServer) serveRuns(n *node, process int) {
	seen := map[string]bool{}
	kernel, ended := n.kernel, n.ended
	go func() {
		for {
			line, ok := kernel.next("SYSINFO")
			w := strings.Fields(line)
			switch {
			case ok && w[0] == "SCHED" && !seen[w[1]]:
				seen[w[1]] = true
				s.history.add(record{kind: recordRun, server: process, id: w[1]})
				time.AfterFunc(faultRunTime, func() { kernel.sendEvent("REAP", w[1], "OK", "result of "+w[3]) })
			case !ok:
				select {
				case <-ended:
					return
				default:
				}
			}
		}
	}()
}

// burst has all clients send at once.
func (s *faultServer) burst() {
	var wg sync.WaitGroup
	for _, c := range s.clients {
		wg.Go(func() {
			for range faultBurst {
				c.sendRequest()
			}
		})
	}
	wg.Wait()
}

// sendRequest sends a request and waits for its end. One that crosses the end of its connection is sent again, once, as a new
// try.
func (c *faultClient) sendRequest() {
	class, key := "get", ""
	switch c.rand.IntN(3) {
	case 0:
		class, key = "put", fmt.Sprintf("s%d-k%d", c.server.number, c.rand.IntN(6))
	case 1:
		class = "act"
	}
	if !c.try(class, key) {
		c.try(class, key)
	}
}

// try is false where the connection ended with no answer, or none could be had.
func (c *faultClient) try(class, key string) bool {
	if c.conn == nil && !c.connect() {
		return false
	}
	id := fmt.Sprintf("%x", c.server.ids.Add(1)+0x1000)
	body, once := id, ""
	if key != "" {
		body, once = key, "Once-Key: "+key+"\r\n"
	}
	text := fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nRequest-Id: %s\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
		"Footprint-Kb: 1\r\n%sContent-Length: %d\r\n\r\n%s", class, wireID(id), time.Now().UnixMilli(), once,
		len(body), body)
	// Recorded first: a run may be seen before the write returns.
	c.server.history.add(record{kind: recordSent, id: id, key: key, deadline: time.Since(c.server.history.startedAt) + faultTimeout})
	c.conn.SetDeadline(time.Now().Add(patience))
	_, err := io.WriteString(c.conn, text)
	var answer *http.Response
	if err == nil {
		answer, err = http.ReadResponse(c.read, nil)
	}
	var result []byte
	if err == nil {
		result, err = io.ReadAll(answer.Body)
	}
	if err != nil {
		c.server.history.add(record{kind: recordEnded, id: id})
		c.drop()
		return false
	}
	c.server.history.add(record{kind: recordAnswered, id: id, status: answer.StatusCode, body: string(result)})
	if answer.Close {
		c.drop()
	}
	return true
}

func (c *faultClient) drop() {
	c.conn.Close()
	c.conn = nil
}

// connect waits while the address is refused, as between two processes; a refusal proves that nothing ran.
func (c *faultClient) connect() bool {
	accepted := waitUntil(func() bool {
		conn, err := net.Dial("tcp", c.server.node.addr)
		if err == nil {
			c.conn, c.read = conn, bufio.NewReader(conn)
		}
		return err == nil
	})
	if !accepted {
		c.server.t.Errorf("server %d: never accepts", c.server.number)
	}
	return accepted
}

// drain tells the process to leave and gives a channel that is closed once it has ended.
func (s *faultServer) drain(process int) <-chan struct{} {
	n := s.node
	s.history.add(record{kind: recordDrain, server: process})
	n.cmd.Process.Signal(syscall.SIGTERM)
	ended, done := n.ended, make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-ended:
			s.history.add(record{kind: recordExit, server: process})
		case <-time.After(faultKillDelay + patience):
		}
	}()
	return done
}

// replace starts the next process at the same address, while the one before still drains.
func (s *faultServer) replace(process int) {
	old := s.node
	next := &node{t: s.t, overrides: old.overrides, addr: old.addr, kernel: newFakeKernel(s.t), store: old.store, discovery: old.discovery,
		file: filepath.Join(s.t.TempDir(), "config.json")}
	next.writeStartupFile("")
	next.launch() // returns once its kernel is up, which is after it could listen
	s.node = next
	s.serveRuns(next, process)
}

// injectFaults is what one server goes through.
func (s *faultServer) injectFaults() {
	s.burst()
	time.Sleep(faultQuietPeriod) // what is tested is that time passes with nothing to do
	s.node.discovery.stop()      // longer than discovery keeps a silent server
	runDuring(s.burst, func() {
		kernel := s.node.kernel
		links := kernel.count("OPEN")
		kernel.closeConns()
		if !waitUntil(func() bool { return kernel.count("OPEN") > links }) {
			s.t.Errorf("server %d: the kernel's link is not opened anew", s.number)
		}
		kernel.closeConns()
	})
	runDuring(s.burst, func() {
		for range 3 { // new addresses in a row
			s.node.kernel.move()
			s.node.store.move()
			s.node.writeStartupFile("")
			s.node.cmd.Process.Signal(syscall.SIGHUP)
		}
	})
	first, second := 2*s.number, 2*s.number+1
	gone := s.drain(first)
	runDuring(s.burst, func() { s.replace(second) })
	<-gone
	s.node.discovery.listen(s.node.discovery.addr)
	s.burst()
	gone = s.drain(second)
	<-gone
}

// runDuring does one thing while another goes on, and waits for both.
func runDuring(long, short func()) {
	var wg sync.WaitGroup
	wg.Go(long)
	short()
	wg.Wait()
}

// After a long quiet, links break, addresses change, the control service is away and processes are replaced, at one
// server and at many together, while clients go on. Each request gets one response in time and no key runs twice.
func TestQuietThenTrouble(t *testing.T) {
	for _, servers := range []int{1, 3, 12} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			t.Parallel()
			h, ids := &history{startedAt: time.Now()}, &atomic.Int64{}
			var fleet []*faultServer
			for i := range servers {
				fleet = append(fleet, newFaultServer(t, h, i, ids))
			}
			var wg sync.WaitGroup
			for _, s := range fleet {
				wg.Go(s.injectFaults)
			}
			wg.Wait()
			for _, wrong := range h.violations(faultRules) {
				t.Error(wrong)
			}
			h.logSummary(t, servers)
		})
	}
}

// logSummary logs what a history holds, and fails where it holds too little to show anything.
func (h *history) logSummary(t *testing.T, servers int) {
	sent, statuses, ended, runs := 0, map[int]int{}, 0, 0
	for _, e := range h.records {
		switch e.kind {
		case recordSent:
			sent++
		case recordAnswered:
			statuses[e.status]++
		case recordEnded:
			ended++
		case recordRun:
			runs++
		}
	}
	t.Logf("%d sent, answers %v, %d ended with none, %d runs", sent, statuses, ended, runs)
	if least := servers * faultClients * faultBurst; sent < 4*least || statuses[200] < sent/3 || runs < least {
		t.Errorf("%d sent, %d served, %d runs: too few to show anything", sent, statuses[200], runs)
	}
}

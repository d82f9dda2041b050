package server

// Fault injection on one server and on many: the built program runs between fakes, with clients that keep connections,
// pause and repeat keys. The history is recorded and checked against the rules.

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
	faultTimeout     = 1500 * time.Millisecond // timeout of a request
	faultWindow      = 800 * time.Millisecond  // idempotency window
	faultQuietPeriod = 2200 * time.Millisecond // longer than timeout and window
	faultKillDelay   = 3500 * time.Millisecond
	faultRunTime     = 4 * time.Millisecond // duration of a run
	faultClients     = 4                    // per server
	faultBurst       = 12                   // requests per client and burst
)

// The times are longer than the protocol's, for machines that run other tests at the same time.
var faultRules = rules{maxLateness: 300 * time.Millisecond, crossingGrace: 250 * time.Millisecond,
	idempotencyWindow: faultWindow,
	drainGrace:        500*time.Millisecond + 100*time.Millisecond, killDelay: faultKillDelay}

// faultServer is a server address and its process, which is replaced once.
type faultServer struct {
	t       *testing.T
	history *history
	number  int
	node    *node
	clients []*faultClient
	ids     *atomic.Int64
}

// faultClient is a client with one connection, which it keeps between bursts until the server closes it.
type faultClient struct {
	server *faultServer
	rand   *rand.Rand
	conn   net.Conn
	read   *bufio.Reader
}

func newFaultServer(t *testing.T, h *history, number int, ids *atomic.Int64) *faultServer {
	set := map[string]string{"give_up": "1500000", "promise": "1000000", "window": "800000", "stop_ms": "3500"}
	s := &faultServer{t: t, history: h, number: number, node: startNode(t, set), ids: ids}
	s.serveRuns(s.node, 2*number)
	for i := range faultClients {
		s.clients = append(s.clients, &faultClient{server: s, rand: rand.New(rand.NewPCG(uint64(number), uint64(i)))})
	}
	return s
}

// serveRuns executes each run of a kernel once and ends it with the result of its body.
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

// burst has all clients send faultBurst requests each and waits for their ends.
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

// sendRequest sends a random request and waits for its end. If it fails, it is sent once more as a new attempt.
func (c *faultClient) sendRequest() {
	class, key := "get", ""
	switch c.rand.IntN(3) {
	case 0:
		class, key = "put", fmt.Sprintf("s%d-k%d", c.server.number, c.rand.IntN(6))
	case 1:
		class = "act"
	}
	if !c.attempt(class, key) {
		c.attempt(class, key)
	}
}

// attempt sends one request. It returns false if the connection ended without a response or can't be opened.
func (c *faultClient) attempt(class, key string) bool {
	if c.conn == nil && !c.connect() {
		return false
	}
	id := fmt.Sprintf("%x", c.server.ids.Add(1)+0x1000)
	body, keyField := id, ""
	if key != "" {
		body, keyField = key, "Once-Key: "+key+"\r\n"
	}
	text := fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nRequest-Id: %s\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
		"Footprint-Kb: 1\r\n%sContent-Length: %d\r\n\r\n%s", class, wireID(id), time.Now().UnixMilli(), keyField,
		len(body), body)
	// Recorded first, as the run may start before the write returns.
	c.server.history.add(record{kind: recordSent, id: id, key: key,
		deadline: time.Since(c.server.history.startedAt) + faultTimeout})
	c.conn.SetDeadline(time.Now().Add(testTimeout))
	_, err := io.WriteString(c.conn, text)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.read, nil)
	}
	var result []byte
	if err == nil {
		result, err = io.ReadAll(response.Body)
	}
	if err != nil {
		c.server.history.add(record{kind: recordEnded, id: id})
		c.disconnect()
		return false
	}
	c.server.history.add(record{kind: recordAnswered, id: id, status: response.StatusCode, body: string(result)})
	if response.Close {
		c.disconnect()
	}
	return true
}

func (c *faultClient) disconnect() {
	c.conn.Close()
	c.conn = nil
}

// connect retries while the address refuses connections, as between two processes; a refused connect proves that
// nothing ran.
func (c *faultClient) connect() bool {
	accepted := waitUntil(func() bool {
		conn, err := net.Dial("tcp", c.server.node.addr)
		if err == nil {
			c.conn, c.read = conn, bufio.NewReader(conn)
		}
		return err == nil
	})
	if !accepted {
		c.server.t.Errorf("server %d: connection is not accepted within %v", c.server.number, testTimeout)
	}
	return accepted
}

// drain sends SIGTERM to the process and returns a channel that is closed once it has exited.
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
		case <-time.After(faultKillDelay + testTimeout):
		}
	}()
	return done
}

// replace starts the next process at the same address while the previous one drains.
func (s *faultServer) replace(process int) {
	old := s.node
	next := &node{t: s.t, overrides: old.overrides, addr: old.addr, kernel: newFakeKernel(s.t), store: old.store,
		discovery: old.discovery, file: filepath.Join(s.t.TempDir(), "config.json")}
	next.writeStartupFile("")
	next.launch() // returns once its kernel is up, which is after the node listens
	s.node = next
	s.serveRuns(next, process)
}

// injectFaults runs the faults of one server: idle time, discovery down, broken kernel links, reloads with new
// addresses, and a replacement of the process.
func (s *faultServer) injectFaults() {
	s.burst()
	time.Sleep(faultQuietPeriod) // the server has to be idle
	s.node.discovery.stop()      // longer than service discovery keeps a server without reports
	runDuring(s.burst, func() {
		kernel := s.node.kernel
		opened := kernel.count("OPEN")
		kernel.closeConns()
		if !waitUntil(func() bool { return kernel.count("OPEN") > opened }) {
			s.t.Errorf("server %d: the kernel link is not reopened", s.number)
		}
		kernel.closeConns()
	})
	runDuring(s.burst, func() {
		for range 3 { // consecutive reloads with new addresses
			s.node.kernel.move()
			s.node.store.move()
			s.node.writeStartupFile("")
			s.node.cmd.Process.Signal(syscall.SIGHUP)
		}
	})
	first, second := 2*s.number, 2*s.number+1
	exited := s.drain(first)
	runDuring(s.burst, func() { s.replace(second) })
	<-exited
	s.node.discovery.listen(s.node.discovery.addr)
	s.burst()
	exited = s.drain(second)
	<-exited
}

// runDuring runs short while long runs, and waits for both.
func runDuring(long, short func()) {
	var wg sync.WaitGroup
	wg.Go(long)
	short()
	wg.Wait()
}

// After idle time, links break, addresses change, service discovery is down and processes are replaced, on one server
// and on several at once, while clients send. Each request gets one response in time and no key runs twice.
func TestFaultsAfterIdleTime(t *testing.T) {
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
			for _, violation := range h.violations(faultRules) {
				t.Error(violation)
			}
			h.logSummary(t, servers)
		})
	}
}

// logSummary logs the totals of a history and fails if they are too small for the test to be meaningful.
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
	t.Logf("sent = %d, responses by status = %v, without a response = %d, runs = %d", sent, statuses, ended, runs)
	if least := servers * faultClients * faultBurst; sent < 4*least || statuses[200] < sent/3 || runs < least {
		t.Errorf("sent = %d, status 200 = %d, runs = %d, want at least %d, %d and %d", sent, statuses[200], runs,
			4*least, sent/3, least)
	}
}

package server

// The kernel's link breaks, loses commands and moves while clients send, for some seconds with a seed, or for longer by
// hand: UMBERWINCH_SOAK=10m go test ./internal/node/server -run TestKernelLinkSoak -count=1 -timeout 20m

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	soakTime       = 20 * time.Second
	soakSeed       = 55
	soakClients    = 24
	soakTimeout    = 2 * time.Second       // of a request
	soakMaxLoss    = 50 * time.Millisecond // commands before a break that may be lost
	soakCallShare  = 0.4                   // of requests whose runs make two calls
	soakDiskShare  = 0.3                   // of the others, whose runs wait for a disk
	soakDiskWait   = 150                   // longest wait for a disk in milliseconds
	soakLeaveShare = 0.02                  // of requests whose clients leave before the response

	// soakCountsInterval is the time between two looks at the node's counters.
	soakCountsInterval = 50 * time.Millisecond

	// soakFailureLimit is the share of requests that may end without a result in time: the platform's 3 in 1,000.
	soakFailureLimit = 0.003
)

// soakCounts counts the ends of requests.
type soakCounts struct {
	served, shed, failed, late, left, breaks, moves atomic.Int64
}

// soakClient sends one request at a time.
type soakClient struct {
	kernel *workingKernel
	node   *node
	counts *soakCounts
	random *rand.Rand
	number int
	sent   int
	conn   net.Conn
	read   *bufio.Reader
}

// While the kernel's link breaks, loses the commands of the last 50 ms and moves by SIGHUP, no run that must not run
// twice is started twice, no run gets the reply to another call, and no request pays for that with an error. Guards
// against a command that is sent again although the kernel had read it (review/1).
func TestKernelLinkSoak(t *testing.T) {
	duration := soakTime
	if text := os.Getenv("UMBERWINCH_SOAK"); text != "" {
		var err error
		if duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	for i, preemption := range []string{"pause", "drop", "off"} {
		t.Run(preemption, func(t *testing.T) {
			t.Parallel()
			soakKernelLink(t, preemption, duration, soakSeed+uint64(i))
		})
	}
}

func soakKernelLink(t *testing.T, preemption string, duration time.Duration, seed uint64) {
	kernel := newWorkingKernel(t, preemption)
	n := startNodeWith(t, map[string]string{"preemption": preemption, "give_up": fmt.Sprint(soakTimeout.Microseconds()),
		"promise": "1000000", "window": "3000000"}, &fakeKernel{fakeServer: kernel.fakeServer}, newWorkingStore(t))
	counts, stop := &soakCounts{}, make(chan struct{})
	time.AfterFunc(duration, func() { close(stop) })
	var wg sync.WaitGroup
	for i := range soakClients {
		c := &soakClient{kernel: kernel, node: n, counts: counts, number: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		wg.Go(func() { c.run(stop) })
	}
	breakLinks(n, kernel, counts, rand.New(rand.NewPCG(seed, soakClients)), stop)
	wg.Wait()
	violations, started, _ := kernel.summary()
	for _, v := range violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	ended := waitUntil(func() bool { _, _, unended := kernel.summary(); return unended == 0 })
	served, failed, late := counts.served.Load(), counts.failed.Load(), counts.late.Load()
	t.Logf("seed %d: served = %d, shed = %d, failed = %d, late = %d, left = %d, started = %d, breaks = %d, moves = %d", seed,
		served, counts.shed.Load(), failed, late, counts.left.Load(), started, counts.breaks.Load(), counts.moves.Load())
	if limit := soakFailureLimit * float64(served); float64(failed+late) > limit {
		t.Errorf("seed %d: failed = %d, late = %d of %d served, want at most %.0f in all", seed, failed, late, served, limit)
	}
	if least := int64(duration / (20 * time.Millisecond)); !ended || served < least || counts.breaks.Load() < 10 {
		t.Errorf("seed %d: all runs ended = %v, served = %d, breaks = %d, want true, at least %d and 10", seed, ended, served,
			counts.breaks.Load(), least)
	}
	if !waitUntil(n.countsNoRuns) {
		t.Errorf("seed %d: the node still counts runs in progress", seed)
	}
}

// countsNoRuns reports whether no run is in progress by the node's counters. The start of a run that was lost counts
// until its request is over, shortly after its deadline.
func (n *node) countsNoRuns() bool {
	n.signal(syscall.SIGUSR1)
	time.Sleep(soakCountsInterval)
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	for _, line := range slices.Backward(n.log.lines) {
		if strings.Contains(line, "msg=counters") {
			return strings.Contains(line, " running=0 ")
		}
	}
	return false
}

// breakLinks breaks the kernel's link again and again, and moves it now and then.
func breakLinks(n *node, kernel *workingKernel, counts *soakCounts, random *rand.Rand, stop chan struct{}) {
	for {
		opened := kernel.count("OPEN")
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(150+random.IntN(250)) * time.Millisecond):
		}
		switch random.IntN(4) {
		case 0:
			counts.moves.Add(1)
			kernel.move()
			n.writeStartupFile("")
			n.cmd.Process.Signal(syscall.SIGHUP)
		case 1:
			counts.breaks.Add(1)
			kernel.breakLink(time.Duration(random.Int64N(int64(soakMaxLoss))))
		default:
			counts.breaks.Add(1)
			kernel.breakLink(0)
		}
		if !waitUntil(func() bool { return kernel.count("OPEN") > opened }) {
			n.t.Errorf("the kernel link is not reopened within %v", testTimeout)
			return
		}
	}
}

// run sends requests until stop is closed.
func (c *soakClient) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			c.sendRequest()
		}
	}
}

// sendRequest sends a random request and waits for its end.
func (c *soakClient) sendRequest() {
	if c.conn == nil {
		c.conn = c.node.dial()
		c.read = bufio.NewReader(c.conn)
	}
	c.sent++
	id := wireID(fmt.Sprintf("%x", (c.number+1)<<32|c.sent))
	class, keyField := []string{"get", "put", "act"}[c.random.IntN(3)], ""
	if class == "put" {
		keyField = "Once-Key: " + id + "\r\n"
	}
	body := fmt.Sprintf("%.1f", 2+28*c.random.Float64())
	if c.random.Float64() < soakDiskShare {
		body = fmt.Sprintf("%.1f,%s%.1f", 10*c.random.Float64(), diskStep, soakDiskWait*c.random.Float64())
	}
	if c.random.Float64() < soakCallShare {
		body = fmt.Sprintf("%.1f,c,%.1f,c,%.1f", 10*c.random.Float64(), 10*c.random.Float64(), 10*c.random.Float64())
	}
	sentAt := time.Now()
	c.conn.SetDeadline(sentAt.Add(testTimeout))
	fmt.Fprintf(c.conn, "POST /rpc/%s HTTP/1.1\r\nRequest-Id: %s\r\nReceived-At: %d\r\nSent-By: 1\r\nFootprint-Kb: 1\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, id, sentAt.UnixMilli(), keyField, len(body), body)
	if c.random.Float64() < soakLeaveShare {
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
		c.counts.left.Add(1)
		c.leave(id)
		return
	}
	response, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.node.t.Errorf("request %s: no response: %v", testID(id), err)
		c.leave(id)
		return
	}
	result, err := io.ReadAll(response.Body)
	c.kernel.endRequest(id)
	c.count(id, response.StatusCode, string(result), errors.Join(err, response.Body.Close()), time.Since(sentAt))
}

// leave closes the connection; the request is over.
func (c *soakClient) leave(id string) {
	c.conn.Close()
	c.conn = nil
	c.kernel.endRequest(id)
}

// count counts a response and checks a result.
func (c *soakClient) count(id string, status int, result string, err error, elapsed time.Duration) {
	switch {
	case err != nil:
		c.node.t.Errorf("request %s: reading the response: %v", testID(id), err)
	case status == http.StatusServiceUnavailable:
		c.counts.shed.Add(1)
		time.Sleep(time.Millisecond)
	case status != http.StatusOK:
		c.counts.failed.Add(1)
	case result != "done "+testID(id):
		c.node.t.Errorf("request %s: result = %q, want %q", testID(id), result, "done "+testID(id))
	case elapsed > soakTimeout:
		c.counts.late.Add(1)
	default:
		c.counts.served.Add(1)
	}
}

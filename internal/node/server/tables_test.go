package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/node/zonegate"
)

// blockedConn is a connection whose writes block until unblock is closed.
type blockedConn struct {
	netpoll.Connection
	unblock  chan bool
	received bytes.Buffer
	closed   chan bool
}

func (s *blockedConn) Write(b []byte) (int, error) {
	<-s.unblock
	return s.received.Write(b)
}

func (s *blockedConn) Close() error { close(s.closed); return nil }

// send never blocks for a peer that reads nothing: its queue is limited, and is sent completely and in order.
func TestSendDoesNotBlock(t *testing.T) {
	s := &blockedConn{unblock: make(chan bool), closed: make(chan bool)}
	p, busy := bufferPool{capacity: 8}, atomic.Int64{}
	w := &writer{conn: s, pool: &p, busy: &busy}
	chunk, accepted := bytes.Repeat([]byte("0123456789abcdef"), bufferBytes/32), 0
	for w.send(chunk, 4) {
		accepted++
	}
	if accepted < 4 || accepted > 16 || busy.Load() != 1 {
		t.Errorf("accepted chunks = %d, busy = %d, want 4 to 16 and 1", accepted, busy.Load())
	}
	w.close()
	if w.send(chunk, 100) {
		t.Error("send() = true after close, want false")
	}
	close(s.unblock)
	select {
	case <-s.closed:
	case <-time.After(testTimeout):
		t.Fatal("connection is not closed")
	}
	if want := bytes.Repeat(chunk, accepted); !bytes.Equal(s.received.Bytes(), want) {
		t.Errorf("received %d bytes, want %d", s.received.Len(), len(want))
	}
	if p.inUse != 0 {
		t.Errorf("buffers in use = %d, want 0", p.inUse)
	}
}

// A stale handle finds nothing after its slot is reused, and a full table refuses to allocate.
func TestStaleHandleFindsNothing(t *testing.T) {
	tab := newTable[int](2)
	a, v, _ := tab.take()
	*v = 7
	b, _, ok := tab.take()
	if _, _, more := tab.take(); !ok || more {
		t.Fatal("take() in a table of two slots: want two successes, then a failure")
	}
	tab.drop(a)
	tab.drop(a)
	c, v, ok := tab.take()
	if !ok || c == a || c.slot() != a.slot() || *v != 0 || tab.get(a) != nil || tab.get(c) != v ||
		tab.get(0) != nil {
		t.Errorf("reuse of the slot of handle %d: handle %d, ok %v, value %d, want a new handle and an empty slot",
			a, c, ok, *v)
	}
	if h, i := tab.next(0); h != c {
		t.Errorf("first handle = %d, want %d", h, c)
	} else if h, i = tab.next(i); h != b {
		t.Errorf("second handle = %d, want %d", h, b)
	} else if h, _ = tab.next(i); h != 0 {
		t.Errorf("third handle = %d, want 0", h)
	}
}

// Timers fire by time, those of one time in the order of setting, and none early; otherwise a later action could be
// overridden by an earlier one.
func TestTimersFireInOrder(t *testing.T) {
	var d timers
	for i := range 200 {
		d.set(admission.Time(i*37%50), timerCall, handle(i))
	}
	var last timer
	for n := 0; n < 200; n++ {
		e, ok := d.next(49)
		if !ok || e.at < last.at || n > 0 && e.at == last.at && e.order < last.order {
			t.Fatalf("next() = %v, %v after %v, want a later timer", e, ok, last)
		}
		last = e
	}
	if _, ok := d.first(); ok {
		t.Error("first() finds a timer, want none left")
	}
	d.set(60, timerWake, 0)
	if _, ok := d.next(59); ok {
		t.Error("timer fired before its time")
	}
}

// A key outlives its result: beyond the limit the oldest result is dropped, but its key stays.
func TestKeysOutliveResults(t *testing.T) {
	var due timers
	k := newIdempotencyTable(10, 100, 50)
	run := func(key string, id uint32, ok bool) {
		k.remember(key, id, 1000, &due)
		k.runStarted(key, id)
		k.runEnded(key, id, ok, make([]byte, 60))
	}
	run("a", 1, true)
	run("b", 2, true)
	if a, b := k.find("a"), k.find("b"); a == nil || a.hasResult || a.state != entryDone || !b.hasResult ||
		k.resultBytes != 60 {
		t.Errorf("entry a = %+v, entry b = %+v, result bytes = %d, want a without and b with a result, 60 bytes", a, b,
			k.resultBytes)
	}
	if k.previous("a", 999) != 1 || k.previous("a", 1000) != 0 {
		t.Errorf("previous() = %d before the end of the entry and %d at it, want 1 and 0", k.previous("a", 999),
			k.previous("a", 1000))
	}
	k.remember("c", 3, 1000, &due)
	k.find("c").waiters = []handle{9}
	if got := k.forget("c", 4); got != nil || k.find("c") == nil {
		t.Error("forget() by a request that is not the holder removed the entry")
	}
	if got := k.forget("c", 3); !slices.Equal(got, []handle{9}) || k.find("c") != nil {
		t.Errorf("forget() = %v, want [9] and no entry", got)
	}
	for d, ok := due.next(1050); ok; d, ok = due.next(1050) {
		k.expire(d.subject, 1050, &due)
	}
	if len(k.byKey) != 0 || k.resultBytes != 0 || k.entries.used != 0 {
		t.Errorf("after expiry: keys = %v, result bytes = %d, want none", k.byKey, k.resultBytes)
	}
}

// An error in the start-up file is reported in one line, with exit status 2.
func TestInvalidStartupFile(t *testing.T) {
	const addresses = `{"name":"n","listen":"127.0.0.1:0","kernel":"127.0.0.1:1",`
	for text, want := range map[string]string{"": "not JSON", "{": "not JSON",
		`{"listen":"127.0.0.1:0"}`: "name: found none",
		`{"name":"n"}`:             `listen: found "", expected HOST:PORT`,
		`{"name":"n","listen":"127.0.0.1:0","kernel":"x"}`: `kernel: found "x", expected HOST:PORT`,
		addresses + `"store":"y"}`:                         `store: found "y", expected HOST:PORT`,
		addresses + `"control":"z"}`:                       `control: found "z", expected HOST:PORT`,
		addresses + `"stop_ms":-1}`:                        "stop_ms: found -1, expected above 0",
		addresses + `"stop_ms":9,"settings":{}}`:           "no classes, expected at least one"} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+file)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || bytes.Count(out, []byte("\n")) != 1 ||
			!strings.Contains(string(out), want) {
			t.Errorf("start-up file %s: exit status %d, output %s, want 2 and one line with %q", text,
				cmd.ProcessState.ExitCode(), out, want)
		}
	}
}

// Requests of a round are sorted by arrival, and a later attempt of a key is linked to the earlier one.
func TestOrderArrivals(t *testing.T) {
	l := &loop{inFlightRequests: inFlightRequests{requests: newTable[request](8),
		idempotency: newIdempotencyTable(10, 100, 50)}}
	var arrived []admission.Request
	for i, arrival := range []admission.Time{30, 10, 20, 10, 15} {
		h, r, _ := l.requests.take()
		r.repeatKey = []string{"a", "", "a", "b", "b"}[i]
		arrived = append(arrived, admission.Request{ID: uint32(h), ArrivedAt: arrival})
	}
	ids := []uint32{arrived[1].ID, arrived[3].ID, arrived[4].ID, arrived[2].ID, arrived[0].ID}
	previous := []uint32{0, 77, 77, 0, arrived[2].ID}
	var due timers
	l.idempotency.remember("b", 77, 1000, &due)
	l.orderArrivals(arrived)
	for i, q := range arrived {
		if q.ID != ids[i] || q.PreviousID != previous[i] {
			t.Errorf("request %d of the round: id %d repeats %d, want %d and %d", i, q.ID, q.PreviousID,
				ids[i], previous[i])
		}
	}
}

// Repeated reports on a link that is down set a single timer to dial it.
func TestReportsSetOneDialTimer(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 1000}}
	l.discovery.link = link{addr: "127.0.0.1:1", backoff: backoff{notBefore: 2000}, retry: timerDiscoveryDial}
	for range 50 {
		l.sendReport()
	}
	if len(l.timers.heap) != 1 {
		t.Errorf("timers = %d, want 1", len(l.timers.heap))
	}
}

// A moved link is dialled at once, without the backoff of its old address.
func TestMovedLinkSkipsBackoff(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{loopTime: loopTime{now: 1000},
		crossGoroutine: crossGoroutine{log: log, events: make(chan event, 4), limits: NewLimits(1, 64, 256)},
		upstreams:      upstreams{dialTo: dialTCP}}
	k := &l.discovery.link
	k.peer, k.addr, k.delay, k.notBefore = peerDiscovery, "127.0.0.1:1", 900, 2000
	l.setLinkAddress(k, "127.0.0.1:2")
	if k.dialed == nil || k.delay != 0 {
		t.Errorf("moved link: dialled = %v, backoff delay = %d, want true and 0", k.dialed != nil, k.delay)
	}
	first := k.dialed
	if l.setLinkAddress(k, "127.0.0.1:3"); k.dialed == first || k.dialed == nil {
		t.Error("a dial in progress to the old address delays the dial to the new one")
	}
	e := &linkDialed{dialed: first, err: errClosed}
	if l.linkDialed(e); k.dialed == nil || k.delay != 0 {
		t.Error("the failure of the old dial affects the new one")
	}
}

// The old dial succeeds after the store moved. Its connection must not replace the new one, on which the waiting call
// would then be sent before it is open.
func TestDialToOldStoreAddressIsIgnored(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{loopTime: loopTime{now: 1000},
		crossGoroutine: crossGoroutine{log: log, events: make(chan event, 4), limits: NewLimits(1, 64, 256)},
		upstreams: upstreams{dialTo: dialTCP,
			store: newTestStoreConnections("127.0.0.1:1", NewLimits(1, 64, 256))},
		inFlightRequests: inFlightRequests{requests: newTable[request](2)}}
	h, r, _ := l.requests.take()
	at, c, _ := l.store.connections.take()
	old := &dialAttempt{peer: peerStore, storeConn: at, parser: l.store.parser}
	*c = storeConnection{dialed: old, calls: []handle{h}}
	r.setCall(callQueued)
	r.storeConn = at
	l.setStoreAddress("127.0.0.1:2")
	l.linkDialed(&linkDialed{dialed: old})
	if r.call != callQueued || old.writer != nil || c.dialed == old {
		t.Errorf("the old dial was used: call state = %d, want %d", r.call, callQueued)
	}
}

// A gauges response acknowledges commands only once it is older than AckSafetyMargin, as newer ones may be lost with
// their link.
func TestAcknowledgementIsDelayed(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 10000}, crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)}}
	k := &l.kernel
	k.state, k.lastCommand = kernelLive, 7
	for _, step := range []struct {
		at    admission.Time
		acked uint64
	}{{10000, 0}, {10500, 0}, {11000, 7}} {
		l.now = step.at
		if l.gaugesReceived(&wire.KernelEvent{Nonce: []byte("7")}); k.acknowledged != step.acked {
			t.Errorf("at %d: commands acknowledged up to %d, want %d", l.now, k.acknowledged, step.acked)
		}
	}
}

const (
	fullConnections = 512                 // of the 1,024 sockets of the start-up file
	fullResults     = 4 * fullConnections // more than the memory for results holds
	fullResultBytes = 4096                // of the largest result
	fullTablesTime  = 12 * testTimeout    // within which that many requests have to succeed
	fullMemoryKB    = 56 << 10            // of the 64 MB of the start-up file
	fullDescriptors = 560
)

// With the maximum number of connections and kept results, the program stays within its memory and descriptors. A slow
// machine sheds some of the simultaneous requests, so requests are sent in rounds until enough of them have succeeded.
func TestResourcesWithFullTables(t *testing.T) {
	n := startNode(t, map[string]string{"memory_mb": "64", "sockets": "1024", "window": "60000000"})
	go func() { // the kernel answers every run with the largest result
		for line, ok := n.kernel.next("SYSINFO"); ok; line, ok = n.kernel.next("SYSINFO") {
			if w := strings.Fields(line); w[0] == "SCHED" {
				n.kernel.sendEvent("REAP", w[1], "OK", strings.Repeat("r", fullResultBytes))
			}
		}
	}()
	end := time.Now().Add(fullTablesTime)
	var conns []net.Conn
	for range fullConnections {
		c := n.dial()
		c.SetDeadline(end)
		conns = append(conns, c)
	}
	succeeded, rounds := 0, 0
	for succeeded < fullResults && time.Now().Before(end) {
		succeeded += putOnEach(t, conns, rounds)
		rounds++
	}
	kb := n.peakMemoryKB()
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	t.Logf("succeeded = %d in %d rounds, peak memory = %d KB, descriptors = %d", succeeded, rounds, kb, len(files))
	if succeeded < fullResults || kb == 0 || kb > fullMemoryKB || len(files) < fullConnections ||
		len(files) > fullDescriptors {
		t.Errorf("succeeded = %d, peak memory = %d KB, descriptors = %d, want at least %d, 1 to %d, %d to %d",
			succeeded, kb, len(files), fullResults, fullMemoryKB, fullConnections, fullDescriptors)
	}
}

// putOnEach sends a request with an idempotency key of its own on each connection, all at the same time, and returns how
// many of them succeeded.
func putOnEach(t *testing.T, conns []net.Conn, round int) (succeeded int) {
	for i, c := range conns {
		fmt.Fprintf(c, "POST /rpc/put HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
			"Footprint-Kb: 1\r\nOnce-Key: %d-%d\r\nContent-Length: 2048\r\n\r\n%s", round<<16+i+1,
			time.Now().UnixMilli(), round, i, strings.Repeat("b", 2048))
	}
	for _, c := range conns {
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if err != nil || a.StatusCode == 200 && len(body) != fullResultBytes {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
		if a.StatusCode == 200 {
			succeeded++
		}
	}
	return succeeded
}

// With a tenth of a core the kill margin is larger, as the same work takes ten times as long; a short time to the kill
// limits it.
func TestKillMarginScalesWithCores(t *testing.T) {
	for _, c := range []struct {
		cores        float64
		stop, before admission.Time
	}{{1, 24_000, 380}, {0.1, 24_000, 1100}, {0.1, 4000, 500}} {
		l := &loop{loopTime: loopTime{now: 5000}, drainState: drainState{killDelay: c.stop},
			crossGoroutine: crossGoroutine{limits: NewLimits(c.cores, 64, 256)}}
		l.startDrain()
		if r := l.nextRound(); !r.Drain || r.KillAt != 5000+c.stop-c.before {
			t.Errorf("%.1f cores, kill after %d: KillAt = %d, want %d before %d", c.cores,
				c.stop, r.KillAt,
				c.before, 5000+c.stop)
		}
	}
}

// A run that does not end is answered before the kill.
func TestDrainAnswersUnfinishedRun(t *testing.T) {
	n := startNode(t, map[string]string{"cores": "0.1", "stop_ms": "2400"})
	c := n.dial()
	fmt.Fprintf(c, "POST /rpc/act HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
		"Footprint-Kb: 1\r\nContent-Length: 0\r\n\r\n", 1, time.Now().UnixMilli())
	if line, ok := n.kernel.next("SYSINFO"); !ok || !strings.HasPrefix(line, "OPEN") {
		t.Fatalf("kernel received %q, want OPEN", line)
	}
	if line, ok := n.kernel.next("SYSINFO"); !ok || !strings.HasPrefix(line, "SCHED") {
		t.Fatalf("kernel received %q, want SCHED", line)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	signalledAt := time.Now()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	left := 2400*time.Millisecond - time.Since(signalledAt)
	if err != nil || a.StatusCode != 500 || left < 0 {
		t.Errorf("response = %v, %v, %v before the kill, want status 500 before it", a, err, left)
	}
	c.Close()
	<-n.ended
}

// A cancelled call counts in the load report with its elapsed time; otherwise a store that never answers would look
// unused.
func TestCancelledCallIsReported(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 5000}, crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)},
		inFlightRequests: inFlightRequests{requests: newTable[request](8)},
		fleet:            &fleetAgent{clock: bootTime, meter: zonegate.NewMeter(bootTime(), []float64{1})}}
	r := &request{lifecycle: lifecycle{call: callSent}, storeCall: storeCall{callStarted: 2000}}
	l.cancelCall(1, r)
	l.cancelCall(1, r) // no call is left
	if got := l.fleet.meter.Report(bootTime(), true, 1, 0); got.Calls != 1 || got.MeanCallMS != 300 ||
		got.FailedCalls != 0 {
		t.Errorf("calls = %d, mean = %.0f ms, failed = %d, want 1, 300 ms and 0", got.Calls,
			got.MeanCallMS, got.FailedCalls)
	}
}

// A call without a reply is given up at its own deadline, so that its run does not hold a slot until the request's. A
// call that was not sent was not executed; one that was sent may have been.
func TestCallTimeout(t *testing.T) {
	const deadline = 5000
	limits := NewLimits(1, 64, 256)
	tests := map[string]struct {
		call  callState
		after admission.Time // the call's deadline
		want  []admission.Outcome
	}{
		"timer of the previous call": {callSent, 0, nil},
		"not sent":                   {callQueued, limits.CallGrace, []admission.Outcome{admission.NotExecuted}},
		"sent":                       {callSent, limits.CallGrace, []admission.Outcome{admission.Unknown}},
		"no call":                    {callNone, limits.CallGrace, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &loop{loopTime: loopTime{now: deadline + test.after}, crossGoroutine: crossGoroutine{limits: limits},
				inFlightRequests: inFlightRequests{requests: newTable[request](8)}}
			h, r, _ := l.requests.take()
			*r = request{lifecycle: lifecycle{run: runRunning, call: test.call},
				storeCall: storeCall{callDeadline: deadline}}
			l.callTimedOut(h)
			var got []admission.Outcome
			for _, end := range l.nextRound().CallEnds {
				got = append(got, end.Outcome)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("outcomes of calls = %v, want %v", got, test.want)
			}
		})
	}
}

// If a timestamp allows two arrival times, the deadline and the previous request are determined by the earlier one, the
// idempotency window and the drain grace by the later one.
func TestAmbiguousTimestamp(t *testing.T) {
	at, wall := time.Hour, 100*time.Hour
	read := func() clock.Reading { return clock.Reading{Monotonic: at, Wall: wall} }
	d := &admission.Deployment{Cores: 1, MemoryKB: 1e6,
		Handlers: []admission.Handler{{LatencyObjective: 3 * admission.Second,
			Timeout: 6 * admission.Second, RetrySafety: admission.IdempotencyKeyed,
			IdempotencyWindow: 8 * admission.Second}}}
	l := &loop{configuration: configuration{names: []string{"put"},
		settings: &settings.Startup{Deployment: d, HandlerIndex: map[string]int{"put": 0}}},
		inFlightRequests: inFlightRequests{idempotency: newIdempotencyTable(2000, 1000, 6*admission.Second),
			requests: newTable[request](8), byRequestID: map[string]handle{}},
		crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)},
		decisions:      decisions{controller: admission.New(d)},
		loopTime:       loopTime{stamps: clock.NewStamps(read, 12*time.Second)}}
	stamp := wall
	at, wall = at+2500*time.Millisecond, wall+2500*time.Millisecond
	l.stamps.Observe(read)
	wall -= 3 * time.Second
	now, step := l.stamps.Observe(read)
	if l.now = timeOf(now); step != -3*time.Second {
		t.Fatalf("Observe() = step of %v, want -3s", step)
	}
	l.idempotency.remember(l.repeatKey(0, &wire.Request{IdempotencyKey: []byte("k")}), 77, l.now-admission.Second,
		&l.timers)
	c := &connection{}
	e := &requestRead{peer: &peer{}, request: wire.Request{ID: []byte("0000000000000001"),
		ReceivedAtMS: stamp.Milliseconds(),
		HasCaller:    true, FootprintKB: 1, IdempotencyKey: []byte("k")}}
	if status := l.receiveRequest(c, e, "put", &wire.Response{}); status != 0 || len(l.nextRound().Arrived) != 1 {
		t.Fatalf("status = %d, submitted = %d, want 0 and 1", status, len(l.nextRound().Arrived))
	}
	l.orderArrivals(l.nextRound().Arrived)
	q := l.nextRound().Arrived[0]
	earliest := timeOf(time.Hour)
	if q.Deadline != earliest+6*admission.Second || q.ArrivedAt != l.now || q.PreviousID != 77 {
		t.Errorf("deadline = %d, arrival = %d, previous = %d, want %d, %d and 77", q.Deadline, q.ArrivedAt,
			q.PreviousID, earliest+6*admission.Second, l.now)
	}
}

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

// blockedConn is a connection whose other side takes nothing until it is let.
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

// A peer that takes nothing makes nobody wait: what it is sent is bounded, and goes out whole and in order.
func TestSendingNeverWaits(t *testing.T) {
	s := &blockedConn{unblock: make(chan bool), closed: make(chan bool)}
	p, busy := bufferPool{capacity: 8}, atomic.Int64{}
	w := &writer{conn: s, pool: &p, busy: &busy}
	part, sent := bytes.Repeat([]byte("0123456789abcdef"), bufferBytes/32), 0
	for w.send(part, 4) {
		sent++
	}
	if sent < 4 || sent > 16 || busy.Load() != 1 {
		t.Errorf("%d halves of a buffer were taken, %d busy", sent, busy.Load())
	}
	w.close()
	if w.send(part, 100) {
		t.Error("taken after the close")
	}
	close(s.unblock)
	select {
	case <-s.closed:
	case <-time.After(patience):
		t.Fatal("never closed")
	}
	if want := bytes.Repeat(part, sent); !bytes.Equal(s.received.Bytes(), want) {
		t.Errorf("%d bytes went out, expected %d", s.received.Len(), len(want))
	}
	if p.inUse != 0 {
		t.Errorf("%d buffers are still out", p.inUse)
	}
}

// A late event names a slot that another connection has by now. It must find nothing, and a full table must say so.
func TestLateEventFindsNoSlot(t *testing.T) {
	tab := newTable[int](2)
	a, v, _ := tab.take()
	*v = 7
	b, _, ok := tab.take()
	if _, _, more := tab.take(); !ok || more {
		t.Fatal("a table for two takes two")
	}
	tab.drop(a)
	tab.drop(a)
	c, v, ok := tab.take()
	if !ok || c == a || c.slot() != a.slot() || *v != 0 || tab.get(a) != nil || tab.get(c) != v ||
		tab.get(0) != nil {
		t.Errorf("slot of %d was taken again as %d: %v, %d", a, c, ok, *v)
	}
	if h, i := tab.next(0); h != c {
		t.Errorf("first in use is %d, expected %d", h, c)
	} else if h, i = tab.next(i); h != b {
		t.Errorf("second in use is %d, expected %d", h, b)
	} else if h, _ = tab.next(i); h != 0 {
		t.Errorf("third in use is %d, expected none", h)
	}
}

// Timers are set in any order, many for the same time. They fire by time, those of one time in the order in which they
// were set, and none before its time: else what a later one undoes would be done again.
func TestTimersFireInOrder(t *testing.T) {
	var d timers
	for i := range 200 {
		d.set(admission.Time(i*37%50), timerCall, handle(i))
	}
	var last timer
	for n := 0; n < 200; n++ {
		e, ok := d.next(49)
		if !ok || e.at < last.at || n > 0 && e.at == last.at && e.order < last.order {
			t.Fatalf("%v after %v, %v", e, last, ok)
		}
		last = e
	}
	if _, ok := d.first(); ok {
		t.Error("some are left")
	}
	d.set(60, timerWake, 0)
	if _, ok := d.next(59); ok {
		t.Error("one came before its time")
	}
}

// A key that ran outlives its result: when results are over their bound the oldest goes, the key stays.
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
		t.Errorf("a %+v, b %+v, %d bytes", a, b, k.resultBytes)
	}
	if k.previous("a", 999) != 1 || k.previous("a", 1000) != 0 {
		t.Error("the entry of a is for those that came before its end")
	}
	k.remember("c", 3, 1000, &due)
	k.find("c").waiters = []handle{9}
	if got := k.forget("c", 4); got != nil || k.find("c") == nil {
		t.Error("forgotten by one that doesn't hold it")
	}
	if got := k.forget("c", 3); !slices.Equal(got, []handle{9}) || k.find("c") != nil {
		t.Errorf("those that waited: %v", got)
	}
	for d, ok := due.next(1050); ok; d, ok = due.next(1050) {
		k.expire(d.subject, 1050, &due)
	}
	if len(k.byKey) != 0 || k.resultBytes != 0 || k.entries.used != 0 {
		t.Errorf("left: %v, %d bytes", k.byKey, k.resultBytes)
	}
}

// What is wrong with the start-up file is told in one line, and the program ends with status 2.
func TestWrongStartupFile(t *testing.T) {
	const addresses = `{"name":"n","listen":"127.0.0.1:0","kernel":"127.0.0.1:1",`
	for text, says := range map[string]string{"": "not JSON", "{": "not JSON",
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
			!strings.Contains(string(out), says) {
			t.Errorf("%s: status %d, %s, expected %q", text, cmd.ProcessState.ExitCode(), out, says)
		}
	}
}

// A round is decided in the order in which its requests came, and a key's later try repeats the earlier one.
func TestRoundIsInOrderOfArrival(t *testing.T) {
	l := &loop{requestsInHand: requestsInHand{requests: newTable[request](8),
		idempotency: newIdempotencyTable(10, 100, 50)}}
	var all []admission.Request
	for i, came := range []admission.Time{30, 10, 20, 10, 15} {
		h, r, _ := l.requests.take()
		r.key = []string{"a", "", "a", "b", "b"}[i]
		all = append(all, admission.Request{ID: uint32(h), ArrivedAt: came})
	}
	ids := []uint32{all[1].ID, all[3].ID, all[4].ID, all[2].ID, all[0].ID}
	priors := []uint32{0, 77, 77, 0, all[2].ID}
	var due timers
	l.idempotency.remember("b", 77, 1000, &due)
	l.orderArrivals(all)
	for i, q := range all {
		if q.ID != ids[i] || q.PreviousID != priors[i] {
			t.Errorf("at %d is %d repeating %d, expected %d, %d", i, q.ID, q.PreviousID, ids[i], priors[i])
		}
	}
}

// However often a report asks for a link that is down, one deadline has it dialled again.
func TestTimersDoNotPileUp(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 1000}}
	l.discovery.link = link{addr: "127.0.0.1:1", backoff: backoff{notBefore: 2000}, retry: timerDiscoveryDial}
	for range 50 {
		l.sendReport()
	}
	if len(l.timers.heap) != 1 {
		t.Errorf("%d deadlines are set, expected 1", len(l.timers.heap))
	}
}

// A link that moves is dialled at once, whatever wait its old address had earned.
func TestMoveDoesNotWait(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{loopTime: loopTime{now: 1000},
		crossGoroutine: crossGoroutine{log: log, events: make(chan event, 4), limits: NewLimits(1, 64, 256)},
		upstreams:      upstreams{dialTo: dialTCP}}
	k := &l.discovery.link
	k.peer, k.addr, k.delay, k.notBefore = peerDiscovery, "127.0.0.1:1", 900, 2000
	l.moveLink(k, "127.0.0.1:2")
	if k.dialed == nil || k.delay != 0 {
		t.Errorf("not dialled, its wait is %d", k.delay)
	}
	first := k.dialed
	if l.moveLink(k, "127.0.0.1:3"); k.dialed == first || k.dialed == nil {
		t.Error("a dial to the old address holds up the new one")
	}
	e := &linkDialed{dialed: first, err: errClosed}
	if l.linkDialed(e); k.dialed == nil || k.delay != 0 {
		t.Error("the end of the old dial counts against the new one")
	}
}

// The store moves to another address while a connection to the old one is being opened, and the old dial succeeds
// after that. Its connection must not be taken for the new one, over which the call that waits would be sent before
// it is open.
func TestOldDialOfMovedStore(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{loopTime: loopTime{now: 1000},
		crossGoroutine: crossGoroutine{log: log, events: make(chan event, 4), limits: NewLimits(1, 64, 256)},
		upstreams:      upstreams{dialTo: dialTCP, store: newTestStoreConnections("127.0.0.1:1", NewLimits(1, 64, 256))},
		requestsInHand: requestsInHand{requests: newTable[request](2)}}
	h, r, _ := l.requests.take()
	at, c, _ := l.store.connections.take()
	old := &dialed{peer: peerStore, storeConn: at, parser: l.store.parser}
	*c = storeConnection{dialed: old, calls: []handle{h}}
	r.setCall(callQueued)
	r.storeConn = at
	l.moveStore("127.0.0.1:2")
	l.linkDialed(&linkDialed{dialed: old})
	if r.call != callQueued || old.writer != nil || c.dialed == old {
		t.Errorf("the old dial counts: call state %d", r.call)
	}
}

// An answer proves that commands were read only once it is older than what a break may take with it.
func TestProofIsLate(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 10000}, crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)}}
	k := &l.kernel
	k.state, k.sent = kernelLive, 7
	for _, step := range []struct {
		at    admission.Time
		acked uint64
	}{{10000, 0}, {10500, 0}, {11000, 7}} {
		l.now = step.at
		if l.gaugesReceived(&wire.KernelEvent{Nonce: []byte("7")}); k.provenRead != step.acked {
			t.Errorf("at %d commands to %d count as read, expected %d", l.now, k.provenRead, step.acked)
		}
	}
}

// With as many connections as clients may open and as many results as are kept, the program stays well
// inside the memory and descriptors it is told of.
func TestFullTables(t *testing.T) {
	n := start(t, map[string]string{"memory_mb": "64", "sockets": "1024", "window": "60000000"})
	go func() { // the kernel serves whatever comes with the largest result
		for line, ok := n.kernel.next("SYSINFO"); ok; line, ok = n.kernel.next("SYSINFO") {
			if w := strings.Fields(line); w[0] == "SCHED" {
				n.kernel.sendEvent("REAP", w[1], "OK", strings.Repeat("r", 4096))
			}
		}
	}()
	var conns []net.Conn
	for range 512 {
		conns = append(conns, n.dial())
	}
	done := 0
	for pass := range 4 {
		for i, c := range conns {
			fmt.Fprintf(c, "POST /rpc/put HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
				"Footprint-Kb: 1\r\nOnce-Key: %d-%d\r\nContent-Length: 2048\r\n\r\n%s", pass<<16+i+1,
				time.Now().UnixMilli(), pass, i, strings.Repeat("b", 2048))
		}
		for _, c := range conns {
			a, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(a.Body)
			if err != nil || a.StatusCode == 200 && len(body) != 4096 {
				t.Fatalf("%d bytes, %v", len(body), err)
			}
			if a.StatusCode == 200 {
				done++
			}
		}
	}
	proc := fmt.Sprintf("/proc/%d/", n.cmd.Process.Pid)
	status, err := os.ReadFile(proc + "status")
	if err != nil {
		t.Skip("no /proc here to read the memory from")
	}
	files, _ := os.ReadDir(proc + "fd")
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	kb := 0
	fmt.Sscan(peak, &kb)
	t.Logf("%d done, %d KB at the peak, %d descriptors", done, kb, len(files))
	if done < 1024 || kb == 0 || kb > 56<<10 || len(files) < 512 || len(files) > 560 {
		t.Errorf("%d done, %d KB at the peak, %d descriptors", done, kb, len(files))
	}
}

// With a tenth of a core the last answers of a drain go out further ahead of the kill: a standstill of some ms of work
// takes ten times as long there. A short notice bounds it.
func TestDrainOnLittleCore(t *testing.T) {
	for _, c := range []struct {
		cores        float64
		stop, before admission.Time
	}{{1, 24_000, 380}, {0.1, 24_000, 1100}, {0.1, 4000, 500}} {
		l := &loop{loopTime: loopTime{now: 5000}, drainState: drainState{killDelay: c.stop},
			crossGoroutine: crossGoroutine{limits: NewLimits(c.cores, 64, 256)}}
		l.startDrain()
		if r := l.nextRound(); !r.Drain || r.KillAt != 5000+c.stop-c.before {
			t.Errorf("%.1f cores, notice of %d: the module hears of a kill at %d, expected %d before %d", c.cores,
				c.stop, r.KillAt,
				c.before, 5000+c.stop)
		}
	}
}

// A run that does not end is answered before the kill of its program.
func TestDrainAnswers(t *testing.T) {
	n := start(t, map[string]string{"cores": "0.1", "stop_ms": "2400"})
	c := n.dial()
	fmt.Fprintf(c, "POST /rpc/act HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
		"Footprint-Kb: 1\r\nContent-Length: 0\r\n\r\n", 1, time.Now().UnixMilli())
	if line, ok := n.kernel.next("SYSINFO"); !ok || !strings.HasPrefix(line, "OPEN") {
		t.Fatalf("the kernel hears %q", line)
	}
	if line, ok := n.kernel.next("SYSINFO"); !ok || !strings.HasPrefix(line, "SCHED") {
		t.Fatalf("the kernel hears %q, expected a run", line)
	}
	n.cmd.Process.Signal(syscall.SIGTERM)
	told := time.Now()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	left := 2400*time.Millisecond - time.Since(told)
	if err != nil || a.StatusCode != 500 || left < 0 {
		t.Errorf("%v, %v, %v before the kill, expected 500 before it", a, err, left)
	}
	c.Close()
	<-n.ended
}

// TestCallsGivenUp: a call that nobody waited for to the end counts with the time that it had, or a service that
// answers nothing would look like one that nobody calls.
func TestCallsGivenUp(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 5000}, crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)},
		requestsInHand: requestsInHand{requests: newTable[request](8)},
		fleet:          &fleetAgent{clock: bootTime, meter: zonegate.NewMeter(bootTime(), []float64{1})}}
	r := &request{lifecycle: lifecycle{call: callSent}, storeCall: storeCall{callStarted: 2000}}
	l.cancelCall(1, r)
	l.cancelCall(1, r) // there is none any more
	if got := l.fleet.meter.Report(bootTime(), true, 1, 0); got.Calls != 1 || got.MeanCallMS != 300 ||
		got.FailedCalls != 0 {
		t.Errorf("%d calls, %.0f ms, %d bad, expected one of 300 ms that is not known to be bad", got.Calls,
			got.MeanCallMS, got.FailedCalls)
	}
}

// The store forgets a call. Its run would hold its slot until the request's deadline, so the call is given up by its
// own; one that never left is proven not to have run, one that did may have.
func TestCallThatTheStoreForgets(t *testing.T) {
	const deadline = 5000
	limits := NewLimits(1, 64, 256)
	tests := map[string]struct {
		call  callState
		after admission.Time // the deadline of the call
		ends  []admission.Outcome
	}{
		"a timer of the call before": {callSent, 0, nil},
		"it never left":              {callQueued, limits.CallGrace, []admission.Outcome{admission.NotExecuted}},
		"it left":                    {callSent, limits.CallGrace, []admission.Outcome{admission.Unknown}},
		"there is none any more":     {callNone, limits.CallGrace, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &loop{loopTime: loopTime{now: deadline + test.after}, crossGoroutine: crossGoroutine{limits: limits},
				requestsInHand: requestsInHand{requests: newTable[request](8)}}
			h, r, _ := l.requests.take()
			*r = request{lifecycle: lifecycle{run: runRunning, call: test.call},
				storeCall: storeCall{callDeadline: deadline}}
			l.callTimedOut(h)
			var ends []admission.Outcome
			for _, end := range l.nextRound().CallEnds {
				ends = append(ends, end.Outcome)
			}
			if !slices.Equal(ends, test.ends) {
				t.Errorf("the controller hears of %v, expected %v", ends, test.ends)
			}
		})
	}
}

// Where two times are possible for a stamp, each rule goes by the one that is safe for it: the deadline and whom a
// request repeats by the earlier, the window of its key and the grace of a drain by the later.
func TestStampWithTwoPlaces(t *testing.T) {
	at, wall := time.Hour, 100*time.Hour
	read := func() clock.Reading { return clock.Reading{Monotonic: at, Wall: wall} }
	d := &admission.Deployment{Cores: 1, MemoryKB: 1e6,
		Handlers: []admission.Handler{{LatencyObjective: 3 * admission.Second,
			Timeout: 6 * admission.Second, RetrySafety: admission.IdempotencyKeyed,
			IdempotencyWindow: 8 * admission.Second}}}
	l := &loop{configuration: configuration{names: []string{"put"},
		settings: &settings.Startup{Deployment: d, HandlerIndex: map[string]int{"put": 0}}},
		requestsInHand: requestsInHand{idempotency: newIdempotencyTable(2000, 1000, 6*admission.Second),
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
		t.Fatalf("a step of %v is seen", step)
	}
	l.idempotency.remember(l.repeatKey(0, &wire.Request{IdempotencyKey: []byte("k")}), 77, l.now-admission.Second,
		&l.timers)
	c := &connection{}
	e := &requestRead{peer: &peer{}, request: wire.Request{ID: []byte("0000000000000001"),
		ReceivedAtMS: stamp.Milliseconds(),
		HasCaller:    true, FootprintKB: 1, IdempotencyKey: []byte("k")}}
	if status := l.receiveRequest(c, e, "put", &wire.Response{}); status != 0 || len(l.nextRound().Arrived) != 1 {
		t.Fatalf("status %d, %d are told to the module", status, len(l.nextRound().Arrived))
	}
	l.orderArrivals(l.nextRound().Arrived)
	q := l.nextRound().Arrived[0]
	earliest := timeOf(time.Hour)
	if q.Deadline != earliest+6*admission.Second || q.ArrivedAt != l.now || q.PreviousID != 77 {
		t.Errorf("due %d, came %d, repeats %d; expected %d, %d and 77", q.Deadline, q.ArrivedAt, q.PreviousID,
			earliest+6*admission.Second, l.now)
	}
}

package server

// Tests of failing system calls, forced through a seam or a resource that the test holds.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/config"
	"umberwinch/internal/node/agent"
)

// failingConn is a connection whose flushes fail with errs, one after the other, before they succeed.
type failingConn struct {
	netpoll.Connection
	netpoll.Writer
	errs   []error
	unsent []byte
	sent   bytes.Buffer
	closed chan bool
}

func (f *failingConn) Write(b []byte) (int, error) {
	f.unsent = append(f.unsent, b...)
	return len(b), f.Flush()
}

func (f *failingConn) Flush() error {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return netpoll.Exception(err, "when flush")
	}
	f.sent.Write(f.unsent)
	f.unsent = nil
	return nil
}

func (f *failingConn) Close() error { close(f.closed); return nil }

// failingWriter is a failingConn as netpoll's Writer.
type failingWriter struct{ *failingConn }

func (w failingWriter) Writer() netpoll.Writer { return w.failingConn }

func (f *failingConn) Release() error { return nil }

// A write with a transient error is sent completely and once; after a permanent error the connection is closed.
func TestWriteRetriesTransientErrors(t *testing.T) {
	for name, c := range map[string]struct {
		errs []error
		sent bool
	}{
		"no failure":       {nil, true},
		"interrupted":      {[]error{syscall.EINTR}, true},
		"no memory":        {[]error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}, true},
		"reset":            {[]error{syscall.ECONNRESET}, false},
		"timed out":        {[]error{syscall.ETIMEDOUT}, false},
		"no route":         {[]error{syscall.EHOSTUNREACH}, false},
		"broken":           {[]error{syscall.EPIPE}, false},
		"too many retries": {repeatError(syscall.ENOBUFS, 20), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &failingConn{errs: c.errs, closed: make(chan bool)}
			p, busy := bufferPool{capacity: 8}, atomic.Int64{}
			w := &writer{conn: failingWriter{f}, pool: &p, busy: &busy}
			w.send([]byte("answer"), 4)
			if !waitUntil(func() bool { return busy.Load() == 0 }) {
				t.Error("the writer is still busy")
			}
			if got := f.sent.String(); c.sent != (got == "answer") {
				t.Errorf("sent = %q, want all sent: %v", got, c.sent)
			}
			select {
			case <-f.closed:
				if c.sent {
					t.Error("connection is closed, want open")
				}
			default:
				if !c.sent {
					t.Error("connection is open, want closed")
				}
			}
			if p.inUse != 0 {
				t.Errorf("buffers in use = %d, want 0", p.inUse)
			}
		})
	}
}

func repeatError(err error, n int) (out []error) {
	for range n {
		out = append(out, err)
	}
	return out
}

// A failed connect proves that its call was not executed, whatever the error, and the next call dials again.
func TestConnectErrorMeansCallNotExecuted(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
		syscall.ECONNREFUSED,
		syscall.ETIMEDOUT, syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			l := newManualLoop(t, 4)
			store := newFakeStore(t)
			connectErr := errno
			l.dialTo = func(address string, timeout time.Duration) (netpoll.Connection, error) {
				if connectErr != 0 {
					return nil, netpoll.Exception(connectErr, address)
				}
				return dialTCP(address, timeout)
			}
			l.store = newTestStoreConnections(store.addr, l.limits)
			h, r, _ := l.requests.take()
			*r = request{id: wireID("1"), lifecycle: lifecycle{run: runRunning},
				storeCall: storeCall{callBody: []byte("q")}}
			l.startCall(h, r, l.now+admission.Second)
			l.handleEvents(1)
			if got := l.nextRound().CallEnds; len(got) != 1 || got[0].Outcome != admission.NotExecuted {
				t.Fatalf("call ends = %v, want one with outcome NotExecuted", got)
			}
			connectErr = 0
			l.now += l.limits.MaxBackoff
			l.startCall(h, r, l.now+admission.Second)
			l.handleEvents(1)
			if line, ok := store.next(""); !ok || line != "CALL 1 q" {
				t.Errorf("store received %q, want %q", line, "CALL 1 q")
			}
		})
	}
}

func newTestStoreConnections(address string, limits Limits) storeConnections {
	return storeConnections{addr: address, connections: newTable[storeConnection](2),
		parser: storeParser(limits.LinkBounds)}
}

// Backoff doubles up to a limit and is jittered, so that nodes that lose a peer together don't reconnect together.
func TestBackoffHasJitter(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 1000}, crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)}}
	seen := map[admission.Time]bool{}
	for range 20 {
		var b backoff
		for range 10 {
			b.recordFailure(l.now, &l.limits)
			if wait := b.notBefore - l.now; wait < b.delay/2 || wait > b.delay || b.delay > l.limits.MaxBackoff {
				t.Fatalf("wait = %d, want between %d and %d, at most %d", wait, b.delay/2, b.delay, l.limits.MaxBackoff)
			}
		}
		seen[b.notBefore] = true
	}
	if len(seen) < 10 {
		t.Errorf("distinct waits = %d of 20, want at least 10", len(seen))
	}
}

// Nodes started together don't report together, and none later than ReportInterval.
func TestReportsAreSpread(t *testing.T) {
	l := &loop{loopTime: loopTime{now: 1000}, crossGoroutine: crossGoroutine{limits: NewLimits(1, 64, 256)}}
	seen := map[admission.Time]bool{}
	for range 50 {
		wait := l.nextReport() - l.now
		if wait > l.limits.ReportInterval || wait < l.limits.ReportInterval*7/8 {
			t.Fatalf("next report after %d, want between %d and %d", wait, l.limits.ReportInterval*7/8,
				l.limits.ReportInterval)
		}
		seen[wait] = true
	}
	if len(seen) < 25 {
		t.Errorf("distinct report times = %d of 50, want at least 25", len(seen))
	}
}

// An address still held by the previous process is waited for; one that can't be listened on is an error.
func TestListenRetriesAddressInUse(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := NewLimits(1, 64, 256)
	address, warnings := holder.Addr().String(), make(chan error, 1)
	go func() {
		if err := <-warnings; !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("warning = %v, want %v", err, syscall.EADDRINUSE)
		}
		holder.Close()
	}()
	ln, err := listenWithRetry(address, limits, func(err error) { warnings <- err })
	if err != nil {
		t.Fatal(err)
	}
	ln.file.Close()
	startedAt := time.Now()
	if _, err = listenWithRetry("203.0.113.1:1", Limits{ListenTimeout: 0}, func(error) {}); err == nil {
		t.Error("listen on another machine's address succeeded, want an error")
	}
	if _, err = listenWithRetry("127.0.0.1:none", limits, func(error) {}); err == nil ||
		time.Since(startedAt) > limits.ListenTimeout/2 {
		t.Errorf("err = %v after %v, want an error at once", err, time.Since(startedAt))
	}
}

// A reader of the log that stops reading, or exits, neither delays requests nor ends the program.
func TestServesWithoutLogReader(t *testing.T) {
	for _, reader := range []string{"stops reading", "exits"} {
		t.Run(reader, func(t *testing.T) {
			t.Parallel()
			n := &node{t: t, overrides: map[string]string{}, kernel: newFakeKernel(t), store: newFakeStore(t),
				discovery: newFakeDiscovery(t)}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			n.addr = ln.Addr().String()
			ln.Close()
			n.file = filepath.Join(t.TempDir(), "config.json")
			n.writeStartupFile("")
			read, write, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			n.cmd, n.ended = exec.Command(program), make(chan struct{})
			n.cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.file, "UMBERWINCH_LOG=debug")
			n.cmd.Stderr = write
			if err := n.cmd.Start(); err != nil {
				t.Fatal(err)
			}
			write.Close()
			if reader == "exits" {
				read.Close()
			} else {
				defer read.Close()
			}
			go func() {
				n.err = n.cmd.Wait()
				close(n.ended)
			}()
			t.Cleanup(func() {
				n.cmd.Process.Kill()
				<-n.ended
			})
			c := n.dial()
			r := bufio.NewReader(c)
			for i := range 600 { // each logs some 200 bytes; a pipe holds 64 KB
				fmt.Fprintf(c, "POST /rpc/get HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
					"Footprint-Kb: 1\r\nBudget-Ms: 1\r\n\r\n", i+1, time.Now().UnixMilli())
				expectResponse(t, r, 503)
			}
			fmt.Fprintf(c, "GET /health HTTP/1.1\r\n\r\n")
			expectResponse(t, r, 200)
		})
	}
}

// A node killed while it writes its record keeps the previous record, and unfinished files are removed.
func TestKillDuringRecordWriteKeepsPreviousRecord(t *testing.T) {
	folder := t.TempDir()
	if err := writeRecordFile(folder, &agent.Record{ActiveVersion: 7, ActiveText: "seven"}); err != nil {
		t.Fatal(err)
	}
	next, err := json.Marshal(agent.Record{ActiveVersion: 8, ActiveText: "eight"})
	if err != nil {
		t.Fatal(err)
	}
	for n := range next { // n bytes were written, and the file was not renamed
		name := filepath.Join(folder, fmt.Sprintf("%s.%d", recordFile, n))
		if err := os.WriteFile(name, next[:n], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := removeUnfinished(folder); err != nil {
		t.Fatal(err)
	}
	var r agent.Record
	if found, err := loadRecord(folder, &r); !found || err != nil || r.ActiveVersion != 7 || r.ActiveText != "seven" {
		t.Errorf("loadRecord() = %v, %v with record %+v, want the previous record", found, err, r)
	}
	if files, _ := os.ReadDir(folder); len(files) != 1 {
		t.Errorf("files in the folder = %d, want 1", len(files))
	}
}

// On a full disk the record is written again after a pause, not at once.
func TestRecordWriteRetriesAfterPause(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{crossGoroutine: crossGoroutine{log: log, events: make(chan event, 4), limits: NewLimits(1, 64, 256)}}
	f := &fleetAgent{host: l, clock: bootTime, log: log,
		config: &config.Fleet{Folder: filepath.Join(t.TempDir(), "missing")},
		agent:  agent.New(agent.Config{Name: "n1", ControlAddresses: []string{"127.0.0.1:1"}}, nil, bootTime()),
		record: recordStore{writing: true}}
	f.recordStored(bootTime(), 0, syscall.ENOSPC)
	r := &f.record
	if r.writing || !r.pending {
		t.Fatalf("writing = %v, pending = %v, want false and true", r.writing, r.pending)
	}
	if f.storePending(r.retryAt - 1); r.writing {
		t.Error("record is written before its pause is over")
	}
	if f.storePending(r.retryAt); !r.writing || r.pending {
		t.Error("record is not written after its pause")
	}
	e := (<-l.events).(callback)
	if e.then(); r.writing || !r.pending {
		t.Error("write of the record to a missing folder succeeded")
	}
}

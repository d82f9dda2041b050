package server

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
)

// discardingConn is a connection whose peer reads everything at once.
type discardingConn struct{ netpoll.Connection }

func (discardingConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardingConn) Close() error                { return nil }

// newBenchLoop returns a loop with a running kernel and one client connection, without sockets.
func newBenchLoop(b *testing.B) (*loop, *peer) {
	b.Helper()
	const text = `{"classes":[{"name":"get","gain":1,"give_up":6000000,"promise":2000000,"semantics":"idempotent"}],
		"family_info":{"below":"tier","cores":2,"memory_kb":50000,"meters":["core_use","on_cores","heap_share","links"],
		"run_factor":2,"senders":2},"fleet_size":2,"granularity":2000}`
	startup, err := settings.Parse(json.RawMessage(text))
	if err != nil {
		b.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	limits := NewLimits(2, 64, 256)
	l := newLoop(&StartupFile{Name: "n1", StopMS: 3000, settings: startup}, limits, log, newWorkers(limits.Workers))
	d := &dialAttempt{peer: peerKernel}
	d.writer = &writer{conn: discardingConn{}, pool: &l.pool, workers: l.workers, busy: &l.busy}
	l.kernel.dialed, l.kernel.state = d, kernelLive
	l.controller = admission.New(l.settings.Deployment)
	h, c, _ := l.connections.take()
	p := &peer{handle: h}
	p.writer = writer{conn: discardingConn{}, pool: &l.pool, workers: l.workers, busy: &l.busy, sendsResponses: true}
	c.peer, c.openedAt, c.lastActive = p, l.now, l.now
	return l, p
}

// awaitWriters waits for the writers, whose queues are limited and which are slower than the loop.
func awaitWriters(l *loop) {
	for l.busy.Load() > 0 {
		runtime.Gosched()
	}
}

// BenchmarkLoopRequest measures the loop's cost of a request: read, check, decision, run, run end and response.
func BenchmarkLoopRequest(b *testing.B) {
	l, p := newBenchLoop(b)
	var text, event []byte
	b.ReportAllocs()
	for n := 1; b.Loop(); n++ {
		l.updateTime()
		text = fmt.Appendf(text[:0], "POST /rpc/get HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
			"Footprint-Kb: 1\r\nContent-Length: 4\r\n\r\nbody", n, time.Now().UnixMilli())
		buffer := l.pool.get()
		buffer.length = copy(buffer.data[:], text)
		read, size, err := p.parse(buffer, &l.limits)
		if err != nil || size != len(text) {
			b.Fatalf("parsed %d bytes, %v, want %d", size, err, len(text))
		}
		p.pipelined.Add(1)
		l.handle(read)
		l.decide()
		l.finishRound()
		event = fmt.Appendf(event[:0],
			`{"verb":"REAP","index":%d,"task":"%016x","outcome":"OK","spent":1,"bytes":"Ym9keQ=="}`, n, n)
		buffer = l.pool.get()
		buffer.length = copy(buffer.data[:], event)
		e := &buffer.kernel
		e.dialed, e.buffer = l.kernel.dialed, buffer
		if e.event, err = wire.ParseKernelEvent(buffer.bytes()); err != nil {
			b.Fatal(err)
		}
		l.handle(e)
		l.decide()
		l.finishRound()
		awaitWriters(l)
	}
	if l.requests.used != 0 || l.counters.Succeeded != l.counters.Requests || l.counters.Succeeded == 0 {
		b.Fatalf("requests in progress = %d, succeeded = %d of %d, want 0 and all", l.requests.used,
			l.counters.Succeeded, l.counters.Requests)
	}
}

// BenchmarkLoopRejection measures the loop's cost of a request rejected before the controller.
func BenchmarkLoopRejection(b *testing.B) {
	l, p := newBenchLoop(b)
	l.controller = nil
	var text []byte
	b.ReportAllocs()
	for n := 1; b.Loop(); n++ {
		l.updateTime()
		text = fmt.Appendf(text[:0], "POST /rpc/get HTTP/1.1\r\nRequest-Id: %016x\r\nReceived-At: %d\r\nSent-By: 1\r\n"+
			"Footprint-Kb: 1\r\nContent-Length: 4\r\n\r\nbody", n, time.Now().UnixMilli())
		buffer := l.pool.get()
		buffer.length = copy(buffer.data[:], text)
		read, _, err := p.parse(buffer, &l.limits)
		if err != nil {
			b.Fatal(err)
		}
		p.pipelined.Add(1)
		l.handle(read)
		l.decide()
		l.finishRound()
		awaitWriters(l)
	}
	if l.requests.used != 0 || l.counters.Requests != 0 {
		b.Fatalf("requests in progress = %d, accepted = %d, want 0 and 0", l.requests.used, l.counters.Requests)
	}
}

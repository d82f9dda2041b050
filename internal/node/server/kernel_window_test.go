package server

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
)

// discardConn is a connection that accepts everything.
type discardConn struct{ netpoll.Connection }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardConn) Close() error                { return nil }

// The handlers of loopWithKernel.
const (
	retryableHandler = iota
	keyedHandler
	nonRetryableHandler
)

// loopWithKernel returns a loop whose link to the kernel is live.
func loopWithKernel() *loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	handlers := []admission.Handler{{RetrySafety: admission.Retryable, DegradedValue: 0.5},
		{RetrySafety: admission.IdempotencyKeyed}, {RetrySafety: admission.NonRetryable}}
	l := &loop{loopTime: loopTime{now: 10 * admission.Second}, crossGoroutine: crossGoroutine{log: log,
		events: make(chan event, 16), limits: NewLimits(1, 64, 256)},
		configuration: configuration{names: []string{"get", "put", "act"}, settings: &settings.Startup{
			Deployment: &admission.Deployment{Cancellation: admission.CancelPause, Handlers: handlers}}},
		inFlightRequests: inFlightRequests{requests: newTable[request](16), byRequestID: map[string]handle{}}}
	l.requests.slots = make([]slot[request], 0, l.requests.capacity) // requests stay where they are
	l.pool.capacity = l.limits.Buffers
	l.kernel.dialed = &dialAttempt{peer: peerKernel,
		writer: &writer{conn: discardConn{}, pool: &l.pool, busy: &atomic.Int64{}}}
	l.kernel.state = kernelLive
	return l
}

// startRunOf adds a request of a handler and sends its start to the kernel.
func (l *loop) startRunOf(handler int) (handle, *request) {
	h, r, _ := l.requests.take()
	*r = request{id: fmt.Sprint(h), handler: handler, lifecycle: lifecycle{run: runRunning},
		deadline: l.now + 2*admission.Second}
	l.byRequestID[r.id] = h
	l.sendRun(r)
	return h, r
}

// answerGauges handles the response to the gauges request with this number.
func (l *loop) answerGauges(number uint64) {
	l.gaugesReceived(&wire.KernelEvent{Nonce: []byte(fmt.Sprint(number))})
}

// Commands that must not be read twice are sent one round at a time. Guards against many of them that are lost with the
// link of a kernel that has stopped reading; each would cost its request an error.
func TestCommandsWaitForKernel(t *testing.T) {
	l := loopWithKernel()
	k := &l.kernel
	_, first := l.startRunOf(keyedHandler)
	_, second := l.startRunOf(nonRetryableHandler)
	if first.runCommand == unsentCommand || second.runCommand == unsentCommand {
		t.Errorf("start commands of one round = %d, %d, want both sent", first.runCommand, second.runCommand)
	}
	l.finishRound()
	_, waiting := l.startRunOf(keyedHandler)
	waiting.stop()
	l.sendStop(waiting)
	_, retryable := l.startRunOf(retryableHandler)
	first.callResult = callResultReply
	l.sendCallResult(first)
	if waiting.runCommand != unsentCommand || waiting.stopCommand != unsentCommand ||
		retryable.runCommand == unsentCommand || first.callResultCommand != unsentCommand {
		t.Errorf("before the response: start = %d, its stop = %d, retryable start = %d, reply = %d, want only the retryable sent",
			waiting.runCommand, waiting.stopCommand, retryable.runCommand, first.callResultCommand)
	}
	l.answerGauges(k.window.request)
	if waiting.runCommand != retryable.runCommand+1 || waiting.stopCommand != waiting.runCommand+1 ||
		first.callResultCommand != waiting.stopCommand+1 {
		t.Errorf("after the response: start = %d, its stop = %d, reply = %d, want %d and the following numbers",
			waiting.runCommand, waiting.stopCommand, first.callResultCommand, retryable.runCommand+1)
	}
}

// A kernel that responds slowly delays commands for a limited time only; those that still wait as the link ends were
// never sent, and go out over the next one.
func TestCommandDelayIsLimited(t *testing.T) {
	l := loopWithKernel()
	l.startRunOf(keyedHandler)
	l.finishRound()
	_, slow := l.startRunOf(keyedHandler)
	l.now += l.limits.MaxCommandDelay
	l.fireTimers()
	if slow.runCommand == unsentCommand {
		t.Errorf("start waits for longer than %d", l.limits.MaxCommandDelay)
	}
	l.finishRound()
	if _, next := l.startRunOf(keyedHandler); next.runCommand == unsentCommand {
		t.Error("start waits although the kernel is known to be slow")
	}
	l.finishRound()
	l.answerGauges(l.kernel.window.request)
	l.startRunOf(keyedHandler)
	l.finishRound()
	h, unsent := l.startRunOf(keyedHandler)
	if unsent.runCommand != unsentCommand {
		t.Fatal("start does not wait although the kernel responds again")
	}
	l.kernelDown()
	l.kernel.state = kernelReplaying
	l.replayComplete()
	if r := l.requests.get(h); r.runCommand == unsentCommand || l.counters.CommandsInDoubt == 0 {
		t.Errorf("over the next link: start = %d, commands in doubt = %d, want it sent, and earlier ones in doubt", r.runCommand,
			l.counters.CommandsInDoubt)
	}
}

package server

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
)

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
	l.kernel.peer = peerKernel
	l.connectKernel()
	l.kernel.state = kernelLive
	return l
}

// connectKernel opens a link to the kernel.
func (l *loop) connectKernel() {
	l.kernel.dialed = &dialAttempt{peer: peerKernel,
		writer: &writer{conn: discardingConn{}, pool: &l.pool, busy: &atomic.Int64{}}}
	l.kernelUp()
}

// awaitSent waits until the kernel's link has sent its queue.
func (l *loop) awaitSent() {
	writer := l.kernel.dialed.writer
	waitUntil(func() bool { return writer.busy.Load() == 0 })
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

// Commands that must not be read twice are sent once the kernel has responded. Guards against many of them that are
// lost with the link of a kernel that has stopped reading; each would cost its request an error.
func TestCommandsWaitForResponse(t *testing.T) {
	l := loopWithKernel()
	_, first := l.startRunOf(keyedHandler)
	_, second := l.startRunOf(nonRetryableHandler)
	second.stop()
	l.sendStop(second)
	_, third := l.startRunOf(retryableHandler)
	third.callResult = callResultReply
	l.sendCallResult(third)
	if third.runCommand != 1 || first.runCommand != unsentCommand || second.runCommand != unsentCommand ||
		second.stopCommand != unsentCommand || third.callResultCommand != unsentCommand {
		t.Errorf("before the response: starts = %d, %d, stop = %d, retryable start = %d, its reply = %d, want only the "+
			"retryable start sent", first.runCommand, second.runCommand, second.stopCommand, third.runCommand,
			third.callResultCommand)
	}
	l.finishRound()
	l.now++
	l.answerGauges(l.kernel.gate.request)
	if first.runCommand != 3 || second.runCommand != 4 || second.stopCommand != 5 || third.callResultCommand != 6 {
		t.Errorf("after the response: starts = %d, %d, stop = %d, reply = %d, want 3 to 6", first.runCommand,
			second.runCommand, second.stopCommand, third.callResultCommand)
	}
	if _, next := l.startRunOf(keyedHandler); next.runCommand != 7 {
		t.Errorf("start in the round of the response = %d, want 7", next.runCommand)
	}
}

// A kernel that responds slowly delays commands for a limited time only; those that still wait as the link ends were
// never sent, and go out over the next one.
func TestCommandDelayIsLimited(t *testing.T) {
	l := loopWithKernel()
	_, slow := l.startRunOf(keyedHandler)
	l.finishRound()
	l.now += l.limits.MaxCommandDelay
	l.fireTimers()
	if slow.runCommand == unsentCommand {
		t.Errorf("start waits for longer than %d", l.limits.MaxCommandDelay)
	}
	if _, next := l.startRunOf(keyedHandler); next.runCommand == unsentCommand {
		t.Error("start waits although the kernel is known to be slow")
	}
	l.answerGauges(l.kernel.gate.request)
	l.now++
	_, unsent := l.startRunOf(keyedHandler)
	l.finishRound()
	if unsent.runCommand != unsentCommand {
		t.Fatal("start does not wait although the kernel responds again")
	}
	l.reconnect()
	if unsent.runCommand == unsentCommand || l.counters.CommandsInDoubt != 2 || l.counters.CommandsResent != 0 {
		t.Errorf("over the next link: start = %d, commands in doubt = %d, resent = %d, want it sent, and 2 and 0",
			unsent.runCommand, l.counters.CommandsInDoubt, l.counters.CommandsResent)
	}
}

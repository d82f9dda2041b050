package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// request is a request in progress: from the end of its checks until its response is sent, its run has ended and it
// waits for no result. It has a slot in the request table and belongs to the loop.
type request struct {
	lifecycle

	id              string // Request-Id, also used towards the kernel and the store
	connection      handle
	closeAfter      bool // its connection closes after the response
	handler         int
	keyed           *keyedRequest // nil: its result is not stored
	buf             *buffer       // holds the message with body
	body            []byte
	repeatKey       string         // shared with its repeats (repeatKey); empty if it can't have any
	earliestArrival admission.Time // earliest possible arrival; before arrival if the wall clock was stepped
	arrival         admission.Time
	deadline        admission.Time

	kernelCommands
	storeCall
}

// kernelCommands are the commands about a run that may have to be sent to the kernel again.
type kernelCommands struct {
	// Sequence numbers of the last commands; 0: none that may have been lost.
	runCommand, callResultCommand, stopCommand uint64

	resumeSent bool       // the last start command was a resume; the controller sends none, see loop.Stop
	callResult callResult // the last result of a call sent to the kernel
	reply      []byte     // the store's reply, as sent to the kernel

	startInDoubt      bool // the kernel may or may not have read the start, which must not be sent again yet
	startAcknowledged bool // a gauges request after the start in doubt was answered
	eventsLost        bool // the kernel no longer had all events since the run's last one
}

// hasUnsentCommand reports whether the run's start, or the result of its call, waits to be sent.
func (c *kernelCommands) hasUnsentCommand() bool {
	return c.runCommand == unsentCommand || c.callResult != noCallResult && c.callResultCommand == unsentCommand
}

// storeCall is the store call that a run is waiting for, or its last one.
type storeCall struct {
	callBody                  []byte
	callSequence              uint64 // sequence number of the kernel event that asked for it
	callStarted, callDeadline admission.Time
	storeConn                 handle   // that the call was sent on or is queued for
	usedStoreConns            []handle // that carried a call of this request
}

// callResult is what a run resumes with after a call.
type callResult uint8

const (
	noCallResult callResult = iota
	callResultReply
	callResultSkipped
)

// findRequest returns the request in progress with an id; nil if there is none.
func (in *inFlightRequests) findRequest(id []byte) (handle, *request) {
	h := in.byRequestID[string(id)]
	return h, in.requests.get(h)
}

// runEnded handles the end of a run: its result is the response to the request and to its waiting repeats. The result
// of a keyed run is kept for repeats even if the client is gone: see row "client disconnected" in
// docs/design/shutdown.md.
func (l *loop) runEnded(h handle, r *request, outcome admission.Outcome, elapsedMS float64, result []byte) {
	if l.debug {
		l.traceWith(r.id, traceRunEnded, logrus.Fields{logging.Outcome: outcomeNames[outcome],
			logging.ElapsedMS: elapsedMS})
	}
	r.endRun()
	l.counters.RunEnds++
	l.cancelCall(h, r)
	l.maybeFinished = append(l.maybeFinished, h)
	l.nextRound().RunEnds = append(l.nextRound().RunEnds,
		admission.RunEnd{ID: uint32(h), Outcome: outcome, Elapsed: admission.Time(elapsedMS * unitsPerMS)})
	l.fleet.runEnded(uint32(h), outcome, elapsedMS, admission.Time(elapsedMS*unitsPerMS))
	ok := outcome == admission.Succeeded
	if r.keyed != nil {
		if l.results.end(h, r, outcome, result) {
			return
		}
		ok = false // without a durable result only an error may be sent
	}
	waiters := l.idempotency.runEnded(r.repeatKey, uint32(h), ok, result)
	switch {
	case ok:
		l.answer(h, r, wire.Response{Status: wire.StatusOK, Body: result})
	case outcome == admission.NotExecuted:
		// The kernel refused the run because of the client's request, see commandRejected. If the result keeper ended
		// the run before its start, the request is already answered.
		l.answer(h, r, wire.Response{Status: wire.StatusBadRequest})
	case r.outcomeIsResponse(outcome):
		l.answer(h, r, wire.Response{Status: wire.StatusInternalServerError})
	}
	for _, waiter := range waiters {
		l.sharedResultReady(waiter, ok, result)
	}
}

// releaseFinished frees the slots of requests that are over.
func (l *loop) releaseFinished() {
	for _, h := range l.maybeFinished {
		r := l.requests.get(h)
		if r == nil || !r.isOver() {
			continue
		}
		l.pool.put(r.buf)
		if l.byRequestID[r.id] == h {
			delete(l.byRequestID, r.id)
		}
		l.requests.drop(h)
	}
	l.maybeFinished = l.maybeFinished[:0]
}

// unitsPerMS is the number of units of admission.Time in a millisecond.
const unitsPerMS = float64(admission.Second) / 1000

// milliseconds converts a time to milliseconds, for logs.
func milliseconds(t admission.Time) float64 { return float64(t) / unitsPerMS }

// wholeMilliseconds converts a time to milliseconds, rounded up so that clients don't retry too early.
func wholeMilliseconds(t admission.Time) int64 { return int64(t+9) / 10 }

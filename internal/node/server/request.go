package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// request is one request in hand: from the end of its checks until its response is given, its run has ended and no
// result is awaited. It has a place in the loop's request table and belongs to the loop alone.
type request struct {
	lifecycle

	id              string // as the kernel and the store know it
	connection      handle
	closeAfter      bool // its connection is not to be used again
	handler         int
	keyed           *keyedRequest // nil: its result is not stored
	buf             *buffer       // the message, of which body is a part
	body            []byte
	key             string         // shared with its repeats in this process (repeatKey); empty if there can be none
	earliestArrival admission.Time // it may have come as early as this, where the wall clock was stepped
	arrival         admission.Time
	deadline        admission.Time

	kernelCommands
	storeCall
}

// kernelCommands are the commands about a run that may have to be sent to the kernel again.
type kernelCommands struct {
	// Numbers of the last ones; 0: none that may have been lost.
	runCommand, callResultCommand, stopCommand uint64

	resumed    bool       // the last start command was to resume; never so by the controller, see loop.Stop
	callResult callResult // what the last end of a call was told with
	reply      []byte     // the store's, as the kernel is told it
}

// storeCall is the call to the store that a run waits for, or the one before.
type storeCall struct {
	callBody                  []byte
	callSequence              uint64 // of the kernel's event that asked for it
	callStarted, callDeadline admission.Time
	storeConn                 handle   // that the call is out on, or waits for
	usedStoreConns            []handle // that carried a call of the request
}

// callResult is what a run that waits for a call goes on with.
type callResult uint8

const (
	noCallResult callResult = iota
	callResultReply
	callResultSkipped
)

// findRequest finds a request in hand by its id; nil if there is none.
func (in *requestsInHand) findRequest(id []byte) (handle, *request) {
	h := in.byRequestID[string(id)]
	return h, in.requests.get(h)
}

// runEnded takes the end of a run: its result is the response, and that of those who wait for it. Where the client is
// gone the result of a keyed run is still its repeats': see row "client gone" in docs/design/shutdown.md.
func (l *loop) runEnded(h handle, r *request, how admission.Outcome, ms float64, result []byte) {
	if l.debug {
		l.traceWith(r.id, traceRunEnded, logrus.Fields{logging.Outcome: outcomeNames[how], logging.ElapsedMS: ms})
	}
	r.endRun()
	l.counters.RunEnds++
	l.cancelCall(h, r)
	l.maybeFinished = append(l.maybeFinished, h)
	l.nextRound().RunEnds = append(l.nextRound().RunEnds,
		admission.RunEnd{ID: uint32(h), Outcome: how, Elapsed: admission.Time(ms * unitsPerMS)})
	l.fleet.runEnded(uint32(h), how, ms, admission.Time(ms*unitsPerMS))
	ok := how == admission.Succeeded
	if r.keyed != nil {
		if l.results.end(h, r, how, result) {
			return
		}
		ok = false // there is no durable result: an error is all that may be told
	}
	waiters := l.idempotency.runEnded(r.key, uint32(h), ok, result)
	switch {
	case ok:
		l.answer(h, r, wire.Response{Status: wire.StatusOK, Body: result})
	case how == admission.NotExecuted:
		// The kernel refused the run: what it names is the client's mistake, see commandRefused. Where the result
		// keeper ended a run before its start the client has its answer already.
		l.answer(h, r, wire.Response{Status: wire.StatusBadRequest})
	case r.outcomeIsResponse(how):
		l.answer(h, r, wire.Response{Status: wire.StatusInternalServerError})
	}
	for _, k := range waiters {
		l.sharedResultReady(k, ok, result)
	}
}

// releaseFinished frees the places of requests of which nothing is left to come.
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

// unitsPerMS is how many units of admission.Time make a millisecond.
const unitsPerMS = float64(admission.Second) / 1000

// milliseconds gives a time in ms, for logs.
func milliseconds(t admission.Time) float64 { return float64(t) / unitsPerMS }

// wholeMilliseconds rounds up, as a client that comes back early comes in vain.
func wholeMilliseconds(t admission.Time) int64 { return int64(t+9) / 10 }

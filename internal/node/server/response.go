package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// answer sends the response to a request, unless it has one. If the client is gone, the response is discarded.
func (l *loop) answer(h handle, r *request, response wire.Response) {
	l.maybeFinished = append(l.maybeFinished, h)
	if r.isAnswered() {
		return
	}
	hasClient := r.respond()
	if l.debug {
		l.traceWith(r.id, traceAnswered, logrus.Fields{logging.Status: response.Status, logging.Client: hasClient})
	}
	if !hasClient {
		return
	}
	l.fleet.requestAnswered(r.handler, response.Status,
		l.now-r.arrival <= l.settings.Deployment.Handlers[r.handler].LatencyObjective)
	if l.now > r.deadline {
		l.counters.AnsweredLate++
	}
	switch response.Status {
	case wire.StatusOK:
		l.counters.Succeeded++
	case wire.StatusServiceUnavailable:
		l.counters.Rejected++
	default:
		l.counters.Failed++
	}
	if c := l.connections.get(r.connection); c != nil && c.current == h {
		response.Close = response.Close || r.closeAfter
		l.sendResponse(c, response)
	}
}

// sharedResultReady answers a request with the result, or the error, of the request that it repeats.
func (l *loop) sharedResultReady(h handle, ok bool, result []byte) {
	r := l.requests.get(h)
	if r == nil || !r.awaitsResponse() {
		return
	}
	r.setAwaits(awaitsNothing)
	end := admission.RunEnd{ID: uint32(h), Outcome: admission.Failed}
	response := wire.Response{Status: wire.StatusInternalServerError}
	if ok {
		end.Outcome, response = admission.Succeeded, wire.Response{Status: wire.StatusOK, Body: result}
		l.counters.SharedResults++
	}
	l.nextRound().RunEnds = append(l.nextRound().RunEnds, end)
	l.answer(h, r, response)
}

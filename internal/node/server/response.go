package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// answer gives a request its response, unless it has had one. Nothing goes out where the client is gone.
func (l *loop) answer(h handle, r *request, a wire.Response) {
	l.maybeFinished = append(l.maybeFinished, h)
	if r.isAnswered() {
		return
	}
	hasClient := r.respond()
	if l.debug {
		l.traceWith(r.id, traceAnswered, logrus.Fields{logging.Status: a.Status, logging.Client: hasClient})
	}
	if !hasClient {
		return
	}
	l.fleet.requestAnswered(r.handler, a.Status,
		l.now-r.arrival <= l.settings.Deployment.Handlers[r.handler].LatencyObjective)
	if l.now > r.deadline {
		l.counters.AnsweredLate++
	}
	switch a.Status {
	case wire.StatusOK:
		l.counters.Succeeded++
	case wire.StatusServiceUnavailable:
		l.counters.Rejected++
	default:
		l.counters.Failed++
	}
	if c := l.connections.get(r.connection); c != nil && c.current == h {
		a.Close = a.Close || r.closeAfter
		l.sendResponse(c, a)
	}
}

// sharedResultReady ends a request that takes the result of the one that it repeats.
func (l *loop) sharedResultReady(h handle, ok bool, result []byte) {
	r := l.requests.get(h)
	if r == nil || !r.awaitsResponse() {
		return
	}
	r.setAwaits(awaitsNothing)
	end := admission.RunEnd{ID: uint32(h), Outcome: admission.Failed}
	a := wire.Response{Status: wire.StatusInternalServerError}
	if ok {
		end.Outcome, a = admission.Succeeded, wire.Response{Status: wire.StatusOK, Body: result}
		l.counters.SharedResults++
	}
	l.nextRound().RunEnds = append(l.nextRound().RunEnds, end)
	l.answer(h, r, a)
}

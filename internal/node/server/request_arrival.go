package server

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"net/url"
	"slices"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// rejection is the reason why a request is answered without the controller.
type rejection uint8

const (
	notRejected rejection = iota
	unknownHandler
	fieldMissing
	timestampOutOfRange
	unknownTenant
	kernelNotUp
	nodeFenced
	handlerRetired
	rejectedByZone
	idempotencyTableFull
	duplicateRequestID
	requestTableFull
	numRejections
)

// rejectionTable holds the name of each rejection, for logs, and its response status. 400: the request is invalid; 503:
// this attempt did not run; 500: an earlier run may have happened, so no other server may run it.
var rejectionTable = [numRejections]struct {
	name   string
	status int
}{
	notRejected:          {"not rejected", 0},
	unknownHandler:       {"unknown handler", wire.StatusBadRequest},
	fieldMissing:         {"field missing", wire.StatusBadRequest},
	timestampOutOfRange:  {"timestamp out of range", wire.StatusBadRequest},
	unknownTenant:        {"unknown tenant", wire.StatusBadRequest},
	kernelNotUp:          {"kernel not up", wire.StatusServiceUnavailable},
	nodeFenced:           {"node fenced", wire.StatusServiceUnavailable},
	handlerRetired:       {"handler retired", wire.StatusServiceUnavailable},
	rejectedByZone:       {"over zone quota", wire.StatusServiceUnavailable},
	idempotencyTableFull: {"idempotency table full", wire.StatusServiceUnavailable},
	duplicateRequestID:   {"request id in use", wire.StatusInternalServerError},
	requestTableFull:     {"request table full", wire.StatusServiceUnavailable},
}

func (r rejection) String() string { return rejectionTable[r].name }

// status returns the response status of a rejection.
func (r rejection) status() int { return rejectionTable[r].status }

// arrivingRequest is a request that was read and is being checked.
type arrivingRequest struct {
	*wire.Request
	handlerName  string
	handler      int // index in the settings
	knownHandler bool
	tenant       int // index in the settings
	knownTenant  bool
	// Bounds of its arrival at the machine; they differ if the wall clock was stepped.
	earliest, latest admission.Time
	validTimestamp   bool
	repeatKey        string // shared with its repeats (repeatKey)
}

// receiveRequest checks a request and submits it to the controller. A status other than 0 is the response status of a
// rejected request; response then holds what the rejection adds to it.
func (l *loop) receiveRequest(c *connection, e *requestRead, handlerName string, response *wire.Response) (status int) {
	a := l.identify(&e.request, handlerName)
	if reason := l.checkRequest(&a, response); reason != notRejected {
		l.recordRejection(&a, reason)
		return reason.status()
	}
	l.replaceAbandoned(a.ID)
	h, r, _ := l.requests.take() // checkRequest found a free slot
	l.fillRequest(r, e, &a)
	c.current = h
	l.byRequestID[r.id] = h
	l.counters.Requests++
	if a.IsRetry {
		l.counters.Retries++
	}
	if l.debug {
		l.traceWith(r.id, traceArrived, logrus.Fields{logging.ElapsedMS: milliseconds(l.now - a.latest),
			logging.Class: handlerName, logging.Caller: a.Caller, logging.IsRetry: a.IsRetry})
	}
	l.fleet.requestAdmitted(a.handler, a.IsRetry)
	l.submitOrIntercept(h, r, &a)
	return 0
}

// identify looks up the handler, tenant and arrival of a request.
func (l *loop) identify(q *wire.Request, handlerName string) arrivingRequest {
	a := arrivingRequest{Request: q, handlerName: handlerName}
	a.handler, a.knownHandler = l.handlerNamed(handlerName)
	a.tenant, a.knownTenant = l.settings.TenantIndex[string(q.Tenant)]
	a.earliest, a.latest, a.validTimestamp = l.arrivalBounds(q.ReceivedAtMS)
	return a
}

// checkRequest returns why a request is rejected, by the first check that fails: first errors of the request itself,
// then conditions of this node. Checks that count rejections, and those that look at other requests, come last.
func (l *loop) checkRequest(a *arrivingRequest, response *wire.Response) rejection {
	switch {
	case !a.knownHandler:
		return unknownHandler
	case l.missesField(a):
		return fieldMissing
	case !a.validTimestamp:
		return timestampOutOfRange
	case len(a.Tenant) > 0 && !a.knownTenant && len(l.settings.TenantIndex) > 0:
		return unknownTenant
	case l.controller == nil:
		return kernelNotUp // no run is possible
	}
	a.repeatKey = l.repeatKey(a.handler, a.Request)
	if reason := l.fleet.rejection(a.handler, a.Request, a.repeatKey, response); reason != notRejected {
		return reason
	}
	switch {
	case l.hasIdempotencyKey(a.handler) && l.idempotency.isFull(l.limits.EventsPerRound) &&
		l.idempotency.find(a.repeatKey) == nil:
		return idempotencyTableFull // its repeats could not be recognized
	case l.isRequestIDInFlight(a.ID):
		return duplicateRequestID
	case l.requests.full():
		return requestTableFull
	}
	return notRejected
}

func (c *configuration) missesField(a *arrivingRequest) bool {
	return a.ID == nil || a.ReceivedAtMS == 0 || !a.HasCaller || a.FootprintKB == 0 ||
		c.hasIdempotencyKey(a.handler) && len(a.IdempotencyKey) == 0
}

func (c *configuration) hasIdempotencyKey(handler int) bool {
	return c.settings.Deployment.Handlers[handler].RetrySafety == admission.IdempotencyKeyed
}

// isRequestIDInFlight reports whether an unfinished request has this id. The second one is answered 500 even while the
// first is queued, as the first may still run. An abandoned request that never ran does not count, see
// replaceAbandoned.
func (in *inFlightRequests) isRequestIDInFlight(id []byte) bool {
	_, existing := in.findRequest(id)
	return existing != nil && !(existing.isAbandoned() && existing.run == runNotStarted)
}

// replaceAbandoned removes an abandoned request that never ran, in favour of a new one with the same id.
func (in *inFlightRequests) replaceAbandoned(id []byte) {
	if h, abandoned := in.findRequest(id); abandoned != nil {
		delete(in.byRequestID, abandoned.id)
		in.maybeFinished = append(in.maybeFinished, h)
	}
}

// recordRejection traces a rejected request, and counts and logs it if it is answered 400. The reason of a 503 or 500
// is only in the trace, at debug level; of these, fencing and the zone's quota have counters.
func (l *loop) recordRejection(a *arrivingRequest, reason rejection) {
	if l.debug {
		l.traceWith(string(a.ID), traceRejected, logrus.Fields{logging.Reason: reason.String()})
	}
	if reason.status() != wire.StatusBadRequest {
		return
	}
	log := l.countBadRequest()
	if log == nil {
		return
	}
	fields := logrus.Fields{logging.Reason: reason.String()}
	switch reason {
	case unknownHandler:
		fields[logging.Class] = a.handlerName
	case timestampOutOfRange:
		fields[logging.ReceivedAtMS] = a.ReceivedAtMS
	case unknownTenant:
		fields[logging.Tenant] = string(a.Tenant)
	}
	log.WithFields(fields).Info(logBadRequest)
}

func (l *loop) fillRequest(r *request, e *requestRead, a *arrivingRequest) {
	*r = request{id: string(a.ID), connection: e.peer.handle, closeAfter: a.Close, handler: a.handler, buf: e.buffer,
		body: a.Body, repeatKey: a.repeatKey, earliestArrival: a.earliest, arrival: a.latest,
		deadline: l.explicitDeadline(a)}
	if r.deadline == 0 {
		r.deadline = a.latest + l.settings.Deployment.Handlers[a.handler].Timeout
	}
	if l.results != nil && l.hasIdempotencyKey(a.handler) {
		r.keyed = newKeyedRequest(l.names[a.handler], a.Tenant, a.IdempotencyKey, a.Body)
	}
}

// explicitDeadline returns the deadline to submit to the controller; 0 leaves it to the handler's timeout. If a stepped
// wall clock allows two arrival times, the earlier one counts for the deadline and for the request that is repeated,
// the later one for the idempotency window and for the drain grace.
func (l *loop) explicitDeadline(a *arrivingRequest) admission.Time {
	switch {
	case a.HasTimeout:
		return a.earliest + admission.Time(a.TimeoutMS*unitsPerMS)
	case a.earliest != a.latest:
		return a.earliest + l.settings.Deployment.Handlers[a.handler].Timeout
	}
	return 0
}

// submitOrIntercept submits a request to the controller, unless the result keeper answers it or holds it back.
func (l *loop) submitOrIntercept(h handle, r *request, a *arrivingRequest) {
	submission := admission.Request{ID: uint32(h), Handler: a.handler, Tenant: a.tenant, ArrivedAt: a.latest,
		Deadline: l.explicitDeadline(a), ExpectedWork: admission.Time(a.ExpectedWorkMS * unitsPerMS),
		SizeKB: a.FootprintKB, IsRetry: a.IsRetry, Caller: a.Caller}
	if r.keyed != nil {
		r.keyed.submission = submission
		if l.results.intercept(h, r) {
			return
		}
	}
	l.submit(&submission)
}

// handlerNamed returns the index of the handler named by a path, which may be percent-encoded.
func (c *configuration) handlerNamed(name string) (index int, known bool) {
	if index, known = c.settings.HandlerIndex[name]; known {
		return index, true
	}
	if plain, err := url.PathUnescape(name); err == nil {
		index, known = c.settings.HandlerIndex[plain]
	}
	return index, known
}

// repeatKey returns the key that a request shares with its repeats; empty if it can't have any. The handler's index and
// the length of the tenant's name come first, so that keys of different handlers and tenants never collide, which would
// give one request the result of the other.
func (c *configuration) repeatKey(handler int, q *wire.Request) string {
	d := c.settings.Deployment
	key := fmt.Appendf(nil, "%d/%d/%s/", handler, len(q.Tenant), q.Tenant)
	switch {
	case d.Handlers[handler].RetrySafety == admission.IdempotencyKeyed:
		// The same key with another body is another request, whose run the kernel refuses: it must neither get the
		// first one's result nor block it, in either order.
		sum := sha256.Sum256(q.Body)
		key = append(key, q.IdempotencyKey...)
		return string(append(key, sum[:16]...))
	case d.Handlers[handler].RetrySafety == admission.Retryable && d.ResponseReuseTime > 0 && len(q.ResourceKey) > 0:
		return string(append(key, q.ResourceKey...))
	}
	return ""
}

// submit adds a request to the next round of the controller.
func (l *loop) submit(q *admission.Request) {
	l.nextRound().Arrived = append(l.nextRound().Arrived, *q)
	l.fleet.requestSubmitted(l.now, q)
}

// countBadRequest counts a request answered 400 without the controller. It returns the entry to log it with, or nil
// beyond the limit on log lines.
func (l *loop) countBadRequest() *logrus.Entry {
	l.counters.BadRequests++
	return l.limitLog()
}

// orderArrivals sorts the requests of a round by arrival, as callbacks post in any order, and links repeats to the
// requests that they repeat. Attempts with one key that are read in one round, as after a standstill of the machine,
// are not in the idempotency table yet; both would run. See row "pause of this process" in docs/design/shutdown.md.
func (in *inFlightRequests) orderArrivals(arrived []admission.Request) {
	slices.SortStableFunc(arrived, func(a, b admission.Request) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	for i := range arrived {
		q := &arrived[i]
		key := in.requests.get(handle(q.ID)).repeatKey
		if key == "" {
			continue
		}
		q.PreviousID = in.idempotency.previous(key, in.requests.get(handle(q.ID)).earliestArrival)
		for k := 0; k < i && q.PreviousID == 0; k++ {
			if in.requests.get(handle(arrived[k].ID)).repeatKey == key {
				q.PreviousID = arrived[k].ID
			}
		}
	}
}

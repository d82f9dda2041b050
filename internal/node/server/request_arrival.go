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

// rejection is why a request never reaches the controller.
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

// rejectionTable has the name of each rejection, for logs, and the status that it is answered with. 400 is the client's
// mistake; after 503 another server may have the request, as nothing of it ran; after 500 none may.
var rejectionTable = [numRejections]struct {
	name   string
	status int
}{
	notRejected:          {"not rejected", 0},
	unknownHandler:       {"unknown handler", wire.StatusBadRequest},
	fieldMissing:         {"field missing", wire.StatusBadRequest},
	timestampOutOfRange:  {"stamp too far off", wire.StatusBadRequest},
	unknownTenant:        {"unknown tenant", wire.StatusBadRequest},
	kernelNotUp:          {"kernel not up", wire.StatusServiceUnavailable},
	nodeFenced:           {"node fenced", wire.StatusServiceUnavailable},
	handlerRetired:       {"handler retired", wire.StatusServiceUnavailable},
	rejectedByZone:       {"over zone quota", wire.StatusServiceUnavailable},
	idempotencyTableFull: {"idempotency table full", wire.StatusServiceUnavailable},
	duplicateRequestID:   {"same id in hand", wire.StatusInternalServerError},
	requestTableFull:     {"request table full", wire.StatusServiceUnavailable},
}

func (r rejection) String() string { return rejectionTable[r].name }

// status is what a rejection is answered with.
func (r rejection) status() int { return rejectionTable[r].status }

// arrivingRequest is a request that was read and is being checked.
type arrivingRequest struct {
	*wire.Request
	handlerName  string
	handler      int // index in the settings
	knownHandler bool
	tenant       int // index in the settings
	knownTenant  bool
	// The times between which it reached the machine; they differ where the wall clock was stepped.
	earliest, latest admission.Time
	validTimestamp   bool
	key              string // shared with its repeats
}

// receiveRequest has the controller hear of a request that was read. A status other than 0 says that it is answered
// without: response then has what goes with it.
func (l *loop) receiveRequest(c *connection, e *requestRead, handlerName string, response *wire.Response) (status int) {
	a := l.identify(&e.request, handlerName)
	if why := l.checkRequest(&a, response); why != notRejected {
		l.recordRejection(&a, why)
		return why.status()
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

// identify looks up what a request names.
func (l *loop) identify(q *wire.Request, handlerName string) arrivingRequest {
	a := arrivingRequest{Request: q, handlerName: handlerName}
	a.handler, a.knownHandler = l.handlerNamed(handlerName)
	a.tenant, a.knownTenant = l.settings.TenantIndex[string(q.Tenant)]
	a.earliest, a.latest, a.validTimestamp = l.placeStamp(q.ReceivedAtMS)
	return a
}

// checkRequest tells why a request does not reach the controller, by the first check that it fails: first what is
// wrong with the request itself, then what this server can't take at present. It harms only that request. The checks
// that count what they reject, and those that look at other requests, come last.
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
		return kernelNotUp // nothing can run
	}
	a.key = l.repeatKey(a.handler, a.Request)
	if why := l.fleet.rejection(a.handler, a.Request, a.key, response); why != notRejected {
		return why
	}
	switch {
	case l.hasIdempotencyKey(a.handler) && l.idempotency.isFull(l.limits.EventsPerRound) &&
		l.idempotency.find(a.key) == nil:
		return idempotencyTableFull // it could not be told from its repeats
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

// isRequestIDInFlight tells whether an unfinished request has this id. The second is answered 500 also while the first is queued,
// as that may run yet. One that never ran and whose client is gone makes room, see replaceAbandoned.
func (in *requestsInHand) isRequestIDInFlight(id []byte) bool {
	_, old := in.findRequest(id)
	return old != nil && !(old.isAbandoned() && old.run == runNotStarted)
}

// replaceAbandoned lets a request of the same id, whose client is gone and which never ran, make room for the one that
// comes now.
func (in *requestsInHand) replaceAbandoned(id []byte) {
	if h, old := in.findRequest(id); old != nil {
		delete(in.byRequestID, old.id)
		in.maybeFinished = append(in.maybeFinished, h)
	}
}

// recordRejection counts and logs a request that is its client's mistake, and traces each that does not reach the
// controller. A 503 or 500 has its reason in the trace alone, at debug level; of these just fencing and the zone's
// quota have counters.
func (l *loop) recordRejection(a *arrivingRequest, why rejection) {
	if l.debug {
		l.traceWith(string(a.ID), traceRejected, logrus.Fields{logging.Reason: why.String()})
	}
	if why.status() != wire.StatusBadRequest {
		return
	}
	log := l.countBadRequest()
	if log == nil {
		return
	}
	fields := logrus.Fields{logging.Reason: why.String()}
	switch why {
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
		body: a.Body, key: a.key, earliestArrival: a.earliest, arrival: a.latest, deadline: l.explicitDeadline(a)}
	if r.deadline == 0 {
		r.deadline = a.latest + l.settings.Deployment.Handlers[a.handler].Timeout
	}
	if l.results != nil && l.hasIdempotencyKey(a.handler) {
		r.keyed = newKeyedRequest(l.names[a.handler], a.Tenant, a.IdempotencyKey, a.Body)
	}
}

// explicitDeadline is the deadline that the controller is told; 0 leaves it to the handler's timeout. Where the wall
// clock was stepped and two times of arrival are possible, the earlier one counts for the deadline and for whom the
// request repeats, the later one for how long its key is kept and for the grace of a drain.
func (l *loop) explicitDeadline(a *arrivingRequest) admission.Time {
	switch {
	case a.HasTimeout:
		return a.earliest + admission.Time(a.TimeoutMS*unitsPerMS)
	case a.earliest != a.latest:
		return a.earliest + l.settings.Deployment.Handlers[a.handler].Timeout
	}
	return 0
}

// submitOrIntercept has the controller hear of a request, unless the result keeper answers it or holds it back.
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

// handlerNamed finds the handler that a path names, which may be percent-encoded.
func (c *configuration) handlerNamed(name string) (index int, known bool) {
	if index, known = c.settings.HandlerIndex[name]; known {
		return index, true
	}
	if plain, err := url.PathUnescape(name); err == nil {
		index, known = c.settings.HandlerIndex[plain]
	}
	return index, known
}

// repeatKey names what one request shares with its repeats; empty if it has none. The handler's number and the
// length of the tenant's name stand before the texts. Guards against two requests of different handlers or
// tenants whose texts run into the same name, so that one's result would be the other's answer.
func (c *configuration) repeatKey(handler int, q *wire.Request) string {
	d := c.settings.Deployment
	name := fmt.Appendf(nil, "%d/%d/%s/", handler, len(q.Tenant), q.Tenant)
	switch {
	case d.Handlers[handler].RetrySafety == admission.IdempotencyKeyed:
		// Guards against a key that comes with another body: it is another request, whose run the kernel refuses,
		// and must neither be answered with the true one's result nor stand in its way, whichever comes first.
		sum := sha256.Sum256(q.Body)
		name = append(name, q.IdempotencyKey...)
		return string(append(name, sum[:16]...))
	case d.Handlers[handler].RetrySafety == admission.Retryable && d.ResponseReuseTime > 0 && len(q.ResourceKey) > 0:
		return string(append(name, q.ResourceKey...))
	}
	return ""
}

// submit has the controller hear of a request in the next round.
func (l *loop) submit(q *admission.Request) {
	l.nextRound().Arrived = append(l.nextRound().Arrived, *q)
	l.fleet.requestSubmitted(l.now, q)
}

// countBadRequest counts a request that is answered 400 and that the controller never hears of. It gives the entry to
// log it with, nil past the bound on lines.
func (l *loop) countBadRequest() *logrus.Entry {
	l.counters.BadRequests++
	return l.limitLog()
}

// orderArrivals puts the requests of a round in the order in which they reached the machine, as callbacks hand over in
// any order what came at once, and says whom each repeats. Guards against two attempts of one key that are read in one
// round, as after the machine stood still: neither is in the idempotency table yet, and both would run. See row
// "standstill of this process" in docs/design/shutdown.md.
func (in *requestsInHand) orderArrivals(all []admission.Request) {
	slices.SortStableFunc(all, func(a, b admission.Request) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	for i := range all {
		q := &all[i]
		key := in.requests.get(handle(q.ID)).key
		if key == "" {
			continue
		}
		q.PreviousID = in.idempotency.previous(key, in.requests.get(handle(q.ID)).earliestArrival)
		for k := 0; k < i && q.PreviousID == 0; k++ {
			if in.requests.get(handle(all[k].ID)).key == key {
				q.PreviousID = all[k].ID
			}
		}
	}
}

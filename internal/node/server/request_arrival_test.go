package server

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
)

// A rejection without a status would be taken for a request that the controller heard of, and never be answered; one
// without a name could not be told from others in the log.
func TestEachRejectionHasAStatus(t *testing.T) {
	names := map[string]bool{}
	for why := notRejected + 1; why < numRejections; why++ {
		if why.status() == 0 {
			t.Errorf("rejection %d has no status", why)
		}
		if name := why.String(); name == "" || names[name] {
			t.Errorf("rejection %d has the name %q, expected one of its own", why, name)
		}
		names[why.String()] = true
	}
}

// newArrivalLoop is a loop of one handler with idempotency keys and one slot for requests, whose kernel is up.
func newArrivalLoop() *loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &admission.Deployment{Cores: 1, MemoryKB: 1e6, Tenants: []admission.Tenant{{}},
		Handlers: []admission.Handler{{LatencyObjective: 3 * admission.Second, Timeout: 6 * admission.Second,
			RetrySafety: admission.IdempotencyKeyed, IdempotencyWindow: 8 * admission.Second}}}
	l := &loop{configuration: configuration{names: []string{"put"}, settings: &settings.Startup{Deployment: d,
		HandlerIndex: map[string]int{"put": 0}, TenantIndex: map[string]int{"home": 0}}},
		requestsInHand: requestsInHand{idempotency: newIdempotencyTable(2000, 1000, 6*admission.Second),
			requests: newTable[request](1), byRequestID: map[string]handle{}},
		crossGoroutine: crossGoroutine{log: log, limits: NewLimits(1, 64, 256)},
		decisions:      decisions{controller: admission.New(d)}}
	l.startClock(12 * admission.Second)
	return l
}

// newArrival is a request that passes every check of that loop.
func newArrival() wire.Request {
	return wire.Request{ID: []byte(wireID("1")), Tenant: []byte("home"), ReceivedAtMS: time.Now().UnixMilli(),
		HasCaller: true, FootprintKB: 1, IdempotencyKey: []byte("k")}
}

// A new request passes the checks in one order, and the first that it fails answers it: a client's mistake is told as
// such whatever else is wrong, and what this server can't take is told only of requests that it could serve. Each case
// fails its own check and, but for the last ones, all that come after it.
func TestChecksOfANewRequest(t *testing.T) {
	tests := []struct {
		fails rejection
		spoil func(l *loop, q *wire.Request)
	}{
		{requestTableFull, func(l *loop, _ *wire.Request) { l.requests.take() }},
		{duplicateRequestID, func(l *loop, q *wire.Request) { l.byRequestID[string(q.ID)], _ = l.requests.next(0) }},
		{idempotencyTableFull, func(l *loop, _ *wire.Request) { l.idempotency.entries.capacity = 0 }},
		{kernelNotUp, func(l *loop, _ *wire.Request) { l.controller = nil }},
		{unknownTenant, func(_ *loop, q *wire.Request) { q.Tenant = []byte("nobody") }},
		{timestampOutOfRange, func(_ *loop, q *wire.Request) { q.ReceivedAtMS += time.Hour.Milliseconds() }},
		{fieldMissing, func(_ *loop, q *wire.Request) { q.IdempotencyKey = nil }},
		{unknownHandler, func(l *loop, _ *wire.Request) { l.settings.HandlerIndex = nil }},
	}
	l, q := newArrivalLoop(), newArrival()
	for _, test := range tests {
		test.spoil(l, &q)
		in, bad := l.requests.used, l.counters.BadRequests
		e := &requestRead{peer: &peer{}, request: q}
		a := l.identify(&e.request, "put")
		if why := l.checkRequest(&a, &wire.Response{}); why != test.fails {
			t.Errorf("rejected as %q, expected %q", why, test.fails)
		}
		status := l.receiveRequest(&connection{}, e, "put", &wire.Response{})
		if status != test.fails.status() || l.requests.used != in || len(l.nextRound().Arrived) > 0 {
			t.Errorf("%s: answered %d, %d in hand and %d told to the controller, expected %d, %d and none", test.fails,
				status, l.requests.used, len(l.nextRound().Arrived), test.fails.status(), in)
		}
		if isBad := l.counters.BadRequests > bad; isBad != (status == wire.StatusBadRequest) {
			t.Errorf("%s: counted as bad: %v", test.fails, isBad)
		}
	}
	l, q = newArrivalLoop(), newArrival()
	e := &requestRead{peer: &peer{}, request: q}
	if status := l.receiveRequest(&connection{}, e, "put", &wire.Response{}); status != 0 || l.requests.used != 1 ||
		len(l.nextRound().Arrived) != 1 {
		t.Errorf("one that passes all: answered %d, %d in hand, %d told to the controller", status, l.requests.used,
			len(l.nextRound().Arrived))
	}
}

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

// A rejection without a status would pass for an accepted request and never be answered; one without a name of its own
// could not be told apart in logs.
func TestEachRejectionHasStatusAndName(t *testing.T) {
	names := map[string]bool{}
	for rejected := notRejected + 1; rejected < numRejections; rejected++ {
		if rejected.status() == 0 {
			t.Errorf("status() of rejection %d = 0, want an HTTP status", rejected)
		}
		if name := rejected.String(); name == "" || names[name] {
			t.Errorf("String() of rejection %d = %q, want a unique name", rejected, name)
		}
		names[rejected.String()] = true
	}
}

// newArrivalLoop returns a loop with one handler with idempotency keys, one request slot and a running kernel.
func newArrivalLoop() *loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &admission.Deployment{Cores: 1, MemoryKB: 1e6, Tenants: []admission.Tenant{{}},
		Handlers: []admission.Handler{{LatencyObjective: 3 * admission.Second, Timeout: 6 * admission.Second,
			RetrySafety: admission.IdempotencyKeyed, IdempotencyWindow: 8 * admission.Second}}}
	l := &loop{configuration: configuration{names: []string{"put"}, settings: &settings.Startup{Deployment: d,
		HandlerIndex: map[string]int{"put": 0}, TenantIndex: map[string]int{"home": 0}}},
		inFlightRequests: inFlightRequests{idempotency: newIdempotencyTable(2000, 1000, 6*admission.Second),
			requests: newTable[request](1), byRequestID: map[string]handle{}},
		crossGoroutine: crossGoroutine{log: log, limits: NewLimits(1, 64, 256)},
		decisions:      decisions{controller: admission.New(d)}}
	l.startClock(12 * admission.Second)
	return l
}

// newArrival returns a request that passes every check of that loop.
func newArrival() wire.Request {
	return wire.Request{ID: []byte(wireID("1")), Tenant: []byte("home"), ReceivedAtMS: time.Now().UnixMilli(),
		HasCaller: true, FootprintKB: 1, IdempotencyKey: []byte("k")}
}

// The first failing check determines the rejection, and errors of the request come before conditions of the node. Each
// case breaks one more check, from the last to the first, so that (except for the last checks) its request fails all
// later ones too.
func TestCheckRequestOrder(t *testing.T) {
	tests := []struct {
		want  rejection
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
		requests, badRequests := l.requests.used, l.counters.BadRequests
		e := &requestRead{peer: &peer{}, request: q}
		a := l.identify(&e.request, "put")
		if got := l.checkRequest(&a, &wire.Response{}); got != test.want {
			t.Errorf("checkRequest() = %q, want %q", got, test.want)
		}
		status := l.receiveRequest(&connection{}, e, "put", &wire.Response{})
		if status != test.want.status() || l.requests.used != requests || len(l.nextRound().Arrived) > 0 {
			t.Errorf("%s: status = %d, requests = %d, submitted = %d, want %d, %d and 0", test.want,
				status, l.requests.used, len(l.nextRound().Arrived), test.want.status(), requests)
		}
		if isBad := l.counters.BadRequests > badRequests; isBad != (status == wire.StatusBadRequest) {
			t.Errorf("%s: counted as a bad request: %v, want %v", test.want, isBad, !isBad)
		}
	}
	l, q = newArrivalLoop(), newArrival()
	e := &requestRead{peer: &peer{}, request: q}
	if status := l.receiveRequest(&connection{}, e, "put", &wire.Response{}); status != 0 || l.requests.used != 1 ||
		len(l.nextRound().Arrived) != 1 {
		t.Errorf("valid request: status = %d, requests = %d, submitted = %d, want 0, 1 and 1", status, l.requests.used,
			len(l.nextRound().Arrived))
	}
}

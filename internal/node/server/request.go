// Requests: the life of one from its message to its last word. This owns what a req is known by, its one answer
// and the end of its slot; it must never answer twice, and never by a judgement of its own but where nothing
// has been put before the module.

package server

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"net/url"
	"slices"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

type runState uint8

const (
	runNotStarted runState = iota
	runRunning
	runFinished
)

type callState uint8

const (
	callNone   callState = iota
	callQueued           // for the link
	callSent
)

type callResult uint8

const (
	noCallResult callResult = iota
	callResultReply
	callResultSkipped
)

// req is one req in hand.
type request struct {
	id              string // its id, as the kernel and the store know it
	connection      handle
	closeAfter      bool // its connection is not to be used again
	handler         int
	keyed           *keyedRequest // nil: its result is not stored
	buf             *buffer       // the message, of which body is a part
	body            []byte
	key             string         // of repeats; empty if it has none
	earliestArrival admission.Time // it may have come as early as this, where the wall clock was stepped
	arrival         admission.Time
	deadline        admission.Time
	answered        bool
	abandoned       bool
	awaitsShared    bool // for another's result

	run                                        runState
	paused, resumed                            bool
	runCommand, callResultCommand, stopCommand uint64 // numbers of commands that may have to be sent again; 0: no
	callResult                                 callResult
	callBody                                   []byte // the body of the call it stands at
	callSequence                               uint64 // the notice that said so
	reply                                      []byte
	callState                                  callState
	callStarted, callDeadline                  admission.Time
	storeConn                                  handle   // the call is out on, or waits for
	usedStoreConns                             []handle // that carried a call of it
}

// take brings a new req before the module; a status other than 0 answers it here, with what a says beside it.
func (l *loop) receiveRequest(c *connection, e *requestRead, name string, a *wire.Response) int {
	q := &e.request
	i, known := l.handlerNamed(name)
	hasKey := !known || l.settings.Deployment.Handlers[i].RetrySafety != admission.IdempotencyKeyed || len(q.IdempotencyKey) > 0
	tenant, listed := l.settings.TenantIndex[string(q.Tenant)]
	earliest, came, placed := l.placeStamp(q.ReceivedAtMS)
	switch {
	case !known:
		return l.badRequest("handler %q, expected one of the settings", name)
	case q.ID == nil || q.ReceivedAtMS == 0 || !q.HasCaller || q.FootprintKB == 0 || !hasKey:
		return l.badRequest("a field of the request is missing")
	case !placed:
		return l.badRequest("received at %d, which is too far from now", q.ReceivedAtMS)
	case len(q.Tenant) > 0 && !listed && len(l.settings.TenantIndex) > 0:
		return l.badRequest("tenant %q, expected one of the settings", q.Tenant)
	case l.controller == nil:
		return 503 // the kernel is not up: nothing can run
	}
	hd := &l.settings.Deployment.Handlers[i]
	key := l.repeatKey(i, q)
	if s := l.fleet.rejection(i, q, key, a); s != 0 {
		return s
	}
	if hd.RetrySafety == admission.IdempotencyKeyed && l.idempotency.full(l.limits.EventsPerRound) && l.idempotency.find(key) == nil {
		return 503 // it could not be told from its repeats
	}
	if h, old := l.findRequest(q.ID); old != nil {
		if !old.abandoned || old.run != runNotStarted {
			return 500 // the same try again, and the first may have run
		}
		delete(l.byRequestID, old.id)
		l.maybeFinished = append(l.maybeFinished, h)
	}
	h, r, ok := l.requests.take()
	if !ok {
		return 503
	}
	// Where the wall clock was stepped and two times are possible, the earlier one counts for the deadline and for
	// whom it repeats, the later one for how long its key is kept and for the grace of a drain.
	due := admission.Time(0)
	if q.HasTimeout {
		due = earliest + admission.Time(q.TimeoutMS*10)
	} else if earliest != came {
		due = earliest + hd.Timeout
	}
	*r = request{id: string(q.ID), connection: e.peer.handle, closeAfter: q.Close, handler: i, buf: e.buffer, body: q.Body,
		key: key, earliestArrival: earliest, arrival: came, deadline: due}
	if due == 0 {
		r.deadline = came + hd.Timeout
	}
	c.current = h
	if l.results != nil && hd.RetrySafety == admission.IdempotencyKeyed {
		r.keyed = newKeyedRequest(l.names[i], q.Tenant, q.IdempotencyKey, q.Body)
	}
	l.byRequestID[r.id] = h
	l.counters.Reqs++
	if q.IsRetry {
		l.counters.Again++
	}
	l.trace(r, "came %.1f ms ago, handler %s, sender %d, again %v", milliseconds(l.now-came), name, q.Caller, q.IsRetry)
	l.fleet.requestAdmitted(i, q.IsRetry)
	admit := admission.Request{ID: uint32(h), Handler: i, Tenant: tenant, ArrivedAt: came, Deadline: due,
		ExpectedWork: admission.Time(q.ExpectedWorkMS * 10), SizeKB: q.FootprintKB, IsRetry: q.IsRetry, Caller: q.Caller}
	if r.keyed != nil {
		r.keyed.submission = admit
		if l.results.intercept(h, r) {
			return 0
		}
	}
	l.submit(&admit)
	return 0
}

// handlerNamed finds the handler that a path names, which may be percent-encoded.
func (l *loop) handlerNamed(name string) (index int, known bool) {
	if index, known = l.settings.HandlerIndex[name]; known {
		return index, true
	}
	if plain, err := url.PathUnescape(name); err == nil {
		index, known = l.settings.HandlerIndex[plain]
	}
	return index, known
}

// repeatKey names what one request shares with its repeats; empty if it has none. The handler's number and the
// length of the tenant's name stand before the texts. Guards against two requests of different handlers or
// tenants whose texts run into the same name, so that one's result would be the other's answer.
func (l *loop) repeatKey(handler int, q *wire.Request) string {
	d := l.settings.Deployment
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

// admit has the module hear of a req in the next round.
func (l *loop) submit(q *admission.Request) {
	l.nextRound().Arrived = append(l.nextRound().Arrived, *q)
	l.fleet.requestSubmitted(l.now, q)
}

// bad counts and logs what is no request for this server; it never comes before the module.
func (l *loop) badRequest(format string, args ...any) int {
	l.counters.Bad++
	l.logf("bad request: "+format, args...)
	return 400
}

// arrange puts the reqs of a round in the order in which they reached the machine, as callbacks hand over in
// any order what came at once, and says whom each repeats. Guards against two tries that are read in one
// round, as after the machine stood still: neither is remembered yet, and both would run.
func (l *loop) orderArrivals(all []admission.Request) {
	slices.SortStableFunc(all, func(a, b admission.Request) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	for i := range all {
		q := &all[i]
		key := l.requests.get(handle(q.ID)).key
		if key == "" {
			continue
		}
		q.PreviousID = l.idempotency.previous(key, l.requests.get(handle(q.ID)).earliestArrival)
		for k := 0; k < i && q.PreviousID == 0; k++ {
			if l.requests.get(handle(all[k].ID)).key == key {
				q.PreviousID = all[k].ID
			}
		}
	}
}

func milliseconds(t admission.Time) float64 { return float64(t) / 10 }

func (l *loop) findRequest(id []byte) (handle, *request) {
	h := l.byRequestID[string(id)]
	return h, l.requests.get(h)
}

// answer gives a req its answer, if it is still owed one.
func (l *loop) answer(h handle, r *request, a wire.Response) {
	l.maybeFinished = append(l.maybeFinished, h)
	if r.answered {
		return
	}
	r.answered = true
	l.trace(r, "answer %d, gone %v", a.Status, r.abandoned)
	if r.abandoned {
		return
	}
	l.fleet.requestAnswered(r.handler, a.Status,
		l.now-r.arrival <= l.settings.Deployment.Handlers[r.handler].LatencyObjective)
	if l.now > r.deadline {
		l.counters.Late++
	}
	switch a.Status {
	case 200:
		l.counters.Done++
	case 503:
		l.counters.Shed++
	default:
		l.counters.Errored++
	}
	if c := l.connections.get(r.connection); c != nil && c.current == h {
		a.Close = a.Close || r.closeAfter
		l.sendResponse(c, r.connection, a)
	}
}

// runEnded takes the end of a run: its result is the answer, and that of those who wait for it.
func (l *loop) runEnded(h handle, r *request, how admission.Outcome, ms float64, result []byte) {
	l.trace(r, "run ended %d after %.1f ms", how, ms)
	r.run = runFinished
	l.counters.Ends++
	l.cancelCall(h, r)
	l.maybeFinished = append(l.maybeFinished, h)
	l.nextRound().RunEnds = append(l.nextRound().RunEnds,
		admission.RunEnd{ID: uint32(h), Outcome: how, Elapsed: admission.Time(ms * 10)})
	l.fleet.runEnded(uint32(h), how, ms, admission.Time(ms*10))
	ok := how == admission.Succeeded
	if r.keyed != nil {
		if l.results.end(h, r, how, result) {
			return
		}
		ok = false
	}
	wait := l.idempotency.runEnded(r.key, uint32(h), ok, result)
	switch {
	case ok:
		l.answer(h, r, wire.Response{Status: 200, Body: result})
	case how == admission.NotExecuted:
		l.answer(h, r, wire.Response{Status: 400})
	case how != admission.Stopped || !r.paused: // that it was paused or dropped is no answer
		l.answer(h, r, wire.Response{Status: 500})
	}
	for _, k := range wait {
		l.sharedResultReady(k, ok, result)
	}
}

// sharedResultReady ends a req that takes another's result.
func (l *loop) sharedResultReady(h handle, ok bool, result []byte) {
	r := l.requests.get(h)
	if r == nil || r.answered || r.abandoned {
		return
	}
	r.awaitsShared = false
	end := admission.RunEnd{ID: uint32(h), Outcome: admission.Failed}
	a := wire.Response{Status: 500}
	if ok {
		end.Outcome, a = admission.Succeeded, wire.Response{Status: 200, Body: result}
		l.counters.Shared++
	}
	l.nextRound().RunEnds = append(l.nextRound().RunEnds, end)
	l.answer(h, r, a)
}

// free lets go of reqs of which nothing is left to come.
func (l *loop) releaseFinished() {
	for _, h := range l.maybeFinished {
		r := l.requests.get(h)
		if r == nil || !(r.answered || r.abandoned) || r.run == runRunning || r.awaitsShared {
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

// ---- What the module decides.

// Run starts a run, or goes on with a paused one.
func (l *loop) Run(id uint32) {
	r := l.requests.get(handle(id))
	switch {
	case r == nil || r.run != runNotStarted && !r.paused:
	case r.paused && r.keyed.holdsBack():
		r.run, r.paused = runRunning, false
	case r.paused && l.settings.Cancellation == admission.CancelPause:
		r.run = runRunning
		l.sendResume(r)
	default:
		r.run, r.paused = runRunning, false
		l.counters.Runs++
		l.trace(r, "run")
		l.idempotency.runStarted(r.key, id)
		if r.keyed != nil {
			l.results.begin(handle(id), r)
			return
		}
		l.sendRun(r)
	}
}

func (l *loop) Stop(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.run == runRunning {
		l.trace(r, "pause")
		l.counters.Pauses++
		if r.paused = true; !r.keyed.holdsBack() { // else it is told with the run
			l.sendStop(r)
		}
	}
}

func (l *loop) Shed(id uint32, why admission.Reason, last bool, comeBack admission.Time) {
	if r := l.requests.get(handle(id)); r != nil {
		l.traceReason(r, "shed", why)
		l.answer(handle(id), r, wire.Response{Status: 503, NoRetry: last, RetryAfterMS: int64(comeBack+9) / 10})
	}
}

func (l *loop) Fail(id uint32, why admission.Reason) {
	if r := l.requests.get(handle(id)); r != nil {
		l.traceReason(r, "failed", why)
		l.cancelCall(handle(id), r)
		r.awaitsShared = false
		l.answer(handle(id), r, wire.Response{Status: 500})
	}
}

func (l *loop) Call(id uint32, until admission.Time) {
	if r := l.requests.get(handle(id)); r != nil && r.run == runRunning {
		l.startCall(handle(id), r, until)
	}
}

func (l *loop) SkipCall(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.run == runRunning {
		l.counters.Skips++
		l.sendCallSkipped(r)
	}
}

func (l *loop) Remember(id uint32, span admission.Time) {
	if r := l.requests.get(handle(id)); r != nil && r.key != "" {
		l.idempotency.remember(r.key, id, l.now+span, &l.timers)
	}
}

func (l *loop) Forget(id uint32) {
	if r := l.requests.get(handle(id)); r != nil && r.key != "" {
		for _, h := range l.idempotency.forget(r.key, id) {
			l.sharedResultReady(h, false, nil)
		}
	}
}

// ReuseResult answers a req with the result of the one it repeats, now or when that is there.
func (l *loop) ReuseResult(id uint32) {
	h := handle(id)
	r := l.requests.get(h)
	if r == nil {
		return
	}
	switch e := l.idempotency.find(r.key); {
	case e == nil || e.state == entryFailed || e.state == entryDone && !e.hasResult:
		l.sharedResultReady(h, false, nil)
	case e.state == entryDone:
		l.sharedResultReady(h, true, e.result)
	default:
		r.awaitsShared = true
		e.waiters = append(e.waiters, h)
	}
}

// Health has checks and the control plane told.
func (l *loop) Health(good bool) {
	l.moduleReady = good
	l.ready = good && l.fleet.takesTraffic()
	l.discovery.ready = l.ready
	l.sendReport()
}

// SignalOverload has every answer carry the value from now on.
func (l *loop) SignalOverload(value float64) { l.overloadSignal, l.hasOverloadSignal = value, true }

// SetIdleTimeout has connections closed that were idle for so long.
func (l *loop) SetIdleTimeout(after admission.Time) { l.idleClose = after }

func (l *loop) WakeUp(at admission.Time) { l.timers.set(at, timerWake, 0) }

func (l *loop) Log(line string) { l.logf("%s", line) }

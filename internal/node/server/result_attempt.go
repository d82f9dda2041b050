package server

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/node/wire"
)

// newKeyedRequest digests a request's handler, tenant and idempotency key into its key, and its body into bodyDigest.
// Length prefixes guard against two requests of different handlers or tenants that concatenate to the same key, and
// would get each other's result.
func newKeyedRequest(handler string, tenant, key, body []byte) *keyedRequest {
	q := &keyedRequest{}
	q.resultKey = digestKey(fmt.Appendf(nil, "tenant/%d/%s/%d/%s/%s", len(handler), handler, len(tenant), tenant, key))
	q.legacyKey = digestKey(fmt.Appendf(nil, "%d/%s/%s", len(handler), handler, key))
	sum := sha256.Sum256(body)
	q.bodyDigest = max(1, binary.LittleEndian.Uint64(sum[:])) // 0 means none
	return q
}

func digestKey(name []byte) (k resultstore.Key) {
	sum := sha256.Sum256(name)
	copy(k[:], sum[:])
	return k
}

// windowOf returns a handler's idempotency window in ms, rounded up.
func windowOf(h *admission.Handler) agent.Milliseconds {
	return uint64(h.IdempotencyWindow)/uint64(admission.Second/1000) + 1
}

// intercept handles a keyed request before it is submitted to the controller. It returns true if the request was
// answered or waits for the disk.
func (k *resultKeeper) intercept(h handle, r *request) bool {
	response := wire.Response{}
	response.Status = k.attempt(h, r, &response)
	if response.Status != 0 {
		response.Close = response.Status == wire.StatusBadRequest
		k.host.answer(h, r, response)
		return true
	}
	return r.disk != nothingPending
}

// attempt decides on an arriving attempt of a key. A status other than 0 answers it; otherwise it waits as
// lifecycle.disk shows, or is submitted to the controller.
//
// An unknown key is submitted, or rejected with Retry-After if its intent could not be stored. A key in flight is
// submitted, to wait for the result. A stored result is read unless it is in memory. A key that ran or may have run
// without a result gets an error for the rest of its window, and another body under the same key is a bad request. See
// resultstore.Index.Decide.
func (k *resultKeeper) attempt(h handle, r *request, response *wire.Response) (status int) {
	if k.index == nil {
		return k.attemptWhileOpening(h, r, response)
	}
	verdict, position := k.decide(r.keyed)
	switch verdict {
	case resultstore.Execute:
		if k.rejectsNewKeys(k.host.currentTime()) {
			return k.reject(response)
		}
	case resultstore.RejectFull:
		k.fullSince = k.host.currentTime()
		k.updateMode()
		return k.reject(response)
	case resultstore.RejectConflict:
		return k.reject(response)
	case resultstore.RejectMismatch:
		k.counts.mismatched++
		return wire.StatusBadRequest
	case resultstore.ReturnError:
		return k.fail()
	case resultstore.ReturnResult:
		if !k.host.hasSharedResult(r) {
			return k.readResult(h, r, position)
		}
	}
	return 0
}

// decide looks up the verdict for an attempt, also under its legacy key. A retry of a key whose record may be lost gets
// an error, as its first attempt may have run.
func (k *resultKeeper) decide(q *keyedRequest) (verdict resultstore.Verdict, position uint64) {
	now := k.clock()
	verdict, position = k.index.Decide(now, q.resultKey, q.bodyDigest)
	if verdict == resultstore.Execute && k.index.Lookup(now, q.legacyKey) != resultstore.Unknown {
		verdict, position = k.index.Decide(now, q.legacyKey, q.bodyDigest)
	}
	if verdict == resultstore.Execute && q.submission.IsRetry && k.index.KeysMayBeLost(now) {
		verdict = resultstore.ReturnError
	}
	if verdict == resultstore.ReturnError && k.guardDisabled(guardProof) {
		verdict = resultstore.Execute
	}
	return verdict, position
}

// attemptWhileOpening lets a request wait until the folder is read, within bounds of time and number. It is answered at
// once if opening the folder has failed.
func (k *resultKeeper) attemptWhileOpening(h handle, r *request, response *wire.Response) (status int) {
	if k.openError != nil || len(k.waiting) >= k.host.requestCapacity()/openingWaitDivisor {
		return k.answerWithoutIndex(r.keyed, response)
	}
	r.setDisk(openingPending)
	k.waiting = append(k.waiting, h)
	k.host.setResultTimer(min(k.host.currentTime()+maxOpeningWait, k.diskWaitEnd(r)), h)
	return 0
}

// answerWithoutIndex decides on a request while the folder is not read: a retry gets an error, as an earlier attempt
// may have run; a first attempt is rejected.
func (k *resultKeeper) answerWithoutIndex(q *keyedRequest, response *wire.Response) (status int) {
	if q.submission.IsRetry {
		return k.fail()
	}
	return k.reject(response)
}

// reject counts a rejected attempt, sets its Retry-After time and returns its status.
func (k *resultKeeper) reject(response *wire.Response) (status int) {
	k.counts.rejected++
	response.RetryAfterMS = k.host.retryAfter(&k.retryTimes, 0)
	return wire.StatusServiceUnavailable
}

// fail counts an attempt of a key that ran or may have run and whose result can't be returned, and returns its status.
func (k *resultKeeper) fail() (status int) {
	k.counts.failed++
	return wire.StatusInternalServerError
}

// diskWaitEnd returns the latest time to answer a request that waits for the disk: responseMargin before its
// deadline, or before the end of a drain.
func (k *resultKeeper) diskWaitEnd(r *request) admission.Time {
	at := r.deadline
	if responseDeadline, draining := k.host.drainDeadline(); draining {
		at = min(at, responseDeadline)
	}
	return at - responseMargin
}

// readResult queues the read of a stored result for the reading goroutine. The attempt fails if too many reads are
// queued.
func (k *resultKeeper) readResult(h handle, r *request, position uint64) (status int) {
	store := k.store
	read := func() {
		result, err := store.ReadResult(position)
		k.host.runOnLoop(func() { k.resultRead(h, result, err) })
	}
	select {
	case k.reads <- read:
	default:
		return k.fail()
	}
	r.setDisk(readPending)
	k.host.setResultTimer(k.diskWaitEnd(r), h)
	return 0
}

// resultRead answers a request with the result that was read, or with 500 if the read failed, as the key ran. See row
// "open, read of kept results: any" in docs/design/failures.md.
func (k *resultKeeper) resultRead(h handle, result []byte, err error) {
	r := k.host.requestByHandle(h)
	if r == nil || r.disk != readPending {
		return
	}
	r.setDisk(nothingPending)
	if err != nil {
		if log := k.host.limitLog(); log != nil {
			log.WithField(logging.Error, err).Info(logResultUnreadable)
		}
		k.host.answer(h, r, wire.Response{Status: k.fail()})
		return
	}
	k.counts.replayed++
	if r.awaitsResponse() {
		k.host.countShared()
	}
	k.host.answer(h, r, wire.Response{Status: wire.StatusOK, Body: result})
}

// answerOverdue answers a request that still waits for the disk at its response deadline. Guards against a hung disk
// that would leave a client without a response. A request that waits for its intent holds a run slot and is answered by
// the controller. See row "request at its deadline" in docs/design/shutdown.md.
func (k *resultKeeper) answerOverdue(h handle) {
	r := k.host.requestByHandle(h)
	if r == nil || !r.awaitsResponse() {
		return
	}
	switch r.disk {
	case openingPending:
		r.setDisk(nothingPending)
		response := wire.Response{}
		response.Status = k.answerWithoutIndex(r.keyed, &response)
		k.host.answer(h, r, response)
	case readPending, resultPending: // the key ran
		k.host.answer(h, r, wire.Response{Status: k.fail()})
	}
}

// drain sets response deadlines before the end of the drain for all requests that wait for the disk.
func (k *resultKeeper) drain() {
	if k == nil {
		return
	}
	k.host.forEachRequest(func(h handle, r *request) {
		if r.disk != nothingPending && !r.isAnswered() {
			k.host.setResultTimer(k.diskWaitEnd(r), h)
		}
	})
}

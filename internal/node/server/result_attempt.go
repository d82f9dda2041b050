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

// newKeyedRequest names a request by its handler, its tenant and its caller's key, and digests what it asks for.
// Lengths stand before the texts. Guards against two requests of different handlers or tenants whose texts run into
// the same name, so that one's result would be the other's answer.
func newKeyedRequest(handler string, tenant, key, body []byte) *keyedRequest {
	q := &keyedRequest{}
	q.key = digestKey(fmt.Appendf(nil, "tenant/%d/%s/%d/%s/%s", len(handler), handler, len(tenant), tenant, key))
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

// windowOf is a handler's idempotency window, rounded up.
func windowOf(h *admission.Handler) agent.Milliseconds {
	return uint64(h.IdempotencyWindow)/uint64(admission.Second/1000) + 1
}

// intercept decides on a keyed request before the controller hears of it; true: it was answered, or waits for the disk.
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

// attempt decides what an attempt of a key gets as it comes: a status other than 0 answers it, with what goes with it
// in response; else it waits for what lifecycle.disk says, or the controller hears of it as of any other.
//
// A key that is not known is passed on, unless the disk could not take its intent: then it is rejected with a time to
// retry after, as it has not run. A stored result is read, unless it is in memory too. What ran or may have run
// without a result gets an error for the rest of its window, and another body under the key of a run is a bad
// request. It acts on handlers with an idempotency key alone; see resultstore.Index.Decide for the reasons.
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

// decide asks the index what an attempt gets, also under its legacy key, and answers a retry of a key that may be lost.
func (k *resultKeeper) decide(q *keyedRequest) (verdict resultstore.Verdict, position uint64) {
	now := k.clock()
	verdict, position = k.index.Decide(now, q.key, q.bodyDigest)
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

// attemptWhileOpening has a request wait for the folder to be read, within bounds, unless that failed before.
func (k *resultKeeper) attemptWhileOpening(h handle, r *request, response *wire.Response) (status int) {
	if k.openError != nil || len(k.waiting) >= k.host.requestCapacity()/openingWaitDivisor {
		return k.answerWithoutIndex(r.keyed, response)
	}
	r.setDisk(openingPending)
	k.waiting = append(k.waiting, h)
	k.host.setResultTimer(min(k.host.currentTime()+maxOpeningWait, k.responseDeadline(r)), h)
	return 0
}

// answerWithoutIndex decides on a request while the folder can't be read: a retry's first attempt may have run, so it gets
// an error; a first attempt is rejected, as it has not.
func (k *resultKeeper) answerWithoutIndex(q *keyedRequest, response *wire.Response) (status int) {
	if q.submission.IsRetry {
		return k.fail()
	}
	return k.reject(response)
}

// reject is for a key that has not run and can't be taken in at present.
func (k *resultKeeper) reject(response *wire.Response) (status int) {
	k.counts.rejected++
	response.RetryAfterMS = k.host.retryAfter(&k.retryTimes, 0)
	return wire.StatusServiceUnavailable
}

// fail is for a key that ran or may have run, and of which there is no result to tell.
func (k *resultKeeper) fail() (status int) {
	k.counts.failed++
	return wire.StatusInternalServerError
}

// responseDeadline is when a request that waits for the disk gets its answer at the latest.
func (k *resultKeeper) responseDeadline(r *request) admission.Time {
	at := r.deadline
	if answerBy, draining := k.host.drainDeadline(); draining {
		at = min(at, answerBy)
	}
	return at - responseMargin
}

// readResult has a result read, off the loop, to answer the attempt of a key that ran.
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
	k.host.setResultTimer(k.responseDeadline(r), h)
	return 0
}

// resultRead answers with a result that was read, or an error where it can't be: the key ran. See row "open, read of
// kept results: any" in docs/design/failures.md.
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

// answerLate answers a request that waits for the disk at its last moment. Guards against a disk that stands still, by
// which a client would get no answer. One that waits for its intent is the controller's to answer: it has its slot. See
// row "request out of time" in docs/design/shutdown.md.
func (k *resultKeeper) answerLate(h handle) {
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
	case readPending, resultPending: // it ran
		k.host.answer(h, r, wire.Response{Status: k.fail()})
	}
}

// drain has all that waits for the disk answered before the process ends.
func (k *resultKeeper) drain() {
	if k == nil {
		return
	}
	k.host.forEachRequest(func(h handle, r *request) {
		if r.disk != nothingPending && !r.isAnswered() {
			k.host.setResultTimer(k.responseDeadline(r), h)
		}
	})
}

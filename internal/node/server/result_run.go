package server

import (
	"bytes"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/node/wire"
)

// begin has the intent of a run that was given its slot made durable; the kernel is told of the run after that, and
// the run keeps its slot and place meanwhile. The key is decided on once more, as another attempt of it may have run
// since the request came. Guards against a kill after which the key runs again: what may have run has its intent on
// disk. See row "process killed with results kept" in docs/design/shutdown.md.
func (k *resultKeeper) begin(h handle, r *request) {
	q, verdict := r.keyed, resultstore.RejectFull
	if !k.rejectsNewKeys(k.host.currentTime()) {
		verdict, _ = k.decide(q)
	}
	if verdict == resultstore.Execute {
		if k.writeIntent(h, r) {
			return
		}
		verdict = resultstore.RejectFull
	}
	response := wire.Response{}
	switch verdict {
	case resultstore.RejectFull, resultstore.RejectConflict:
		response.Status = k.reject(&response)
	case resultstore.RejectMismatch:
		k.counts.mismatched++
		response.Status = wire.StatusBadRequest
	default: // it runs, ran or may have run by another attempt that the controller no longer knows of
		response.Status = k.fail()
	}
	k.endUnstarted(h, r, response)
}

// writeIntent hands the intent record over; false: as many records wait for the disk as may.
func (k *resultKeeper) writeIntent(h handle, r *request) bool {
	q := r.keyed
	k.faults.reach(faultBeforeIntent)
	window := windowOf(&k.host.platform().Deployment.Handlers[r.handler])
	intent := k.index.Begin(k.clock(), q.key, q.bodyDigest, window)
	r.setDisk(intentPending)
	if !k.write(intent, func(err error) { k.intentWritten(h, err) }) {
		r.setDisk(nothingPending)
		return false
	}
	k.host.trace(r, traceIntent)
	if k.guardDisabled(guardIntent) {
		k.intentWritten(h, nil)
	}
	return true
}

// endUnstarted ends a run that the kernel never heard of.
func (k *resultKeeper) endUnstarted(h handle, r *request, response wire.Response) {
	k.host.answer(h, r, response)
	k.host.endUnstarted(h, r)
}

// intentWritten goes on with a run whose intent is durable, or never will be. A request that was answered while the
// disk took its time does not run: nobody waits for it, and its key is free for its repeat.
func (k *resultKeeper) intentWritten(h handle, err error) {
	r := k.host.requestByHandle(h)
	if r == nil || r.disk != intentPending {
		return
	}
	r.setDisk(nothingPending)
	if err != nil {
		response := wire.Response{}
		response.Status = k.reject(&response)
		k.endUnstarted(h, r, response)
		return
	}
	r.keyed.intentDurable = true
	if r.isAnswered() {
		k.endUnstarted(h, r, wire.Response{Status: wire.StatusInternalServerError})
		return
	}
	k.faults.reach(faultIntentDurable)
	k.host.startRun(r)
	k.faults.reach(faultRunSent)
	if r.isToldToStop() {
		k.host.stopRun(r)
	}
}

// end takes the end of a run. deferred tells that its answer waits until its result is durable; else there is no
// result to answer with.
func (k *resultKeeper) end(h handle, r *request, outcome admission.Outcome, result []byte) (deferred bool) {
	if !r.keyed.intentDurable { // it never ran, and another attempt of its key may run, or have run
		return false
	}
	now, key := k.clock(), r.keyed.key
	switch outcome {
	case admission.NotExecuted, admission.Superseded: // nothing was started
		if record, ok := k.index.MarkNotExecuted(now, key); ok {
			k.write(record, func(error) {})
		}
		return false
	case admission.Succeeded:
		return k.storeResult(h, r, bytes.Clone(result))
	}
	// That it failed need not be durable before it is told: without that record it may have run, which gets an error
	// too.
	if record, ok := k.index.MarkExecuted(now, key, false, nil); ok {
		k.write(record, func(error) {})
	}
	return false
}

// storeResult hands the result record over; false: it can't be, or the index knows of no such run, and nothing may be
// told that a repeat would not get too.
func (k *resultKeeper) storeResult(h handle, r *request, result []byte) bool {
	k.faults.reach(faultRunEnded)
	record, ok := k.index.MarkExecuted(k.clock(), r.keyed.key, true, result)
	if !ok {
		return false
	}
	if record.Kind != resultstore.Result {
		if log := k.host.limitLog(); log != nil {
			log.WithFields(logrus.Fields{logging.Bytes: len(result),
				logging.MaxBytes: k.config.MaxResultBytes}).Info(logResultTooLarge)
		}
	}
	sharedKey := r.key
	if !k.write(record, func(err error) {
		k.faults.reach(faultResultDurable)
		k.resultWritten(h, sharedKey, err == nil && record.Kind == resultstore.Result, record.Result)
		k.faults.reach(faultAnswered)
	}) {
		return false
	}
	if r.setDisk(resultPending); k.guardDisabled(guardResult) {
		k.resultWritten(h, sharedKey, true, record.Result)
	}
	k.host.setResultTimer(k.responseDeadline(r), h)
	return true
}

// resultWritten tells a result that is durable now, or an error where it is not.
func (k *resultKeeper) resultWritten(h handle, sharedKey string, durable bool, result []byte) {
	if r := k.host.requestByHandle(h); r != nil && r.disk == resultPending {
		r.setDisk(nothingPending)
		if durable {
			k.host.answer(h, r, wire.Response{Status: wire.StatusOK, Body: result})
		} else {
			k.host.answer(h, r, wire.Response{Status: wire.StatusInternalServerError})
		}
	}
	k.host.completeWaiters(h, sharedKey, durable, result)
}

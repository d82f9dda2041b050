package server

import (
	"bytes"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/node/wire"
)

// begin writes the intent of a run that has its run slot; the run is sent to the kernel once the intent is durable. The
// verdict on the key is looked up again, as another attempt may have run since this one arrived. Guards against a key
// that runs again after a kill: whatever may have run has its intent on disk. See row "process killed with stored
// results" in docs/design/shutdown.md.
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
	default: // another attempt runs, ran or may have run, and the controller no longer knows it
		response.Status = k.fail()
	}
	k.answerAndEndUnstarted(h, r, response)
}

// writeIntent queues the intent record for the disk. It returns false if the queue is full.
func (k *resultKeeper) writeIntent(h handle, r *request) bool {
	q := r.keyed
	k.faults.reach(faultBeforeIntent)
	window := windowOf(&k.host.platform().Deployment.Handlers[r.handler])
	intent := k.index.Begin(k.clock(), q.resultKey, q.bodyDigest, window)
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

// answerAndEndUnstarted answers a request and ends its run, which was not sent to the kernel.
func (k *resultKeeper) answerAndEndUnstarted(h handle, r *request, response wire.Response) {
	k.host.answer(h, r, response)
	k.host.endUnstarted(h, r)
}

// intentWritten starts a run whose intent is durable, and rejects it if the write failed. A request that was answered
// meanwhile does not run, which frees its key for a retry.
func (k *resultKeeper) intentWritten(h handle, err error) {
	r := k.host.requestByHandle(h)
	if r == nil || r.disk != intentPending {
		return
	}
	r.setDisk(nothingPending)
	if err != nil {
		response := wire.Response{}
		response.Status = k.reject(&response)
		k.answerAndEndUnstarted(h, r, response)
		return
	}
	r.keyed.intentDurable = true
	if r.isAnswered() {
		k.answerAndEndUnstarted(h, r, wire.Response{Status: wire.StatusInternalServerError})
		return
	}
	k.faults.reach(faultIntentDurable)
	k.host.startRun(r)
	k.faults.reach(faultRunSent)
	if r.isStopRequested() {
		k.host.stopRun(r)
	}
}

// end records the end of a run. deferred reports that the response waits until the result is durable; otherwise there
// is no result to respond with.
func (k *resultKeeper) end(h handle, r *request, outcome admission.Outcome, result []byte) (deferred bool) {
	if !r.keyed.intentDurable { // this attempt did not run, but another of its key may
		return false
	}
	now, key := k.clock(), r.keyed.resultKey
	switch outcome {
	case admission.NotExecuted, admission.Superseded: // did not run
		if record, ok := k.index.MarkNotExecuted(now, key); ok {
			k.write(record, func(error) {})
		}
		return false
	case admission.Succeeded:
		return k.storeResult(h, r, bytes.Clone(result))
	}
	// The response need not wait for this record: without it the key may have run, and a retry gets an error too.
	if record, ok := k.index.MarkExecuted(now, key, false, nil); ok {
		k.write(record, func(error) {})
	}
	return false
}

// storeResult queues the result record for the disk. It returns false if the queue is full or the index has no such
// run: the response then must not carry a result, which a retry would not get.
func (k *resultKeeper) storeResult(h handle, r *request, result []byte) bool {
	k.faults.reach(faultRunEnded)
	record, ok := k.index.MarkExecuted(k.clock(), r.keyed.resultKey, true, result)
	if !ok {
		return false
	}
	if record.Kind != resultstore.Result {
		if log := k.host.limitLog(); log != nil {
			log.WithFields(logrus.Fields{logging.Bytes: len(result),
				logging.MaxBytes: k.config.MaxResultBytes}).Info(logResultTooLarge)
		}
	}
	repeatKey := r.repeatKey
	if !k.write(record, func(err error) {
		k.faults.reach(faultResultDurable)
		k.resultWritten(h, repeatKey, err == nil && record.Kind == resultstore.Result, record.Result)
		k.faults.reach(faultAnswered)
	}) {
		return false
	}
	if r.setDisk(resultPending); k.guardDisabled(guardResult) {
		k.resultWritten(h, repeatKey, true, record.Result)
	}
	k.host.setResultTimer(k.diskWaitEnd(r), h)
	return true
}

// resultWritten answers a request, and those that wait for its result, with the durable result or an error.
func (k *resultKeeper) resultWritten(h handle, repeatKey string, durable bool, result []byte) {
	if r := k.host.requestByHandle(h); r != nil && r.disk == resultPending {
		r.setDisk(nothingPending)
		if durable {
			k.host.answer(h, r, wire.Response{Status: wire.StatusOK, Body: result})
		} else {
			k.host.answer(h, r, wire.Response{Status: wire.StatusInternalServerError})
		}
	}
	k.host.completeWaiters(h, repeatKey, durable, result)
}

package server

import (
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/config"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/retryafter"
	"umberwinch/internal/wal"
)

// Messages of the result keeper.
const (
	logResultsOpened        = "result store opened"
	logResultsDamaged       = "result store was damaged: retries of keys that are not known get an error for a window"
	logResultsNotOpened     = "result store can't be opened: keyed requests are rejected, and it is tried again"
	logResultsMode          = "result store mode changed"
	logResultUnreadable     = "a stored result can't be read"
	logResultTooLarge       = "a result is too large to be stored: its repeats get an error"
	logResultsNotReleased   = "expired results can't be deleted"
	logResultsNotClosed     = "result store closed with an error"
	logResultsCloseTimedOut = "the disk did not take all records in time: keys without one may have run"
)

// storeMode is what the result store can do at present. Logs, counters and the body of health checks show it.
type storeMode string

// The modes. While opening, attempts of keys wait for the folder, for a time. In all others but modeReady new keys are
// rejected; known ones get what is known.
const (
	modeOpening storeMode = "opening" // the folder is not read yet: attempts of keyed requests wait
	modeReady   storeMode = "well"
	modeFailed  storeMode = "failed"  // the disk fails, or the folder can't be opened
	modeStalled storeMode = "stalled" // a record waits for too long
	modeFull    storeMode = "full"    // there is no room
)

const (
	// stallLimit is how long a record may wait for the disk before new keys are rejected. A sync takes some ms on any
	// disk, and a queue behind a few of them is still well under this; longer, requests would time out that could be
	// retried elsewhere.
	stallLimit = 400 * admission.Second / 1000
	// fullBackoff is for how long new keys are rejected after an attempt found no room or a record was lost: a disk
	// that is full is not tried with each request.
	fullBackoff = admission.Second
	// maxOpeningWait is how long attempts wait for the folder to be read; a million keys are read in less.
	maxOpeningWait = admission.Second
	// openingWaitDivisor of the requests in hand may wait for that, so that other handlers have room.
	openingWaitDivisor = 4
	// responseMargin is how long before its deadline a request that waits for the disk gets its answer: it has to reach
	// the caller in time.
	responseMargin = admission.Second / 50
	// reopenDelay is waited before a folder that can't be opened is tried again.
	reopenDelay = time.Second
	// maxPendingReads is how many results wait to be read; past it a known key's attempt gets an error, as it would wait for
	// longer than its caller does.
	maxPendingReads = 256
	// segmentBytes is the size of the log's files. Expired records are deleted by whole ones.
	segmentBytes = 8 << 20
	// minSegmentBytes is that of a small store, which has segmentsPerStore of them at least.
	minSegmentBytes  = 64 << 10
	segmentsPerStore = 4
	bytesPerMB       = 1 << 20
)

// keyedRequest is what a request with an idempotency key has beside, where results are stored.
type keyedRequest struct {
	key resultstore.Key
	// legacyKey is the name under which versions before tenants were told apart wrote the key. Guards against a
	// second run of what such a version let run, within its window.
	legacyKey     resultstore.Key
	bodyDigest    uint64
	intentDurable bool              // its own: what becomes of the key is for it to say
	submission    admission.Request // what the controller hears once the folder is read
}

// resultHost is what the result keeper needs of the server around it. runOnLoop may be called by any goroutine, the
// rest by the loop's alone.
type resultHost interface {
	runOnLoop(f func())
	currentTime() admission.Time
	drainDeadline() (answerBy admission.Time, draining bool)
	setResultTimer(at admission.Time, h handle) // answerLate is called then
	platform() *settings.Startup
	requestByHandle(h handle) *request
	forEachRequest(f func(h handle, r *request))
	requestCapacity() int
	submit(q *admission.Request) // the controller hears of a request
	answer(h handle, r *request, response wire.Response)
	countShared()
	startRun(r *request) // the kernel is told to run it
	stopRun(r *request)  // or to stop
	// endUnstarted ends a run that has its slot and that the kernel never heard of.
	endUnstarted(h handle, r *request)
	hasSharedResult(r *request) bool // the result of its key is in memory, or a run of it goes on
	// completeWaiters gives those who wait for a run's result that, or an error.
	completeWaiters(h handle, key string, ok bool, result []byte)
	trace(r *request, step traceStep)
	limitLog() *logrus.Entry
	retryAfter(*retryafter.Spreader, agent.Milliseconds) int64
}

// resultKeeper keeps the results of requests with an idempotency key over restarts of the node. What an attempt gets
// and what may be deleted is internal/node/resultstore's word; the keeper asks it as a request comes and once more as
// its run begins, holds the run back until the intent record is durable and the answer until the result is, and
// decides what is done while the disk does not work. It is used by the loop's goroutine and never waits for the disk
// there: records go to the store's goroutine, results are read by another, and what came of it comes back by
// runOnLoop. Without [kept] in the operator's file the loop has none.
//
// It never lets a key run whose intent is not durable, or that may have run.
type resultKeeper struct {
	host   resultHost
	clock  steadyClock
	log    *logrus.Logger
	config *config.ResultStore

	index *resultstore.Index // nil: the folder is not read yet
	store *resultstore.Store
	reads chan func()

	waiting      []handle         // for the folder to be read
	pendingSince []admission.Time // of the records that wait for the disk, the oldest first
	nextPosition uint64           // the log's next record has this position at least
	releasing    bool             // expired records are being deleted
	fullSince    admission.Time   // 0: there is room
	openError    error            // why the folder can't be opened
	mode         storeMode
	retryTimes   retryafter.Spreader
	faults       faultPoint

	counts resultCounts
}

// resultCounts are sums since the start.
type resultCounts struct {
	rejected, failed, mismatched uint64 // attempts answered 503, 500, 400
	replayed                     uint64 // attempts answered by a stored result
	lost                         uint64 // records that did not reach the disk
}

// newResultKeeper starts to read the folder.
func newResultKeeper(host resultHost, log *logrus.Logger, c *config.ResultStore) *resultKeeper {
	k := &resultKeeper{host: host, clock: bootTime, log: log, config: c, mode: modeOpening,
		reads:  make(chan func(), maxPendingReads),
		faults: faultPoint{name: c.KillAt, count: c.KillCount}}
	go func() { // ends with the process
		for read := range k.reads {
			read()
		}
	}()
	k.open(0)
	return k
}

// open reads the folder, off the loop, by a goroutine that ends with that. The store that it opens belongs to the
// keeper from opened on, and ends with close.
func (k *resultKeeper) open(after time.Duration) {
	limits := resultstore.Limits{Keys: k.config.MaxKeys, Bytes: int64(k.config.MaxMB) * bytesPerMB,
		ResultBytes: k.config.MaxResultBytes}
	handlers := k.host.platform().Deployment.Handlers
	for i := range handlers {
		limits.LongestWindow = max(limits.LongestWindow, windowOf(&handlers[i]))
	}
	sizes := wal.Sizes{SegmentBytes: min(segmentBytes, max(limits.Bytes/segmentsPerStore, minSegmentBytes)),
		MaxBytes: 2 * (limits.Bytes + segmentBytes)}
	folder := wal.Dir(k.config.Folder)
	go func() {
		time.Sleep(after)
		var store *resultstore.Store
		var index *resultstore.Index
		var found resultstore.Recovery
		now, boot, err := resultstore.BootClock()
		if err == nil {
			store, index, found, err = resultstore.Open(folder, sizes, limits, now, boot)
		}
		k.host.runOnLoop(func() { k.folderOpened(store, index, found, err) })
	}()
}

// folderOpened takes the folder over, and lets the requests in that came meanwhile. Guards against a folder that can't be
// read, of whose keys nothing is known: it is tried again after reopenDelay, and meanwhile no key runs that may
// have run. See row "open, read of kept results: any" in docs/design/failures.md.
func (k *resultKeeper) folderOpened(store *resultstore.Store, index *resultstore.Index, found resultstore.Recovery,
	err error) {
	if err != nil {
		if k.openError == nil || k.openError.Error() != err.Error() {
			k.log.WithFields(logrus.Fields{logging.File: k.config.Folder, logging.Error: err}).Error(logResultsNotOpened)
		}
		k.openError = err
		k.open(reopenDelay)
	} else {
		k.useStore(store, index, found)
	}
	k.updateMode()
	waiting := k.waiting
	k.waiting = nil
	for _, h := range waiting {
		r := k.host.requestByHandle(h)
		if r == nil || r.disk != openingPending || !r.awaitsResponse() {
			continue
		}
		r.setDisk(nothingPending)
		if !k.intercept(h, r) {
			k.host.submit(&r.keyed.submission)
		}
	}
}

// useStore begins to use an open store.
func (k *resultKeeper) useStore(store *resultstore.Store, index *resultstore.Index, found resultstore.Recovery) {
	k.store, k.index, k.nextPosition, k.openError = store, index, store.NextPosition(), nil
	store.SyncEachRecord = k.guardDisabled(guardGroupSync)
	if k.faults.onStoreGoroutine() {
		store.BeforeWrite = func() { k.faults.reach(k.faults.name) }
	}
	if found.Gaps > 0 {
		k.log.WithFields(logrus.Fields{logging.File: k.config.Folder,
			logging.Count: found.Gaps}).Error(logResultsDamaged)
	}
	k.log.WithFields(logrus.Fields{logging.Keys: found.Keys, logging.Indeterminate: found.Indeterminate,
		logging.Records: found.Records, logging.ElapsedMS: found.Duration.Milliseconds(),
		logging.SameBoot: found.SameBoot,
		logging.TornTail: found.TornTail != ""}).Info(logResultsOpened)
}

// updateMode says when the mode changes.
func (k *resultKeeper) updateMode() {
	mode, now := modeReady, k.host.currentTime()
	switch {
	case k.openError != nil || k.index != nil && k.store.Err() != nil:
		mode = modeFailed
	case k.index == nil:
		mode = modeOpening
	case k.isStalled(now):
		mode = modeStalled
	case k.isFull(now):
		mode = modeFull
	}
	if mode != k.mode {
		k.log.WithFields(logrus.Fields{logging.Mode: mode, logging.PreviousMode: k.mode,
			logging.PendingRecords: len(k.pendingSince)}).Info(logResultsMode)
		k.mode = mode
	}
}

// rejectsNewKeys decides whether no new key may be let in, since its intent could not be made durable soon: the
// folder is not read, the disk fails or takes too long, or there is no room. Guards against runs that hold a slot
// until their deadline for a record that never gets there. See row "write or sync of kept results: any" in
// docs/design/failures.md.
func (k *resultKeeper) rejectsNewKeys(now admission.Time) bool {
	return k.index == nil || k.store.Err() != nil || k.isStalled(now) || k.isFull(now)
}

func (k *resultKeeper) isStalled(now admission.Time) bool {
	return len(k.pendingSince) > 0 && now-k.pendingSince[0] > stallLimit
}

func (k *resultKeeper) isFull(now admission.Time) bool {
	return k.fullSince > 0 && now-k.fullSince < fullBackoff
}

// addCounters adds what operators see of the store.
func (k *resultKeeper) addCounters(out logrus.Fields) {
	if k == nil {
		return
	}
	out["kept_mode"], out["kept_waits"], out["kept_lost"] = string(k.mode), len(k.pendingSince), k.counts.lost
	out["kept_shed"], out["kept_errored"], out["kept_refused"], out["kept_answers"] = k.counts.rejected,
		k.counts.failed,
		k.counts.mismatched,
		k.counts.replayed
	if k.index != nil {
		out["kept_keys"], out["kept_bytes"] = k.index.Len(), k.index.BytesUsed()
	}
}

// healthBody is what answers to health checks say while the store is not well; empty: nothing.
func (k *resultKeeper) healthBody() []byte {
	if k == nil || k.mode == modeReady {
		return nil
	}
	return []byte("kept results: " + string(k.mode) + "\n")
}

// close gives the disk what was handed over and closes the store, within what is left until patience.
func (k *resultKeeper) close(patience time.Duration) {
	if k == nil || k.store == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := k.store.Close(); err != nil {
			k.log.WithError(err).Warn(logResultsNotClosed)
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		k.log.Warn(logResultsCloseTimedOut)
	}
}

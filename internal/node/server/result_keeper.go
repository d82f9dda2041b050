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

// Log messages of the result keeper.
const (
	logResultsOpened        = "result store opened"
	logResultsDamaged       = "result store was damaged: retries of unknown keys get an error for one idempotency window"
	logResultsNotOpened     = "result store can't be opened: keyed requests are rejected, will retry"
	logResultsMode          = "result store mode changed"
	logResultUnreadable     = "reading a stored result failed"
	logResultTooLarge       = "a result is too large to store: retries get an error"
	logResultsNotReleased   = "deleting expired results failed"
	logResultsNotClosed     = "result store closed with an error"
	logResultsCloseTimedOut = "result store close timed out: records may be lost, keys without one may have run"
)

// storeMode is the state of the result store, shown in logs, counters and the body of health checks.
type storeMode string

// Store modes. In modeFailed, modeStalled and modeFull new keys are rejected; attempts of known keys are answered.
const (
	modeOpening storeMode = "opening" // the folder is being read: attempts of keyed requests wait
	modeReady   storeMode = "well"
	modeFailed  storeMode = "failed"  // the disk fails, or the folder can't be opened
	modeStalled storeMode = "stalled" // a record has waited for the disk longer than stallLimit
	modeFull    storeMode = "full"    // within fullBackoff a key found no room, or a write failed
)

const (
	// stallLimit is the maximum time that a record waits for the disk before new keys are rejected.
	stallLimit = 400 * admission.Second / 1000
	// fullBackoff is the time for which new keys are rejected after an attempt found no room or a record was lost, so
	// that a full disk is not tried with each request.
	fullBackoff = admission.Second
	// maxOpeningWait is the maximum time that an attempt waits for the folder to be read.
	maxOpeningWait = admission.Second
	// openingWaitDivisor: at most the request capacity divided by this waits for the folder, to leave room for others.
	openingWaitDivisor = 4
	// responseMargin is the time before its deadline at which a request that waits for the disk is answered.
	responseMargin = admission.Second / 50
	// reopenDelay is the wait before another attempt to open the folder.
	reopenDelay = time.Second
	// maxPendingReads is the maximum number of queued reads of results; past it an attempt of a known key gets an
	// error.
	maxPendingReads = 256
	// segmentBytes is the size of the log's files; expired records are deleted by whole files.
	segmentBytes = 8 << 20
	// minSegmentBytes is the minimum file size of a small store, which is divided into segmentsPerStore files.
	minSegmentBytes  = 64 << 10
	segmentsPerStore = 4
	bytesPerMB       = 1 << 20
)

// keyedRequest is the result keeper's part of a request with an idempotency key. It belongs to the request and is used
// by the loop's goroutine alone.
type keyedRequest struct {
	resultKey resultstore.Key
	// legacyKey is the key as written by versions that did not include the tenant. Guards against a second run of a key
	// that such a version ran, within its window.
	legacyKey     resultstore.Key
	bodyDigest    uint64            // never 0
	intentDurable bool              // the intent of this attempt is durable, so its run decides the key's state
	submission    admission.Request // submitted to the controller once the folder is read
}

// resultHost is the result keeper's view of the server, implemented by the loop. runOnLoop may be called by any
// goroutine, the other methods by the loop's goroutine alone.
type resultHost interface {
	runOnLoop(f func()) // queues f to be called by the loop's goroutine
	currentTime() admission.Time
	drainDeadline() (responseDeadline admission.Time, draining bool)
	setResultTimer(at admission.Time, h handle) // has answerOverdue called at that time
	platform() *settings.Startup
	requestByHandle(h handle) *request
	forEachRequest(f func(h handle, r *request))
	requestCapacity() int
	submit(q *admission.Request) // submits a request to the controller
	answer(h handle, r *request, response wire.Response)
	countShared()        // counts a request answered from a shared result
	startRun(r *request) // sends the command that starts the run
	stopRun(r *request)  // sends the command that stops the run
	// endUnstarted ends a run that has its run slot but was not sent to the kernel.
	endUnstarted(h handle, r *request)
	hasSharedResult(r *request) bool // the result of its key is in memory, or a run of it is in progress
	// completeWaiters answers the requests that wait for a run's result with it, or with an error.
	completeWaiters(h handle, key string, ok bool, result []byte)
	trace(r *request, step traceStep)
	limitLog() *logrus.Entry
	retryAfter(*retryafter.Spreader, agent.Milliseconds) int64
}

// resultKeeper keeps the results of requests with an idempotency key across restarts of the node. It asks
// internal/node/resultstore for the verdict on an attempt at its arrival and again at the begin of its run, delays the
// run until the intent record is durable and the response until the result is, and decides what happens while the disk
// fails. No key runs without a durable intent, or if it may have run before.
//
// It is used by the loop's goroutine alone, until the process ends, and never blocks on the disk: the store's goroutine
// writes records, another reads results, and both return through runOnLoop. Without [kept] in the operator's file it is
// nil.
type resultKeeper struct {
	host   resultHost
	clock  steadyClock
	log    *logrus.Logger
	config *config.ResultStore

	index *resultstore.Index // nil until the folder is read
	store *resultstore.Store
	reads chan func()

	waiting      []handle         // requests that wait for the folder to be read
	pendingSince []admission.Time // when each record that waits for the disk was queued, oldest first
	nextPosition uint64           // lower bound of the position of the log's next record
	releasing    bool             // expired records are being deleted
	fullSince    admission.Time   // last attempt rejected for lack of room, or last failed write; 0: none
	openError    error            // why the folder can't be opened
	mode         storeMode
	retryTimes   retryafter.Spreader
	faults       faultPoint

	counts resultCounts
}

// resultCounts are counters since the start of the process.
type resultCounts struct {
	rejected, failed, mismatched uint64 // attempts answered 503, 500, 400
	replayed                     uint64 // attempts answered by a stored result
	lost                         uint64 // records that did not reach the disk
}

// newResultKeeper creates a result keeper and starts reading its folder.
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

// open reads the folder after a delay, in a goroutine that ends with it. The keeper owns the opened store from
// folderOpened until close.
func (k *resultKeeper) open(delay time.Duration) {
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
		time.Sleep(delay)
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

// folderOpened handles the outcome of open, and decides on the requests that waited for it. If the folder can't be
// read, opening is retried after reopenDelay, and until then no key runs, as any may have run before. See row "open,
// read of kept results: any" in docs/design/failures.md.
func (k *resultKeeper) folderOpened(store *resultstore.Store, index *resultstore.Index, found resultstore.Recovery,
	err error) {
	if err != nil {
		if k.openError == nil || k.openError.Error() != err.Error() {
			k.log.WithFields(logrus.Fields{logging.File: k.config.Folder, logging.Error: err}).
				Error(logResultsNotOpened)
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

// useStore takes an opened store into use and logs what was recovered.
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

// updateMode computes the mode and logs a change of it.
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

// rejectsNewKeys decides whether new keys are rejected because their intent would not become durable soon: the folder
// is not read, the disk fails or stalls, or there is no room. Guards against runs that hold a run slot until their
// deadline for a record that is never written. See row "write or sync of kept results: any" in docs/design/failures.md.
func (k *resultKeeper) rejectsNewKeys(now admission.Time) bool {
	return k.index == nil || k.store.Err() != nil || k.isStalled(now) || k.isFull(now)
}

func (k *resultKeeper) isStalled(now admission.Time) bool {
	return len(k.pendingSince) > 0 && now-k.pendingSince[0] > stallLimit
}

func (k *resultKeeper) isFull(now admission.Time) bool {
	return k.fullSince > 0 && now-k.fullSince < fullBackoff
}

// addCounters adds the store's mode and counters to the fields of a counters line.
func (k *resultKeeper) addCounters(out logrus.Fields) {
	if k == nil {
		return
	}
	out["kept_mode"], out["kept_waits"], out["kept_lost"] = string(k.mode), len(k.pendingSince), k.counts.lost
	out["kept_shed"], out["kept_errored"] = k.counts.rejected, k.counts.failed
	out["kept_refused"], out["kept_answers"] = k.counts.mismatched, k.counts.replayed
	if k.index != nil {
		out["kept_keys"], out["kept_bytes"] = k.index.Len(), k.index.BytesUsed()
	}
}

// healthBody returns the body of health check responses: the mode unless it is modeReady, else nothing.
func (k *resultKeeper) healthBody() []byte {
	if k == nil || k.mode == modeReady {
		return nil
	}
	return []byte("kept results: " + string(k.mode) + "\n")
}

// close writes the queued records and closes the store. It gives up after timeout.
func (k *resultKeeper) close(timeout time.Duration) {
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
	case <-time.After(timeout):
		k.log.Warn(logResultsCloseTimedOut)
	}
}

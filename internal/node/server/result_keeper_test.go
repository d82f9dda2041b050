package server

import (
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/config"
	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/wal"
)

// blockingDisk is an in-memory disk whose syncs the test can block or fail.
type blockingDisk struct {
	wal.FS
	syncGate  chan struct{} // syncs block until it is closed; nil: none blocks
	failSyncs atomic.Bool
}

func (d *blockingDisk) Create(name string) (wal.File, error) {
	f, err := d.FS.Create(name)
	return blockingFile{f, d}, err
}

func (d *blockingDisk) Open(name string) (wal.File, error) {
	f, err := d.FS.Open(name)
	return blockingFile{f, d}, err
}

type blockingFile struct {
	wal.File
	disk *blockingDisk
}

func (f blockingFile) Sync() error {
	if f.disk.syncGate != nil {
		<-f.disk.syncGate
	}
	if f.disk.failSyncs.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// loopWithStore returns a loop without sockets, with a result keeper on the disk.
func loopWithStore(t *testing.T, d *blockingDisk) *loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{crossGoroutine: crossGoroutine{log: log, events: make(chan event, 64), limits: NewLimits(1, 64, 256)},
		inFlightRequests: inFlightRequests{requests: newTable[request](8),
			idempotency: newIdempotencyTable(10, 1000, 50)},
		clients: clients{connections: newTable[connection](2)},
		configuration: configuration{names: []string{"put"}, settings: &settings.Startup{
			Deployment: &admission.Deployment{MaxRetryAfter: 5 * admission.Second, Handlers: []admission.Handler{
				{IdempotencyWindow: admission.Second, RetrySafety: admission.IdempotencyKeyed}}}}}}
	l.startClock(admission.Second)
	l.results = &resultKeeper{host: l, clock: bootTime, log: log,
		config: &config.ResultStore{MaxKeys: 100, MaxMB: 1, MaxResultBytes: 100},
		reads:  make(chan func(), 1)}
	store, index, found, err := resultstore.Open(d, wal.Sizes{SegmentBytes: 1 << 16, MaxBytes: 1 << 20},
		resultstore.Limits{Keys: 100, Bytes: 1 << 18, ResultBytes: 100},
		bootTime(), "boot")
	if err != nil {
		t.Fatal(err)
	}
	l.results.folderOpened(store, index, found, nil)
	return l
}

// newKeyedRun adds an attempt of a key that has its run slot.
func (l *loop) newKeyedRun(key string) (handle, *request) {
	h, r, _ := l.requests.take()
	*r = request{keyed: newKeyedRequest("put", nil, []byte(key), []byte("body")), arrival: l.now,
		lifecycle: lifecycle{run: runRunning},
		deadline:  l.now + 2*admission.Second}
	return h, r
}

// awaitDisk handles the next event, which a callback of the disk has queued.
func (l *loop) awaitDisk(t *testing.T) {
	t.Helper()
	select {
	case e := <-l.events:
		l.handle(e)
	case <-time.After(testTimeout):
		t.Fatalf("no callback of the disk within %v", testTimeout)
	}
}

// TestDiskStalls checks a sync that blocks: new keys are rejected, a run whose intent becomes durable only after its
// request was answered does not start, and afterwards the store is ready. Guards against runs that hold a run slot
// until their deadline.
func TestDiskStalls(t *testing.T) {
	d := &blockingDisk{FS: wal.NewMemFS()}
	l := loopWithStore(t, d)
	d.syncGate = make(chan struct{})
	h, r := l.newKeyedRun("a")
	l.results.begin(h, r)
	if r.runCommand != 0 || r.disk != intentPending {
		t.Fatalf("run command %d, disk state %v before the intent is durable, want 0, %v", r.runCommand, r.disk,
			intentPending)
	}
	l.now += stallLimit + 1
	l.results.updateMode()
	h2, other := l.newKeyedRun("b")
	l.results.intercept(h2, other)
	if l.results.mode != modeStalled || !other.isAnswered() || l.counters.Rejected != 1 {
		t.Errorf("mode %s, new key answered %v, rejected %d, want %s, true, 1", l.results.mode, other.isAnswered(),
			l.counters.Rejected, modeStalled)
	}
	l.Fail(uint32(h), admission.ReasonDeadline) // as the controller does at the deadline
	close(d.syncGate)
	l.awaitDisk(t)
	r = l.requests.get(h) // the table may have grown
	if r.runCommand != 0 || r.run != runFinished || len(l.nextRound().RunEnds) != 1 ||
		l.nextRound().RunEnds[0].Outcome != admission.NotExecuted {
		t.Errorf("request %+v, run ends %v, want it finished and not executed", r, l.nextRound().RunEnds)
	}
	l.awaitDisk(t) // the record that closes the intent
	if s := l.results.index.Lookup(bootTime(), r.keyed.resultKey); s != resultstore.Unknown || l.results.mode != modeReady {
		t.Errorf("key %s, mode %s afterwards, want %s, %s", s, l.results.mode, resultstore.Unknown, modeReady)
	}
}

// TestDiskFails checks failing syncs: a run that waits for its intent is rejected, a lost result is answered with an
// error, and new keys are rejected until the disk works again.
func TestDiskFails(t *testing.T) {
	d := &blockingDisk{FS: wal.NewMemFS()}
	l := loopWithStore(t, d)
	h, r := l.newKeyedRun("ran")
	l.results.begin(h, r)
	l.awaitDisk(t)
	if r.runCommand == 0 {
		t.Fatal("run not sent to the kernel although its intent is durable")
	}
	d.failSyncs.Store(true)
	l.runEnded(h, r, admission.Succeeded, 1, []byte("result"))
	if r.isAnswered() {
		t.Fatal("request answered before its result is durable")
	}
	l.awaitDisk(t)
	if l.counters.Failed != 1 || l.counters.Succeeded != 0 || l.results.index.Lookup(bootTime(),
		r.keyed.resultKey) != resultstore.Indeterminate {
		t.Errorf("failed %d, succeeded %d, key %s, want 1, 0, %s", l.counters.Failed, l.counters.Succeeded,
			l.results.index.Lookup(bootTime(), r.keyed.resultKey), resultstore.Indeterminate)
	}
	h2, other := l.newKeyedRun("new")
	if l.results.intercept(h2, other); l.results.mode != modeFailed || l.counters.Rejected != 1 {
		t.Errorf("mode %s, rejected %d, want %s, 1", l.results.mode, l.counters.Rejected, modeFailed)
	}
	h3, queued := l.newKeyedRun("held") // submitted before the disk failed
	l.results.begin(h3, queued)
	if queued.runCommand != 0 || queued.run != runFinished || l.counters.Rejected != 2 {
		t.Errorf("queued key: run command %d, run state %v, rejected %d, want 0, %v, 2", queued.runCommand, queued.run,
			l.counters.Rejected, runFinished)
	}
	d.failSyncs.Store(false)
	if !waitUntil(func() bool {
		l.now = timeOf(l.clock.Now())
		l.results.updateMode()
		return l.results.mode == modeReady
	}) {
		t.Fatalf("mode %s after the disk works again, want %s", l.results.mode, modeReady)
	}
	h4, retry := l.newKeyedRun("new")
	if l.results.begin(h4, retry); retry.disk != intentPending {
		t.Fatalf("disk state %v after the disk works again, want %v", retry.disk, intentPending)
	}
	l.awaitDisk(t)
	if retry.runCommand == 0 {
		t.Error("run not sent to the kernel after the disk works again")
	}
}

// TestResponseBeforeResultIsDurable checks a result that is not durable before the end of a drain: the caller gets one
// response, an error in time, and the result is known once it is durable.
func TestResponseBeforeResultIsDurable(t *testing.T) {
	d := &blockingDisk{FS: wal.NewMemFS()}
	l := loopWithStore(t, d)
	h, r := l.newKeyedRun("a")
	l.results.begin(h, r)
	l.awaitDisk(t)
	d.syncGate = make(chan struct{})
	l.runEnded(h, r, admission.Succeeded, 1, []byte("result"))
	l.draining, l.responseDeadline = true, l.now+admission.Second/10
	l.results.drain()
	l.now = l.responseDeadline - responseMargin
	l.fireTimers()
	if !r.isAnswered() || l.counters.Failed != 1 {
		t.Fatalf("answered %v, failed %d before the end of the drain, want true, 1", r.isAnswered(), l.counters.Failed)
	}
	close(d.syncGate)
	l.awaitDisk(t)
	if l.counters.Succeeded+l.counters.Failed != 1 {
		t.Errorf("%d responses, want 1", l.counters.Succeeded+l.counters.Failed)
	}
	if l.results.index.Lookup(bootTime(), r.keyed.resultKey) != resultstore.Completed {
		t.Errorf("key %s although its result is durable, want %s", l.results.index.Lookup(bootTime(), r.keyed.resultKey),
			resultstore.Completed)
	}
}

// TestRequestsBeforeTheFolderIsRead checks requests that arrive before the folder is read: they wait for maxOpeningWait
// at most and are then rejected, or are submitted once it is read. A retry gets an error if the folder can't be read,
// as its first attempt may have run.
func TestRequestsBeforeTheFolderIsRead(t *testing.T) {
	l := loopWithStore(t, &blockingDisk{FS: wal.NewMemFS()})
	k := l.results
	index := k.index
	k.index = nil
	arrival := l.now
	h, r := l.newKeyedRun("a")
	if !l.results.intercept(h, r) || r.disk != openingPending || r.isAnswered() {
		t.Fatalf("disk state %v, answered %v, want %v, false", r.disk, r.isAnswered(), openingPending)
	}
	l.now = arrival + maxOpeningWait - 1
	l.fireTimers()
	if r.isAnswered() {
		t.Fatal("request answered before maxOpeningWait")
	}
	l.now = arrival + maxOpeningWait
	if l.fireTimers(); !r.isAnswered() || l.counters.Rejected != 1 {
		t.Fatalf("answered %v, rejected %d after maxOpeningWait, want true, 1", r.isAnswered(), l.counters.Rejected)
	}
	h, r = l.newKeyedRun("b")
	r.keyed.submission.ID = uint32(h)
	l.results.intercept(h, r)
	l.results.folderOpened(k.store, index, resultstore.Recovery{}, nil)
	if got := l.nextRound().Arrived; len(got) != 1 || got[0].ID != uint32(h) || l.requests.get(h).isAnswered() {
		t.Errorf("submitted requests %v, want the one that waited, id %d", got, h)
	}
	k.index = nil
	h, r = l.newKeyedRun("c")
	l.results.intercept(h, r)
	l.results.folderOpened(nil, nil, resultstore.Recovery{}, wal.ErrLocked)
	if !l.requests.get(h).isAnswered() || l.counters.Rejected != 2 || k.mode != modeFailed {
		t.Errorf("folder can't be opened: answered %v, rejected %d, mode %s, want true, 2, %s",
			l.requests.get(h).isAnswered(), l.counters.Rejected, k.mode, modeFailed)
	}
	h, r = l.newKeyedRun("d")
	r.keyed.submission.IsRetry = true // its first attempt may have run
	if l.results.intercept(h, r); !r.isAnswered() || l.counters.Failed != 1 || l.counters.Rejected != 2 {
		t.Errorf("retry without an index: answered %v, failed %d, rejected %d, want true, 1, 2", r.isAnswered(),
			l.counters.Failed, l.counters.Rejected)
	}
}

// TestKeyCheckedAgainAtRunSlot checks two attempts of a key that are both submitted: once the first runs, the second
// does not run when it gets its run slot, with the same body or another, and the state of the first is unchanged.
func TestKeyCheckedAgainAtRunSlot(t *testing.T) {
	l := loopWithStore(t, &blockingDisk{FS: wal.NewMemFS()})
	h, r := l.newKeyedRun("a")
	l.results.begin(h, r)
	l.awaitDisk(t)
	first := l.results.index.Lookup(bootTime(), r.keyed.resultKey)
	for _, c := range []struct {
		body             string
		rejected, failed uint64
	}{{"body", 0, 1}, {"another", 1, 1}} {
		h, r := l.newKeyedRun("a")
		r.keyed = newKeyedRequest("put", nil, []byte("a"), []byte(c.body))
		l.results.begin(h, r)
		if r.runCommand != 0 || r.run != runFinished || l.counters.Rejected != c.rejected ||
			l.counters.Failed != c.failed {
			t.Errorf("body %q: run command %d, run state %v, rejected %d, failed %d, want 0, %v, %d, %d", c.body,
				r.runCommand, r.run, l.counters.Rejected, l.counters.Failed, runFinished, c.rejected, c.failed)
		}
		if got := l.results.index.Lookup(bootTime(), r.keyed.resultKey); got != first || got != resultstore.Running {
			t.Errorf("body %q: key of the first attempt is %s, was %s, want %s", c.body, got, first,
				resultstore.Running)
		}
	}
	l.runEnded(h, l.requests.get(h), admission.Succeeded, 1, []byte("result"))
	if l.awaitDisk(t); l.counters.Succeeded != 1 {
		t.Errorf("succeeded %d, want 1", l.counters.Succeeded)
	}
}

// TestKeysAreSeparateByTenant checks that a key of one tenant does not affect the same key of another. A legacy key,
// stored without a tenant, affects all tenants for its window.
func TestKeysAreSeparateByTenant(t *testing.T) {
	l := loopWithStore(t, &blockingDisk{FS: wal.NewMemFS()})
	begin := func(q *keyedRequest) {
		l.results.index.Begin(bootTime(), q.resultKey, q.bodyDigest, 60_000)
	}
	verdict := func(tenant, key string) resultstore.Verdict {
		v, _ := l.results.decide(newKeyedRequest("put", []byte(tenant), []byte(key), []byte("body")))
		return v
	}
	begin(newKeyedRequest("put", []byte("home"), []byte("a"), []byte("body")))
	if got := verdict("home", "a"); got != resultstore.WaitForResult {
		t.Errorf("same tenant: verdict %s, want %s", got, resultstore.WaitForResult)
	}
	if got := verdict("acme", "a"); got != resultstore.Execute {
		t.Errorf("another tenant: verdict %s, want %s", got, resultstore.Execute)
	}
	if got := verdict("", "home/a"); got != resultstore.Execute {
		t.Errorf("no tenant: verdict %s, want %s", got, resultstore.Execute)
	}
	legacy := newKeyedRequest("put", nil, []byte("b"), []byte("body"))
	legacy.resultKey = digestKey([]byte("3/put/b")) // the form of a legacy key
	begin(legacy)
	if got := verdict("home", "b"); got != resultstore.WaitForResult {
		t.Errorf("legacy key: verdict %s, want %s", got, resultstore.WaitForResult)
	}
}

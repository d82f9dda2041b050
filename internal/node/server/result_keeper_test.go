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

// blockingDisk holds each sync until the test lets it go on, or fails it.
type blockingDisk struct {
	wal.FS
	syncGate  chan struct{} // nil: nothing is held
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

// loopWithStore is a loop without sockets over a store on such a disk, as far as this part needs one.
func loopWithStore(t *testing.T, d *blockingDisk) *loop {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &loop{crossGoroutine: crossGoroutine{log: log, events: make(chan event, 64), limits: NewLimits(1, 64, 256)},
		requestsInHand: requestsInHand{requests: newTable[request](8),
			idempotency: newIdempotencyTable(10, 1000, 50)},
		clients: clients{connections: newTable[connection](2)},
		configuration: configuration{names: []string{"put"}, settings: &settings.Startup{
			Deployment: &admission.Deployment{MaxRetryAfter: 5 * admission.Second, Handlers: []admission.Handler{
				{IdempotencyWindow: admission.Second, RetrySafety: admission.IdempotencyKeyed}}}}}}
	l.startClock(admission.Second)
	l.results = &resultKeeper{host: l, clock: bootTime, log: log,
		config: &config.ResultStore{MaxKeys: 100, MaxMB: 1, MaxResultBytes: 100},
		reads:  make(chan func(), 1)}
	store, book, found, err := resultstore.Open(d, wal.Sizes{SegmentBytes: 1 << 16, MaxBytes: 1 << 20},
		resultstore.Limits{Keys: 100, Bytes: 1 << 18, ResultBytes: 100},
		bootTime(), "boot")
	if err != nil {
		t.Fatal(err)
	}
	l.results.folderOpened(store, book, found, nil)
	return l
}

// newKeyedRun is a try that has its slot.
func (l *loop) newKeyedRun(key string) (handle, *request) {
	h, r, _ := l.requests.take()
	*r = request{keyed: newKeyedRequest("put", nil, []byte(key), []byte("body")), arrival: l.now,
		lifecycle: lifecycle{run: runRunning},
		deadline:  l.now + 2*admission.Second}
	return h, r
}

// awaitDisk has the loop take the next word of the disk.
func (l *loop) awaitDisk(t *testing.T) {
	t.Helper()
	select {
	case e := <-l.events:
		l.handle(e)
	case <-time.After(patience):
		t.Fatal("the disk says nothing")
	}
}

// TestDiskStalls: the disk takes a record and does not finish. A run that waited for its intent would hold its slot
// until its deadline; so new keys are rejected meanwhile, what is durable only after its request was answered does
// not run, and then all is well again.
func TestDiskStalls(t *testing.T) {
	d := &blockingDisk{FS: wal.NewMemFS()}
	l := loopWithStore(t, d)
	d.syncGate = make(chan struct{})
	h, r := l.newKeyedRun("a")
	l.results.begin(h, r)
	if r.runCommand != 0 || r.disk != intentPending {
		t.Fatal("it went to the kernel before its intent was durable")
	}
	l.now += stallLimit + 1
	l.results.updateMode()
	h2, other := l.newKeyedRun("b")
	l.results.intercept(h2, other)
	if l.results.mode != modeStalled || !other.isAnswered() || l.counters.Rejected != 1 {
		t.Errorf("%s, and a new key is not shed", l.results.mode)
	}
	l.Fail(uint32(h), admission.ReasonDeadline) // the module: its time is over
	close(d.syncGate)
	l.awaitDisk(t)
	r = l.requests.get(h) // the table may have grown
	if r.runCommand != 0 || r.run != runFinished || len(l.nextRound().RunEnds) != 1 ||
		l.nextRound().RunEnds[0].Outcome != admission.NotExecuted {
		t.Errorf("what was answered meanwhile ran: %+v, ends %v", r, l.nextRound().RunEnds)
	}
	l.awaitDisk(t) // its intent is closed
	if s := l.results.index.Lookup(bootTime(), r.keyed.key); s != resultstore.Unknown || l.results.mode != modeReady {
		t.Errorf("%s, %s afterwards, expected it unknown and well", s, l.results.mode)
	}
}

// TestDiskFails: a write fails. A run that waits for it is rejected and does not run, a result that is lost is
// answered with an error, and new keys are rejected until the disk works again, by itself.
func TestDiskFails(t *testing.T) {
	d := &blockingDisk{FS: wal.NewMemFS()}
	l := loopWithStore(t, d)
	h, r := l.newKeyedRun("ran")
	l.results.begin(h, r)
	l.awaitDisk(t)
	if r.runCommand == 0 {
		t.Fatal("its intent is durable, and it did not go out")
	}
	d.failSyncs.Store(true)
	l.runEnded(h, r, admission.Succeeded, 1, []byte("result"))
	if r.isAnswered() {
		t.Fatal("answered before its result was durable")
	}
	l.awaitDisk(t)
	if l.counters.Failed != 1 || l.counters.Succeeded != 0 || l.results.index.Lookup(bootTime(),
		r.keyed.key) != resultstore.Indeterminate {
		t.Errorf("%d errored, %d done, key %s", l.counters.Failed, l.counters.Succeeded,
			l.results.index.Lookup(bootTime(), r.keyed.key))
	}
	h2, other := l.newKeyedRun("new")
	if l.results.intercept(h2, other); l.results.mode != modeFailed || l.counters.Rejected != 1 {
		t.Errorf("%s, and a new key is not shed", l.results.mode)
	}
	h3, held := l.newKeyedRun("held") // it passed the door before
	l.results.begin(h3, held)
	if held.runCommand != 0 || held.run != runFinished || l.counters.Rejected != 2 {
		t.Error("it ran on a disk that fails")
	}
	d.failSyncs.Store(false)
	if !waitUntil(func() bool {
		l.now = timeOf(l.clock.Now())
		l.results.updateMode()
		return l.results.mode == modeReady
	}) {
		t.Fatalf("still %s, and the disk is well", l.results.mode)
	}
	h4, again := l.newKeyedRun("new")
	if l.results.begin(h4, again); again.disk != intentPending {
		t.Fatal("not let in")
	}
	l.awaitDisk(t)
	if again.runCommand == 0 {
		t.Error("it does not run, and the disk is well")
	}
}

// TestResponseBeforeResultIsDurable: a result is not durable when its request is due, or when the process has to end.
// The caller gets an error in time, once, and the result that gets there later is known.
func TestResponseBeforeResultIsDurable(t *testing.T) {
	d := &blockingDisk{FS: wal.NewMemFS()}
	l := loopWithStore(t, d)
	h, r := l.newKeyedRun("a")
	l.results.begin(h, r)
	l.awaitDisk(t)
	d.syncGate = make(chan struct{})
	l.runEnded(h, r, admission.Succeeded, 1, []byte("result"))
	l.draining, l.answerBy = true, l.now+admission.Second/10
	l.results.drain()
	l.now = l.answerBy - responseMargin
	l.fireTimers()
	if !r.isAnswered() || l.counters.Failed != 1 {
		t.Fatal("not answered before the kill")
	}
	close(d.syncGate)
	l.awaitDisk(t)
	if l.counters.Succeeded+l.counters.Failed != 1 {
		t.Errorf("%d answers", l.counters.Succeeded+l.counters.Failed)
	}
	if l.results.index.Lookup(bootTime(), r.keyed.key) != resultstore.Completed {
		t.Error("its result is durable, and not known")
	}
}

// TestRequestsBeforeTheFolderIsRead: requests come before the folder is read. They wait for a second at most and are
// then rejected, or let in as it is read; a retry that nobody can know of gets an error, as its first attempt may have
// run.
func TestRequestsBeforeTheFolderIsRead(t *testing.T) {
	l := loopWithStore(t, &blockingDisk{FS: wal.NewMemFS()})
	k := l.results
	book := k.index
	k.index = nil
	at := l.now
	h, r := l.newKeyedRun("a")
	if !l.results.intercept(h, r) || r.disk != openingPending || r.isAnswered() {
		t.Fatal("it does not wait")
	}
	l.now = at + maxOpeningWait - 1
	l.fireTimers()
	if r.isAnswered() {
		t.Fatal("answered too soon")
	}
	l.now = at + maxOpeningWait
	if l.fireTimers(); !r.isAnswered() || l.counters.Rejected != 1 {
		t.Fatal("it waits for too long")
	}
	h, r = l.newKeyedRun("b")
	r.keyed.submission.ID = uint32(h)
	l.results.intercept(h, r)
	l.results.folderOpened(k.store, book, resultstore.Recovery{}, nil)
	if in := l.nextRound().Arrived; len(in) != 1 || in[0].ID != uint32(h) || l.requests.get(h).isAnswered() {
		t.Errorf("%v came to the module, expected the one that waited", in)
	}
	k.index = nil
	h, r = l.newKeyedRun("c")
	l.results.intercept(h, r)
	l.results.folderOpened(nil, nil, resultstore.Recovery{}, wal.ErrLocked)
	if !l.requests.get(h).isAnswered() || l.counters.Rejected != 2 || k.mode != modeFailed {
		t.Errorf("%s, and it still waits for a folder that can't be opened", k.mode)
	}
	h, r = l.newKeyedRun("d")
	r.keyed.submission.IsRetry = true // nobody knows whether its first try ran: shed, it would be tried elsewhere
	if l.results.intercept(h, r); !r.isAnswered() || l.counters.Failed != 1 || l.counters.Rejected != 2 {
		t.Error("a retry of a key that nobody can know of is shed")
	}
}

// TestKeyCheckedAgainAtRunSlot: two attempts of a key pass as they come, and one has run by the time that the other
// gets its slot. That one does not run, with the same body or another, and harms nothing of the first.
func TestKeyCheckedAgainAtRunSlot(t *testing.T) {
	l := loopWithStore(t, &blockingDisk{FS: wal.NewMemFS()})
	h, r := l.newKeyedRun("a")
	l.results.begin(h, r)
	l.awaitDisk(t)
	first := l.results.index.Lookup(bootTime(), r.keyed.key)
	for _, c := range []struct {
		body         string
		shed, failed uint64
	}{{"body", 0, 1}, {"another", 1, 1}} {
		h, r := l.newKeyedRun("a")
		r.keyed = newKeyedRequest("put", nil, []byte("a"), []byte(c.body))
		l.results.begin(h, r)
		if r.runCommand != 0 || r.run != runFinished || l.counters.Rejected != c.shed || l.counters.Failed != c.failed {
			t.Errorf("%s: sent as %d, %d shed, %d errored, expected %d, %d", c.body, r.runCommand, l.counters.Rejected,
				l.counters.Failed, c.shed, c.failed)
		}
		if is := l.results.index.Lookup(bootTime(), r.keyed.key); is != first || is != resultstore.Running {
			t.Errorf("%s: the one that runs is %s, expected it %s", c.body, is, first)
		}
	}
	l.runEnded(h, l.requests.get(h), admission.Succeeded, 1, []byte("result"))
	if l.awaitDisk(t); l.counters.Succeeded != 1 {
		t.Errorf("%d done, expected the first", l.counters.Succeeded)
	}
}

// TestKeysAreSeparateByTenant: two tenants use the same key. What one left behind says nothing of the other's request;
// a key of a version that did not tell tenants apart binds all of them for its window.
func TestKeysAreSeparateByTenant(t *testing.T) {
	l := loopWithStore(t, &blockingDisk{FS: wal.NewMemFS()})
	leave := func(q *keyedRequest) {
		l.results.index.Begin(bootTime(), q.key, q.bodyDigest, 60_000)
	}
	try := func(tenant, key string) resultstore.Verdict {
		v, _ := l.results.decide(newKeyedRequest("put", []byte(tenant), []byte(key), []byte("body")))
		return v
	}
	leave(newKeyedRequest("put", []byte("home"), []byte("a"), []byte("body")))
	if v := try("home", "a"); v != resultstore.WaitForResult {
		t.Errorf("the same tenant's try gets %s, expected %s", v, resultstore.WaitForResult)
	}
	if v := try("acme", "a"); v != resultstore.Execute {
		t.Errorf("another tenant's try gets %s, expected %s", v, resultstore.Execute)
	}
	if v := try("", "home/a"); v != resultstore.Execute {
		t.Errorf("a try with no tenant gets %s, expected %s", v, resultstore.Execute)
	}
	old := newKeyedRequest("put", nil, []byte("b"), []byte("body"))
	old.key = digestKey([]byte("3/put/b")) // as it stands in folders of such a version
	leave(old)
	if v := try("home", "b"); v != resultstore.WaitForResult {
		t.Errorf("a try of a key of an earlier version gets %s, expected %s", v, resultstore.WaitForResult)
	}
}

// Kept: uniqued reqs whose ends outlast this process. What a try gets and what may be let go of are internal/node/resultstore's word;
// this file asks it at the door and once more as a run begins, holds SCHED back until the intent is durable and the answer
// until the result is, and says what is done while the disk is not well. The loop never waits for the disk: records go to
// the store's goroutine, and what came of them comes back as an event. Without [kept] in the operator's file none of it
// exists. It must never let a key run whose intent is not durable, or that may have run.

package server

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"umberwinch/admission"
	"umberwinch/internal/config"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/wal"
)

// keptStand is how far a req is with the disk.
type keptStand uint8

const (
	keptFree    keptStand = iota
	keptEarly             // it came before the folder was read: the module has not heard of it
	keptReads             // its result is being read; the module does not hear of it
	keptIntends           // it has its slot, and its intent is on the way to the disk
	keptEnds              // it ran, its slot is free, and its result is on the way to the disk
)

// keptReq is what a uniqued req has beside, where results are kept.
type keptReq struct {
	key resultstore.Key
	// untenanted is the name under which versions before tenants were told apart wrote the key. Guards against a
	// second run of what such a version let run, within its window.
	untenanted resultstore.Key
	body       uint64
	stand      keptStand
	runs       bool              // its own intent is durable: what becomes of the key is its to say
	admit      admission.Request // while it is early
}

// Modes of the part, as log, counters and health say them.
const (
	keptOpening = "opening" // the folder is not read yet: tries of uniqued reqs wait
	keptWell    = "well"
	keptFailed  = "failed"  // the disk fails: new keys are shed, known ones get what is known
	keptStalled = "stalled" // it takes too long: as failed
	keptFull    = "full"    // no room: as failed
)

const (
	// A sync takes some ms on any disk; a queue behind a few of them is still well under this.
	keptStall = 400 * admission.Second / 1000
	// Full is told for so long after a try found no room, and a full log is tried again after it.
	keptRest = admission.Second
	// Tries that come before the folder is read wait so long; a million keys are read in less.
	keptPatience = admission.Second
	// So long before a req is due it gets its answer, whatever the disk does.
	keptSpare = admission.Second / 50
	// A folder that can't be opened is tried again so often.
	keptReopen = time.Second
	// All keys are looked at over so many sweeps, some seconds, by steps of some microseconds; so many a sweep at most.
	keptSweeps = 40
	keptSteps  = 128
	// ResultBytes that wait to be read; past it a known key's try is errored.
	keptReaders = 256
	// Of a segment; what is over goes by whole ones.
	keptSegment = 8 << 20
)

type keptPart struct {
	own    *config.Kept
	book   *resultstore.Index // nil: the folder is not read yet
	store  *resultstore.Store
	early  []handle
	reads  chan func()
	waits  []admission.Time // since when records are on their way, the oldest first
	next   uint64           // the log's next entry has this number at least
	frees  bool             // what is over is being let go of
	fullAt admission.Time   // no room was found then; 0: never
	broken error            // why the folder can't be opened
	mode   string
	spread recovery.RetryAfterSpreader
	dies   int // times that the point was come to
	sheds, errs, refused,
	answers, lost uint64
}

// keepResults readies the part, if the operator's file has one.
func (l *loop) keepResults() {
	if l.startup.own == nil || l.startup.own.Kept == nil {
		return
	}
	k := &keptPart{own: l.startup.own.Kept, mode: keptOpening, reads: make(chan func(), keptReaders)}
	l.kept = k
	go func() {
		for f := range k.reads {
			f()
		}
	}()
	l.openKept(0)
}

// openKept reads the folder, off the loop.
func (l *loop) openKept(after time.Duration) {
	own, window := l.kept.own, uint64(0)
	for i := range l.settings.Deployment.Handlers {
		window = max(window, keptWindow(&l.settings.Deployment.Handlers[i]))
	}
	go func() {
		time.Sleep(after)
		var store *resultstore.Store
		var book *resultstore.Index
		var found resultstore.Recovery
		now, boot, err := resultstore.BootClock()
		if err == nil {
			most := int64(own.MB) << 20
			sizes := wal.Sizes{Segment: min(keptSegment, max(most/4, 64<<10)), Bound: 2*most + 2*keptSegment}
			store, book, found, err = resultstore.Open(wal.Dir(own.Folder), sizes, resultstore.Limits{Keys: own.Entries, Bytes: most,
				ResultBytes: own.Result, LongestWindow: window}, now, boot)
		}
		l.post(callback{func() { l.keptOpened(store, book, found, err) }})
	}()
}

// keptOpened takes the folder over, and lets those in who came meanwhile.
func (l *loop) keptOpened(store *resultstore.Store, book *resultstore.Index, found resultstore.Recovery, err error) {
	k := l.kept
	if err != nil {
		if k.broken == nil || k.broken.Error() != err.Error() {
			l.log.Errorf("kept results: %s can't be opened: %v; uniqued reqs are shed, and it is tried again", k.own.Folder, err)
		}
		k.broken = err
		l.openKept(keptReopen)
	} else {
		k.store, k.book, k.next, k.broken = store, book, store.NextPosition(), nil
		if store.SyncEachRecord = k.without("group"); k.own.DieAt == keptSync || k.own.DieAt == keptHangs {
			store.BeforeWrite = func() { k.point(k.own.DieAt) }
		}
		if found.Gaps > 0 {
			l.log.Errorf("kept results: the log in %s was damaged at %d places: what can be read was written anew, what can't may be of any "+
				"key, and further tries of keys that are not known are errored for a window", k.own.Folder, found.Gaps)
		}
		l.log.Infof("kept results: %d keys, %d that may have run, from %d records in %v, windows %s%s", found.Keys, found.Indeterminate,
			found.Records, found.Duration.Round(time.Millisecond),
			map[bool]string{true: "go on", false: "go on from the last record, as the clock began anew"}[found.SameBoot],
			map[bool]string{true: ", torn at the end"}[found.TornTail != ""])
	}
	l.watchKept()
	early := k.early
	k.early = nil
	for _, h := range early {
		r := l.requests.get(h)
		if r == nil || r.kept == nil || r.kept.stand != keptEarly || r.answered || r.abandoned {
			continue
		}
		r.kept.stand = keptFree
		if !l.keptWord(h, r) {
			l.submit(&r.kept.admit)
		}
	}
}

// keptWord is the door's word on a try: false, and the module hears of it as of any other.
func (l *loop) keptWord(h handle, r *request) bool {
	a := wire.Response{}
	if a.Status = l.keptDoor(h, r, &a); a.Status != 0 {
		a.Close = a.Status == 400
		l.answer(h, r, a)
	}
	return a.Status != 0 || r.kept.stand != keptFree
}

// keptName is what a try is known by: its handler, its tenant, its caller's key, and what it asks for.
func keptName(name string, tenant, key, body []byte) *keptReq {
	q := &keptReq{}
	q.key = digest(fmt.Appendf(nil, "tenant/%d/%s/%d/%s/%s", len(name), name, len(tenant), tenant, key))
	q.untenanted = digest(fmt.Appendf(nil, "%d/%s/%s", len(name), name, key))
	sum := sha256.Sum256(body)
	q.body = max(1, binary.LittleEndian.Uint64(sum[:]))
	return q
}

func digest(text []byte) (k resultstore.Key) {
	sum := sha256.Sum256(text)
	copy(k[:], sum[:])
	return k
}

// keptWindow is a handler's window in ms, rounded up.
func keptWindow(h *admission.Handler) uint64 { return uint64(h.IdempotencyWindow)/10 + 1 }

// keptTry asks what a try gets.
func (l *loop) keptTry(q *keptReq) (resultstore.Verdict, uint64) {
	k, now := l.kept, bootTime()
	v, place := k.book.Decide(now, q.key, q.body)
	if v == resultstore.Execute && k.book.Lookup(now, q.untenanted) != resultstore.Unknown {
		v, place = k.book.Decide(now, q.untenanted, q.body)
	}
	if v == resultstore.Execute && q.admit.IsRetry && k.book.KeysMayBeLost(now) {
		v = resultstore.ReturnError
	}
	if v == resultstore.ReturnError && k.without("proof") {
		v = resultstore.Execute
	}
	return v, place
}

// shut tells whether no new key may be let in, as the disk is not well.
func (k *keptPart) shut(now admission.Time) bool {
	return k.book == nil || k.store.Err() != nil || k.stalls(now) || k.fullAt > 0 && now-k.fullAt < keptRest
}

func (k *keptPart) stalls(now admission.Time) bool {
	return len(k.waits) > 0 && now-k.waits[0] > keptStall
}

// keptDoor says what a try gets: a status answers it here, with what a says beside it; a stand other than free has it wait;
// else the module hears of it as of any other.
func (l *loop) keptDoor(h handle, r *request, a *wire.Response) int {
	k, q := l.kept, r.kept
	if k.book == nil {
		if k.broken == nil && len(k.early) < l.requests.capacity/4 {
			q.stand, k.early = keptEarly, append(k.early, h)
			l.timers.set(min(l.now+keptPatience, l.lastMoment(r)), timerResultStore, h)
			return 0
		}
		return l.keptBlind(q, a)
	}
	v, place := l.keptTry(q)
	if v == resultstore.ReturnResult {
		if e := l.idempotency.find(r.key); e != nil && r.earliestArrival < e.until && (e.hasResult || e.state < entryDone) {
			return 0 // it is at hand, or on its way
		}
	}
	switch v {
	case resultstore.Execute:
		if k.shut(l.now) {
			return l.keptShed(a)
		}
	case resultstore.RejectFull:
		k.fullAt = l.now
		l.watchKept()
		return l.keptShed(a)
	case resultstore.RejectConflict:
		return l.keptShed(a)
	case resultstore.RejectMismatch:
		k.refused++
		return 400
	case resultstore.ReturnError:
		k.errs++
		return 500
	case resultstore.ReturnResult:
		return l.keptRead(h, r, place)
	}
	return 0
}

// keptShed is for a key that is not known and can't be taken in at present: it has not run.
func (l *loop) keptShed(a *wire.Response) int {
	l.kept.sheds++
	a.RetryAfterMS = l.retryAfter(&l.kept.spread, 0)
	return 503
}

// keptBlind is for a try while the folder can't be read: nobody knows whether a first one ran.
func (l *loop) keptBlind(q *keptReq, a *wire.Response) int {
	if q.admit.IsRetry {
		l.kept.errs++
		return 500
	}
	return l.keptShed(a)
}

// lastMoment is by when a req has its answer that waits for the disk.
func (l *loop) lastMoment(r *request) admission.Time {
	at := r.deadline
	if l.draining {
		at = min(at, l.answerBy)
	}
	return at - keptSpare
}

// keptRead has a result read, off the loop: the try of a key that ran is answered by it.
func (l *loop) keptRead(h handle, r *request, place uint64) int {
	k := l.kept
	store := k.store
	select {
	case k.reads <- func() {
		result, err := store.ReadResult(place)
		l.post(callback{func() { l.keptFound(h, result, err) }})
	}:
	default:
		k.errs++
		return 500
	}
	r.kept.stand = keptReads
	l.timers.set(l.lastMoment(r), timerResultStore, h)
	return 0
}

func (l *loop) keptFound(h handle, result []byte, err error) {
	r := l.requests.get(h)
	if r == nil || r.kept == nil || r.kept.stand != keptReads {
		return
	}
	r.kept.stand = keptFree
	if err != nil {
		l.logf("kept results: one can't be read: %v", err)
		l.kept.errs++
		l.answer(h, r, wire.Response{Status: 500})
		return
	}
	l.kept.answers++
	if !r.answered && !r.abandoned {
		l.counters.Shared++
	}
	l.answer(h, r, wire.Response{Status: 200, Body: result})
}

// keptLate answers what waited for the disk until its last moment.
func (l *loop) keptLate(h handle) {
	r := l.requests.get(h)
	if r == nil || r.kept == nil || r.answered || r.abandoned {
		return
	}
	switch r.kept.stand {
	case keptEarly:
		r.kept.stand = keptFree
		a := wire.Response{}
		a.Status = l.keptBlind(r.kept, &a)
		l.answer(h, r, a)
	case keptReads, keptEnds: // it ran
		l.kept.errs++
		l.answer(h, r, wire.Response{Status: 500})
	}
}

// keptLeaves has what waits for the disk answered before the kill.
func (l *loop) keptLeaves() {
	if l.kept == nil {
		return
	}
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		if r := l.requests.get(h); r.kept != nil && r.kept.stand != keptFree && !r.answered {
			l.timers.set(l.lastMoment(r), timerResultStore, h)
		}
	}
}

// write hands a record over; then hears whether it is durable.
func (k *keptPart) write(l *loop, rec resultstore.Record, then func(err error)) bool {
	ok := k.store.Append(rec, func(place uint64, err error) {
		l.post(callback{func() {
			k.waits = k.waits[1:]
			if err == nil {
				k.next = max(k.next, place+1)
				k.book.MarkDurable(&rec, place)
			} else {
				k.lost++
				k.book.MarkLost(&rec)
				k.fullAt = l.now // whatever it was: new keys wait a moment
			}
			l.watchKept()
			then(err)
		}})
	})
	if ok {
		k.waits = append(k.waits, l.now)
	} else {
		k.lost++
		k.book.MarkLost(&rec)
	}
	return ok
}

// intend has the intent of a run that was given its slot made durable; SCHED goes out after that. It keeps slot and place.
func (l *loop) intend(h handle, r *request) {
	k, q := l.kept, r.kept
	v, shed := resultstore.RejectFull, wire.Response{}
	if !k.shut(l.now) {
		v, _ = l.keptTry(q)
	}
	switch v {
	case resultstore.Execute:
		k.point("intent")
		rec := k.book.Begin(bootTime(), q.key, q.body, keptWindow(&l.settings.Deployment.Handlers[r.handler]))
		q.stand = keptIntends
		if k.write(l, rec, func(err error) { l.intended(h, err) }) {
			l.trace(r, "intent on its way")
			if k.without("intent") {
				l.intended(h, nil)
			}
			return
		}
		q.stand = keptFree
		fallthrough
	case resultstore.RejectFull, resultstore.RejectConflict:
		shed.Status = l.keptShed(&shed)
	case resultstore.RejectMismatch:
		k.refused++
		shed.Status = 400
	default: // it runs, ran or may have run by another try that the module no longer knows of
		k.errs++
		shed.Status = 500
	}
	l.unrun(h, r, shed)
}

// unrun ends a run that never was one.
func (l *loop) unrun(h handle, r *request, a wire.Response) {
	l.answer(h, r, a)
	l.runEnded(h, r, admission.NotExecuted, 0, nil)
}

// intended goes on with a run whose intent is durable, or never will be.
func (l *loop) intended(h handle, err error) {
	r := l.requests.get(h)
	if r == nil || r.kept == nil || r.kept.stand != keptIntends {
		return
	}
	r.kept.stand = keptFree
	switch {
	case err != nil:
		a := wire.Response{}
		a.Status = l.keptShed(&a)
		l.unrun(h, r, a)
	case r.answered: // what could not be made durable in time does not run
		r.kept.runs = true
		l.unrun(h, r, wire.Response{Status: 500})
	default:
		r.kept.runs = true
		l.kept.point("durable")
		l.sendRun(r)
		l.kept.point("sched")
		if r.paused {
			l.sendStop(r)
		}
	}
}

// keptEnd takes the end of a run. waits tells that its answer waits until its result is durable, ok that there is a result to
// tell.
func (l *loop) keptEnd(h handle, r *request, how admission.Outcome, result []byte) (waits, ok bool) {
	k, q := l.kept, r.kept
	if !q.runs { // it never ran, and another try of its key may run, or have run
		return false, false
	}
	now := bootTime()
	switch how {
	case admission.NotExecuted, admission.Superseded: // nothing was started
		if rec, ok := k.book.MarkNotExecuted(now, q.key); ok {
			k.write(l, rec, func(error) {})
		}
		return false, false
	case admission.Succeeded:
		k.point("reap")
		rec, ok := k.book.MarkExecuted(now, q.key, true, append([]byte(nil), result...))
		if !ok {
			return false, false // it is no run that the book knows of: nothing may be told that a repeat would not get too
		}
		key := r.key
		if rec.Kind != resultstore.Result {
			l.logf("kept results: one of %d bytes, expected %d at most: its repeats are errored", len(result), k.own.Result)
		}
		if !k.write(l, rec, func(err error) {
			k.point("result")
			l.keptDone(h, key, err == nil && rec.Kind == resultstore.Result, rec.Result)
			k.point("answer")
		}) {
			return false, false
		}
		if q.stand = keptEnds; k.without("result") {
			l.keptDone(h, key, true, rec.Result)
		}
		l.timers.set(l.lastMoment(r), timerResultStore, h)
		return true, false
	}
	// That it failed need not be durable before it is told: without that record it may have run, which is errored too.
	if rec, ok := k.book.MarkExecuted(now, q.key, false, nil); ok {
		k.write(l, rec, func(error) {})
	}
	return false, false
}

// keptDone tells a result that is durable now, or an error where it is not.
func (l *loop) keptDone(h handle, key string, ok bool, result []byte) {
	if r := l.requests.get(h); r != nil && r.kept != nil && r.kept.stand == keptEnds {
		r.kept.stand = keptFree
		if ok {
			l.answer(h, r, wire.Response{Status: 200, Body: result})
		} else {
			l.answer(h, r, wire.Response{Status: 500})
		}
	}
	for _, w := range l.idempotency.runEnded(key, uint32(h), ok, result) {
		l.sharedResultReady(w, ok, result)
	}
}

// sweepKept lets go of what is over, a little at a time, and looks after the disk's mode.
func (l *loop) sweepKept() {
	k := l.kept
	if k == nil {
		return
	}
	l.watchKept()
	steps := 0
	if k.book != nil {
		steps = min(keptSteps, max(1, k.book.ExpireSteps()/keptSweeps))
	}
	for range steps {
		_, first := k.book.Expire(bootTime(), k.next)
		if first == 0 {
			continue
		}
		if !k.frees {
			k.frees = true
			store := k.store
			go func() {
				err := store.ReleaseBefore(first)
				l.post(callback{func() {
					if k.frees = false; err != nil {
						l.logf("kept results: what is over can't be let go of: %v", err)
					}
				}})
			}()
		}
		return
	}
}

// watchKept says when the mode changes.
func (l *loop) watchKept() {
	k := l.kept
	mode := keptWell
	switch {
	case k.broken != nil || k.book != nil && k.store.Err() != nil:
		mode = keptFailed
	case k.book == nil:
		mode = keptOpening
	case k.stalls(l.now):
		mode = keptStalled
	case k.fullAt > 0 && l.now-k.fullAt < keptRest:
		mode = keptFull
	}
	if mode != k.mode {
		l.log.Infof("kept results: %s, was %s; %d records wait for the disk", mode, k.mode, len(k.waits))
		k.mode = mode
	}
}

// without tells whether the laboratory took a guard out.
func (k *keptPart) without(guard string) bool { return slices.Contains(k.own.Without, guard) }

// The points that are not the loop's: before a write the node dies, or its disk takes its time once.
const (
	keptSync    = "sync"
	keptHangs   = "hangs"
	keptHangFor = 3500 * time.Millisecond // long beside what a loaded machine takes for some reqs
)

// point is where the laboratory may have the node die.
func (k *keptPart) point(name string) {
	if k.own.DieAt != name {
		return
	}
	if k.dies++; k.dies == k.own.DieOn {
		switch name {
		case keptHangs:
			time.Sleep(keptHangFor)
			return
		case keptSync:
			time.Sleep(20 * time.Millisecond) // what goes out without waiting for the disk is out by then
		}
		unix.Kill(unix.Getpid(), unix.SIGKILL)
		select {}
	}
}

// closeKept gives the disk what was handed over, and lets the folder go, within what is left before the kill.
func (l *loop) closeKept() {
	if l.kept == nil || l.kept.store == nil {
		return
	}
	go func() {
		for range l.events { // nobody takes these any more, and the store's goroutine must not wait for that
		}
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.kept.store.Close(); err != nil {
			l.log.Warnf("kept results: %v", err)
		}
	}()
	select {
	case <-done:
	case <-time.After(durationOf(l.answerBy+l.killMargin/2) - l.clock.Now()):
		l.log.Warn("kept results: the disk did not take all in time; what is missing may have run")
	}
}

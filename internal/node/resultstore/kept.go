// Package resultstore remembers what became of uniqued reqs, over restarts of the node: whether a key was let run, and with which
// result it ran. kept.go decides, told the time, what a try of a key gets, what has to be durable before the next step, and
// what may be let go of; table.go is its index; record.go what stands in the log for it; store.go carries records to a disk
// and back, and is the only file here that does I/O. It must never have a key run again within its window once its intent
// was durable, unless it is proved that it did not run; nothing inside its window is let go of for room.
package resultstore

import "fmt"

// Key names a uniqued req: a digest of handler, tenant and the caller's own key.
type Key [16]byte

// State is what is known of a key.
type State uint8

// The states. Between Intended and the next one the node may die at any instruction: what is durable then is the intent.
const (
	Unknown       State = iota // it never was here, or its window is over
	IntentPending              // its intent is on the way to the disk: it has not run
	Running                    // its intent is durable, and it was let run in this life
	Indeterminate              // its intent is durable, from a life before: it may have run, and nothing tells how that ended
	ResultPending              // it ran, and its result is on the way to the disk
	Completed                  // it ran, and its result is durable
	Failed                     // it ran to an error, durable: repeats are errored, as what it did is not undone
)

var stateNames = [...]string{"unknown", "intended", "started", "may have run", "ended", "done", "failed"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Verdict is what a try of a key gets.
type Verdict uint8

// The verdicts.
const (
	Execute        Verdict = iota // nothing is known of it: it may run once its intent is durable
	WaitForResult                 // it is on its way in this life: the result answers this try too
	ReturnResult                  // by the result that is kept
	ReturnError                   // errored: it ran or may have run, and there is no result
	RejectMismatch                // another body by the same key: refused, and it harms nothing
	RejectFull                    // no room for what it may leave behind: shed, with a time to come back
	RejectConflict                // another body by the same key is under way: shed, as which of the two is true shows by its end
)

var verdictNames = [...]string{"run", "wait", "answer", "err", "refuse", "full", "later"}

func (v Verdict) String() string { return verdictNames[v] }

// Limits of a book.
type Limits struct {
	Keys          int    // keys at most
	Bytes         int64  // of records on disk at most
	ResultBytes   int    // bytes of one result at most: so much is set aside for each run that goes on
	LongestWindow uint64 // ms: the longest that any key has, for which further tries are doubted after damage
}

// Validate says what is wrong with them.
func (b *Limits) Validate() error {
	switch {
	case b.Keys < 1 || b.Keys > 1<<26:
		return fmt.Errorf("entries: found %d, expected 1 to %d", b.Keys, 1<<26)
	case b.ResultBytes < 0 || b.ResultBytes > 1<<20:
		return fmt.Errorf("result: found %d bytes, expected 0 to %d", b.ResultBytes, 1<<20)
	case b.Bytes < 2*recordMost(b.ResultBytes):
		return fmt.Errorf("bytes: found %d, expected %d at least, for one run", b.Bytes, 2*recordMost(b.ResultBytes))
	}
	return nil
}

// Index is what is known of all keys, in memory: digests and places, no results.
type Index struct {
	bounds         Limits
	tab            table
	used           int64  // bytes of records of keys that are known
	aside          int64  // and of those that runs under way may still leave
	last           uint64 // of a replay: the time of the last record, by its own clock
	kept           int    // and how many keys its last pass left
	doubt          uint64 // until then a key that is not known may be one that can't be read
	doubts         uint64 // the place of what says so
	sweep          sweep
	Sheds          uint64 // tries that found no room
	ErrorsReturned uint64 // tries of keys that may have run
}

// sweep is where ageing stands: a pass over the table, some slots at a time.
type sweep struct {
	at    int
	size  int    // of the table as the pass began
	least uint64 // the first place that is needed, as far as the pass has come
}

// NewIndex begins with nothing known.
func NewIndex(b Limits) *Index {
	return &Index{bounds: b, tab: newTable(b.Keys)}
}

const never = ^uint64(0)

// windowMost is the longest that a key is kept, 49 days.
const windowMost = 1<<32 - 1

// Len gives the number of keys, Used the bytes that their records have and may still have.
func (b *Index) Len() int         { return b.tab.n }
func (b *Index) BytesUsed() int64 { return b.used + b.aside }

// Lookup tells what is known of a key.
func (b *Index) Lookup(now uint64, k Key) State {
	if e := b.tab.find(k); e != nil && b.live(now, e) {
		return e.state
	}
	return Unknown
}

// live tells whether a key counts: its window is not over, or it is under way.
func (b *Index) live(now uint64, e *entry) bool {
	return now < e.until || e.state == IntentPending || e.state == Running || e.state == ResultPending
}

// Decide tells what a try of a key gets. body is the digest of the req's body, never 0. place is where the result is.
func (b *Index) Decide(now uint64, k Key, body uint64) (v Verdict, place uint64) {
	e := b.tab.find(k)
	if e == nil || !b.live(now, e) {
		if !b.room(e != nil) {
			b.Sheds++
			return RejectFull, 0
		}
		return Execute, 0
	}
	if e.body != body {
		if e.state == IntentPending || e.state == Running || e.state == ResultPending {
			return RejectConflict, 0
		}
		return RejectMismatch, 0
	}
	switch e.state {
	case Completed:
		return ReturnResult, e.place
	case Failed, Indeterminate:
		b.ErrorsReturned++
		return ReturnError, 0
	}
	return WaitForResult, 0
}

// room tells whether one more run fits, whatever it leaves behind.
func (b *Index) room(known bool) bool {
	return (known || b.tab.n < b.bounds.Keys) && b.used+b.aside+2*recordMost(b.bounds.ResultBytes) <= b.bounds.Bytes
}

// Begin takes a key in that Try let run, and gives the intent, which has to be durable before it runs.
func (b *Index) Begin(now uint64, k Key, body uint64, window uint64) Record {
	if e := b.tab.find(k); e != nil { // its window was over
		b.drop(e)
	}
	e, window := b.tab.put(k), min(window, windowMost)
	*e = entry{key: k, body: body, state: IntentPending, until: now + window, window: uint32(window), place: never}
	b.aside += 2 * recordMost(b.bounds.ResultBytes)
	return Record{Kind: Intent, Key: k, BodyDigest: body, At: now, Window: window}
}

// MarkDurable tells that a record is on disk, at a place and with so many bytes. A result that was not kept for a disk that
// failed is told by Lost.
func (b *Index) MarkDurable(r *Record, place uint64) {
	e := b.tab.find(r.Key)
	if r.Kind == NotExecuted {
		b.aside -= recordMost(b.bounds.ResultBytes)
		return
	}
	if e == nil {
		return
	}
	n := r.size()
	b.used, b.aside = b.used+n, b.aside-recordMost(b.bounds.ResultBytes)
	e.add(n)
	switch {
	case r.Kind == Intent && e.state == IntentPending:
		e.state, e.place = Running, place
	case r.Kind == Result && e.state == ResultPending:
		e.state, e.place = Completed, place
	case r.Kind == Failure && e.state == ResultPending:
		e.state = Failed
	}
}

// MarkLost tells that a record did not reach the disk. Without its intent a key never runs, and is as if it had not come; what
// ran and whose end is not durable goes by its intent: after a restart it may have run.
func (b *Index) MarkLost(r *Record) {
	e := b.tab.find(r.Key)
	if e == nil && r.Kind != NotExecuted {
		return
	}
	b.aside -= recordMost(b.bounds.ResultBytes)
	switch {
	case r.Kind == NotExecuted:
	case r.Kind == Intent && e.state == IntentPending:
		b.aside -= recordMost(b.bounds.ResultBytes)
		b.drop(e)
	case e.state == ResultPending:
		e.state = Indeterminate
	}
}

// MarkExecuted tells how a run of a key ended, and gives the record that has to be durable before its answer goes out: its window
// begins anew, as a repeat may come for so long after the answer.
func (b *Index) MarkExecuted(now uint64, k Key, ok bool, result []byte) (Record, bool) {
	e := b.tab.find(k)
	if e == nil || e.state != Running {
		return Record{}, false
	}
	e.state, e.until = ResultPending, now+uint64(e.window)
	r := Record{Kind: Failure, Key: k, BodyDigest: e.body, At: now, Window: uint64(e.window)}
	if ok && len(result) <= b.bounds.ResultBytes {
		r.Kind, r.Result = Result, result
	}
	return r, true
}

// MarkNotExecuted tells that a key was proved not to have run, after its intent was durable. A repeat may run at once: its intent stands
// behind this record in the log, and where this one is lost the key may have run, which errs on the safe side.
func (b *Index) MarkNotExecuted(now uint64, k Key) (Record, bool) {
	e := b.tab.find(k)
	if e == nil || e.state != Running && e.state != Indeterminate {
		return Record{}, false
	}
	if e.state == Indeterminate { // nothing was set aside for it in this life
		b.aside += recordMost(b.bounds.ResultBytes)
	}
	r := Record{Kind: NotExecuted, Key: k, BodyDigest: e.body, At: now, Window: uint64(e.window)}
	b.drop(e)
	return r, true
}

func (b *Index) drop(e *entry) {
	b.used -= e.bytes()
	b.tab.drop(e.key)
}

// Replay takes a record of a life before; Resume comes after the last. What is over by the clock of the log itself goes on the
// way, as more keys may stand in a log than were ever known at one time.
func (b *Index) Replay(r *Record, place uint64) error {
	if r.Kind == ClockChange {
		b.rebase(r.At)
		return nil
	}
	if b.last = max(b.last, r.At); r.Kind == Damage {
		b.doubt, b.doubts = r.At+r.Window, place
		return nil
	}
	e := b.tab.find(r.Key)
	if e != nil && e.body != r.BodyDigest && r.Kind != Intent {
		return fmt.Errorf("a %s of another body than its intent", r.Kind)
	}
	if r.Kind == NotExecuted {
		if e != nil {
			b.drop(e)
		}
		return nil
	}
	if e == nil {
		if b.tab.n >= 2*b.bounds.Keys+b.kept { // each pass drops at least as many as come before the next
			b.purge()
			b.kept = b.tab.n
		}
		e = b.tab.put(r.Key)
		*e = entry{key: r.Key, place: place}
	}
	n := r.size()
	b.used += n
	e.body, e.window, e.until = r.BodyDigest, uint32(min(r.Window, windowMost)), r.At+r.Window
	e.add(n)
	switch r.Kind {
	case Intent:
		e.state, e.place = Indeterminate, place
	case Result:
		e.state, e.place = Completed, place
	case Failure:
		e.state = Failed
	}
	return nil
}

// FinishReplay ends the replay. same tells that the clock goes on from the last record's: else nobody knows how long the node was
// down, and windows go on from that record on, as if it had been no time. So none is over too early, and each is over one window
// after the restart at most.
func (b *Index) FinishReplay(now uint64, same bool) {
	if same {
		b.last = max(b.last, now)
		b.purge()
	} else {
		b.rebase(now)
	}
}

// rebase moves all windows from one boot's clock to that of the next.
func (b *Index) rebase(now uint64) {
	b.purge()
	for i := range b.tab.slots {
		if e := &b.tab.slots[i]; e.state != Unknown {
			e.until = now + (e.until - b.last)
		}
	}
	if b.doubt > 0 {
		b.doubt = now + max(b.doubt, b.last) - b.last
	}
	b.last = now
}

// KeysMayBeLost tells whether a further try of a key that is not known has to be errored: its first one may be what can't be read. A
// first try runs, as ever.
func (b *Index) KeysMayBeLost(now uint64) bool { return now < b.doubt }

// purge drops what is over as of the last record.
func (b *Index) purge() {
	for i := range b.tab.slots {
		for e := &b.tab.slots[i]; e.state != Unknown && e.until <= b.last; e = &b.tab.slots[i] {
			b.drop(e) // another may take the slot
		}
	}
}

// ForEach goes through all keys that count, in no order that means anything; left is ms of their windows, 0 while one is under way.
func (b *Index) ForEach(now uint64, f func(k Key, s State, left uint64)) {
	for i := range b.tab.slots {
		if e := &b.tab.slots[i]; e.state != Unknown && b.live(now, e) {
			f(e.key, e.state, e.until-min(e.until, now))
		}
	}
}

// sweepSlots is how many slots one Age looks at: some microseconds.
const sweepSlots = 512

// ExpireSteps is how many times Age has to be called to go through all keys once.
func (b *Index) ExpireSteps() int { return (len(b.tab.slots) + sweepSlots - 1) / sweepSlots }

// Expire lets go of some keys whose window is over. Once it has gone through all it gives the first place of the log that is
// still needed, else 0. next is the place that the log's next entry gets. It is called often and does little.
func (b *Index) Expire(now, next uint64) (gone int, first uint64) {
	s := &b.sweep
	if s.at == 0 || s.size != len(b.tab.slots) { // a table that grew has its keys elsewhere: the pass begins anew
		*s = sweep{size: len(b.tab.slots), least: next} // what comes from here on stands behind that
		b.tab.moved = never
	}
	for end := min(s.at+sweepSlots, s.size); s.at < end; s.at++ {
		for e := &b.tab.slots[s.at]; e.state != Unknown; e = &b.tab.slots[s.at] {
			if b.live(now, e) {
				s.least = min(s.least, e.place)
				break
			}
			b.drop(e) // another may take the slot
			gone++
		}
	}
	if s.at < s.size {
		return gone, 0
	}
	s.at = 0
	if now < b.doubt {
		s.least = min(s.least, b.doubts)
	}
	return gone, min(s.least, b.tab.moved)
}

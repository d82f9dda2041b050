package resultstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"umberwinch/internal/wal"
)

var testLimits = Limits{Keys: 64, Bytes: 1 << 20, ResultBytes: 64}

func testKey(n int) (k Key) {
	binary.LittleEndian.PutUint64(k[:], uint64(n)*0x9e3779b97f4a7c15)
	k[15] = byte(n)
	return k
}

// TestTableMatchesMap: the table does what a map does, also for keys that begin their search at the same slot.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tbl, want := newTable(8), map[Key]uint64{}
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			k := Key{0: byte(rapid.IntRange(0, 7).Draw(r, "home") * 36), 15: byte(rapid.IntRange(0, 30).Draw(r, "key"))}
			if _, known := want[k]; known && rapid.Bool().Draw(r, "drop") {
				tbl.remove(k)
				delete(want, k)
			} else if !known {
				position := uint64(rapid.IntRange(1, 1000).Draw(r, "place"))
				*tbl.insert(k) = entry{key: k, state: Completed, position: position}
				want[k] = position
			}
			tbl.remove(Key{14: 1}) // that is not there
			if tbl.count != len(want) {
				r.Fatalf("%d keys, expected %d", tbl.count, len(want))
			}
			for k, position := range want {
				if e := tbl.find(k); e == nil || e.position != position {
					r.Fatalf("key %x is %+v, expected it at %d", k, e, position)
				}
			}
		}
	})
}

// TestRecordRoundTrip: what is written is read again; bytes that are no record give an error.
func TestRecordRoundTrip(t *testing.T) {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	for _, r := range []Record{{Kind: Intent, Key: testKey(1), BodyDigest: 7, At: 9, Window: 21_951},
		{Kind: Result, Key: testKey(2), BodyDigest: 1 << 63,
			Result: bytes.Repeat(all, 16)}, {Kind: Failure, Key: testKey(3)}, {Kind: NotExecuted}} {
		got, err := ParseRecord(r.Append(nil))
		if err != nil || got.Kind != r.Kind || got.Key != r.Key || got.BodyDigest != r.BodyDigest || got.At != r.At ||
			got.Window != r.Window ||
			!bytes.Equal(got.Result, r.Result) {
			t.Errorf("%+v became %+v, %v", r, got, err)
		}
	}
	for _, raw := range [][]byte{nil, make([]byte, recordHeaderBytes-1), make([]byte, recordHeaderBytes),
		append((&Record{Kind: Intent}).Append(nil), 1)} {
		if _, err := ParseRecord(raw); !errors.Is(err, ErrMalformedRecord) {
			t.Errorf("%d bytes are read as a record: %v", len(raw), err)
		}
	}
}

// TestDecideInEachState: a node dies after any of a key's records. What an attempt of the key gets in each state,
// before the restart and after it, by a clock that goes on and by one that began anew; wrong, a repeat would run a
// second time or get another's result.
func TestDecideInEachState(t *testing.T) {
	const window = 1000
	index := NewIndex(testLimits)
	check := func(index *Index, now uint64, want Verdict) {
		t.Helper()
		if v, _ := index.Decide(now, testKey(1), 5); v != want {
			t.Fatalf("at %d, %s: %s, expected %s", now, index.Lookup(now, testKey(1)), v, want)
		}
		if v, _ := index.Decide(now, testKey(1), 6); want == WaitForResult && v != RejectConflict || want != WaitForResult &&
			want != Execute && v != RejectMismatch {
			t.Fatalf("another body gets %s where the same gets %s", v, want)
		}
	}
	check(index, 0, Execute)
	intent := index.Begin(0, testKey(1), 5, window)
	check(index, 10, WaitForResult)
	if _, ok := index.MarkExecuted(10, testKey(1), true, nil); ok {
		t.Fatal("it ran before its intent was durable")
	}
	index.MarkDurable(&intent, 1)
	check(index, 20, WaitForResult)
	check(index, 5000, WaitForResult) // under way, whatever its window says
	result, ok := index.MarkExecuted(5000, testKey(1), true, []byte("done"))
	if !ok || result.Kind != Result {
		t.Fatalf("%+v %v", result, ok)
	}
	check(index, 5000, WaitForResult) // its answer goes out once that is durable
	index.MarkDurable(&result, 2)
	check(index, 5999, ReturnResult)
	check(index, 6000, Execute)
	// The next life, after each record, by a clock that goes on and by one that does not.
	for _, c := range []struct {
		records []Record
		state   State
		verdict Verdict // before the window is over
	}{{[]Record{intent}, Indeterminate, ReturnError}, {[]Record{intent, result}, Completed, ReturnResult},
		{[]Record{result}, Completed, ReturnResult},
		{[]Record{intent, {Kind: Failure, Key: testKey(1), BodyDigest: 5, At: 10, Window: window}}, Failed, ReturnError},
		{[]Record{intent, {Kind: NotExecuted, Key: testKey(1), BodyDigest: 5, At: 10, Window: window}}, Unknown, Execute}} {
		for _, sameBoot := range []bool{true, false} {
			restarted := NewIndex(testLimits)
			now, expiresAt := uint64(400), c.records[len(c.records)-1].At+window
			if !sameBoot {
				now, expiresAt = 7, 7+window
			}
			for i := range c.records {
				if err := restarted.Replay(&c.records[i], uint64(i+1)); err != nil {
					t.Fatal(err)
				}
			}
			restarted.FinishReplay(now, sameBoot)
			if s := restarted.Lookup(now, testKey(1)); s != c.state {
				t.Fatalf("%v, same clock %v: %s, expected %s", c.records, sameBoot, s, c.state)
			}
			if c.state == Unknown {
				continue
			}
			check(restarted, expiresAt-1, c.verdict)
			check(restarted, expiresAt, Execute)
			if c.state == Indeterminate { // proved not to have run
				r, ok := restarted.MarkNotExecuted(now, testKey(1))
				if !ok {
					t.Fatal("it can't be proved not to have run")
				}
				restarted.MarkDurable(&r, 9)
				check(restarted, now, Execute)
			}
		}
	}
}

// TestMarkLost: the disk does not take a record. Without its intent the key is as if the request
// had not come and may run; without its result it may have run, and its repeats get an error.
func TestMarkLost(t *testing.T) {
	index := NewIndex(testLimits)
	r := index.Begin(0, testKey(1), 5, 1000)
	index.MarkLost(&r)
	if v, _ := index.Decide(0, testKey(1), 5); v != Execute || index.BytesUsed() != 0 {
		t.Fatalf("%s, %d bytes set aside", v, index.BytesUsed())
	}
	r = index.Begin(0, testKey(1), 5, 1000)
	index.MarkDurable(&r, 1)
	r, _ = index.MarkExecuted(10, testKey(1), true, []byte("x"))
	index.MarkLost(&r)
	if v, _ := index.Decide(20, testKey(1), 5); v != ReturnError || index.ErrorsReturned != 1 {
		t.Fatalf("%s, expected that it may have run", v)
	}
}

// TestFullIndexRejectsNewKeys: more keys come than there is room for. New keys are rejected and known ones answered,
// nothing inside its window is deleted, and a run that was let in has room for its result; wrong, a burst of new keys
// would make repeats run again.
func TestFullIndexRejectsNewKeys(t *testing.T) {
	smallLimits := Limits{Keys: 8, Bytes: 12 * maxRecordBytes(32), ResultBytes: 32}
	if err := smallLimits.Validate(); err != nil {
		t.Fatal(err)
	}
	index, position := NewIndex(smallLimits), uint64(0)
	admitted := 0
	for i := 0; ; i++ {
		if v, _ := index.Decide(0, testKey(i), 1); v != Execute {
			if v != RejectFull {
				t.Fatal(v)
			}
			break
		}
		r := index.Begin(0, testKey(i), 1, 1000)
		position++
		index.MarkDurable(&r, position)
		admitted++
	}
	if admitted == 0 || index.BytesUsed() > smallLimits.Bytes {
		t.Fatalf("%d let run, %d bytes of %d", admitted, index.BytesUsed(), smallLimits.Bytes)
	}
	for i := range admitted {
		r, ok := index.MarkExecuted(10, testKey(i), true, make([]byte, 32))
		if !ok || r.Kind != Result {
			t.Fatalf("%+v", r)
		}
		position++
		index.MarkDurable(&r, position)
		if index.BytesUsed() > smallLimits.Bytes {
			t.Fatalf("%d bytes of %d", index.BytesUsed(), smallLimits.Bytes)
		}
	}
	for now := uint64(0); now < 1010; now += 101 {
		index.Expire(now, position+1)
	}
	for i := range admitted {
		if v, _ := index.Decide(1009, testKey(i), 1); v != ReturnResult {
			t.Fatalf("key %d gets %s inside its window", i, v)
		}
	}
	for range 10 {
		index.Expire(1010, position+1)
	}
	if index.Len() != 0 || index.BytesUsed() != 0 {
		t.Fatalf("%d keys and %d bytes once all windows are over", index.Len(), index.BytesUsed())
	}
	for _, invalid := range []Limits{{}, {Keys: 1, Bytes: 10}, {Keys: 1, Bytes: 1 << 20, ResultBytes: -1}} {
		if err := invalid.Validate(); !errors.Is(err, ErrInvalidLimits) {
			t.Errorf("%+v gives %v", invalid, err)
		}
	}
}

// TestExpireKeepsNeededPositions: keys move in the table while others expire. No position of the log is released that
// a key inside its window needs; its result would be gone.
func TestExpireKeepsNeededPositions(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		index := NewIndex(Limits{Keys: 4000, Bytes: 1 << 30, ResultBytes: 8})
		next, released, running := uint64(1), uint64(1), []Key{}
		for now := uint64(0); now < 30_000; now += 5 {
			if k := testKey(r.Intn(3000)); r.Intn(3) > 0 {
				if v, _ := index.Decide(now, k, 1); v == Execute {
					rec := index.Begin(now, k, 1, uint64(100+r.Intn(3000)))
					index.MarkDurable(&rec, next)
					next, running = next+1, append(running, k)
				}
			} else if len(running) > 0 { // runs end in the order in which they began, some sooner and some later
				if rec, ok := index.MarkExecuted(now, running[0], true, nil); ok {
					index.MarkDurable(&rec, next)
					next++
				}
				running = running[1:]
			}
			if len(running) > 40 {
				rec, _ := index.MarkExecuted(now, running[0], true, nil)
				index.MarkDurable(&rec, next)
				next, running = next+1, running[1:]
			}
			if _, first := index.Expire(now, next); first > 0 {
				released = max(released, first)
			}
			for i := range index.table.slots {
				if e := &index.table.slots[i]; e.state != Unknown && index.isLive(now, e) && e.position < released {
					t.Fatalf("seed %d, at %d: place %d of a key that is %s was given free up to %d", seed, now,
						e.position, e.state, released)
				}
			}
		}
		if released < next/4 {
			t.Errorf("seed %d: %d of %d places were given free", seed, released, next)
		}
	}
}

// TestExpireKeepsPositionOfMovedKey: a key moves behind a pass while the pass goes on, so that the pass does not see
// it. Its position is not released.
func TestExpireKeepsPositionOfMovedKey(t *testing.T) {
	index := NewIndex(Limits{Keys: 4000, Bytes: 1 << 30, ResultBytes: 8})
	colliding := func(n byte) (k Key) { // all at home two slots before the first step of a pass ends
		homeSlot, _ := bits.Div64(slotsPerExpire-2, 0, uint64(len(index.table.slots)))
		binary.BigEndian.PutUint64(k[:], homeSlot+1)
		k[15] = n
		return k
	}
	for i, c := range []struct{ position, window uint64 }{{2, 10}, {3, 1000}, {1, 1000}} {
		r := index.Begin(0, colliding(byte(i)), 1, c.window)
		index.MarkDurable(&r, c.position)
		r, _ = index.MarkExecuted(0, colliding(byte(i)), true, nil)
		index.MarkDurable(&r, c.position)
	}
	if index.table.slots[slotsPerExpire].position != 1 {
		t.Fatal("the third key is not behind the first step")
	}
	index.Expire(0, 10)
	index.Begin(20, colliding(0), 1, 1000) // its window was over: those behind it move up
	for range 100 {
		if _, first := index.Expire(20, 10); first > 0 {
			if first > 1 {
				t.Errorf("places are free up to %d, and a key needs 1", first)
			}
			return
		}
	}
	t.Error("no pass ended")
}

// TestNoSecondRunAfterCrash: a node is killed at any moment, on a disk that keeps or loses what was not synced, and
// callers repeat their keys over that. No key runs twice inside its window, no result changes, and what was answered
// stays answered.
func TestNoSecondRunAfterCrash(t *testing.T) {
	kills, resultsReturned, errorsReturned := 0, 0, 0
	for seed := int64(1); seed <= 150; seed++ {
		r := rand.New(rand.NewSource(seed))
		disk, now := wal.NewMemFS(), uint64(1000)
		const window = 4000
		ranAt, results := map[int]uint64{}, map[int][]byte{} // when it ran last, and what was answered for it
		for restart := 0; restart < 6; restart++ {
			boot := fmt.Sprint("boot ", restart/2) // every second restart is one of the machine
			s, index, _, err := Open(disk, wal.Sizes{SegmentBytes: 4096, MaxBytes: 1 << 20},
				Limits{Keys: 500, Bytes: 1 << 19, ResultBytes: 64}, now, boot)
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, restart, err)
			}
			// The test is the loop; it waits where a node would go on with other requests.
			appendAndWait := func(rec Record) error {
				done := make(chan error, 1)
				if !s.Append(rec, func(position uint64, err error) {
					if err == nil {
						index.MarkDurable(&rec, position)
					} else {
						index.MarkLost(&rec)
					}
					done <- err
				}) {
					t.Fatal("the queue is full")
				}
				return <-done
			}
			openedAt, steps := now, 20+r.Intn(60)
			for step := 0; step < steps; step++ {
				now += uint64(r.Intn(120))
				n := r.Intn(12)
				v, position := index.Decide(now, testKey(n), 1)
				if at, before := ranAt[n]; before && v != Execute && now-at > window && now > openedAt+window {
					t.Fatalf("seed %d, life %d: key %d is known %d after it ran, and %d after the start", seed, restart,
						n, now-at, now-openedAt)
				}
				switch v {
				case ReturnResult:
					got, err := s.ReadResult(position)
					if err != nil || !bytes.Equal(got, results[n]) {
						t.Fatalf("seed %d: key %d is answered %q (%v), expected %q", seed, n, got, err, results[n])
					}
					resultsReturned++
				case ReturnError:
					errorsReturned++
				case Execute:
					if at, before := ranAt[n]; before && now-at < window {
						t.Fatalf("seed %d, life %d: key %d runs at %d, and ran at %d", seed, restart, n, now, at)
					}
					rec := index.Begin(now, testKey(n), 1, window)
					if step == steps-1 && r.Intn(3) == 0 {
						step = steps // killed before its intent is on the way
						break
					}
					if err := appendAndWait(rec); err != nil {
						t.Fatal(err)
					}
					ranAt[n] = now
					if step == steps-1 && r.Intn(2) == 0 {
						break // killed while it runs
					}
					now += uint64(r.Intn(30))
					ranAt[n] = now
					out := []byte(fmt.Sprintf("result %d of %d at %d", seed, n, now))
					if rec, ok := index.MarkExecuted(now, testKey(n), true, out); !ok {
						t.Fatal("its run counts for nothing")
					} else if err := appendAndWait(rec); err != nil {
						t.Fatal(err)
					}
					results[n] = out
				}
				if _, first := index.Expire(now, s.NextPosition()); first > 0 {
					if err := s.ReleaseBefore(first); err != nil {
						t.Fatal(err)
					}
				}
			}
			kills++
			disk = disk.PowerLoss(r.Intn)
			s.Close()
			now += uint64(r.Intn(2000))
			if restart%2 == 1 { // another boot: its clock begins anew, but what ran stays as long ago as it is
				next := []uint64{500, 1e9}[restart/2%2]
				for n := range ranAt { // a time before the clock's zero wraps, as differences do
					ranAt[n] += next - now
				}
				now = next
			}
		}
	}
	t.Logf("%d kills, %d repeats answered, %d errored", kills, resultsReturned, errorsReturned)
	if resultsReturned < 1000 || errorsReturned == 0 {
		t.Error("too few repeats to hold anything to")
	}
}

// faultyFS fails or delays syncs on demand.
type faultyFS struct {
	wal.FS
	failSyncs atomic.Bool
	syncDelay atomic.Int64
	onLock    atomic.Pointer[func()] // called as the folder is opened
}

func (d *faultyFS) Lock() (func(), error) {
	if f := d.onLock.Load(); f != nil {
		(*f)()
	}
	return d.FS.Lock()
}

func (d *faultyFS) Create(name string) (wal.File, error) {
	f, err := d.FS.Create(name)
	return &faultyFile{f, d}, err
}

func (d *faultyFS) Open(name string) (wal.File, error) {
	f, err := d.FS.Open(name)
	return &faultyFile{f, d}, err
}

type faultyFile struct {
	wal.File
	d *faultyFS
}

func (f *faultyFile) Sync() error {
	time.Sleep(time.Duration(f.d.syncDelay.Load()))
	if f.d.failSyncs.Load() {
		return errors.New("the disk fails")
	}
	return f.File.Sync()
}

// TestStoreRecoversFromDiskFailure: the disk is slow, fails for a while, and is full. Records that wait share a sync; a
// failed sync is told to all that wait, known results stay readable, and writing goes on by itself once the disk
// works. Nobody who hands a record over waits meanwhile.
func TestStoreRecoversFromDiskFailure(t *testing.T) {
	d := &faultyFS{FS: wal.NewMemFS()}
	s, _, _, err := Open(d, wal.Sizes{SegmentBytes: 1 << 16, MaxBytes: 1 << 20}, testLimits, 0, "boot")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d.syncDelay.Store(int64(20 * time.Millisecond))
	syncsBefore, done := s.log.SyncCount(), make(chan error, 300)
	for i := range 300 {
		if !s.Append(Record{Kind: Intent, Key: testKey(i)}, func(_ uint64, err error) { done <- err }) {
			t.Fatal("not taken")
		}
	}
	for range 300 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if n := s.log.SyncCount() - syncsBefore; n > 5 {
		t.Errorf("%d syncs for 300 records that waited together", n)
	}
	d.syncDelay.Store(0)
	appendOne := func() error {
		s.Append(Record{Kind: Failure, Key: testKey(1)}, func(_ uint64, err error) { done <- err })
		return <-done
	}
	s.Append(Record{Kind: Result, Key: testKey(3), Result: []byte("known")}, func(_ uint64, err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	knownPosition := s.NextPosition() - 1
	d.failSyncs.Store(true)
	if appendOne() == nil || s.Err() == nil || appendOne() == nil {
		t.Fatal("a sync fails, and records are taken for durable")
	}
	// While the log is opened again, and the disk takes its time, nobody who hands a record over waits.
	locking, unblock := make(chan bool), make(chan bool)
	block := func() { locking <- true; <-unblock }
	d.onLock.Store(&block)
	time.Sleep(reopenInterval * 3 / 2) // it is looked at once at least
	read := make(chan error, 1)
	go func() {
		raw, err := s.ReadResult(knownPosition)
		if err == nil && string(raw) != "known" {
			err = fmt.Errorf("%q", raw)
		}
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			t.Fatalf("while nothing can be written what is known can't be read: %v", err)
		}
	case <-locking:
		d.onLock.Store(nil)
		close(unblock)
		t.Fatal("the log is closed before the disk works")
	}
	d.failSyncs.Store(false)
	<-locking
	if appendOne() == nil {
		t.Fatal("a record is durable, and the log is not open")
	}
	d.onLock.Store(nil)
	close(unblock)
	for deadline := time.Now().Add(10 * time.Second); s.Err() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the disk is well, and the store is not: %v", s.Err())
		}
	}
	if err := appendOne(); err != nil {
		t.Fatal(err)
	}
	largeRecord := Record{Kind: Result, Key: testKey(2), Result: make([]byte, 300_000)}
	appendErr := error(nil)
	for i := 0; i < 6 && appendErr == nil; i++ {
		s.Append(largeRecord, func(_ uint64, err error) { done <- err })
		appendErr = <-done
	}
	if !errors.Is(appendErr, wal.ErrFull) || s.Err() != nil {
		t.Fatalf("%v, %v: expected a full log, and no fault", appendErr, s.Err())
	}
	if raw, err := s.ReadResult(s.NextPosition() - 1); err != nil || len(raw) != 300_000 {
		t.Errorf("what is there can't be read: %v", err)
	}
}

// TestReplayPurgesExpiredKeys: a log holds more keys than may be known at one time. Those whose windows are over go as
// it is read, so that a restart needs no more memory than serving does.
func TestReplayPurgesExpiredKeys(t *testing.T) {
	index := NewIndex(Limits{Keys: 16, Bytes: 1 << 20, ResultBytes: 64})
	for i := range 1000 {
		r := Record{Kind: Result, Key: testKey(i), BodyDigest: 1, At: uint64(i), Window: 10}
		if err := index.Replay(&r, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
		if index.Len() > 64 {
			t.Fatalf("%d keys in memory after %d, expected a few times 16 at most", index.Len(), i+1)
		}
	}
	index.FinishReplay(1000, true)
	if index.Len() != 9 {
		t.Errorf("%d keys, expected the last nine", index.Len())
	}
}

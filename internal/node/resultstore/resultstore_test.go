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

// testKey returns the nth key; its hash spreads over the table.
func testKey(n int) (k Key) {
	binary.LittleEndian.PutUint64(k[:], uint64(n)*0x9e3779b97f4a7c15)
	k[15] = byte(n)
	return k
}

// TestTableMatchesMap: the table must behave like a map, also for keys with the same home slot.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tbl, want := newTable(8), map[Key]uint64{}
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			k := Key{0: byte(rapid.IntRange(0, 7).Draw(r, "home") * 36), 15: byte(rapid.IntRange(0, 30).Draw(r, "key"))}
			if _, known := want[k]; known && rapid.Bool().Draw(r, "drop") {
				tbl.remove(k)
				delete(want, k)
			} else if !known {
				position := uint64(rapid.IntRange(1, 1000).Draw(r, "position"))
				*tbl.insert(k) = entry{key: k, state: Completed, position: position}
				want[k] = position
			}
			tbl.remove(Key{14: 1}) // not in the table
			if tbl.count != len(want) {
				r.Fatalf("count = %d, want %d", tbl.count, len(want))
			}
			for k, position := range want {
				if e := tbl.find(k); e == nil || e.position != position {
					r.Fatalf("find(%x) = %+v, want position %d", k, e, position)
				}
			}
		}
	})
}

// TestRecordRoundTrip: encoded records must decode to the same records, and malformed bytes must give an error.
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
			t.Errorf("ParseRecord() = %+v, %v, want %+v", got, err, r)
		}
	}
	for _, raw := range [][]byte{nil, make([]byte, recordHeaderBytes-1), make([]byte, recordHeaderBytes),
		append((&Record{Kind: Intent}).Append(nil), 1)} {
		if _, err := ParseRecord(raw); !errors.Is(err, ErrMalformedRecord) {
			t.Errorf("ParseRecord(%d bytes) = %v, want %v", len(raw), err, ErrMalformedRecord)
		}
	}
}

// TestDecideInEachState checks the verdict in each state of a key, before and after a restart, in the same boot and in
// another. A wrong one would run a retry a second time or return another request's result.
func TestDecideInEachState(t *testing.T) {
	const window = 1000
	index := NewIndex(testLimits)
	check := func(index *Index, now uint64, want Verdict) {
		t.Helper()
		if v, _ := index.Decide(now, testKey(1), 5); v != want {
			t.Fatalf("at %d, state %s: Decide() = %s, want %s", now, index.Lookup(now, testKey(1)), v, want)
		}
		if v, _ := index.Decide(now, testKey(1), 6); want == WaitForResult && v != RejectConflict ||
			want != WaitForResult && want != Execute && v != RejectMismatch {
			t.Fatalf("at %d: Decide() with another body = %s, want a rejection where the same body gets %s", now, v,
				want)
		}
	}
	check(index, 0, Execute)
	intent := index.Begin(0, testKey(1), 5, window)
	check(index, 10, WaitForResult)
	if _, ok := index.MarkExecuted(10, testKey(1), true, nil); ok {
		t.Fatal("MarkExecuted() = true before the intent is durable, want false")
	}
	index.MarkDurable(&intent, 1)
	check(index, 20, WaitForResult)
	check(index, 5000, WaitForResult) // in flight past its window
	result, ok := index.MarkExecuted(5000, testKey(1), true, []byte("done"))
	if !ok || result.Kind != Result {
		t.Fatalf("MarkExecuted() = %+v, %v, want a result", result, ok)
	}
	check(index, 5000, WaitForResult) // until the result is durable
	index.MarkDurable(&result, 2)
	check(index, 5999, ReturnResult)
	check(index, 6000, Execute)
	// After a restart following each record, in the same boot and in another.
	for _, c := range []struct {
		records []Record
		state   State
		verdict Verdict // before the window is over
	}{{[]Record{intent}, Indeterminate, ReturnError}, {[]Record{intent, result}, Completed, ReturnResult},
		{[]Record{result}, Completed, ReturnResult},
		{[]Record{intent, {Kind: Failure, Key: testKey(1), BodyDigest: 5, At: 10, Window: window}}, Failed,
			ReturnError},
		{[]Record{intent, {Kind: NotExecuted, Key: testKey(1), BodyDigest: 5, At: 10, Window: window}},
			Unknown, Execute}} {
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
				t.Fatalf("%v, same boot %v: Lookup() = %s, want %s", c.records, sameBoot, s, c.state)
			}
			if c.state == Unknown {
				continue
			}
			check(restarted, expiresAt-1, c.verdict)
			check(restarted, expiresAt, Execute)
			if c.state == Indeterminate { // proved not to have run
				r, ok := restarted.MarkNotExecuted(now, testKey(1))
				if !ok {
					t.Fatal("MarkNotExecuted() = false, want true")
				}
				restarted.MarkDurable(&r, 9)
				check(restarted, now, Execute)
			}
		}
	}
}

// TestMarkLost: a failed write of the intent must allow the key to run, and a failed write of the result must give its
// retries an error.
func TestMarkLost(t *testing.T) {
	index := NewIndex(testLimits)
	r := index.Begin(0, testKey(1), 5, 1000)
	index.MarkLost(&r)
	if v, _ := index.Decide(0, testKey(1), 5); v != Execute || index.BytesUsed() != 0 {
		t.Fatalf("Decide() = %s, BytesUsed() = %d, want %s, 0", v, index.BytesUsed(), Execute)
	}
	r = index.Begin(0, testKey(1), 5, 1000)
	index.MarkDurable(&r, 1)
	r, _ = index.MarkExecuted(10, testKey(1), true, []byte("x"))
	index.MarkLost(&r)
	if v, _ := index.Decide(20, testKey(1), 5); v != ReturnError || index.ErrorsReturned != 1 {
		t.Fatalf("Decide() = %s, ErrorsReturned = %d, want %s, 1", v, index.ErrorsReturned, ReturnError)
	}
}

// TestFullIndexRejectsNewKeys: a full index must reject new keys, keep known ones for their window and have room for
// the result of every admitted run. Otherwise a burst of new keys would make retries run again.
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
				t.Fatalf("Decide() = %s, want %s", v, RejectFull)
			}
			break
		}
		r := index.Begin(0, testKey(i), 1, 1000)
		position++
		index.MarkDurable(&r, position)
		admitted++
	}
	if admitted == 0 || index.BytesUsed() > smallLimits.Bytes {
		t.Fatalf("admitted = %d, BytesUsed() = %d, want at least 1, at most %d", admitted, index.BytesUsed(),
			smallLimits.Bytes)
	}
	for i := range admitted {
		r, ok := index.MarkExecuted(10, testKey(i), true, make([]byte, 32))
		if !ok || r.Kind != Result {
			t.Fatalf("MarkExecuted() = %+v, %v, want a result", r, ok)
		}
		position++
		index.MarkDurable(&r, position)
		if index.BytesUsed() > smallLimits.Bytes {
			t.Fatalf("BytesUsed() = %d, want at most %d", index.BytesUsed(), smallLimits.Bytes)
		}
	}
	for now := uint64(0); now < 1010; now += 101 {
		index.Expire(now, position+1)
	}
	for i := range admitted {
		if v, _ := index.Decide(1009, testKey(i), 1); v != ReturnResult {
			t.Fatalf("Decide() of key %d = %s inside its window, want %s", i, v, ReturnResult)
		}
	}
	for range 10 {
		index.Expire(1010, position+1)
	}
	if index.Len() != 0 || index.BytesUsed() != 0 {
		t.Fatalf("Len() = %d, BytesUsed() = %d after all windows, want 0, 0", index.Len(), index.BytesUsed())
	}
	for _, invalid := range []Limits{{}, {Keys: 1, Bytes: 10}, {Keys: 1, Bytes: 1 << 20, ResultBytes: -1}} {
		if err := invalid.Validate(); !errors.Is(err, ErrInvalidLimits) {
			t.Errorf("Validate(%+v) = %v, want %v", invalid, err, ErrInvalidLimits)
		}
	}
}

// TestExpireKeepsNeededPositions: keys are shifted in the table while others expire. Expire must not release the
// position of a key inside its window, whose result would be deleted.
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
			} else if len(running) > 0 { // runs end in the order of their starts
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
					t.Fatalf("seed %d, at %d: released positions below %d, want at most %d, of a key that is %s", seed,
						now, released, e.position, e.state)
				}
			}
		}
		if released < next/4 {
			t.Errorf("seed %d: released %d of %d positions, want at least a quarter", seed, released, next)
		}
	}
}

// TestExpireKeepsPositionOfMovedKey: a key is shifted to a slot that the current pass has visited already. Its position
// must not be released.
func TestExpireKeepsPositionOfMovedKey(t *testing.T) {
	index := NewIndex(Limits{Keys: 4000, Bytes: 1 << 30, ResultBytes: 8})
	colliding := func(n byte) (k Key) { // home slot is two slots before the end of the first step
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
		t.Fatalf("position at slot %d = %d, want 1, of the third key", slotsPerExpire,
			index.table.slots[slotsPerExpire].position)
	}
	index.Expire(0, 10)
	index.Begin(20, colliding(0), 1, 1000) // its window is over: the keys after it are shifted back
	for range 100 {
		if _, first := index.Expire(20, 10); first > 0 {
			if first > 1 {
				t.Errorf("Expire() = %d, want at most 1, which a key needs", first)
			}
			return
		}
	}
	t.Error("no pass ended in 100 steps, want one")
}

// TestNoSecondRunAfterCrash kills a node at random steps, with or without the loss of unsynced writes, while callers
// retry their keys. No key may run twice inside its window, and no result may change or be lost.
func TestNoSecondRunAfterCrash(t *testing.T) {
	kills, resultsReturned, errorsReturned := 0, 0, 0
	for seed := int64(1); seed <= 150; seed++ {
		r := rand.New(rand.NewSource(seed))
		disk, now := wal.NewMemFS(), uint64(1000)
		const window = 4000
		ranAt, results := map[int]uint64{}, map[int][]byte{} // time of a key's last run, and its result
		for restart := 0; restart < 6; restart++ {
			boot := fmt.Sprint("boot ", restart/2) // every second restart is a reboot
			s, index, _, err := Open(disk, wal.Sizes{SegmentBytes: 4096, MaxBytes: 1 << 20},
				Limits{Keys: 500, Bytes: 1 << 19, ResultBytes: 64}, now, boot)
			if err != nil {
				t.Fatalf("seed %d, restart %d: Open(): %v", seed, restart, err)
			}
			// Appends a record and waits, where a node would serve other requests.
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
					t.Fatal("Append() = false, want true")
				}
				return <-done
			}
			openedAt, steps := now, 20+r.Intn(60)
			for step := 0; step < steps; step++ {
				now += uint64(r.Intn(120))
				n := r.Intn(12)
				v, position := index.Decide(now, testKey(n), 1)
				if at, before := ranAt[n]; before && v != Execute && now-at > window && now > openedAt+window {
					t.Fatalf(
						"seed %d, restart %d: key %d is known %d ms after its run and %d ms after the start, want at most %d",
						seed, restart, n, now-at, now-openedAt, window)
				}
				switch v {
				case ReturnResult:
					got, err := s.ReadResult(position)
					if err != nil || !bytes.Equal(got, results[n]) {
						t.Fatalf("seed %d: ReadResult() of key %d = %q, %v, want %q", seed, n, got, err, results[n])
					}
					resultsReturned++
				case ReturnError:
					errorsReturned++
				case Execute:
					if at, before := ranAt[n]; before && now-at < window {
						t.Fatalf("seed %d, restart %d: key %d runs at %d and ran at %d, want no run inside the window",
							seed, restart, n, now, at)
					}
					rec := index.Begin(now, testKey(n), 1, window)
					if step == steps-1 && r.Intn(3) == 0 {
						step = steps // killed before its intent is appended
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
						t.Fatal("MarkExecuted() = false, want true")
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
			if restart%2 == 1 { // a reboot: the clock changes, but the age of each run stays
				next := []uint64{500, 1e9}[restart/2%2]
				for n := range ranAt { // times before the clock's zero wrap around, and so do differences
					ranAt[n] += next - now
				}
				now = next
			}
		}
	}
	t.Logf("%d kills, %d results returned, %d errors returned", kills, resultsReturned, errorsReturned)
	if resultsReturned < 1000 || errorsReturned == 0 {
		t.Errorf("results returned = %d, errors returned = %d, want at least 1000, 1", resultsReturned, errorsReturned)
	}
}

// faultyFS is a folder whose file syncs can be delayed or made to fail.
type faultyFS struct {
	wal.FS
	failSyncs atomic.Bool
	syncDelay atomic.Int64           // nanoseconds
	onLock    atomic.Pointer[func()] // called before the folder is locked
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
		return errors.New("sync failed")
	}
	return f.File.Sync()
}

// TestStoreRecoversFromDiskFailure: the disk is slow, then fails, then is full. Waiting records must share a sync, a
// failed sync must fail all of them, and stored results must stay readable. The store must reopen the log by itself
// once the disk works, and Append must never wait.
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
			t.Fatal("Append() = false, want true")
		}
	}
	for range 300 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if n := s.log.SyncCount() - syncsBefore; n > 5 {
		t.Errorf("syncs = %d for 300 waiting records, want at most 5", n)
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
		t.Fatalf("with failing syncs: Err() = %v, want errors from it and each append", s.Err())
	}
	// Append must not wait while the reopening of the log blocks.
	locking, unblock := make(chan bool), make(chan bool)
	block := func() { locking <- true; <-unblock }
	d.onLock.Store(&block)
	time.Sleep(reopenInterval * 3 / 2) // at least one attempt to reopen
	read := make(chan error, 1)
	go func() {
		raw, err := s.ReadResult(knownPosition)
		if err == nil && string(raw) != "known" {
			err = fmt.Errorf("got %q, want %q", raw, "known")
		}
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			t.Fatalf("ReadResult() while writes fail: %v", err)
		}
	case <-locking:
		d.onLock.Store(nil)
		close(unblock)
		t.Fatal("the log is reopened before the disk works")
	}
	d.failSyncs.Store(false)
	<-locking
	if appendOne() == nil {
		t.Fatal("a record is durable while the log is not open, want an error")
	}
	d.onLock.Store(nil)
	close(unblock)
	for deadline := time.Now().Add(10 * time.Second); s.Err() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("Err() = %v 10 s after the disk works, want nil", s.Err())
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
		t.Fatalf("append error = %v, Err() = %v, want %v, nil", appendErr, s.Err(), wal.ErrFull)
	}
	if raw, err := s.ReadResult(s.NextPosition() - 1); err != nil || len(raw) != 300_000 {
		t.Errorf("ReadResult() of a full log = %d bytes, %v, want 300000", len(raw), err)
	}
}

// TestReplayPurgesExpiredKeys: a log may hold more keys than were live at one time. Replay must purge expired ones, so
// that a restart needs no more memory than serving.
func TestReplayPurgesExpiredKeys(t *testing.T) {
	index := NewIndex(Limits{Keys: 16, Bytes: 1 << 20, ResultBytes: 64})
	for i := range 1000 {
		r := Record{Kind: Result, Key: testKey(i), BodyDigest: 1, At: uint64(i), Window: 10}
		if err := index.Replay(&r, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
		if index.Len() > 64 {
			t.Fatalf("Len() = %d after %d records, want at most 64", index.Len(), i+1)
		}
	}
	index.FinishReplay(1000, true)
	if index.Len() != 9 {
		t.Errorf("Len() = %d, want 9", index.Len())
	}
}

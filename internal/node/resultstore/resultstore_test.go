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

var limits = Limits{Keys: 64, Bytes: 1 << 20, ResultBytes: 64}

func key(n int) (k Key) {
	binary.LittleEndian.PutUint64(k[:], uint64(n)*0x9e3779b97f4a7c15)
	k[15] = byte(n)
	return k
}

// TestTable: the table does what a map does, also for keys that begin their search at the same slot.
func TestTable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tab, is := newTable(8), map[Key]uint64{}
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			k := Key{0: byte(rapid.IntRange(0, 7).Draw(r, "home") * 36), 15: byte(rapid.IntRange(0, 30).Draw(r, "key"))}
			if _, there := is[k]; there && rapid.Bool().Draw(r, "drop") {
				tab.remove(k)
				delete(is, k)
			} else if !there {
				place := uint64(rapid.IntRange(1, 1000).Draw(r, "place"))
				*tab.insert(k) = entry{key: k, state: Completed, position: place}
				is[k] = place
			}
			tab.remove(Key{14: 1}) // that is not there
			if tab.count != len(is) {
				r.Fatalf("%d keys, expected %d", tab.count, len(is))
			}
			for k, place := range is {
				if e := tab.find(k); e == nil || e.position != place {
					r.Fatalf("key %x is %+v, expected it at %d", k, e, place)
				}
			}
		}
	})
}

// TestRecords: what is written is read again; bytes that are no record give an error.
func TestRecords(t *testing.T) {
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	for _, r := range []Record{{Kind: Intent, Key: key(1), BodyDigest: 7, At: 9, Window: 21_951},
		{Kind: Result, Key: key(2), BodyDigest: 1 << 63,
			Result: bytes.Repeat(all, 16)}, {Kind: Failure, Key: key(3)}, {Kind: NotExecuted}} {
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

// TestDecide: a node dies after any of a key's records. What an attempt of the key gets in each state, before the
// restart and after it, by a clock that goes on and by one that began anew; wrong, a repeat would run a second time
// or get another's result.
func TestDecide(t *testing.T) {
	const window = 1000
	b := NewIndex(limits)
	try := func(b *Index, now uint64, want Verdict) {
		t.Helper()
		if v, _ := b.Decide(now, key(1), 5); v != want {
			t.Fatalf("at %d, %s: %s, expected %s", now, b.Lookup(now, key(1)), v, want)
		}
		if v, _ := b.Decide(now, key(1), 6); want == WaitForResult && v != RejectConflict || want != WaitForResult &&
			want != Execute && v != RejectMismatch {
			t.Fatalf("another body gets %s where the same gets %s", v, want)
		}
	}
	try(b, 0, Execute)
	intent := b.Begin(0, key(1), 5, window)
	try(b, 10, WaitForResult)
	if _, ok := b.MarkExecuted(10, key(1), true, nil); ok {
		t.Fatal("it ran before its intent was durable")
	}
	b.MarkDurable(&intent, 1)
	try(b, 20, WaitForResult)
	try(b, 5000, WaitForResult) // under way, whatever its window says
	ended, ok := b.MarkExecuted(5000, key(1), true, []byte("done"))
	if !ok || ended.Kind != Result {
		t.Fatalf("%+v %v", ended, ok)
	}
	try(b, 5000, WaitForResult) // its answer goes out once that is durable
	b.MarkDurable(&ended, 2)
	try(b, 5999, ReturnResult)
	try(b, 6000, Execute)
	// The next life, after each record, by a clock that goes on and by one that does not.
	for _, c := range []struct {
		records []Record
		state   State
		at      Verdict // before the window is over
	}{{[]Record{intent}, Indeterminate, ReturnError}, {[]Record{intent, ended}, Completed, ReturnResult},
		{[]Record{ended}, Completed, ReturnResult},
		{[]Record{intent, {Kind: Failure, Key: key(1), BodyDigest: 5, At: 10, Window: window}}, Failed, ReturnError},
		{[]Record{intent, {Kind: NotExecuted, Key: key(1), BodyDigest: 5, At: 10, Window: window}}, Unknown, Execute}} {
		for _, same := range []bool{true, false} {
			n := NewIndex(limits)
			now, over := uint64(400), c.records[len(c.records)-1].At+window
			if !same {
				now, over = 7, 7+window
			}
			for i := range c.records {
				if err := n.Replay(&c.records[i], uint64(i+1)); err != nil {
					t.Fatal(err)
				}
			}
			n.FinishReplay(now, same)
			if s := n.Lookup(now, key(1)); s != c.state {
				t.Fatalf("%v, same clock %v: %s, expected %s", c.records, same, s, c.state)
			}
			if c.state == Unknown {
				continue
			}
			try(n, over-1, c.at)
			try(n, over, Execute)
			if c.state == Indeterminate { // proved not to have run
				r, ok := n.MarkNotExecuted(now, key(1))
				if !ok {
					t.Fatal("it can't be proved not to have run")
				}
				n.MarkDurable(&r, 9)
				try(n, now, Execute)
			}
		}
	}
}

// TestRecordsThatNeverReachTheDisk: the disk does not take a record. Without its intent the key is as if the request
// had not come and may run; without its result it may have run, and its repeats get an error.
func TestRecordsThatNeverReachTheDisk(t *testing.T) {
	b := NewIndex(limits)
	r := b.Begin(0, key(1), 5, 1000)
	b.MarkLost(&r)
	if v, _ := b.Decide(0, key(1), 5); v != Execute || b.BytesUsed() != 0 {
		t.Fatalf("%s, %d bytes set aside", v, b.BytesUsed())
	}
	r = b.Begin(0, key(1), 5, 1000)
	b.MarkDurable(&r, 1)
	r, _ = b.MarkExecuted(10, key(1), true, []byte("x"))
	b.MarkLost(&r)
	if v, _ := b.Decide(20, key(1), 5); v != ReturnError || b.ErrorsReturned != 1 {
		t.Fatalf("%s, expected that it may have run", v)
	}
}

// TestNoRoom: more keys come than there is room for. New keys are rejected and known ones answered, nothing inside
// its window is deleted, and a run that was let in has room for its result; wrong, a burst of new keys would make
// repeats run again.
func TestNoRoom(t *testing.T) {
	small := Limits{Keys: 8, Bytes: 12 * maxRecordBytes(32), ResultBytes: 32}
	if err := small.Validate(); err != nil {
		t.Fatal(err)
	}
	b, place := NewIndex(small), uint64(0)
	let := 0
	for i := 0; ; i++ {
		if v, _ := b.Decide(0, key(i), 1); v != Execute {
			if v != RejectFull {
				t.Fatal(v)
			}
			break
		}
		r := b.Begin(0, key(i), 1, 1000)
		place++
		b.MarkDurable(&r, place)
		let++
	}
	if let == 0 || b.BytesUsed() > small.Bytes {
		t.Fatalf("%d let run, %d bytes of %d", let, b.BytesUsed(), small.Bytes)
	}
	for i := range let {
		r, ok := b.MarkExecuted(10, key(i), true, make([]byte, 32))
		if !ok || r.Kind != Result {
			t.Fatalf("%+v", r)
		}
		place++
		b.MarkDurable(&r, place)
		if b.BytesUsed() > small.Bytes {
			t.Fatalf("%d bytes of %d", b.BytesUsed(), small.Bytes)
		}
	}
	for now := uint64(0); now < 1010; now += 101 {
		b.Expire(now, place+1)
	}
	for i := range let {
		if v, _ := b.Decide(1009, key(i), 1); v != ReturnResult {
			t.Fatalf("key %d gets %s inside its window", i, v)
		}
	}
	for range 10 {
		b.Expire(1010, place+1)
	}
	if b.Len() != 0 || b.BytesUsed() != 0 {
		t.Fatalf("%d keys and %d bytes once all windows are over", b.Len(), b.BytesUsed())
	}
	for _, bad := range []Limits{{}, {Keys: 1, Bytes: 10}, {Keys: 1, Bytes: 1 << 20, ResultBytes: -1}} {
		if err := bad.Validate(); !errors.Is(err, ErrInvalidLimits) {
			t.Errorf("%+v gives %v", bad, err)
		}
	}
}

// TestExpireKeepsNeededPositions: keys move in the table while others expire. No position of the log is released that
// a key inside its window needs; its result would be gone.
func TestExpireKeepsNeededPositions(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		b := NewIndex(Limits{Keys: 4000, Bytes: 1 << 30, ResultBytes: 8})
		next, free, open := uint64(1), uint64(1), []Key{}
		for now := uint64(0); now < 30_000; now += 5 {
			if k := key(r.Intn(3000)); r.Intn(3) > 0 {
				if v, _ := b.Decide(now, k, 1); v == Execute {
					rec := b.Begin(now, k, 1, uint64(100+r.Intn(3000)))
					b.MarkDurable(&rec, next)
					next, open = next+1, append(open, k)
				}
			} else if len(open) > 0 { // runs end in the order in which they began, some sooner and some later
				if rec, ok := b.MarkExecuted(now, open[0], true, nil); ok {
					b.MarkDurable(&rec, next)
					next++
				}
				open = open[1:]
			}
			if len(open) > 40 {
				rec, _ := b.MarkExecuted(now, open[0], true, nil)
				b.MarkDurable(&rec, next)
				next, open = next+1, open[1:]
			}
			if _, first := b.Expire(now, next); first > 0 {
				free = max(free, first)
			}
			for i := range b.table.slots {
				if e := &b.table.slots[i]; e.state != Unknown && b.isLive(now, e) && e.position < free {
					t.Fatalf("seed %d, at %d: place %d of a key that is %s was given free up to %d", seed, now,
						e.position, e.state, free)
				}
			}
		}
		if free < next/4 {
			t.Errorf("seed %d: %d of %d places were given free", seed, free, next)
		}
	}
}

// TestExpireSeesMovedKeys: a key moves behind a pass while the pass goes on, so that the pass does not see it. Its
// position is not released.
func TestExpireSeesMovedKeys(t *testing.T) {
	b := NewIndex(Limits{Keys: 4000, Bytes: 1 << 30, ResultBytes: 8})
	near := func(n byte) (k Key) { // all at home two slots before the first step of a pass ends
		at, _ := bits.Div64(slotsPerExpire-2, 0, uint64(len(b.table.slots)))
		binary.BigEndian.PutUint64(k[:], at+1)
		k[15] = n
		return k
	}
	for i, c := range []struct{ place, window uint64 }{{2, 10}, {3, 1000}, {1, 1000}} {
		r := b.Begin(0, near(byte(i)), 1, c.window)
		b.MarkDurable(&r, c.place)
		r, _ = b.MarkExecuted(0, near(byte(i)), true, nil)
		b.MarkDurable(&r, c.place)
	}
	if b.table.slots[slotsPerExpire].position != 1 {
		t.Fatal("the third key is not behind the first step")
	}
	b.Expire(0, 10)
	b.Begin(20, near(0), 1, 1000) // its window was over: those behind it move up
	for range 100 {
		if _, first := b.Expire(20, 10); first > 0 {
			if first > 1 {
				t.Errorf("places are free up to %d, and a key needs 1", first)
			}
			return
		}
	}
	t.Error("no pass ended")
}

// TestKilledAtAnyMoment: a node is killed at any moment, on a disk that keeps or loses what was not synced, and
// callers repeat their keys over that. No key runs twice inside its window, no result changes, and what was answered
// stays answered.
func TestKilledAtAnyMoment(t *testing.T) {
	kills, answers, errs := 0, 0, 0
	for seed := int64(1); seed <= 150; seed++ {
		r := rand.New(rand.NewSource(seed))
		disk, now := wal.NewMemFS(), uint64(1000)
		const window = 4000
		ran, result := map[int]uint64{}, map[int][]byte{} // when it ran last, and what was answered for it
		for life := 0; life < 6; life++ {
			boot := fmt.Sprint("boot ", life/2) // every second restart is one of the machine
			s, b, _, err := Open(disk, wal.Sizes{SegmentBytes: 4096, MaxBytes: 1 << 20},
				Limits{Keys: 500, Bytes: 1 << 19, ResultBytes: 64}, now, boot)
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			// The test is the loop; it waits where a node would go on with other requests.
			wait := func(rec Record) error {
				got := make(chan error, 1)
				if !s.Append(rec, func(place uint64, err error) {
					if err == nil {
						b.MarkDurable(&rec, place)
					} else {
						b.MarkLost(&rec)
					}
					got <- err
				}) {
					t.Fatal("the queue is full")
				}
				return <-got
			}
			began, steps := now, 20+r.Intn(60)
			for step := 0; step < steps; step++ {
				now += uint64(r.Intn(120))
				n := r.Intn(12)
				v, place := b.Decide(now, key(n), 1)
				if at, before := ran[n]; before && v != Execute && now-at > window && now > began+window {
					t.Fatalf("seed %d, life %d: key %d is known %d after it ran, and %d after the start", seed, life,
						n, now-at, now-began)
				}
				switch v {
				case ReturnResult:
					got, err := s.ReadResult(place)
					if err != nil || !bytes.Equal(got, result[n]) {
						t.Fatalf("seed %d: key %d is answered %q (%v), expected %q", seed, n, got, err, result[n])
					}
					answers++
				case ReturnError:
					errs++
				case Execute:
					if at, before := ran[n]; before && now-at < window {
						t.Fatalf("seed %d, life %d: key %d runs at %d, and ran at %d", seed, life, n, now, at)
					}
					rec := b.Begin(now, key(n), 1, window)
					if step == steps-1 && r.Intn(3) == 0 {
						step = steps // killed before its intent is on the way
						break
					}
					if err := wait(rec); err != nil {
						t.Fatal(err)
					}
					ran[n] = now
					if step == steps-1 && r.Intn(2) == 0 {
						break // killed while it runs
					}
					now += uint64(r.Intn(30))
					ran[n] = now
					out := []byte(fmt.Sprintf("result %d of %d at %d", seed, n, now))
					if rec, ok := b.MarkExecuted(now, key(n), true, out); !ok {
						t.Fatal("its run counts for nothing")
					} else if err := wait(rec); err != nil {
						t.Fatal(err)
					}
					result[n] = out
				}
				if _, first := b.Expire(now, s.NextPosition()); first > 0 {
					if err := s.ReleaseBefore(first); err != nil {
						t.Fatal(err)
					}
				}
			}
			kills++
			disk = disk.PowerLoss(r.Intn)
			s.Close()
			now += uint64(r.Intn(2000))
			if life%2 == 1 { // another boot: its clock begins anew, but what ran stays as long ago as it is
				next := []uint64{500, 1e9}[life/2%2]
				for n := range ran { // a time before the clock's zero wraps, as differences do
					ran[n] += next - now
				}
				now = next
			}
		}
	}
	t.Logf("%d kills, %d repeats answered, %d errored", kills, answers, errs)
	if answers < 1000 || errs == 0 {
		t.Error("too few repeats to hold anything to")
	}
}

// faultyDisk fails or delays syncs on demand.
type faultyDisk struct {
	wal.FS
	fails atomic.Bool
	stall atomic.Int64
	locks atomic.Pointer[func()] // called as the folder is opened
}

func (d *faultyDisk) Lock() (func(), error) {
	if f := d.locks.Load(); f != nil {
		(*f)()
	}
	return d.FS.Lock()
}

func (d *faultyDisk) Create(name string) (wal.File, error) {
	f, err := d.FS.Create(name)
	return &faultyFile{f, d}, err
}

func (d *faultyDisk) Open(name string) (wal.File, error) {
	f, err := d.FS.Open(name)
	return &faultyFile{f, d}, err
}

type faultyFile struct {
	wal.File
	d *faultyDisk
}

func (f *faultyFile) Sync() error {
	time.Sleep(time.Duration(f.d.stall.Load()))
	if f.d.fails.Load() {
		return errors.New("the disk fails")
	}
	return f.File.Sync()
}

// TestDiskFailsAndRecovers: the disk is slow, fails for a while, and is full. Records that wait share a sync; a
// failed sync is told to all that wait, known results stay readable, and writing goes on by itself once the disk
// works. Nobody who hands a record over waits meanwhile.
func TestDiskFailsAndRecovers(t *testing.T) {
	d := &faultyDisk{FS: wal.NewMemFS()}
	s, _, _, err := Open(d, wal.Sizes{SegmentBytes: 1 << 16, MaxBytes: 1 << 20}, limits, 0, "boot")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	d.stall.Store(int64(20 * time.Millisecond))
	before, got := s.log.SyncCount(), make(chan error, 300)
	for i := range 300 {
		if !s.Append(Record{Kind: Intent, Key: key(i)}, func(_ uint64, err error) { got <- err }) {
			t.Fatal("not taken")
		}
	}
	for range 300 {
		if err := <-got; err != nil {
			t.Fatal(err)
		}
	}
	if n := s.log.SyncCount() - before; n > 5 {
		t.Errorf("%d syncs for 300 records that waited together", n)
	}
	d.stall.Store(0)
	put := func() error {
		s.Append(Record{Kind: Failure, Key: key(1)}, func(_ uint64, err error) { got <- err })
		return <-got
	}
	s.Append(Record{Kind: Result, Key: key(3), Result: []byte("known")}, func(_ uint64, err error) { got <- err })
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	known := s.NextPosition() - 1
	d.fails.Store(true)
	if put() == nil || s.Err() == nil || put() == nil {
		t.Fatal("a sync fails, and records are taken for durable")
	}
	// While the log is opened again, and the disk takes its time, nobody who hands a record over waits.
	opens, let := make(chan bool), make(chan bool)
	hold := func() { opens <- true; <-let }
	d.locks.Store(&hold)
	time.Sleep(reopenInterval * 3 / 2) // it is looked at once at least
	read := make(chan error, 1)
	go func() {
		raw, err := s.ReadResult(known)
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
	case <-opens:
		d.locks.Store(nil)
		close(let)
		t.Fatal("the log is closed before the disk works")
	}
	d.fails.Store(false)
	<-opens
	if put() == nil {
		t.Fatal("a record is durable, and the log is not open")
	}
	d.locks.Store(nil)
	close(let)
	for end := time.Now().Add(10 * time.Second); s.Err() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the disk is well, and the store is not: %v", s.Err())
		}
	}
	if err := put(); err != nil {
		t.Fatal(err)
	}
	big := Record{Kind: Result, Key: key(2), Result: make([]byte, 300_000)}
	full := error(nil)
	for i := 0; i < 6 && full == nil; i++ {
		s.Append(big, func(_ uint64, err error) { got <- err })
		full = <-got
	}
	if !errors.Is(full, wal.ErrFull) || s.Err() != nil {
		t.Fatalf("%v, %v: expected a full log, and no fault", full, s.Err())
	}
	if raw, err := s.ReadResult(s.NextPosition() - 1); err != nil || len(raw) != 300_000 {
		t.Errorf("what is there can't be read: %v", err)
	}
}

// TestReplayDropsExpiredKeys: a log holds more keys than may be known at one time. Those whose windows are over go as
// it is read, so that a restart needs no more memory than serving does.
func TestReplayDropsExpiredKeys(t *testing.T) {
	b := NewIndex(Limits{Keys: 16, Bytes: 1 << 20, ResultBytes: 64})
	for i := range 1000 {
		r := Record{Kind: Result, Key: key(i), BodyDigest: 1, At: uint64(i), Window: 10}
		if err := b.Replay(&r, uint64(i+1)); err != nil {
			t.Fatal(err)
		}
		if b.Len() > 64 {
			t.Fatalf("%d keys in memory after %d, expected a few times 16 at most", b.Len(), i+1)
		}
	}
	b.FinishReplay(1000, true)
	if b.Len() != 9 {
		t.Errorf("%d keys, expected the last nine", b.Len())
	}
}

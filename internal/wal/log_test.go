package wal

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"testing"
)

var errPowerLoss = errors.New("power lost")

// TestCrashAtAnyStep cuts power or kills the process at a random step and reopens the log: acknowledged batches must be
// there, and an unacknowledged one completely or not at all.
func TestCrashAtAnyStep(t *testing.T) {
	torn := 0
	for seed := int64(0); seed < 400; seed++ {
		r := rand.New(rand.NewSource(seed))
		disk, m := NewMemFS(), newModel()
		for restart := 0; restart < 6; restart++ {
			stepsLeft := r.Intn(120)
			disk.OnStep = func(string, string) (int, error) {
				if stepsLeft--; stepsLeft < 0 {
					return r.Intn(400), errPowerLoss
				}
				return 0, nil
			}
			var pending *model
			l, repair, err := Open(disk, smallSizes)
			if err == nil {
				if repair.TornAt != "" {
					torn++
				}
				if diff := m.diff(l); diff != "" {
					t.Fatalf("seed %d, restart %d: %s", seed, restart, diff)
				}
				for n := 0; n < 40; n++ {
					b := m.randomBatch(r)
					pending = m.clone()
					pending.apply(b)
					if _, err = l.Commit(b); err != nil {
						break
					}
					m, pending = pending, nil
					if r.Intn(6) == 0 && len(m.entries) > 3 {
						dropped := r.Intn(3) + 1
						m.entries, m.base = m.entries[dropped:], m.base+uint64(dropped)
						if err = l.TruncateFront(m.base - 1); err != nil {
							break
						}
					}
				}
			} else if !errors.Is(err, errPowerLoss) {
				t.Fatalf("seed %d, restart %d: open: %v, want %v", seed, restart, err, errPowerLoss)
			}
			if r.Intn(4) == 0 {
				disk = disk.Kill()
			} else {
				disk = disk.PowerLoss(r.Intn)
			}
			if pending != nil { // the reopened log decides whether the unacknowledged batch counts
				l, repair, err := Open(disk, smallSizes)
				if repair.TornAt != "" {
					torn++
				}
				if err != nil {
					t.Fatalf("seed %d, restart %d: open after a crash: %v, want no error", seed, restart, err)
				}
				if m.diff(l) != "" {
					if pendingDiff := pending.diff(l); pendingDiff != "" {
						t.Fatalf("seed %d, restart %d: log is neither as before nor as after the batch: %s; %s", seed,
							restart, m.diff(l), pendingDiff)
					}
					m = pending
				}
				l.Close()
			}
		}
	}
	if torn < 50 {
		t.Fatalf("torn tails = %d, want at least 50: too few crashes hit a write", torn)
	}
}

// TestBitFlipIsDamageOrTornTail flips a bit of each byte in turn. Before the last flush, Open must report damage with
// its place and remove no file; within the last flush, it can't be distinguished from a torn tail.
func TestBitFlipIsDamageOrTornTail(t *testing.T) {
	fill := func(flushes int) (*MemFS, int64) {
		disk := NewMemFS()
		l := open(t, disk, Sizes{SegmentBytes: 300, MaxBytes: 1 << 20})
		last := int64(0)
		for i := 0; i < flushes; i++ {
			segments := len(l.segments)
			last = l.segments[segments-1].size
			commit(t, l, Batch{Entries: [][]byte{[]byte(fmt.Sprint("entry ", i))},
				Marks: []Mark{{1, []byte(fmt.Sprint(i))}}})
			if len(l.segments) > segments {
				last = segmentHeaderBytes
			}
		}
		l.Close()
		return disk, last
	}
	for flushes := 12; flushes <= 14; flushes++ { // so that the last segment holds one or more flushes
		disk, lastFlush := fill(flushes)
		names, _ := disk.List()
		if len(names) < 3 {
			t.Fatalf("segments = %d, want at least 3", len(names))
		}
		for i, name := range names {
			f, _ := disk.Open(name)
			size, _ := f.Size()
			for off := int64(0); off < size; off++ {
				disk, _ := fill(flushes)
				disk.FlipBits(name, off, 0x10)
				l, repair, err := Open(disk, smallSizes)
				var damage *Damage
				if i == len(names)-1 && off >= lastFlush {
					if err != nil || repair.TornAt == "" || l.Next() != uint64(flushes) {
						t.Fatalf("%s byte %d: Open() = %v, torn at %q, want the last flush truncated", name,
							off, err, repair.TornAt)
					}
					continue
				}
				if !errors.As(err, &damage) || damage.File == "" || !strings.Contains(err.Error(), "at byte") {
					t.Fatalf("%s byte %d: Open() = %v, want *Damage with its place", name, off, err)
				}
				if after, _ := disk.List(); len(after) != len(names) {
					t.Fatalf("%s byte %d: files = %d, want %d", name, off, len(after), len(names))
				}
			}
		}
	}
}

// A segment in the middle was deleted. Its entries were acknowledged, and an instance that forgot them could vote
// twice, so the log must not open.
func TestMissingSegmentIsDamage(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, Sizes{SegmentBytes: 100, MaxBytes: 1 << 20})
	for i := 0; i < 9; i++ {
		commit(t, l, Batch{Entries: [][]byte{make([]byte, 50)}})
	}
	l.Close()
	names, _ := disk.List()
	disk.Remove(names[1])
	if _, _, err := Open(disk, smallSizes); err == nil || !strings.Contains(err.Error(), "one is missing") {
		t.Fatalf("Open() = %v, want a missing segment", err)
	}
}

// After a failed fsync a second one may succeed although data was lost, so the log must reject every later call.
func TestFailedSyncBreaksLog(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, smallSizes)
	commit(t, l, Batch{Entries: [][]byte{[]byte("a")}})
	fail := true
	disk.OnStep = func(step, _ string) (int, error) {
		if step == "sync" && fail {
			fail = false // only the first sync fails
			return 0, syscall.EIO
		}
		return 0, nil
	}
	for i := 0; i < 2; i++ {
		if _, err := l.Commit(Batch{Entries: [][]byte{[]byte("b")}}); !errors.Is(err, ErrBroken) {
			t.Fatalf("Commit() %d = %v, want %v", i, err, ErrBroken)
		}
	}
	if err := l.SaveSnapshot(1, []byte("x")); !errors.Is(err, ErrBroken) {
		t.Fatalf("SaveSnapshot() = %v, want %v", err, ErrBroken)
	}
}

// The disk is full during a write. After reopening, the log must hold all durable entries and none of the failed write.
func TestFullDiskKeepsDurableEntries(t *testing.T) {
	disk := NewMemFS()
	disk.Capacity = 3000
	l := open(t, disk, smallSizes)
	m := newModel()
	for n := 0; ; n++ {
		b := Batch{Entries: [][]byte{[]byte(strings.Repeat("x", 200))}}
		if _, err := l.Commit(b); err != nil {
			if !errors.Is(err, ErrBroken) || !errors.Is(err, syscall.ENOSPC) || n < 5 {
				t.Fatalf("Commit() %d = %v, want %v wrapping %v after at least 5 commits", n, err,
					ErrBroken, syscall.ENOSPC)
			}
			break
		}
		m.apply(b)
	}
	l.Close()
	disk = disk.Kill()
	disk.Capacity = 0
	l, repair, err := Open(disk, smallSizes)
	if err != nil || repair.TornAt == "" {
		t.Fatalf("Open() = %v, torn at %q, want a torn tail", err, repair.TornAt)
	}
	if diff := m.diff(l); diff != "" {
		t.Fatal(diff)
	}
}

// A batch that would exceed the size limit must be rejected as a whole, and the log must stay usable.
func TestFullLogRejectsBatch(t *testing.T) {
	l := open(t, NewMemFS(), Sizes{SegmentBytes: 400, MaxBytes: 2000})
	m := newModel()
	for {
		b := Batch{Entries: [][]byte{make([]byte, 150)}}
		_, err := l.Commit(b)
		if errors.Is(err, ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		m.apply(b)
	}
	if l.DiskBytes() > 2000 {
		t.Fatalf("DiskBytes() = %d, want at most 2000", l.DiskBytes())
	}
	if diff := m.diff(l); diff != "" {
		t.Fatal(diff)
	}
	if err := l.TruncateFront(m.next() - 2); err != nil {
		t.Fatal(err)
	}
	commit(t, l, Batch{Entries: [][]byte{make([]byte, 150)}})
}

// TestGroupCommit blocks the first sync until all other commits wait: those must share the second sync.
func TestGroupCommit(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, Sizes{SegmentBytes: 1 << 20, MaxBytes: 1 << 20})
	entered, release := make(chan struct{}), make(chan struct{})
	first := true
	disk.OnStep = func(step, _ string) (int, error) {
		if step == "sync" && first {
			first = false
			close(entered)
			<-release
		}
		return 0, nil
	}
	var wg sync.WaitGroup
	numbers := make([]uint64, 20)
	commitOne := func(i int) {
		defer wg.Done()
		n, err := l.Commit(Batch{Entries: [][]byte{[]byte(fmt.Sprint(i))}})
		if err != nil {
			t.Error(err)
		}
		numbers[i] = n
	}
	wg.Add(1)
	go commitOne(0)
	<-entered
	wg.Add(19)
	for i := 1; i < 20; i++ {
		go commitOne(i)
	}
	for waiting := 0; waiting < 19; {
		l.mu.Lock()
		waiting = len(l.queue)
		l.mu.Unlock()
	}
	close(release)
	wg.Wait()
	if l.SyncCount() != 2 {
		t.Fatalf("SyncCount() = %d after 20 commits, want 2", l.SyncCount())
	}
	for i, n := range numbers {
		if got, err := l.Read(n); err != nil || string(got) != fmt.Sprint(i) {
			t.Fatalf("Read(%d) = %q, %v, want %q", n, got, err, fmt.Sprint(i))
		}
	}
}

// Repeated truncation of the front must remove segments from disk without losing the marks that they hold.
func TestTruncateFrontKeepsMarksAndFreesDisk(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, smallSizes)
	commit(t, l, Batch{Marks: []Mark{{3, []byte("kept")}}})
	maxBytes := int64(0)
	for i := uint64(1); i <= 500; i++ {
		commit(t, l, Batch{Entries: [][]byte{make([]byte, 100)}})
		if err := l.TruncateFront(i - min(i, 5)); err != nil {
			t.Fatal(err)
		}
		maxBytes = max(maxBytes, l.DiskBytes())
	}
	if maxBytes > 4*smallSizes.SegmentBytes {
		t.Fatalf("max DiskBytes() = %d, want at most %d", maxBytes, 4*smallSizes.SegmentBytes)
	}
	l.Close()
	if l = open(t, disk, smallSizes); string(l.Mark(3)) != "kept" || l.Next() != 501 {
		t.Fatalf("Mark(3) = %q, Next() = %d, want %q, 501", l.Mark(3), l.Next(), "kept")
	}
}

// TestCrashDuringSaveSnapshot loses power at each step of SaveSnapshot: the old snapshots or the complete new one must
// be there.
func TestCrashDuringSaveSnapshot(t *testing.T) {
	for failAt := 0; ; failAt++ {
		disk := NewMemFS()
		l := open(t, disk, smallSizes)
		for i := uint64(1); i <= 3; i++ {
			commit(t, l, Batch{Entries: [][]byte{{byte(i)}}})
			if err := l.SaveSnapshot(i, []byte("state "), []byte{'0' + byte(i)}); err != nil {
				t.Fatal(err)
			}
		}
		stepsLeft, failed := failAt, false
		disk.OnStep = func(string, string) (int, error) {
			if stepsLeft--; stepsLeft < 0 {
				failed = true
				return 7, errPowerLoss
			}
			return 0, nil
		}
		l.SaveSnapshot(4, []byte("state "), []byte("4"))
		r := rand.New(rand.NewSource(int64(failAt)))
		disk.OnStep = nil
		restarted := disk.PowerLoss(r.Intn)
		l = open(t, restarted, smallSizes)
		snaps := l.Snapshots()
		if len(snaps) < 2 || snaps[0] < 3 {
			t.Fatalf("step %d: Snapshots() = %v, want two of which the newest is 3 or 4", failAt, snaps)
		}
		for _, n := range snaps {
			if got, err := l.LoadSnapshot(n); err != nil || string(got) != fmt.Sprint("state ", n) {
				t.Fatalf("step %d: LoadSnapshot(%d) = %q, %v, want %q", failAt, n, got, err, fmt.Sprint("state ", n))
			}
		}
		if !failed {
			return
		}
	}
}

// A snapshot with a flipped bit must not be loaded.
func TestDamagedSnapshotIsReported(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, smallSizes)
	if err := l.SaveSnapshot(1, []byte("state")); err != nil {
		t.Fatal(err)
	}
	disk.FlipBits(snapshotName(1), 26, 1)
	var damage *Damage
	if _, err := l.LoadSnapshot(1); !errors.As(err, &damage) {
		t.Fatalf("LoadSnapshot(1) = %v, want *Damage", err)
	}
}

// Two processes are started on one folder by mistake. Both writing would destroy the log, so the second must be
// rejected.
func TestSecondOpenIsLocked(t *testing.T) {
	dir, err := MakeDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	l := open(t, dir, smallSizes)
	if _, _, err = Open(dir, smallSizes); !errors.Is(err, ErrLocked) {
		t.Fatalf("second Open() = %v, want %v", err, ErrLocked)
	}
	commit(t, l, Batch{Entries: [][]byte{[]byte("on disk")}, Marks: []Mark{{0, []byte("m")}}})
	if err = l.SaveSnapshot(1, []byte("s")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l = open(t, dir, smallSizes)
	if got, err := l.Read(1); err != nil || string(got) != "on disk" || string(l.Mark(0)) != "m" {
		t.Fatalf("Read(1) = %q, %v, Mark(0) = %q, want %q, %q", got, err, l.Mark(0), "on disk", "m")
	}
	l.Close()
}

func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			dir, err := MakeDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			l := open(b, dir, Sizes{SegmentBytes: 4 << 20, MaxBytes: 8 << 30})
			defer l.Close()
			b.ResetTimer()
			var wg sync.WaitGroup
			for c := 0; c < callers; c++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := c; i < b.N; i += callers {
						if _, err := l.Commit(Batch{Entries: [][]byte{make([]byte, 200)}}); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			wg.Wait()
			b.ReportMetric(float64(l.SyncCount())/float64(b.N), "syncs/op")
		})
	}
}

// TestRecoveredTailSurvivesPowerLoss: a record that a killed process wrote but did not sync counts once Open has read
// it, so it must survive the next power loss.
func TestRecoveredTailSurvivesPowerLoss(t *testing.T) {
	for seed := int64(0); seed < 40; seed++ {
		disk := NewMemFS()
		l := open(t, disk, smallSizes)
		disk.OnStep = func(step, _ string) (int, error) {
			if step == "sync" {
				return 0, errPowerLoss
			}
			return 0, nil
		}
		l.Commit(Batch{Entries: [][]byte{[]byte("written")}})
		disk = disk.Kill()
		if l = open(t, disk, smallSizes); l.Next() != 2 {
			t.Fatalf("seed %d: Next() = %d after the kill, want 2", seed, l.Next())
		}
		disk = disk.PowerLoss(rand.New(rand.NewSource(seed)).Intn)
		if l = open(t, disk, smallSizes); l.Next() != 2 {
			t.Fatalf("seed %d: Next() = %d after the power loss, want 2", seed, l.Next())
		}
	}
}

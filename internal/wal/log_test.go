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

// TestCrashAtAnyStep loses power at a step drawn by chance, or kills the process there, opens what a disk
// may hold then, and goes on: what was acknowledged is there, what was not is there whole or not at all.
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
					t.Fatalf("seed %d life %d: %s", seed, restart, diff)
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
				t.Fatalf("seed %d life %d: open: %v", seed, restart, err)
			}
			if r.Intn(4) == 0 {
				disk = disk.Kill()
			} else {
				disk = disk.PowerLoss(r.Intn)
			}
			if pending != nil { // settled by what is found, once
				l, repair, err := Open(disk, smallSizes)
				if repair.TornAt != "" {
					torn++
				}
				if err != nil {
					t.Fatalf("seed %d life %d: open after a crash: %v", seed, restart, err)
				}
				if m.diff(l) != "" {
					if pendingDiff := pending.diff(l); pendingDiff != "" {
						t.Fatalf("seed %d life %d: neither before nor after the batch: %s; %s", seed, restart,
							m.diff(l), pendingDiff)
					}
					m = pending
				}
				l.Close()
			}
		}
	}
	if torn < 50 {
		t.Fatalf("%d torn tails, expected at least 50: the crashes don't reach the cases", torn)
	}
}

// TestBitFlipIsDamageOrTornTail flips each byte in turn. Before the last flush that is damage, told with its place,
// and the folder is left as it was; within the last flush it can't be told from a torn tail.
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
	for flushes := 12; flushes <= 14; flushes++ { // the last segment has one flush, or some
		disk, lastFlush := fill(flushes)
		names, _ := disk.List()
		if len(names) < 3 {
			t.Fatalf("%d segments, expected some", len(names))
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
						t.Fatalf("%s byte %d: %v, expected the last flush cut off", name, off, err)
					}
					continue
				}
				if !errors.As(err, &damage) || damage.File == "" || !strings.Contains(err.Error(), "at byte") {
					t.Fatalf("%s byte %d: %v, expected damage told with its place", name, off, err)
				}
				if after, _ := disk.List(); len(after) != len(names) {
					t.Fatalf("%s byte %d: %d files left of %d", name, off, len(after), len(names))
				}
			}
		}
	}
}

// A segment in the middle was deleted by hand. Entries in it were acknowledged; a log that opened without them would
// let an instance forget what it voted for. It must not open, and must say where.
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
		t.Fatalf("got %v, expected a missing segment", err)
	}
}

// The disk fails a sync. What is on it is not known then: a second sync may succeed although the data is lost. The log
// must refuse everything from then on.
func TestFailedSyncBreaksLog(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, smallSizes)
	commit(t, l, Batch{Entries: [][]byte{[]byte("a")}})
	fail := true
	disk.OnStep = func(step, _ string) (int, error) {
		if step == "sync" && fail {
			fail = false // a second sync would succeed and say nothing of what was lost
			return 0, syscall.EIO
		}
		return 0, nil
	}
	for i := 0; i < 2; i++ {
		if _, err := l.Commit(Batch{Entries: [][]byte{[]byte("b")}}); !errors.Is(err, ErrBroken) {
			t.Fatalf("commit %d: %v, expected %v", i, err, ErrBroken)
		}
	}
	if err := l.SaveSnapshot(1, []byte("x")); !errors.Is(err, ErrBroken) {
		t.Fatalf("snapshot: %v, expected %v", err, ErrBroken)
	}
}

// The disk has no space for a write. What was durable before must be there when the log is opened again, and nothing of
// the failed write may count.
func TestFullDiskKeepsDurableEntries(t *testing.T) {
	disk := NewMemFS()
	disk.Capacity = 3000
	l := open(t, disk, smallSizes)
	m := newModel()
	for n := 0; ; n++ {
		b := Batch{Entries: [][]byte{[]byte(strings.Repeat("x", 200))}}
		if _, err := l.Commit(b); err != nil {
			if !errors.Is(err, ErrBroken) || !errors.Is(err, syscall.ENOSPC) || n < 5 {
				t.Fatalf("commit %d: %v", n, err)
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
		t.Fatalf("open after a full disk: %v, torn %q", err, repair.TornAt)
	}
	if diff := m.diff(l); diff != "" {
		t.Fatal(diff)
	}
}

// A batch would take the log past its limit. It must be refused as a whole, and the log must go on with smaller ones.
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
		t.Fatalf("%d bytes, expected at most 2000", l.DiskBytes())
	}
	if diff := m.diff(l); diff != "" {
		t.Fatal(diff)
	}
	if err := l.TruncateFront(m.next() - 2); err != nil {
		t.Fatal(err)
	}
	commit(t, l, Batch{Entries: [][]byte{make([]byte, 150)}})
}

// TestGroupCommit holds the first sync until all others wait: they share the second.
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
		t.Fatalf("%d syncs for 20 commits, expected 2", l.SyncCount())
	}
	for i, n := range numbers {
		if got, err := l.Read(n); err != nil || string(got) != fmt.Sprint(i) {
			t.Fatalf("entry %d is %q (%v), expected %d", n, got, err, i)
		}
	}
}

// Entries are dropped from the front for a long time. Segments must leave the disk, and marks in them must not be lost.
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
		t.Fatalf("%d bytes at most, expected under %d", maxBytes, 4*smallSizes.SegmentBytes)
	}
	l.Close()
	if l = open(t, disk, smallSizes); string(l.Mark(3)) != "kept" || l.Next() != 501 {
		t.Fatalf("mark %q, next %d", l.Mark(3), l.Next())
	}
}

// TestCrashDuringSaveSnapshot crashes at each step of a save: the old ones are there, or the new one whole.
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
			t.Fatalf("step %d: snapshots %v, expected two, 3 or 4 the newest", failAt, snaps)
		}
		for _, n := range snaps {
			if got, err := l.LoadSnapshot(n); err != nil || string(got) != fmt.Sprint("state ", n) {
				t.Fatalf("step %d: snapshot %d is %q (%v)", failAt, n, got, err)
			}
		}
		if !failed {
			return
		}
	}
}

// A bit of a snapshot flips. It must not be loaded as if it was sound.
func TestDamagedSnapshotIsReported(t *testing.T) {
	disk := NewMemFS()
	l := open(t, disk, smallSizes)
	if err := l.SaveSnapshot(1, []byte("state")); err != nil {
		t.Fatal(err)
	}
	disk.FlipBits(snapshotName(1), 26, 1)
	var damage *Damage
	if _, err := l.LoadSnapshot(1); !errors.As(err, &damage) {
		t.Fatalf("got %v, expected damage", err)
	}
}

// Two processes are started on one folder, as by an operator's mistake. Both writing would destroy the log: the second
// must be refused.
func TestSecondOpenIsLocked(t *testing.T) {
	dir, err := MakeDir(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	l := open(t, dir, smallSizes)
	if _, _, err = Open(dir, smallSizes); !errors.Is(err, ErrLocked) {
		t.Fatalf("second open: %v, expected %v", err, ErrLocked)
	}
	commit(t, l, Batch{Entries: [][]byte{[]byte("on disk")}, Marks: []Mark{{0, []byte("m")}}})
	if err = l.SaveSnapshot(1, []byte("s")); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l = open(t, dir, smallSizes)
	if got, err := l.Read(1); err != nil || string(got) != "on disk" || string(l.Mark(0)) != "m" {
		t.Fatalf("entry %q, mark %q, %v", got, l.Mark(0), err)
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

// TestRecoveredTailSurvivesPowerLoss: what a killed process had written but not synced counts once it was read, so it
// has to outlast the next loss of power too.
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
			t.Fatalf("next %d, expected what was written to be read", l.Next())
		}
		disk = disk.PowerLoss(rand.New(rand.NewSource(seed)).Intn)
		if l = open(t, disk, smallSizes); l.Next() != 2 {
			t.Fatalf("seed %d: next %d, expected what was read before to be there", seed, l.Next())
		}
	}
}

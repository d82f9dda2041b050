package consensus

import (
	"errors"
	"fmt"
	"runtime"
	"syscall"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/wal"
)

func single(t testing.TB, fs wal.FS) *Replica { return sized(t, fs, 1<<20, 4<<10) }

func sized(t testing.TB, fs wal.FS, bound int64, snapshot int) *Replica {
	t.Helper()
	n := uint64(0)
	r, err := Open(fs, Plan{Name: "a", Peer: "p", Listen: "l", Found: true, Elect: 5, Snapshot: snapshot,
		Sizes: wal.Sizes{Segment: bound >> 8, Bound: bound}, Draw: func() uint64 { n += 3; return n * 1001 },
		Logger: raftLog{quietLogger()}})
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < 20 && r.Status().Role != "leader"; i++ {
		r.Tick()
		work(t, r)
	}
	return r
}

func work(t testing.TB, r *Replica) Outcome {
	t.Helper()
	out, err := r.Work(func([]*pb.Message) {})
	if err != nil {
		t.Fatal(err)
	}
	s, err := r.Due()
	if s != nil {
		err = r.Saved(s, s.Write())
	}
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func propose(t testing.TB, r *Replica, n uint64) error {
	t.Helper()
	return r.Propose(&Put{Session: "s", Seq: n, Base: n - 1, Author: "x", Text: text(int(n))})
}

// TestFailedSyncEndsIt: an instance whose disk fails says so and sends nothing of what it could not keep.
func TestFailedSyncEndsIt(t *testing.T) {
	disk := wal.NewMem()
	r := single(t, disk)
	if err := propose(t, r, 1); err != nil {
		t.Fatal(err)
	}
	work(t, r)
	disk.Hook = func(step, _ string) (int, error) {
		if step == "sync" {
			return 0, syscall.EIO
		}
		return 0, nil
	}
	if err := propose(t, r, 2); err != nil {
		t.Fatal(err)
	}
	sent := false
	out, err := r.Work(func([]*pb.Message) { sent = true })
	if !errors.Is(err, wal.ErrBroken) || !errors.Is(err, syscall.EIO) || sent || len(out.Results) > 0 {
		t.Fatalf("%v, sent %v, %d results; expected %v and nothing said", err, sent, len(out.Results),
			wal.ErrBroken)
	}
}

// TestNoRoom: near its bound the log takes no changes, and what is there stays readable.
func TestNoRoom(t *testing.T) {
	r := single(t, wal.NewMem())
	r.plan.Sizes.Bound = r.log.Usage()
	if err := propose(t, r, 1); !errors.Is(err, ErrRoom) {
		t.Fatalf("got %v, expected %v", err, ErrRoom)
	}
}

// TestSnapshotFallback: with the newest snapshot damaged, the older one and the log since give the same
// state; with both damaged the start is refused.
func TestSnapshotFallback(t *testing.T) {
	disk := wal.NewMem()
	r := single(t, disk)
	for n := uint64(1); n <= 60; n++ {
		if err := propose(t, r, n); err != nil {
			t.Fatal(err)
		}
		work(t, r)
	}
	snaps := r.log.Snapshots()
	if len(snaps) != 2 || snaps[0] < 20 {
		t.Fatalf("snapshots %v, expected two", snaps)
	}
	damage := disk.Copy()
	damage.Flip(fmt.Sprintf("%016x.snap", snaps[0]), 40, 1)
	if got := single(t, damage); got.Status().Version != 60 {
		t.Fatalf("version %d after a damaged snapshot, expected 60", got.Status().Version)
	}
	damage = disk.Copy()
	damage.Flip(fmt.Sprintf("%016x.snap", snaps[0]), 40, 1)
	damage.Flip(fmt.Sprintf("%016x.snap", snaps[1]), 40, 1)
	var told *wal.Damage
	if _, err := Open(damage, r.plan); !errors.As(err, &told) {
		t.Fatalf("both snapshots damaged: %v, expected a refusal", err)
	}
}

// TestCutBetweenSnapshotAndLog: a crash between writing a snapshot got from the leader and cutting the log
// leaves entries of another history behind it; the next start drops them.
func TestCutBetweenSnapshotAndLog(t *testing.T) {
	disk := wal.NewMem()
	r := single(t, disk)
	for n := uint64(1); n <= 3; n++ {
		if err := propose(t, r, n); err != nil {
			t.Fatal(err)
		}
		work(t, r)
	}
	at := r.Status().Applied
	snap, err := r.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(4); n <= 6; n++ { // what the snapshot's history does not have
		if err := propose(t, r, n); err != nil {
			t.Fatal(err)
		}
		work(t, r)
	}
	*snap.Metadata.Term += 5 // of a later leader, so the entry at its index is another one
	parts, err := snapshotParts(snap.GetMetadata(), [][]byte{snap.GetData()})
	if err != nil {
		t.Fatal(err)
	}
	if err = r.log.Save(at, parts...); err != nil {
		t.Fatal(err)
	}
	again, err := Open(disk.Kill(), r.plan)
	if err != nil {
		t.Fatal(err)
	}
	if s := again.Status(); s.Last != at || s.Version != 3 {
		t.Fatalf("last entry %d and version %d, expected %d and 3", s.Last, s.Version, at)
	}
}

// BenchmarkStart starts an instance of a group of one until it leads with all its versions applied, by the
// length of its log, and from a snapshot. The ticks of its election are not waited for.
func BenchmarkStart(b *testing.B) {
	for _, c := range []struct {
		name     string
		versions uint64
		snapshot int
	}{{"log-1000", 1000, 1 << 30}, {"log-10000", 10000, 1 << 30}, {"log-100000", 100000, 1 << 30},
		{"snapshot-100000", 100000, 4 << 20}} {
		b.Run(c.name, func(b *testing.B) {
			disk := wal.NewMem()
			r := sized(b, disk, 1<<30, c.snapshot)
			for n := uint64(1); n <= c.versions; n++ {
				if err := propose(b, r, n); err != nil {
					b.Fatal(err)
				}
				if n%100 == 0 {
					work(b, r)
				}
			}
			work(b, r)
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				disk = disk.Kill()
				if s := sized(b, disk, 1<<30, c.snapshot).Status(); s.Version != c.versions {
					b.Fatalf("version %d, expected %d", s.Version, c.versions)
				}
			}
			b.ReportMetric(float64(r.log.Usage())/(1<<20), "MB")
		})
	}
}

// BenchmarkMemory holds 100,000 versions: what an instance needs for them, by the heap before and after.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	for i := 0; i < b.N; i++ {
		dir, err := wal.MakeDir(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		before := heap()
		r := sized(b, dir, 1<<30, 8<<20)
		for n := uint64(1); n <= 100000; n++ {
			if err := propose(b, r, n); err != nil {
				b.Fatal(err)
			}
			if n%200 == 0 {
				work(b, r)
			}
		}
		work(b, r)
		b.ReportMetric(heap()-before, "MB")
		b.ReportMetric(float64(r.log.Usage())/(1<<20), "disk-MB")
		r.Close()
	}
}

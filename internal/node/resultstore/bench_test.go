package resultstore

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"umberwinch/internal/wal"
)

// benchKeys is the number of keys in the index.
const benchKeys = 1_000_000

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndex compares the table with a Go map: memory per key and time of a lookup.
func BenchmarkIndex(b *testing.B) {
	b.Run("table", func(b *testing.B) {
		before := heapBytes()
		t := newTable(benchKeys)
		for i := range benchKeys {
			*t.insert(testKey(i)) = entry{key: testKey(i), state: Completed}
		}
		bytesPerKey := float64(heapBytes()-before) / benchKeys
		b.ResetTimer()
		for i := 0; i < b.N; i++ {
			if t.find(testKey(i%benchKeys)) == nil {
				b.Fatal("key not found")
			}
		}
		b.ReportMetric(bytesPerKey, "bytes/key")
	})
	b.Run("map", func(b *testing.B) {
		before := heapBytes()
		m := map[Key]entry{}
		for i := range benchKeys {
			m[testKey(i)] = entry{state: Completed}
		}
		bytesPerKey := float64(heapBytes()-before) / benchKeys
		b.ResetTimer()
		for i := 0; i < b.N; i++ {
			if m[testKey(i%benchKeys)].state != Completed {
				b.Fatal("key not found")
			}
		}
		b.ReportMetric(bytesPerKey, "bytes/key")
	})
}

// BenchmarkExpire compares the longest step of expiring all keys: of a pass over the slots, and of a timing wheel,
// which stores the keys a second time.
func BenchmarkExpire(b *testing.B) {
	filledIndex := func() *Index {
		index := NewIndex(Limits{Keys: benchKeys, Bytes: 1 << 40, ResultBytes: 0})
		for k := range benchKeys {
			r := index.Begin(0, testKey(k), 1, 10)
			index.MarkDurable(&r, uint64(k+1))
			index.MarkExecuted(0, testKey(k), false, nil)
			index.MarkDurable(&Record{Kind: Failure, Key: testKey(k)}, uint64(k+1))
		}
		runtime.GC()
		return index
	}
	b.Run("pass", func(b *testing.B) {
		for i := 0; i < b.N; i++ {
			b.StopTimer()
			index := filledIndex()
			b.StartTimer()
			worst := time.Duration(0)
			for index.Len() > 0 {
				start := time.Now()
				index.Expire(100, benchKeys+1)
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(float64(worst.Microseconds()), "us-worst")
		}
	})
	b.Run("wheel", func(b *testing.B) {
		for i := 0; i < b.N; i++ {
			b.StopTimer()
			index, before := filledIndex(), heapBytes()
			wheel := make([][]Key, 256) // each bucket is 1/256 of the window
			for k := range benchKeys {
				at := k * len(wheel) / benchKeys
				wheel[at] = append(wheel[at], testKey(k))
			}
			bytesPerKey := float64(heapBytes()-before) / benchKeys
			b.StartTimer()
			worst := time.Duration(0)
			for _, keys := range wheel {
				start := time.Now()
				for _, k := range keys {
					if e := index.table.find(k); e != nil && !index.isLive(100, e) {
						index.remove(e)
					}
				}
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(float64(worst.Microseconds()), "us-worst")
			b.ReportMetric(bytesPerKey, "more-bytes/key")
		}
	})
}

// BenchmarkOpen measures the time of a start and its memory per key.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10_000, 100_000, benchKeys} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, err := wal.MakeDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			sizes, limits := wal.Sizes{SegmentBytes: 64 << 20, MaxBytes: 1 << 40},
				Limits{Keys: benchKeys, Bytes: 1 << 40, ResultBytes: 256}
			s, _, _, err := Open(dir, sizes, limits, 0, "boot")
			if err != nil {
				b.Fatal(err)
			}
			done := make(chan error, maxQueue)
			for i, inFlight := 0, 0; i < 2*n || inFlight > 0; { // an intent and a result per key
				r := Record{Kind: Intent, Key: testKey(i / 2), BodyDigest: 1, Window: 1000}
				if i%2 == 1 {
					r.Kind, r.Result = Result, make([]byte, 100)
				}
				if i < 2*n && inFlight < maxQueue/2 && s.Append(r, func(_ uint64, err error) { done <- err }) {
					i, inFlight = i+1, inFlight+1
					continue
				}
				if err := <-done; err != nil {
					b.Fatal(err)
				}
				inFlight--
			}
			s.Close()
			before := heapBytes()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				s, index, recovery, err := Open(dir, sizes, limits, 0, "boot")
				if err != nil || index.Len() != n {
					b.Fatalf("Open() = %v, Len() = %d, want %d", err, index.Len(), n)
				}
				b.ReportMetric(float64(recovery.Duration.Milliseconds()), "ms")
				b.StopTimer()
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "bytes/key")
				runtime.KeepAlive(index)
				s.Close()
				b.StartTimer()
			}
		})
	}
}

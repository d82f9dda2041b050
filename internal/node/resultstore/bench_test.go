package resultstore

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"umberwinch/internal/wal"
)

// benchKeys is the size at which the index is measured.
const benchKeys = 1_000_000

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkIndex: bytes a key and a look-up's time, of the table and of Go's map with the same entries.
func BenchmarkIndex(b *testing.B) {
	b.Run("table", func(b *testing.B) {
		before := heap()
		t := newTable(benchKeys)
		for i := range benchKeys {
			*t.insert(key(i)) = entry{key: key(i), state: Completed}
		}
		each := float64(heap()-before) / benchKeys
		b.ResetTimer()
		for i := 0; i < b.N; i++ {
			if t.find(key(i%benchKeys)) == nil {
				b.Fatal("not there")
			}
		}
		b.ReportMetric(each, "bytes/key")
	})
	b.Run("map", func(b *testing.B) {
		before := heap()
		m := map[Key]entry{}
		for i := range benchKeys {
			m[key(i)] = entry{state: Completed}
		}
		each := float64(heap()-before) / benchKeys
		b.ResetTimer()
		for i := 0; i < b.N; i++ {
			if m[key(i%benchKeys)].state != Completed {
				b.Fatal("not there")
			}
		}
		b.ReportMetric(each, "bytes/key")
	})
}

// BenchmarkExpire is the longest that one step of letting go takes, with all keys going: of a pass over the slots,
// and of a wheel of buckets by the end of the window, which needs the keys once more.
func BenchmarkExpire(b *testing.B) {
	full := func() *Index {
		book := NewIndex(Limits{Keys: benchKeys, Bytes: 1 << 40, ResultBytes: 0})
		for k := range benchKeys {
			r := book.Begin(0, key(k), 1, 10)
			book.MarkDurable(&r, uint64(k+1))
			book.MarkExecuted(0, key(k), false, nil)
			book.MarkDurable(&Record{Kind: Failure, Key: key(k)}, uint64(k+1))
		}
		runtime.GC()
		return book
	}
	b.Run("pass", func(b *testing.B) {
		for i := 0; i < b.N; i++ {
			b.StopTimer()
			book := full()
			b.StartTimer()
			worst := time.Duration(0)
			for book.Len() > 0 {
				began := time.Now()
				book.Expire(100, benchKeys+1)
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds()), "us-worst")
		}
	})
	b.Run("wheel", func(b *testing.B) {
		for i := 0; i < b.N; i++ {
			b.StopTimer()
			book, before := full(), heap()
			wheel := make([][]Key, 256) // a window's 256th each
			for k := range benchKeys {
				at := k * len(wheel) / benchKeys
				wheel[at] = append(wheel[at], key(k))
			}
			each := float64(heap()-before) / benchKeys
			b.StartTimer()
			worst := time.Duration(0)
			for _, keys := range wheel {
				began := time.Now()
				for _, k := range keys {
					if e := book.table.find(k); e != nil && !book.isLive(100, e) {
						book.remove(e)
					}
				}
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds()), "us-worst")
			b.ReportMetric(each, "more-bytes/key")
		}
	})
}

// BenchmarkOpen is a start with so many keys.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{10_000, 100_000, benchKeys} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, err := wal.MakeDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			sizes, room := wal.Sizes{SegmentBytes: 64 << 20, MaxBytes: 1 << 40},
				Limits{Keys: benchKeys, Bytes: 1 << 40, ResultBytes: 256}
			s, _, _, err := Open(dir, sizes, room, 0, "boot")
			if err != nil {
				b.Fatal(err)
			}
			done := make(chan error, maxQueue)
			for i, out := 0, 0; i < 2*n || out > 0; { // an intent and a result each
				r := Record{Kind: Intent, Key: key(i / 2), BodyDigest: 1, Window: 1000}
				if i%2 == 1 {
					r.Kind, r.Result = Result, make([]byte, 100)
				}
				if i < 2*n && out < maxQueue/2 && s.Append(r, func(_ uint64, err error) { done <- err }) {
					i, out = i+1, out+1
					continue
				}
				if err := <-done; err != nil {
					b.Fatal(err)
				}
				out--
			}
			s.Close()
			before := heap()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				s, book, o, err := Open(dir, sizes, room, 0, "boot")
				if err != nil || book.Len() != n {
					b.Fatal(err, book.Len())
				}
				b.ReportMetric(float64(o.Duration.Milliseconds()), "ms")
				b.StopTimer()
				b.ReportMetric(float64(heap()-before)/float64(n), "bytes/key")
				runtime.KeepAlive(book)
				s.Close()
				b.StartTimer()
			}
		})
	}
}

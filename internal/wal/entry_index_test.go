package wal

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// TestEntryIndexMatchesModel appends, cuts, truncates and reopens at random, and compares Read and ForEach with a plain
// list.
func TestEntryIndexMatchesModel(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		r, fs, m := rand.New(rand.NewSource(seed)), NewMemFS(), newModel()
		l := open(t, fs, smallSizes)
		for step := range 120 {
			switch k := r.Intn(12); {
			case k == 0 && len(m.entries) > 0:
				n := r.Intn(len(m.entries) + 1)
				if err := l.TruncateFront(m.base + uint64(n) - 1); err != nil {
					t.Fatal(err)
				}
				m.base, m.entries = m.base+uint64(n), m.entries[n:]
			case k == 1:
				if err := l.Close(); err != nil {
					t.Fatal(err)
				}
				l = open(t, fs, smallSizes)
			default:
				b := m.randomBatch(r)
				commit(t, l, b)
				m.apply(b)
			}
			problem := m.diff(l)
			want := l.First()
			if err := l.ForEach(func(number uint64, data []byte) error {
				if want != number || number >= m.base && string(data) != m.entries[number-m.base] {
					return fmt.Errorf("ForEach: entry %d = %.40q, want entry %d", number, data, want)
				}
				want++
				return nil
			}); err != nil || want != m.next() {
				problem = fmt.Sprintf("ForEach() = %v, next entry %d, want %d", err, want, m.next())
			}
			if problem != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, problem)
			}
		}
	}
}

// TestReadDetectsBitFlips: whichever bit of a segment flips after Open, Read must return the right entry or *Damage,
// even if it walks over a damaged header.
func TestReadDetectsBitFlips(t *testing.T) {
	fs := NewMemFS()
	l := open(t, fs, Sizes{SegmentBytes: 1 << 20, MaxBytes: 1 << 20})
	var want []string
	for i := range 12 {
		want = append(want, strings.Repeat("x", 5*i)+fmt.Sprint(i))
		commit(t, l, Batch{Entries: [][]byte{[]byte(want[i])}, Marks: []Mark{{1, []byte("mark")}}})
	}
	f, err := fs.Open(segmentName(1))
	if err != nil {
		t.Fatal(err)
	}
	size, _ := f.Size()
	detected := 0
	var buf [1]byte
	for off := int64(segmentHeaderBytes); off < size; off++ {
		for bit := range 8 {
			f.ReadAt(buf[:], off)
			original := buf[0]
			buf[0] ^= 1 << bit
			f.WriteAt(buf[:], off)
			for i := range want {
				got, err := l.Read(uint64(i + 1))
				var damage *Damage
				if err == nil && string(got) != want[i] || err != nil && !errors.As(err, &damage) {
					t.Fatalf("byte %d, bit %d: Read(%d) = %q, %v, want %q or *Damage", off, bit, i+1, got, err, want[i])
				}
				if err != nil {
					detected++
				}
			}
			buf[0] = original
			f.WriteAt(buf[:], off)
		}
	}
	if detected == 0 {
		t.Error("no bit flip was detected, want some")
	}
}

// TestEntryIndexMemory: many small entries must cost about one byte of memory each.
func TestEntryIndexMemory(t *testing.T) {
	x := entryIndex{first: 1}
	const n = 1 << 16
	for i := range n {
		x.add(uint64(i/1000), int64(i%1000)*80)
	}
	if bytes := 4*len(x.samples) + 24*len(x.extentStarts); bytes > n*11/10 {
		t.Errorf("index = %d bytes for %d entries, want at most 1.1 each", bytes, n)
	}
	x.truncateFront(n - 10)
	if len(x.samples) > 4 || len(x.extentStarts) != 1 || x.find(x.first).number > x.first {
		t.Errorf("index of 10 entries = %d samples, %d extents, want at most 4, 1", len(x.samples), len(x.extentStarts))
	}
}

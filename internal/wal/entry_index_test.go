package wal

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// TestEntryIndex writes, cuts, truncates and opens again by chance, and holds each entry that is held to a plain list,
// read one by one and all in order.
func TestEntryIndex(t *testing.T) {
	for seed := int64(1); seed <= 30; seed++ {
		r, fs, m := rand.New(rand.NewSource(seed)), NewMemFS(), newModel()
		l := open(t, fs, small)
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
				l = open(t, fs, small)
			default:
				b := m.draw(r)
				commit(t, l, b)
				m.apply(b)
			}
			what := m.differs(l)
			at := l.First()
			if err := l.ForEach(func(number uint64, data []byte) error {
				if at != number || number >= m.base && string(data) != m.entries[number-m.base] {
					return fmt.Errorf("entry %d is %.40q, expected %d", number, data, at)
				}
				at++
				return nil
			}); err != nil || at != m.next() {
				what = fmt.Sprintf("all in order end at %d: %v", at, err)
			}
			if what != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, what)
			}
		}
	}
}

// TestReadPastDamage: an entry that is found by the heads of others is never another one, whichever bit of its
// segment turned over since the log was opened.
func TestReadPastDamage(t *testing.T) {
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
	told := 0
	var one [1]byte
	for at := int64(segmentHeaderBytes); at < size; at++ {
		for bit := range 8 {
			f.ReadAt(one[:], at)
			was := one[0]
			one[0] ^= 1 << bit
			f.WriteAt(one[:], at)
			for i := range want {
				got, err := l.Read(uint64(i + 1))
				var damage *Damage
				if err == nil && string(got) != want[i] || err != nil && !errors.As(err, &damage) {
					t.Fatalf("byte %d, bit %d: entry %d is %q, %v", at, bit, i+1, got, err)
				}
				if err != nil {
					told++
				}
			}
			one[0] = was
			f.WriteAt(one[:], at)
		}
	}
	if told == 0 {
		t.Error("no damage was told")
	}
}

// TestEntryIndexIsSmall: what a log keeps in memory of many small entries is a byte each, about.
func TestEntryIndexIsSmall(t *testing.T) {
	p := entryIndex{first: 1}
	const n = 1 << 16
	for i := range n {
		p.add(uint64(i/1000), int64(i%1000)*80)
	}
	if bytes := 4*len(p.samples) + 24*len(p.runs); bytes > n*11/10 {
		t.Errorf("%d bytes for %d entries, expected 1.1 each at most", bytes, n)
	}
	p.release(n - 10)
	if len(p.samples) > 4 || len(p.runs) != 1 || p.find(p.first).number > p.first {
		t.Errorf("%d offsets and %d jumps are kept for 10 entries", len(p.samples), len(p.runs))
	}
}

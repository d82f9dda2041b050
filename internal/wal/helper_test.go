package wal

import (
	"fmt"
	"math/rand"
	"testing"
)

// smallSizes makes a few records fill a segment.
var smallSizes = Sizes{SegmentBytes: 700, MaxBytes: 1 << 20}

func open(t testing.TB, fs FS, sizes Sizes) *Log {
	t.Helper()
	l, _, err := Open(fs, sizes)
	if err != nil {
		t.Fatalf("Open(): %v", err)
	}
	return l
}

func commit(t testing.TB, l *Log, b Batch) {
	t.Helper()
	if _, err := l.Commit(b); err != nil {
		t.Fatalf("Commit(): %v", err)
	}
}

// model is the expected content of a log.
type model struct {
	base    uint64 // number of the first entry
	entries []string
	marks   [MaxMarkKinds]string
}

func newModel() *model { return &model{base: 1} }

func (m *model) next() uint64 { return m.base + uint64(len(m.entries)) }

func (m *model) clone() *model {
	out := *m
	out.entries = append([]string(nil), m.entries...)
	return &out
}

func (m *model) apply(b Batch) {
	if b.Cut > 0 {
		if b.Cut < m.base || b.Cut > m.next() {
			m.base, m.entries = b.Cut, nil
		} else {
			m.entries = m.entries[:b.Cut-m.base]
		}
	}
	for _, e := range b.Entries {
		m.entries = append(m.entries, string(e))
	}
	for _, mark := range b.Marks {
		m.marks[mark.Kind] = string(mark.Data)
	}
}

// randomBatch returns a batch, sometimes with a cut into or beyond the entries held.
func (m *model) randomBatch(r *rand.Rand) Batch {
	var b Batch
	if r.Intn(5) == 0 && len(m.entries) > 0 {
		b.Cut = m.next() - uint64(r.Intn(min(4, len(m.entries)+1)))
	} else if r.Intn(40) == 0 {
		b.Cut = m.next() + uint64(r.Intn(9))
	}
	for n := r.Intn(4); n > 0; n-- {
		b.Entries = append(b.Entries, []byte(fmt.Sprintf("%d-%0*d", r.Int63(), r.Intn(300), 7)))
	}
	for n := r.Intn(3); n > 0; n-- {
		b.Marks = append(b.Marks, Mark{r.Intn(MaxMarkKinds), []byte(fmt.Sprint(r.Int63()))})
	}
	return b
}

// diff describes the first difference between a log and the model, empty if there is none. The log may still hold
// entries that were truncated from the front.
func (m *model) diff(l *Log) string {
	if l.Next() != m.next() || l.First() > m.base {
		return fmt.Sprintf("entries are %d to %d, want %d to %d", l.First(), l.Next()-1, m.base, m.next()-1)
	}
	for i, want := range m.entries {
		got, err := l.Read(m.base + uint64(i))
		if err != nil || string(got) != want {
			return fmt.Sprintf("Read(%d) = %.40q, %v, want %.40q", m.base+uint64(i), got, err, want)
		}
	}
	for k, want := range m.marks {
		if got := string(l.Mark(k)); got != want {
			return fmt.Sprintf("Mark(%d) = %q, want %q", k, got, want)
		}
	}
	return ""
}

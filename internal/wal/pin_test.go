package wal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The fixtures under testdata/pin were written by version 2a0a97e. Stored forms are stable, so later versions never
// rewrite them.
var writePins = flag.Bool("write-pins", false, "rewrite the fixtures of stored forms")

// compareFixture compares got with a fixture, or writes the fixture with -write-pins.
func compareFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "pin", name)
	if *writePins {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got %d bytes, want %d\ngot  %.2000q\nwant %.2000q", path, len(got), len(want), got, want)
	}
}

// writeSampleLog writes entries, marks, cuts and snapshots to several segments.
func writeSampleLog(t *testing.T, fs FS) {
	t.Helper()
	l, _, err := Open(fs, Sizes{SegmentBytes: 400, MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	entry := func(n int) []byte { return []byte(strings.Repeat(fmt.Sprintf("entry %d;", n), 1+n%5)) }
	for n := 1; n <= 12; n++ {
		commit(t, l, Batch{Entries: [][]byte{entry(n), entry(100 + n)}})
	}
	commit(t, l, Batch{Cut: 20, Entries: [][]byte{entry(7), {}},
		Marks: []Mark{{Kind: 0, Data: []byte("mark 0")}, {Kind: 15, Data: nil}}})
	commit(t, l, Batch{Marks: []Mark{{Kind: 3, Data: []byte("mark 3")}}})
	for _, number := range []uint64{4, 9, 15} {
		if err := l.SaveSnapshot(number, []byte("state of "), nil, fmt.Appendf(nil, "%d", number)); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.TruncateFront(9); err != nil {
		t.Fatal(err)
	}
	for n := 30; n < 36; n++ {
		commit(t, l, Batch{Entries: [][]byte{entry(n)}, Marks: []Mark{{Kind: 1, Data: entry(n)}}})
	}
	commit(t, l, Batch{Cut: 25})
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// describeContent lists the entries, marks and snapshots of a log.
func describeContent(t *testing.T, l *Log) string {
	t.Helper()
	var out strings.Builder
	fmt.Fprintf(&out, "entries %d to %d, snapshots %v, %d bytes\n", l.First(), l.Next()-1, l.Snapshots(), l.DiskBytes())
	if err := l.ForEach(func(n uint64, data []byte) error {
		fmt.Fprintf(&out, "%d %q\n", n, data)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	for n := l.First(); n < l.Next(); n++ {
		data, err := l.Read(n)
		fmt.Fprintf(&out, "read %d %q %v\n", n, data, err)
	}
	for kind := range MaxMarkKinds {
		if m := l.Mark(kind); m != nil {
			fmt.Fprintf(&out, "mark %d %q\n", kind, m)
		}
	}
	for _, n := range l.Snapshots() {
		body, err := l.LoadSnapshot(n)
		fmt.Fprintf(&out, "snapshot %d %q %v\n", n, body, err)
	}
	return out.String()
}

func readFixtureFile(t *testing.T, fs FS, name string) []byte {
	t.Helper()
	f, err := fs.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	size, err := f.Size()
	if err != nil {
		t.Fatal(err)
	}
	raw := make([]byte, size)
	if _, err = f.ReadAt(raw, 0); err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestLogFilesAreStable: the same calls must write the same bytes as version 2a0a97e.
func TestLogFilesAreStable(t *testing.T) {
	fs := NewMemFS()
	writeSampleLog(t, fs)
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		compareFixture(t, "log/"+name, readFixtureFile(t, fs, name))
	}
	stored, err := filepath.Glob("testdata/pin/log/*")
	if err != nil || len(stored) != len(names) {
		t.Errorf("files = %v, want %v (%v)", names, stored, err)
	}
}

// storedLog returns the log files of version 2a0a97e.
func storedLog(t *testing.T) *MemFS {
	t.Helper()
	stored, err := filepath.Glob("testdata/pin/log/*")
	if err != nil {
		t.Fatal(err)
	}
	fs := NewMemFS()
	for _, path := range stored {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		f, err := fs.Create(filepath.Base(path))
		if err != nil {
			t.Fatal(err)
		}
		if _, err = f.WriteAt(raw, 0); err != nil {
			t.Fatal(err)
		}
		if err = f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	return fs
}

// TestStoredLogReadsBack: the files of version 2a0a97e must read back as written.
func TestStoredLogReadsBack(t *testing.T) {
	l, repair, err := Open(storedLog(t), Sizes{SegmentBytes: 400, MaxBytes: 1 << 20})
	if err != nil || repair.TornAt != "" || repair.TornBytes != 0 || repair.RemovedFiles != nil {
		t.Fatalf("Open() = %+v, %v, want no repair and no error", repair, err)
	}
	defer l.Close()
	compareFixture(t, "content.txt", []byte(describeContent(t, l)))
}

// TestDamagedStoredLogOutcomes: a log with a flipped bit, a truncated file or a missing file must open or fail as in
// version 2a0a97e.
func TestDamagedStoredLogOutcomes(t *testing.T) {
	names, err := storedLog(t).List()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	describeOpen := func(fs *MemFS) {
		l, repair, err := Open(fs, Sizes{SegmentBytes: 400, MaxBytes: 1 << 20})
		if err != nil {
			fmt.Fprintln(&out, err)
			return
		}
		defer l.Close()
		fmt.Fprintf(&out, "%d bytes cut off %q, entries %d to %d", repair.TornBytes, repair.TornAt, l.First(), l.Next()-1)
		for _, n := range l.Snapshots() {
			_, err := l.LoadSnapshot(n)
			fmt.Fprintf(&out, "; snapshot %d: %v", n, err)
		}
		fmt.Fprintln(&out)
	}
	for _, name := range names {
		size := len(readFixtureFile(t, storedLog(t), name))
		for off := 0; off < size; off += 1 + size/40 {
			fs := storedLog(t)
			fs.FlipBits(name, int64(off), 1<<(off%8))
			fmt.Fprintf(&out, "%s flipped at %d: ", name, off)
			describeOpen(fs)
			fs = storedLog(t)
			f, err := fs.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			if err = f.Truncate(int64(off)); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "%s cut at %d: ", name, off)
			describeOpen(fs)
		}
		fs := storedLog(t)
		if err := fs.Remove(name); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s missing: ", name)
		describeOpen(fs)
	}
	compareFixture(t, "spoilt.txt", []byte(out.String()))
}

// TestErrorTextsAreStable: the error texts must be those of version 2a0a97e, as operators match them.
func TestErrorTextsAreStable(t *testing.T) {
	var out strings.Builder
	fs := NewMemFS()
	l, _, err := Open(fs, Sizes{SegmentBytes: 100, MaxBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	add := func(call string, err error) { fmt.Fprintf(&out, "%s: %v\n", call, err) }
	_, err = l.Commit(Batch{Entries: [][]byte{make([]byte, MaxRecordBytes+1)}})
	add("a large entry", err)
	_, err = l.Commit(Batch{Marks: []Mark{{Kind: 16}}})
	add("a mark of no kind", err)
	_, err = l.Commit(Batch{Entries: [][]byte{make([]byte, 400)}})
	add("past the bound", err)
	add("a snapshot past the bound", l.SaveSnapshot(1, make([]byte, 400)))
	_, err = l.Read(1)
	add("an entry that is not there", err)
	_, err = l.LoadSnapshot(7)
	add("a snapshot that is not there", err)
	_, _, err = Open(fs, Sizes{SegmentBytes: 100, MaxBytes: 300})
	add("in use", err)
	fs.OnStep = func(step, _ string) (int, error) {
		if step == "sync" {
			return 0, fmt.Errorf("no sync")
		}
		return 0, nil
	}
	_, err = l.Commit(Batch{Entries: [][]byte{{1}}})
	add("a failed sync", err)
	fs.OnStep = nil
	_, err = l.Commit(Batch{Entries: [][]byte{{1}}})
	add("after it", err)
	add("a release after it", l.TruncateFront(1))
	if err = l.Close(); err != nil {
		t.Fatal(err)
	}
	l, _, err = Open(fs, Sizes{SegmentBytes: 100, MaxBytes: 300})
	if err != nil {
		t.Fatal(err)
	}
	if err = l.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = l.Commit(Batch{Entries: [][]byte{{1}}})
	add("closed", err)
	compareFixture(t, "errors.txt", []byte(out.String()))
}

package wal

import (
	"errors"
	"syscall"
	"testing"
)

// countingFS counts the files that are open, and can make closes fail.
type countingFS struct {
	FS
	open     int
	closeErr error
}

type countingFile struct {
	File
	fs *countingFS
}

func (c *countingFS) Create(name string) (File, error) { return c.count(c.FS.Create(name)) }

func (c *countingFS) Open(name string) (File, error) { return c.count(c.FS.Open(name)) }

func (c *countingFS) count(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	c.open++
	return countingFile{f, c}, nil
}

func (f countingFile) Close() error {
	f.fs.open--
	return errors.Join(f.File.Close(), f.fs.closeErr)
}

// TestFailedOpenClosesFiles: a log can't be opened or gets no new segment, again and again, as when a node tries to reach its
// disk anew. No file may stay open each time, or the process runs out of descriptors and stops serving.
func TestFailedOpenClosesFiles(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*MemFS)
		step   string // fails
	}{
		"a damaged header":        {func(m *MemFS) { m.FlipBits(segmentName(1), 12, 1) }, ""},
		"a damaged record":        {func(m *MemFS) { m.FlipBits(segmentName(1), segmentHeaderBytes+6, 1) }, ""},
		"a segment that is gone":  {func(m *MemFS) { delete(m.names, segmentName(2)) }, ""},
		"a sync that fails":       {func(*MemFS) {}, "sync"},
		"no sync of names either": {func(*MemFS) {}, "names"},
	} {
		disk := NewMemFS()
		l := open(t, disk, smallSizes)
		for range 40 {
			commit(t, l, Batch{Entries: [][]byte{make([]byte, 60)}})
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		c.change(disk)
		disk.OnStep = func(step, _ string) (int, error) {
			if step == c.step {
				return 0, syscall.EIO
			}
			return 0, nil
		}
		fs := &countingFS{FS: disk}
		if _, _, err := Open(fs, smallSizes); err == nil || fs.open != 0 {
			t.Errorf("%s: %v, %d files are open, expected an error and none", name, err, fs.open)
		}
	}

	disk := NewMemFS()
	fs := &countingFS{FS: disk}
	l := open(t, fs, smallSizes)
	commit(t, l, Batch{Entries: [][]byte{make([]byte, smallSizes.SegmentBytes)}})
	before := fs.open
	disk.OnStep = func(step, name string) (int, error) {
		if step == "sync" && name == segmentName(2) {
			return 0, syscall.EIO
		}
		return 0, nil
	}
	_, err := l.Commit(Batch{Entries: [][]byte{make([]byte, 60)}})
	if !errors.Is(err, ErrBroken) || fs.open != before {
		t.Errorf("a new segment: %v, %d files are open, expected %v and %d", err, fs.open, ErrBroken, before)
	}
}

// TestCloseErrorStillUnlocks: a file's close fails. That is told, all others are closed, and the folder is unlocked all the same:
// the next process would find it in use otherwise.
func TestCloseErrorStillUnlocks(t *testing.T) {
	fs := &countingFS{FS: NewMemFS(), closeErr: syscall.EIO}
	l := open(t, fs, smallSizes)
	for range 40 {
		commit(t, l, Batch{Entries: [][]byte{make([]byte, 60)}})
	}
	if err := l.Close(); !errors.Is(err, syscall.EIO) || fs.open != 0 {
		t.Errorf("%v, %d files are open, expected %v and none", err, fs.open, syscall.EIO)
	}
	if err := l.Close(); err != nil {
		t.Errorf("a second close: %v", err)
	}
	fs.closeErr = nil
	if err := open(t, fs, smallSizes).Close(); err != nil {
		t.Errorf("the folder is not free: %v", err)
	}
}

// TestErrorTypes: callers can tell what a log does not take or hold from what ends the process.
func TestErrorTypes(t *testing.T) {
	l := open(t, NewMemFS(), smallSizes)
	var entry *EntryTooLargeError
	_, err := l.Commit(Batch{Entries: [][]byte{make([]byte, MaxRecordBytes+1)}})
	if !errors.As(err, &entry) || err.Error() != "an entry of 8388609 bytes, expected at most 8388608" {
		t.Errorf("found %v, expected an EntryTooLargeError", err)
	}
	var mark *InvalidMarkError
	if _, err = l.Commit(Batch{Marks: []Mark{{Kind: MaxMarkKinds}}}); !errors.As(err, &mark) ||
		mark.Kind != MaxMarkKinds {
		t.Errorf("found %v, expected an InvalidMarkError", err)
	}
	var missing *EntryNotFoundError
	if _, err = l.Read(1); !errors.As(err, &missing) || err.Error() != "entry 1, expected one from 1 to 0" {
		t.Errorf("found %v, expected a EntryNotFoundError", err)
	}
	commit(t, l, Batch{Entries: [][]byte{{1}}})
	if _, err = l.Read(1); err != nil {
		t.Errorf("after what was refused: %v", err)
	}
}

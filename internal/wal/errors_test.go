package wal

import (
	"errors"
	"syscall"
	"testing"
)

// countingFS counts the open files and can make Close fail.
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

// TestFailedOpenClosesFiles: a failed Open or a failed new segment must leave no file open, or a node that retries runs
// out of file descriptors.
func TestFailedOpenClosesFiles(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*MemFS)
		step   string // step that fails
	}{
		"a damaged header":       {func(m *MemFS) { m.FlipBits(segmentName(1), 12, 1) }, ""},
		"a damaged record":       {func(m *MemFS) { m.FlipBits(segmentName(1), segmentHeaderBytes+6, 1) }, ""},
		"a missing segment":      {func(m *MemFS) { delete(m.names, segmentName(2)) }, ""},
		"a failed fsync":         {func(*MemFS) {}, "sync"},
		"a failed sync of names": {func(*MemFS) {}, "names"},
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
			t.Errorf("%s: Open() = %v, open files = %d, want an error and 0", name, err, fs.open)
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
		t.Errorf("a failed new segment: Commit() = %v, open files = %d, want %v, %d", err, fs.open, ErrBroken, before)
	}
}

// TestCloseErrorStillUnlocks: if closing a file fails, Close must return the error, close the other files and unlock
// the folder, or the next process could not open it.
func TestCloseErrorStillUnlocks(t *testing.T) {
	fs := &countingFS{FS: NewMemFS(), closeErr: syscall.EIO}
	l := open(t, fs, smallSizes)
	for range 40 {
		commit(t, l, Batch{Entries: [][]byte{make([]byte, 60)}})
	}
	if err := l.Close(); !errors.Is(err, syscall.EIO) || fs.open != 0 {
		t.Errorf("Close() = %v, open files = %d, want %v, 0", err, fs.open, syscall.EIO)
	}
	if err := l.Close(); err != nil {
		t.Errorf("second Close() = %v, want nil", err)
	}
	fs.closeErr = nil
	if err := open(t, fs, smallSizes).Close(); err != nil {
		t.Errorf("Open() and Close() = %v, want an unlocked folder", err)
	}
}

// TestErrorTypes: callers must be able to distinguish invalid arguments from a broken log.
func TestErrorTypes(t *testing.T) {
	l := open(t, NewMemFS(), smallSizes)
	var entry *EntryTooLargeError
	_, err := l.Commit(Batch{Entries: [][]byte{make([]byte, MaxRecordBytes+1)}})
	if !errors.As(err, &entry) || err.Error() != "an entry of 8388609 bytes, expected at most 8388608" {
		t.Errorf("Commit() = %v, want *EntryTooLargeError with its text", err)
	}
	var mark *InvalidMarkError
	if _, err = l.Commit(Batch{Marks: []Mark{{Kind: MaxMarkKinds}}}); !errors.As(err, &mark) ||
		mark.Kind != MaxMarkKinds {
		t.Errorf("Commit() = %v, want *InvalidMarkError of kind 16", err)
	}
	var missing *EntryNotFoundError
	if _, err = l.Read(1); !errors.As(err, &missing) || err.Error() != "entry 1, expected one from 1 to 0" {
		t.Errorf("Read(1) = %v, want *EntryNotFoundError with its text", err)
	}
	commit(t, l, Batch{Entries: [][]byte{{1}}})
	if _, err = l.Read(1); err != nil {
		t.Errorf("Read(1) after rejected batches: %v", err)
	}
}

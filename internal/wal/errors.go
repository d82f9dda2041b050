package wal

import (
	"errors"
	"fmt"
)

// ErrFull is for a batch or snapshot that would take the log past Sizes.MaxBytes. Nothing was written, and the log
// goes on.
var ErrFull = errors.New("the log is at its bound")

// ErrBroken is for a write or sync that failed, and for every call after it: what is on disk is not known until the
// log is opened again, so the process has to end.
var ErrBroken = errors.New("the log can't be relied on any more")

// ErrLocked is for a folder that another process uses.
var ErrLocked = errors.New("the folder is in use by another process")

// EntryTooLargeError is for an entry that is larger than MaxRecordBytes. Nothing of its batch was written.
type EntryTooLargeError struct{ Bytes int }

// Error says how large the entry is, and how large it may be.
func (e *EntryTooLargeError) Error() string {
	return fmt.Sprintf("an entry of %d bytes, expected at most %d", e.Bytes, MaxRecordBytes)
}

// InvalidMarkError is for a mark of no kind, or one that is larger than MaxRecordBytes. Nothing of its batch was
// written.
type InvalidMarkError struct{ Kind, Bytes int }

// Error says what the mark is, and what it may be.
func (e *InvalidMarkError) Error() string {
	return fmt.Sprintf("a mark of kind %d with %d bytes, expected kinds below %d and at most %d bytes", e.Kind, e.Bytes,
		MaxMarkKinds, MaxRecordBytes)
}

// EntryNotFoundError is for an entry that the log does not hold: it was dropped, or was never written.
type EntryNotFoundError struct{ Number, First, Last uint64 }

// Error says which entries are held.
func (e *EntryNotFoundError) Error() string {
	return fmt.Sprintf("entry %d, expected one from %d to %d", e.Number, e.First, e.Last)
}

// errClosed is for a call after Close.
var errClosed = errors.New("the log is closed")

// Damage is for something that was synced and can't be read. The log does not open, and the folder stays as it is.
type Damage struct {
	File   string
	Offset int64  // byte in the file
	Record string // which record it is
	Found  string // what is wrong with it
}

// Error says where the damage is, what was found, and what an operator can do.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s at byte %d, %s: %s. What was durable is damaged: this folder can't be used. Take it "+
		"out of the group and add an empty one, or put back a saved snapshot", d.File, d.Offset, d.Record, d.Found)
}

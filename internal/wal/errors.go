package wal

import (
	"errors"
	"fmt"
)

// ErrFull is returned for a batch or snapshot that would take the log past Sizes.MaxBytes. Nothing was written, and the
// log stays usable.
var ErrFull = errors.New("the log is at its bound")

// ErrBroken is returned for a failed write or fsync and for every later write: the content of the disk is unknown until
// the log is opened again.
var ErrBroken = errors.New("the log can't be relied on any more")

// ErrLocked is returned by Open for a folder that is locked by another process.
var ErrLocked = errors.New("the folder is in use by another process")

// EntryTooLargeError reports an entry larger than MaxRecordBytes. Nothing of its batch was written.
type EntryTooLargeError struct{ Bytes int }

// Error gives the size of the entry and the limit.
func (e *EntryTooLargeError) Error() string {
	return fmt.Sprintf("an entry of %d bytes, expected at most %d", e.Bytes, MaxRecordBytes)
}

// InvalidMarkError reports a mark of an unknown kind, or one larger than MaxRecordBytes. Nothing of its batch was
// written.
type InvalidMarkError struct{ Kind, Bytes int }

// Error gives the kind and size of the mark and the limits of both.
func (e *InvalidMarkError) Error() string {
	return fmt.Sprintf("a mark of kind %d with %d bytes, expected kinds below %d and at most %d bytes", e.Kind, e.Bytes,
		MaxMarkKinds, MaxRecordBytes)
}

// EntryNotFoundError reports an entry that the log does not hold: it was truncated, or was never written.
type EntryNotFoundError struct{ Number, First, Last uint64 }

// Error gives the number of the entry and the range that the log holds.
func (e *EntryNotFoundError) Error() string {
	return fmt.Sprintf("entry %d, expected one from %d to %d", e.Number, e.First, e.Last)
}

// errClosed is returned by writes after Close.
var errClosed = errors.New("the log is closed")

// Damage is the error for synced data that can't be read. Open then leaves segments and snapshots unchanged.
type Damage struct {
	File   string
	Offset int64  // in the file, in bytes
	Record string // the damaged record or header
	Found  string // the kind of damage
}

// Error gives the place and kind of the damage and the operator's remedies.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s at byte %d, %s: %s. What was durable is damaged: this folder can't be used. Take it "+
		"out of the group and add an empty one, or put back a saved snapshot", d.File, d.Offset, d.Record, d.Found)
}

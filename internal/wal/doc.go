// Package wal is a durable log: entries numbered without gaps, marks of which the last of each kind counts, and
// snapshots that allow the front of the log to go. It owns the files of one folder.
//
// Sizes are bytes. Invariants: what Commit returned without an error is there after any crash, and what it did not is
// there completely or not at all; a snapshot likewise. One goroutine's sync serves all that wait meanwhile.
//
// The package never repairs damage by guessing, never writes over what was synced, and never goes on after a write or
// sync that failed: ErrBroken then ends the process, as what is on disk is not known. Salvage (salvage.go) is for logs
// whose records stand for themselves, never for a group's.
package wal

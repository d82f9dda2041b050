// Package wal is a durable write-ahead log in one folder. It stores entries, numbered without gaps; marks, small values
// of which the last one of each kind counts; and snapshots, which allow the front of the log to be truncated.
//
// All sizes are in bytes. A batch that Commit returned without an error survives any crash; any other batch is
// recovered completely or not at all. The same holds for snapshots. Concurrent commits share an fsync (group commit).
//
// Open truncates a torn tail, which was never durable, and reports any other damage as *Damage. Synced data is never
// overwritten. After a failed write or fsync the content of the disk is unknown, so every later write returns ErrBroken
// until the folder is opened again; reads still work.
//
// Salvage (salvage.go) recovers the readable records of a damaged log. It is only for logs whose records are
// independent of each other, never for the log of a raft group.
package wal

// Package resultstore stores the results of idempotency-keyed requests across restarts of a node, so that a key runs at
// most once within its idempotency window and retries of it get the first result.
//
// Index decides what an attempt of a key gets, which record must be durable before the next step, and which records may
// be deleted. It holds digests and log positions in memory, but no results, and is used by one goroutine. Store appends
// records to a log on disk (internal/wal) and reads results; its methods are safe for concurrent use, and a goroutine
// of its own writes.
//
// The lifecycle of a key: Begin returns its intent record. Once MarkDurable reports that record on disk, the request
// may run. MarkExecuted returns the end record; a Result record must be durable before the response is sent.
// MarkNotExecuted closes the intent of a request that is proved not to have run. After a restart Open replays the log;
// a key whose intent has no end record is then Indeterminate.
//
// Times are Milliseconds of CLOCK_BOOTTIME, which includes suspend and can't be set. A position is the number of a
// record in the log.
//
// Invariants:
//   - Once its intent is durable, a key does not run again within its window, unless it is proved not to have run.
//   - No record inside its window is deleted to make room: without room, new keys are rejected.
//   - A result is returned only to a request with the same body digest.
//
// Requests without a key are not handled here. Only Open, Close, Inspect, Compact, ReadResult and ReleaseBefore wait
// for the disk on the caller's goroutine.
//
// Recovery here is the outcome of opening a store; for a group that lost its state see internal/control/recovery.
package resultstore

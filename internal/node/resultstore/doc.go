// Package resultstore keeps the results of requests with an idempotency key over restarts of a node, so that a key
// runs at most once within its idempotency window and its repeats get the first result.
//
// Index decides: what an attempt of a key gets, which record has to be durable before the next step, and what may be
// deleted. It holds digests and log positions in memory, no results, and is used by one goroutine. Store carries
// records to a log on disk (internal/wal) and back; its methods may be called by any goroutine, and one goroutine of
// its own writes.
//
// The life of a key: Begin gives its intent record; once MarkDurable has that on disk the request may run;
// MarkExecuted gives its result record; once that is durable the answer may go out. MarkNotExecuted closes the intent
// of a request that is proved not to have run. After a restart Open replays the log; an intent without an end is then
// Indeterminate.
//
// Times are Milliseconds of CLOCK_BOOTTIME, which runs on while the process is stopped and that nobody sets.
// Positions number the records of the log.
//
// Invariants:
//   - A key never runs again within its window once its intent was durable, unless it is proved that it did not run.
//   - Nothing inside its window is deleted to make room: with no room new keys are rejected.
//   - A result is returned only to a request with the same body digest.
//
// It never decides about requests without a key, and never waits for the disk on the caller's goroutine but in Open,
// Close, Inspect, Compact and ReadResult.
//
// Recovery here is what an opened store found on disk; for a group that lost its state see internal/control/recovery.
package resultstore

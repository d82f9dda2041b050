// Package membership is the replicated table of a fleet's nodes: which are in, by which incarnation, and until when
// each may act on what it was last told. It owns names, incarnations and leases.
//
// Its only input is committed entries (HeartbeatBatch) in the order of the log, with the terms of the policy in force
// (LeaseTerms), so the table is the same at every instance of the group. All times are milliseconds of the group's own
// time, which is the sum of what leaders measured between batches. It never reads a clock, a socket or a random number.
//
// Invariant: a lease is never counted as run out while its holder, or an earlier incarnation of it, could still act on
// it. Everything that waits for leases (a change of policy, a step of a zone) rests on that.
package membership

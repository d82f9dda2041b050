// Package membership implements the replicated table of a fleet's nodes: which nodes are in, under which incarnation,
// and until when each may act on its lease. It owns names, incarnations and leases.
//
// Its only input is committed entries (HeartbeatBatch) in log order, with the lease terms of the active policy
// (LeaseTerms), so the table is the same at every instance of the group. All times are milliseconds of the group's
// clock, the sum of the times that leaders measured between batches. The package reads no clock, socket or random
// number.
//
// Invariant: a lease never expires here while its holder, or an earlier incarnation of the holder, could still act on
// it. Policy changes and zone epochs rely on this when they wait for leases.
package membership

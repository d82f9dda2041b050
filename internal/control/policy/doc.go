// Package policy decides how a change of the policy version takes hold at all nodes of a fleet or at none, in two
// phases over leases: nodes prepare a version, then it is decided, and no lease is extended any more that does not
// promise it.
//
// It owns the change under way, the history of earlier ones, and the versions that are decided and committed. State
// is the replicated part: its inputs are committed operations in the order of the log and the table of nodes, so it is
// the same at every instance. Op is how an Operation is stored and sent. Next is the leader's part: from that state and
// the nodes' reports since the leader leads, it gives the operation to append. Times are the group's, in ms. Nothing
// here reads a clock, a socket or a random number.
//
// Invariants: one change at a time, which ends once, settled or aborted; what is decided is never taken back. A
// leader that dies at any step is followed by one that finds the step in the state, and an entry that two leaders
// appended counts once.
package policy

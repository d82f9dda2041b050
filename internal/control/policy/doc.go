// Package policy implements changes of the policy version as a two-phase commit over node leases: nodes prepare a
// version, then it is decided, and from then on no lease is extended without a promise of it.
//
// State is the replicated part. It holds the current change, the history, and the decided and committed versions. Its
// inputs are committed operations in log order and the node table, so it is the same at every instance. Op is the
// stored and sent form of an Operation. Next is the leader's part: from the state and the nodes' reports in the
// leader's term it returns the operation to append. Times are of the group's clock, in ms. The package reads no clock,
// socket or random number.
//
// Invariants: there is at most one current change; it ends once, as settled or aborted; a decided change is never
// aborted. A new leader resumes a change from its step in the state, and an operation that two leaders appended takes
// effect once.
package policy

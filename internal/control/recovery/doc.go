// Package recovery decides whether at least half the nodes of a fleet have just restarted (IsColdStart), whether a
// group of control instances has lost state (GroupState.LostState), and what a lost group is restored from
// (PlanRestore).
//
// It owns no state and reads no clock, file, socket or random source. Its inputs are plain values: counts of nodes, the
// records that nodes keep of their fleet (api.NodeRecord), the content of an old data folder of the group (StoredGroup)
// and the group's current state (GroupState). Times are in milliseconds.
//
// Invariants: nothing is restored by guess. A text counts only if it has its recorded hash. A version counts as
// committed if a node served under it, and as decided if a node promised to serve under nothing older. Contradicting
// records are a conflict that an operator resolves, and a text that is missing is listed as unknown. A group counts as
// having lost state only by what that same group sent to a node.
//
// The command "umberctl control recover" applies the plan. Other recoveries are elsewhere: the ramp that returns load
// to a zone is in package zones, and resultstore.Recovery is what opening a result store found on disk. The protection
// of a restarted fleet is spread over zones (BeginColdStart, the ramp), coordinator (limit of new nodes, listen phase
// of a new leader), membership (join backoff) and zonegate (nodes without the group).
package recovery

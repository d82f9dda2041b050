// Package coordinator combines the node table, the policy changes and the zones into one replicated state machine, and
// implements the leader that proposes its entries.
//
// State is the replicated part. It owns membership.State, policy.State, zones.State and the checksums of the newest
// entries, by which nodes prove that a group has lost state. Its inputs are committed entries in log order, so it is
// the same at every instance of the group. Apply decodes an entry of kind KindHeartbeats, KindPolicy or KindZones,
// applies it to the subsystem and returns its Outcome.
//
// Leader is the leading instance's volatile part. It batches heartbeats into entries, keeps the nodes' reports, and
// proposes the operations that the policy and zone rules decide. Its inputs are heartbeats, operators' operations, the
// outcomes of applied entries and the elapsed time in ms (Tick); its output is entries to append. A new leader starts
// empty and waits for the nodes' heartbeats.
//
// Neither reads a clock, a socket or a random number, or depends on the consensus protocol; package consensus drives
// both from one goroutine. Only applied entries change State; Leader never does.
package coordinator

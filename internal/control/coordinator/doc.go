// Package coordinator puts the table of nodes, the changes of their policy and the state of their zones together.
//
// State is the replicated part. Its inputs are committed entries in the order of the log, so it is the same at every
// instance of the group: decodeEntry reads an entry of the kinds KindHeartbeats, KindPolicy and KindZones as the
// command that one subsystem is told, and Apply gives its Outcome. State owns membership.State, policy.State and
// zones.State, and the checksums of the newest entries by which nodes prove that a group has lost state.
//
// Leader is what the leading instance does beside the log, all of it in memory: it batches nodes' heartbeats into
// entries, remembers what nodes reported, and appends what the rules of policy and zones decide. Its inputs are
// heartbeats, operators' operations, the outcomes of applied entries and the time that went by in ms (Tick); its
// output is entries to append. A leader that takes over begins with nothing and hears all nodes anew.
//
// Neither reads a clock, a socket or a random number, or knows the consensus protocol; package consensus drives both
// from one goroutine. Leader never changes State: only applied entries do.
package coordinator

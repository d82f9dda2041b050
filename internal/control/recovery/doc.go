// Package recovery decides about two rare starts: a fleet of which most nodes restart at once, and a group of control
// instances that lost its state, in whole or in part.
//
// It owns no state. Its inputs are plain values: how many nodes began lately, what nodes remember of their fleet
// (api.NodeRecord), what an old folder of the group holds (StoredGroup), and where a group's own state stands
// (GroupState). Times are in milliseconds. It reads no clock, no file and no socket, and uses no random source.
//
// Invariants: nothing is restored by guess. A text counts by its hash, a version as committed by a node that served
// under it, as decided by a node that promised it; what is at odds is a conflict for an operator, what nobody holds is
// named. The package never decides that a group has lost state by anything but what the group itself told a node.
//
// Recovery here is of a group; "umberctl control recover" is its command, a ramp that returns load to a zone is in
// package zones, and what an opened store found on disk is resultstore.Recovery. What holds a restarted fleet back is
// spread: zones (BeginColdStart, the ramp), coordinator (limits of new nodes, the time that a new leader listens),
// membership (the wait after many joins) and zonegate (nodes without the group).
package recovery

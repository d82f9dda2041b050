// Package simulation runs the production decision code as discrete-event simulations in virtual time. There are
// three: a Raft group on a simulated network and disks (ConsensusGroup); a fleet of nodes with its control group
// (Fleet), including loss of the group's state and failures of whole zones (ZoneSimulation); and servers with run slots
// per class (PoolTest).
//
// Each run is generated from one seed and is reproducible: no run reads a real clock, socket, disk or another random
// source. Invariants are checked after each event. A guard of the production code can be disabled; an invariant must
// then be violated, which shows that the checks detect a missing guard. Times are milliseconds of virtual time unless
// their type says otherwise.
package simulation

// Package simulation runs the project's own decision code in virtual time. There are three simulations: a Raft
// group on a simulated network and disks (ConsensusGroup); a fleet of nodes with its control group (Fleet), also
// where the group loses its state and where whole zones fail (Zones); and servers with run slots per class (Pools).
//
// Each run is drawn from one seed and is reproduced by it: no run reads a clock, a socket, a disk or a random
// source of its own. Promises are checked after each step. A guard of the real code can be taken out, and then a
// promise must break, which shows that the check finds what it is there to find. Times are milliseconds of virtual
// time unless their type says otherwise.
package simulation

// Package simulation plays the project's real decisions in virtual time, from one seed a run: a Raft group on a simulated network
// and disks (ConsensusGroup), a fleet of nodes with its control group (Fleet, with loss of the group's state and evacuation of zones), and
// servers with run slots per class (Pools). Promises are checked after each step; with a guard taken out one has to break.
//
// A run is reproduced by its seed alone: no run reads a clock, a socket, a disk or a random source of its own. Times are
// milliseconds of virtual time unless their type says otherwise.
package simulation

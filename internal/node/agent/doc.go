// Package agent decides for one node of a fleet whether it may serve, under which policy version, and when it sends a
// heartbeat to the control service.
//
// It owns the node's view of the fleet: the lease that the node holds, the position of the control group that it has
// seen last, the policy versions at hand, and the order of its zone. The driver (internal/node/server, or a
// simulation) owns the clock, the sockets and the disk: it sends what Heartbeat gives, hands responses and failures
// back, fetches and tries the versions that are asked for, and stores a Record where the node has a disk.
//
// Times are Milliseconds of a clock that runs on while the process is stopped and that nobody sets (CLOCK_BOOTTIME).
//
// Invariants:
//   - A lease runs from the sending of the heartbeat that brought it, so a response that took long brings less time
//     and a late one brings none.
//   - Once the lease has expired the node serves nothing (it is fenced), unless the committed version lets nodes
//     serve autonomously.
//   - The node never serves under a version older than one that it was told is decided, and activates none that it
//     was not told is committed. One exception: a node that starts may take the version it had prepared for
//     committed, where it was told that it is decided and a change does not wait between the two (versions.restore).
//   - A response of an earlier generation of the group, or of an earlier position of its log, changes nothing.
//
// It never reads a clock, opens a connection or file, or starts a goroutine, and is used by one goroutine alone.
package agent

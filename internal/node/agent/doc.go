// Package agent decides for one node of a fleet whether it may serve, under which policy version, and when it sends a
// heartbeat to the control service.
//
// It owns the node's view of the fleet: its lease, the last seen position of the control group, the policy versions
// that it knows, and the order of its zone. The driver (internal/node/server or a simulation) owns the clock, the
// sockets and the disk: it sends the heartbeats, reports responses and failures, fetches and tries versions, and stores
// a Record if the node has a disk.
//
// Times are Milliseconds of a monotonic clock that includes the time for which the process is stopped (CLOCK_BOOTTIME).
//
// A decided version is going to be committed: nodes promise to serve under no older one. A committed version may be
// activated.
//
// Invariants:
//   - A lease runs from the sending of the heartbeat that it answers, so that a slow response grants less time and a
//     response after the timeout none.
//   - A node whose lease has expired is fenced, unless its active version allows autonomous serving, or the lease
//     was granted by the previous generation and its time has not passed (servesBetweenGenerations).
//   - The node never serves under a version older than the latest decided one that it knows of, and activates only
//     committed versions. One exception: a starting node may take its prepared version for committed if that version
//     is decided and its change doesn't wait between the two (versions.restore).
//   - A response from an earlier generation of the group, or an earlier position of its log, changes nothing.
//
// It reads no clock, opens no connection or file and starts no goroutine. One goroutine uses it.
package agent

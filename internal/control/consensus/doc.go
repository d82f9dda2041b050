// Package consensus is the control service's replicated group: etcd's Raft core on the durable log of internal/wal,
// with the group's own state machine, members, identities, transport and clients' API.
//
// Replica owns the core and the state machine. It is driven from outside: it is given ticks, messages and proposals
// and is asked what to send. It knows no clock, socket or goroutine, so that a whole group runs in one test in
// virtual time. Group drives one replica in a process: one goroutine owns the replica, and every other goroutine
// hands it functions over bounded queues and waits. transport carries Raft messages and snapshots between instances;
// API serves clients.
//
// StateMachine is the replicated state: versions of the configuration document, client sessions, members, the feature
// level, and the fleet's state of package coordinator. Committed entries alone change it, in order, so that it is the
// same at every instance after the same entry. It is put together in state_machine.go, written and read as a snapshot
// in state_snapshot.go.
//
// Units: ticks of Config.ElectionTicks and Status.TicksSinceLeader are Group's tick, an operator's setting; fields
// that end in MS are milliseconds; sizes are bytes.
//
// Invariants: what Raft must keep is durable before a message that depends on it is sent; a change of members is
// durable before it counts; a put with one session and number has one result; a read sees every result given before
// it.
//
// The package never repairs damage by guessing, never reads a clock to decide anything that is replicated, and never
// waits for a peer or a client on the replica's goroutine.
package consensus

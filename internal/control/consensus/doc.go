// Package consensus implements the control service's replicated group: etcd's Raft core on the durable log of
// internal/wal, with the group's state machine, membership, identities, transport and client API.
//
// Replica combines the Raft core, its log and the state machine. It is deterministic: ticks, messages and proposals are
// passed in, messages to send are passed out, and it uses no clock, socket or goroutine, so that tests run a whole
// group in virtual time. Group runs one Replica in a process: one goroutine owns it, and other goroutines reach it
// through bounded queues. transport carries Raft messages and snapshots between instances; API serves clients over
// HTTP.
//
// StateMachine is the replicated state: versions of the policy document, client sessions, members, the feature
// level and the fleet's state of package coordinator. Only committed entries change it, in log order, so it is the same
// at every instance after the same entry. state_machine.go applies entries; state_snapshot.go writes and reads its
// snapshots.
//
// Units: Config.ElectionTicks and Status.TicksSinceLeader are ticks, whose duration is an operator's setting; fields
// that end in MS are milliseconds; sizes are bytes.
//
// Invariants: what Raft requires to be durable is durable before a message that depends on it is sent; a committed
// change of members is durable before it takes effect; all puts with the same session and sequence number get the same
// result; a linearizable read reflects every result returned before it began.
//
// The package never repairs damage by guessing, never lets a clock affect replicated state, and never blocks the
// replica's goroutine on a peer or a client.
package consensus

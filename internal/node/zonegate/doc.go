// Package zonegate applies a zone's order at one node. Gate admits the node's quota of requests and of connections
// to dependencies; Meter measures the load that the node reports with each heartbeat.
//
// It owns the current order of this node, the token buckets of its limits, and the counters of the last two seconds.
// Its inputs are the order that the control service sent (api.ZoneOrder), requests as plain values, and the time in
// milliseconds of a monotonic clock. It reads no clock and no socket. It is not safe for concurrent use: one goroutine
// owns a Gate and its Meter.
//
// Invariants:
//   - Tokens saved under one epoch are never spent under the next, so that the nodes of a zone together never exceed
//     the rate limit of the newest epoch.
//   - A request that is admitted at a share stays admitted while the share grows.
//   - A request whose idempotency key this process has seen is always admitted.
//   - The node doesn't raise its share on its own while it is in contact with the control service: the caller calls
//     AdjustAutonomousShare only without contact.
package zonegate

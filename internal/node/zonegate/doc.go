// Package zonegate is a node's side of its zone's order. Gate admits the node's quota of requests and of connections
// to the services below; Meter counts what the node reports of itself with each heartbeat.
//
// It owns the order in force at this node, the token buckets that go with it, and the counters of the last two
// seconds. Its inputs are the order that the control service sent (api.ZoneOrder), requests as plain values, and the
// time in milliseconds of a monotonic clock. It reads no clock and no socket. It is not safe for concurrent use: one
// goroutine owns a Gate and its Meter.
//
// Invariants: tokens saved under one epoch are never spent under the next, so that all nodes of a zone together never
// exceed the rate limit of the newest epoch; a request admitted at a share stays admitted while the share grows; a
// retry of a request whose first attempt was seen here since this process started is always admitted. It never raises
// its share while the control service is heard.
package zonegate

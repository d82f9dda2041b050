// Package api has the messages that nodes and the control service exchange, as JSON over HTTP/1.1: a node's heartbeat
// (HeartbeatRequest), its answer (HeartbeatResponse), and what both carry about zones. Both sides import it, so it
// depends on neither. JSON keys and the order of fields are the wire format: builds of different versions talk to
// each other, so a key is never renamed, moved or given another meaning. Times are the group's time or spans of it,
// in milliseconds.
package api

// Package api defines the messages between nodes and the control service, as JSON over HTTP/1.1: a node's heartbeat
// (HeartbeatRequest), its response (HeartbeatResponse), and the zone state that both carry. Both sides import it, so it
// depends on neither. JSON keys and the order of fields are the wire format between builds of different versions: a key
// is never renamed, moved or given another meaning. Clocks are the group's time in milliseconds.
package api

// Package server runs a node on sockets: it reads client requests, submits them to the controller of package
// admission, and carries out its decisions on the kernel that runs requests, the store that runs call, and service
// discovery.
//
// # Goroutines
//
// One goroutine, the loop, owns all tables (connections, requests, idempotency keys, links, timers, counters) and the
// controller. Callbacks of sockets, signals and disks post typed events (events.go) to it over one bounded queue, and
// block while the queue is full. The loop collects the queued events into a round and carries out the controller's
// decisions on it (admission_writer.go). Other goroutines are:
//
//   - one that accepts connections (listener.go), until the drain ends;
//   - callbacks of connections, which netpoll never runs concurrently for one connection (client_peer.go, links.go);
//   - one per dial, until the dial ends (links.go);
//   - writers, one per connection with data to send (writer.go), run by workers that end with the process
//     (workers.go);
//   - one per kind of signal, until the process ends (signals.go);
//   - one per client of the control service, until the process ends (control_client.go);
//   - one for a trial of a version, and one for a write or a transfer of the node's record, until that is done
//     (fleet_version.go, fleet_record.go);
//   - one that reads stored results, until the process ends, one that opens their folder and one that deletes expired
//     records, until that is done (result_keeper.go, result_disk.go), and those of the result store, until its close.
//
// # Ownership of descriptors
//
// The descriptor of a client connection belongs to its peer, which closes it once, that of an outgoing connection to
// its dial's writer, the listening socket to the listener, a connection to the control service to its client, and a
// file to the function that opens it or to the result store.
//
// # Blocking
//
// The loop never waits for a socket, a dial, a disk, or a lock held across one of these. Output is queued; a peer that
// reads nothing is disconnected once its queue is full.
//
// # Invariants
//
//   - Each request read gets exactly one response, or none if its client is gone (lifecycle.go).
//   - Responses on a connection are sent in the order of its requests (http_front_end.go).
//   - Each kernel event is handled once and in order. A command that may have been lost is sent again only after the
//     replay of the kernel's events, and never for a run that has ended (kernel_link.go).
//   - A call is reported as not executed only if that is proven (store_connections.go).
//   - A connection is closed only when no response on it can be unread, unless its client breaks the protocol or does
//     not read, send or close within the time limits (client_peer.go).
//   - Events of a replaced dial are ignored (links.go).
//
// # Decisions
//
// The loop carries out the controller's decisions on submitted requests. Without one it answers such a request only:
//   - when the run or the key that it waits for ends (request.go, response.go);
//   - when the node is fenced or its zone evacuated (fleet_host.go);
//   - when the result store can't store or return its result (result_run.go, result_attempt.go).
//
// A request rejected on arrival has not run; an attempt whose earlier run may have happened is answered 500
// (request_arrival.go, result_attempt.go). The reason of a 503 or 500 is logged only at debug level. The loop never
// calls the store or starts a run on its own. While it serves, the only configuration that changes is the addresses and
// pools of a reloaded start-up file (reload.go) and a policy version adopted between two rounds (fleet_version.go).
//
// # Units
//
// Times are admission.Time, in tenths of a millisecond of the monotonic clock; fields that end in MS are milliseconds.
package server

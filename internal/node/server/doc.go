// Package server is the node on sockets: it reads clients' requests, has the controller of package admission decide on
// them, and carries the decisions out on the kernel that runs them, the store that they call and service discovery.
//
// # What it owns
//
// One goroutine, the loop, owns all tables: connections, requests, idempotency keys, links, timers and counters, and
// the controller. Callbacks of sockets, signals and disks hand it typed events (events.go) over one bounded queue, and
// wait while the queue is full. The loop takes what is there, makes one round of it, and carries out what the
// controller decides (admission_writer.go). Outside the loop are only:
//
//   - one goroutine that accepts connections (listener.go) and ends with the drain;
//   - callbacks of connections, which netpoll never runs twice at once for one of them (client_peer.go, links.go);
//   - one goroutine for each dial, which ends with the dial (links.go);
//   - writers, one goroutine while a connection has something to send (writer.go), run by workers that end with the
//     process (workers.go);
//   - one goroutine for each kind of signal, which ends with the process (signals.go);
//   - one goroutine for each client of the control service, which ends with the process (control_client.go);
//   - one goroutine for a trial of a version, a write of the node's record or its sending, which ends with that
//     (fleet_version.go, fleet_record.go);
//   - one goroutine that reads stored results, which ends with the process, one that opens their folder and one that
//     deletes expired records, which end with that (result_keeper.go, result_disk.go), and the result store's own,
//     which ends with its close.
//
// # Who owns a descriptor
//
// A client's connection belongs to its peer, which closes it once; a connection that the server opened to its dial's
// writer; the listening socket to the listener; a connection to the control service to its client; files to the
// function that opens them, or to the result store.
//
// # What the loop may never wait for
//
// A socket, a dial, a disk, a lock that is held across one of these. What is to be sent is queued; a peer that takes
// nothing is given up once its queue is full.
//
// # Invariants
//
//   - Each request read gets exactly one response, or none if its client is gone (lifecycle.go).
//   - Responses go out in the order in which their requests came on a connection (http_front_end.go).
//   - Each event of the kernel is handled once and in order; a command that may have been lost is sent again only
//     after what the kernel said meanwhile is known, and never for a run that ended (kernel_link.go).
//   - A call is said not to have run only where that is proven (store_connections.go).
//   - A connection is closed only when no response on it may still be unread (client_peer.go).
//   - Events of a dial that was replaced are passed over (links.go).
//
// # What it never does
//
// It decides on no request: where the controller has been asked, its decision is carried out. What is rejected before
// has not run, but for an attempt whose earlier run may have happened: that is answered 500 (request_arrival.go,
// result_attempt.go). It never calls the store or starts a run by itself, and never changes a setting while it serves,
// but for the addresses and pools of a start-up file that is read anew (reload.go) and for a policy version that it
// adopts between two rounds (fleet_version.go).
//
// Times are admission.Time, in tenths of a millisecond, by the monotonic clock; fields that end in MS are
// milliseconds.
package server

// Package document defines the policy document of a fleet: its schema and defaults, its canonical form and hash, the
// validation of a document by itself and as an update of another, and the differences between two documents.
//
// Its input is the document's text. In its types, durations are time.Duration, shares are fractions of capacity from 0
// to 1, and rates are requests per second.
//
// Invariant: the same text under the same rules gives the same result, since each instance of the control service
// validates a proposal on its own and all must agree. So the package reads no clock, random source, disk or socket.
package document

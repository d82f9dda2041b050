// Package document is the configuration document of an installation: what it says, its canonical form and hash, what is
// wrong with it alone or after the version before, and how two differ. It owns the document's schema.
//
// Inputs are bytes; durations in the types are time.Duration, shares are of capacity from 0 to 1, rates are requests a
// second.
//
// Invariant: the same bytes under the same numbering of the rules give the same answer, as the instances of the
// control service each check a proposal for themselves and must come to one result. So the package reads no clock,
// random source, disk or socket.
package document

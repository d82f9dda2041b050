// Package shadow evaluates a policy version before a node serves under it. It replays the server's most recent requests
// on two emulated servers, one with the active deployment and one with the candidate, and compares the outcomes.
//
// It owns the bounded recording of requests and the comparison, and decides only about versions, never about a request.
// Times are admission.Time. A Recording belongs to one goroutine; a Snapshot of it may be evaluated by another.
//
// Invariants: the same recording and deployments give the same verdict, since no clock, socket or random source is
// used, and an evaluation takes a bounded number of controller rounds.
package shadow

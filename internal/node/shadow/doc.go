// Package shadow evaluates a policy version before a node serves under it: the requests that the server read lately
// are replayed against two emulated servers, one with the deployment that is active and one with the candidate, and
// what became of the requests is compared.
//
// It owns the bounded recording of requests and the comparison. Times are admission.Time. A recording is used by the
// goroutine that owns it; a Snapshot of it may be evaluated by another. The same recording and deployments give the
// same verdict: there is no clock, socket or chance in it, and an evaluation costs a bounded number of rounds.
//
// It decides about versions, never about a request.
package shadow

// Package overlay lays a policy version over the platform's settings and gives what a node would serve under it.
//
// The platform's settings come with the node's start; a version of the policy document, which the fleet has agreed
// on, may change weights, latency objectives, timeouts, quotas and run slots within what callers were promised. Apply
// checks a document against the settings and either gives complete Settings or a ConflictError with all conflicts.
//
// Times of the document are time.Duration, those of a deployment admission.Time.
//
// It owns no state, reads no file or clock, and never changes the settings that it is given.
package overlay

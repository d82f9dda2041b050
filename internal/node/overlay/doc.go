// Package overlay applies a policy version to the platform's settings. The result is the settings that a node serves
// under with that version.
//
// The platform's settings are fixed when the node starts. A version of the policy document, decided by the fleet, may
// change weights, latency objectives, timeouts, quotas and run slots within the platform's promises to callers. Apply
// validates a document against the settings and returns complete Settings or a ConflictError with all conflicts.
//
// Durations in a document are time.Duration, those in a deployment admission.Time.
//
// The package owns no state, reads no file or clock, and never modifies its inputs.
package overlay

// Package zones decides how a fleet evacuates a zone that fails and ramps load back to it.
//
// State is what the group's log made of the zones, the same at every instance: phases, shares, rate limits with each
// lease's quota, observed capacities, events. Each change is one operation in the log, stored as an Op, and one epoch,
// which nodes promise with their leases as they promise a policy version. Monitor is the leader's alone and in memory:
// the evidence from nodes' reports (a View for each zone), and Decide, which gives the next operation from the evidence
// and the State.
//
// Inputs are the replicated membership, the policy's rules (api.ZoneRules), nodes' load reports and the time. Times
// are in milliseconds: in State the group's time (membership.State.ClockMS), in Monitor the leader's monotonic clock.
// Rates are per second, shares of api.FullShare. The package reads no clock and no socket, and its results depend on
// no random source.
//
// Invariants: the quotas of all leases that may still be acted on never add up to more than the larger of a zone's
// present and previous rate limit; load is raised only once no lease acts on an older epoch; one zone is always in
// service; no zone is evacuated for what ails half or more of the others too. The package never raises load by the
// clock alone, with one exception: a zone that takes all of its load at one rate limit for maxFinalStepMS is in service, and
// its limit ends, though many requests are still rejected (finishRamp).
//
// A newcomer reads operation.go, apply.go (transitions), monitor.go and evaluate.go (evidence), then decide.go, which
// names the rules in order.
package zones

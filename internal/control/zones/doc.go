// Package zones decides how a fleet evacuates a zone that fails and ramps load back to it.
//
// State is the replicated state of the zones, the same at every instance: phases, shares, rate limits with each lease's
// quota, observed capacities and events. Each change is one operation in the group's log, stored as an Op, and one
// epoch, which nodes promise with their leases as they promise a policy version. Monitor belongs to the leader and is
// kept in memory: a View of each zone from its nodes' reports, and Decide, which returns the next operation from the
// views and the State.
//
// Inputs are the replicated membership, the policy's rules (api.ZoneRules), nodes' load reports and the time. Times
// are in milliseconds: in State the group's clock (membership.State.ClockMS), in Monitor the leader's monotonic clock.
// Rates are per second, shares are of api.FullShare. The package reads no clock and no socket, and its results depend
// on no random source.
//
// Invariants:
//   - The quotas of all leases that may still be used never add up to more than the larger of a zone's current and
//     previous rate limit.
//   - Load is raised only once no lease acts on an older epoch.
//   - One zone is always in service.
//   - A zone that reports is not evacuated automatically for a failure that more than half of the other reporting zones
//     in service share. At least one of them has to be healthy.
//   - Load is never raised by the clock alone, with one exception: a zone that has been at full share and one rate
//     limit for maxFinalStepMS returns to service without limits, even if many requests are still rejected
//     (finishRamp).
//
// Start with operation.go, apply.go (transitions), monitor.go and evaluate.go (evidence), then decide.go, which lists
// the rules in order.
package zones

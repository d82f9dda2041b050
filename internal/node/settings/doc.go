// Package settings reads the platform's start-up settings, the same for a server on sockets and for an instance of the
// simulator's adapter. It maps them to the decision module's terms and decides nothing.
//
// The platform's own names stop at this package. Spans come in microseconds and become tenths of a millisecond
// (admission.Time), rounded down where they are promises of ours and up where they bound how often something happens
// or how long a key is remembered. Unknown keys are passed over: a newer platform may send more.
//
//	key                              term in admission.Deployment
//	classes[].gain, late_share       Handler.Value, LateValue
//	classes[].promise, give_up       Handler.LatencyObjective, Timeout
//	classes[].semantics              Handler.RetrySafety: idempotent = Retryable, deduplicated = IdempotencyKeyed,
//	                                 at_most_once = NonRetryable
//	classes[].window                 Handler.IdempotencyWindow
//	customers[].quota_per_s          Tenant.Quota
//	family_info.below                Dependency: shared, tier
//	family_info.calls_out            CallAllowance
//	family_info.share_span, linger   CallAveragingTime, CancellationDelay
//	family_info.cold, cores          ColdStart, Cores
//	family_info.degraded_worth[]     Handler.DegradedValue
//	family_info.fresh, idle          ResponseReuseTime, IdleTimeout
//	family_info.memory_kb, key_kb    MemoryKB, TableEntryKB
//	family_info.meters[]             names of the gauges, in order: on_cores, links
//	family_info.preemption           Cancellation: drop, pause
//	family_info.run_factor           RunMemoryFactor
//	family_info.say                  OverloadSignal: level, credit, weight
//	family_info.senders              Callers
//	fleet_size, stage, granularity   FleetSize, Tier, RoundInterval
//	invariants.drain_grace           DrainGrace
//	invariants.fall_multiple         MaxRunsPerCore
//	invariants.start_capacity        ColdSpeed
//	invariants.warm_after            WarmUpTime
//	limits.retry_after               whether max_retry_after counts
//	limits.max_retry_after           MaxRetryAfter
//	goal.worst_class over goal.whole WorstClassWeight
//	over_share_worth, worth_by       OverQuotaWeight, ValuePerWork
package settings

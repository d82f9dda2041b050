// Package settings parses the platform's start-up settings, for servers and for instances of the simulator's adapter,
// and maps them to an admission.Deployment. It decides nothing, and the platform's names are used only in this package.
//
// Durations in the settings are microseconds. They become admission.Time, in units of 100 microseconds, rounded down
// except for the round interval and the idempotency window, which are rounded up. Unknown keys are ignored, since a
// newer platform may add some.
//
//	key                              field of admission.Deployment
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
//	family_info.meters[]             names of the gauges in order; on_cores and links are used
//	family_info.preemption           Cancellation: drop, pause
//	family_info.run_factor           RunMemoryFactor
//	family_info.say                  OverloadSignal: level, credit, weight
//	family_info.senders              Callers
//	fleet_size, stage, granularity   FleetSize, Tier, RoundInterval
//	invariants.drain_grace           DrainGrace
//	invariants.fall_multiple         MaxRunsPerCore
//	invariants.start_capacity        ColdSpeed
//	invariants.warm_after            WarmUpTime
//	limits.retry_after               whether max_retry_after applies
//	limits.max_retry_after           MaxRetryAfter
//	goal.worst_class over goal.whole WorstClassWeight
//	over_share_worth, worth_by       OverQuotaWeight, ValuePerWork
package settings

package settings

import (
	"fmt"
	"strings"
	"testing"
)

// everyKey has every key of the start-up settings that is used, and an unknown one.
const everyKey = `{"classes": [
 {"name": "view", "gain": 1, "give_up": 6e6, "late_share": 0.25, "promise": 2e6, "semantics": "idempotent", "window": 0},
 {"name": "pay", "gain": 4, "give_up": 4e6, "late_share": 0.5, "promise": 1e6, "semantics": "deduplicated", "window": 9e6},
 {"name": "once", "gain": 2, "give_up": 5e6, "late_share": 0, "promise": 0, "semantics": "at_most_once", "window": 1}],
 "customers": [{"name": "acme", "quota_per_s": 40}, {"name": "zeta", "quota_per_s": 5}],
 "family_info": {"below": "tier", "calls_out": 6, "cold": true, "cores": 2, "degraded_worth": [0.5, 0.125],
 "fresh": 2e5, "idle": 8e5, "key_kb": 0.5, "linger": 3e5, "memory_kb": 9000, "meters": ["on_cores", "x", "links"],
 "preemption": "pause", "run_factor": 3, "say": "credit", "senders": 4, "share_span": 1e6, "unknown": 1},
 "fleet_size": 5, "granularity": 2001,
 "invariants": {"drain_grace": 1e6, "fall_multiple": 3.5, "start_capacity": 0.4, "warm_after": 2e6},
 "limits": {"max_retry_after": 3e6, "retry_after": true}, "goal": {"whole": 2, "worst_class": 0.3},
 "over_share_worth": 0.2, "stage": 1, "worth_by": "work"}`

// TestParseEveryKey compares the value that each key is mapped to with that of version 2a0a97e.
func TestParseEveryKey(t *testing.T) {
	startup, err := Parse([]byte(everyKey))
	if err != nil {
		t.Fatal(err)
	}
	d := startup.Deployment
	var got strings.Builder
	fmt.Fprintln(&got, d.FleetSize, d.Callers, d.Tier, d.RoundInterval, d.ValuePerWork, d.OverQuotaWeight,
		d.Cores, d.ColdStart, d.ColdSpeed)
	fmt.Fprintln(&got, d.WarmUpTime, d.MaxRunsPerCore, d.MemoryKB, d.RunMemoryFactor, d.TableEntryKB,
		d.CallAllowance, d.CallAveragingTime, d.CancellationDelay, d.ResponseReuseTime)
	fmt.Fprintln(&got, d.DrainGrace, d.IdleTimeout, d.WorstClassWeight, d.MaxRetryAfter, int(d.Dependency),
		int(d.Cancellation), int(d.OverloadSignal), d.Start)
	for _, h := range d.Handlers {
		fmt.Fprintln(&got, h.LatencyObjective, h.Timeout, h.Value, h.LateValue, h.DegradedValue,
			h.IdempotencyWindow, int(h.RetrySafety))
	}
	for _, tenant := range d.Tenants {
		fmt.Fprintln(&got, tenant.Quota)
	}
	fmt.Fprintln(&got, startup.HandlerIndex, startup.TenantIndex, startup.GaugeNames)
	g := startup.Gauges([]float64{1.5, 2, 3})
	fmt.Fprintln(&got, g.Runnable, g.OpenConnections)
	const want = `5 4 1 21 true 0.2 2 true 0.4
20000 3.5 9000 3 0.5 6 10000 3000 2000
10000 8000 0.15 30000 2 2 2 0
20000 60000 1 0.25 0.5 0 0
10000 40000 4 0.5 0.125 90000 1
50000 50000 2 0 0 1 2
40
5
map[once:2 pay:1 view:0] map[acme:0 zeta:1] [on_cores x links]
1.5 3
`
	if got.String() != want {
		t.Errorf("Parse() gave\n%swant\n%s", got.String(), want)
	}
}

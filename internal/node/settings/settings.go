package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"umberwinch/admission"
)

// Startup is the parsed start-up settings: a deployment and the names of its indices.
type Startup struct {
	*admission.Deployment
	GaugeNames   []string       // in the order of the values passed to Gauges
	HandlerIndex map[string]int // index in Deployment.Handlers by class name
	TenantIndex  map[string]int // index in Deployment.Tenants by customer name
}

// Values of enumerated keys. An absent key has the value "".
var (
	retrySafetyByName = map[string]admission.RetrySafety{"idempotent": admission.Retryable,
		"deduplicated": admission.IdempotencyKeyed, "at_most_once": admission.NonRetryable}
	dependencyByName = map[string]admission.Dependency{"": admission.DependencyNone, "off": admission.DependencyNone,
		"shared": admission.DependencyShared, "tier": admission.DependencyNextTier}
	cancellationByName = map[string]admission.Cancellation{"": admission.CancelNever, "off": admission.CancelNever,
		"drop": admission.CancelDrop, "pause": admission.CancelPause}
	overloadSignalByName = map[string]admission.OverloadSignal{"": admission.SignalNone, "off": admission.SignalNone,
		"level": admission.SignalLevel, "credit": admission.SignalCredit, "weight": admission.SignalWeight}
)

// Names of the gauges that are used. Others are ignored.
const (
	gaugeRunnable        = "on_cores"
	gaugeOpenConnections = "links"
)

// maxCores bounds the tables that are sized by the number of cores.
const maxCores = 1 << 16

// microsecondsPerTick is the number of microseconds in a unit of admission.Time.
const microsecondsPerTick = 100

// ticks converts microseconds, rounded down.
func ticks(us float64) admission.Time { return admission.Time(us / microsecondsPerTick) }

// ticksUp converts microseconds, rounded up.
func ticksUp(us float64) admission.Time { return ticks(us + microsecondsPerTick - 1) }

// lookup returns the value that a name stands for, or an *InvalidError for the key.
func lookup[T any](values map[string]T, name, key string) (T, error) {
	v, ok := values[name]
	if !ok {
		return v, &InvalidError{key, fmt.Sprintf("is %q, which is not known", name)}
	}
	return v, nil
}

// Parse parses the start-up settings. The error is ErrNoClasses, an *InvalidError, or wraps an error of encoding/json.
func Parse(raw []byte) (*Startup, error) {
	var parsed startupJSON
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, fmt.Errorf("settings are not JSON as expected: %w", err)
	}
	if err := parsed.validate(); err != nil {
		return nil, err
	}
	d, err := parsed.deployment()
	if err != nil {
		return nil, err
	}
	s := &Startup{Deployment: d, GaugeNames: parsed.Family.Meters, HandlerIndex: map[string]int{},
		TenantIndex: map[string]int{}}
	for i, class := range parsed.Classes {
		h, err := class.handler(i)
		if err != nil {
			return nil, err
		}
		if i < len(parsed.Family.Degraded) {
			h.DegradedValue = parsed.Family.Degraded[i]
		}
		s.HandlerIndex[class.Name] = i
		d.Handlers = append(d.Handlers, h)
	}
	for i, customer := range parsed.Customers {
		s.TenantIndex[customer.Name] = i
		d.Tenants = append(d.Tenants, admission.Tenant{Quota: customer.Quota})
	}
	return s, nil
}

// validate returns an error for settings that no server can run with.
func (t *startupJSON) validate() error {
	f := &t.Family
	switch {
	case len(t.Classes) == 0:
		return ErrNoClasses
	case f.Cores < 1 || f.Cores > maxCores:
		return &InvalidError{"family_info.cores", fmt.Sprintf("is %d, expected 1 to %d", f.Cores, maxCores)}
	case !(f.MemoryKB > 0) || f.RunFactor < 0 || f.KeyKB < 0:
		return &InvalidError{"family_info.memory_kb, run_factor, key_kb", fmt.Sprintf(
			"are %g, %g, %g, expected memory_kb above 0 and the others at least 0", f.MemoryKB, f.RunFactor, f.KeyKB)}
	case t.Invariants.FallMultiple < 0 || t.Granularity < 0 || t.Invariants.DrainGrace < 0:
		return &InvalidError{"invariants.fall_multiple, granularity, invariants.drain_grace", fmt.Sprintf(
			"are %g, %g, %g, expected at least 0 each", t.Invariants.FallMultiple, t.Granularity,
			t.Invariants.DrainGrace)}
	}
	return nil
}

// deployment returns the deployment without its handlers and tenants.
func (t *startupJSON) deployment() (*admission.Deployment, error) {
	f := &t.Family
	d := &admission.Deployment{
		FleetSize:         max(t.Fleet, 1),
		Callers:           max(f.Senders, 1),
		Tier:              max(t.Stage, 0),
		RoundInterval:     max(ticksUp(t.Granularity), 1),
		ValuePerWork:      t.WorthBy == "work",
		OverQuotaWeight:   t.OverShare,
		Cores:             f.Cores,
		ColdStart:         f.Cold,
		ColdSpeed:         t.Invariants.StartCapacity,
		WarmUpTime:        ticks(t.Invariants.WarmAfter),
		MaxRunsPerCore:    t.Invariants.FallMultiple,
		MemoryKB:          f.MemoryKB,
		RunMemoryFactor:   math.Max(f.RunFactor, 1),
		TableEntryKB:      f.KeyKB,
		CallAllowance:     f.CallsOut,
		CallAveragingTime: ticks(f.ShareSpan),
		CancellationDelay: ticks(f.Linger),
		ResponseReuseTime: ticks(f.Fresh),
		DrainGrace:        ticks(t.Invariants.DrainGrace),
		IdleTimeout:       ticks(f.Idle),
	}
	if t.Goal.Whole > 0 {
		d.WorstClassWeight = math.Max(t.Goal.Worst, 0) / t.Goal.Whole
	}
	if t.Limits.RetryAfter {
		d.MaxRetryAfter = ticks(t.Limits.MaxRetryAfter)
	}
	var err error
	if d.Dependency, err = lookup(dependencyByName, f.Below, "family_info.below"); err != nil {
		return nil, err
	}
	if d.Cancellation, err = lookup(cancellationByName, f.Preemption, "family_info.preemption"); err != nil {
		return nil, err
	}
	if d.OverloadSignal, err = lookup(overloadSignalByName, f.Say, "family_info.say"); err != nil {
		return nil, err
	}
	return d, nil
}

// handler returns the handler of the class at an index. The latency objective is at most the timeout, which is also its
// default.
func (c *classJSON) handler(index int) (h admission.Handler, err error) {
	h = admission.Handler{
		LatencyObjective:  ticks(c.Promise),
		Timeout:           ticks(c.GiveUp),
		Value:             c.Gain,
		LateValue:         c.LateShare,
		IdempotencyWindow: ticksUp(c.Window),
	}
	if h.Timeout <= 0 {
		return h, &InvalidError{fmt.Sprintf("classes[%d].give_up", index),
			fmt.Sprintf("is %g, expected above 0", c.GiveUp)}
	}
	if h.LatencyObjective <= 0 || h.LatencyObjective > h.Timeout {
		h.LatencyObjective = h.Timeout
	}
	h.RetrySafety, err = lookup(retrySafetyByName, c.Semantics, "classes[].semantics")
	return h, err
}

// Gauges returns the gauges with the given values, in the order of GaugeNames.
func (s *Startup) Gauges(values []float64) (g admission.Gauges) {
	for i := range min(len(values), len(s.GaugeNames)) {
		switch s.GaugeNames[i] {
		case gaugeRunnable:
			g.Runnable = values[i]
		case gaugeOpenConnections:
			g.OpenConnections = values[i]
		}
	}
	return g
}

package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"umberwinch/admission"
)

// Startup is what the start-up settings say: the decision module's deployment, and the names that go with its indices.
type Startup struct {
	*admission.Deployment
	GaugeNames   []string       // in the order in which gauges are read
	HandlerIndex map[string]int // of a class in Deployment.Handlers, by name
	TenantIndex  map[string]int // of a tenant in Deployment.Tenants, by name
}

// Words of the settings and what they stand for.
var (
	retrySafetyOf = map[string]admission.RetrySafety{"idempotent": admission.Retryable,
		"deduplicated": admission.IdempotencyKeyed, "at_most_once": admission.NonRetryable}
	dependencyOf = map[string]admission.Dependency{"": admission.DependencyNone, "off": admission.DependencyNone,
		"shared": admission.DependencyShared, "tier": admission.DependencyNextTier}
	cancellationOf = map[string]admission.Cancellation{"": admission.CancelNever, "off": admission.CancelNever,
		"drop": admission.CancelDrop, "pause": admission.CancelPause}
	overloadSignalOf = map[string]admission.OverloadSignal{"": admission.SignalNone, "off": admission.SignalNone,
		"level": admission.SignalLevel, "credit": admission.SignalCredit, "weight": admission.SignalWeight}
)

// Names of gauges that are used; others are passed over.
const (
	gaugeRunnable        = "on_cores"
	gaugeOpenConnections = "links"
)

// maxCores bounds what tables are sized by; no machine has so many.
const maxCores = 1 << 16

// microsecondsPerTick are the microseconds of a unit of admission.Time.
const microsecondsPerTick = 100

// ticks converts microseconds, rounded down.
func ticks(us float64) admission.Time { return admission.Time(us / microsecondsPerTick) }

// ticksUp converts microseconds, rounded up.
func ticksUp(us float64) admission.Time { return ticks(us + microsecondsPerTick - 1) }

// lookup finds what a word of the settings stands for.
func lookup[T any](words map[string]T, word, key string) (T, error) {
	v, ok := words[word]
	if !ok {
		return v, &InvalidError{key, fmt.Sprintf("is %q, which is not known", word)}
	}
	return v, nil
}

// Parse reads the start-up settings. Its errors are ErrNoClasses, an *InvalidError, or wrap one of encoding/json.
func Parse(raw []byte) (*Startup, error) {
	var text startupJSON
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, fmt.Errorf("settings are not JSON as expected: %w", err)
	}
	if err := text.validate(); err != nil {
		return nil, err
	}
	d, err := text.deployment()
	if err != nil {
		return nil, err
	}
	s := &Startup{Deployment: d, GaugeNames: text.Family.Meters, HandlerIndex: map[string]int{},
		TenantIndex: map[string]int{}}
	for i, class := range text.Classes {
		h, err := class.handler(i)
		if err != nil {
			return nil, err
		}
		if i < len(text.Family.Degraded) {
			h.DegradedValue = text.Family.Degraded[i]
		}
		s.HandlerIndex[class.Name] = i
		d.Handlers = append(d.Handlers, h)
	}
	for i, customer := range text.Customers {
		s.TenantIndex[customer.Name] = i
		d.Tenants = append(d.Tenants, admission.Tenant{Quota: customer.Quota})
	}
	return s, nil
}

// validate refuses what no server can be run by.
func (t *startupJSON) validate() error {
	f := &t.Family
	switch {
	case len(t.Classes) == 0:
		return ErrNoClasses
	case f.Cores < 1 || f.Cores > maxCores:
		return &InvalidError{"family_info.cores", fmt.Sprintf("is %d, expected 1 or more", f.Cores)}
	case !(f.MemoryKB > 0) || f.RunFactor < 0 || f.KeyKB < 0:
		return &InvalidError{"family_info.memory_kb, run_factor or key_kb", "is out of range"}
	case t.Invariants.FallMultiple < 0 || t.Granularity < 0 || t.Invariants.DrainGrace < 0:
		return &InvalidError{"invariants or granularity", "are below zero"}
	}
	return nil
}

// deployment maps all but classes and customers.
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
	if d.Dependency, err = lookup(dependencyOf, f.Below, "family_info.below"); err != nil {
		return nil, err
	}
	if d.Cancellation, err = lookup(cancellationOf, f.Preemption, "family_info.preemption"); err != nil {
		return nil, err
	}
	if d.OverloadSignal, err = lookup(overloadSignalOf, f.Say, "family_info.say"); err != nil {
		return nil, err
	}
	return d, nil
}

// handler maps the class at an index. An objective that isn't stated, or is past the timeout, is the timeout.
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
	h.RetrySafety, err = lookup(retrySafetyOf, c.Semantics, "classes[].semantics")
	return h, err
}

// Gauges names what the server's gauges read, in the order of GaugeNames.
func (s *Startup) Gauges(read []float64) (g admission.Gauges) {
	for k := range min(len(read), len(s.GaugeNames)) {
		switch s.GaugeNames[k] {
		case gaugeRunnable:
			g.Runnable = read[k]
		case gaugeOpenConnections:
			g.OpenConnections = read[k]
		}
	}
	return g
}

// Package settings reads the start-up settings, the same on the simulator's wire and on sockets. It turns them
// into what the module is told and the names that the wire needs; it decides nothing.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"umberwinch/admission"
)

// Profile is what the start-up text says: the module's deployment and the names that go with its indices.
type Profile struct {
	*admission.Deployment
	Meters   []string       // the gauges, in order
	Handlers map[string]int // by name
	Tenants  map[string]int
}

// text is the start-up text as it comes; unknown keys are passed over.
type text struct {
	Classes []struct {
		Name      string  `json:"name"`
		Gain      float64 `json:"gain"`
		GiveUp    float64 `json:"give_up"`
		LateShare float64 `json:"late_share"`
		Promise   float64 `json:"promise"`
		Semantics string  `json:"semantics"`
		Window    float64 `json:"window"`
	} `json:"classes"`
	Customers []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"customers"`
	Family struct {
		Below      string    `json:"below"`
		CallsOut   float64   `json:"calls_out"`
		Cold       bool      `json:"cold"`
		Cores      int       `json:"cores"`
		Degraded   []float64 `json:"degraded_worth"`
		Fresh      float64   `json:"fresh"`
		Idle       float64   `json:"idle"`
		KeyKB      float64   `json:"key_kb"`
		Linger     float64   `json:"linger"`
		MemoryKB   float64   `json:"memory_kb"`
		Meters     []string  `json:"meters"`
		Preemption string    `json:"preemption"`
		RunFactor  float64   `json:"run_factor"`
		Say        string    `json:"say"`
		Senders    int       `json:"senders"`
		ShareSpan  float64   `json:"share_span"`
	} `json:"family_info"`
	Fleet       int     `json:"fleet_size"`
	Granularity float64 `json:"granularity"`
	Invariants  struct {
		DrainGrace    float64 `json:"drain_grace"`
		FallMultiple  float64 `json:"fall_multiple"`
		StartCapacity float64 `json:"start_capacity"`
		WarmAfter     float64 `json:"warm_after"`
	} `json:"invariants"`
	Limits struct {
		MaxRetryAfter float64 `json:"max_retry_after"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	Goal struct {
		Whole float64 `json:"whole"`
		Worst float64 `json:"worst_class"`
	} `json:"goal"`
	OverShare float64 `json:"over_share_worth"`
	Stage     int     `json:"stage"`
	WorthBy   string  `json:"worth_by"`
}

var (
	repeats = map[string]admission.RetrySafety{"idempotent": admission.Retryable,
		"deduplicated": admission.IdempotencyKeyed, "at_most_once": admission.NonRetryable}
	belows = map[string]admission.Dependency{"": admission.DependencyNone, "off": admission.DependencyNone,
		"shared": admission.DependencyShared, "tier": admission.DependencyNextTier}
	stops = map[string]admission.Cancellation{"": admission.CancelNever, "off": admission.CancelNever,
		"drop": admission.CancelDrop, "pause": admission.CancelPause}
	voices = map[string]admission.OverloadSignal{"": admission.SignalNone, "off": admission.SignalNone,
		"level": admission.SignalLevel, "credit": admission.SignalCredit, "weight": admission.SignalWeight}
)

// span turns microseconds to whole tenths of a millisecond, down.
func span(us float64) admission.Time { return admission.Time(us / 100) }

func pick[T any](words map[string]T, word, key string) (T, error) {
	v, ok := words[word]
	if !ok {
		return v, fmt.Errorf("settings: %s is %q, which is not known", key, word)
	}
	return v, nil
}

// Read reads the start-up text.
func Read(raw []byte) (out *Profile, err error) {
	var p text
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("settings are not JSON as expected: %w", err)
	}
	f := &p.Family
	switch {
	case len(p.Classes) == 0:
		return nil, errors.New("settings: no classes, expected at least one")
	case f.Cores < 1 || f.Cores > 1<<16:
		return nil, fmt.Errorf("settings: family_info.cores is %d, expected 1 or more", f.Cores)
	case !(f.MemoryKB > 0) || f.RunFactor < 0 || f.KeyKB < 0:
		return nil, errors.New("settings: family_info.memory_kb, run_factor or key_kb is out of range")
	case p.Invariants.FallMultiple < 0 || p.Granularity < 0 || p.Invariants.DrainGrace < 0:
		return nil, errors.New("settings: invariants or granularity are below zero")
	}
	d := &admission.Deployment{FleetSize: max(p.Fleet, 1), Callers: max(f.Senders, 1), Tier: max(p.Stage, 0),
		RoundInterval: max(span(p.Granularity+99), 1), ValuePerWork: p.WorthBy == "work", OverQuotaWeight: p.OverShare,
		Cores: f.Cores, ColdStart: f.Cold, ColdSpeed: p.Invariants.StartCapacity,
		WarmUpTime: span(p.Invariants.WarmAfter), MaxRunsPerCore: p.Invariants.FallMultiple, MemoryKB: f.MemoryKB,
		RunMemoryFactor: math.Max(f.RunFactor, 1), TableEntryKB: f.KeyKB, CallAllowance: f.CallsOut,
		CallAveragingTime: span(f.ShareSpan), CancellationDelay: span(f.Linger), ResponseReuseTime: span(f.Fresh),
		DrainGrace: span(p.Invariants.DrainGrace), IdleTimeout: span(f.Idle)}
	if p.Goal.Whole > 0 {
		d.WorstClassWeight = math.Max(p.Goal.Worst, 0) / p.Goal.Whole
	}
	if p.Limits.RetryAfter {
		d.MaxRetryAfter = span(p.Limits.MaxRetryAfter)
	}
	if d.Dependency, err = pick(belows, f.Below, "family_info.below"); err != nil {
		return nil, err
	}
	if d.Cancellation, err = pick(stops, f.Preemption, "family_info.preemption"); err != nil {
		return nil, err
	}
	if d.OverloadSignal, err = pick(voices, f.Say, "family_info.say"); err != nil {
		return nil, err
	}
	out = &Profile{Deployment: d, Meters: f.Meters, Handlers: map[string]int{}, Tenants: map[string]int{}}
	for i, c := range p.Classes {
		h := admission.Handler{LatencyObjective: span(c.Promise), Timeout: span(c.GiveUp), Value: c.Gain,
			LateValue: c.LateShare, IdempotencyWindow: span(c.Window + 99)}
		if h.Timeout <= 0 {
			return nil, fmt.Errorf("settings: classes[%d].give_up is %g, expected above 0", i, c.GiveUp)
		}
		if h.LatencyObjective <= 0 || h.LatencyObjective > h.Timeout {
			h.LatencyObjective = h.Timeout
		}
		if h.RetrySafety, err = pick(repeats, c.Semantics, "classes[].semantics"); err != nil {
			return nil, err
		}
		if i < len(f.Degraded) {
			h.DegradedValue = f.Degraded[i]
		}
		out.Handlers[c.Name] = i
		d.Handlers = append(d.Handlers, h)
	}
	for i, c := range p.Customers {
		out.Tenants[c.Name] = i
		d.Tenants = append(d.Tenants, admission.Tenant{Quota: c.Quota})
	}
	return out, nil
}

// Gauges names what the server's gauges read.
func (p *Profile) Gauges(read []float64) (g admission.Gauges) {
	for k := 0; k < min(len(read), len(p.Meters)); k++ {
		switch p.Meters[k] {
		case "on_cores":
			g.Runnable = read[k]
		case "links":
			g.OpenConnections = read[k]
		}
	}
	return g
}

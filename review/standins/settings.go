package main

// Class is a class of the settings; times are milliseconds.
type Class struct {
	Name, Semantics          string
	AimMS, DeadlineMS, Value float64
	WindowMS                 float64
	Calls                    bool
	Degraded                 float64
}

// Site is what the settings of the nodes say, in the names of WIRE-umberwinch.md; times are milliseconds.
type Site struct {
	Classes              []Class
	Cores                int
	FallMultiple, TipMS  float64
	MemoryKB             float64
	RunFactor, KeyKB     float64
	Preemption           string
	FreshMS              float64
	DrainGraceMS         float64
	AnswerSlackMS        float64
	Below                string
	CallsOut             float64
	LingerMS, WarmMS     float64
	RoundMS, ShareSpanMS float64
	MaxRetryAfterMS      float64
	Senders, Fleet       int
}

// Settings returns the object that a node gets.
func (s *Site) Settings() map[string]any {
	us := func(ms float64) int64 { return int64(ms * 1000) }
	var classes []map[string]any
	var calls []bool
	var degraded []float64
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "semantics": c.Semantics, "promise": us(c.AimMS),
			"give_up": us(c.DeadlineMS), "gain": c.Value, "late_share": 0.0, "window": us(c.WindowMS)})
		calls = append(calls, c.Calls)
		degraded = append(degraded, c.Degraded)
	}
	return map[string]any{
		"callers": map[string]any{"marks_retry": true}, "classes": classes, "customers": []any{},
		"domain_type": "server",
		"family_info": map[string]any{"below": s.Below, "calls_out": s.CallsOut, "cancel_seen": true,
			"class_calls": calls, "cold": false, "cores": s.Cores, "degraded_worth": degraded,
			"fresh": us(s.FreshMS), "full_checks": false, "heeded": 1000000, "idle": 30000000, "key_kb": s.KeyKB,
			"linger": us(s.LingerMS), "memory_kb": s.MemoryKB,
			"meters":          []string{"core_use", "on_cores", "heap_share", "links"},
			"passes_deadline": false, "preemption": s.Preemption, "readiness": true, "run_factor": s.RunFactor,
			"say": "off", "senders": s.Senders, "share_span": us(s.ShareSpanMS)},
		"fleet_size":  s.Fleet,
		"goal":        map[string]any{"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.2},
		"granularity": us(s.RoundMS),
		"invariants": map[string]any{"drain_grace": us(s.DrainGraceMS), "fall_multiple": s.FallMultiple,
			"grace_to_answer": us(s.AnswerSlackMS), "start_capacity": 0.21, "tip_after": us(s.TipMS),
			"warm_after": us(s.WarmMS)},
		"limits": map[string]any{"cpu_us_per_request": 0.0, "cpu_us_per_s": 60000,
			"max_retry_after": us(s.MaxRetryAfterMS), "retry_after": true},
		"me": 1, "my_zone": 0, "over_share_worth": 0.05,
		"prices": map[string]any{"connection": 0.0, "handshake": 0.03, "late_fail": 0.02, "origin": 0.01,
			"waste": 0.02},
		"report": map[string]any{"how": "inline", "names": []string{"load_share"}},
		"stage":  0, "tiers": []string{"planners"}, "worth_by": "work", "zones": []string{"wola", "sluzew"}}
}

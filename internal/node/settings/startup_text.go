package settings

// startupJSON is the JSON form of the start-up settings. Durations are in microseconds.
type startupJSON struct {
	Classes   []classJSON `json:"classes"`
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

// classJSON is the JSON form of a class of requests. Durations are in microseconds.
type classJSON struct {
	Name      string  `json:"name"`
	Gain      float64 `json:"gain"`
	GiveUp    float64 `json:"give_up"`
	LateShare float64 `json:"late_share"`
	Promise   float64 `json:"promise"`
	Semantics string  `json:"semantics"`
	Window    float64 `json:"window"`
}

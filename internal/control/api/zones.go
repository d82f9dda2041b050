package api

// FullShare is the share of a zone that takes all of its load: shares are counted in parts of it.
const FullShare = 256

// Growth of a zone's share on its way back, as a factor a step. Nodes tell callers when to retry by it.
const (
	MaxRampFactor = 4    // a larger step could ask a service for far more than the step before showed it to bear
	MinRampFactor = 1.08 // a smaller step is not worth an epoch, which each node has to promise: the share is held
)

// Bounds of the lists of a HeartbeatRequest: more is not read.
const (
	MaxPriorityCounts = 16
	MaxPeers          = 16
)

// ZoneMode says who evacuates zones and returns load to them.
type ZoneMode string

// Modes of ZoneRules.
const (
	ZoneModeOff    ZoneMode = "off"
	ZoneModeManual ZoneMode = "ask" // an operator
	ZoneModeAuto   ZoneMode = "auto"
)

// ZoneRules are what the policy in force says about zones.
type ZoneRules struct {
	Mode           ZoneMode `json:"mode,omitempty"`
	InitialShare   int      `json:"first,omitempty"`       // a zone's first share of its recovery ramp, of FullShare
	MinStepMS      uint64   `json:"hold_ms,omitempty"`     // at each share of a ramp
	OrderTTLMS     uint64   `json:"keep_ms,omitempty"`     // an order holds so long without the group
	MaxRampDelayMS uint64   `json:"max_wait_ms,omitempty"` // longest wait of a zone that keeps failing
	ColdStart      bool     `json:"small_start,omitempty"` // a fleet that restarts as a whole begins with InitialShare
}

// Enabled tells whether anything is decided about zones.
func (r ZoneRules) Enabled() bool { return r.Mode == ZoneModeManual || r.Mode == ZoneModeAuto }

// ZoneOrder is what a zone's state means to one of its nodes.
type ZoneOrder struct {
	Epoch uint64 `json:"epoch"` // of the order: the node promises to act on nothing older
	Share int    `json:"share"` // of the zone's requests that the node admits, of FullShare
	// PriorityCutoff, above 0, orders requests by their weight: those above it are rejected, Share of those that have
	// it are admitted, all below it are.
	PriorityCutoff float64 `json:"worth,omitempty"`
	// RateLimited bounds the node to RateLimit runs begun a second and ConnectRateLimit connections opened a second
	// to the services below.
	RateLimited      bool    `json:"capped,omitempty"`
	RateLimit        float64 `json:"rate,omitempty"`
	ConnectRateLimit float64 `json:"dials,omitempty"`
	// RetryBudget is how many retries of requests that another zone rejected are admitted for each FullShare first
	// attempts; 0: no bound.
	RetryBudget         int    `json:"retry,omitempty"`
	NoCapacityElsewhere bool   `json:"full,omitempty"` // what the node rejects would find no capacity in another zone
	TTLMS               uint64 `json:"keep_ms"`        // for which the order holds without the group
}

// PriorityCount is how many requests of one weight arrived.
type PriorityCount struct {
	Weight  float64 `json:"value"`
	Arrived int     `json:"came"`
}

// LoadReport is what a node counted in the WindowMS before a request.
type LoadReport struct {
	WindowMS        int             `json:"ms"`
	Arrived         int             `json:"came"`             // requests read
	Retries         int             `json:"again,omitempty"`  // among them
	RejectedByZone  int             `json:"turned,omitempty"` // by the zone's order
	Completed       int             `json:"done"`             // by their deadline
	Late            int             `json:"late,omitempty"`   // completed after it
	Shed            int             `json:"shed,omitempty"`   // rejected by the node's own overload control
	Failed          int             `json:"errored,omitempty"`
	OfferedWeight   float64         `json:"worth,omitempty"` // of first attempts
	CompletedWeight float64         `json:"got,omitempty"`   // of what was completed by its deadline
	ArrivedByWeight []PriorityCount `json:"mix,omitempty"`   // first attempts, the smallest weight first
	KernelConnected bool            `json:"kernel"`
	Cores           float64         `json:"cores"`
	CoresUsed       float64         `json:"on_cores"` // mean
	RunsInFlight    int             `json:"out"`      // at the end of the window
	RunsEnded       int             `json:"runs"`
	MeanRunMS       float64         `json:"run_ms"`
	Calls           int             `json:"calls,omitempty"` // to services below
	FailedCalls     int             `json:"bad,omitempty"`   // failed or not taken, not given up
	MeanCallMS      float64         `json:"call_ms,omitempty"`
	// ConnectionsOpened counts those to services below.
	ConnectionsOpened int `json:"opened,omitempty"`
}

// Health is what one node found of another.
type Health string

// Results of a health check.
const (
	PeerServing  Health = "serves"
	PeerShedding Health = "sheds"
	PeerSilent   Health = "silent"
)

// PeerHealth is the result of one node's health check of another.
type PeerHealth struct {
	Name   string `json:"name"`
	Health Health `json:"is"`
}

// ProbeTarget is a node whose health should be checked.
type ProbeTarget struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

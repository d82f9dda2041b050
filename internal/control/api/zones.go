package api

// FullShare is the share of a zone that serves all of its load. Shares are integers in parts of FullShare.
const FullShare = 256

// Growth factors of a zone's share per step of its recovery ramp. Nodes derive Retry-After from them.
const (
	MaxRampFactor = 4    // bounds the load of a step by what the previous one has shown the services to sustain
	MinRampFactor = 1.08 // below it the share is held: each step costs an epoch that all nodes have to promise
)

// Maximum lengths of the lists of a HeartbeatRequest.
const (
	MaxPriorityCounts = 16
	MaxPeers          = 16
)

// ZoneMode is who decides to evacuate a zone or to return load to it.
type ZoneMode string

// Modes of ZoneRules.
const (
	ZoneModeOff    ZoneMode = "off"
	ZoneModeManual ZoneMode = "ask"  // an operator decides
	ZoneModeAuto   ZoneMode = "auto" // the control service decides
)

// ZoneRules are the zone settings of the committed policy version.
type ZoneRules struct {
	Mode           ZoneMode `json:"mode,omitempty"`
	InitialShare   int      `json:"first,omitempty"`       // share that a recovery ramp begins with, of FullShare
	MinStepMS      uint64   `json:"hold_ms,omitempty"`     // minimum time at each share of a ramp
	OrderTTLMS     uint64   `json:"keep_ms,omitempty"`     // how long an order is valid without contact to the group
	MaxRampDelayMS uint64   `json:"max_wait_ms,omitempty"` // maximum delay of the ramp of a zone that fails repeatedly
	ColdStart      bool     `json:"small_start,omitempty"` // a fleet begins with InitialShare if half its nodes restart
}

// Enabled reports whether zones are managed.
func (r ZoneRules) Enabled() bool { return r.Mode == ZoneModeManual || r.Mode == ZoneModeAuto }

// ZoneOrder tells a node how much of the load of its zone to admit.
type ZoneOrder struct {
	Epoch uint64 `json:"epoch"` // the node promises to apply no older order
	Share int    `json:"share"` // of the requests that the node admits, of FullShare
	// PriorityCutoff above 0 admits requests by weight: all below the cutoff, Share of those equal to it, none above.
	PriorityCutoff float64 `json:"worth,omitempty"`
	// RateLimited limits the node to RateLimit admitted requests per second and to ConnectRateLimit new connections to
	// services below per second.
	RateLimited      bool    `json:"capped,omitempty"`
	RateLimit        float64 `json:"rate,omitempty"`
	ConnectRateLimit float64 `json:"dials,omitempty"`
	// RetryBudget is the number of retries admitted per FullShare first attempts; 0: unlimited.
	RetryBudget         int    `json:"retry,omitempty"`
	NoCapacityElsewhere bool   `json:"full,omitempty"` // other zones have no capacity for rejected requests
	TTLMS               uint64 `json:"keep_ms"`        // how long the order is valid without contact to the group
}

// PriorityCount is the number of first attempts of one weight that arrived.
type PriorityCount struct {
	Weight  float64 `json:"value"`
	Arrived int     `json:"came"`
}

// LoadReport is a node's load in the WindowMS before a HeartbeatRequest.
type LoadReport struct {
	WindowMS        int             `json:"ms"`
	Arrived         int             `json:"came"`             // requests read
	Retries         int             `json:"again,omitempty"`  // of Arrived
	RejectedByZone  int             `json:"turned,omitempty"` // by the zone order
	Completed       int             `json:"done"`             // by the deadline
	Late            int             `json:"late,omitempty"`   // answered after the deadline, errors included
	Shed            int             `json:"shed,omitempty"`   // answered with status 503
	Failed          int             `json:"errored,omitempty"`
	OfferedWeight   float64         `json:"worth,omitempty"` // sum over first attempts
	CompletedWeight float64         `json:"got,omitempty"`   // sum over requests completed by the deadline
	ArrivedByWeight []PriorityCount `json:"mix,omitempty"`   // first attempts, by ascending weight
	KernelConnected bool            `json:"kernel"`          // the kernel is the process that executes runs
	Cores           float64         `json:"cores"`
	CoresUsed       float64         `json:"on_cores"` // mean over the window
	RunsInFlight    int             `json:"out"`      // at the end of the window
	RunsEnded       int             `json:"runs"`
	MeanRunMS       float64         `json:"run_ms"`
	Calls           int             `json:"calls,omitempty"` // to services below this one
	FailedCalls     int             `json:"bad,omitempty"`   // failed or rejected; cancelled calls do not count
	MeanCallMS      float64         `json:"call_ms,omitempty"`
	// ConnectionsOpened counts new connections to services below this one.
	ConnectionsOpened int `json:"opened,omitempty"`
}

// Health is the result of a health check of a peer.
type Health string

// Values of Health.
const (
	PeerServing  Health = "serves"
	PeerShedding Health = "sheds"
	PeerSilent   Health = "silent"
)

// PeerHealth is a node's health check of one peer.
type PeerHealth struct {
	Name   string `json:"name"`
	Health Health `json:"is"`
}

// ProbeTarget is a peer whose health a node has to check.
type ProbeTarget struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

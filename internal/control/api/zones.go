package api

// What nodes and the group say to each other of zones. A node whose group decides nothing about zones says and hears
// none of it.

// FullShare is a share of all.
const FullShare = 256

// ZoneRules are what the policy in force says of zones.
type ZoneRules struct {
	Mode         string `json:"mode,omitempty"`        // off, ask (an operator leaves and returns them) or auto
	InitialShare int    `json:"first,omitempty"`       // the share a zone begins its return with, of Whole
	MinStepMS    uint64 `json:"hold_ms,omitempty"`     // the least time at each share of a return
	OrderTTLMS   uint64 `json:"keep_ms,omitempty"`     // without the group a node keeps to its last order for so long
	MaxWaitMS    uint64 `json:"max_wait_ms,omitempty"` // a zone that fails again and again waits no longer
	ColdStart    bool   `json:"small_start,omitempty"` // a fleet of which most nodes restart at once begins with First
}

// Modes of ZoneRules.
const (
	ZoneModeOff    = "off"
	ZoneModeManual = "ask"
	ZoneModeAuto   = "auto"
)

// Enabled tells whether anything is decided about zones.
func (r ZoneRules) Enabled() bool { return r.Mode == ZoneModeManual || r.Mode == ZoneModeAuto }

// ZoneOrder is what a zone's state means to one of its nodes.
type ZoneOrder struct {
	Epoch          uint64  `json:"epoch"`           // of the order: nodes promise to act on nothing older
	Share          int     `json:"share"`           // of Whole: what the node takes of what comes
	PriorityCutoff float64 `json:"worth,omitempty"` // above 0: all reqs of less value, Share of those of that value, none of more
	// RateLimited: at most Rate runs begin a second, and Dials connections below are opened.
	RateLimited      bool    `json:"capped,omitempty"`
	RateLimit        float64 `json:"rate,omitempty"`
	ConnectRateLimit float64 `json:"dials,omitempty"`
	// RetryBudget bounds reqs that were turned away elsewhere: so many for each Whole first tries; 0: no bound.
	RetryBudget         int    `json:"retry,omitempty"`
	NoCapacityElsewhere bool   `json:"full,omitempty"` // nowhere in the fleet is there room for what is turned away
	TTLMS               uint64 `json:"keep_ms"`        // without the group it holds for so long
}

// PriorityCount is what came of reqs of one value.
type PriorityCount struct {
	Weight  float64 `json:"value"`
	Arrived int     `json:"came"`
}

// LoadReport is what a node saw in the time before an asking: sums over MS.
type LoadReport struct {
	WindowMS          int             `json:"ms"`
	Arrived           int             `json:"came"`             // reqs read
	Retries           int             `json:"again,omitempty"`  // further tries among them
	RejectedByZone    int             `json:"turned,omitempty"` // turned away by the zone's order
	Completed         int             `json:"done"`             // in time
	Late              int             `json:"late,omitempty"`
	Shed              int             `json:"shed,omitempty"` // by the module
	Failed            int             `json:"errored,omitempty"`
	OfferedWeight     float64         `json:"worth,omitempty"` // value of first tries
	CompletedWeight   float64         `json:"got,omitempty"`   // value done in time
	ArrivedByWeight   []PriorityCount `json:"mix,omitempty"`   // first tries by value, the least first
	KernelConnected   bool            `json:"kernel"`          // its link is up
	Cores             float64         `json:"cores"`
	CoresUsed         float64         `json:"on_cores"` // in the mean
	RunsInFlight      int             `json:"out"`      // runs under way now
	RunsEnded         int             `json:"runs"`     // ended
	MeanRunMS         float64         `json:"run_ms"`   // in the mean
	Calls             int             `json:"calls,omitempty"`
	FailedCalls       int             `json:"bad,omitempty"`     // of them failed, late or unclear
	MeanCallMS        float64         `json:"call_ms,omitempty"` // in the mean
	ConnectionsOpened int             `json:"opened,omitempty"`  // connections below
}

// PeerHealth is what one node found by probing the health of another.
type PeerHealth struct {
	Name   string `json:"name"`
	Health string `json:"is"` // serves, sheds or silent
}

// What one node sees of another.
const (
	PeerServing  = "serves"
	PeerShedding = "sheds"
	PeerSilent   = "silent"
)

// ProbeTarget is a node to probe.
type ProbeTarget struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Bounds of what is said about zones.
const (
	MaxPriorityCounts = 16
	MaxPeers          = 16
)

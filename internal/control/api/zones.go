package api

// What nodes and the group say to each other of zones. A node whose group decides nothing about zones says and hears
// none of it.

// Whole is a share of all.
const Whole = 256

// ZoneRules are what the policy in force says of zones.
type ZoneRules struct {
	Mode   string `json:"mode,omitempty"`        // off, ask (an operator leaves and returns them) or auto
	First  int    `json:"first,omitempty"`       // the share a zone begins its return with, of Whole
	HoldMS uint64 `json:"hold_ms,omitempty"`     // the least time at each share of a return
	KeepMS uint64 `json:"keep_ms,omitempty"`     // without the group a node keeps to its last order for so long
	WaitMS uint64 `json:"max_wait_ms,omitempty"` // a zone that fails again and again waits no longer
	Small  bool   `json:"small_start,omitempty"` // a fleet of which most nodes restart at once begins with First
}

// Modes of ZoneRules.
const (
	ZonesOff  = "off"
	ZonesAsk  = "ask"
	ZonesAuto = "auto"
)

// On tells whether anything is decided about zones.
func (r ZoneRules) On() bool { return r.Mode == ZonesAsk || r.Mode == ZonesAuto }

// ZoneOrder is what a zone's state means to one of its nodes.
type ZoneOrder struct {
	Epoch uint64  `json:"epoch"`           // of the order: nodes promise to act on nothing older
	Share int     `json:"share"`           // of Whole: what the node takes of what comes
	Worth float64 `json:"worth,omitempty"` // above 0: all reqs of less value, Share of those of that value, none of more
	// Capped: at most Rate runs begin a second, and Dials connections below are opened.
	Capped bool    `json:"capped,omitempty"`
	Rate   float64 `json:"rate,omitempty"`
	Dials  float64 `json:"dials,omitempty"`
	// Retry bounds reqs that were turned away elsewhere: so many for each Whole first tries; 0: no bound.
	Retry int    `json:"retry,omitempty"`
	Full  bool   `json:"full,omitempty"` // nowhere in the fleet is there room for what is turned away
	Keep  uint64 `json:"keep_ms"`        // without the group it holds for so long
}

// Worth is what came of reqs of one value.
type Worth struct {
	Value float64 `json:"value"`
	Came  int     `json:"came"`
}

// Tally is what a node saw in the time before an asking: sums over MS.
type Tally struct {
	MS      int     `json:"ms"`
	Came    int     `json:"came"`             // reqs read
	Again   int     `json:"again,omitempty"`  // further tries among them
	Turned  int     `json:"turned,omitempty"` // turned away by the zone's order
	Done    int     `json:"done"`             // in time
	Late    int     `json:"late,omitempty"`
	Shed    int     `json:"shed,omitempty"` // by the module
	Errored int     `json:"errored,omitempty"`
	Worth   float64 `json:"worth,omitempty"` // value of first tries
	Got     float64 `json:"got,omitempty"`   // value done in time
	Mix     []Worth `json:"mix,omitempty"`   // first tries by value, the least first
	Kernel  bool    `json:"kernel"`          // its link is up
	Cores   float64 `json:"cores"`
	OnCores float64 `json:"on_cores"` // in the mean
	Out     int     `json:"out"`      // runs under way now
	Runs    int     `json:"runs"`     // ended
	RunMS   float64 `json:"run_ms"`   // in the mean
	Calls   int     `json:"calls,omitempty"`
	Bad     int     `json:"bad,omitempty"`     // of them failed, late or unclear
	CallMS  float64 `json:"call_ms,omitempty"` // in the mean
	Opened  int     `json:"opened,omitempty"`  // connections below
}

// Seen is what one node saw of another by asking its health.
type Seen struct {
	Name string `json:"name"`
	Is   string `json:"is"` // serves, sheds or silent
}

// What one node sees of another.
const (
	SeenServes = "serves"
	SeenSheds  = "sheds"
	SeenSilent = "silent"
)

// Look asks a node to look at another.
type Look struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Bounds of what is said about zones.
const (
	MaxMix  = 16
	MaxSeen = 16
)

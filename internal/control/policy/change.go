package policy

import "fmt"

// Step is the stage that a change has reached.
type Step string

// Steps of a change. The values are stored and displayed.
const (
	Preparing Step = "preparing" // nodes validate the version, evaluate it and report
	Decided   Step = "held"      // decided, not yet committed; exclusive changes only
	Committed Step = "in force"  // nodes may serve under it; some may not have received it yet
	Settled   Step = "settled"   // no node can serve under an older version
	Aborted   Step = "called off"
)

// Limits of the replicated history, equal at every instance.
const (
	maxHistory = 64 // ended changes
	maxEvents  = 64 // events per change
)

// Event is an entry in the history of a change.
type Event struct {
	ClockMS uint64 `json:"clock_ms"` // the group's clock
	Text    string `json:"text"`
}

// Change is a change of the policy version. Times are of the group's clock, in ms; 0: not yet.
type Change struct {
	Number          uint64   `json:"number"`
	Version         uint64   `json:"version"`
	PreviousVersion uint64   `json:"from"`
	Hash            string   `json:"hash"` // of the version's text
	Rules           Rules    `json:"rules"`
	Step            Step     `json:"step"`
	Proposal        Proposal `json:"propose"`
	DecideByMS      uint64   `json:"until"` // aborted if not decided by then
	ProposedAtMS    uint64   `json:"begun"`
	DecidedAtMS     uint64   `json:"decided"`
	CommittedAtMS   uint64   `json:"in_force"`
	EndedAtMS       uint64   `json:"ended"` // settled or aborted
	AbortReason     string   `json:"why,omitempty"`
	Events          []Event  `json:"events"`
}

// addEvent appends an event to the change's history. Beyond maxEvents, events are dropped.
func (c *Change) addEvent(clockMS uint64, format string, args ...any) {
	if len(c.Events) < maxEvents {
		c.Events = append(c.Events, Event{clockMS, fmt.Sprintf(format, args...)})
	}
}

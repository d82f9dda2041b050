package policy

import "fmt"

// Step is how far a change has come.
type Step string

// Steps of a change, as stored and shown.
const (
	Preparing Step = "preparing" // nodes check it, try it and report
	Decided   Step = "held"      // decided, not committed: exclusive changes alone; others are committed at once
	Committed Step = "in force"  // it may be served under; some nodes may not have heard
	Settled   Step = "settled"   // nobody can serve under an older version any more
	Aborted   Step = "called off"
)

// Bounds of what is kept, the same at every instance as it is part of the replicated state.
const (
	maxHistory = 64 // changes that ended
	maxEvents  = 64 // of one change
)

// Event is one thing that happened to a change.
type Event struct {
	ClockMS uint64 `json:"clock_ms"` // the group's time
	Text    string `json:"text"`
}

// Change is a change of the policy version. Times are the group's, in ms; 0: not yet.
type Change struct {
	Number          uint64   `json:"number"`
	Version         uint64   `json:"version"`
	PreviousVersion uint64   `json:"from"`
	Hash            string   `json:"hash"` // of the version's text
	Rules           Rules    `json:"rules"`
	Step            Step     `json:"step"`
	Proposal        Proposal `json:"propose"`
	DecideByMS      uint64   `json:"until"` // it is aborted if it is not decided by then
	ProposedAtMS    uint64   `json:"begun"`
	DecidedAtMS     uint64   `json:"decided"`
	CommittedAtMS   uint64   `json:"in_force"`
	EndedAtMS       uint64   `json:"ended"` // settled or aborted
	AbortReason     string   `json:"why,omitempty"`
	Events          []Event  `json:"events"`
}

// addEvent notes what happened to the change. Past maxEvents nothing more is noted.
func (c *Change) addEvent(clockMS uint64, format string, args ...any) {
	if len(c.Events) < maxEvents {
		c.Events = append(c.Events, Event{clockMS, fmt.Sprintf(format, args...)})
	}
}

package zones

import (
	"fmt"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

const (
	// MaxZones bounds the state that each instance keeps and each snapshot carries.
	MaxZones = 64
	// maxEvents of one zone are kept, the newest: enough for some evacuations with their ramps.
	maxEvents = 64
	// maxEventBytes of a reason are kept in an event.
	maxEventBytes = 300
)

// ObservedCapacity is what a zone's services below sustained while the zone was healthy: peaks that decay slowly, and
// what a run and a call usually took.
type ObservedCapacity struct {
	RunRate          float64 `json:"runs"`      // runs a second, peak
	Concurrency      float64 `json:"in_flight"` // runs in flight, peak
	RunMS            float64 `json:"run_ms"`
	CallMS           float64 `json:"call_ms"`
	ConnectionRate   float64 `json:"opened"` // connections opened below a second, peak
	FirstAttemptRate float64 `json:"came"`   // first attempts a second, usually
}

// Event is one change of a zone, and on what grounds it was decided.
type Event struct {
	ClockMS           uint64  `json:"clock_ms"`
	Epoch             uint64  `json:"epoch"`
	Text              string  `json:"text"`
	ValueOfStaying    float64 `json:"stay,omitempty"` // expected, in priority weight completed a second
	ValueOfEvacuating float64 `json:"go,omitempty"`
}

// Zone is one zone. Times are the group's, in ms.
type Zone struct {
	Name             string           `json:"name"`
	Phase            Phase            `json:"step"`
	Share            int              `json:"share"`           // of api.FullShare
	PriorityCutoff   float64          `json:"worth,omitempty"` // see api.ZoneOrder
	Epoch            uint64           `json:"epoch"`           // of its last change
	SinceMS          uint64           `json:"since"`           // when that change was applied, then when it settled
	Cause            Cause            `json:"cause,omitempty"`
	Operator         string           `json:"by,omitempty"` // who did it; empty: the rules
	NodesBefore      int              `json:"had,omitempty"`
	RateLimit        float64          `json:"ceiling,omitempty"` // runs a second, while it ramps
	ConnectRateLimit float64          `json:"dials,omitempty"`   // connections a second, while it ramps
	Quotas           []LeaseQuota     `json:"parts,omitempty"`   // of the rate limit
	PreviousQuotas   []LeaseQuota     `json:"was,omitempty"`     // which may be acted on until the epoch has settled
	FlapCount        int              `json:"flaps,omitempty"`   // evacuations that came soon after a return
	RampNotBeforeMS  uint64           `json:"back,omitempty"`
	InServiceSinceMS uint64           `json:"well,omitempty"`
	HeldUntilMS      uint64           `json:"held,omitempty"`  // the rules decide nothing before
	DrillUntilMS     uint64           `json:"drill,omitempty"` // 0: no drill
	Capacity         ObservedCapacity `json:"bore"`
	Events           []Event          `json:"events,omitempty"`
}

// State is what all instances know of zones.
type State struct {
	Epoch        uint64 `json:"epoch"`
	SettledEpoch uint64 `json:"settled"` // no lease acts on an epoch before it
	// RetryBudget is how many retries of requests that an evacuated zone rejected each zone in service admits for
	// api.FullShare first attempts; 0: no bound.
	RetryBudget         int     `json:"retry,omitempty"`
	NoCapacityElsewhere bool    `json:"full,omitempty"`  // a rejected request finds no capacity in any zone
	Zones               []*Zone `json:"zones,omitempty"` // by name
}

// Find returns a zone, nil if nothing was ever decided about it.
func (s *State) Find(name string) *Zone {
	i := sort.Search(len(s.Zones), func(i int) bool { return s.Zones[i].Name >= name })
	if i < len(s.Zones) && s.Zones[i].Name == name {
		return s.Zones[i]
	}
	return nil
}

// findOrAdd returns a zone, and adds it if a node is of it. It gives nil where no node is, or where there are too many
// zones.
func (s *State) findOrAdd(name string, fleet *membership.State) *Zone {
	if zone := s.Find(name); zone != nil {
		return zone
	}
	if len(s.Zones) >= MaxZones {
		return nil
	}
	zone := &Zone{Name: name, Phase: InService, Share: api.FullShare}
	for _, node := range fleet.Nodes() {
		if zone.contains(node) {
			s.Zones = append(s.Zones, zone)
			sort.Slice(s.Zones, func(i, k int) bool { return s.Zones[i].Name < s.Zones[k].Name })
			return zone
		}
	}
	return nil
}

// PhaseOf returns where a zone stands. One that was never decided about is in service.
func (s *State) PhaseOf(name string) (Phase, int) {
	if zone := s.Find(name); zone != nil {
		return zone.Phase, zone.Share
	}
	return InService, api.FullShare
}

// inService reports whether a zone is, and whether it takes all of its load.
func (s *State) inService(name string) bool {
	phase, _ := s.PhaseOf(name)
	return phase == InService
}

// anotherInService reports whether another zone with nodes is in service.
func (s *State) anotherInService(name string, fleet *membership.State) bool {
	for _, node := range fleet.Nodes() {
		if !node.IsOut() && node.Zone != name && s.inService(node.Zone) {
			return true
		}
	}
	return false
}

func (s *State) allInService() bool {
	for _, zone := range s.Zones {
		if zone.Phase != InService {
			return false
		}
	}
	return true
}

// settled reports whether no lease acts on an epoch before the newest.
func (s *State) settled() bool { return s.SettledEpoch == s.Epoch }

// contains reports whether a node is of the zone.
func (z *Zone) contains(node *membership.Node) bool {
	return z.Name == WholeFleet || node.Zone == z.Name
}

// countNodesIn counts the zone's nodes that are in.
func (z *Zone) countNodesIn(fleet *membership.State) (n int) {
	for _, node := range fleet.Nodes() {
		if z.contains(node) && !node.IsOut() {
			n++
		}
	}
	return n
}

// addEvent keeps what was decided, with the values that it was decided by where why is not nil.
func (z *Zone) addEvent(clock, epoch uint64, why *rationale, format string, args ...any) {
	event := Event{ClockMS: clock, Epoch: epoch, Text: fmt.Sprintf(format, args...)}
	if why != nil {
		event.ValueOfStaying, event.ValueOfEvacuating = why.valueOfStaying, why.valueOfEvacuating
	}
	z.Events = append(z.Events, event)
	if len(z.Events) > maxEvents {
		z.Events = z.Events[1:]
	}
}

package zones

import (
	"fmt"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

const (
	// MaxZones bounds the size of the state and of snapshots.
	MaxZones = 64
	// maxEvents is the number of events kept for each zone, the newest.
	maxEvents = 64
	// maxEventBytes is the length to which a reason is cut in an event.
	maxEventBytes = 300
)

// ObservedCapacity is the load that a zone's services sustained while it was healthy: peaks, which decay slowly, and
// averages.
type ObservedCapacity struct {
	RunRate          float64 `json:"runs"`      // runs a second, peak
	Concurrency      float64 `json:"in_flight"` // runs in flight, peak
	RunMS            float64 `json:"run_ms"`    // time of a run, average
	CallMS           float64 `json:"call_ms"`   // time of a call, average
	ConnectionRate   float64 `json:"opened"`    // connections opened to the services a second, peak
	FirstAttemptRate float64 `json:"came"`      // first attempts a second, average
}

// Event is one change of a zone with the expected values on which it was decided.
type Event struct {
	ClockMS           uint64  `json:"clock_ms"`
	Epoch             uint64  `json:"epoch"`
	Text              string  `json:"text"`
	ValueOfStaying    float64 `json:"stay,omitempty"` // expected weight completed a second
	ValueOfEvacuating float64 `json:"go,omitempty"`
}

// Zone is the state of one zone. Times are the group's clock, in ms.
type Zone struct {
	Name             string           `json:"name"`
	Phase            Phase            `json:"step"`
	Share            int              `json:"share"`           // of api.FullShare
	PriorityCutoff   float64          `json:"worth,omitempty"` // see api.ZoneOrder
	Epoch            uint64           `json:"epoch"`           // of its last change
	SinceMS          uint64           `json:"since"`           // when that change was applied, then when it settled
	Cause            Cause            `json:"cause,omitempty"`
	Operator         string           `json:"by,omitempty"`      // who requested the last change; empty: the rules
	NodesBefore      int              `json:"had,omitempty"`     // nodes before its evacuation or cold start
	RateLimit        float64          `json:"ceiling,omitempty"` // runs a second, while it ramps
	ConnectRateLimit float64          `json:"dials,omitempty"`   // connections a second, while it ramps
	Quotas           []LeaseQuota     `json:"parts,omitempty"`   // of the rate limit
	PreviousQuotas   []LeaseQuota     `json:"was,omitempty"`     // may be used until the epoch has settled
	FlapCount        int              `json:"flaps,omitempty"`   // failures soon after a ramp, see flapWindowMS
	RampNotBeforeMS  uint64           `json:"back,omitempty"`    // earliest start of the next ramp
	InServiceSinceMS uint64           `json:"well,omitempty"`    // end of the last ramp
	HeldUntilMS      uint64           `json:"held,omitempty"`    // the rules decide nothing before
	DrillUntilMS     uint64           `json:"drill,omitempty"`   // 0: no drill
	Capacity         ObservedCapacity `json:"bore"`
	Events           []Event          `json:"events,omitempty"`
}

// State is the replicated state of all zones.
type State struct {
	Epoch        uint64 `json:"epoch"`
	SettledEpoch uint64 `json:"settled"` // no lease acts on an older epoch
	// RetryBudget is how many retries each zone in service admits per api.FullShare first attempts; 0: no limit.
	RetryBudget         int     `json:"retry,omitempty"`
	NoCapacityElsewhere bool    `json:"full,omitempty"`  // a rejected request finds no capacity in any zone
	Zones               []*Zone `json:"zones,omitempty"` // by name
}

// Find returns a zone, nil if the state has no entry for it; such a zone is in service.
func (s *State) Find(name string) *Zone {
	i := sort.Search(len(s.Zones), func(i int) bool { return s.Zones[i].Name >= name })
	if i < len(s.Zones) && s.Zones[i].Name == name {
		return s.Zones[i]
	}
	return nil
}

// findOrAdd returns a zone and adds it if needed; nil if it has no nodes or there are too many zones.
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

// PhaseOf returns a zone's phase and share. A zone without an entry is in service.
func (s *State) PhaseOf(name string) (Phase, int) {
	if zone := s.Find(name); zone != nil {
		return zone.Phase, zone.Share
	}
	return InService, api.FullShare
}

// inService reports whether a zone is in service, with its full load.
func (s *State) inService(name string) bool {
	phase, _ := s.PhaseOf(name)
	return phase == InService
}

// anotherInService reports whether another zone with nodes that are in is in service.
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

// settled reports whether no lease acts on an epoch older than the newest.
func (s *State) settled() bool { return s.SettledEpoch == s.Epoch }

// contains reports whether a node belongs to the zone.
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

// addEvent appends an event, with the expected values of basis unless it is nil. The oldest event beyond maxEvents is
// dropped.
func (z *Zone) addEvent(clock, epoch uint64, basis *rationale, format string, args ...any) {
	event := Event{ClockMS: clock, Epoch: epoch, Text: fmt.Sprintf(format, args...)}
	if basis != nil {
		event.ValueOfStaying, event.ValueOfEvacuating = basis.valueOfStaying, basis.valueOfEvacuating
	}
	z.Events = append(z.Events, event)
	if len(z.Events) > maxEvents {
		z.Events = z.Events[1:]
	}
}

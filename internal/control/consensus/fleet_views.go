package consensus

import (
	"encoding/json"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// NodeView is a node as shown to operators. Only the leader knows what a node reported.
type NodeView struct {
	membership.Node
	ActiveVersion   uint64 `json:"serves"`
	PreparedVersion uint64 `json:"prepared,omitempty"`
	RefusedVersion  uint64 `json:"refused,omitempty"`
	RefusalReason   string `json:"why,omitempty"`
	Fenced          string `json:"fenced,omitempty"`
	Reported        bool   `json:"heard"` // to the current leader
	AgeMS           uint64 `json:"age_ms"`
	MayServeOlder   bool   `json:"may_serve_older"` // than the committed version
}

// PolicyView is the state of policy changes as shown to operators.
type PolicyView struct {
	ClockMS          uint64           `json:"clock_ms"` // the group's clock
	DecidedVersion   uint64           `json:"decided"`
	CommittedVersion uint64           `json:"in_force"`
	Rules            policy.Rules     `json:"rules"`
	Current          *policy.Change   `json:"now,omitempty"`
	History          []*policy.Change `json:"past"`
	WaitingFor       []policy.Blocker `json:"waits,omitempty"`
	RefusedBy        []policy.Blocker `json:"refuse,omitempty"`
	Nodes            int              `json:"nodes"`
	ActiveNodes      int              `json:"in"`
	IsLeader         bool             `json:"leads"` // this instance
	HeartbeatBatches uint64           `json:"beats"`
	BatchBytes       uint64           `json:"beat_bytes"`
	Level            int              `json:"level"`
	Levels           map[string]int   `json:"levels,omitempty"` // feature levels that members reported here
	Generation       uint64           `json:"generation"`
	// StateLoss is the proof that nodes know of state that the group lacks; the group then grants no leases.
	StateLoss string `json:"lost,omitempty"`
	// UnknownLeasesMS is the time for which nodes may still hold leases of the previous generation that this one does
	// not know.
	UnknownLeasesMS uint64 `json:"hush_ms,omitempty"`
}

// ZonesView is the state of all zones as shown to operators: the group's decisions and the leader's evidence.
type ZonesView struct {
	ClockMS      uint64        `json:"clock_ms"` // the group's clock
	Epoch        uint64        `json:"epoch"`
	SettledEpoch uint64        `json:"settled"`
	RetryBudget  int           `json:"retry,omitempty"` // retries per 256 first attempts; 0: no limit
	Rules        api.ZoneRules `json:"rules"`
	Zones        []ZoneView    `json:"zones"`
	IsLeader     bool          `json:"leads"` // this instance
}

// ZoneView is one zone. Only the leader knows the evidence.
type ZoneView struct {
	zones.Zone
	Evidence *zones.View `json:"seen,omitempty"`
}

// copyOf builds a view on the replica's goroutine and returns a deep copy, as the state changes afterwards. It copies
// through JSON.
func copyOf[T any](g *Group, view func() T) (*T, error) {
	type encoded struct {
		raw []byte
		err error
	}
	e, err := callOnReplica(g, g.enqueue, func() encoded {
		raw, err := json.Marshal(view())
		return encoded{raw, err}
	})
	if err == nil {
		err = e.err
	}
	if err != nil {
		return nil, err
	}
	var v T
	return &v, json.Unmarshal(e.raw, &v)
}

// Policy returns a copy of the state of policy changes.
func (g *Group) Policy() (*PolicyView, error) { return copyOf(g, g.policyView) }

func (g *Group) policyView() PolicyView {
	s := g.replica.stateMachine.fleet
	v := PolicyView{
		ClockMS:          s.Fleet.ClockMS,
		DecidedVersion:   s.Policy.DecidedVersion,
		CommittedVersion: s.Policy.CommittedVersion,
		Rules:            s.Policy.ActiveRules(),
		Current:          s.Policy.Current,
		History:          s.Policy.History,
		IsLeader:         g.coordinator.Leading(),
		HeartbeatBatches: g.coordinator.BatchesAppended,
		BatchBytes:       g.coordinator.BatchBytes,
		Level:            g.replica.stateMachine.featureLevel,
		Levels:           g.replica.Levels(),
		Generation:       s.Generation,
		StateLoss:        s.Fleet.LostState,
	}
	if s.Fleet.UnknownLeasesExpireMS > s.Fleet.ClockMS {
		v.UnknownLeasesMS = s.Fleet.UnknownLeasesExpireMS - s.Fleet.ClockMS
	}
	if v.IsLeader {
		v.WaitingFor, v.RefusedBy = s.Policy.Blockers(s.Fleet, g.coordinator.Reports())
	}
	for _, n := range s.Fleet.Nodes() {
		v.Nodes++
		if !n.IsOut() {
			v.ActiveNodes++
		}
	}
	return v
}

// Nodes returns a copy of all nodes.
func (g *Group) Nodes() ([]NodeView, error) {
	return callOnReplica(g, g.enqueue, func() []NodeView {
		views := []NodeView{}
		for _, n := range g.replica.stateMachine.fleet.Fleet.Nodes() {
			views = append(views, g.nodeView(n))
		}
		return views
	})
}

func (g *Group) nodeView(n *membership.Node) NodeView {
	s := g.replica.stateMachine.fleet
	v := NodeView{
		Node:          *n,
		AgeMS:         s.Fleet.ClockMS - n.LastHeartbeatMS,
		MayServeOlder: s.Fleet.MayServeOlder(n, s.Policy.CommittedVersion),
	}
	v.EarlierLeases = append([]membership.Lease(nil), n.EarlierLeases...)
	v.JoinTimesMS = append([]uint64(nil), n.JoinTimesMS...)
	if r := g.coordinator.Reports()(n); r != nil {
		v.Reported = true
		v.ActiveVersion, v.PreparedVersion = r.ActiveVersion, r.PreparedVersion
		v.RefusedVersion, v.RefusalReason = r.RefusedVersion, r.RefusedReason
		v.Fenced = r.Fenced
	}
	return v
}

// Zones returns a copy of the state of all zones.
func (g *Group) Zones() (*ZonesView, error) { return copyOf(g, g.zonesView) }

func (g *Group) zonesView() ZonesView {
	s := g.replica.stateMachine.fleet
	v := ZonesView{
		ClockMS:      s.Fleet.ClockMS,
		Epoch:        s.Zones.Epoch,
		SettledEpoch: s.Zones.SettledEpoch,
		RetryBudget:  s.Zones.RetryBudget,
		Rules:        s.Policy.ActiveRules().Zones,
		IsLeader:     g.coordinator.Leading(),
		Zones:        []ZoneView{},
	}
	position := map[string]int{}
	for _, z := range s.Zones.Zones {
		position[z.Name] = len(v.Zones)
		v.Zones = append(v.Zones, ZoneView{Zone: *z})
	}
	for _, seen := range g.coordinator.ZoneViews() {
		i, known := position[seen.Zone]
		if !known { // no operation on it was ever applied
			i = len(v.Zones)
			inService := zones.Zone{Name: seen.Zone, Phase: zones.InService, Share: api.FullShare}
			v.Zones = append(v.Zones, ZoneView{Zone: inService})
		}
		v.Zones[i].Evidence = seen
	}
	if i, known := position[zones.WholeFleet]; known {
		v.Zones[i].Evidence = g.coordinator.FleetView()
	}
	return v
}

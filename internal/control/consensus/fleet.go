package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Node brings a node's asking before the leader.
func (g *Group) Node(ctx context.Context, a api.HeartbeatRequest) (api.HeartbeatResponse, error) {
	type end struct {
		told api.HeartbeatResponse
		err  error
	}
	got := make(chan end, 1)
	if err := g.enqueue(func() {
		g.leader.Heartbeat(g.replica.stateMachine.fleet, a, func(t api.HeartbeatResponse, err error) { got <- end{t, err} })
	}); err != nil {
		return api.HeartbeatResponse{}, err
	}
	select {
	case e := <-got:
		return e.told, e.err
	case <-g.done:
		return api.HeartbeatResponse{}, ErrStopped
	case <-ctx.Done():
		return api.HeartbeatResponse{}, ErrTimeout
	}
}

// PolicyOp brings an operator's step before the leader and waits until it is applied.
func (g *Group) PolicyOp(ctx context.Context, op policy.Op) (policy.Result, error) {
	type end struct {
		r   policy.Result
		err error
	}
	got := make(chan end, 1)
	if err := g.enqueue(func() {
		g.leader.SubmitPolicy(op, func(r policy.Result, err error) { got <- end{r, err} })
		g.tickLeader(0)
	}); err != nil {
		return policy.Result{}, err
	}
	select {
	case e := <-got:
		return e.r, e.err
	case <-g.done:
		return policy.Result{}, ErrStopped
	case <-ctx.Done():
		return policy.Result{}, ErrTimeout
	}
}

// ZoneOp brings an operator's step before the leader and waits until it is applied.
func (g *Group) ZoneOp(ctx context.Context, op zones.Op) (zones.Result, error) {
	type end struct {
		r   zones.Result
		err error
	}
	got := make(chan end, 1)
	if err := g.enqueue(func() {
		g.leader.SubmitZone(g.replica.stateMachine.fleet, op, func(r zones.Result, err error) { got <- end{r, err} })
		g.tickLeader(0)
	}); err != nil {
		return zones.Result{}, err
	}
	select {
	case e := <-got:
		return e.r, e.err
	case <-g.done:
		return zones.Result{}, ErrStopped
	case <-ctx.Done():
		return zones.Result{}, ErrTimeout
	}
}

// Forget takes a node off the list.
func (g *Group) Forget(ctx context.Context, name string) error {
	err, ended := callOn(g, g.enqueue, func() error {
		if g.replica.stateMachine.fleet.Fleet.Lookup(name) == nil {
			return fmt.Errorf("found no node %.50q", name)
		}
		return g.leader.Forget(name)
	})
	if err = errors.Join(ended, err); err != nil {
		return err
	}
	for {
		there, err := callOn(g, g.enqueue, func() bool { return g.replica.stateMachine.fleet.Fleet.Lookup(name) != nil })
		if err != nil || !there {
			return err
		}
		select {
		case <-g.View().Superseded:
		case <-ctx.Done():
			return ErrTimeout
		}
	}
}

// NodeView is one node for operators.
type NodeView struct {
	membership.Node
	ActiveVersion   uint64 `json:"serves"`
	PreparedVersion uint64 `json:"prepared,omitempty"`
	RefusedVersion  uint64 `json:"refused,omitempty"`
	RefusalReason   string `json:"why,omitempty"`
	Fenced          string `json:"fenced,omitempty"`
	Reported        bool   `json:"heard"` // by the leader that leads now
	AgeMS           uint64 `json:"age_ms"`
	MayServeOlder   bool   `json:"may_serve_older"` // than the version in force
}

// PolicyView is the policy's state for operators.
type PolicyView struct {
	ClockMS          uint64           `json:"clock_ms"`
	DecidedVersion   uint64           `json:"decided"`
	CommittedVersion uint64           `json:"in_force"`
	Rules            policy.Rules     `json:"rules"`
	Current          *policy.Change   `json:"now,omitempty"`
	History          []*policy.Change `json:"past"`
	WaitingFor       []policy.Blocker `json:"waits,omitempty"`
	RefusedBy        []policy.Blocker `json:"refuse,omitempty"`
	Nodes            int              `json:"nodes"`
	ActiveNodes      int              `json:"in"`
	IsLeader         bool             `json:"leads"` // this instance: what nodes reported is known to the leader alone
	Batches          uint64           `json:"beats"`
	BatchBytes       uint64           `json:"beat_bytes"`
	Level            int              `json:"level"`
	Levels           map[string]int   `json:"levels,omitempty"` // of members, as they told this instance
	Generation       uint64           `json:"generation"`
	StateLoss        string           `json:"lost,omitempty"`    // nodes know of state that the group does not have: it grants nothing
	QuietMS          uint64           `json:"hush_ms,omitempty"` // leases of the generation before may be acted on for so long
}

// DisabledZoneGuards of a fleet for operators: what the group decided, what the leader sees, and what they ask of it.

// ZonesView is all of it.
type ZonesView struct {
	ClockMS      uint64        `json:"clock_ms"`
	Epoch        uint64        `json:"epoch"`
	SettledEpoch uint64        `json:"settled"`
	RetryQuota   int           `json:"retry,omitempty"` // of 256 first tries; 0: no bound
	Rules        api.ZoneRules `json:"rules"`
	Zones        []ZoneView    `json:"zones"`
	IsLeader     bool          `json:"leads"`
}

// ZoneView is one zone.
type ZoneView struct {
	zones.Zone
	Evidence *zones.View `json:"seen,omitempty"` // by the leader
}

// Policy gives the state of changes, copied.
func (g *Group) Policy() (*PolicyView, error) {
	v, err := callOn(g, g.enqueue, func() []byte {
		p := g.replica.stateMachine.fleet
		w := PolicyView{ClockMS: p.Fleet.ClockMS, DecidedVersion: p.Policy.DecidedVersion, CommittedVersion: p.Policy.CommittedVersion, Rules: p.Policy.ActiveRules(),
			Current: p.Policy.Current, History: p.Policy.History, IsLeader: g.leader.Leading(), Batches: g.leader.BatchesSent,
			BatchBytes: g.leader.BatchBytes, Level: g.replica.stateMachine.level, Levels: g.replica.Levels(), Generation: p.Generation, StateLoss: p.Fleet.LostState}
		if p.Fleet.UnknownLeasesExpireMS > p.Fleet.ClockMS {
			w.QuietMS = p.Fleet.UnknownLeasesExpireMS - p.Fleet.ClockMS
		}
		if w.IsLeader {
			w.WaitingFor, w.RefusedBy = p.Policy.Blockers(p.Fleet, g.leader.Reports())
		}
		for _, n := range p.Fleet.Nodes() {
			w.Nodes++
			if n.OutReason == "" {
				w.ActiveNodes++
			}
		}
		raw, _ := json.Marshal(&w) // the copy: what it shows goes on changing
		return raw
	})
	if err != nil {
		return nil, err
	}
	var w PolicyView
	return &w, json.Unmarshal(v, &w)
}

// Nodes returns a copy of all nodes.
func (g *Group) Nodes() ([]NodeView, error) {
	return callOn(g, g.enqueue, func() []NodeView {
		p := g.replica.stateMachine.fleet
		out := []NodeView{}
		for _, n := range p.Fleet.Nodes() {
			one := NodeView{Node: *n, AgeMS: p.Fleet.ClockMS - n.LastHeartbeatMS, MayServeOlder: p.Fleet.MayServeOlder(n, p.Policy.CommittedVersion)}
			one.EarlierLeases = append([]membership.Lease(nil), n.EarlierLeases...)
			one.JoinTimesMS = append([]uint64(nil), n.JoinTimesMS...)
			if r := g.leader.Reports()(n); r != nil {
				one.Reported, one.ActiveVersion, one.PreparedVersion, one.RefusedVersion, one.RefusalReason, one.Fenced = true, r.ActiveVersion, r.PreparedVersion, r.RefusedVersion,
					r.RefusedReason, r.Fenced
			}
			out = append(out, one)
		}
		return out
	})
}

// Zones returns a copy of the state of all zones.
func (g *Group) Zones() (*ZonesView, error) {
	raw, err := callOn(g, g.enqueue, func() []byte {
		p := g.replica.stateMachine.fleet
		v := ZonesView{ClockMS: p.Fleet.ClockMS, Epoch: p.Zones.Epoch, SettledEpoch: p.Zones.SettledEpoch, RetryQuota: p.Zones.RetryBudget,
			Rules: p.Policy.ActiveRules().Zones, IsLeader: g.leader.Leading(), Zones: []ZoneView{}}
		at := map[string]int{}
		for _, z := range p.Zones.Zones {
			at[z.Name] = len(v.Zones)
			v.Zones = append(v.Zones, ZoneView{Zone: *z})
		}
		for _, o := range g.leader.ZoneViews() {
			i, known := at[o.Zone]
			if !known {
				i = len(v.Zones)
				v.Zones = append(v.Zones, ZoneView{Zone: zones.Zone{Name: o.Zone, Phase: zones.InService, Share: api.FullShare}})
			}
			v.Zones[i].Evidence = o
		}
		if i, known := at[zones.WholeFleet]; known {
			v.Zones[i].Evidence = g.leader.FleetView()
		}
		raw, _ := json.Marshal(&v) // the copy: what it shows goes on changing
		return raw
	})
	if err != nil {
		return nil, err
	}
	var v ZonesView
	return &v, json.Unmarshal(raw, &v)
}

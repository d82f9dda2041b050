package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
)

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

// logZoneChange logs what an operator should know of a zone.
func (g *Group) logZoneChange(e zones.Result) {
	z := g.replica.stateMachine.fleet.Zones.Find(e.Zone)
	switch {
	case e.Err != "":
		g.log.WithFields(logrus.Fields{"zone": e.Zone, "step": e.Kind}).Debug(e.Err)
	case z != nil && e.Phase != "" && len(z.Events) > 0:
		last := z.Events[len(z.Events)-1]
		g.log.WithFields(logrus.Fields{"zone": z.Name, "step": z.Phase, "share": z.Share, "epoch": e.Epoch,
			logging.Reason: last.Text, "op": e.Kind}).Info("change of a zone")
	case e.Kind == zones.OpSettle:
		g.log.WithField("epoch", e.Epoch).Info("epoch of zones settled")
	}
}

// ---- HTTP.

func (a *API) getZones(w http.ResponseWriter, r *http.Request) {
	v, err := a.group.Zones()
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.writeSized(w, v)
}

func (a *API) postZones(w http.ResponseWriter, r *http.Request) {
	var op zones.Op
	err := readBody(w, r, &op)
	switch {
	case err != nil:
	case a.group.View().Level < LevelZones:
		err = ErrFeatureLevel
	default:
		err = op.Validate()
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	// What only the rules may say is left out: an operator's share gets its ceiling from what the zone bore.
	op.RateLimit, op.ConnectRateLimit, op.PriorityCutoff, op.Capacities, op.ValueOfStaying, op.ValueOfEvacuating, op.Epoch = 0, 0, 0, nil, 0, 0, 0
	if op.Kind == zones.OpEvacuate {
		op.Cause = "operator"
		if op.DrillMS > 0 {
			op.Cause = "drill"
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	res, err := a.group.ZoneOp(ctx, op)
	if err != nil {
		a.failWith(w, err)
		return
	}
	if res.Err != "" {
		a.fail(w, http.StatusConflict, errors.New(res.Err))
		return
	}
	a.writeSized(w, res)
}

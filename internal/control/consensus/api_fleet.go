package consensus

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Operations of a fleet as clients of the group: their askings go to the leader's steward on the replica's goroutine, and
// what it adds to the log is proposed like any entry. An instance that does not lead hands what it is asked on to the
// one that does, once.

// Bounds of the nodes' side.
const (
	maxNodeBodyBytes = 4 << 10
	heartbeatTimeout = 1400 * time.Millisecond // a node gives up after 1.5 s and asks elsewhere
	headerForwarded  = "Umberwinch-Relayed"
	forwardTimeout   = 1300 * time.Millisecond
	maxTicksPerStep  = 4 // ticks that count at most for one look at the clock, whatever went by
)

// ---- HTTP.

func (a *API) nodesRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/nodes", a.onLeader(a.postHeartbeat))
	mux.HandleFunc("GET /v1/nodes", a.onLeader(a.getNodes))
	mux.HandleFunc("POST /v1/nodes/forget", a.requireToken(a.onLeader(a.postForget)))
	mux.HandleFunc("GET /v1/policy", a.onLeader(a.getPolicy))
	mux.HandleFunc("GET /v1/zones", a.onLeader(a.getZones))
	mux.HandleFunc("POST /v1/zones", a.requireToken(a.onLeader(a.postZones)))
	mux.HandleFunc("POST /v1/policy", a.requireToken(a.onLeader(a.postPolicy)))
}

func (a *API) postHeartbeat(w http.ResponseWriter, r *http.Request) {
	var ask api.HeartbeatRequest
	if err := readBody(w, r, &ask); err != nil {
		a.failWith(w, err)
		return
	}
	if a.group.View().Level < LevelFleet {
		a.fail(w, http.StatusServiceUnavailable, ErrFeatureLevel)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	t, err := a.group.Node(ctx, ask)
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.writeSized(w, t)
}

func (a *API) getNodes(w http.ResponseWriter, r *http.Request) {
	all, err := a.group.Nodes()
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.writeSized(w, all)
}

func (a *API) postForget(w http.ResponseWriter, r *http.Request) {
	var name struct {
		Name string `json:"name"`
	}
	err := readBody(w, r, &name)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		err = a.group.Forget(ctx, name.Name)
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.writeSized(w, map[string]string{"forgotten": name.Name})
}

func (a *API) getPolicy(w http.ResponseWriter, r *http.Request) {
	v, err := a.group.Policy()
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.writeSized(w, v)
}

// postPolicy takes an operator's propose or off.
func (a *API) postPolicy(w http.ResponseWriter, r *http.Request) {
	var op policy.Op
	err := readBody(w, r, &op)
	switch {
	case err != nil:
	case a.group.View().Level < LevelFleet:
		err = ErrFeatureLevel
	case op.Kind == "propose" && op.Proposal != nil:
		err = op.Proposal.Validate()
	case op.Kind == "off" && op.Author != "" && len(op.Author) <= maxNameBytes && len(op.Reason) <= maxReasonBytes:
	default:
		err = fmt.Errorf("op: found %.20q, expected propose with a proposal, or off with by and why", op.Kind)
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	res, err := a.group.PolicyOp(ctx, op)
	if err != nil {
		a.failWith(w, err)
		return
	}
	if res.Rejection != "" {
		a.fail(w, http.StatusConflict, errors.New(res.Rejection))
		return
	}
	a.writeSized(w, res)
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

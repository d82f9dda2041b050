package consensus

import (
	"context"
	"net/http"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

const (
	// maxNodeBodyBytes bounds the body of a heartbeat or an operation.
	maxNodeBodyBytes = 4 << 10
	// heartbeatTimeout is less than the longest response time that a node waits for (heartbeatTimeout of
	// internal/node/agent), so that the node gets an error response first.
	heartbeatTimeout = 1400 * time.Millisecond
)

// fleetRoutes adds the paths that only the leader serves.
func (a *API) fleetRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/nodes", a.onLeader(a.postHeartbeat))
	mux.HandleFunc("GET /v1/nodes", a.onLeader(a.getNodes))
	mux.HandleFunc("POST /v1/nodes/forget", a.requireToken(a.onLeader(a.postForget)))
	mux.HandleFunc("GET /v1/policy", a.onLeader(a.getPolicy))
	mux.HandleFunc("POST /v1/policy", a.requireToken(a.onLeader(a.postPolicy)))
	mux.HandleFunc("GET /v1/zones", a.onLeader(a.getZones))
	mux.HandleFunc("POST /v1/zones", a.requireToken(a.onLeader(a.postZones)))
}

func (a *API) postHeartbeat(w http.ResponseWriter, r *http.Request) {
	var request api.HeartbeatRequest
	err := readBody(w, r, &request)
	if err == nil && a.group.View().Level < LevelFleet {
		err = ErrFeatureLevel
	}
	if err != nil {
		a.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), heartbeatTimeout)
	defer cancel()
	response, err := a.group.Heartbeat(ctx, request)
	a.writeResult(w, response, err)
}

func (a *API) getNodes(w http.ResponseWriter, _ *http.Request) {
	nodes, err := a.group.Nodes()
	a.writeResult(w, nodes, err)
}

func (a *API) postForget(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Name string `json:"name"`
	}
	err := readBody(w, r, &request)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		err = a.group.Forget(ctx, request.Name)
	}
	a.writeResult(w, map[string]string{"forgotten": request.Name}, err)
}

func (a *API) getPolicy(w http.ResponseWriter, _ *http.Request) {
	view, err := a.group.Policy()
	a.writeResult(w, view, err)
}

// postPolicy handles an operator's proposal or abort of a policy change.
func (a *API) postPolicy(w http.ResponseWriter, r *http.Request) {
	var op policy.Op
	err := readBody(w, r, &op)
	switch {
	case err != nil:
	case a.group.View().Level < LevelFleet:
		err = ErrFeatureLevel
	default:
		err = op.Validate()
	}
	if err != nil {
		a.writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := a.group.PolicyOp(ctx, op)
	if err == nil && result.Rejected() {
		err = &RejectedError{result.Rejection}
	}
	a.writeResult(w, result, err)
}

func (a *API) getZones(w http.ResponseWriter, _ *http.Request) {
	view, err := a.group.Zones()
	a.writeResult(w, view, err)
}

// postZones handles an operator's operation on a zone.
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
		a.writeError(w, err)
		return
	}
	op.ClearRulesFields()
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	result, err := a.group.ZoneOp(ctx, op)
	if err == nil && result.Rejected() {
		err = &RejectedError{result.Err}
	}
	a.writeResult(w, result, err)
}

package consensus

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
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

// ErrNoLeader says that nobody leads as far as this instance knows.
var ErrNoLeader = errors.New("no leader is known")

// ErrFeatureLevel says that the group does not yet do what was asked.
var ErrFeatureLevel = errors.New("not all instances of the group know fleets yet; see control status for who is on an older build")

// steer passes time on to the steward and proposes what it has for the log.
func (g *Group) tickLeader(ms uint64) {
	r := g.replica
	s := g.leader
	b := r.node.BasicStatus()
	// A leader acts once it has applied an entry of its own term: until then its state may lack what was told before.
	leads := b.Lead == r.ID() && r.stateMachine.term == b.HardState.GetTerm() && r.stateMachine.level >= LevelFleet &&
		r.Barred() == ""
	s.SetRole(r.stateMachine.cluster, leads, b.HardState.GetTerm())
	if lost := r.stateMachine.fleet.Fleet.LostState; lost != "" && !g.stateLossLogged { // also after a restart: no beat tells of it any more
		g.stateLossLogged = true
		g.log.WithField(logging.Reason, lost).Error("the group has lost state that nodes know of, and grants nothing: see umberctl " +
			"control recover")
	}
	s.Level = r.stateMachine.level
	for _, e := range s.Tick(r.stateMachine.fleet, ms) {
		if err := r.ProposeEntry(e.Kind, e.Body); err != nil {
			g.log.WithField(logging.Error, err).Debug("an entry about nodes was not proposed")
		}
	}
}

// passed gives the ms since it was last asked. A standstill of this process counts for little: nobody was heard in it,
// so nobody may be held to it.
func (g *Group) elapsedMS() uint64 {
	now := time.Now()
	d := now.Sub(g.leaderTickedAt)
	ms := d.Milliseconds()
	g.leaderTickedAt = g.leaderTickedAt.Add(time.Duration(ms) * time.Millisecond)
	return uint64(min(ms, (maxTicksPerStep * g.control.Tick).Milliseconds()))
}

// told tells the steward the ends of entries about nodes, and the log what an operator should know.
func (g *Group) operationsApplied(ends []any) {
	for _, e := range ends {
		switch e := e.(type) {
		case policy.Result:
			if c := g.replica.stateMachine.fleet.Policy.Find(e.ChangeNumber); c != nil && e.Rejection == "" {
				f := g.log.WithFields(logrus.Fields{"change": c.Number, logging.PolicyVersion: c.Version, "step": c.Step,
					"from": c.PreviousVersion, "exclusive": c.Proposal.Exclusive})
				if c.AbortReason != "" {
					f = f.WithField(logging.Reason, c.AbortReason)
				}
				f.Info("change of policy")
			} else if e.Rejection != "" {
				g.log.WithFields(logrus.Fields{"change": e.ChangeNumber, "step": e.Kind}).Debug(e.Rejection)
			}
		case zones.Result:
			g.logZoneChange(e)
		case coordinator.BatchApplied:
			if e.FleetRestarted {
				g.logZoneChange(zones.Result{Kind: "began", Zone: zones.WholeFleet, Phase: zones.Ramping, Epoch: g.replica.stateMachine.fleet.Zones.Epoch})
			}
			if len(e.CountedOut) > 0 {
				g.log.WithField("nodes", policy.Summarize(e.CountedOut)).Warn("counted out: silent for a lease's time")
			}
		}
		g.leader.EntryApplied(g.replica.stateMachine.fleet, e)
	}
}

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

// led has an asking served here if this instance leads, and handed on to the one that does otherwise.
func (a *API) onLeader(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := a.group.View()
		if v.Role == "leader" || r.Header.Get(headerForwarded) != "" {
			next(w, r)
			return
		}
		to := ""
		for _, m := range v.Members {
			if m.ID == v.Leader && m.ID != v.ID {
				to = m.Listen
			}
		}
		if to == "" {
			a.fail(w, http.StatusServiceUnavailable, ErrNoLeader)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNodeBodyBytes))
		if err != nil {
			a.failWith(w, fmt.Errorf("body: %w, expected at most %d bytes", err, maxNodeBodyBytes))
			return
		}
		within := forwardTimeout
		if r.URL.Path != "/v1/nodes" {
			within = answerTimeout
		}
		ctx, cancel := context.WithTimeout(r.Context(), within)
		defer cancel()
		on, err := http.NewRequestWithContext(ctx, r.Method, a.group.trust.scheme()+"://"+to+r.URL.RequestURI(),
			bytes.NewReader(body))
		if err != nil {
			a.failWith(w, err)
			return
		}
		on.Header.Set(headerForwarded, v.Name)
		on.Header.Set("Content-Type", "application/json")
		if t := r.Header.Get("Authorization"); t != "" {
			on.Header.Set("Authorization", t)
		}
		res, err := a.forwarder.Do(on)
		if err != nil {
			a.fail(w, http.StatusServiceUnavailable, fmt.Errorf("the leader at %s: %w", to, err))
			return
		}
		defer res.Body.Close()
		raw, err := io.ReadAll(res.Body)
		if err != nil {
			a.fail(w, http.StatusServiceUnavailable, fmt.Errorf("the leader at %s: %w", to, err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		w.WriteHeader(res.StatusCode)
		w.Write(raw)
	}
}

// whole answers with a length ahead, as nodes read no chunks.
func (a *API) writeSized(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		a.fail(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)+1))
	w.Write(append(raw, '\n'))
}

func readBody[T any](w http.ResponseWriter, r *http.Request, into *T) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxNodeBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
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

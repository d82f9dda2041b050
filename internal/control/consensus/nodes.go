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

// Nodes of a fleet as clients of the group: their askings go to the leader's steward on the replica's goroutine, and
// what it adds to the log is proposed like any entry. An instance that does not lead hands what it is asked on to the
// one that does, once.

// Bounds of the nodes' side.
const (
	maxAsk       = 4 << 10
	nodeWithin   = 1400 * time.Millisecond // a node gives up after 1.5 s and asks elsewhere
	headRelayed  = "Umberwinch-Relayed"
	relayWithin  = 1300 * time.Millisecond
	longestSpans = 4 // ticks that count at most for one look at the clock, whatever went by
)

// ErrNoLeader says that nobody leads as far as this instance knows.
var ErrNoLeader = errors.New("no leader is known")

// ErrLevel says that the group does not yet do what was asked.
var ErrLevel = errors.New("not all instances of the group know fleets yet; see control status for who is on an older build")

// steer passes time on to the steward and proposes what it has for the log.
func (g *Group) steer(ms uint64) {
	r := g.rep
	s := g.steward
	b := r.node.BasicStatus()
	// A leader acts once it has applied an entry of its own term: until then its state may lack what was told before.
	leads := b.Lead == r.ID() && r.machine.term == b.HardState.GetTerm() && r.machine.level >= LevelFleet &&
		r.Barred() == ""
	s.SetRole(r.machine.cluster, leads, b.HardState.GetTerm())
	if lost := r.machine.nodes.Fleet.LostState; lost != "" && !g.toldLost { // also after a restart: no beat tells of it any more
		g.toldLost = true
		g.log.WithField(logging.Reason, lost).Error("the group has lost state that nodes know of, and grants nothing: see umberctl " +
			"control recover")
	}
	s.Level = r.machine.level
	for _, e := range s.Tick(r.machine.nodes, ms) {
		if err := r.ProposeEntry(e.Kind, e.Body); err != nil {
			g.log.WithField(logging.Error, err).Debug("an entry about nodes was not proposed")
		}
	}
}

// passed gives the ms since it was last asked. A standstill of this process counts for little: nobody was heard in it,
// so nobody may be held to it.
func (g *Group) passed() uint64 {
	now := time.Now()
	d := now.Sub(g.steerAt)
	ms := d.Milliseconds()
	g.steerAt = g.steerAt.Add(time.Duration(ms) * time.Millisecond)
	return uint64(min(ms, (longestSpans * g.control.Tick).Milliseconds()))
}

// told tells the steward the ends of entries about nodes, and the log what an operator should know.
func (g *Group) told(ends []any) {
	for _, e := range ends {
		switch e := e.(type) {
		case policy.Result:
			if c := g.rep.machine.nodes.Policy.Find(e.ChangeNumber); c != nil && e.Rejection == "" {
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
			g.zoneTold(e)
		case coordinator.BatchApplied:
			if e.FleetRestarted {
				g.zoneTold(zones.Result{Kind: "began", Zone: zones.WholeFleet, Phase: zones.Ramping, Epoch: g.rep.machine.nodes.Zones.Epoch})
			}
			if len(e.CountedOut) > 0 {
				g.log.WithField("nodes", policy.Summarize(e.CountedOut)).Warn("counted out: silent for a lease's time")
			}
		}
		g.steward.EntryApplied(g.rep.machine.nodes, e)
	}
}

// Node brings a node's asking before the leader.
func (g *Group) Node(ctx context.Context, a api.HeartbeatRequest) (api.HeartbeatResponse, error) {
	type end struct {
		told api.HeartbeatResponse
		err  error
	}
	got := make(chan end, 1)
	if err := g.ask(func() {
		g.steward.Heartbeat(g.rep.machine.nodes, a, func(t api.HeartbeatResponse, err error) { got <- end{t, err} })
	}); err != nil {
		return api.HeartbeatResponse{}, err
	}
	select {
	case e := <-got:
		return e.told, e.err
	case <-g.done:
		return api.HeartbeatResponse{}, ErrGone
	case <-ctx.Done():
		return api.HeartbeatResponse{}, ErrLate
	}
}

// PolicyOp brings an operator's step before the leader and waits until it is applied.
func (g *Group) PolicyOp(ctx context.Context, op policy.Op) (policy.Result, error) {
	type end struct {
		r   policy.Result
		err error
	}
	got := make(chan end, 1)
	if err := g.ask(func() {
		g.steward.SubmitPolicy(op, func(r policy.Result, err error) { got <- end{r, err} })
		g.steer(0)
	}); err != nil {
		return policy.Result{}, err
	}
	select {
	case e := <-got:
		return e.r, e.err
	case <-g.done:
		return policy.Result{}, ErrGone
	case <-ctx.Done():
		return policy.Result{}, ErrLate
	}
}

// NodeView is one node for operators.
type NodeView struct {
	membership.Node
	Serves   uint64 `json:"serves"`
	Prepared uint64 `json:"prepared,omitempty"`
	Refused  uint64 `json:"refused,omitempty"`
	Why      string `json:"why,omitempty"`
	Fenced   string `json:"fenced,omitempty"`
	Heard    bool   `json:"heard"` // by the leader that leads now
	AgeMS    uint64 `json:"age_ms"`
	May      bool   `json:"may_serve_older"` // than the version in force
}

// PolicyView is the policy's state for operators.
type PolicyView struct {
	Clock  uint64           `json:"clock_ms"`
	Need   uint64           `json:"decided"`
	Force  uint64           `json:"in_force"`
	Rules  policy.Rules     `json:"rules"`
	Now    *policy.Change   `json:"now,omitempty"`
	Past   []*policy.Change `json:"past"`
	Waits  []policy.Blocker `json:"waits,omitempty"`
	Says   []policy.Blocker `json:"refuse,omitempty"`
	Nodes  int              `json:"nodes"`
	In     int              `json:"in"`
	Leads  bool             `json:"leads"` // this instance: what nodes reported is known to the leader alone
	Beats  uint64           `json:"beats"`
	Bytes  uint64           `json:"beat_bytes"`
	Level  int              `json:"level"`
	Levels map[string]int   `json:"levels,omitempty"` // of members, as they told this instance
	Gen    uint64           `json:"generation"`
	Lost   string           `json:"lost,omitempty"`    // nodes know of state that the group does not have: it grants nothing
	Hush   uint64           `json:"hush_ms,omitempty"` // leases of the generation before may be acted on for so long
}

// Policy gives the state of changes, copied.
func (g *Group) Policy() (*PolicyView, error) {
	v, err := answerOf(g, g.ask, func() []byte {
		p := g.rep.machine.nodes
		w := PolicyView{Clock: p.Fleet.ClockMS, Need: p.Policy.DecidedVersion, Force: p.Policy.CommittedVersion, Rules: p.Policy.ActiveRules(),
			Now: p.Policy.Current, Past: p.Policy.History, Leads: g.steward.Leading(), Beats: g.steward.BatchesSent,
			Bytes: g.steward.BatchBytes, Level: g.rep.machine.level, Levels: g.rep.Levels(), Gen: p.Generation, Lost: p.Fleet.LostState}
		if p.Fleet.UnknownLeasesExpireMS > p.Fleet.ClockMS {
			w.Hush = p.Fleet.UnknownLeasesExpireMS - p.Fleet.ClockMS
		}
		if w.Leads {
			w.Waits, w.Says = p.Policy.Blockers(p.Fleet, g.steward.Reports())
		}
		for _, n := range p.Fleet.Nodes() {
			w.Nodes++
			if n.OutReason == "" {
				w.In++
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

// Nodes gives all nodes, copied.
func (g *Group) Nodes() ([]NodeView, error) {
	return answerOf(g, g.ask, func() []NodeView {
		p := g.rep.machine.nodes
		out := []NodeView{}
		for _, n := range p.Fleet.Nodes() {
			one := NodeView{Node: *n, AgeMS: p.Fleet.ClockMS - n.LastHeartbeatMS, May: p.Fleet.MayServeOlder(n, p.Policy.CommittedVersion)}
			one.EarlierLeases = append([]membership.Lease(nil), n.EarlierLeases...)
			one.JoinTimesMS = append([]uint64(nil), n.JoinTimesMS...)
			if r := g.steward.Reports()(n); r != nil {
				one.Heard, one.Serves, one.Prepared, one.Refused, one.Why, one.Fenced = true, r.ActiveVersion, r.PreparedVersion, r.RefusedVersion,
					r.RefusedReason, r.Fenced
			}
			out = append(out, one)
		}
		return out
	})
}

// Forget takes a node off the list.
func (g *Group) Forget(ctx context.Context, name string) error {
	err, ended := answerOf(g, g.ask, func() error {
		if g.rep.machine.nodes.Fleet.Lookup(name) == nil {
			return fmt.Errorf("found no node %.50q", name)
		}
		return g.steward.Forget(name)
	})
	if err = errors.Join(ended, err); err != nil {
		return err
	}
	for {
		there, err := answerOf(g, g.ask, func() bool { return g.rep.machine.nodes.Fleet.Lookup(name) != nil })
		if err != nil || !there {
			return err
		}
		select {
		case <-g.View().Next:
		case <-ctx.Done():
			return ErrLate
		}
	}
}

// ---- HTTP.

func (a *API) nodesRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/nodes", a.led(a.node))
	mux.HandleFunc("GET /v1/nodes", a.led(a.nodes))
	mux.HandleFunc("POST /v1/nodes/forget", a.mayChange(a.led(a.forget)))
	mux.HandleFunc("GET /v1/policy", a.led(a.policy))
	mux.HandleFunc("GET /v1/zones", a.led(a.zones))
	mux.HandleFunc("POST /v1/zones", a.mayChange(a.led(a.zoneOp)))
	mux.HandleFunc("POST /v1/policy", a.mayChange(a.led(a.policyOp)))
}

// led has an asking served here if this instance leads, and handed on to the one that does otherwise.
func (a *API) led(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := a.group.View()
		if v.Role == "leader" || r.Header.Get(headRelayed) != "" {
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
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAsk))
		if err != nil {
			a.failed(w, fmt.Errorf("body: %w, expected at most %d bytes", err, maxAsk))
			return
		}
		within := relayWithin
		if r.URL.Path != "/v1/nodes" {
			within = answerWithin
		}
		ctx, cancel := context.WithTimeout(r.Context(), within)
		defer cancel()
		on, err := http.NewRequestWithContext(ctx, r.Method, a.group.trust.scheme()+"://"+to+r.URL.RequestURI(),
			bytes.NewReader(body))
		if err != nil {
			a.failed(w, err)
			return
		}
		on.Header.Set(headRelayed, v.Name)
		on.Header.Set("Content-Type", "application/json")
		if t := r.Header.Get("Authorization"); t != "" {
			on.Header.Set("Authorization", t)
		}
		res, err := a.relay.Do(on)
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
func (a *API) whole(w http.ResponseWriter, v any) {
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
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAsk))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func (a *API) node(w http.ResponseWriter, r *http.Request) {
	var ask api.HeartbeatRequest
	if err := readBody(w, r, &ask); err != nil {
		a.failed(w, err)
		return
	}
	if a.group.View().Level < LevelFleet {
		a.fail(w, http.StatusServiceUnavailable, ErrLevel)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), nodeWithin)
	defer cancel()
	t, err := a.group.Node(ctx, ask)
	if err != nil {
		a.failed(w, err)
		return
	}
	a.whole(w, t)
}

func (a *API) nodes(w http.ResponseWriter, r *http.Request) {
	all, err := a.group.Nodes()
	if err != nil {
		a.failed(w, err)
		return
	}
	a.whole(w, all)
}

func (a *API) forget(w http.ResponseWriter, r *http.Request) {
	var name struct {
		Name string `json:"name"`
	}
	err := readBody(w, r, &name)
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
		defer cancel()
		err = a.group.Forget(ctx, name.Name)
	}
	if err != nil {
		a.failed(w, err)
		return
	}
	a.whole(w, map[string]string{"forgotten": name.Name})
}

func (a *API) policy(w http.ResponseWriter, r *http.Request) {
	v, err := a.group.Policy()
	if err != nil {
		a.failed(w, err)
		return
	}
	a.whole(w, v)
}

// policyOp takes an operator's propose or off.
func (a *API) policyOp(w http.ResponseWriter, r *http.Request) {
	var op policy.Op
	err := readBody(w, r, &op)
	switch {
	case err != nil:
	case a.group.View().Level < LevelFleet:
		err = ErrLevel
	case op.Kind == "propose" && op.Proposal != nil:
		err = op.Proposal.Validate()
	case op.Kind == "off" && op.Author != "" && len(op.Author) <= maxWord && len(op.Reason) <= maxReason:
	default:
		err = fmt.Errorf("op: found %.20q, expected propose with a proposal, or off with by and why", op.Kind)
	}
	if err != nil {
		a.failed(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	res, err := a.group.PolicyOp(ctx, op)
	if err != nil {
		a.failed(w, err)
		return
	}
	if res.Rejection != "" {
		a.fail(w, http.StatusConflict, errors.New(res.Rejection))
		return
	}
	a.whole(w, res)
}

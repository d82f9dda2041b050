package harness

// This file has the control service's requests for a fleet of processes, and waits for expected states.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/policy"
)

// sleep waits for d, or until the fleet's context ends.
func (r *FleetProcesses) sleep(d time.Duration) { sleepContext(r.ctx, d) }

func (r *FleetProcesses) await(within time.Duration, condition func() error) error {
	return awaitUntil(r.ctx, within, 20*time.Millisecond, condition)
}

// requestAny sends a request to the instances in turn until one responds without a server error.
func (r *FleetProcesses) requestAny(method, path string, in, out any) (int, error) {
	var lastErr error
	for _, p := range r.group.instances {
		ctx, cancel := context.WithTimeout(r.ctx, 2*time.Second)
		code, err := r.group.doRequest(ctx, method, p.listen, path, in, out)
		cancel()
		if err == nil {
			return code, nil
		}
		lastErr = err
	}
	return 0, lastErr
}

// Policy returns the policy status that the leader reports.
func (r *FleetProcesses) Policy() (*consensus.PolicyView, error) {
	var v consensus.PolicyView
	if _, err := r.requestAny(http.MethodGet, "/v1/policy", nil, &v); err != nil {
		return nil, err
	}
	if !v.IsLeader {
		return nil, errors.New("no leader answered")
	}
	return &v, nil
}

// Nodes returns the leader's view of the nodes, by name.
func (r *FleetProcesses) Nodes() (map[string]consensus.NodeView, error) {
	var all []consensus.NodeView
	if _, err := r.requestAny(http.MethodGet, "/v1/nodes", nil, &all); err != nil {
		return nil, err
	}
	out := map[string]consensus.NodeView{}
	for _, n := range all {
		out[n.Name] = n
	}
	return out, nil
}

// AwaitAllServing waits until every running node serves under a version and is ready in the endpoint list.
func (r *FleetProcesses) AwaitAllServing(version uint64, within time.Duration) error {
	return r.await(within, func() error {
		all, err := r.Nodes()
		if err != nil {
			return err
		}
		for _, n := range r.nodes {
			if !n.isUp() {
				continue
			}
			v, ok := all[n.name]
			switch {
			case !ok || v.OutReason != "" || !v.Reported:
				return fmt.Errorf("node %s is not an active member: out for %q", n.name, v.OutReason)
			case v.Fenced != "" || v.ActiveVersion != version:
				return fmt.Errorf("node %s: active version %d, fenced %q, want version %d and not fenced", n.name,
					v.ActiveVersion, v.Fenced, version)
			case !r.readiness.isReady(n.name):
				return fmt.Errorf("node %s is not ready in the endpoint list", n.name)
			}
		}
		return nil
	})
}

// PutVersion puts a text as the group's next version. It retries on a conflict and while no leader responds.
func (r *FleetProcesses) PutVersion(text string) (uint64, error) {
	r.lastOpNumber++
	var result consensus.PutResult
	err := r.await(10*time.Second, func() error {
		var status consensus.Report
		if _, err := r.requestAny(http.MethodGet, "/v1/status", nil, &status); err != nil {
			return err
		}
		put := consensus.Put{Session: fmt.Sprintf("rig-%d-%d", r.Seed, r.lastOpNumber), Seq: 1, Base: status.Version,
			Author: "lab", Text: text}
		_, err := r.requestAny(http.MethodPut, "/v1/config", put, &result)
		if err == nil && result.Outcome == consensus.PutConflict {
			r.lastOpNumber++
			err = fmt.Errorf("%s", result.Reason)
		}
		return err
	})
	if err == nil && result.Outcome != consensus.PutCommitted {
		err = fmt.Errorf("put: outcome %s (%s), want %s", result.Outcome, result.Reason, consensus.PutCommitted)
	}
	return result.Version, err
}

// Propose puts a text and proposes it. It returns the change's number and the version.
func (r *FleetProcesses) Propose(text string, p policy.Proposal) (number, version uint64, err error) {
	if version, err = r.PutVersion(text); err != nil {
		return 0, 0, err
	}
	p.Version, p.Author, p.IdempotencyKey = version, "lab", fmt.Sprintf("rig-%d-%08d", r.Seed, version)
	if p.PrepareWithinMS == 0 {
		p.PrepareWithinMS = 15_000
	}
	err = r.await(10*time.Second, func() error {
		var res struct {
			policy.Result
			Error string `json:"error"`
		}
		code, err := r.requestAny(http.MethodPost, "/v1/policy", policy.Op{Kind: policy.OpPropose, Proposal: &p}, &res)
		if err == nil && code != http.StatusOK {
			err = errors.New(res.Error)
		}
		number = res.ChangeNumber
		return err
	})
	return number, version, err
}

// AwaitStep waits until a change is at one of the given steps.
func (r *FleetProcesses) AwaitStep(number uint64, within time.Duration, steps ...policy.Step) (*policy.Change, error) {
	var c *policy.Change
	err := r.await(within, func() error {
		v, err := r.Policy()
		if err != nil {
			return err
		}
		c = nil
		for _, change := range append(v.History, v.Current) {
			if change != nil && change.Number == number {
				c = change
			}
		}
		if c == nil {
			return fmt.Errorf("the group has no change %d", number)
		}
		for _, s := range steps {
			if c.Step == s {
				return nil
			}
		}
		return fmt.Errorf("change %d is %s (%s; waits for %v), want %v", number, c.Step, c.AbortReason, v.WaitingFor,
			steps)
	})
	return c, err
}

// AwaitPrepared waits until the leader reports that a node has prepared a version.
func (r *FleetProcesses) AwaitPrepared(node string, version uint64) error {
	return r.await(10*time.Second, func() error {
		all, err := r.Nodes()
		if err == nil && all[node].PreparedVersion != version {
			err = fmt.Errorf("node %s: prepared version %d, want %d", node, all[node].PreparedVersion, version)
		}
		return err
	})
}

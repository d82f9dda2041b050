package harness

// This file asks the control service of a fleet of processes, and waits for what it says.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/policy"
)

// sleep waits, unless the fleet ends.
func (r *FleetProcesses) sleep(d time.Duration) { sleepContext(r.ctx, d) }

func (r *FleetProcesses) await(within time.Duration, condition func() error) error {
	return awaitUntil(r.ctx, within, 20*time.Millisecond, condition)
}

// requestAny brings something to any instance that answers.
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

// Policy gives the leader's view.
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

// Nodes gives the leader's list.
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

// AwaitAllServing waits until every node that is up serves under a version, and is ready by the platform's list.
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
				return fmt.Errorf("%s is not in: %q", n.name, v.OutReason)
			case v.Fenced != "" || v.ActiveVersion != version:
				return fmt.Errorf("%s serves under version %d, fenced %q, expected version %d", n.name,
					v.ActiveVersion, v.Fenced, version)
			case !r.readiness.isReady(n.name):
				return fmt.Errorf("%s is not ready by the list", n.name)
			}
		}
		return nil
	})
}

// PutVersion makes a text the group's next version.
func (r *FleetProcesses) PutVersion(text string) (uint64, error) {
	r.lastOpNumber++
	var result consensus.PutResult
	err := r.await(10*time.Second, func() error {
		var status consensus.Report
		if _, err := r.requestAny(http.MethodGet, "/v1/status", nil, &status); err != nil {
			return err
		}
		put := consensus.Put{Session: fmt.Sprintf("rig-%d-%d", r.Seed, r.lastOpNumber), Seq: 1, Base: status.Version, Author: "lab",
			Text: text}
		_, err := r.requestAny(http.MethodPut, "/v1/config", put, &result)
		if err == nil && result.Outcome == consensus.PutConflict {
			r.lastOpNumber++
			err = fmt.Errorf("%s", result.Reason)
		}
		return err
	})
	if err == nil && result.Outcome != consensus.PutCommitted {
		err = fmt.Errorf("the version is %s: %s", result.Outcome, result.Reason)
	}
	return result.Version, err
}

// Propose begins a change to a text, and gives its number and version.
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

// AwaitStep waits until a change is at one of some steps.
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
			return fmt.Errorf("change %d is not known", number)
		}
		for _, s := range steps {
			if c.Step == s {
				return nil
			}
		}
		return fmt.Errorf("change %d is %s (%s; waits %v), expected %v", number, c.Step, c.AbortReason, v.WaitingFor,
			steps)
	})
	return c, err
}

// AwaitPrepared waits until the leader heard from a node that it prepared a version.
func (r *FleetProcesses) AwaitPrepared(node string, version uint64) error {
	return r.await(10*time.Second, func() error {
		all, err := r.Nodes()
		if err == nil && all[node].PreparedVersion != version {
			err = fmt.Errorf("%s has not prepared version %d", node, version)
		}
		return err
	})
}

package simulation

import (
	"fmt"

	"umberwinch/internal/control/policy"
)

// proposeChange proposes a version, as an operator would: retried under one idempotency key until there is a response.
func (w *Fleet) proposeChange(excl bool, spare int) {
	if w.leader < 0 || w.state.Policy.Current != nil {
		w.after(200, func() { w.proposeChange(excl, spare) })
		return
	}
	v := w.addVersion()
	w.failsTrial[w.versionHashes[v-1]] = v > 2 && !w.Calm && w.random.Intn(12) == 0
	w.submitPolicy(policy.Op{Kind: policy.OpPropose, Proposal: &policy.Proposal{Version: v, Exclusive: excl,
		PrepareWithinMS: 2*uint64(w.Lease) + 4000, MaxLeftBehind: spare, Author: "lab",
		IdempotencyKey: fmt.Sprintf("change-%08d", v)}})
}

func (w *Fleet) submitPolicy(op policy.Op) {
	answered := false
	if w.leader >= 0 && w.instances[w.leader].up {
		w.instances[w.leader].coordinator.SubmitPolicy(op, func(r policy.Result, err error) {
			if answered || err != nil {
				return
			}
			answered = true
			if r.Rejection != "" {
				// Another change came first: propose a later version, as this one may be older than it.
				w.proposeChange(op.Proposal.Exclusive, op.Proposal.MaxLeftBehind)
				return
			}
			w.acceptedChanges++
			if op.Proposal.Version > 2 && !w.Calm && w.random.Intn(3) == 0 { // an operator who thinks better of it
				w.after(w.random.Float64()*3000, func() { w.abortChange(r.ChangeNumber) })
			}
		})
	}
	w.after(3000, func() {
		if !answered {
			answered = true
			w.submitPolicy(op)
		}
	})
}

func (w *Fleet) abortChange(number uint64) {
	if w.leader >= 0 && w.instances[w.leader].up {
		op := policy.Op{Kind: policy.OpAbort, ChangeNumber: number, Author: "lab", Reason: "it is called off"}
		w.instances[w.leader].coordinator.SubmitPolicy(op, func(policy.Result, error) {})
	}
}

package simulation

import (
	"fmt"

	"umberwinch/internal/control/policy"
)

// proposeChange proposes a new version. The proposal is retried under one idempotency key until there is a response.
func (f *Fleet) proposeChange(exclusive bool, maxLeftBehind int) {
	if f.leader < 0 || f.state.Policy.Current != nil {
		f.after(200, func() { f.proposeChange(exclusive, maxLeftBehind) })
		return
	}
	v := f.addVersion()
	f.failsTrial[f.versionHashes[v-1]] = v > 2 && !f.NoFaults && f.random.Intn(12) == 0
	f.submitPolicy(policy.Op{Kind: policy.OpPropose, Proposal: &policy.Proposal{Version: v, Exclusive: exclusive,
		PrepareWithinMS: 2*uint64(f.LeaseMS) + 4000, MaxLeftBehind: maxLeftBehind, Author: "lab",
		IdempotencyKey: fmt.Sprintf("change-%08d", v)}})
}

// submitPolicy submits a proposal to the leader and retries after 3 s without a response.
func (f *Fleet) submitPolicy(op policy.Op) {
	done := false
	if f.leader >= 0 && f.instances[f.leader].up {
		f.instances[f.leader].coordinator.SubmitPolicy(op, func(r policy.Result, err error) {
			if done || err != nil {
				return
			}
			done = true
			if r.Rejection != "" {
				// Another change was accepted first: propose a new version, as this one may be older.
				f.proposeChange(op.Proposal.Exclusive, op.Proposal.MaxLeftBehind)
				return
			}
			f.acceptedChanges++
			if op.Proposal.Version > 2 && !f.NoFaults && f.random.Intn(3) == 0 { // the operator aborts some changes
				f.after(f.random.Float64()*3000, func() { f.abortChange(r.ChangeNumber) })
			}
		})
	}
	f.after(3000, func() {
		if !done {
			done = true
			f.submitPolicy(op)
		}
	})
}

func (f *Fleet) abortChange(number uint64) {
	if f.leader >= 0 && f.instances[f.leader].up {
		op := policy.Op{Kind: policy.OpAbort, ChangeNumber: number, Author: "lab", Reason: "it is called off"}
		f.instances[f.leader].coordinator.SubmitPolicy(op, func(policy.Result, error) {})
	}
}

package harness

// This file has the fixture of the policy cases on processes: proposals, waits for steps, failures of the leader.

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/simulation"
)

// testLease is the lease of policies on processes: short, so that waits for its end are, but longer than the group's
// failover.
const testLease = 2 * time.Second

// policyText returns a policy's text; n makes it differ from other versions.
func policyText(lease time.Duration, whenAlone string, n int, extra string) string {
	return fmt.Sprintf("[fleet]\nlease = %v\nwhen_alone = %s\n[tenant t0]\nrate = %d\n%s", lease, whenAlone, 1000+n,
		extra)
}

// policyFixture is a fleet under load, with the state that cases share.
type policyFixture struct {
	*FleetProcesses
	textCount        int // number of texts generated
	committedVersion uint64
	lease            time.Duration
	whenAlone        string
	extraText        string // appended to every text
}

func (b *policyFixture) text(extra string) string {
	b.textCount++
	return policyText(b.lease, b.whenAlone, b.textCount, b.extraText+extra)
}

// change proposes a change and waits until it has settled and all running nodes serve under it.
func (b *policyFixture) change(p policy.Proposal) (*policy.Change, error) {
	number, version, err := b.Propose(b.text(""), p)
	if err != nil {
		return nil, err
	}
	return b.awaitSettled(number, version)
}

func (b *policyFixture) awaitSettled(number, version uint64) (*policy.Change, error) {
	c, err := b.AwaitStep(number, 30*time.Second, policy.Settled, policy.Aborted)
	if err != nil {
		return c, err
	}
	if c.Step != policy.Settled {
		return c, fmt.Errorf("change %d was called off (%s), want it settled", number, c.AbortReason)
	}
	b.committedVersion = version
	return c, b.AwaitAllServing(version, 20*time.Second)
}

// awaitAborted waits until a change is aborted, and checks that all nodes serve under the previous version.
func (b *policyFixture) awaitAborted(number uint64) (*policy.Change, error) {
	c, err := b.AwaitStep(number, 40*time.Second, policy.Settled, policy.Aborted)
	if err != nil {
		return c, err
	}
	if c.Step != policy.Aborted {
		return c, fmt.Errorf("change %d is settled, want it called off", number)
	}
	return c, b.AwaitAllServing(b.committedVersion, 20*time.Second)
}

// abort aborts a change as an operator. It returns the reason if the group rejects that.
func (b *policyFixture) abort(number uint64) (rejection string, err error) {
	var res struct {
		Error string `json:"error"`
	}
	_, err = b.requestAny(http.MethodPost, "/v1/policy", policy.Op{Kind: policy.OpAbort, ChangeNumber: number,
		Author: "lab", Reason: "on second thoughts"},
		&res)
	return res.Error, err
}

// sendOne sends one request to a node. The error names the node and the status, whatever the status is.
func (b *policyFixture) sendOne(name string) (status int, retryAfter time.Duration, err error) {
	for _, n := range b.nodes {
		if n.name == name {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			status, retryAfter = sendAttempt(ctx, b.client, n.callerAddr, "view", 0, 0, "", false)
			cancel()
			return status, retryAfter, fmt.Errorf("node %s: status %d", name, status)
		}
	}
	return 0, 0, fmt.Errorf("the fleet has no node %s", name)
}

// caseSelection selects the cases of a run.
type caseSelection struct {
	only        string // name of the one case; empty: all, without the long ones if quick
	quick       bool
	part, parts int // every parts-th case, from index part on; parts 0: all
}

func (s caseSelection) includes(i int, name string, long bool) bool {
	if s.parts > 0 && i%s.parts != s.part {
		return false
	}
	return name == s.only || s.only == "" && !(long && s.quick)
}

// caseFailure is the panic value of must.
type caseFailure struct{ err error }

// must and mustGet end a case if err isn't nil; runCase then returns the error.
func must(err error) {
	if err != nil {
		panic(caseFailure{err})
	}
}

func mustGet[T any](v T, err error) T {
	must(err)
	return v
}

// runCase runs a case and returns the error with which must ended it.
func runCase(run func()) (err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case caseFailure:
			err = r.err
		default:
			panic(r)
		}
	}()
	run()
	return nil
}

// proposedChange identifies a proposed change and its version.
type proposedChange struct{ number, version uint64 }

// propose proposes a change whose text has extra appended.
func (b *policyFixture) propose(extra string, p policy.Proposal) proposedChange {
	number, version, err := b.Propose(b.text(extra), p)
	must(err)
	return proposedChange{number, version}
}

// proposeBlockedBy proposes a change that stays at the step preparing, as one node can't fetch its text, and waits
// until others have prepared it.
func (b *policyFixture) proposeBlockedBy(slow *nodeProcess, p policy.Proposal, others ...*nodeProcess) proposedChange {
	b.setLinkFault(linkFault{dropPrefix: "GET /v1/config"}, slow)
	c := b.propose("", p)
	for _, n := range others {
		must(b.AwaitPrepared(n.name, c.version))
	}
	return c
}

// release removes the fault of the blocking node and waits until the change is at one of the given steps.
func (b *policyFixture) release(slow *nodeProcess, c proposedChange, steps ...policy.Step) *policy.Change {
	b.setLinkFault(linkFault{}, slow)
	return mustGet(b.AwaitStep(c.number, 30*time.Second, steps...))
}

// mustSettle waits until a change has settled and all running nodes serve under it.
func (b *policyFixture) mustSettle(c proposedChange) *policy.Change {
	return mustGet(b.awaitSettled(c.number, c.version))
}

// settleWhenHealed waits until a change has settled without the nodes that have a fault, removes all link faults,
// and waits until all nodes serve under it.
func (b *policyFixture) settleWhenHealed(c proposedChange) {
	mustGet(b.AwaitStep(c.number, 30*time.Second, policy.Settled))
	b.heal()
	b.committedVersion = c.version
	b.mustAllServe(c.version)
}

func (b *policyFixture) mustAllServe(version uint64) {
	must(b.AwaitAllServing(version, 60*time.Second))
}

// replaceLeader kills the leader, waits until the next one settles a change, and restarts the killed instance.
func (b *policyFixture) replaceLeader(c proposedChange) {
	p := mustGet(b.killLeader())
	b.heal()
	b.mustSettle(c)
	must(b.group.start(p, ""))
}

// forEachButFirst calls action for all instances but the first: without them the group has no majority.
func (b *policyFixture) forEachButFirst(action func(p *instanceProcess)) {
	for _, p := range b.group.instances[1:] {
		action(p)
	}
}

func (b *policyFixture) mustStart(p *instanceProcess) { must(b.group.start(p, "")) }

// defaultFleetSize is the number of nodes of a fleet of processes if none is given.
const defaultFleetSize = 9

// startFixture starts a fleet with an initial policy.
func (r *PolicyTest) startFixture(ctx context.Context, dir string, whenAlone string) (*policyFixture, error) {
	n := cmp.Or(r.Size, defaultFleetSize)
	return newPolicyFixture(ctx, FleetProcessesConfig{Program: r.Program, Dir: dir, Seed: r.Seed, Nodes: n,
		DisabledGuards: r.DisabledProcessGuards, NodeWithoutFill: n}, whenAlone, "")
}

// newPolicyFixture starts a fleet with three instances and an initial policy. extraText is part of all its texts.
func newPolicyFixture(ctx context.Context, config FleetProcessesConfig, whenAlone,
	extraText string) (*policyFixture, error) {
	config.Instances, config.PersistPolicy = 3, true
	fleet, err := NewFleetProcesses(ctx, config)
	if err != nil {
		return nil, err
	}
	b := &policyFixture{FleetProcesses: fleet, lease: testLease, whenAlone: whenAlone, extraText: extraText}
	if err = b.settleInitialPolicy(); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// settleInitialPolicy proposes the first version and waits until it has settled.
func (b *policyFixture) settleInitialPolicy() error {
	number, version, err := b.Propose(b.text(""), policy.Proposal{})
	if err == nil {
		_, err = b.awaitSettled(number, version)
	}
	return err
}

// historyLimits returns the limits of the history: versions overlap for a lease as the group counts it and 200 ms at
// most, for the precision of logs and a heartbeat interval.
func (b *policyFixture) historyLimits() simulation.FleetInvariants {
	return simulation.FleetInvariants{
		MaxOverlap: int64(membership.LeaseSpanMS(uint64(b.lease.Milliseconds())))*10 + 2000,
		Fences:     b.whenAlone == "fence"}
}

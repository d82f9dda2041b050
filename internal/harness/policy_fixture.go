package harness

// This file has what a case on processes is written with: proposing, waiting for steps, losing leaders.

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

// testLease is the lease of the real part's policies: short, so that what waits for one ends soon, and long beside a
// failover of the group.
const testLease = 2 * time.Second

// policyText is a version's text; n makes each another.
func policyText(lease time.Duration, whenAlone string, n int, extra string) string {
	return fmt.Sprintf("[fleet]\nlease = %v\nwhen_alone = %s\n[tenant t0]\nrate = %d\n%s", lease, whenAlone, 1000+n, extra)
}

// policyFixture is a fleet under load, for the cases.
type policyFixture struct {
	*FleetProcesses
	textCount        int // texts made so far
	committedVersion uint64
	lease            time.Duration
	whenAlone        string
	extraText        string // that all its texts have
}

func (b *policyFixture) text(extra string) string {
	b.textCount++
	return policyText(b.lease, b.whenAlone, b.textCount, b.extraText+extra)
}

// change makes a change and waits until it is settled and all that are up serve under it.
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
		return c, fmt.Errorf("change %d was called off: %s", number, c.AbortReason)
	}
	b.committedVersion = version
	return c, b.AwaitAllServing(version, 20*time.Second)
}

// awaitAborted waits until a change is called off, and holds the fleet to serving on under the older version.
func (b *policyFixture) awaitAborted(number uint64) (*policy.Change, error) {
	c, err := b.AwaitStep(number, 40*time.Second, policy.Settled, policy.Aborted)
	if err != nil {
		return c, err
	}
	if c.Step != policy.Aborted {
		return c, fmt.Errorf("change %d is settled, expected it called off", number)
	}
	return c, b.AwaitAllServing(b.committedVersion, 20*time.Second)
}

// abort has an operator call a change off, and gives why it was not.
func (b *policyFixture) abort(number uint64) (rejection string, err error) {
	var res struct {
		Error string `json:"error"`
	}
	_, err = b.requestAny(http.MethodPost, "/v1/policy", policy.Op{Kind: policy.OpAbort, ChangeNumber: number, Author: "lab",
		Reason: "on second thoughts"},
		&res)
	return res.Error, err
}

// sendOne sends one request to one node.
func (b *policyFixture) sendOne(name string) (status int, retryAfter time.Duration, err error) {
	for _, n := range b.nodes {
		if n.name == name {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			status, retryAfter = sendAttempt(ctx, b.client, n.callerAddr, "view", 0, 0, "", false)
			cancel()
			return status, retryAfter, fmt.Errorf("%s answers %d", name, status)
		}
	}
	return 0, 0, fmt.Errorf("no node %s", name)
}

// caseSelection is which cases of a list a run plays.
type caseSelection struct {
	only        string // the one of this name; empty: all, but with quick none that is long
	quick       bool
	part, parts int // of so many runs side by side this one takes each parts-th case; 0 of 0 for all
}

func (s caseSelection) includes(i int, name string, long bool) bool {
	if s.parts > 0 && i%s.parts != s.part {
		return false
	}
	return name == s.only || s.only == "" && !(long && s.quick)
}

// caseFailure is what must panics with.
type caseFailure struct{ err error }

// must and mustGet go on with a case where a step went well; else the case ends, and runCase gives its error.
func must(err error) {
	if err != nil {
		panic(caseFailure{err})
	}
}

func mustGet[T any](v T, err error) T {
	must(err)
	return v
}

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

// proposedChange is a change that was proposed.
type proposedChange struct{ number, version uint64 }

// propose makes a change with more in its text than usual.
func (b *policyFixture) propose(extra string, p policy.Proposal) proposedChange {
	number, version, err := b.Propose(b.text(extra), p)
	must(err)
	return proposedChange{number, version}
}

// proposeBlockedBy begins a change that stays at the step preparing, as one node does not get its text; others have
// prepared it.
func (b *policyFixture) proposeBlockedBy(slow *nodeProcess, p policy.Proposal, others ...*nodeProcess) proposedChange {
	b.setLinkFault(linkFault{dropPrefix: "GET /v1/config"}, slow)
	c := b.propose("", p)
	for _, n := range others {
		must(b.AwaitPrepared(n.name, c.version))
	}
	return c
}

// release lets a node that was held take part again, and waits until the change stands at one of some steps.
func (b *policyFixture) release(slow *nodeProcess, c proposedChange, steps ...policy.Step) *policy.Change {
	b.setLinkFault(linkFault{}, slow)
	return mustGet(b.AwaitStep(c.number, 30*time.Second, steps...))
}

// mustSettle waits until a change has settled and all that are up serve under it.
func (b *policyFixture) mustSettle(c proposedChange) *policy.Change {
	return mustGet(b.awaitSettled(c.number, c.version))
}

// settleWhenHealed waits until a change that not all nodes could take part in has settled, ends all link faults, and
// waits until all serve under it.
func (b *policyFixture) settleWhenHealed(c proposedChange) {
	mustGet(b.AwaitStep(c.number, 30*time.Second, policy.Settled))
	b.heal()
	b.committedVersion = c.version
	b.mustAllServe(c.version)
}

func (b *policyFixture) mustAllServe(version uint64) {
	must(b.AwaitAllServing(version, 60*time.Second))
}

// replaceLeader kills the leader, has the others settle a change, and starts it again.
func (b *policyFixture) replaceLeader(c proposedChange) {
	p := mustGet(b.killLeader())
	b.heal()
	b.mustSettle(c)
	must(b.group.start(p, ""))
}

// forEachButFirst does something to all instances but the first: without them there is no majority.
func (b *policyFixture) forEachButFirst(action func(p *instanceProcess)) {
	for _, p := range b.group.instances[1:] {
		action(p)
	}
}

func (b *policyFixture) mustStart(p *instanceProcess) { must(b.group.start(p, "")) }

// defaultFleetSize is how many nodes a fixture's fleet has where no size was asked for.
const defaultFleetSize = 9

// startFixture starts a fleet with a first policy.
func (r *PolicyTest) startFixture(ctx context.Context, dir string, whenAlone string) (*policyFixture, error) {
	n := cmp.Or(r.Size, defaultFleetSize)
	return newPolicyFixture(ctx, FleetProcessesConfig{Program: r.Program, Dir: dir, Seed: r.Seed, Nodes: n,
		DisabledGuards: r.ProcessGuards, NodeWithoutFill: n}, whenAlone, "")
}

// newPolicyFixture starts a fleet with three instances, and its first policy; all its texts have extra.
func newPolicyFixture(ctx context.Context, config FleetProcessesConfig, whenAlone, extraText string) (*policyFixture, error) {
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

// settleInitialPolicy proposes the first version and waits until it is settled.
func (b *policyFixture) settleInitialPolicy() error {
	number, version, err := b.Propose(b.text(""), policy.Proposal{})
	if err == nil {
		_, err = b.awaitSettled(number, version)
	}
	return err
}

// historyLimits of the real part: a lease as the group counts it, and some ms of logs and rounds.
func (b *policyFixture) historyLimits() simulation.FleetPromises {
	return simulation.FleetPromises{Overlap: int64(membership.LeaseSpanMS(uint64(b.lease.Milliseconds())))*10 + 2000,
		Fences: b.whenAlone == "fence"}
}

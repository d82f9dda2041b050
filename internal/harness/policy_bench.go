package harness

// This file has what a case on processes is written with: proposing, waiting for steps, losing leaders.

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/simulation"
)

// realLease is the lease of the real part's policies: short, so that what waits for one ends soon, and long beside a
// failover of the group.
const realLease = 2 * time.Second

// policyText is a version's text; n makes each another.
func policyText(lease time.Duration, alone string, n int, more string) string {
	return fmt.Sprintf("[fleet]\nlease = %v\nwhen_alone = %s\n[tenant t0]\nrate = %d\n%s", lease, alone, 1000+n, more)
}

// policyBench is a rig under load, for the cases.
type policyBench struct {
	*FleetProcesses
	n     int // texts made so far
	force uint64
	lease time.Duration
	alone string
	more  string // that all its texts have
}

func (b *policyBench) text(more string) string {
	b.n++
	return policyText(b.lease, b.alone, b.n, b.more+more)
}

// change makes a change and waits until it is settled and all that are up serve under it.
func (b *policyBench) change(p policy.Proposal) (*policy.Change, error) {
	number, version, err := b.Propose(b.text(""), p)
	if err != nil {
		return nil, err
	}
	return b.settled(number, version)
}

func (b *policyBench) settled(number, version uint64) (*policy.Change, error) {
	c, err := b.Step(number, 30*time.Second, policy.Settled, policy.Aborted)
	if err != nil {
		return c, err
	}
	if c.Step != policy.Settled {
		return c, fmt.Errorf("change %d was called off: %s", number, c.AbortReason)
	}
	b.force = version
	return c, b.AllServe(version, 20*time.Second)
}

// off waits until a change is called off, and holds the fleet to serving on under the older version.
func (b *policyBench) off(number uint64) (*policy.Change, error) {
	c, err := b.Step(number, 40*time.Second, policy.Settled, policy.Aborted)
	if err != nil {
		return c, err
	}
	if c.Step != policy.Aborted {
		return c, fmt.Errorf("change %d is settled, expected it called off", number)
	}
	return c, b.AllServe(b.force, 20*time.Second)
}

// callOff has an operator call a change off, and gives why it was not.
func (b *policyBench) callOff(number uint64) (no string, err error) {
	var res struct {
		Error string `json:"error"`
	}
	_, err = b.ask(http.MethodPost, "/v1/policy", policy.Op{Kind: "off", ChangeNumber: number, Author: "lab", Reason: "on second thoughts"},
		&res)
	return res.Error, err
}

// one sends one req to one node.
func (b *policyBench) one(name string) (code int, backOff time.Duration, err error) {
	for _, n := range b.nodes {
		if n.name == name {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			code, backOff = sendAttempt(ctx, b.client, n.front, "view", 0, 0, "", false)
			cancel()
			return code, backOff, fmt.Errorf("%s answers %d", name, code)
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

func (s caseSelection) takes(i int, name string, long bool) bool {
	if s.parts > 0 && i%s.parts != s.part {
		return false
	}
	return name == s.only || s.only == "" && !(long && s.quick)
}

// failed is how a step of a case ends it.
type failed struct{ err error }

// must and got go on with a case where a step went well; played takes what did not for the case's end.
func must(err error) {
	if err != nil {
		panic(failed{err})
	}
}

func got[T any](v T, err error) T {
	must(err)
	return v
}

func played(run func()) (err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case failed:
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

// proposes makes a change with more in its text than usual.
func (b *policyBench) proposes(more string, p policy.Proposal) proposedChange {
	number, version, err := b.Propose(b.text(more), p)
	must(err)
	return proposedChange{number, version}
}

// held begins a change that one node does not get to prepare, so that it stays at the first step; others have prepared it.
func (b *policyBench) held(slow *nodeProcess, p policy.Proposal, others ...*nodeProcess) proposedChange {
	b.setLinkFault(linkFault{deaf: "GET /v1/config"}, slow)
	c := b.proposes("", p)
	for _, n := range others {
		must(b.Prepared(n.name, c.version))
	}
	return c
}

// goesOn lets a node that was held take part again, and waits until the change stands at one of some steps.
func (b *policyBench) goesOn(slow *nodeProcess, c proposedChange, steps ...policy.Step) *policy.Change {
	b.setLinkFault(linkFault{}, slow)
	return got(b.Step(c.number, 30*time.Second, steps...))
}

// settles waits until a change has settled and all that are up serve under it; follows, until that is so of one that not all
// took part in, once they can again.
func (b *policyBench) settles(c proposedChange) *policy.Change {
	return got(b.settled(c.number, c.version))
}

func (b *policyBench) follows(c proposedChange) {
	got(b.Step(c.number, 30*time.Second, policy.Settled))
	b.heal()
	b.force = c.version
	b.allServe(c.version)
}

func (b *policyBench) allServe(version uint64) { must(b.AllServe(version, 60*time.Second)) }

// leaderLost kills the leader, has the others settle a change, and starts it again.
func (b *policyBench) leaderLost(c proposedChange) {
	p := got(b.killLeader())
	b.heal()
	b.settles(c)
	must(b.group.start(p, ""))
}

// others are the instances but the first: without them there is no majority.
func (b *policyBench) others(do func(p *instanceProcess)) {
	for _, p := range b.group.procs[1:] {
		do(p)
	}
}

func (b *policyBench) starts(p *instanceProcess) { must(b.group.start(p, "")) }

// begin starts a rig with a first policy.
func (r *PolicyTest) begin(ctx context.Context, dir string, alone string) (*policyBench, error) {
	n := r.Size
	if n == 0 {
		n = 9
	}
	rig, err := NewFleetProcesses(ctx, FleetProcessesPlan{Program: r.Program, Dir: dir, Seed: r.Seed, Instances: 3, Nodes: n, Without: r.Words,
		Odd: n, Folders: true})
	if err != nil {
		return nil, err
	}
	b := &policyBench{FleetProcesses: rig, lease: realLease, alone: alone}
	if err = b.settleFirst(); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// settleFirst proposes the first version and waits until it is settled.
func (b *policyBench) settleFirst() error {
	number, version, err := b.Propose(b.text(""), policy.Proposal{})
	if err == nil {
		_, err = b.settled(number, version)
	}
	return err
}

// promises of the real part: a lease as the group counts it, and some ms of logs and rounds.
func (b *policyBench) promises() simulation.FleetPromises {
	return simulation.FleetPromises{Overlap: int64(membership.LeaseSpanMS(uint64(b.lease.Milliseconds())))*10 + 2000, Fences: b.alone == "fence"}
}

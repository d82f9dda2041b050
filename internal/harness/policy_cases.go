package harness

// This file has the cases on processes.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

// policyCase is one hard case on processes.
type policyCase struct {
	name string
	run  func(b *policyBench)
	long bool // not with --quick
}

var policyCases = []policyCase{
	{name: "a change, and one without overlap", run: func(b *policyBench) {
		got(b.change(policy.Proposal{}))
		got(b.change(policy.Proposal{Exclusive: true}))
	}},
	{name: "killed before it prepared", run: func(b *policyBench) {
		n := b.nodes[0]
		c := b.held(n, policy.Proposal{})
		n.Kill()
		b.heal()
		b.settles(c)
		must(n.Start())
		b.allServe(c.version)
	}},
	{name: "killed after it prepared", run: func(b *policyBench) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.held(slow, policy.Proposal{}, n)
		n.Kill()
		b.heal()
		b.settles(c)
		must(n.Start())
		b.allServe(c.version)
	}},
	{name: "killed between the decision and being told", run: func(b *policyBench) {
		slow, n, cut := b.nodes[1], b.nodes[0], b.nodes[2]
		c := b.held(slow, policy.Proposal{}, n, cut)
		b.setLinkFault(linkFault{muteBack: true}, n, cut) // neither hears any more, and the slow one goes on
		b.goesOn(slow, c, policy.Committed, policy.Settled)
		n.Kill() // the other one is fenced instead
		got(b.Step(c.number, 20*time.Second, policy.Settled))
		b.heal()
		must(n.Start())
		b.follows(c)
	}},
	{name: "stopped past its lease and continued", run: func(b *policyBench) {
		n := b.nodes[3%len(b.nodes)]
		n.Stop()
		defer func() {
			if !n.up() {
				n.GoOn()
			}
		}()
		c := got(b.change(policy.Proposal{}))
		n.GoOn()
		b.allServe(c.Version)
	}},
	{name: "a zone cut off from the group, not from its callers", run: func(b *policyBench) {
		b.cutOff(b.nodesIn("z2")...)
		b.follows(b.proposes("", policy.Proposal{}))
	}},
	{name: "one-way cuts", run: func(b *policyBench) {
		b.setLinkFault(linkFault{mute: true}, b.nodes[0])
		b.setLinkFault(linkFault{muteBack: true}, b.nodes[1])
		b.follows(b.proposes("", policy.Proposal{}))
	}},
	{name: "the leader killed while nodes prepare", run: func(b *policyBench) {
		b.leaderLost(b.held(b.nodes[4%len(b.nodes)], policy.Proposal{}, b.nodes[0]))
	}},
	{name: "the leader killed while it is held, without overlap", run: func(b *policyBench) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.held(slow, policy.Proposal{Exclusive: true}, cut)
		b.setLinkFault(linkFault{muteBack: true}, cut)
		b.goesOn(slow, c, policy.Decided, policy.Committed, policy.Settled)
		b.leaderLost(c)
	}},
	{name: "no majority in the middle, and back", run: func(b *policyBench) {
		c := b.held(b.nodes[1], policy.Proposal{PrepareWithinMS: 30_000})
		b.others(b.group.kill)
		time.Sleep(b.lease + b.lease/2) // past every lease
		b.heal()
		b.others(b.starts)
		b.settles(c)
	}},
	{name: "an instance that is slow, and the leader", run: func(b *policyBench) {
		p := b.group.leader()
		if p == nil {
			must(errors.New("no leader"))
		}
		for _, n := range b.nodes {
			b.group.board.set(n.name, p.name, linkFault{delay: time.Second})
		}
		got(b.change(policy.Proposal{}))
	}},
	{name: "a node says no", run: func(b *policyBench) {
		c := got(b.off(b.proposes("[class fill]\nkind = replayable\nvalue = 2\nresponse_target = 500ms\nclient_timeout = 3s\n",
			policy.Proposal{}).number))
		if !strings.Contains(c.AbortReason, "class fill: found it in the policy") {
			must(fmt.Errorf("called off for %q, expected the odd node's no", c.AbortReason))
		}
	}},
	{name: "a node never answers", run: func(b *policyBench) {
		got(b.off(b.held(b.nodes[0], policy.Proposal{PrepareWithinMS: 3000}).number))
	}},
	{name: "it is left behind, and comes after", run: func(b *policyBench) {
		b.follows(b.held(b.nodes[0], policy.Proposal{PrepareWithinMS: 3000, MaxLeftBehind: 1}))
	}},
	{name: "says prepared and forgets it", run: func(b *policyBench) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.held(slow, policy.Proposal{}, n)
		n.Kill()
		must(n.Start())
		b.setLinkFault(linkFault{}, slow)
		b.settles(c)
	}},
	{name: "restarts in a loop", run: func(b *policyBench) {
		n := b.nodes[2]
		stop, done := make(chan struct{}), make(chan error, 1)
		go func() {
			for {
				select {
				case <-stop:
					done <- nil
					return
				case <-time.After(300 * time.Millisecond):
				}
				n.Kill()
				if err := n.Start(); err != nil {
					done <- err
					return
				}
			}
		}()
		c := proposedChange{}
		err := played(func() {
			c = b.proposes("", policy.Proposal{PrepareWithinMS: 20_000})
			got(b.Step(c.number, 30*time.Second, policy.Settled))
		})
		close(stop)
		must(errors.Join(err, <-done))
		b.follows(c)
	}},
	{name: "joins in the middle", run: func(b *policyBench) {
		n, slow := b.nodes[0], b.nodes[1]
		n.Kill()
		c := b.held(slow, policy.Proposal{})
		must(n.Start())
		must(b.Prepared(n.name, c.version))
		b.heal()
		b.settles(c)
	}},
	{name: "drains in the middle", run: func(b *policyBench) {
		n, slow := b.nodes[0], b.nodes[1]
		c := b.held(slow, policy.Proposal{})
		n.Drain()
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].OutReason != membership.OutLeft {
				err = fmt.Errorf("%s is %q, expected %q", n.name, all[n.name].OutReason, membership.OutLeft)
			}
			return err
		}))
		b.heal()
		b.settles(c)
		<-n.proc.done()
		must(n.Start())
		b.allServe(c.version)
	}},
	{name: "a version that would shed everything", run: func(b *policyBench) {
		more := ""
		for _, c := range []string{"view", "submit"} {
			more += fmt.Sprintf("[class %s]\nkind = %s\nretired = yes\nresponse_target = 300ms\nclient_timeout = 3s\n", c,
				map[string]string{"view": "replayable", "submit": "uniqued\nwindow = 20s"}[c])
		}
		if c := got(b.off(b.proposes(more, policy.Proposal{}).number)); !strings.Contains(c.AbortReason, "requests of the trial were shed") {
			must(fmt.Errorf("called off for %q, expected the trial's finding", c.AbortReason))
		}
	}},
	{name: "called off before it is decided, and not after", run: func(b *policyBench) {
		slow := b.nodes[1]
		c := b.held(slow, policy.Proposal{})
		if no := got(b.callOff(c.number)); no != "" {
			must(fmt.Errorf("before it is decided: %s, expected it called off", no))
		}
		got(b.off(c.number))
		b.heal()
		c = b.held(slow, policy.Proposal{}, b.nodes[0])
		b.setLinkFault(linkFault{}, slow)
		must(b.Prepared(slow.name, c.version))
		got(b.Step(c.number, 20*time.Second, policy.Committed, policy.Settled))
		if got(b.callOff(c.number)) == "" {
			must(errors.New("after it was decided: called off, expected a no"))
		}
		b.settles(c)
	}},
	{name: "its next incarnation hears nothing", run: func(b *policyBench) {
		// Under a lease that is long beside what a slow machine takes to go on, so that the change can't wait it out by chance.
		b.lease = 4 * realLease
		got(b.change(policy.Proposal{}))
		b.lease = realLease // of the next one
		slow, n := b.nodes[1], b.nodes[0]
		c := b.held(slow, policy.Proposal{PrepareWithinMS: 30_000}, n)
		n.Kill()
		must(os.Remove(filepath.Join(n.folder, "policy.json"))) // it forgets what it prepared
		b.setLinkFault(linkFault{muteBack: true}, n)            // it joins, and no answer reaches it
		before := got(b.Nodes())
		must(n.Start())
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].Lease.ID == before[n.name].Lease.ID {
				err = fmt.Errorf("%s has not begun anew", n.name)
			}
			return err
		}))
		is := b.goesOn(slow, c, policy.Committed, policy.Settled)
		if v := got(b.Nodes())[n.name]; v.JoinedAtMS < is.DecidedAtMS && (v.OutReason == "" || v.OutAtMS > is.DecidedAtMS) {
			must(fmt.Errorf("decided at %d, and %s, in since %d and without the version, was out at %d", is.DecidedAtMS, n.name,
				v.JoinedAtMS, v.OutAtMS))
		}
		b.heal()
		b.settles(c)
	}},
	{name: "an instance that is behind speaks to a node that starts", run: func(b *policyBench) {
		n := b.nodes[4%len(b.nodes)]
		var s consensus.Report
		got(b.ask(http.MethodGet, "/v1/status", nil, &s))
		var was consensus.Version
		got(b.ask(http.MethodGet, fmt.Sprintf("/v1/config?version=%d&read=stale", b.force), nil, &was))
		old := api.VersionHash{Version: was.Number, Hash: was.Hash}
		says := got(json.Marshal(api.HeartbeatResponse{Cluster: s.Cluster, Term: s.Term, Index: s.Applied, LeaseID: 1 << 30, LeaseMS: 60_000,
			DecidedVersion: old.Version, CommittedVersion: old, NextHeartbeatMS: 200}))
		c := got(b.change(policy.Proposal{}))
		n.Kill()
		b.setLinkFault(linkFault{says: says}, n)
		must(n.Start())
		time.Sleep(b.lease)
		if code, _, _ := b.one(n.name); code == http.StatusOK {
			must(fmt.Errorf("%s serves by the word of an instance that is behind", n.name))
		}
		b.heal()
		n.Kill() // the one that lied is not asked for a minute
		must(n.Start())
		b.allServe(c.Version)
	}},
	{name: "a zone cut off from its callers, not from the group", run: func(b *policyBench) {
		for _, n := range b.nodesIn("z3") {
			b.group.board.set("callers", n.name, linkFault{cut: true})
		}
		c := got(b.change(policy.Proposal{}))
		b.heal()
		b.allServe(c.Version)
	}},
	{name: "the leader killed before it has settled", run: func(b *policyBench) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.held(slow, policy.Proposal{}, cut)
		b.setLinkFault(linkFault{muteBack: true}, cut)
		b.goesOn(slow, c, policy.Committed, policy.Settled)
		b.leaderLost(c)
	}},
	{name: "the leader kills itself at each step of its work", long: true, run: func(b *policyBench) {
		for _, point := range stepNames() {
			for _, p := range b.group.procs { // started anew, so that a signal arms the crash
				b.group.kill(p)
				must(b.group.start(p, point))
				b.allServe(b.force)
			}
			c := b.held(b.nodes[2], policy.Proposal{Exclusive: true})
			p := got(b.killLeader()) // by the step it is armed for
			b.heal()
			b.starts(p)
			if _, err := b.settled(c.number, c.version); err != nil {
				must(fmt.Errorf("at %s: %w", point, err))
			}
		}
	}},
	{name: "two in five down, back one by one, at first without the group", run: func(b *policyBench) {
		down := b.nodes[:2*len(b.nodes)/5]
		for _, n := range down {
			n.Kill()
		}
		c := got(b.change(policy.Proposal{}))
		b.others(b.group.kill)
		must(down[0].Start())
		time.Sleep(b.lease)
		if code, _, _ := b.one(down[0].name); code == http.StatusOK {
			must(fmt.Errorf("%s serves, and nobody can have told it what is in force", down[0].name))
		}
		if b.ready.is(down[0].name) {
			must(fmt.Errorf("%s is ready by the list, and takes nothing", down[0].name))
		}
		b.others(b.starts)
		for _, n := range down[1:] {
			must(n.Start())
			b.allServe(c.Version)
		}
	}},
}

// PolicyCases names the cases.
func PolicyCases() (names []string) {
	names = append(names, OnlyLoad)
	for _, c := range policyCases {
		names = append(names, c.name)
	}
	return names
}

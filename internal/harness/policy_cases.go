package harness

// This file has the policy cases on processes.

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

// policyCase is one case: a fault around a policy change and the outcome that has to follow.
type policyCase struct {
	name string
	run  func(b *policyFixture)
	long bool // skipped by --quick
}

var policyCases = []policyCase{
	// Without faults a policy change settles, and so does an exclusive one, under which no node may serve under the
	// new version while another serves under the old one.
	{name: "a change, and one without overlap", run: func(b *policyFixture) {
		mustGet(b.change(policy.Proposal{}))
		mustGet(b.change(policy.Proposal{Exclusive: true}))
	}},
	// A node blocks a change and is killed before it has prepared the version. The change settles without it; after
	// its restart the node serves under the new version.
	{name: "killed before it prepared", run: func(b *policyFixture) {
		n := b.nodes[0]
		c := b.proposeBlockedBy(n, policy.Proposal{})
		n.Kill()
		b.heal()
		b.mustSettle(c)
		must(n.Start())
		b.mustAllServe(c.version)
	}},
	// A node is killed after it has prepared a version, while another blocks the change. The change settles; after
	// its restart the node serves under the new version.
	{name: "killed after it prepared", run: func(b *policyFixture) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, n)
		n.Kill()
		b.heal()
		b.mustSettle(c)
		must(n.Start())
		b.mustAllServe(c.version)
	}},
	// A change is decided while responses to two nodes that prepared it are lost. One is killed, the other is fenced
	// as its lease ends. The change settles; both serve under it once they are connected.
	{name: "killed between the decision and being told", run: func(b *policyFixture) {
		slow, n, cut := b.nodes[1], b.nodes[0], b.nodes[2]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, n, cut)
		// Responses to both are lost before the blocking node is released
		b.setLinkFault(linkFault{dropReplies: true}, n, cut)
		b.release(slow, c, policy.Committed, policy.Settled)
		n.Kill() // the other is fenced as its lease ends
		mustGet(b.AwaitStep(c.number, 20*time.Second, policy.Settled))
		b.heal()
		must(n.Start())
		b.settleWhenHealed(c)
	}},
	// A node's process is paused for longer than its lease while a change settles. Resumed, the node must not serve
	// under the old version: it is fenced until it has the new one.
	{name: "stopped past its lease and continued", run: func(b *policyFixture) {
		n := b.nodes[3%len(b.nodes)]
		n.Pause()
		defer func() {
			if !n.isUp() {
				n.Resume()
			}
		}()
		c := mustGet(b.change(policy.Proposal{}))
		n.Resume()
		b.mustAllServe(c.Version)
	}},
	// The nodes of a zone are cut off from the group but not from their callers. A change settles without them; they
	// are fenced as their leases end, and serve under it once the zone is connected.
	{name: "a zone cut off from the group, not from its callers", run: func(b *policyFixture) {
		b.partitionFromGroup(b.nodesIn("z2")...)
		b.settleWhenHealed(b.propose("", policy.Proposal{}))
	}},
	// One node's heartbeats to the group are lost, and the responses to another's. A change settles without both;
	// they serve under it once the links have no fault.
	{name: "one-way cuts", run: func(b *policyFixture) {
		b.setLinkFault(linkFault{dropRequests: true}, b.nodes[0])
		b.setLinkFault(linkFault{dropReplies: true}, b.nodes[1])
		b.settleWhenHealed(b.propose("", policy.Proposal{}))
	}},
	// The leader is killed while a node has yet to prepare a change. The next leader settles the change.
	{name: "the leader killed while nodes prepare", run: func(b *policyFixture) {
		b.replaceLeader(b.proposeBlockedBy(b.nodes[4%len(b.nodes)], policy.Proposal{}, b.nodes[0]))
	}},
	// An exclusive change is decided (policy.Decided) but waits for a node that prepared it, whose responses are
	// lost. The leader is killed then; the next one settles the change.
	{name: "the leader killed while it is held, without overlap", run: func(b *policyFixture) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{Exclusive: true}, cut)
		b.setLinkFault(linkFault{dropReplies: true}, cut)
		b.release(slow, c, policy.Decided, policy.Committed, policy.Settled)
		b.replaceLeader(c)
	}},
	// Two of three instances are killed during a change, for longer than any lease. The nodes are fenced; the change
	// settles once the majority is back.
	{name: "no majority in the middle, and back", run: func(b *policyFixture) {
		c := b.proposeBlockedBy(b.nodes[1], policy.Proposal{PrepareWithinMS: 30_000})
		b.forEachButFirst(b.group.kill)
		time.Sleep(b.lease + b.lease/2) // past every lease
		b.heal()
		b.forEachButFirst(b.mustStart)
		b.mustSettle(c)
	}},
	// The leader's links to all nodes have a delay of 1 s. A change settles nevertheless.
	{name: "an instance that is slow, and the leader", run: func(b *policyFixture) {
		p := b.group.leader()
		if p == nil {
			must(errors.New("no leader"))
		}
		for _, n := range b.nodes {
			b.group.forwarders.set(n.name, p.name, linkFault{delay: time.Second})
		}
		mustGet(b.change(policy.Proposal{}))
	}},
	// One node's platform lacks a class that the new policy names, so the node rejects the version. The change is
	// aborted for that reason, and all nodes serve under the old version.
	{name: "a node says no", run: func(b *policyFixture) {
		classSection := "[class fill]\nkind = replayable\nvalue = 2\nresponse_target = 500ms\nclient_timeout = 3s\n"
		c := mustGet(b.awaitAborted(b.propose(classSection, policy.Proposal{}).number))
		if !strings.Contains(c.AbortReason, "class fill: found it in the policy") {
			must(fmt.Errorf("change %d was called off for %q, want the rejection of class fill by a node", c.Number,
				c.AbortReason))
		}
	}},
	// A node never gets the new version. The change is aborted when the time to prepare is over, and all nodes serve
	// under the old version.
	{name: "a node never answers", run: func(b *policyFixture) {
		mustGet(b.awaitAborted(b.proposeBlockedBy(b.nodes[0], policy.Proposal{PrepareWithinMS: 3000}).number))
	}},
	// A node never gets the new version, but the change may leave one node behind. It settles without the node,
	// which serves under it once it is connected.
	{name: "it is left behind, and comes after", run: func(b *policyFixture) {
		b.settleWhenHealed(b.proposeBlockedBy(b.nodes[0], policy.Proposal{PrepareWithinMS: 3000, MaxLeftBehind: 1}))
	}},
	// A node that reported a version as prepared is killed and restarted while another blocks the change. The change
	// relies on the report of the new incarnation, and settles. The node keeps its folder and so the version; in
	// "its next incarnation hears nothing" it loses it.
	{name: "says prepared and forgets it", run: func(b *policyFixture) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, n)
		n.Kill()
		must(n.Start())
		b.setLinkFault(linkFault{}, slow)
		b.mustSettle(c)
	}},
	// A node is killed and restarted every 300 ms during a change. The change settles, and the node serves under it
	// afterwards.
	{name: "restarts in a loop", run: func(b *policyFixture) {
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
		err := runCase(func() {
			c = b.propose("", policy.Proposal{PrepareWithinMS: 20_000})
			mustGet(b.AwaitStep(c.number, 30*time.Second, policy.Settled))
		})
		close(stop)
		must(errors.Join(err, <-done))
		b.settleWhenHealed(c)
	}},
	// A node starts while another blocks a change. It joins, prepares the version, and the change settles.
	{name: "joins in the middle", run: func(b *policyFixture) {
		n, slow := b.nodes[0], b.nodes[1]
		n.Kill()
		c := b.proposeBlockedBy(slow, policy.Proposal{})
		must(n.Start())
		must(b.AwaitPrepared(n.name, c.version))
		b.heal()
		b.mustSettle(c)
	}},
	// A node is drained while another blocks a change. It leaves the fleet, the change settles without it, and after
	// its restart it serves under the new version.
	{name: "drains in the middle", run: func(b *policyFixture) {
		n, slow := b.nodes[0], b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{})
		n.Drain()
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].OutReason != membership.OutLeft {
				err = fmt.Errorf("node %s: out for %q, want %q", n.name, all[n.name].OutReason, membership.OutLeft)
			}
			return err
		}))
		b.heal()
		b.mustSettle(c)
		<-n.process.done()
		must(n.Start())
		b.mustAllServe(c.version)
	}},
	// The new version retires the classes that callers use. The nodes' shadow evaluation finds that it would reject
	// nearly all requests, and the change is aborted.
	{name: "a version that would shed everything", run: func(b *policyFixture) {
		classSections := ""
		for _, c := range []string{"view", "submit"} {
			const section = "[class %s]\nkind = %s\nretired = yes\nresponse_target = 300ms\nclient_timeout = 3s\n"
			classSections += fmt.Sprintf(section, c,
				map[string]string{"view": "replayable", "submit": "uniqued\nwindow = 20s"}[c])
		}
		c := mustGet(b.awaitAborted(b.propose(classSections, policy.Proposal{}).number))
		if !strings.Contains(c.AbortReason, "requests of the trial were shed") {
			must(fmt.Errorf("change %d was called off for %q, want the requests shed in the shadow evaluation",
				c.Number, c.AbortReason))
		}
	}},
	// An operator aborts a change before it is decided: all nodes serve under the old version. The next change is
	// decided first, and can't be aborted then.
	{name: "called off before it is decided, and not after", run: func(b *policyFixture) {
		slow := b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{})
		if rejection := mustGet(b.abort(c.number)); rejection != "" {
			must(fmt.Errorf("abort of change %d before its decision was rejected: %s", c.number, rejection))
		}
		mustGet(b.awaitAborted(c.number))
		b.heal()
		c = b.proposeBlockedBy(slow, policy.Proposal{}, b.nodes[0])
		b.setLinkFault(linkFault{}, slow)
		must(b.AwaitPrepared(slow.name, c.version))
		mustGet(b.AwaitStep(c.number, 20*time.Second, policy.Committed, policy.Settled))
		if mustGet(b.abort(c.number)) == "" {
			must(fmt.Errorf("abort of change %d after its decision was accepted, want it rejected", c.number))
		}
		b.mustSettle(c)
	}},
	// A node that prepared a change is killed and loses the prepared version. Its next incarnation joins, but all
	// responses to it are lost. The change may not be decided as if the node still had the version.
	{name: "its next incarnation hears nothing", run: func(b *policyFixture) {
		// A long lease, so that on a slow machine the change can't outwait it by chance.
		b.lease = 4 * testLease
		mustGet(b.change(policy.Proposal{}))
		b.lease = testLease // of the next version
		slow, n := b.nodes[1], b.nodes[0]
		c := b.proposeBlockedBy(slow, policy.Proposal{PrepareWithinMS: 30_000}, n)
		n.Kill()
		must(os.Remove(filepath.Join(n.policyDir, "policy.json"))) // loses the prepared version
		b.setLinkFault(linkFault{dropReplies: true}, n)            // it joins, but responses are lost
		before := mustGet(b.Nodes())
		must(n.Start())
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].Lease.ID == before[n.name].Lease.ID {
				err = fmt.Errorf("node %s: lease %d, want that of a new incarnation", n.name, all[n.name].Lease.ID)
			}
			return err
		}))
		is := b.release(slow, c, policy.Committed, policy.Settled)
		if v := mustGet(b.Nodes())[n.name]; v.JoinedAtMS < is.DecidedAtMS &&
			(v.OutReason == "" || v.OutAtMS > is.DecidedAtMS) {
			must(fmt.Errorf("change decided at %d ms, node %s joined at %d ms without the version and was out at %d ms",
				is.DecidedAtMS, n.name,
				v.JoinedAtMS, v.OutAtMS))
		}
		b.heal()
		b.mustSettle(c)
	}},
	// A change settles. Then a node starts and gets responses from an instance that knows only the previous version.
	// The node may not serve because of them; it serves once it is connected to the group.
	{name: "an instance that is behind speaks to a node that starts", run: func(b *policyFixture) {
		n := b.nodes[4%len(b.nodes)]
		var s consensus.Report
		mustGet(b.requestAny(http.MethodGet, "/v1/status", nil, &s))
		var committed consensus.Version
		mustGet(b.requestAny(http.MethodGet, fmt.Sprintf("/v1/config?version=%d&read=stale", b.committedVersion), nil,
			&committed))
		previous := api.VersionHash{Version: committed.Number, Hash: committed.Hash}
		staleResponse := mustGet(json.Marshal(api.HeartbeatResponse{Cluster: s.Cluster, Term: s.Term, Index: s.Applied,
			LeaseID: 1 << 30, LeaseMS: 60_000,
			DecidedVersion: previous.Version, CommittedVersion: previous, NextHeartbeatMS: 200}))
		c := mustGet(b.change(policy.Proposal{}))
		n.Kill()
		b.setLinkFault(linkFault{staleResponse: staleResponse}, n)
		must(n.Start())
		time.Sleep(b.lease)
		if status, _, _ := b.sendOne(n.name); status == http.StatusOK {
			must(fmt.Errorf("node %s: status %d with responses of a stale instance alone, want a rejection",
				n.name, status))
		}
		b.heal()
		n.Kill() // the node doesn't contact an instance with stale responses for a minute
		must(n.Start())
		b.mustAllServe(c.Version)
	}},
	// A zone is cut off from its callers but not from the group. A change settles with its nodes.
	{name: "a zone cut off from its callers, not from the group", run: func(b *policyFixture) {
		for _, n := range b.nodesIn("z3") {
			b.group.forwarders.set("callers", n.name, linkFault{cut: true})
		}
		c := mustGet(b.change(policy.Proposal{}))
		b.heal()
		b.mustAllServe(c.Version)
	}},
	// A change is committed while responses to one node that prepared it are lost. The leader is killed before the
	// change has settled; the next one settles it.
	{name: "the leader killed before it has settled", run: func(b *policyFixture) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, cut)
		b.setLinkFault(linkFault{dropReplies: true}, cut)
		b.release(slow, c, policy.Committed, policy.Settled)
		b.replaceLeader(c)
	}},
	// The leader crashes at each step of its own work in turn, during an exclusive change. The next leader settles
	// the change each time.
	{name: "the leader kills itself at each step of its work", long: true, run: func(b *policyFixture) {
		for _, point := range stepNames() {
			for _, p := range b.group.instances { // restarted with the step at which a signal crashes it
				b.group.kill(p)
				must(b.group.start(p, point))
				b.mustAllServe(b.committedVersion)
			}
			c := b.proposeBlockedBy(b.nodes[2], policy.Proposal{Exclusive: true})
			p := mustGet(b.killLeader()) // crashes at its step
			b.heal()
			b.mustStart(p)
			if _, err := b.awaitSettled(c.number, c.version); err != nil {
				must(fmt.Errorf("leader crashed at step %s: %w", point, err))
			}
		}
	}},
	// Two fifths of the nodes are down while a change settles. Then the group loses its majority and one of them
	// starts: it may not serve and is not ready, as no instance can confirm the committed version. With the majority
	// back, the nodes restart one by one and serve under the new version.
	{name: "two in five down, back one by one, at first without the group", run: func(b *policyFixture) {
		down := b.nodes[:2*len(b.nodes)/5]
		for _, n := range down {
			n.Kill()
		}
		c := mustGet(b.change(policy.Proposal{}))
		b.forEachButFirst(b.group.kill)
		must(down[0].Start())
		time.Sleep(b.lease)
		if status, _, _ := b.sendOne(down[0].name); status == http.StatusOK {
			must(fmt.Errorf("node %s: status %d while no leader confirms the committed version, want a rejection",
				down[0].name, status))
		}
		if b.readiness.isReady(down[0].name) {
			must(fmt.Errorf("node %s is ready in the endpoint list while it rejects requests", down[0].name))
		}
		b.forEachButFirst(b.mustStart)
		for _, n := range down[1:] {
			must(n.Start())
			b.mustAllServe(c.Version)
		}
	}},
}

// PolicyCases returns the names of the cases, and OnlyLoad.
func PolicyCases() (names []string) {
	names = append(names, OnlyLoad)
	for _, c := range policyCases {
		names = append(names, c.name)
	}
	return names
}

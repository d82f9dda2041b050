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
	run  func(b *policyFixture)
	long bool // not with --quick
}

var policyCases = []policyCase{
	// A policy change settles while all is well; so does an exclusive one, under which no node may serve under the new
	// version while another serves under the old one.
	{name: "a change, and one without overlap", run: func(b *policyFixture) {
		mustGet(b.change(policy.Proposal{}))
		mustGet(b.change(policy.Proposal{Exclusive: true}))
	}},
	// A node holds a change up, and is killed before it has prepared it. The change settles without it; started again,
	// the node serves under the new version.
	{name: "killed before it prepared", run: func(b *policyFixture) {
		n := b.nodes[0]
		c := b.proposeBlockedBy(n, policy.Proposal{})
		n.Kill()
		b.heal()
		b.mustSettle(c)
		must(n.Start())
		b.mustAllServe(c.version)
	}},
	// A node is killed after it has prepared a change that another one holds up. The change settles; started again,
	// the node serves under the new version.
	{name: "killed after it prepared", run: func(b *policyFixture) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, n)
		n.Kill()
		b.heal()
		b.mustSettle(c)
		must(n.Start())
		b.mustAllServe(c.version)
	}},
	// The change is decided while two nodes that prepared it hear nothing from the group. One is killed, the other is
	// fenced as its lease ends. The change settles; both serve under it once they are told.
	{name: "killed between the decision and being told", run: func(b *policyFixture) {
		slow, n, cut := b.nodes[1], b.nodes[0], b.nodes[2]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, n, cut)
		b.setLinkFault(linkFault{dropReplies: true}, n, cut) // neither hears any more, and the slow one goes on
		b.release(slow, c, policy.Committed, policy.Settled)
		n.Kill() // the other one is fenced instead
		mustGet(b.AwaitStep(c.number, 20*time.Second, policy.Settled))
		b.heal()
		must(n.Start())
		b.settleWhenHealed(c)
	}},
	// A node's process stands still for longer than its lease, and a change settles meanwhile. Continued, the node
	// must not answer under the old version: it is fenced until it has the new one.
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
	// The nodes of a zone lose the group while their callers reach them. A change settles without them; they are
	// fenced as their leases end, and follow once the zone is connected again.
	{name: "a zone cut off from the group, not from its callers", run: func(b *policyFixture) {
		b.partitionFromGroup(b.nodesIn("z2")...)
		b.settleWhenHealed(b.propose("", policy.Proposal{}))
	}},
	// One node's heartbeats are lost on their way to the group, another's answers on their way back. A change settles
	// without them, and both follow once the links are whole.
	{name: "one-way cuts", run: func(b *policyFixture) {
		b.setLinkFault(linkFault{dropRequests: true}, b.nodes[0])
		b.setLinkFault(linkFault{dropReplies: true}, b.nodes[1])
		b.settleWhenHealed(b.propose("", policy.Proposal{}))
	}},
	// The leader is killed while a node has yet to prepare a change. The next leader settles it.
	{name: "the leader killed while nodes prepare", run: func(b *policyFixture) {
		b.replaceLeader(b.proposeBlockedBy(b.nodes[4%len(b.nodes)], policy.Proposal{}, b.nodes[0]))
	}},
	// An exclusive change is decided (held, policy.Decided), but waits for a node that prepared it and hears nothing.
	// The leader is killed then; the next one settles the change.
	{name: "the leader killed while it is held, without overlap", run: func(b *policyFixture) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{Exclusive: true}, cut)
		b.setLinkFault(linkFault{dropReplies: true}, cut)
		b.release(slow, c, policy.Decided, policy.Committed, policy.Settled)
		b.replaceLeader(c)
	}},
	// Two of three instances are killed in the middle of a change, for longer than any lease. The nodes are fenced;
	// with the majority back the change settles.
	{name: "no majority in the middle, and back", run: func(b *policyFixture) {
		c := b.proposeBlockedBy(b.nodes[1], policy.Proposal{PrepareWithinMS: 30_000})
		b.forEachButFirst(b.group.kill)
		time.Sleep(b.lease + b.lease/2) // past every lease
		b.heal()
		b.forEachButFirst(b.mustStart)
		b.mustSettle(c)
	}},
	// The leader's links to all nodes take a second a piece. A change settles all the same.
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
	// One node's platform does not have a class that the new policy names, and it rejects the version. The change is
	// called off with its reason, and all serve on under the old one.
	{name: "a node says no", run: func(b *policyFixture) {
		more := "[class fill]\nkind = replayable\nvalue = 2\nresponse_target = 500ms\nclient_timeout = 3s\n"
		c := mustGet(b.awaitAborted(b.propose(more, policy.Proposal{}).number))
		if !strings.Contains(c.AbortReason, "class fill: found it in the policy") {
			must(fmt.Errorf("called off for %q, expected the odd node's no", c.AbortReason))
		}
	}},
	// A node never gets the new version. The change is called off when its time to prepare is over, and all serve on
	// under the old one.
	{name: "a node never answers", run: func(b *policyFixture) {
		mustGet(b.awaitAborted(b.proposeBlockedBy(b.nodes[0], policy.Proposal{PrepareWithinMS: 3000}).number))
	}},
	// A node never gets the new version, but the change may leave one node behind. It settles without the node, which
	// follows once it can.
	{name: "it is left behind, and comes after", run: func(b *policyFixture) {
		b.settleWhenHealed(b.proposeBlockedBy(b.nodes[0], policy.Proposal{PrepareWithinMS: 3000, MaxLeftBehind: 1}))
	}},
	// A node that said it prepared a version is killed and started again while another holds the change up. The change
	// counts on what its new incarnation says, and settles. The node keeps its folder, so it has the version; "its next
	// incarnation hears nothing" has one that forgets.
	{name: "says prepared and forgets it", run: func(b *policyFixture) {
		slow, n := b.nodes[1], b.nodes[0]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, n)
		n.Kill()
		must(n.Start())
		b.setLinkFault(linkFault{}, slow)
		b.mustSettle(c)
	}},
	// A node is killed and started again every 300 ms throughout a change. The change settles, and the node serves
	// under it in the end.
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
	// A node starts while a change waits for another one. It joins, prepares the version like the others, and the
	// change settles.
	{name: "joins in the middle", run: func(b *policyFixture) {
		n, slow := b.nodes[0], b.nodes[1]
		n.Kill()
		c := b.proposeBlockedBy(slow, policy.Proposal{})
		must(n.Start())
		must(b.AwaitPrepared(n.name, c.version))
		b.heal()
		b.mustSettle(c)
	}},
	// A node is drained while a change waits for another one. It leaves the fleet, the change settles without it, and
	// started again it serves under the new version.
	{name: "drains in the middle", run: func(b *policyFixture) {
		n, slow := b.nodes[0], b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{})
		n.Drain()
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].OutReason != membership.OutLeft {
				err = fmt.Errorf("%s is %q, expected %q", n.name, all[n.name].OutReason, membership.OutLeft)
			}
			return err
		}))
		b.heal()
		b.mustSettle(c)
		<-n.process.done()
		must(n.Start())
		b.mustAllServe(c.version)
	}},
	// The new version retires the classes that callers use. The nodes' trial on shadow traffic finds that it would
	// reject nearly everything, and the change is called off.
	{name: "a version that would shed everything", run: func(b *policyFixture) {
		more := ""
		for _, c := range []string{"view", "submit"} {
			const section = "[class %s]\nkind = %s\nretired = yes\nresponse_target = 300ms\nclient_timeout = 3s\n"
			more += fmt.Sprintf(section, c,
				map[string]string{"view": "replayable", "submit": "uniqued\nwindow = 20s"}[c])
		}
		c := mustGet(b.awaitAborted(b.propose(more, policy.Proposal{}).number))
		if !strings.Contains(c.AbortReason, "requests of the trial were shed") {
			must(fmt.Errorf("called off for %q, expected the trial's finding", c.AbortReason))
		}
	}},
	// An operator calls a change off before it is decided: all serve on under the old version. The next change is
	// decided first, and can't be called off any more.
	{name: "called off before it is decided, and not after", run: func(b *policyFixture) {
		slow := b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{})
		if no := mustGet(b.abort(c.number)); no != "" {
			must(fmt.Errorf("before it is decided: %s, expected it called off", no))
		}
		mustGet(b.awaitAborted(c.number))
		b.heal()
		c = b.proposeBlockedBy(slow, policy.Proposal{}, b.nodes[0])
		b.setLinkFault(linkFault{}, slow)
		must(b.AwaitPrepared(slow.name, c.version))
		mustGet(b.AwaitStep(c.number, 20*time.Second, policy.Committed, policy.Settled))
		if mustGet(b.abort(c.number)) == "" {
			must(errors.New("after it was decided: called off, expected a no"))
		}
		b.mustSettle(c)
	}},
	// A node that prepared a change is killed and forgets what it prepared. Its next incarnation joins, but no answer
	// reaches it. The change may not be decided as if it still had the version.
	{name: "its next incarnation hears nothing", run: func(b *policyFixture) {
		// Under a lease that is long beside what a slow machine takes to go on, so that the change can't wait it out by
		// chance.
		b.lease = 4 * testLease
		mustGet(b.change(policy.Proposal{}))
		b.lease = testLease // of the next one
		slow, n := b.nodes[1], b.nodes[0]
		c := b.proposeBlockedBy(slow, policy.Proposal{PrepareWithinMS: 30_000}, n)
		n.Kill()
		must(os.Remove(filepath.Join(n.policyDir, "policy.json"))) // it forgets what it prepared
		b.setLinkFault(linkFault{dropReplies: true}, n)            // it joins, and no answer reaches it
		before := mustGet(b.Nodes())
		must(n.Start())
		must(b.await(10*time.Second, func() error {
			all, err := b.Nodes()
			if err == nil && all[n.name].Lease.ID == before[n.name].Lease.ID {
				err = fmt.Errorf("%s has not begun anew", n.name)
			}
			return err
		}))
		is := b.release(slow, c, policy.Committed, policy.Settled)
		if v := mustGet(b.Nodes())[n.name]; v.JoinedAtMS < is.DecidedAtMS &&
			(v.OutReason == "" || v.OutAtMS > is.DecidedAtMS) {
			must(fmt.Errorf("decided at %d, and %s, in since %d and without the version, was out at %d",
				is.DecidedAtMS, n.name,
				v.JoinedAtMS, v.OutAtMS))
		}
		b.heal()
		b.mustSettle(c)
	}},
	// A change settles. Then a node starts, and is answered by an instance that knows only the version before it. The
	// node may not serve by that word; it serves once it hears from the group.
	{name: "an instance that is behind speaks to a node that starts", run: func(b *policyFixture) {
		n := b.nodes[4%len(b.nodes)]
		var s consensus.Report
		mustGet(b.requestAny(http.MethodGet, "/v1/status", nil, &s))
		var was consensus.Version
		mustGet(b.requestAny(http.MethodGet, fmt.Sprintf("/v1/config?version=%d&read=stale", b.committedVersion), nil, &was))
		old := api.VersionHash{Version: was.Number, Hash: was.Hash}
		says := mustGet(json.Marshal(api.HeartbeatResponse{Cluster: s.Cluster, Term: s.Term, Index: s.Applied,
			LeaseID: 1 << 30, LeaseMS: 60_000,
			DecidedVersion: old.Version, CommittedVersion: old, NextHeartbeatMS: 200}))
		c := mustGet(b.change(policy.Proposal{}))
		n.Kill()
		b.setLinkFault(linkFault{staleResponse: says}, n)
		must(n.Start())
		time.Sleep(b.lease)
		if code, _, _ := b.sendOne(n.name); code == http.StatusOK {
			must(fmt.Errorf("%s serves by the word of an instance that is behind", n.name))
		}
		b.heal()
		n.Kill() // the one that lied is not asked for a minute
		must(n.Start())
		b.mustAllServe(c.Version)
	}},
	// The callers of a zone can't reach it, and the group can. A change settles with its nodes.
	{name: "a zone cut off from its callers, not from the group", run: func(b *policyFixture) {
		for _, n := range b.nodesIn("z3") {
			b.group.forwarders.set("callers", n.name, linkFault{cut: true})
		}
		c := mustGet(b.change(policy.Proposal{}))
		b.heal()
		b.mustAllServe(c.Version)
	}},
	// A change is in force, and one node that prepared it hears nothing. The leader is killed before the change has
	// settled; the next one settles it.
	{name: "the leader killed before it has settled", run: func(b *policyFixture) {
		cut, slow := b.nodes[5%len(b.nodes)], b.nodes[1]
		c := b.proposeBlockedBy(slow, policy.Proposal{}, cut)
		b.setLinkFault(linkFault{dropReplies: true}, cut)
		b.release(slow, c, policy.Committed, policy.Settled)
		b.replaceLeader(c)
	}},
	// The leader kills itself at each step of its own work in turn, in the middle of an exclusive change. The next
	// leader settles the change each time.
	{name: "the leader kills itself at each step of its work", long: true, run: func(b *policyFixture) {
		for _, point := range stepNames() {
			for _, p := range b.group.instances { // started anew, so that a signal arms the crash
				b.group.kill(p)
				must(b.group.start(p, point))
				b.mustAllServe(b.committedVersion)
			}
			c := b.proposeBlockedBy(b.nodes[2], policy.Proposal{Exclusive: true})
			p := mustGet(b.killLeader()) // by the step it is armed for
			b.heal()
			b.mustStart(p)
			if _, err := b.awaitSettled(c.number, c.version); err != nil {
				must(fmt.Errorf("at %s: %w", point, err))
			}
		}
	}},
	// Two nodes in five are down while a change settles. Then the group loses its majority, and one of them starts: it
	// may not serve and is not ready, as nobody can tell it what is in force. With the group back, they come back one
	// by one under the new version.
	{name: "two in five down, back one by one, at first without the group", run: func(b *policyFixture) {
		down := b.nodes[:2*len(b.nodes)/5]
		for _, n := range down {
			n.Kill()
		}
		c := mustGet(b.change(policy.Proposal{}))
		b.forEachButFirst(b.group.kill)
		must(down[0].Start())
		time.Sleep(b.lease)
		if code, _, _ := b.sendOne(down[0].name); code == http.StatusOK {
			must(fmt.Errorf("%s serves, and nobody can have told it what is in force", down[0].name))
		}
		if b.readiness.isReady(down[0].name) {
			must(fmt.Errorf("%s is ready by the list, and takes nothing", down[0].name))
		}
		b.forEachButFirst(b.mustStart)
		for _, n := range down[1:] {
			must(n.Start())
			b.mustAllServe(c.Version)
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

package simulation

import (
	"testing"

	"umberwinch/internal/control/consensus"
)

// newGrownGroup gives a group that has grown to size, without faults. The test fails if a promise is broken by its
// end.
func newGrownGroup(t *testing.T, size int) *ConsensusGroup {
	t.Helper()
	g := NewConsensusGroup(int64(size)*77, size, 0)
	if !g.waitFor(20000, func() bool { return g.voterCount() == size }) {
		t.Fatalf("the group did not grow: %s", g.Broken)
	}
	t.Cleanup(func() {
		if g.Broken != "" {
			t.Errorf("broken: %s", g.Broken)
		}
	})
	return g
}

// putVersion puts a version at a host, which has to be applied there within some time.
func putVersion(t *testing.T, g *ConsensusGroup, h *host, ms int64) {
	t.Helper()
	if !g.proposeAndWait(h, ms) {
		t.Fatalf("at %d ms: no write was taken within %d ms; %s", g.Now, ms, g.Broken)
	}
}

// waitUntilSettled waits until all voters take part and have the same state.
func waitUntilSettled(t *testing.T, g *ConsensusGroup) {
	t.Helper()
	if !g.waitUntilSettled() {
		t.Fatal(g.Broken)
	}
}

// TestSlowFollower: a follower of three stalls for 3 s. Meanwhile each write has a majority without it and takes no
// longer. When it goes on it is caught up to the leader's version.
func TestSlowFollower(t *testing.T) {
	g := newGrownGroup(t, 3)
	slow := g.follower()
	slow.stalledUntil = g.Now + 3000
	for end := g.Now + 2500; g.Now < end; {
		putVersion(t, g, g.leader(), 2*g.maxDelay+tickMS)
	}
	waitUntilSettled(t, g)
	if slow.replica.Status().Version != g.leader().replica.Status().Version {
		t.Fatal("the slow follower was not caught up")
	}
}

// TestStalledDisk: the leader's disk stalls for 3 s. Another instance is elected and takes writes; the old leader,
// whose disk goes on, follows it, and each write that was in flight has one outcome.
func TestStalledDisk(t *testing.T) {
	g := newGrownGroup(t, 3)
	old := g.leader()
	old.stalledUntil = g.Now + 3000
	if !g.waitFor(2500, func() bool { l := g.leader(); return l != nil && l != old }) {
		t.Fatal("no other took over while the disk stalled")
	}
	putVersion(t, g, g.leader(), 500)
	waitUntilSettled(t, g)
	if s := old.replica.Status(); s.Role == "leader" {
		t.Fatal("the old leader still leads")
	}
}

// TestThreeOfFive: of five instances two go down and writes go on. A third goes down: there is no quorum, writes
// stop and nothing new is applied. It comes back, and a write is taken within the promised time.
func TestThreeOfFive(t *testing.T) {
	g := newGrownGroup(t, 5)
	var down []*host
	stop := func() {
		h := g.follower(down...)
		g.crashHost(h, 1<<40)
		down = append(down, h)
	}
	stop()
	stop()
	putVersion(t, g, g.leader(), 500)
	l := g.leader()
	stop()
	if g.proposeAndWait(l, 3000) {
		t.Fatal("two of five took a write")
	}
	g.startHost(down[2], false)
	if !g.waitFor(writeRecoveryMS, func() bool { return g.leader() != nil && g.proposeAndWait(g.leader(), 300) }) {
		t.Fatalf("no write within %d ms of the third's return", writeRecoveryMS)
	}
	g.startHost(down[0], false)
	g.startHost(down[1], false)
	waitUntilSettled(t, g)
}

// TestGrowWithOneDown: one of three instances is down as a fourth joins. The two that are left are a quorum: the
// fourth becomes a voter, writes go on, and the instance that was down is caught up when it comes back.
func TestGrowWithOneDown(t *testing.T) {
	g := newGrownGroup(t, 3)
	away := g.follower()
	g.crashHost(away, 1<<40)
	g.votersWanted = 4
	g.addHost(false)
	if !g.waitFor(10000, func() bool { return g.voterCount() == 4 }) {
		t.Fatal("the fourth did not become a voter while one was down")
	}
	putVersion(t, g, g.leader(), 500)
	g.startHost(away, false)
	waitUntilSettled(t, g)
}

// TestOldEntriesVanish: a leader is partitioned from the others and appends entries that no majority gets. The
// others elect a leader and commit a write. When the partition ends the old leader has the others' entries in place
// of its own, has applied none of its own, and raises no term.
func TestOldEntriesVanish(t *testing.T) {
	g := newGrownGroup(t, 3)
	old := g.leader()
	g.partition(3000, func(a, b *host) bool { return a == old || b == old })
	for i := 0; i < 3; i++ {
		if g.proposeAndWait(old, 100) {
			t.Fatal("a leader alone applied a write")
		}
	}
	_, lastIndex := old.replica.LogBounds()
	if !g.waitFor(2500, func() bool { l := g.leader(); return l != nil && l != old }) {
		t.Fatal("the others have no leader")
	}
	putVersion(t, g, g.leader(), 500)
	term := g.leader().replica.Status().Term
	g.Run(g.Now + 2500)
	waitUntilSettled(t, g)
	if now := g.leader().replica.Status(); now.Term != term || now.Version != 1 {
		t.Fatalf("term %d and version %d, expected term %d and version 1, with %d entries held alone", now.Term,
			now.Version, term, lastIndex)
	}
}

// TestOneWay: a follower's network fails in one direction for 4 s. Whether it receives nothing or none of its messages
// arrive, pre-vote keeps it from raising the term: the leader stays, and writes go on.
func TestOneWay(t *testing.T) {
	for _, receivesNothing := range []bool{true, false} {
		g := newGrownGroup(t, 3)
		l, f := g.leader(), g.follower()
		term := l.replica.Status().Term
		g.partition(4000, func(a, b *host) bool { return receivesNothing && b == f || !receivesNothing && a == f })
		for i := 0; i < 4; i++ {
			putVersion(t, g, l, 500)
			g.Run(g.Now + 800)
		}
		waitUntilSettled(t, g)
		if g.leader() != l || l.replica.Status().Term != term {
			t.Fatalf("the follower receives nothing %v: the leader changed", receivesNothing)
		}
	}
}

// TestRemovedKeepsTalking: an instance is removed from the group while it is partitioned, so that it doesn't learn
// of it. It comes back and goes on as a member would. The others reject it: the term stays and writes go on.
func TestRemovedKeepsTalking(t *testing.T) {
	g := newGrownGroup(t, 3)
	f := g.follower()
	id := f.id
	g.partition(2000, func(a, b *host) bool { return a == f || b == f })
	g.votersWanted = 2
	l := g.leader()
	l.replica.Change(consensus.Change{Op: "remove", Member: consensus.Member{ID: id}})
	g.processReady(l)
	g.Run(g.Now + 4000)
	term := g.leader().replica.Status().Term
	for i := 0; i < 5; i++ {
		putVersion(t, g, g.leader(), 500)
		g.Run(g.Now + 500)
	}
	if g.leader().replica.Status().Term != term {
		t.Fatal("a removed instance raised the term")
	}
}

// TestTransfer: an operator has the leader transfer leadership to a follower. That takes a few round trips, not an
// election timeout, and the new leader takes writes.
func TestTransfer(t *testing.T) {
	g := newGrownGroup(t, 3)
	l, to := g.leader(), g.follower()
	if err := l.replica.Transfer(to.id); err != nil {
		t.Fatal(err)
	}
	g.processReady(l)
	if !g.waitFor(8*g.maxDelay, func() bool { return g.leader() == to }) {
		t.Fatal("the lead was not handed over in a few round trips")
	}
	putVersion(t, g, to, 500)
}

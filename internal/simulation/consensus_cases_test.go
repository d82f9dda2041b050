package simulation

import (
	"testing"

	"umberwinch/internal/control/consensus"
)

// newGrownGroup returns a group that has grown to size without faults. The test fails if an invariant is violated by
// its end.
func newGrownGroup(t *testing.T, size int) *ConsensusGroup {
	t.Helper()
	g := NewConsensusGroup(int64(size)*77, size, 0)
	if !g.waitFor(20000, func() bool { return g.voterCount() == size }) {
		t.Fatalf("the group did not grow to %d voters: %s", size, g.Broken)
	}
	t.Cleanup(func() {
		if g.Broken != "" {
			t.Errorf("invariant violated: %s", g.Broken)
		}
	})
	return g
}

// putVersion proposes a version at a host, which must be applied there within ms.
func putVersion(t *testing.T, g *ConsensusGroup, h *host, ms int64) {
	t.Helper()
	if !g.proposeAndWait(h, ms) {
		t.Fatalf("at %d ms: no write was applied within %d ms; %s", g.Now, ms, g.Broken)
	}
}

// waitUntilSettled waits until all voters are members and have the same state.
func waitUntilSettled(t *testing.T, g *ConsensusGroup) {
	t.Helper()
	if !g.waitUntilSettled() {
		t.Fatal(g.Broken)
	}
}

// TestSlowFollowerDoesNotDelayWrites: one of three instances stalls for 3 s. Writes commit in a few round trips
// meanwhile, and the follower catches up afterwards.
func TestSlowFollowerDoesNotDelayWrites(t *testing.T) {
	g := newGrownGroup(t, 3)
	slow := g.follower()
	slow.stalledUntil = g.Now + 3000
	for end := g.Now + 2500; g.Now < end; {
		putVersion(t, g, g.leader(), 2*g.maxDelay+tickMS)
	}
	waitUntilSettled(t, g)
	if slow.replica.Status().Version != g.leader().replica.Status().Version {
		t.Fatalf("version of the slow follower = %d, want %d", slow.replica.Status().Version,
			g.leader().replica.Status().Version)
	}
}

// TestStalledLeaderIsReplaced: the leader stalls for 3 s. Another instance is elected and accepts writes, and the old
// leader follows it afterwards.
func TestStalledLeaderIsReplaced(t *testing.T) {
	g := newGrownGroup(t, 3)
	old := g.leader()
	old.stalledUntil = g.Now + 3000
	if !g.waitFor(2500, func() bool { l := g.leader(); return l != nil && l != old }) {
		t.Fatal("no other leader was elected while the leader stalled")
	}
	putVersion(t, g, g.leader(), 500)
	waitUntilSettled(t, g)
	if s := old.replica.Status(); s.Role == "leader" {
		t.Fatalf("role of the old leader = %q, want another", s.Role)
	}
}

// TestQuorumOfFive: with two of five instances down writes succeed; with three down nothing is applied. Once the third
// is back a write is applied within writeRecoveryMS.
func TestQuorumOfFive(t *testing.T) {
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
		t.Fatal("a write was applied with two of five instances running")
	}
	g.startHost(down[2], false)
	if !g.waitFor(writeRecoveryMS, func() bool { return g.leader() != nil && g.proposeAndWait(g.leader(), 300) }) {
		t.Fatalf("no write was applied within %d ms of the return of the third instance", writeRecoveryMS)
	}
	g.startHost(down[0], false)
	g.startHost(down[1], false)
	waitUntilSettled(t, g)
}

// TestGrowWithOneDown: a fourth instance becomes a voter while one of three is down, writes succeed, and the instance
// that was down catches up.
func TestGrowWithOneDown(t *testing.T) {
	g := newGrownGroup(t, 3)
	away := g.follower()
	g.crashHost(away, 1<<40)
	g.votersWanted = 4
	g.addHost(false)
	if !g.waitFor(10000, func() bool { return g.voterCount() == 4 }) {
		t.Fatal("the fourth instance did not become a voter while one was down")
	}
	putVersion(t, g, g.leader(), 500)
	g.startHost(away, false)
	waitUntilSettled(t, g)
}

// TestUncommittedEntriesAreReplaced: a partitioned leader appends entries that never reach a majority, while the others
// elect a leader and commit a write. After the partition the old leader's entries are replaced by the others', it
// applies none of its own and doesn't raise the term.
func TestUncommittedEntriesAreReplaced(t *testing.T) {
	g := newGrownGroup(t, 3)
	old := g.leader()
	g.partition(3000, func(a, b *host) bool { return a == old || b == old })
	for i := 0; i < 3; i++ {
		if g.proposeAndWait(old, 100) {
			t.Fatal("a leader without a majority applied a write")
		}
	}
	_, lastIndex := old.replica.LogBounds()
	if !g.waitFor(2500, func() bool { l := g.leader(); return l != nil && l != old }) {
		t.Fatal("the majority elected no leader")
	}
	putVersion(t, g, g.leader(), 500)
	term := g.leader().replica.Status().Term
	g.Run(g.Now + 2500)
	waitUntilSettled(t, g)
	if now := g.leader().replica.Status(); now.Term != term || now.Version != 1 {
		t.Fatalf("term %d and version %d, want term %d and version 1; last index of the old leader before: %d",
			now.Term, now.Version, term, lastIndex)
	}
}

// TestOneWayPartition: a follower's network fails in one direction for 4 s, either inbound or outbound. Pre-vote keeps
// it from raising the term: the leader stays, and writes succeed.
func TestOneWayPartition(t *testing.T) {
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
			t.Fatalf("receivesNothing = %v: the leader or its term changed", receivesNothing)
		}
	}
}

// TestRemovedInstanceIsRejected: an instance is removed while it is partitioned, and rejoins without knowledge of its
// removal. The others reject it: the term stays and writes succeed.
func TestRemovedInstanceIsRejected(t *testing.T) {
	g := newGrownGroup(t, 3)
	f := g.follower()
	id := f.id
	g.partition(2000, func(a, b *host) bool { return a == f || b == f })
	g.votersWanted = 2
	l := g.leader()
	l.replica.ProposeMemberChange(consensus.MemberChange{Op: "remove", Member: consensus.Member{ID: id}})
	g.processReady(l)
	g.Run(g.Now + 4000)
	term := g.leader().replica.Status().Term
	for i := 0; i < 5; i++ {
		putVersion(t, g, g.leader(), 500)
		g.Run(g.Now + 500)
	}
	if g.leader().replica.Status().Term != term {
		t.Fatalf("term = %d, want %d: a removed instance raised it", g.leader().replica.Status().Term, term)
	}
}

// TestLeadershipTransfer: a transfer takes a few round trips rather than an election timeout, and the new leader
// accepts writes.
func TestLeadershipTransfer(t *testing.T) {
	g := newGrownGroup(t, 3)
	l, to := g.leader(), g.follower()
	if err := l.replica.Transfer(to.id); err != nil {
		t.Fatal(err)
	}
	g.processReady(l)
	if !g.waitFor(8*g.maxDelay, func() bool { return g.leader() == to }) {
		t.Fatalf("the leadership was not transferred within %d ms", 8*g.maxDelay)
	}
	putVersion(t, g, to, 500)
}

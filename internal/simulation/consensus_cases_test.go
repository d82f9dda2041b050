package simulation

import (
	"testing"

	"umberwinch/internal/control/consensus"
)

// newGrownGroup gives a group that has grown to size, without faults. The test fails if a promise is broken by its
// end.
func newGrownGroup(t *testing.T, size int) *ConsensusGroup {
	t.Helper()
	w := NewConsensusGroup(int64(size)*77, size, 0)
	if !w.waitFor(20000, func() bool { return w.voterCount() == size }) {
		t.Fatalf("the group did not grow: %s", w.Broken)
	}
	t.Cleanup(func() {
		if w.Broken != "" {
			t.Errorf("broken: %s", w.Broken)
		}
	})
	return w
}

// putVersion puts a version at a host, which has to be applied there within some time.
func putVersion(t *testing.T, w *ConsensusGroup, h *host, ms int64) {
	t.Helper()
	if !w.proposeAndWait(h, ms) {
		t.Fatalf("at %d ms: no write was taken within %d ms; %s", w.Now, ms, w.Broken)
	}
}

// waitUntilSettled waits until all voters take part and have the same state.
func waitUntilSettled(t *testing.T, w *ConsensusGroup) {
	t.Helper()
	if !w.waitUntilSettled() {
		t.Fatal(w.Broken)
	}
}

// TestSlowFollower: a follower of three stalls for 3 s. Meanwhile each write has a majority without it and takes no
// longer. When it goes on it is caught up to the leader's version.
func TestSlowFollower(t *testing.T) {
	w := newGrownGroup(t, 3)
	slow := w.follower()
	slow.stalledUntil = w.Now + 3000
	for end := w.Now + 2500; w.Now < end; {
		putVersion(t, w, w.leader(), 2*w.maxDelay+tickMS)
	}
	waitUntilSettled(t, w)
	if slow.replica.Status().Version != w.leader().replica.Status().Version {
		t.Fatal("the slow follower was not caught up")
	}
}

// TestStalledDisk: the leader's disk stalls for 3 s. Another instance is elected and takes writes; the old leader,
// whose disk goes on, follows it, and each write that was in flight has one outcome.
func TestStalledDisk(t *testing.T) {
	w := newGrownGroup(t, 3)
	old := w.leader()
	old.stalledUntil = w.Now + 3000
	if !w.waitFor(2500, func() bool { l := w.leader(); return l != nil && l != old }) {
		t.Fatal("no other took over while the disk stalled")
	}
	putVersion(t, w, w.leader(), 500)
	waitUntilSettled(t, w)
	if s := old.replica.Status(); s.Role == "leader" {
		t.Fatal("the old leader still leads")
	}
}

// TestThreeOfFive: of five instances two go down and writes go on. A third goes down: there is no quorum, writes
// stop and nothing new is applied. It comes back, and a write is taken within the promised time.
func TestThreeOfFive(t *testing.T) {
	w := newGrownGroup(t, 5)
	var down []*host
	stop := func() {
		h := w.follower(down...)
		w.crashHost(h, 1<<40)
		down = append(down, h)
	}
	stop()
	stop()
	putVersion(t, w, w.leader(), 500)
	l := w.leader()
	stop()
	if w.proposeAndWait(l, 3000) {
		t.Fatal("two of five took a write")
	}
	w.startHost(down[2], false)
	if !w.waitFor(writeRecoveryMS, func() bool { return w.leader() != nil && w.proposeAndWait(w.leader(), 300) }) {
		t.Fatalf("no write within %d ms of the third's return", writeRecoveryMS)
	}
	w.startHost(down[0], false)
	w.startHost(down[1], false)
	waitUntilSettled(t, w)
}

// TestGrowWithOneDown: one of three instances is down as a fourth joins. The two that are left are a quorum: the
// fourth becomes a voter, writes go on, and the instance that was down is caught up when it comes back.
func TestGrowWithOneDown(t *testing.T) {
	w := newGrownGroup(t, 3)
	away := w.follower()
	w.crashHost(away, 1<<40)
	w.votersWanted = 4
	w.addHost(false)
	if !w.waitFor(10000, func() bool { return w.voterCount() == 4 }) {
		t.Fatal("the fourth did not become a voter while one was down")
	}
	putVersion(t, w, w.leader(), 500)
	w.startHost(away, false)
	waitUntilSettled(t, w)
}

// TestOldEntriesVanish: a leader is partitioned from the others and appends entries that no majority gets. The
// others elect a leader and commit a write. When the partition ends the old leader has the others' entries in place
// of its own, has applied none of its own, and raises no term.
func TestOldEntriesVanish(t *testing.T) {
	w := newGrownGroup(t, 3)
	old := w.leader()
	w.partition(3000, func(a, b *host) bool { return a == old || b == old })
	for i := 0; i < 3; i++ {
		if w.proposeAndWait(old, 100) {
			t.Fatal("a leader alone applied a write")
		}
	}
	_, held := old.replica.LogBounds()
	if !w.waitFor(2500, func() bool { l := w.leader(); return l != nil && l != old }) {
		t.Fatal("the others have no leader")
	}
	putVersion(t, w, w.leader(), 500)
	term := w.leader().replica.Status().Term
	w.Run(w.Now + 2500)
	waitUntilSettled(t, w)
	if now := w.leader().replica.Status(); now.Term != term || now.Version != 1 {
		t.Fatalf("term %d and version %d, expected term %d and version 1, with %d entries held alone", now.Term,
			now.Version, term, held)
	}
}

// TestOneWay: a follower's network fails in one direction for 4 s. Whether it receives nothing or none of its messages
// arrive, pre-vote keeps it from raising the term: the leader stays, and writes go on.
func TestOneWay(t *testing.T) {
	for _, receivesNothing := range []bool{true, false} {
		w := newGrownGroup(t, 3)
		l, f := w.leader(), w.follower()
		term := l.replica.Status().Term
		w.partition(4000, func(a, b *host) bool { return receivesNothing && b == f || !receivesNothing && a == f })
		for i := 0; i < 4; i++ {
			putVersion(t, w, l, 500)
			w.Run(w.Now + 800)
		}
		waitUntilSettled(t, w)
		if w.leader() != l || l.replica.Status().Term != term {
			t.Fatalf("the follower receives nothing %v: the leader changed", receivesNothing)
		}
	}
}

// TestRemovedKeepsTalking: an instance is removed from the group while it is partitioned, so that it doesn't learn
// of it. It comes back and goes on as a member would. The others reject it: the term stays and writes go on.
func TestRemovedKeepsTalking(t *testing.T) {
	w := newGrownGroup(t, 3)
	f := w.follower()
	id := f.id
	w.partition(2000, func(a, b *host) bool { return a == f || b == f })
	w.votersWanted = 2
	l := w.leader()
	l.replica.Change(consensus.Change{Op: "remove", Member: consensus.Member{ID: id}})
	w.processReady(l)
	w.Run(w.Now + 4000)
	term := w.leader().replica.Status().Term
	for i := 0; i < 5; i++ {
		putVersion(t, w, w.leader(), 500)
		w.Run(w.Now + 500)
	}
	if w.leader().replica.Status().Term != term {
		t.Fatal("a removed instance raised the term")
	}
}

// TestTransfer: an operator has the leader transfer leadership to a follower. That takes a few round trips, not an
// election timeout, and the new leader takes writes.
func TestTransfer(t *testing.T) {
	w := newGrownGroup(t, 3)
	l, to := w.leader(), w.follower()
	if err := l.replica.Transfer(to.id); err != nil {
		t.Fatal(err)
	}
	w.processReady(l)
	if !w.waitFor(8*w.maxDelay, func() bool { return w.leader() == to }) {
		t.Fatal("the lead was not handed over in a few round trips")
	}
	putVersion(t, w, to, 500)
}

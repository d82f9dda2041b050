package simulation

import (
	"testing"

	"umberwinch/internal/control/consensus"
)

// newGrownGroup gives a calm group, and fails the test where the world finds anything broken by its end.
func newGrownGroup(t *testing.T, size int) *ConsensusGroup {
	t.Helper()
	w := NewConsensusGroup(int64(size)*77, size, 0)
	if !w.waitFor(20000, func() bool { return w.voters() == size }) {
		t.Fatalf("the group did not grow: %s", w.Broken)
	}
	t.Cleanup(func() {
		if w.Broken != "" {
			t.Errorf("broken: %s", w.Broken)
		}
	})
	return w
}

// putVersion has a version taken at a host within some time.
func putVersion(t *testing.T, w *ConsensusGroup, h *host, ms int64) {
	t.Helper()
	if !w.putByScript(h, ms) {
		t.Fatalf("at %d ms: no write was taken within %d ms; %s", w.Now, ms, w.Broken)
	}
}

func waitUntilSettled(t *testing.T, w *ConsensusGroup) {
	t.Helper()
	if !w.waitUntilSettled() {
		t.Fatal(w.Broken)
	}
}

// TestSlowFollower: one that stands still for 3 s slows no write and is caught up after.
func TestSlowFollower(t *testing.T) {
	w := newGrownGroup(t, 3)
	slow := w.follower()
	slow.frozen = w.Now + 3000
	for end := w.Now + 2500; w.Now < end; {
		putVersion(t, w, w.leader(), 2*w.maxDelay+tickMS)
	}
	waitUntilSettled(t, w)
	if slow.replica.Status().Version != w.leader().replica.Status().Version {
		t.Fatal("the slow one was not caught up")
	}
}

// TestStalledDisk: a leader whose disk stalls for 3 s is followed by another; what it held open has one end.
func TestStalledDisk(t *testing.T) {
	w := newGrownGroup(t, 3)
	old := w.leader()
	old.frozen = w.Now + 3000
	if !w.waitFor(2500, func() bool { l := w.leader(); return l != nil && l != old }) {
		t.Fatal("no other took over while the disk stalled")
	}
	putVersion(t, w, w.leader(), 500)
	waitUntilSettled(t, w)
	if s := old.replica.Status(); s.Role == "leader" {
		t.Fatal("the old leader still leads")
	}
}

// TestThreeOfFive: with two down writes go on; with a third they stop, and nothing new is applied; with it
// back they go on within the promise.
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
	if w.putByScript(l, 3000) {
		t.Fatal("two of five took a write")
	}
	w.startHost(down[2], false)
	if !w.waitFor(writesWithin, func() bool { return w.leader() != nil && w.putByScript(w.leader(), 300) }) {
		t.Fatalf("no write within %d ms of the third's return", writesWithin)
	}
	w.startHost(down[0], false)
	w.startHost(down[1], false)
	waitUntilSettled(t, w)
}

// TestGrowWithOneDown takes a fourth in while one of three is down.
func TestGrowWithOneDown(t *testing.T) {
	w := newGrownGroup(t, 3)
	away := w.follower()
	w.crashHost(away, 1<<40)
	w.votersWanted = 4
	w.addHost(false)
	if !w.waitFor(10000, func() bool { return w.voters() == 4 }) {
		t.Fatal("the fourth did not become a voter while one was down")
	}
	putVersion(t, w, w.leader(), 500)
	w.startHost(away, false)
	waitUntilSettled(t, w)
}

// TestOldEntriesVanish: a leader cut off takes entries that no majority gets. Back again it has the others'
// instead, it applied none of its own, and its term unseats nobody.
func TestOldEntriesVanish(t *testing.T) {
	w := newGrownGroup(t, 3)
	old := w.leader()
	w.partition(3000, func(a, b *host) bool { return a == old || b == old })
	for i := 0; i < 3; i++ {
		if w.putByScript(old, 100) {
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

// TestOneWay: a follower that hears nothing but is heard, and one that is heard by none, unseat no leader.
func TestOneWay(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		w := newGrownGroup(t, 3)
		l, f := w.leader(), w.follower()
		term := l.replica.Status().Term
		w.partition(4000, func(a, b *host) bool { return deaf && b == f || !deaf && a == f })
		for i := 0; i < 4; i++ {
			putVersion(t, w, l, 500)
			w.Run(w.Now + 800)
		}
		waitUntilSettled(t, w)
		if w.leader() != l || l.replica.Status().Term != term {
			t.Fatalf("deaf %v: the leader changed", deaf)
		}
	}
}

// TestRemovedKeepsTalking: an instance that was removed while it was cut off comes back and harms nothing.
func TestRemovedKeepsTalking(t *testing.T) {
	w := newGrownGroup(t, 3)
	f := w.follower()
	id := f.id
	w.partition(2000, func(a, b *host) bool { return a == f || b == f })
	w.votersWanted = 2
	l := w.leader()
	l.replica.Change(consensus.Change{Op: "remove", Member: consensus.Member{ID: id}})
	w.work(l)
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

// TestTransfer: a lead is handed over without waiting for an election.
func TestTransfer(t *testing.T) {
	w := newGrownGroup(t, 3)
	l, to := w.leader(), w.follower()
	if err := l.replica.Transfer(to.id); err != nil {
		t.Fatal(err)
	}
	w.work(l)
	if !w.waitFor(8*w.maxDelay, func() bool { return w.leader() == to }) {
		t.Fatal("the lead was not handed over in a few round trips")
	}
	putVersion(t, w, to, 500)
}

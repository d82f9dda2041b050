package simulation

import (
	"fmt"
	"math/rand"
	"strings"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/wal"
)

// Fault is one fault of a schedule, at a time after its beginning.
type Fault struct {
	AtMS         int64
	Kind         string
	HostA, HostB int   // hosts; -1 for the leader
	DurationMS   int64 // ms
	Parameter    int
}

// String is the fault as a trace shows it.
func (f Fault) String() string {
	return fmt.Sprintf("%6d ms %-8s a=%d b=%d for=%d n=%d", f.AtMS, f.Kind, f.HostA, f.HostB, f.DurationMS, f.Parameter)
}

// DrawFaults draws the faults of a seed, over some time.
func DrawFaults(seed int64, size int, ms int64) []Fault {
	r := rand.New(rand.NewSource(seed ^ 0x5eed))
	kinds := []string{"crash", "crash", "crash", "kill", "leader", "leader", "split", "split", "oneway", "flap",
		"loss", "slow", "stall", "copy", "back", "wipe", "transfer"}
	var out []Fault
	for at := int64(0); at < ms; at += 150 + int64(r.Intn(900)) {
		out = append(out, Fault{at, kinds[r.Intn(len(kinds))], r.Intn(size), r.Intn(size), 200 +
			int64(r.Intn(2500)),
			r.Intn(60)})
	}
	return out
}

// inject does a fault. What it opens it ends by itself.
func (w *ConsensusGroup) inject(f Fault) {
	h := w.hosts[f.HostA]
	if f.Kind == "leader" || f.Kind == "stall" {
		if l := w.leader(); l != nil {
			h = l
		}
	}
	if h.replica == nil && f.Kind != "split" && f.Kind != "loss" && f.Kind != "slow" {
		return
	}
	w.tracef("fault %v at host %d", f, h.number)
	switch f.Kind {
	case "crash", "leader": // somewhere within the next steps to its disk
		h.stepsToCrash = f.Parameter
	case "kill":
		w.crashHost(h, f.DurationMS)
	case "split":
		side := func(h *host) bool { return (h.number+f.Parameter)%len(w.hosts) <= f.HostB }
		w.partition(f.DurationMS, func(a, b *host) bool { return side(a) != side(b) })
	case "oneway":
		w.partition(f.DurationMS, func(a, b *host) bool { return a.number == f.HostA && (b.number == f.HostB || f.Parameter%2 == 0) })
	case "flap":
		for t := int64(0); t < f.DurationMS; t += 200 {
			w.after(t, func() { w.partition(100, func(a, b *host) bool { return a == h || b == h }) })
		}
	case "loss":
		w.lossPerMille = 20 + 4*f.Parameter
		w.after(f.DurationMS, func() { w.lossPerMille = 0 })
	case "slow":
		w.maxDelay = 100 + f.DurationMS/10
		w.after(f.DurationMS, func() { w.maxDelay = 20 })
	case "stall":
		h.stalledUntil = w.Now + 3000
	case "copy":
		h.savedDisk = h.disk.Copy()
	case "back":
		if h.savedDisk != nil && w.mayLoseDisk() {
			w.restoreCopy(h)
		}
	case "wipe":
		if w.mayLoseDisk() {
			w.wipeDisk(h)
		}
	case "transfer":
		h.replica.Transfer(0)
		w.processReady(h)
	}
}

// partition cuts the ways between hosts that a test picks, one way each, for some time.
func (w *ConsensusGroup) partition(ms int64, picks func(a, b *host) bool) {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if key := [2]int{a.number, b.number}; a != b && picks(a, b) && !w.blockedLinks[key] {
				w.blockedLinks[key] = true
				w.after(ms, func() { delete(w.blockedLinks, key) })
			}
		}
	}
}

// mayLoseDisk tells whether a disk may be lost now without a majority being lost for good: all are up, take part,
// reach each other and have the same state. To lose a disk beside others that are down is to lose what was
// agreed on.
func (w *ConsensusGroup) mayLoseDisk() bool {
	if len(w.blockedLinks) > 0 || w.lossPerMille > 0 || w.voterCount() < w.votersWanted || !w.converged() {
		return false
	}
	for _, h := range w.memberHosts() {
		if h.stepsToCrash >= 0 || h.stalledUntil > w.Now {
			return false
		}
	}
	return len(w.memberHosts()) == w.votersWanted
}

// restoreCopy has a host come back on a copy of its disk that it took earlier.
func (w *ConsensusGroup) restoreCopy(h *host) {
	w.tracef("host %d comes back on an old copy", h.number)
	w.recordLostEntries(h)
	h.replica, h.disk, h.stepsToCrash = nil, h.savedDisk, -1
	h.savedDisk = nil
	w.startHost(h, false)
}

func (w *ConsensusGroup) wipeDisk(h *host) {
	w.tracef("host %d comes back on an empty disk", h.number)
	w.recordLostEntries(h)
	h.replica, h.disk, h.stepsToCrash = nil, wal.NewMemFS(), -1
	w.startHost(h, false)
}

// Result is the outcome of a schedule.
type Result struct {
	Seed   int64
	Steps  int
	Calls  int
	Terms  int
	Broken string
}

// Play runs a schedule from its seed: growth, faults under load, rest, then scripted cases that every
// schedule ends with. It is the same run each time.
func Play(seed int64, size int, faults []Fault, without consensus.Guard, trace func(string)) Result {
	w := NewConsensusGroup(seed, size, without)
	w.Trace = trace
	w.runSchedule(faults)
	return Result{seed, w.eventsRun, len(w.history), len(w.leaders), w.Broken}
}

func (w *ConsensusGroup) runSchedule(faults []Fault) {
	if !w.waitFor(20000, func() bool { return w.voterCount() == w.votersWanted }) {
		w.fail("the group did not grow to %d voters in 20 s", w.votersWanted)
		return
	}
	for i := 0; i < 5; i++ {
		w.addClient()
	}
	start, end := w.Now, w.Now
	for _, f := range faults {
		w.after(f.AtMS, func() { w.inject(f) })
		end = max(end, start+f.AtMS)
	}
	w.Run(end + 500)
	w.healAndCheck()
	w.checkRejoin()
	w.checkUnsyncedWrite()
	w.checkOldDisk()
	w.checkLinearizable()
}

// healAndCheck ends all faults and holds the group to its promise.
func (w *ConsensusGroup) healAndCheck() {
	if w.Broken != "" {
		return
	}
	w.blockedLinks, w.lossPerMille, w.maxDelay = map[[2]int]bool{}, 0, 20
	for _, h := range w.hosts {
		h.stepsToCrash = -1
		h.stalledUntil = min(h.stalledUntil, w.Now)
	}
	if !w.waitFor(3000, func() bool { // those that are down come up within it
		for _, h := range w.hosts {
			if h.replica == nil {
				return false
			}
		}
		return true
	}) && w.Broken == "" {
		w.fail("a host did not come up")
	}
	was := len(w.history)
	if !w.waitFor(writeRecoveryMS, func() bool {
		for _, o := range w.history[was:] {
			if a, ok := o.Output.(consensus.PutResult); ok && a.Outcome == consensus.PutCommitted {
				return true
			}
		}
		return false
	}) {
		w.fail("no write was taken within %d ms of the last fault's end", writeRecoveryMS)
	}
	for _, c := range w.clients {
		c.stopped = true
	}
	if !w.waitFor(20000, func() bool {
		for _, c := range w.clients {
			if c.pending != nil {
				return false
			}
		}
		return w.voterCount() == w.votersWanted && w.converged()
	}) {
		w.fail("clients are without an answer, or instances differ, 20 s after the last fault")
	}
}

// follower gives a voter that does not lead.
func (w *ConsensusGroup) follower(except ...*host) *host {
	l := w.leader()
next:
	for _, h := range w.memberHosts() {
		for _, n := range except {
			if h == n {
				continue next
			}
		}
		if h != l {
			return h
		}
	}
	return nil
}

// checkRejoin: one instance is cut off and comes back; a healthy leader stays, in its term.
func (w *ConsensusGroup) checkRejoin() {
	if w.Broken != "" {
		return
	}
	l, f := w.leader(), w.follower()
	term := l.replica.Status().Term
	w.partition(2500, func(a, b *host) bool { return a == f || b == f })
	w.Run(w.Now + 4500)
	if w.Broken == "" && (w.leader() != l || l.replica.Status().Term != term) {
		w.fail("an instance that came back unseated a healthy leader")
	}
}

// proposeAndWait waits until a put by the script is applied at a host, and tells whether it was.
func (w *ConsensusGroup) proposeAndWait(h *host, ms int64) bool {
	was := h.replica.Status().Version
	w.lastCallID++
	h.replica.Propose(&consensus.Put{Session: fmt.Sprint("script", w.lastCallID), Seq: 1, Base: was, Author: "script",
		Text: fmt.Sprintf("[tenant script]\nrate = %d\n", w.lastCallID)})
	w.processReady(h)
	return w.waitFor(ms, func() bool {
		return h.replica == nil || h.replica.Status().Version > was
	}) && h.replica != nil
}

// waitUntilSettled waits for calm between two scripted cases.
func (w *ConsensusGroup) waitUntilSettled() bool {
	if w.Broken == "" && !w.waitFor(10000, func() bool {
		return len(w.blockedLinks) == 0 && w.leader() != nil && w.voterCount() == w.votersWanted && w.converged() &&
			len(w.memberHosts()) == w.votersWanted
	}) {
		w.fail("the group is not whole 10 s after a scripted fault")
	}
	return w.Broken == ""
}

// checkUnsyncedWrite: with all but one follower away, the power goes at that one as it would keep an entry. What it
// did not keep must not count.
func (w *ConsensusGroup) checkUnsyncedWrite() {
	if !w.waitUntilSettled() {
		return
	}
	l, f := w.leader(), w.follower()
	away := w.partitionMinority(1500, l, f)
	w.tracef("hosts %v away, host %d loses power at its next write", away, f.number)
	f.stepsToCrash = 0
	w.proposeAndWait(l, 400)
	w.waitUntilSettled()
}

// partitionMinority parts some hosts from the group, so that the leader and one more are just a majority.
func (w *ConsensusGroup) partitionMinority(ms int64, l, f *host) map[*host]bool {
	away := map[*host]bool{}
	for _, h := range w.memberHosts() {
		if h != l && h != f && len(away) < w.votersWanted-(w.votersWanted/2+1) {
			away[h] = true
		}
	}
	w.partition(ms, func(a, b *host) bool { return away[a] != away[b] })
	return away
}

// checkOldDisk: what two of three agreed on while the third was away has to outlast one of the two coming back on
// a copy of its disk from before, with the other then cut off.
func (w *ConsensusGroup) checkOldDisk() {
	if !w.waitUntilSettled() {
		return
	}
	l, f := w.leader(), w.follower()
	f.savedDisk = f.disk.Copy()
	w.partitionMinority(3000, l, f)
	for i := 0; i < 3; i++ {
		// The leader may be a few ms old and another's election still under way: the promise is not on one leader.
		took := false
		for end := w.Now + writeRecoveryMS; w.Now < end && !took && w.Broken == ""; {
			if n := w.leader(); n == nil {
				w.Run(w.Now + 50)
			} else {
				took = w.proposeAndWait(n, 300)
			}
		}
		if !took && w.Broken == "" {
			w.fail("a majority took no write within %d ms", writeRecoveryMS)
		}
	}
	if w.Broken != "" || f.replica == nil || w.leader() != l {
		return
	}
	w.restoreCopy(f)
	w.Run(w.Now + 400)
	w.blockedLinks = map[[2]int]bool{}
	w.partition(2000, func(a, b *host) bool { return a == l || b == l })
	w.Run(w.Now + 2500)
	if w.Broken == "" {
		w.waitUntilSettled()
	}
}

// Shrink makes a failing schedule shorter: it leaves out what is not needed for a failure, by halves, then one
// by one.
func Shrink(seed int64, size int, faults []Fault, without consensus.Guard, runs int) []Fault {
	for part := (len(faults) + 1) / 2; part > 0 && runs > 0; {
		shorter := false
		for lo := 0; lo < len(faults) && runs > 0; {
			hi := min(lo+part, len(faults))
			less := append(append([]Fault{}, faults[:lo]...), faults[hi:]...)
			runs--
			if Play(seed, size, less, without, nil).Broken != "" {
				faults, shorter = less, true
			} else {
				lo = hi
			}
		}
		if part == 1 && !shorter {
			break
		}
		part = max(1, part/2)
	}
	return faults
}

// FaultLines lists faults, a line each.
func FaultLines(faults []Fault) string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.String()
	}
	return strings.Join(out, "\n")
}

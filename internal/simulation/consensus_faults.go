package simulation

import (
	"fmt"
	"math/rand"
	"strings"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/wal"
)

// Fault is one fault of a schedule.
type Fault struct {
	AtMS         int64 // after the start of the faults
	Kind         string
	HostA, HostB int // indexes of hosts
	DurationMS   int64
	Parameter    int // depends on Kind, see inject
}

// String formats the fault for a trace.
func (f Fault) String() string {
	return fmt.Sprintf("%6d ms %-8s a=%d b=%d for=%d n=%d", f.AtMS, f.Kind, f.HostA, f.HostB, f.DurationMS, f.Parameter)
}

// DrawFaults generates the faults of a seed for a group of size hosts over ms milliseconds.
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

// inject starts a fault and schedules its end.
func (g *ConsensusGroup) inject(f Fault) {
	h := g.hosts[f.HostA]
	if f.Kind == "leader" || f.Kind == "stall" {
		if leader := g.leader(); leader != nil {
			h = leader
		}
	}
	if h.replica == nil && f.Kind != "split" && f.Kind != "loss" && f.Kind != "slow" {
		return
	}
	g.tracef("fault %v at host %d", f, h.number)
	switch f.Kind {
	case "crash", "leader": // loses power after Parameter more file-system steps
		h.stepsToCrash = f.Parameter
	case "kill":
		g.crashHost(h, f.DurationMS)
	case "split":
		side := func(h *host) bool { return (h.number+f.Parameter)%len(g.hosts) <= f.HostB }
		g.partition(f.DurationMS, func(a, b *host) bool { return side(a) != side(b) })
	case "oneway":
		g.partition(f.DurationMS, func(a, b *host) bool {
			return a.number == f.HostA && (b.number == f.HostB || f.Parameter%2 == 0)
		})
	case "flap":
		for t := int64(0); t < f.DurationMS; t += 200 {
			g.after(t, func() { g.partition(100, func(a, b *host) bool { return a == h || b == h }) })
		}
	case "loss":
		g.lossPerMille = 20 + 4*f.Parameter
		g.after(f.DurationMS, func() { g.lossPerMille = 0 })
	case "slow":
		g.maxDelay = 100 + f.DurationMS/10
		g.after(f.DurationMS, func() { g.maxDelay = 20 })
	case "stall":
		h.stalledUntil = g.Now + 3000
	case "copy":
		h.savedDisk = h.disk.Copy()
	case "back":
		if h.savedDisk != nil && g.mayLoseDisk() {
			g.restoreCopy(h)
		}
	case "wipe":
		if g.mayLoseDisk() {
			g.wipeDisk(h)
		}
	case "transfer":
		h.replica.Transfer(0)
		g.processReady(h)
	}
}

// partition blocks the directed links between hosts for which blocks returns true, for some time.
func (g *ConsensusGroup) partition(ms int64, blocks func(a, b *host) bool) {
	for _, a := range g.hosts {
		for _, b := range g.hosts {
			if key := [2]int{a.number, b.number}; a != b && blocks(a, b) && !g.blockedLinks[key] {
				g.blockedLinks[key] = true
				g.after(ms, func() { delete(g.blockedLinks, key) })
			}
		}
	}
}

// mayLoseDisk reports whether a disk may be lost without losing committed entries: all voters are running, connected
// and have the same state.
func (g *ConsensusGroup) mayLoseDisk() bool {
	if len(g.blockedLinks) > 0 || g.lossPerMille > 0 || g.voterCount() < g.votersWanted || !g.converged() {
		return false
	}
	for _, h := range g.memberHosts() {
		if h.stepsToCrash >= 0 || h.stalledUntil > g.Now {
			return false
		}
	}
	return len(g.memberHosts()) == g.votersWanted
}

// restoreCopy restarts a host on an earlier copy of its disk.
func (g *ConsensusGroup) restoreCopy(h *host) {
	g.tracef("host %d restarts on an old copy of its disk", h.number)
	g.recordLostEntries(h)
	h.replica, h.disk, h.stepsToCrash = nil, h.savedDisk, -1
	h.savedDisk = nil
	g.startHost(h, false)
}

// wipeDisk restarts a host on an empty disk.
func (g *ConsensusGroup) wipeDisk(h *host) {
	g.tracef("host %d restarts on an empty disk", h.number)
	g.recordLostEntries(h)
	h.replica, h.disk, h.stepsToCrash = nil, wal.NewMemFS(), -1
	g.startHost(h, false)
}

// Result is the result of a schedule.
type Result struct {
	Seed   int64
	Steps  int
	Calls  int
	Terms  int
	Broken string
}

// Play runs a schedule: the group grows, faults are injected under load and heal, then the scripted cases that end
// every schedule run. The same arguments give the same run.
func Play(seed int64, size int, faults []Fault, without consensus.Guard, trace func(string)) Result {
	g := NewConsensusGroup(seed, size, without)
	g.Trace = trace
	g.runSchedule(faults)
	return Result{seed, g.eventsRun, len(g.history), len(g.leaders), g.Broken}
}

func (g *ConsensusGroup) runSchedule(faults []Fault) {
	if !g.waitFor(20000, func() bool { return g.voterCount() == g.votersWanted }) {
		g.fail("the group did not grow to %d voters in 20 s", g.votersWanted)
		return
	}
	for i := 0; i < 5; i++ {
		g.addClient()
	}
	start, end := g.Now, g.Now
	for _, f := range faults {
		g.after(f.AtMS, func() { g.inject(f) })
		end = max(end, start+f.AtMS)
	}
	g.Run(end + 500)
	g.healAndCheck()
	g.checkRejoin()
	g.checkUnsyncedWrite()
	g.checkOldDisk()
	g.checkLinearizable()
}

// healAndCheck ends all faults and checks that the group accepts a write within writeRecoveryMS and converges.
func (g *ConsensusGroup) healAndCheck() {
	if g.Broken != "" {
		return
	}
	g.blockedLinks, g.lossPerMille, g.maxDelay = map[[2]int]bool{}, 0, 20
	for _, h := range g.hosts {
		h.stepsToCrash = -1
		h.stalledUntil = min(h.stalledUntil, g.Now)
	}
	if !g.waitFor(3000, func() bool { // hosts that are down restart within it
		for _, h := range g.hosts {
			if h.replica == nil {
				return false
			}
		}
		return true
	}) && g.Broken == "" {
		g.fail("a host did not restart within 3 s")
	}
	before := len(g.history)
	if !g.waitFor(writeRecoveryMS, func() bool {
		for _, o := range g.history[before:] {
			if a, ok := o.Output.(consensus.PutResult); ok && a.Outcome == consensus.PutCommitted {
				return true
			}
		}
		return false
	}) {
		g.fail("no write was committed within %d ms of the end of the last fault", writeRecoveryMS)
	}
	for _, c := range g.clients {
		c.stopped = true
	}
	if !g.waitFor(20000, func() bool {
		for _, c := range g.clients {
			if c.pending != nil {
				return false
			}
		}
		return g.voterCount() == g.votersWanted && g.converged()
	}) {
		g.fail("20 s after the last fault clients have pending calls, voters are missing, or instances differ")
	}
}

// follower returns a member other than the leader and the excepted hosts, nil if there is none.
func (g *ConsensusGroup) follower(except ...*host) *host {
	leader := g.leader()
next:
	for _, h := range g.memberHosts() {
		for _, n := range except {
			if h == n {
				continue next
			}
		}
		if h != leader {
			return h
		}
	}
	return nil
}

// checkRejoin checks that a follower that rejoins after a partition doesn't depose a healthy leader.
func (g *ConsensusGroup) checkRejoin() {
	if g.Broken != "" {
		return
	}
	leader, follower := g.leader(), g.follower()
	term := leader.replica.Status().Term
	g.partition(2500, func(a, b *host) bool { return a == follower || b == follower })
	g.Run(g.Now + 4500)
	if g.Broken == "" && (g.leader() != leader || leader.replica.Status().Term != term) {
		g.fail("an instance that rejoined deposed a healthy leader")
	}
}

// proposeAndWait proposes a put at a host and reports whether a newer version is applied there within ms.
func (g *ConsensusGroup) proposeAndWait(h *host, ms int64) bool {
	before := h.replica.Status().Version
	g.lastCallID++
	h.replica.Propose(&consensus.Put{Session: fmt.Sprint("script", g.lastCallID), Seq: 1, Base: before,
		Author: "script", Text: fmt.Sprintf("[tenant script]\nrate = %d\n", g.lastCallID)})
	g.processReady(h)
	return g.waitFor(ms, func() bool {
		return h.replica == nil || h.replica.Status().Version > before
	}) && h.replica != nil
}

// waitUntilSettled waits until the group has healed after a scripted case.
func (g *ConsensusGroup) waitUntilSettled() bool {
	if g.Broken == "" && !g.waitFor(10000, func() bool {
		return len(g.blockedLinks) == 0 && g.leader() != nil && g.voterCount() == g.votersWanted && g.converged() &&
			len(g.memberHosts()) == g.votersWanted
	}) {
		g.fail("the group has not healed 10 s after a scripted fault")
	}
	return g.Broken == ""
}

// checkUnsyncedWrite: the only reachable follower loses power while it stores an entry. An entry that isn't synced
// must not count towards the majority.
func (g *ConsensusGroup) checkUnsyncedWrite() {
	if !g.waitUntilSettled() {
		return
	}
	leader, follower := g.leader(), g.follower()
	away := g.partitionMinority(1500, leader, follower)
	g.tracef("hosts %v partitioned, host %d loses power at its next write", away, follower.number)
	follower.stepsToCrash = 0
	g.proposeAndWait(leader, 400)
	g.waitUntilSettled()
}

// partitionMinority partitions the largest minority that excludes the leader and one follower, and returns it.
func (g *ConsensusGroup) partitionMinority(ms int64, leader, follower *host) map[*host]bool {
	away := map[*host]bool{}
	for _, h := range g.memberHosts() {
		if h != leader && h != follower && len(away) < g.votersWanted-(g.votersWanted/2+1) {
			away[h] = true
		}
	}
	g.partition(ms, func(a, b *host) bool { return away[a] != away[b] })
	return away
}

// checkOldDisk: a bare majority commits entries, then one of its members restarts on an older copy of its disk while
// the leader is partitioned. The committed entries must not be lost.
func (g *ConsensusGroup) checkOldDisk() {
	if !g.waitUntilSettled() {
		return
	}
	leader, follower := g.leader(), g.follower()
	follower.savedDisk = follower.disk.Copy()
	g.partitionMinority(3000, leader, follower)
	for i := 0; i < 3; i++ {
		// Another election may follow: any leader may accept the write within writeRecoveryMS.
		accepted := false
		for end := g.Now + writeRecoveryMS; g.Now < end && !accepted && g.Broken == ""; {
			if n := g.leader(); n == nil {
				g.Run(g.Now + 50)
			} else {
				accepted = g.proposeAndWait(n, 300)
			}
		}
		if !accepted && g.Broken == "" {
			g.fail("a majority committed no write within %d ms", writeRecoveryMS)
		}
	}
	if g.Broken != "" || follower.replica == nil || g.leader() != leader {
		return
	}
	g.restoreCopy(follower)
	g.Run(g.Now + 400)
	g.blockedLinks = map[[2]int]bool{}
	g.partition(2000, func(a, b *host) bool { return a == leader || b == leader })
	g.Run(g.Now + 2500)
	if g.Broken == "" {
		g.waitUntilSettled()
	}
}

// Shrink minimizes a failing schedule: it removes faults that the failure doesn't need, first halves, then smaller
// parts, then single faults, in at most runs runs.
func Shrink(seed int64, size int, faults []Fault, without consensus.Guard, runs int) []Fault {
	for part := (len(faults) + 1) / 2; part > 0 && runs > 0; {
		shorter := false
		for lo := 0; lo < len(faults) && runs > 0; {
			hi := min(lo+part, len(faults))
			reduced := append(append([]Fault{}, faults[:lo]...), faults[hi:]...)
			runs--
			if Play(seed, size, reduced, without, nil).Broken != "" {
				faults, shorter = reduced, true
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

// FaultLines formats faults, one per line.
func FaultLines(faults []Fault) string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.String()
	}
	return strings.Join(out, "\n")
}

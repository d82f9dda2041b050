package harness

// This file has the recovery cases on processes, and their helpers.

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
)

// killInstances kills instances.
func (b *zoneFixture) killInstances(procs ...*instanceProcess) {
	for _, p := range procs {
		b.group.kill(p)
	}
}

// recoverGroup founds the group's next generation at the first instance with `control recover`, has the others join
// with empty folders, and returns the command's output.
func (b *zoneFixture) recoverGroup(others ...*instanceProcess) (output string) {
	first := b.group.instances[0]
	raw, err := exec.CommandContext(b.ctx, b.Program, "control", "recover", "--file", first.operatorFile, "--for", "7s",
		"--found").CombinedOutput()
	if output = string(raw); err != nil || !strings.Contains(output, "is founded") {
		must(fmt.Errorf("control recover: %v\n%s", err, raw))
	}
	b.mustStart(first)
	must(b.group.awaitResponding(b.ctx, first))
	b.rejoin(others...)
	return output
}

// dataDir is an instance's folder, backupDir that of its copy.
func (b *zoneFixture) dataDir(p *instanceProcess) string { return filepath.Join(b.Dir, p.name) }
func (b *zoneFixture) backupDir(p *instanceProcess) string {
	return filepath.Join(b.Dir, "old-"+p.name)
}

// rejoin restarts instances with empty folders and has them join the group.
func (b *zoneFixture) rejoin(procs ...*instanceProcess) {
	for _, p := range procs {
		must(os.RemoveAll(b.dataDir(p)))
		b.mustStart(p)
		must(b.group.awaitResponding(b.ctx, p))
		must(b.group.join(b.ctx, p))
	}
}

// checkGeneration checks that the group has a generation, that all nodes serve under the version committed before,
// and that a change settles.
func (b *zoneFixture) checkGeneration(generation uint64) {
	must(b.await(30*time.Second, func() error {
		v, err := b.Policy()
		if err == nil && (v.Generation != generation || v.CommittedVersion != b.committedVersion || v.StateLoss != "") {
			err = fmt.Errorf("the group has generation %d, committed version %d, state loss %q, want generation %d, "+
				"version %d and no loss", v.Generation,
				v.CommittedVersion, v.StateLoss, generation, b.committedVersion)
		}
		return err
	}))
	b.mustAllServe(b.committedVersion)
	mustGet(b.change(policy.Proposal{}))
}

func (b *zoneFixture) currentGeneration() uint64 { return mustGet(b.Policy()).Generation }

// killWithColdStores kills nodes, empties the caches of all stores, and returns the time.
func (b *zoneFixture) killWithColdStores(nodes ...*nodeProcess) time.Time {
	b.killNodes(nodes...)
	for _, z := range allZones {
		b.setStore(z, 1, 0, true)
	}
	return time.Now()
}

// awaitRecovered waits until the fleet has its full share again, and checks that no store was overloaded since a
// time.
func (b *zoneFixture) awaitRecovered(since time.Time) {
	mustGet(b.awaitPhase(zones.WholeFleet, 150*time.Second, zones.InService))
	fmt.Fprintf(b.out, "  the fleet is back in service after %.1f s\n", time.Since(since).Seconds())
	b.checkStoreLoads(since)
}

// checkStoreLoads checks that no zone's store was overloaded since a time.
func (b *zoneFixture) checkStoreLoads(since time.Time) {
	must(errors.Join(b.checkStoreLoad("z1", since), b.checkStoreLoad("z2", since), b.checkStoreLoad("z3", since)))
}

// countLogged counts the occurrences of a text in a process's log.
func (b *zoneFixture) countLogged(name, text string) int {
	raw, _ := os.ReadFile(filepath.Join(b.Dir, name+".log"))
	return strings.Count(string(raw), text)
}

// countFollowed counts how often a node logged that it follows a generation of the group.
func (b *zoneFixture) countFollowed(name string, generation uint64) (n int) {
	must(readLog(filepath.Join(b.Dir, name+".log"), func(l *logRecord) {
		if l.message == "a restored generation of the group is followed" &&
			l.uintField(logging.Generation) == generation {
			n++
		}
	}))
	return n
}

var recoveryCases = []zoneCase{
	// The group knows each zone's capacity. Then the group and all nodes are killed, the stores lose their caches,
	// and everything restarts at once. The fleet serves with a growing quota, overloads no store, and gets back to
	// its full share.
	{name: "the group and all nodes killed at once, the services below cold", run: func(b *zoneFixture) {
		for _, name := range allZones { // with too low an observed capacity the ramp takes minutes
			must(b.await(20*time.Second, func() error {
				z, err := b.zoneView(name)
				if err == nil && z.Capacity.RunRate < 0.7*zoneRate/3 {
					err = fmt.Errorf("zone %s: observed capacity %.0f runs/s, want at least %.0f", name,
						z.Capacity.RunRate, 0.7*zoneRate/3)
				}
				return err
			}))
		}
		b.killInstances(b.group.instances...)
		since := b.killWithColdStores(b.nodes...)
		time.Sleep(time.Second) // the platform's restart delay
		for i, n := range b.nodes {
			if i%3 == 0 && i/3 < len(b.group.instances) {
				b.mustStart(b.group.instances[i/3])
			}
			must(n.Start())
		}
		b.mustAllServe(b.committedVersion)
		fmt.Fprintf(b.out, "  all nodes serve after %.1f s\n", time.Since(since).Seconds())
		if _, err := b.awaitPhase(zones.WholeFleet, 5*time.Second, zones.Ramping, zones.InService); err != nil {
			fmt.Fprintln(b.out, err)
			b.checkStoreLoads(since)
			must(err)
		}
		b.awaitRecovered(since)
	}},
	// The group loses all its folders. An operator restores it from the records of the nodes: the next generation
	// has the same version committed, and further changes settle.
	{name: "all folders of the group lost, and nodes know what they served under", run: func(b *zoneFixture) {
		mustGet(b.change(policy.Proposal{}))
		gen := b.currentGeneration()
		b.killInstances(b.group.instances...)
		for _, p := range b.group.instances {
			must(os.RemoveAll(b.dataDir(p)))
		}
		output := b.recoverGroup(b.group.instances[1:]...)
		if want := fmt.Sprintf("%d sent a record, %[1]d count", len(b.nodes)); !strings.Contains(output, want) {
			must(fmt.Errorf("control recover: want %q in\n%s", want, output))
		}
		b.checkGeneration(gen + 1)
	}},
	// All folders are copied, two changes settle, and the copies are put back. The group finds from the nodes'
	// reports that it lost state, logs it again after a restart, and is restored to the version that the nodes serve
	// under.
	{name: "an old copy of all folders put back while nodes serve under a newer policy", run: func(b *zoneFixture) {
		forEach := func(do func(p *instanceProcess)) {
			for _, p := range b.group.instances {
				do(p)
			}
		}
		b.killInstances(b.group.instances...)
		forEach(func(p *instanceProcess) { must(os.CopyFS(b.backupDir(p), os.DirFS(b.dataDir(p)))) })
		defer forEach(func(p *instanceProcess) { os.RemoveAll(b.backupDir(p)) })
		forEach(b.mustStart)
		b.mustAllServe(b.committedVersion)
		for range 2 {
			mustGet(b.change(policy.Proposal{}))
		}
		gen := b.currentGeneration()
		b.killInstances(b.group.instances...)
		forEach(func(p *instanceProcess) {
			must(errors.Join(os.RemoveAll(b.dataDir(p)), os.Rename(b.backupDir(p), b.dataDir(p))))
			b.mustStart(p)
		})
		must(b.await(10*time.Second, func() error {
			v, err := b.Policy()
			if err == nil && v.StateLoss == "" {
				err = errors.New("the group reports no state loss, want one")
			}
			return err
		}))
		// The loss is stored: instances log it after a restart.
		b.killInstances(b.group.instances...)
		before := b.countLogged("instances", "the group has lost state")
		forEach(b.mustStart)
		must(b.await(10*time.Second, func() error {
			if b.countLogged("instances", "the group has lost state") == before {
				return errors.New("restarted instances don't log the state loss")
			}
			return nil
		}))
		b.killInstances(b.group.instances...)
		b.recoverGroup(b.group.instances[1:]...)
		b.checkGeneration(gen + 1)
	}},
	// Two of three instances are paused and the group is restored from the third. Then the two are resumed, and one
	// leads with the majority of the old generation. No node may follow it, though nodes can reach no other
	// instance.
	{name: "a paused majority of the old generation goes on", mayEvacuate: allZones, run: func(b *zoneFixture) {
		gen := b.currentGeneration()
		b.forEachButFirst(func(p *instanceProcess) { p.signal(syscall.SIGSTOP) })
		b.killInstances(b.group.instances[0])
		b.recoverGroup()
		b.mustAllServe(b.committedVersion)
		before := map[string]int{}
		for _, n := range b.nodes {
			before[n.name] = b.countFollowed(n.name, gen)
		}
		b.forEachButFirst(func(p *instanceProcess) { p.signal(syscall.SIGCONT) })
		// With the new group unreachable, nodes contact the old one, which has a leader.
		for _, n := range b.nodes {
			b.group.forwarders.set(n.name, b.group.instances[0].name, linkFault{cut: true})
		}
		time.Sleep(3*b.lease + 2*time.Second)
		b.heal()
		for _, n := range b.nodes {
			if b.countFollowed(n.name, gen) > before[n.name] {
				must(fmt.Errorf("node %s follows generation %d of the group, want %d, which was restored:\n%s", n.name,
					gen, gen+1, b.logTail(n.name, 6)))
			}
		}
		b.killInstances(b.group.instances[1:]...)
		b.rejoin(b.group.instances[1:]...)
		b.checkGeneration(gen + 1)
	}},
	// The leader and all nodes are killed, and the nodes restart before a leader is elected. They serve with a quota
	// once they have joined, and the fleet gets back to its full share without overloading a store.
	{name: "all nodes killed at once, and back while the group has no leader", long: true, run: func(b *zoneFixture) {
		leader := b.group.leader()
		if leader == nil {
			must(errors.New("no leader"))
		}
		b.killInstances(leader)
		since := b.killWithColdStores(b.nodes...)
		b.startNodes(0, b.nodes...)
		b.mustAllServe(b.committedVersion)
		b.mustStart(leader)
		b.awaitRecovered(since)
	}},
	// All nodes start some seconds before their kernels. The ramp begins once the kernels are up, and the fleet gets
	// back to its full share without overloading a store.
	{name: "nodes up some seconds before their kernels", long: true, run: func(b *zoneFixture) {
		b.killNodes(b.nodes...)
		for _, z := range allZones {
			b.setKernelsDown(z, true)
		}
		b.startNodes(0, b.nodes...)
		time.Sleep(5 * time.Second)
		since := b.killWithColdStores()
		for _, z := range allZones {
			b.setKernelsDown(z, false)
		}
		b.mustAllServe(b.committedVersion)
		b.awaitRecovered(since)
	}},
	// All nodes are killed during a policy change and a zone's ramp. All serve under one version afterwards, the
	// fleet gets back to its full share, the zone is in service again, and a change settles.
	{name: "in the middle of a change of policy and of a zone's return", long: true, mayEvacuate: []string{"z1"},
		run: func(b *zoneFixture) {
			must(b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z1", DrillMS: 1000}))
			mustGet(b.awaitPhase("z1", 20*time.Second, zones.Ramping))
			c := b.propose("", policy.Proposal{})
			since := b.killWithColdStores(b.nodes...)
			time.Sleep(time.Second)
			b.startNodes(0, b.nodes...)
			// Settled or aborted: either way all nodes serve under one version.
			if mustGet(b.AwaitStep(c.number, 40*time.Second, policy.Settled, policy.Aborted)).Step == policy.Settled {
				b.committedVersion = c.version
			}
			b.mustAllServe(b.committedVersion)
			mustGet(b.awaitPhase(zones.WholeFleet, 10*time.Second, zones.Ramping))
			b.awaitRecovered(since)
			must(b.awaitInService("z1"))
			mustGet(b.change(policy.Proposal{}))
		}},
	// Nodes restart in two waves, two of them repeatedly, then the others once more, while the fleet recovers. It
	// gets back to its full share without overloading a store, and doesn't wait for the two.
	{name: "in waves that overlap with the recovery, some nodes in a loop", long: true, run: func(b *zoneFixture) {
		restart := func(nodes []*nodeProcess, pace time.Duration) {
			for _, n := range nodes {
				n.Kill()
				b.startNodes(pace, n)
			}
		}
		since := b.killWithColdStores()
		split := len(b.nodes)*5/9 + 1
		restart(b.nodes[:split], 0)
		time.Sleep(3 * time.Second)
		restart(b.nodes[split:], 200*time.Millisecond)
		for range 5 { // two nodes repeatedly: they wait longer each time, the others don't wait for them
			restart(b.nodes[:2], 500*time.Millisecond)
		}
		restart(b.nodes[2:], 0)
		mustGet(b.awaitPhase(zones.WholeFleet, 10*time.Second, zones.Ramping))
		b.mustAllServe(b.committedVersion)
		b.awaitRecovered(since)
	}},
}

// RecoveryGuards names the guards of recovery.
var RecoveryGuards = []string{"small-start", "generation", "proof", "listen-first", "spread", "arrival-order"}

// RecoveryCases returns the names of the cases, and OnlyCosts.
func RecoveryCases() (names []string) {
	names = append(names, OnlyCosts)
	for _, c := range recoveryCases {
		names = append(names, c.name)
	}
	return names
}

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["refused-version"] = refusedVersion }

// An operator proposes a version that no node can serve under, as it has classes that the platform lacks: every node
// refuses it.
func refusedVersion(b *bench) {
	g := b.newGroup()
	control := strings.Split(g.at(), ",")
	n1 := b.newNode("n1", twoClasses, fleetSection("z1", control), 3200, 30*time.Millisecond)
	n2 := b.newNode("n2", twoClasses, fleetSection("z2", control), 3200, 30*time.Millisecond)
	g.awaitServing(0, "n1", "n2")
	if out, err := g.propose(40*time.Second, "first.ini", fencePolicy); err != nil {
		b.cannotRun("the first version: %v: %s", err, out)
	}
	g.awaitServing(1, "n1", "n2")
	count := 40
	if !b.trouble {
		count = 2 // refused too, in fewer words
	}
	text := fencePolicy
	for i := range count {
		text += fmt.Sprintf("[class prefill-attachment-of-return-%02d]\nkind = replayable\n", i+1)
	}
	out, err := g.propose(40*time.Second, "second.ini", text, "--prepare", "10s")
	calledOff := err != nil && strings.Contains(out, "refused by")
	b.note("the proposal was called off, as the nodes refuse it: %v", calledOff)

	// service asks both nodes for some seconds, and returns how often both turned a light request away.
	service := func(when string) (gaps int) {
		for range 16 {
			refused := 0
			for _, n := range []*node{n1, n2} {
				if a := n.send("view", "", when, false, 5*time.Second); a.status != 200 {
					refused++
				}
			}
			if refused == 2 {
				gaps++
			}
			time.Sleep(500 * time.Millisecond)
		}
		return gaps
	}
	gaps := service("after")
	if gaps == 0 {
		b.held("the version was refused without a gap in service; called off: %v", calledOff)
	}
	b.note("the operator puts the older text back, as a further version")
	g.propose(20*time.Second, "third.ini", fencePolicy)
	later := service("after the older text was put back")
	b.broken("after a version that every node refused (called off: %v) both nodes turned away %d of 16 requests, and %d "+
		"of 16 after the older text was put back", calledOff, gaps, later)
}

package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { cases["key-turned-away"] = keyTurnedAway }

// fencePolicy is the policy of a small fleet whose nodes serve nothing without a lease.
const fencePolicy = "[fleet]\nlease = 4s\nwhen_alone = fence\n" +
	"[class view]\nkind = replayable\nresponse_target = 2s\nclient_timeout = 6s\n" +
	"[class submit]\nkind = uniqued\nresponse_target = 2s\nclient_timeout = 6s\nwindow = 22s\n"

var twoClasses = []class{{name: "view", semantics: "idempotent", aim: 2000, deadline: 6000},
	{name: "submit", semantics: "deduplicated", aim: 2000, deadline: 6000, window: 22000}}

// fleetSection is the operator's file of a node that reaches the instances at these addresses.
func fleetSection(zone string, control []string) string {
	return "[fleet]\ncontrol = " + strings.Join(control, ", ") + "\nzone = " + zone + "\n"
}

// A keyed request has run at a node of a fleet and is served. The node is told to drain, and a further try of the
// request comes within its window and the drain's grace.
func keyTurnedAway(b *bench) {
	g := b.newGroup()
	control := strings.Split(g.at(), ",")
	n1 := b.newNode("n1", twoClasses, fleetSection("z1", control), 3200, 30*time.Millisecond)
	n2 := b.newNode("n2", twoClasses, fleetSection("z2", control), 3200, 30*time.Millisecond)
	g.awaitServing(0, "n1", "n2")
	if out, err := g.propose(40*time.Second, "first.ini", fencePolicy); err != nil {
		b.cannotRun("the first version: %v: %s", err, out)
	}
	g.awaitServing(1, "n1", "n2")

	const key, body = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "a filing"
	first := n1.send("submit", key, body, false, 5*time.Second)
	if first.status != 200 || len(n1.kernel.runsOf(body)) != 1 {
		b.cannotRun("the first try was not served: %d", first.status)
	}
	if b.trouble {
		b.note("SIGTERM to n1")
		n1.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Second)
	again := n1.send("submit", key, body, true, 5*time.Second)
	if again.status != 429 && again.status != 503 {
		b.held("the further try was not turned away: %d %q", again.status, again.body)
	}
	b.note("n1 turned the further try away: its sidecar takes it to the next backend, as no Final-Refusal came")
	elsewhere := n2.send("submit", key, body, true, 5*time.Second)
	b.broken("a request that had run at n1 was turned away there with %d, final %v; at n2 it got %d %q: %d runs in all",
		again.status, again.final, elsewhere.status, elsewhere.body,
		len(n1.kernel.runsOf(body))+len(n2.kernel.runsOf(body)))
}

package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["settled-while-served"] = settledWhileServed }

// A node of a fleet is told to drain, as in a release, and an operator changes the policy. Clients go on at the node, as
// they learn late that it leaves.
func settledWhileServed(b *bench) {
	classText := "[class view]\nkind = replayable\nresponse_target = 2s\nclient_timeout = 6s\n"
	rest := "[class submit]\nkind = uniqued\nresponse_target = 2s\nclient_timeout = 6s\nwindow = 22s\n"
	first := "[fleet]\nlease = 4s\nwhen_alone = go-on\n" + classText + rest
	// The second version retires class view, so that clients can tell the versions apart: under it a request of the
	// class is refused, with Final-Refusal.
	second := "[fleet]\nlease = 4s\nwhen_alone = go-on\n[rollout]\nmax_shed = 1\nmax_late = 1\n" + classText +
		"retired = yes\n" + rest

	g := b.newGroup()
	control := strings.Split(g.at(), ",")
	n1 := b.newNode("n1", twoClasses, fleetSection("z1", control), 3200, 30*time.Millisecond)
	n2 := b.newNode("n2", twoClasses, fleetSection("z2", control), 3200, 30*time.Millisecond)
	g.awaitServing(0, "n1", "n2")
	if out, err := g.propose(40*time.Second, "first.ini", first); err != nil {
		b.cannotRun("the first version: %v: %s", err, out)
	}
	g.awaitServing(1, "n1", "n2")
	for _, n := range []*node{n1, n2} {
		if a := n.send("view", "", "before", false, 5*time.Second); a.status != 200 {
			b.cannotRun("%s does not serve before the change: %d", n.name, a.status)
		}
	}
	time.Sleep(time.Second)

	begun := time.Now()
	if b.trouble {
		b.note("SIGTERM to n1")
		n1.signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	if out, err := g.propose(20*time.Second, "second.ini", second, "--wait=false"); err != nil {
		b.cannotRun("the second version: %v: %s", err, out)
	}
	b.await("the end of the change", 30*time.Second, func() bool {
		var v struct {
			Past []struct {
				Version uint64
				Step    string
			}
		}
		if g.instances[0].get("/v1/policy", &v) != nil {
			return false
		}
		for _, c := range v.Past {
			if c.Version == 2 && c.Step != "settled" {
				b.tool(5*time.Second, "policy", "explain", "2", "--at", g.at())
				b.cannotRun("the change was %s", c.Step)
			} else if c.Version == 2 {
				return true
			}
		}
		return false
	})
	settledAt := time.Now()
	b.note("the group reports version 2 as settled, %d ms after the SIGTERM", settledAt.Sub(begun).Milliseconds())
	var mu sync.Mutex
	var served []answer
	var clients sync.WaitGroup
	clients.Go(func() {
		var tries sync.WaitGroup
		for n1.alive() && time.Since(settledAt) < 3*time.Second {
			tries.Go(func() {
				if a := n1.send("view", "", "during", false, 5*time.Second); a.status == 200 {
					mu.Lock()
					served = append(served, a)
					mu.Unlock()
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		tries.Wait()
	})
	b.tool(5*time.Second, "policy", "explain", "2", "--at", g.at())
	b.await("n2 under version 2", 5*time.Second, func() bool {
		a := n2.send("view", "", "after", false, 5*time.Second)
		return a.status == 503 && a.final
	})
	clients.Wait()
	late, last := 0, time.Duration(0)
	for _, a := range served {
		if a.sentAt.After(settledAt) {
			late++
			last = max(last, a.sentAt.Sub(settledAt))
		}
	}
	b.note("n1 served %d requests of class view that were sent after version 2 had settled, up to %d ms later", late,
		last.Milliseconds())
	if late > 0 {
		b.broken("n1 served %d requests under version 1, sent up to %d ms after version 2 had settled", late,
			last.Milliseconds())
	}
	b.held("no request was served under version 1 after version 2 had settled")
}

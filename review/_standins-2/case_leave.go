package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave-overlap"] = leaveOverlap }

// A node of a fleet drains while an exclusive change of the policy is under way, and the answer to its notice that it
// leaves is lost in a one-way partition.
func leaveOverlap(b *bench) {
	classes := []class{{name: "view", semantics: "idempotent", aim: 2000, deadline: 6000},
		{name: "submit", semantics: "deduplicated", aim: 2000, deadline: 6000, window: 22000}}
	first := "[fleet]\nlease = 4s\nwhen_alone = fence\n" +
		"[class view]\nkind = replayable\nresponse_target = 2s\nclient_timeout = 6s\n" +
		"[class submit]\nkind = uniqued\nresponse_target = 2s\nclient_timeout = 6s\nwindow = 22s\n"
	second := "[fleet]\nlease = 4s\nwhen_alone = fence\n[rollout]\nmax_shed = 1\nmax_late = 1\n" +
		"[class view]\nkind = replayable\nresponse_target = 2s\nclient_timeout = 6s\nretired = yes\n" +
		"[class submit]\nkind = uniqued\nresponse_target = 2s\nclient_timeout = 6s\nwindow = 22s\n"

	g := b.newGroup()
	cut := &partition{}
	links := ""
	for i, in := range g.instances {
		if i > 0 {
			links += ", "
		}
		links += b.newLink(in.listen, cut)
	}
	direct := ""
	for i, in := range g.instances {
		if i > 0 {
			direct += ", "
		}
		direct += in.listen
	}
	n1 := b.newNode("n1", classes, "[fleet]\ncontrol = "+links+"\nzone = z1\n", 3200, 30*time.Millisecond)
	n2 := b.newNode("n2", classes, "[fleet]\ncontrol = "+direct+"\nzone = z2\n", 3200, 30*time.Millisecond)
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
	time.Sleep(1500 * time.Millisecond)

	cut.mu.Lock()
	cut.mark = []byte(`"bye":true`)
	cut.mu.Unlock()
	// The next heartbeat is due in a second: none is under way when the node gets its SIGTERM.
	answers := cut.answersSeen()
	b.await("a heartbeat of n1", 5*time.Second, func() bool { return cut.answersSeen() > answers })
	if b.trouble {
		b.note("a one-way partition begins: n1's messages reach the group, and no answer comes back")
		cut.set(true)
		time.Sleep(300 * time.Millisecond)
	}
	b.note("SIGTERM to n1")
	drainAt := time.Now()
	n1.signal(syscall.SIGTERM)

	// Clients go on at n1 for as long as it takes connections: they learn late that it leaves.
	var mu sync.Mutex
	var served []answer
	var clients sync.WaitGroup
	clients.Go(func() {
		var tries sync.WaitGroup
		for n1.alive() && time.Since(drainAt) < 5*time.Second {
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
	b.await("n1's notice that it leaves", 3*time.Second, cut.markSeen)
	time.Sleep(100 * time.Millisecond)
	if out, err := g.propose(20*time.Second, "second.ini", second, "--exclusive", "--wait=false"); err != nil {
		b.cannotRun("the second version: %v: %s", err, out)
	}
	settledAt := time.Time{}
	b.await("the end of the exclusive change", 30*time.Second, func() bool {
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
			if c.Version == 2 && c.Step == "settled" {
				settledAt = time.Now()
			} else if c.Version == 2 {
				b.cannotRun("the exclusive change was %s", c.Step)
			}
		}
		return !settledAt.IsZero()
	})
	b.note("the group reports version 2 as settled, %d ms after the SIGTERM", settledAt.Sub(drainAt).Milliseconds())
	b.await("n2 under version 2", 5*time.Second, func() bool {
		a := n2.send("view", "", "after", false, 5*time.Second)
		return a.status == 503 && a.final // the class is retired
	})
	underSecond := time.Now()
	b.note("n2 serves under version 2, %d ms after the SIGTERM", underSecond.Sub(drainAt).Milliseconds())
	clients.Wait()
	late := 0
	for _, a := range served {
		if a.sentAt.After(underSecond) {
			late++
		}
	}
	b.note("n1 served %d requests of class view after the SIGTERM, %d of them sent after version 2 had settled and n2 served under it",
		len(served), late)
	if late > 0 {
		b.broken("n1 served %d requests under version 1 after the group had reported the exclusive version 2 as settled",
			late)
	}
	b.held("no request was served under version 1 after version 2 had settled")
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale-leader"] = staleLeader }

// policyState is the part of GET /v1/policy that the case judges.
type policyState struct {
	InForce uint64 `json:"in_force"`
	Leads   bool   `json:"leads"`
}

// The leader of the control service is stopped. The others elect a new one and settle a change. The old leader is
// continued, and answers reads that came meanwhile.
func staleLeader(b *bench) {
	g := b.newGroup()
	control := strings.Split(g.at(), ",")
	b.newNode("n1", twoClasses, fleetSection("z1", control), 3200, 30*time.Millisecond)
	g.awaitServing(0, "n1")
	if out, err := g.propose(40*time.Second, "first.ini", fencePolicy); err != nil {
		b.cannotRun("the first version: %v: %s", err, out)
	}
	g.awaitServing(1, "n1")
	old := g.leader()
	if old == nil {
		b.cannotRun("no leader")
	}
	b.note("the leader is %s", old.name)
	const readers = 8
	var conns []net.Conn
	for range readers {
		c, err := net.Dial("tcp", old.listen)
		if err != nil {
			b.cannotRun("%v", err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	others := &group{bench: b}
	for _, in := range g.instances {
		if in != old || !b.trouble {
			others.instances = append(others.instances, in)
		}
	}
	if b.trouble {
		b.note("SIGSTOP to %s", old.name)
		old.signal(syscall.SIGSTOP)
		b.await("another leader", 15*time.Second, func() bool { return others.leader() != nil })
	}
	if out, err := others.propose(40*time.Second, "second.ini", fencePolicy+"[tenant t0]\nrate = 500\n"); err != nil {
		b.cannotRun("the second version: %v: %s", err, out)
	}
	var earlier policyState
	if err := others.instances[0].get("/v1/policy", &earlier); err != nil || earlier.InForce != 2 {
		b.cannotRun("the second version is not in force: %v %v", earlier, err)
	}
	b.note("%s answers that version 2 is in force", others.instances[0].name)

	// The reads are sent now, after that answer.
	for _, c := range conns {
		fmt.Fprintf(c, "GET /v1/policy HTTP/1.1\r\nHost: %s\r\n\r\n", old.listen)
	}
	if b.trouble {
		b.note("SIGCONT to %s", old.name)
		old.signal(syscall.SIGCONT)
	}
	var mu sync.Mutex
	stale, staleAsLeader, unmarked := 0, 0, 0
	var all sync.WaitGroup
	for _, c := range conns {
		all.Go(func() {
			c.SetDeadline(time.Now().Add(10 * time.Second))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				b.note("read: %v", err)
				return
			}
			raw, _ := io.ReadAll(r.Body)
			var s policyState
			json.Unmarshal(raw, &s)
			b.note("read at %s: %d, version %d in force, leads %v, out of touch %q", old.name, r.StatusCode, s.InForce,
				s.Leads, r.Header.Get("Umberwinch-Out-Of-Touch"))
			mu.Lock()
			defer mu.Unlock()
			if r.StatusCode == 200 && s.InForce < 2 {
				stale++
				if s.Leads {
					staleAsLeader++
				}
				if r.Header.Get("Umberwinch-Out-Of-Touch") == "" {
					unmarked++
				}
			}
		})
	}
	all.Wait()
	if stale > 0 {
		b.broken("%d of %d reads were older than an earlier answer; %d as the leader's, %d not marked as out of touch",
			stale, readers, staleAsLeader, unmarked)
	}
	b.held("no read was older than the earlier answer")
}

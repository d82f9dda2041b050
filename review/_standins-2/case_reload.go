package main

import (
	"syscall"
	"time"
)

func init() { cases["reload-crash"] = reloadCrash }

// A backend with pools of run slots gets a start-up file whose settings have one more class, and SIGHUP, while it holds
// requests.
func reloadCrash(b *bench) {
	n := b.newNode("n1", twoClasses, "[pools]\nreserve = yes\n[pool view]\nfloor = 0.1\ncap = 0.9\n", 3200,
		2*time.Second)
	b.await("n1", 10*time.Second, n.healthy)
	time.Sleep(2 * time.Second) // never within its first second of service

	const held = 4
	answers := make(chan answer, held)
	for range held {
		go func() { answers <- n.send("view", "", "held", false, 8*time.Second) }()
	}
	b.await("the runs", 5*time.Second, func() bool { return len(n.kernel.runsOf("held")) == held })
	if b.trouble {
		n.writeConfig(append(append([]class{}, twoClasses...),
			class{name: "draft", semantics: "idempotent", aim: 2000, deadline: 6000}))
	}
	b.note("SIGHUP")
	n.signal(syscall.SIGHUP)
	unanswered := 0
	for range held {
		if a := <-answers; a.status == 0 {
			unanswered++
		}
	}
	time.Sleep(500 * time.Millisecond)
	if !n.alive() {
		b.broken("the backend crashed on SIGHUP (%s); %d of %d held requests got no answer", n.status, unanswered, held)
	}
	if after := n.send("view", "", "after", false, 8*time.Second); unanswered > 0 || after.status != 200 {
		b.broken("%d of %d held requests got no answer, and a later one %d", unanswered, held, after.status)
	}
	b.held("the backend went on: all %d held requests were answered", held)
}

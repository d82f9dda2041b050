package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slowpeers"] = slowPeers }

const (
	slowPeerCount = 1000
	slowPeersTime = 12 * time.Second
	slowPeersRate = 60 // requests a second of the sidecars
	// dueAfter is when an answer of status-view is due: its client timeout, the slack of the site and 50 ms.
	dueAfter = (590 + 60 + 50) * time.Millisecond
	// allowedLoss is the share of requests that may go without an answer on days with trouble (LATER.md).
	allowedLoss = 0.003
)

// slowPeers opens a thousand connections, each of which sends a byte a second until the node closes it, and checks that
// the requests of the sidecars are answered in time.
func slowPeers(r *Run) error {
	requests := NewRequests()
	control, err := NewControlPlane()
	if err != nil {
		return err
	}
	s, err := r.StartServer("n1", sejongSite(), requests, control, serverOptions{MemoryMB: 64, Sockets: 384})
	if err != nil {
		return err
	}
	end := time.Now().Add(slowPeersTime)
	var closed atomic.Int64
	if r.Trouble {
		for range slowPeerCount {
			go func() {
				time.Sleep(time.Duration(rand.Intn(1000)) * time.Millisecond)
				if trickle(s.Listen, end) {
					closed.Add(1)
				}
			}()
		}
	}
	var mu sync.Mutex
	counts := map[int]int{}
	sent, lost := 0, 0
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / slowPeersRate * float64(time.Second)))
		wg.Go(func() {
			q := &Request{ID: newID(), Class: "status-view", Rank: 0.5, Sidecar: 1 + rand.Intn(4), Body: "work=20"}
			a := s.Sidecars.Send(q, dueAfter+100*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			counts[a.Status]++
			sent++
			if errors.Is(a.Err, errGaveUp) || a.Status != 0 && a.Took > dueAfter {
				lost++
				r.Rec.Addf("BROKEN request %s has no answer %d ms after it was written", q.ID, dueAfter.Milliseconds())
			}
		})
	}
	wg.Wait()
	if how, crashed := s.Crashed(); crashed {
		return fmt.Errorf("the node has ended by itself: %s", how)
	}
	r.Rec.Sayf("answers by status (0: none): %v; slow connections that the node closed: %d", counts, closed.Load())
	if float64(lost) > allowedLoss*float64(sent) {
		return errBroken{fmt.Sprintf("%d of %d requests got no answer in their time", lost, sent)}
	}
	return nil
}

// trickle opens a connection and sends a request at a byte a second. It reports whether the node closed the connection.
func trickle(addr string, end time.Time) (closed bool) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	over := make(chan struct{})
	go func() { // reads what the node sends, up to the end
		defer close(over)
		buf := make([]byte, 1024)
		for err := error(nil); err == nil; {
			_, err = c.Read(buf)
		}
	}()
	q := Request{ID: newID(), Class: "return-submit", OnceKey: newID() + newID(), receivedAt: time.Now()}
	text := q.text()
	for i := 0; i < len(text) && time.Now().Before(end); i++ {
		if _, err := c.Write([]byte{text[i]}); err != nil {
			return true
		}
		select {
		case <-over:
			return true
		case <-time.After(time.Second):
		}
	}
	return false
}

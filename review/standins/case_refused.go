package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["refused"] = refused }

const (
	refusedTime = 30 * time.Second
	refusedRate = 40 // keyed requests a second
	drainEvery  = 4 * time.Second
	stopAfter   = 3200 * time.Millisecond // from SIGTERM to SIGKILL, as in the start-up file
	// fencePolicy is a policy like that of the project's README.
	fencePolicy = "[fleet]\nlease = 10s\nwhen_alone = fence\n"
)

// refused tells a node of a fleet to drain, and starts it again once it has ended. It checks that the draining node
// refuses no repeat of a request that it has run and served, within the window. A refused try goes to the other node.
func refused(r *Run) error {
	fleet, err := r.StartControlService()
	if err != nil {
		return err
	}
	requests := NewRequests()
	control, err := NewControlPlane()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	keyOf, runs := map[string]string{}, map[string]map[string]int{} // key by request; runs by key and node
	var servers []*Server
	for _, name := range []string{"n1", "n2"} {
		s, err := r.StartServer(name, sejongSite(), requests, control,
			serverOptions{MemoryMB: 192, Sockets: 512, Fleet: fleet})
		if err != nil {
			return err
		}
		servers = append(servers, s)
		s.Kernel.OnRun = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			key := keyOf[id]
			if runs[key] == nil {
				runs[key] = map[string]int{}
			}
			runs[key][name]++
		}
	}
	if err = r.ProposePolicy(fleet, fencePolicy); err != nil {
		return err
	}
	for _, s := range servers {
		if err = s.AwaitHealth(10 * time.Second); err != nil {
			return err
		}
	}
	first, other := servers[0], servers[1]
	end := time.Now().Add(refusedTime)
	var wg sync.WaitGroup
	life := 0 // counts the processes of the first node
	if r.Trouble {
		wg.Go(func() {
			for time.Until(end) > 2*drainEvery {
				time.Sleep(drainEvery)
				first.Drain(stopAfter)
				mu.Lock()
				life++
				mu.Unlock()
				first.Sidecars.CloseIdle()
				first.Kernel.NodeStarts()
				err := first.Start()
				if err == nil {
					err = first.AwaitHealth(10 * time.Second)
				}
				if err != nil {
					r.Rec.Sayf("%v", err)
				}
			}
		})
	}
	counts := map[string]int{}
	refusals := 0
	// caller sends one keyed request and repeats it within its window, to the same node until that refuses it.
	caller := func() {
		key := newID() + newID()
		var servedAt time.Time // Received-At of the first try that the first node served
		servedIn := -1         // the process that served it
		s := first
		for n, start := 0, time.Now(); time.Since(start) < submitWindow-200*time.Millisecond; n++ {
			q := &Request{ID: newID(), Class: "return-submit", OnceKey: key, Rank: 0.5, Sidecar: 1 + rand.Intn(4),
				Again: n > 0, Body: "work=20 file=" + key}
			mu.Lock()
			keyOf[q.ID] = key
			lifeBefore := life
			mu.Unlock()
			a := s.Sidecars.Send(q, 900*time.Millisecond)
			mu.Lock()
			counts[fmt.Sprintf("%s %d", s.Name, a.Status)]++
			if sameLife := servedIn == life && lifeBefore == life; s == first && sameLife && a.Refused() &&
				q.receivedAt.Before(servedAt.Add(submitWindow)) {
				refusals++
				r.Rec.Addf("BROKEN try %s of key %s, which %s has run and served, gets %d", q.ID, key, s.Name, a.Status)
			}
			mu.Unlock()
			if a.Status == 200 && s == first && servedIn < 0 {
				servedAt, servedIn = q.receivedAt, lifeBefore
			}
			if a.Refused() {
				s = other // a refusal promises that nothing ran
			}
			time.Sleep(time.Duration((100 + rand.Intn(400)) * int(time.Millisecond)))
		}
	}
	for time.Until(end) > submitWindow {
		time.Sleep(time.Duration(rand.ExpFloat64() / refusedRate * float64(time.Second)))
		wg.Go(caller)
	}
	wg.Wait()
	both := 0
	for key, at := range runs {
		if at["n1"] > 0 && at["n2"] > 0 {
			both++
			r.Rec.Addf("key %s ran on both nodes", key)
		}
	}
	r.Rec.Sayf("answers by node and status: %v; keys that ran: %d, on both nodes: %d", counts, len(runs), both)
	if refusals > 0 {
		return errBroken{fmt.Sprintf("%d repeats of requests that the node has run and served were refused", refusals)}
	}
	return nil
}

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
	killEvery   = 6 * time.Second
)

// refused kills a node that keeps results of keyed requests, and starts it again at once. It checks that no repeat of a
// request that the node has run and answered is refused within the window. A refused try goes to the other node.
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
			serverOptions{MemoryMB: 192, Sockets: 512, Fleet: fleet, Kept: true})
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
	first, other := servers[0], servers[1]
	end := time.Now().Add(refusedTime)
	var wg sync.WaitGroup
	if r.Trouble {
		wg.Go(func() {
			for time.Until(end) > killEvery {
				time.Sleep(killEvery)
				first.Kill()
				first.Sidecars.CloseIdle()
				first.Kernel.NodeStarts()
				if err := first.Start(); err != nil {
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
		s := first
		for n, start := 0, time.Now(); time.Since(start) < submitWindow-200*time.Millisecond; n++ {
			q := &Request{ID: newID(), Class: "return-submit", OnceKey: key, Rank: 0.5, Sidecar: 1 + rand.Intn(4),
				Again: n > 0, Body: "work=20 file=" + key}
			mu.Lock()
			keyOf[q.ID] = key
			mu.Unlock()
			a := s.Sidecars.Send(q, 900*time.Millisecond)
			mu.Lock()
			counts[fmt.Sprintf("%s %d", s.Name, a.Status)]++
			if a.Refused() && s == first && !servedAt.IsZero() && q.receivedAt.Before(servedAt.Add(submitWindow)) {
				refusals++
				r.Rec.Addf("BROKEN try %s of key %s, which %s has run and served, gets %d", q.ID, key, s.Name, a.Status)
			}
			mu.Unlock()
			if a.Status == 200 && s == first && servedAt.IsZero() {
				servedAt = q.receivedAt
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

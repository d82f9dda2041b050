package main

import (
	"fmt"
	"time"
)

func init() { cases["stale"] = stale }

const (
	staleRequests = 10 // to each node
	// staleWorkMS is more than the client timeout of the first policy and less than that of the site.
	staleWorkMS = 430

	staleFleet = "[fleet]\nlease = 2s\nwhen_alone = fence\n"
	staleClass = "[class status-view]\nkind = replayable\nresponse_target = 230ms\nclient_timeout = 350ms\n"
)

// stalePolicies are the policies in their order: a class gets a shorter client timeout, is retired, as the control
// service wants it before a class goes, and goes.
var stalePolicies = []string{staleFleet + staleClass, staleFleet + staleClass + "retired = yes\n", staleFleet}

// stale changes the policy of two nodes and restarts one of them once the last change has settled. It checks that the
// nodes, under the same version, give the same answers to the same requests.
func stale(r *Run) error {
	fleet, err := r.StartControlService()
	if err != nil {
		return err
	}
	requests := NewRequests()
	control, err := NewControlPlane()
	if err != nil {
		return err
	}
	var servers []*Server
	for _, name := range []string{"n1", "n2"} {
		s, err := r.StartServer(name, sejongSite(), requests, control,
			serverOptions{MemoryMB: 192, Sockets: 512, Fleet: fleet})
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	for _, text := range stalePolicies {
		if err = r.ProposePolicy(fleet, text); err != nil {
			return err
		}
	}
	if r.Trouble {
		s := servers[1]
		s.Kill()
		s.Sidecars.CloseIdle()
		s.Kernel.NodeStarts()
		if err = s.Start(); err != nil {
			return err
		}
	}
	for _, s := range servers {
		if err = s.AwaitHealth(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(time.Second) // several heartbeats
	served := map[string]int{}
	for range staleRequests {
		for _, s := range servers {
			q := &Request{ID: newID(), Class: "status-view", Rank: 0.5, Sidecar: 1,
				Body: fmt.Sprintf("work=%d", staleWorkMS)}
			if a := s.Sidecars.Send(q, 900*time.Millisecond); a.Status == 200 {
				served[s.Name]++
			}
		}
	}
	out, err := r.command("exec bin/umberctl nodes list --at " + fleet).CombinedOutput()
	r.Rec.Addf("nodes list: %v\n%s", err, out)
	r.Rec.Sayf("of %d equal requests each under the settled version %d, n1 served %d and n2 %d", staleRequests,
		len(stalePolicies), served["n1"], served["n2"])
	const most = staleRequests - 1
	if served["n1"] >= most && served["n2"] <= 1 || served["n2"] >= most && served["n1"] <= 1 {
		return errBroken{"the change has taken effect at one node and not at the other"}
	}
	return nil
}

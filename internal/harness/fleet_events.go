package harness

// This file reads the history of a fleet of processes from their logs and holds it to its promises.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"sort"
	"time"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/logging"
	"umberwinch/internal/simulation"
)

// logLines reads a log of JSON lines; times are tenths of a ms.
func logLines(file string, take func(at int64, m map[string]any)) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		var m map[string]any
		if json.Unmarshal(s.Bytes(), &m) != nil {
			continue // a line that was being written when its process was killed, or a crash's
		}
		word, _ := m["time"].(string)
		t, err := time.Parse("2006-01-02T15:04:05.000Z07:00", word)
		if err != nil {
			continue
		}
		take(t.UnixMicro()/100, m)
	}
	return s.Err()
}

// History reads what happened from the logs of all processes.
func (r *FleetProcesses) History() ([]simulation.FleetEvent, error) {
	var all []simulation.FleetEvent
	lines := logLines
	type step struct {
		number float64
		name   policy.Step
	}
	first := map[step]simulation.FleetEvent{}
	var order []step
	if err := lines(filepath.Join(r.Dir, "instances.log"), func(at int64, m map[string]any) {
		if m["msg"] != "change of policy" {
			return
		}
		number, _ := m["change"].(float64)
		version, _ := m[logging.PolicyVersion].(float64)
		from, _ := m["from"].(float64)
		excl, _ := m["exclusive"].(bool)
		name, _ := m["step"].(string)
		k := step{number, policy.Step(name)}
		if e, there := first[k]; !there || at < e.At {
			if !there {
				order = append(order, k)
			}
			first[k] = simulation.FleetEvent{At: at, Version: uint64(version), From: uint64(from), Excl: excl}
		}
	}); err != nil {
		return nil, err
	}
	r.inForce = map[uint64]float64{}
	for _, k := range order {
		e := first[k]
		if begun, there := first[step{k.number, policy.Preparing}]; there && k.name == policy.Committed {
			r.inForce[uint64(k.number)] = float64(e.At-begun.At) / 10
		}
		switch k.name {
		case policy.Decided:
			e.Kind = "decided"
			all = append(all, e)
		case policy.Committed:
			if _, held := first[step{k.number, policy.Decided}]; !held {
				e.Kind = "decided"
				all = append(all, e)
			}
			e.Kind = "forced"
			all = append(all, e)
		case policy.Settled, policy.Aborted:
			e.Kind = map[policy.Step]string{policy.Settled: "settled", policy.Aborted: "off"}[k.name]
			all = append(all, e)
		}
	}
	r.mu.Lock()
	own := append([]simulation.FleetEvent(nil), r.events...)
	r.mu.Unlock()
	for _, n := range r.nodes {
		var told []simulation.FleetEvent
		if err := lines(filepath.Join(r.Dir, n.name+".log"), func(at int64, m map[string]any) {
			version, _ := m[logging.PolicyVersion].(float64)
			e := simulation.FleetEvent{At: at, Node: n.name}
			switch m["msg"] {
			case "node is fenced: all requests are rejected":
				e.Kind = "stops"
			case "node serves":
				e.Kind, e.Version = "serves", uint64(version)
			case "policy version is active":
				e.Kind, e.Version = "takes", uint64(version)
			default:
				return
			}
			told = append(told, e)
		}); err != nil {
			return nil, err
		}
		for _, e := range own {
			if e.Node == n.name {
				told = append(told, e)
			}
		}
		all = append(all, nodeHistory(told)...)
	}
	return all, nil
}

// settle is within which a process that goes on has said that its first round fenced it, in tenths of a ms: a busy
// machine may let it wait for a core.
const settle = 10_000

// nodeHistory makes spans of service of what a node's log and the rig said: a process that stands still serves nothing,
// and one that goes on serves what it did unless its first round fenced it.
func nodeHistory(told []simulation.FleetEvent) (out []simulation.FleetEvent) {
	sort.SliceStable(told, func(i, k int) bool { return told[i].At < told[k].At })
	serves, under, before := false, uint64(0), false
	say := func(at int64, kind string) {
		out = append(out, simulation.FleetEvent{At: at, Kind: kind, Node: told[0].Node, Version: under})
	}
	for _, e := range told {
		switch e.Kind {
		case "serves":
			serves, under = true, e.Version
			say(e.At, "serves")
		case "takes":
			if under = e.Version; serves {
				say(e.At, "serves")
			}
		case "stops":
			if serves {
				say(e.At, "stops")
			}
			serves = false
		case "pause":
			if before = serves; serves {
				say(e.At, "stops")
			}
			serves = false
		case "resume":
			if !before {
				continue
			}
			fenced := false
			for _, o := range told { // logs have whole ms: a line may seem to come before what brought it about
				fenced = fenced || o.Kind == "stops" && o.At > e.At-10 && o.At <= e.At+settle
			}
			if !fenced {
				serves = true
				say(e.At+10, "serves")
			}
		}
	}
	return out
}

// Check holds what happened against the promises.
func (r *FleetProcesses) Check(p simulation.FleetPromises) (overlap int64, err error) {
	h, err := r.History()
	if err != nil {
		return 0, err
	}
	broken, overlap := simulation.CheckFleet(h, p)
	if broken != "" {
		return overlap, errors.New(broken)
	}
	return overlap, nil
}

// tail gives the end of a process's log, for a failure's report.
func (r *FleetProcesses) tail(name string, n int) string {
	raw, err := os.ReadFile(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-n):], []byte("\n")))
}

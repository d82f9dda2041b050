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

// logRecord is one line of a process's log.
type logRecord struct {
	at      int64 // tenths of a ms
	message string
	fields  map[string]any
}

// uintField gives a field that is a whole number, 0 where it is missing.
func (l *logRecord) uintField(field string) uint64 {
	v, _ := l.fields[field].(float64)
	return uint64(v)
}

func (l *logRecord) stringField(field string) string {
	v, _ := l.fields[field].(string)
	return v
}

func (l *logRecord) boolField(field string) bool {
	v, _ := l.fields[field].(bool)
	return v
}

// readLog gives each line of a log of JSON lines. A line that was being written when its process was killed is passed
// over, and so is a crash's.
func readLog(file string, handle func(l *logRecord)) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		l := logRecord{}
		if json.Unmarshal(s.Bytes(), &l.fields) != nil {
			continue
		}
		t, err := time.Parse("2006-01-02T15:04:05.000Z07:00", l.stringField("time"))
		if err != nil {
			continue
		}
		l.at, l.message = t.UnixMicro()/100, l.stringField("msg")
		handle(&l)
	}
	return s.Err()
}

// instancesLog is the log that all instances of the group write.
func (r *FleetProcesses) instancesLog() string { return filepath.Join(r.Dir, "instances.log") }

func (n *nodeProcess) logPath() string { return filepath.Join(n.fleet.Dir, n.name+".log") }

// History reads what happened from the logs of all processes.
func (r *FleetProcesses) History() ([]simulation.FleetEvent, error) {
	steps, err := readChangeSteps(r.instancesLog())
	if err != nil {
		return nil, err
	}
	r.commitTimes = steps.commitTimes()
	all := steps.events()
	r.mu.Lock()
	processEvents := append([]simulation.FleetEvent(nil), r.processEvents...)
	r.mu.Unlock()
	for _, n := range r.nodes {
		events, err := n.loggedEvents()
		if err != nil {
			return nil, err
		}
		for _, e := range processEvents {
			if e.Node == n.name {
				events = append(events, e)
			}
		}
		all = append(all, nodeHistory(events)...)
	}
	return all, nil
}

// changeStep is one step of one change of policy.
type changeStep struct {
	number uint64
	step   policy.Step
}

// changeSteps are the steps that the group's changes took, each as the first instance logged it.
type changeSteps struct {
	first map[changeStep]simulation.FleetEvent
	order []changeStep
}

func readChangeSteps(file string) (*changeSteps, error) {
	c := &changeSteps{first: map[changeStep]simulation.FleetEvent{}}
	return c, readLog(file, func(l *logRecord) {
		if l.message != "change of policy" {
			return
		}
		k := changeStep{l.uintField(logging.Change), policy.Step(l.stringField(logging.Step))}
		e, known := c.first[k]
		if known && e.At <= l.at {
			return
		}
		if !known {
			c.order = append(c.order, k)
		}
		c.first[k] = simulation.FleetEvent{At: l.at, Version: l.uintField(logging.PolicyVersion),
			From: l.uintField(logging.From),
			Excl: l.boolField(logging.Exclusive)}
	})
}

// commitTimes gives the ms that each change took from its first step to being in force.
func (c *changeSteps) commitTimes() map[uint64]float64 {
	out := map[uint64]float64{}
	for _, k := range c.order {
		preparing, known := c.first[changeStep{k.number, policy.Preparing}]
		if known && k.step == policy.Committed {
			out[k.number] = float64(c.first[k].At-preparing.At) / 10
		}
	}
	return out
}

// events gives the steps as the checker has them. A change that was put in force without a step of being decided was
// decided in that moment.
func (c *changeSteps) events() (all []simulation.FleetEvent) {
	add := func(k changeStep, kind string) {
		e := c.first[k]
		e.Kind = kind
		all = append(all, e)
	}
	for _, k := range c.order {
		switch k.step {
		case policy.Decided:
			add(k, "decided")
		case policy.Committed:
			if _, known := c.first[changeStep{k.number, policy.Decided}]; !known {
				add(k, "decided")
			}
			add(k, "forced")
		case policy.Settled:
			add(k, "settled")
		case policy.Aborted:
			add(k, "off")
		}
	}
	return all
}

// loggedEvents gives what a node logged of its service.
func (n *nodeProcess) loggedEvents() (events []simulation.FleetEvent, err error) {
	err = readLog(n.logPath(), func(l *logRecord) {
		e := simulation.FleetEvent{At: l.at, Node: n.name}
		switch l.message {
		case "node is fenced: all requests are rejected":
			e.Kind = "stops"
		case "node serves":
			e.Kind, e.Version = "serves", l.uintField(logging.PolicyVersion)
		case "policy version is active":
			e.Kind, e.Version = "takes", l.uintField(logging.PolicyVersion)
		default:
			return
		}
		events = append(events, e)
	})
	return events, err
}

// fenceLogGrace, in tenths of a ms, is within which a resumed process has logged that its first round fenced it: a busy
// machine may let it wait for a core.
const fenceLogGrace = 10_000

// nodeHistory makes spans of service of what a node's log and the scenario say: a process that stands still serves
// nothing, and one that goes on serves what it did unless its first round fenced it.
func nodeHistory(events []simulation.FleetEvent) (out []simulation.FleetEvent) {
	sort.SliceStable(events, func(i, k int) bool { return events[i].At < events[k].At })
	serving, version, servingBeforePause := false, uint64(0), false
	emit := func(at int64, kind string) {
		out = append(out, simulation.FleetEvent{At: at, Kind: kind, Node: events[0].Node, Version: version})
	}
	for _, e := range events {
		switch e.Kind {
		case "serves":
			serving, version = true, e.Version
			emit(e.At, "serves")
		case "takes":
			if version = e.Version; serving {
				emit(e.At, "serves")
			}
		case "stops":
			if serving {
				emit(e.At, "stops")
			}
			serving = false
		case "pause":
			if servingBeforePause = serving; serving {
				emit(e.At, "stops")
			}
			serving = false
		case "resume":
			if !servingBeforePause {
				continue
			}
			fenced := false
			for _, other := range events { // logs have whole ms: a line may seem to come before what brought it about
				fenced = fenced || other.Kind == "stops" && other.At > e.At-10 && other.At <= e.At+fenceLogGrace
			}
			if !fenced {
				serving = true
				emit(e.At+10, "serves")
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

// logTail gives the end of a process's log, for a failure's report.
func (r *FleetProcesses) logTail(name string, n int) string {
	raw, err := os.ReadFile(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-n):], []byte("\n")))
}

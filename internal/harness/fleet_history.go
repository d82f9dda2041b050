package harness

// This file reads a fleet's history from the logs of its processes and checks its invariants.

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

// logRecord is one line of a process's JSON log.
type logRecord struct {
	at      int64 // tenths of a ms
	message string
	fields  map[string]any
}

// uintField returns the value of an integer field, 0 if it is missing.
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

// readLog calls handle for each record of a JSON log. It skips lines that aren't records: a line cut by the kill of
// its process, or a crash's output.
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

// instancesLog is the path of the log that all instances of the group append to.
func (r *FleetProcesses) instancesLog() string { return filepath.Join(r.Dir, "instances.log") }

func (n *nodeProcess) logPath() string { return filepath.Join(n.fleet.Dir, n.name+".log") }

// History returns the fleet's history from the logs of all processes.
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

type changeStep struct {
	number uint64
	step   policy.Step
}

// changeSteps are the steps of the group's policy changes, each at its first occurrence in the instances' log.
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
			PreviousVersion: l.uintField(logging.From),
			Exclusive:       l.boolField(logging.Exclusive)}
	})
}

// commitTimes returns the time from a change's first step to its commit, in ms, by change.
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

// events returns the steps as events for the checker. A change that was committed without a separate decision was
// decided at the same time.
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

// loggedEvents returns the events by which a node's log says that it serves, is fenced or has activated a version.
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

// fenceLogGrace is the maximum time, in tenths of a ms, between a process's resumption and its log line that it is
// fenced. It includes the wait for a core on a busy machine.
const fenceLogGrace = 10_000

// nodeHistory merges the events of a node's log and of its process into serves and stops events. A paused process
// serves nothing; once resumed it serves as before, unless it logs that it is fenced.
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
			for _, other := range events { // log times are rounded to ms: a line may precede its cause by up to 1 ms
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

// Check checks the fleet's history and returns the longest overlap of two versions, in tenths of a ms.
func (r *FleetProcesses) Check(p simulation.FleetInvariants) (overlap int64, err error) {
	h, err := r.History()
	if err != nil {
		return 0, err
	}
	violation, overlap := simulation.CheckFleetHistory(h, p)
	if violation != "" {
		return overlap, errors.New(violation)
	}
	return overlap, nil
}

// logTail returns the last n lines of a process's log.
func (r *FleetProcesses) logTail(name string, n int) string {
	raw, err := os.ReadFile(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-n):], []byte("\n")))
}

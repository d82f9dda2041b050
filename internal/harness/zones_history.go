package harness

// This file reads the history of zones from the logs of a fleet of processes.

import (
	"errors"
	"sort"
	"time"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/logging"
)

// logSlack covers the precision of logs and a heartbeat interval, in tenths of a ms.
const logSlack = 1000

// responseInterval is the interval of the responses added to the history, in tenths of a ms.
const responseInterval = 1000

// checkHistory reads the processes' logs since a time and checks the invariants.
func (b *zoneFixture) checkHistory(since time.Time) error {
	from := since.UnixMicro() / 100
	var h []ZoneEvent
	for _, n := range b.nodes {
		h = append(h, ZoneEvent{At: from, Kind: "zone", Zone: n.zone})
	}
	decisions, err := b.loggedDecisions(from)
	if err != nil {
		return err
	}
	h = append(h, decisions...)
	sort.SliceStable(h, func(i, k int) bool { return h[i].At < h[k].At })
	for _, n := range b.nodes {
		orders, err := n.loggedZoneOrders()
		if err != nil {
			return err
		}
		h = append(h, orders...)
	}
	h = append(append(h, b.processExits()...), b.syntheticResponses(from)...)
	if violation := CheckZones(h, b.mayEvacuate, logSlack); violation != "" {
		return errors.New(violation)
	}
	return nil
}

// loggedDecisions returns the group's decisions since a time, each epoch once, and when epochs settled. Decisions
// about the whole fleet aren't part of it.
func (b *zoneFixture) loggedDecisions(from int64) (h []ZoneEvent, err error) {
	seen := map[uint64]bool{}
	err = readLog(b.instancesLog(), func(l *logRecord) {
		e := ZoneEvent{At: l.at, Epoch: l.uintField(logging.Epoch)}
		switch l.message {
		case "change of a zone":
			e.Kind, e.Zone, e.Op, e.Share = "decided", l.stringField(logging.Zone), l.stringField(logging.Operation),
				int(l.uintField(logging.Share))
			if e.Zone == zones.WholeFleet || e.At < from || e.Op == "hold" || e.Epoch <= b.firstEpoch || seen[e.Epoch] {
				return
			}
			seen[e.Epoch] = true
		case "epoch of zones settled":
			e.Kind = "settled"
		default:
			return
		}
		h = append(h, e)
	})
	return h, err
}

// loggedZoneOrders returns the epochs that a node applied, and when it was fenced.
func (n *nodeProcess) loggedZoneOrders() (h []ZoneEvent, err error) {
	err = readLog(n.logPath(), func(l *logRecord) {
		e := ZoneEvent{At: l.at, Node: n.name, Zone: n.zone}
		switch l.message {
		case "zone order is in effect":
			e.Kind, e.Epoch, e.Share = "applied", l.uintField(logging.Epoch), int(l.uintField(logging.Share))
		case "node is fenced: all requests are rejected":
			e.Kind = "stops"
		default:
			return
		}
		h = append(h, e)
	})
	return h, err
}

// processExits returns the exits of nodes' processes.
func (b *zoneFixture) processExits() (h []ZoneEvent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.processEvents {
		if e.Kind == "stops" {
			h = append(h, ZoneEvent{At: e.At, Kind: "stops", Node: e.Node})
		}
	}
	return h
}

// syntheticResponses returns a response of each node every responseInterval: a node that has applied an epoch
// responds by it.
func (b *zoneFixture) syntheticResponses(from int64) (h []ZoneEvent) {
	for at := from; at < time.Now().UnixMicro()/100; at += responseInterval {
		for _, n := range b.nodes {
			h = append(h, ZoneEvent{At: at, Kind: "responds", Node: n.name})
		}
	}
	return h
}

package harness

// This file checks the invariants of the history of zones.

import (
	"fmt"
	"sort"
)

// ZoneEvent is one event of the history of zones.
type ZoneEvent struct {
	At    int64  // in tenths of a ms
	Kind  string // zone: it exists; decided, settled: by the group; applied, stops, responds: by a node
	Node  string
	Zone  string
	Epoch uint64
	Share int // in 1/256
	Op    string
}

// CheckZones returns the first violation of the invariants in a history; empty if there is none: no node acts on an
// epoch before the settled one, a share grows only once the previous epoch has settled, at least one zone is in
// service, epochs increase, and only zones with a reason to are evacuated. slack, in tenths of a ms, covers the
// precision of logs and a heartbeat interval.
func CheckZones(h []ZoneEvent, mayEvacuate map[string]bool, slack int64) string {
	h = append([]ZoneEvent(nil), h...)
	sort.SliceStable(h, func(i, k int) bool { return h[i].At < h[k].At })
	applied, shares, known := map[string]uint64{}, map[string]int{}, map[string]bool{}
	settled, decided, settledAt := uint64(0), uint64(0), map[uint64]int64{}
	const fullShare = 256
	countInService := func() (n int) {
		for z := range known {
			if s, left := shares[z]; !left || s == fullShare {
				n++
			}
		}
		return n
	}
	for _, e := range h {
		switch e.Kind {
		case "zone":
			known[e.Zone] = true
		case "decided":
			known[e.Zone] = true
			if e.Epoch <= decided {
				return fmt.Sprintf("epoch %d was decided after epoch %d, want increasing epochs", e.Epoch, decided)
			}
			if e.Op == "leave" && !mayEvacuate[e.Zone] {
				return fmt.Sprintf("zone %s was evacuated in epoch %d without a reason", e.Zone, e.Epoch)
			}
			if previous, left := shares[e.Zone]; left && e.Share > previous && settled < decided {
				return fmt.Sprintf("zone %s: share raised to %d in epoch %d before epoch %d was settled", e.Zone,
					e.Share, e.Epoch, decided)
			}
			decided, shares[e.Zone] = e.Epoch, e.Share
			if len(known) > 1 && countInService() == 0 {
				return fmt.Sprintf("no zone is in service as of epoch %d, want at least one", e.Epoch)
			}
		case "settled":
			if settled = max(settled, e.Epoch); settledAt[e.Epoch] == 0 {
				settledAt[e.Epoch] = e.At
			}
		case "applied":
			applied[e.Node] = e.Epoch
		case "stops":
			delete(applied, e.Node)
		case "responds":
			if epoch, running := applied[e.Node]; running && epoch < settled && e.At > settledAt[settled]+slack {
				return fmt.Sprintf("node %s acted on epoch %d %.1f ms after epoch %d settled, want at most %.1f ms",
					e.Node, epoch, float64(e.At-settledAt[settled])/10, settled, float64(slack)/10)
			}
		}
	}
	return ""
}

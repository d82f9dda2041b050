package harness

// This file holds the history of zones to their promises.

import (
	"fmt"
	"sort"
)

// ZoneEvent is one thing that a run recorded about zones, in tenths of a ms.
type ZoneEvent struct {
	At    int64
	Kind  string // decided, settled: the group's; acts, stops: a node's
	Node  string
	Zone  string
	Epoch uint64
	Share int
	Op    string
}

// CheckZones holds a history to its promises: nobody acts on an epoch before one that is settled, a share grows only
// once the epoch before has settled, one zone is always in, epochs never go back, and no zone is left but those there
// was a reason to leave. slack covers logs of whole ms and a round.
func CheckZones(h []ZoneEvent, mayEvacuate map[string]bool, slack int64) string {
	h = append([]ZoneEvent(nil), h...)
	sort.SliceStable(h, func(i, k int) bool { return h[i].At < h[k].At })
	applied, shares, known := map[string]uint64{}, map[string]int{}, map[string]bool{}
	settled, decided, settledAt := uint64(0), uint64(0), map[uint64]int64{}
	countInService := func() (n int) {
		for z := range known {
			if s, left := shares[z]; !left || s == 256 {
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
				return fmt.Sprintf("epoch %d was decided after %d", e.Epoch, decided)
			}
			if e.Op == "leave" && !mayEvacuate[e.Zone] {
				return fmt.Sprintf("zone %s was left in epoch %d, and there was no reason to", e.Zone, e.Epoch)
			}
			if previous, left := shares[e.Zone]; left && e.Share > previous && settled < decided {
				return fmt.Sprintf("zone %s was raised to %d in epoch %d, and epoch %d was not settled", e.Zone,
					e.Share, e.Epoch, decided)
			}
			decided, shares[e.Zone] = e.Epoch, e.Share
			if len(known) > 1 && countInService() == 0 {
				return fmt.Sprintf("no zone is in since epoch %d", e.Epoch)
			}
		case "settled":
			if settled = max(settled, e.Epoch); settledAt[e.Epoch] == 0 {
				settledAt[e.Epoch] = e.At
			}
		case "acts":
			applied[e.Node] = e.Epoch
		case "stops":
			delete(applied, e.Node)
		case "answers":
			if epoch, running := applied[e.Node]; running && epoch < settled && e.At > settledAt[settled]+slack {
				return fmt.Sprintf("%s acted on epoch %d, and %d was settled %.1f ms before", e.Node, epoch, settled,
					float64(e.At-settledAt[settled])/10)
			}
		}
	}
	return ""
}

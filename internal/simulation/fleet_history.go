package simulation

import (
	"fmt"
	"sort"
)

// FleetEvent is one thing that a run of a fleet recorded. Times are tenths of a ms by one clock that sees all.
type FleetEvent struct {
	At      int64
	Kind    string // serves, stops: a node's; decided, forced, settled, off: the group's
	Node    string
	Version uint64
	From    uint64 // decided, off: the version before it
	Excl    bool
	Why     string
}

// FleetPromises are what a history is held against.
type FleetPromises struct {
	Overlap int64 // tenths of a ms between the first node under a version and the last under an older one
	Fences  bool  // when_alone = fence: bounds hold for everybody
}

// longestOverlap gives the longest time between the first node under some version and the last under an older one.
func longestOverlap(h []FleetEvent) (longest int64) {
	under := map[string]uint64{}
	begun, last := map[uint64]int64{}, map[uint64]int64{} // by version: its first service, the last under an older one
	var versions []uint64
	for _, e := range h {
		if e.Kind != "serves" && e.Kind != "stops" {
			continue
		}
		was, on := under[e.Node]
		if on {
			for _, v := range versions {
				if v > was {
					last[v] = max(last[v], e.At)
				}
			}
		}
		if e.Kind == "stops" {
			delete(under, e.Node)
			continue
		}
		under[e.Node] = e.Version
		if _, known := begun[e.Version]; !known && e.Version > 2 { // the first of all comes on other terms
			begun[e.Version] = e.At
			versions = append(versions, e.Version)
		}
	}
	for v, at := range begun {
		longest = max(longest, last[v]-at)
	}
	return longest
}

// CheckFleet holds a history against the promises of docs/design/policy.md and gives the first that is broken, and
// the longest overlap seen.
func CheckFleet(all []FleetEvent, p FleetPromises) (broken string, overlap int64) {
	h := append([]FleetEvent(nil), all...)
	sort.SliceStable(h, func(i, k int) bool { return h[i].At < h[k].At })
	type span struct {
		node     string
		version  uint64
		from, to int64
	}
	const open = int64(1) << 62
	var spans []span
	at := map[string]int{} // a node's open span
	served := map[string]uint64{}
	off, settled := map[uint64]int64{}, map[uint64]int64{}
	decided, excl := map[uint64]int64{}, map[uint64]bool{}
	first := map[uint64]bool{} // from no version at all, which nodes hold without bounds
	forced := map[uint64]int64{}
	end := map[uint64]string{}
	var order []uint64
	for _, e := range h {
		switch e.Kind {
		case "serves":
			if i, on := at[e.Node]; on {
				spans[i].to = e.At
			}
			if was := served[e.Node]; e.Version < was {
				return fmt.Sprintf("%s served under version %d at %.1f ms, and under %d before", e.Node, e.Version,
					float64(e.At)/10, was), 0
			}
			served[e.Node] = e.Version
			at[e.Node] = len(spans)
			spans = append(spans, span{e.Node, e.Version, e.At, open})
		case "stops":
			if i, on := at[e.Node]; on {
				spans[i].to = e.At
				delete(at, e.Node)
			}
		case "decided":
			if was := end[e.Version]; was != "" {
				return fmt.Sprintf("version %d was decided and %s before", e.Version, was), 0
			}
			end[e.Version], decided[e.Version], excl[e.Version] = "decided", e.At, e.Excl
			first[e.Version] = e.From == 0
			order = append(order, e.Version)
		case "forced":
			forced[e.Version] = e.At
		case "settled":
			if end[e.Version] != "decided" {
				return fmt.Sprintf("version %d was settled and never decided", e.Version), 0
			}
			settled[e.Version] = e.At
		case "off":
			if was := end[e.Version]; was != "" {
				return fmt.Sprintf("version %d was called off and %s before", e.Version, was), 0
			}
			end[e.Version], off[e.Version] = "called off", e.At
		}
	}
	for _, s := range spans {
		if s.version == 0 {
			continue
		}
		if _, gone := off[s.version]; gone {
			return fmt.Sprintf("%s served under version %d, which was called off", s.node, s.version), 0
		}
		if d, ok := decided[s.version]; !ok || s.from < d {
			return fmt.Sprintf("%s served under version %d at %.1f ms, before it was decided", s.node, s.version,
				float64(s.from)/10), 0
		}
		if f, ok := forced[s.version]; ok && s.from < f {
			return fmt.Sprintf("%s served under version %d at %.1f ms, before it was in force", s.node, s.version,
				float64(s.from)/10), 0
		}
	}
	for _, v := range order {
		begin, last, who := open, int64(-1), ""
		for _, s := range spans {
			if s.version >= v {
				begin = min(begin, s.from)
			} else if s.to > last {
				last, who = s.to, s.node
			}
		}
		if t, ok := settled[v]; ok && last > t {
			return fmt.Sprintf("%s served under an older version than %d at %.1f ms, which was settled at %.1f", who, v,
				float64(last)/10, float64(t)/10), 0
		}
		if begin == open || last <= begin || first[v] {
			continue
		}
		if last != open {
			overlap = max(overlap, last-begin)
		}
		if !p.Fences {
			continue
		}
		if excl[v] {
			return fmt.Sprintf("%s served under an older version than %d %.1f ms after the first under it, in a change "+
				"without overlap", who, v, float64(last-begin)/10), 0
		}
		if last-begin > p.Overlap {
			return fmt.Sprintf("%s served under an older version than %d %.1f ms after the first under it, expected %.1f at "+
				"most", who, v, float64(last-begin)/10, float64(p.Overlap)/10), 0
		}
	}
	return "", overlap
}

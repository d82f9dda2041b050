package simulation

import (
	"fmt"
	"math"
	"sort"
)

// FleetEvent is one thing that a run of a fleet recorded. Times are tenths of a ms by one clock that sees all.
type FleetEvent struct {
	At int64
	// Kind is serves or stops of a node; decided, forced (policy.Committed), settled or off (policy.Aborted) of the
	// group. The harness has takes, pause and resume of a process too, and makes them serves and stops before the
	// check.
	Kind    string
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
	firstServed, lastOlder := map[uint64]int64{}, map[uint64]int64{} // by version: its first service, the last under an older one
	var versions []uint64
	for _, e := range h {
		if e.Kind != "serves" && e.Kind != "stops" {
			continue
		}
		previous, serving := under[e.Node]
		if serving {
			for _, v := range versions {
				if v > previous {
					lastOlder[v] = max(lastOlder[v], e.At)
				}
			}
		}
		if e.Kind == "stops" {
			delete(under, e.Node)
			continue
		}
		under[e.Node] = e.Version
		if _, known := firstServed[e.Version]; !known && e.Version > 2 { // the first of all comes on other terms
			firstServed[e.Version] = e.At
			versions = append(versions, e.Version)
		}
	}
	for v, at := range firstServed {
		longest = max(longest, lastOlder[v]-at)
	}
	return longest
}

// CheckFleet holds a history against the promises of docs/design/policy.md and gives the first that is broken, and
// the longest overlap seen.
func CheckFleet(all []FleetEvent, p FleetPromises) (broken string, overlap int64) {
	events := append([]FleetEvent(nil), all...)
	sort.SliceStable(events, func(i, k int) bool { return events[i].At < events[k].At })
	c := &historyCheck{
		openSpans:      map[string]int{},
		servedVersions: map[string]uint64{},
		outcomes:       map[uint64]*changeOutcome{},
	}
	for _, e := range events {
		if broken = c.add(e); broken != "" {
			return broken, 0
		}
	}
	for _, s := range c.spans {
		if broken = c.checkSpan(s); broken != "" {
			return broken, 0
		}
	}
	for _, version := range c.decidedVersions {
		if broken = c.checkChange(version, p); broken != "" {
			return broken, 0
		}
	}
	return "", c.overlap
}

// never is a time after all events.
const never = int64(1) << 62

// serviceSpan is a time in which a node served under one version.
type serviceSpan struct {
	node     string
	version  uint64
	from, to int64
}

// changeOutcome is what became of the change to a version, and when. A version that isn't decided or settled has
// never as that time; one that has no step of its own in which it is committed is committed from the beginning.
type changeOutcome struct {
	outcome   string // decided, or called off
	decided   int64
	committed int64
	settled   int64
	exclusive bool
	initial   bool // from no version at all, which nodes hold without bounds
}

// historyCheck is what a history tells, by node and by version.
type historyCheck struct {
	spans           []serviceSpan
	openSpans       map[string]int    // a node's span that has not ended
	servedVersions  map[string]uint64 // the newest version a node served under
	outcomes        map[uint64]*changeOutcome
	decidedVersions []uint64 // versions as they were decided
	overlap         int64
}

func (c *historyCheck) outcome(version uint64) *changeOutcome {
	if c.outcomes[version] == nil {
		c.outcomes[version] = &changeOutcome{decided: never, committed: math.MinInt64, settled: never}
	}
	return c.outcomes[version]
}

// add notes one event. A version ends once, and no node goes back to an older one.
func (c *historyCheck) add(e FleetEvent) (broken string) {
	switch e.Kind {
	case "serves":
		return c.startSpan(e)
	case "stops":
		if i, open := c.openSpans[e.Node]; open {
			c.spans[i].to = e.At
			delete(c.openSpans, e.Node)
		}
	case "decided":
		v := c.outcome(e.Version)
		if v.outcome != "" {
			return fmt.Sprintf("version %d was decided and %s before", e.Version, v.outcome)
		}
		v.outcome, v.decided, v.exclusive, v.initial = "decided", e.At, e.Excl, e.From == 0
		c.decidedVersions = append(c.decidedVersions, e.Version)
	case "forced":
		c.outcome(e.Version).committed = e.At
	case "settled":
		v := c.outcome(e.Version)
		if v.outcome != "decided" {
			return fmt.Sprintf("version %d was settled and never decided", e.Version)
		}
		v.settled = e.At
	case "off":
		v := c.outcome(e.Version)
		if v.outcome != "" {
			return fmt.Sprintf("version %d was called off and %s before", e.Version, v.outcome)
		}
		v.outcome = "called off"
	}
	return ""
}

// startSpan begins a span of service, which ends the one before.
func (c *historyCheck) startSpan(e FleetEvent) (broken string) {
	if i, open := c.openSpans[e.Node]; open {
		c.spans[i].to = e.At
	}
	if before := c.servedVersions[e.Node]; e.Version < before {
		return fmt.Sprintf("%s served under version %d at %.1f ms, and under %d before", e.Node, e.Version,
			milliseconds(e.At), before)
	}
	c.servedVersions[e.Node] = e.Version
	c.openSpans[e.Node] = len(c.spans)
	c.spans = append(c.spans, serviceSpan{e.Node, e.Version, e.At, never})
	return ""
}

// checkSpan: nobody serves under a version that was called off, or before it is decided and committed.
func (c *historyCheck) checkSpan(s serviceSpan) (broken string) {
	if s.version == 0 {
		return ""
	}
	v := c.outcome(s.version)
	switch {
	case v.outcome == "called off":
		return fmt.Sprintf("%s served under version %d, which was called off", s.node, s.version)
	case s.from < v.decided:
		return fmt.Sprintf("%s served under version %d at %.1f ms, before it was decided", s.node, s.version,
			milliseconds(s.from))
	case s.from < v.committed:
		return fmt.Sprintf("%s served under version %d at %.1f ms, before it was in force", s.node, s.version,
			milliseconds(s.from))
	}
	return ""
}

// checkChange: after a change has settled nobody serves under an older version, and until then the overlap is bounded.
func (c *historyCheck) checkChange(version uint64, p FleetPromises) (broken string) {
	v := c.outcome(version)
	begin, last, node := never, int64(-1), ""
	for _, s := range c.spans {
		if s.version >= version {
			begin = min(begin, s.from)
		} else if s.to > last {
			last, node = s.to, s.node
		}
	}
	if v.settled != never && last > v.settled {
		return fmt.Sprintf("%s served under an older version than %d at %.1f ms, which was settled at %.1f", node,
			version, milliseconds(last), milliseconds(v.settled))
	}
	if begin == never || last <= begin || v.initial {
		return ""
	}
	if last != never {
		c.overlap = max(c.overlap, last-begin)
	}
	switch {
	case !p.Fences:
	case v.exclusive:
		return fmt.Sprintf("%s served under an older version than %d %.1f ms after the first under it, in a change "+
			"without overlap", node, version, milliseconds(last-begin))
	case last-begin > p.Overlap:
		return fmt.Sprintf("%s served under an older version than %d %.1f ms after the first under it, expected %.1f "+
			"at most", node, version, milliseconds(last-begin), milliseconds(p.Overlap))
	}
	return ""
}

// milliseconds of a time or span in tenths.
func milliseconds(tenths int64) float64 { return float64(tenths) / 10 }

package simulation

import (
	"fmt"
	"math"
	"sort"
)

// FleetEvent is an event of a fleet's history. Times are tenths of a ms by one global clock.
type FleetEvent struct {
	At int64
	// Kind is serves or stops for a node, and decided, forced (policy.Committed), settled or off (policy.Aborted) for
	// a change. The harness also records takes, pause and resume, and replaces them by serves and stops before the
	// check.
	Kind            string
	Node            string
	Version         uint64
	PreviousVersion uint64 // of decided and off: the previous version
	Exclusive       bool
	Reason          string
}

// FleetInvariants are the bounds that a history is checked against.
type FleetInvariants struct {
	MaxOverlap int64 // maximum tenths of a ms between the first node under a version and the last under an older one
	Fences     bool  // when_alone = fence: the bounds apply to all nodes
}

// longestOverlap returns the longest time, in tenths of a ms, between the first node under a version and the last under
// an older one.
func longestOverlap(h []FleetEvent) (longest int64) {
	under := map[string]uint64{}
	// By version: the first time under it, and the last time under an older one.
	firstServed, lastOlder := map[uint64]int64{}, map[uint64]int64{}
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
		if _, known := firstServed[e.Version]; !known && e.Version > 2 { // the bounds don't apply to the first version
			firstServed[e.Version] = e.At
			versions = append(versions, e.Version)
		}
	}
	for v, at := range firstServed {
		longest = max(longest, lastOlder[v]-at)
	}
	return longest
}

// CheckFleetHistory checks a history against the invariants of docs/design/policy.md. It returns the first violation
// and the longest overlap, in tenths of a ms.
func CheckFleetHistory(all []FleetEvent, p FleetInvariants) (broken string, overlap int64) {
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

// never is a time later than any event.
const never = int64(1) << 62

// serviceSpan is an interval in which a node served under one version.
type serviceSpan struct {
	node     string
	version  uint64
	from, to int64
}

// changeOutcome is the outcome of the change to a version. decided and settled are never until the event occurs;
// committed is math.MinInt64 for a history without that event.
type changeOutcome struct {
	outcome   string // decided, aborted or empty
	decided   int64
	committed int64
	settled   int64
	exclusive bool
	initial   bool // the first version; the overlap with no version is unbounded
}

// historyCheck collects the events of a history by node and by version.
type historyCheck struct {
	spans           []serviceSpan
	openSpans       map[string]int    // by node: index of its open span
	servedVersions  map[string]uint64 // by node: version it served under last
	outcomes        map[uint64]*changeOutcome
	decidedVersions []uint64 // in the order of their decisions
	overlap         int64
}

func (c *historyCheck) outcome(version uint64) *changeOutcome {
	if c.outcomes[version] == nil {
		c.outcomes[version] = &changeOutcome{decided: never, committed: math.MinInt64, settled: never}
	}
	return c.outcomes[version]
}

// add adds an event. A version must be either decided or aborted, and no node may return to an older version.
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
			return fmt.Sprintf("version %d was decided, but %s before", e.Version, v.outcome)
		}
		v.outcome, v.decided, v.exclusive, v.initial = "decided", e.At, e.Exclusive, e.PreviousVersion == 0
		c.decidedVersions = append(c.decidedVersions, e.Version)
	case "forced":
		c.outcome(e.Version).committed = e.At
	case "settled":
		v := c.outcome(e.Version)
		if v.outcome != "decided" {
			return fmt.Sprintf("version %d was settled, but never decided", e.Version)
		}
		v.settled = e.At
	case "off":
		v := c.outcome(e.Version)
		if v.outcome != "" {
			return fmt.Sprintf("version %d was aborted, but %s before", e.Version, v.outcome)
		}
		v.outcome = "aborted"
	}
	return ""
}

// startSpan starts a node's next span of service and ends the previous one.
func (c *historyCheck) startSpan(e FleetEvent) (broken string) {
	if i, open := c.openSpans[e.Node]; open {
		c.spans[i].to = e.At
	}
	if before := c.servedVersions[e.Node]; e.Version < before {
		return fmt.Sprintf("%s served under version %d at %.1f ms, but under version %d before", e.Node, e.Version,
			milliseconds(e.At), before)
	}
	c.servedVersions[e.Node] = e.Version
	c.openSpans[e.Node] = len(c.spans)
	c.spans = append(c.spans, serviceSpan{e.Node, e.Version, e.At, never})
	return ""
}

// checkSpan checks that a node doesn't serve under an aborted version, or before a version is decided and committed.
func (c *historyCheck) checkSpan(s serviceSpan) (broken string) {
	if s.version == 0 {
		return ""
	}
	v := c.outcome(s.version)
	switch {
	case v.outcome == "aborted":
		return fmt.Sprintf("%s served under version %d, which was aborted", s.node, s.version)
	case s.from < v.decided:
		return fmt.Sprintf("%s served under version %d at %.1f ms, before it was decided", s.node, s.version,
			milliseconds(s.from))
	case s.from < v.committed:
		return fmt.Sprintf("%s served under version %d at %.1f ms, before it was committed", s.node, s.version,
			milliseconds(s.from))
	}
	return ""
}

// checkChange checks that no node serves under an older version after a change has settled, and that the overlap until
// then is within its bound.
func (c *historyCheck) checkChange(version uint64, p FleetInvariants) (broken string) {
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
		return fmt.Sprintf("%s served under an older version than %d at %.1f ms, but the change was settled at %.1f ms",
			node, version, milliseconds(last), milliseconds(v.settled))
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
		return fmt.Sprintf("%s served under an older version than %d %.1f ms after the first node under it, in an "+
			"exclusive change", node, version, milliseconds(last-begin))
	case last-begin > p.MaxOverlap:
		return fmt.Sprintf("%s served under an older version than %d %.1f ms after the first node under it, expected "+
			"at most %.1f ms", node, version, milliseconds(last-begin), milliseconds(p.MaxOverlap))
	}
	return ""
}

// milliseconds converts tenths of a millisecond.
func milliseconds(tenths int64) float64 { return float64(tenths) / 10 }

package document

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"umberwinch/internal/config"
)

// LatestRules is the version of the rules by which documents are parsed and validated. It is incremented whenever a
// result may change. A proposal carries the version that it was made under, and an instance that does not support it
// must not validate it.
//
//	1: classes, tenants, pools, levels, rollout
//	2: [fleet]
//	3: [zones]
const LatestRules = rulesWithZones

const (
	rulesWithFleet = 2
	rulesWithZones = 3
)

// Upper limits of values, and a lower one. They catch mistakes, such as a time in the wrong unit.
const (
	maxWeight       = 1e6
	maxRate         = 1e9 // requests per second
	maxLoad         = 10  // multiple of capacity
	maxDuration     = 24 * time.Hour
	maxStages       = 20
	minInitialShare = 0.004 // rounds to 1/256, the smallest share of a zone
)

// Defaults of optional keys.
const (
	defaultWeight           = 1
	defaultLatencyObjective = time.Second
	defaultClientTimeout    = 10 * time.Second
	defaultLevelTime        = 30 * time.Second // keeps levels from alternating under a varying load
	defaultStageTime        = time.Minute
	defaultMaxIncrease      = 0.05 // of the fraction of requests shed or late

	// defaultLease has to exceed an election of the control service, so that an election fences no node.
	// A change waits this long for nodes that are gone.
	defaultLease = 10 * time.Second

	// defaultInitialShare is low, as the services of a zone that returns may be cold.
	defaultInitialShare = 0.0625
	// defaultMinStepTime covers several load reports of each node, which show the effect of a step.
	defaultMinStepTime = 2 * time.Second
	// defaultOrderTTL has to exceed an election of the control service, so that no order expires in one.
	defaultOrderTTL     = time.Minute
	defaultMaxRampDelay = 5 * time.Minute
)

// Values of when_alone.
const (
	whenAloneGoOn  = "go-on"
	whenAloneFence = "fence"
)

// Parse parses a document under the latest rules. name identifies the document in errors. The error is config.Faults
// with all errors found.
func Parse(name string, raw []byte) (*Document, error) { return ParseWithRules(LatestRules, name, raw) }

// ParseWithRules parses a document as Parse does, but under a given version of the rules, so that instances of
// different builds agree on the result.
func ParseWithRules(rules int, name string, raw []byte) (*Document, error) {
	t := config.Parse(name, raw)
	d := &Document{
		Classes: parseClasses(t),
		Tenants: parseTenants(t),
		Pools:   parsePools(t),
		Levels:  parseLevels(t),
		Rollout: parseRollout(t),
		Fleet:   parseFleet(t, rules >= rulesWithFleet),
		Zones:   parseZones(t, rules >= rulesWithZones),
	}
	d.sort()
	d.checkSections(t)
	if err := t.Finish(); err != nil {
		return nil, err
	}
	return d, nil
}

func parseClasses(t *config.Text) (classes []Class) {
	for _, name := range sectionNames(t, "class", MaxClasses) {
		s := "class " + name
		c := Class{
			Name:              name,
			Kind:              readChoice(t, s, "kind", "", Idempotent, IdempotencyKeyed, NotIdempotent),
			Weight:            t.Float(s, "value", defaultWeight, 0, maxWeight),
			LatencyObjective:  t.Duration(s, "response_target", defaultLatencyObjective, time.Millisecond, time.Hour),
			Timeout:           t.Duration(s, "client_timeout", defaultClientTimeout, time.Millisecond, time.Hour),
			IdempotencyWindow: t.Duration(s, "window", 0, 0, maxDuration),
			Pool:              t.String(s, "pool", ""),
			Retired:           t.Bool(s, "retired", false),
		}
		if c.Kind == "" {
			t.AddFault(s, "kind", "none of them", "replayable, uniqued or non-replayable")
		}
		if c.Timeout < c.LatencyObjective {
			t.AddFault(s, "client_timeout", c.Timeout.String(),
				"no less than response_target, "+c.LatencyObjective.String())
		}
		if (c.Kind == IdempotencyKeyed) != (c.IdempotencyWindow > 0) {
			t.AddFault(s, "window", c.IdempotencyWindow.String(), "above 0 for uniqued classes, and for them alone")
		}
		classes = append(classes, c)
	}
	return classes
}

func parseTenants(t *config.Text) (tenants []Tenant) {
	for _, name := range sectionNames(t, "tenant", MaxTenants) {
		s := "tenant " + name
		tenants = append(tenants, Tenant{name, t.Float(s, "share", 0, 0, 1), t.Float(s, "rate", 0, 0, maxRate)})
	}
	return tenants
}

func parsePools(t *config.Text) (pools []Pool) {
	for _, name := range sectionNames(t, "pool", MaxPools) {
		s := "pool " + name
		p := Pool{name, t.Float(s, "floor", 0, 0, 1), t.Float(s, "cap", 1, 0, 1), t.Bool(s, "reserve", false)}
		if p.MaxShare < p.MinShare || p.MaxShare == 0 {
			t.AddFault(s, "cap", formatNumber(p.MaxShare), "above 0 and no less than floor, "+formatNumber(p.MinShare))
		}
		pools = append(pools, p)
	}
	return pools
}

func parseLevels(t *config.Text) (levels []Level) {
	for _, name := range sectionNames(t, "level", MaxLevels) {
		s := "level " + name
		l := Level{
			EnterLoad:   t.Float(s, "enter", 0, 0, maxLoad),
			LeaveLoad:   t.Float(s, "leave", 0, 0, maxLoad),
			MinDuration: t.Duration(s, "hold", defaultLevelTime, time.Second, time.Hour),
			Sheds:       t.List(s, "sheds"),
		}
		var err error
		if l.Number, err = strconv.Atoi(name); err != nil || l.Number < 1 || strconv.Itoa(l.Number) != name {
			t.AddFault(s, "", strconv.Quote(name), "a number from 1 on")
		}
		if !(l.EnterLoad > l.LeaveLoad && l.LeaveLoad > 0) {
			t.AddFault(s, "enter", formatNumber(l.EnterLoad)+" and leave "+formatNumber(l.LeaveLoad),
				"enter above leave above 0")
		}
		sort.Strings(l.Sheds)
		levels = append(levels, l)
	}
	return levels
}

// parseFleet returns the defaults if the rules do not support [fleet] or the document has none. By default nodes serve
// on without the group: an outage of the control service must not stop the fleet.
func parseFleet(t *config.Text, supported bool) Fleet {
	f := Fleet{Lease: defaultLease, Autonomous: true}
	if !supported || !t.HasSection("fleet") {
		return f
	}
	f.Lease = t.Duration("fleet", "lease", defaultLease, time.Second, 10*time.Minute)
	f.Autonomous = t.Choice("fleet", "when_alone", whenAloneGoOn, whenAloneFence, whenAloneGoOn) == whenAloneGoOn
	f.Present = true
	return f
}

// parseZones returns the defaults if the rules do not support [zones] or the document has none.
func parseZones(t *config.Text, supported bool) Zones {
	z := Zones{
		Mode:         ZonesOff,
		InitialShare: defaultInitialShare,
		MinStepTime:  defaultMinStepTime,
		OrderTTL:     defaultOrderTTL,
		MaxRampDelay: defaultMaxRampDelay,
	}
	if !supported || !t.HasSection("zones") {
		return z
	}
	z.Mode = readChoice(t, "zones", "decide", ZonesOff, ZonesOff, ZonesManual, ZonesAuto)
	z.InitialShare = t.Float("zones", "first", defaultInitialShare, minInitialShare, 1)
	z.MinStepTime = t.Duration("zones", "hold", defaultMinStepTime, 500*time.Millisecond, time.Hour)
	z.OrderTTL = t.Duration("zones", "keep", defaultOrderTTL, time.Second, maxDuration)
	z.MaxRampDelay = t.Duration("zones", "max_wait", defaultMaxRampDelay, time.Second, maxDuration)
	z.ColdStart = t.Bool("zones", "small_start", false)
	z.Present = true
	if z.MaxRampDelay < z.MinStepTime {
		t.AddFault("zones", "max_wait", z.MaxRampDelay.String(), "no less than hold, "+z.MinStepTime.String())
	}
	return z
}

// readChoice reads a key whose value is one of the given values.
func readChoice[T ~string](t *config.Text, section, key string, def T, values ...T) T {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	return T(t.Choice(section, key, string(def), words...))
}

// sectionNames returns the names of the sections with a prefix, at most limit, and notes invalid names.
func sectionNames(t *config.Text, prefix string, limit int) []string {
	names := t.SectionNames(prefix)
	if len(names) > limit {
		t.AddFault(prefix+" "+names[limit], "", fmt.Sprintf("%d sections", len(names)),
			fmt.Sprintf("%d at most", limit))
		names = names[:limit]
	}
	for _, name := range names {
		if !config.IsName(name) {
			t.AddFault(prefix+" "+name, "", strconv.Quote(name), "up to 40 letters, digits, '-', '_' and '.'")
		}
	}
	return names
}

func parseRollout(t *config.Text) Rollout {
	r := Rollout{StageDuration: t.Duration("rollout", "hold", defaultStageTime, time.Second, maxDuration),
		MaxShedIncrease: t.Float("rollout", "max_shed", defaultMaxIncrease, 0, 1),
		MaxLateIncrease: t.Float("rollout", "max_late", defaultMaxIncrease, 0, 1)}
	words := t.List("rollout", "stages")
	if words == nil {
		words = []string{"1", "10", "50", "100"}
	}
	last := 0
	for _, word := range words {
		percent, err := strconv.Atoi(word)
		if err != nil || percent <= last || percent > 100 || len(words) > maxStages {
			t.AddFault("rollout", "stages", strconv.Quote(word), "up to 20 rising percentages that end at 100")
			return r
		}
		r.Stages = append(r.Stages, percent)
		last = percent
	}
	if last != 100 {
		t.AddFault("rollout", "stages", strconv.Itoa(last)+" at the end", "100 at the end")
	}
	return r
}

// sort sorts the sections in the order of the canonical form.
func (d *Document) sort() {
	sort.Slice(d.Classes, func(i, k int) bool { return d.Classes[i].Name < d.Classes[k].Name })
	sort.Slice(d.Tenants, func(i, k int) bool { return d.Tenants[i].Name < d.Tenants[k].Name })
	sort.Slice(d.Pools, func(i, k int) bool { return d.Pools[i].Name < d.Pools[k].Name })
	sort.Slice(d.Levels, func(i, k int) bool { return d.Levels[i].Number < d.Levels[k].Number })
}

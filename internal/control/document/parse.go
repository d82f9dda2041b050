package document

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"umberwinch/internal/config"
)

// LatestRules numbers what Parse and Follows find. It rises with each change of a finding, and a proposal carries the
// number that it was made under: an instance that does not know it must not judge it.
//
//	1: classes, tenants, pools, levels, rollout
//	2: [fleet]
//	3: [zones]
const LatestRules = rulesWithZones

const (
	rulesWithFleet = 2
	rulesWithZones = 3
)

// Limits of keys. They only keep slips, as a time in the wrong unit, out of a version.
const (
	maxWeight     = 1e6
	maxRate       = 1e9 // requests a second
	maxLoad       = 10  // times capacity
	maxDuration   = 24 * time.Hour
	maxStages     = 20
	minFirstShare = 0.004 // a 256th, the least share that a zone can have
)

// Defaults of keys that an operator leaves out.
const (
	defaultWeight           = 1
	defaultLatencyObjective = time.Second
	defaultClientTimeout    = 10 * time.Second
	defaultLevelTime        = 30 * time.Second // shorter ones would have levels alternate under a load that varies
	defaultStageTime        = time.Minute
	defaultMaxIncrease      = 0.05 // share of requests shed, or late, beyond those before

	// defaultLease outlasts an election of the control service several times, so that one fences no node. A longer
	// lease has a change wait longer for nodes that are gone. Without the group nodes go on by default: a fleet must
	// not stop because its control service did, unless an operator chose that.
	defaultLease = 10 * time.Second

	// defaultFirstShare is what a service bears that is slower by a factor of ten while cold, with room to spare.
	defaultFirstShare = 0.0625
	// defaultStepTime is some load reports of each node, so that a step is judged before the next.
	defaultStepTime = 2 * time.Second
	// defaultOrderTime outlasts an election of the control service many times, so that one reverts no order.
	defaultOrderTime = time.Minute
	// defaultMaxBackoff is how long a zone that fails again and again is out at most before it is tried.
	defaultMaxBackoff = 5 * time.Minute
)

// Values of when_alone.
const (
	whenAloneGoOn  = "go-on"
	whenAloneFence = "fence"
)

// Parse reads a document under the latest rules. name is the document's in errors. The error is config.Faults, all
// that is wrong.
func Parse(name string, raw []byte) (*Document, error) { return ParseUnder(LatestRules, name, raw) }

// ParseUnder reads a document as an older numbering of the rules does, so that all instances of a group on two builds
// find the same. name is the document's in errors. The error is config.Faults, all that is wrong.
func ParseUnder(rules int, name string, raw []byte) (*Document, error) {
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
	if err := t.Done(); err != nil {
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
			Weight:            t.Number(s, "value", defaultWeight, 0, maxWeight),
			LatencyObjective:  t.Time(s, "response_target", defaultLatencyObjective, time.Millisecond, time.Hour),
			Timeout:           t.Time(s, "client_timeout", defaultClientTimeout, time.Millisecond, time.Hour),
			IdempotencyWindow: t.Time(s, "window", 0, 0, maxDuration),
			Pool:              t.String(s, "pool", ""),
			Retired:           t.Flag(s, "retired", false),
		}
		if c.Kind == "" {
			t.Note(s, "kind", "none of them", "replayable, uniqued or non-replayable")
		}
		if c.Timeout < c.LatencyObjective {
			t.Note(s, "client_timeout", c.Timeout.String(),
				"no less than response_target, "+c.LatencyObjective.String())
		}
		if (c.Kind == IdempotencyKeyed) != (c.IdempotencyWindow > 0) {
			t.Note(s, "window", c.IdempotencyWindow.String(), "above 0 for uniqued classes, and for them alone")
		}
		classes = append(classes, c)
	}
	return classes
}

func parseTenants(t *config.Text) (tenants []Tenant) {
	for _, name := range sectionNames(t, "tenant", MaxTenants) {
		s := "tenant " + name
		tenants = append(tenants, Tenant{name, t.Number(s, "share", 0, 0, 1), t.Number(s, "rate", 0, 0, maxRate)})
	}
	return tenants
}

func parsePools(t *config.Text) (pools []Pool) {
	for _, name := range sectionNames(t, "pool", MaxPools) {
		s := "pool " + name
		p := Pool{name, t.Number(s, "floor", 0, 0, 1), t.Number(s, "cap", 1, 0, 1), t.Flag(s, "reserve", false)}
		if p.MaxShare < p.MinShare || p.MaxShare == 0 {
			t.Note(s, "cap", formatNumber(p.MaxShare), "above 0 and no less than floor, "+formatNumber(p.MinShare))
		}
		pools = append(pools, p)
	}
	return pools
}

func parseLevels(t *config.Text) (levels []Level) {
	for _, name := range sectionNames(t, "level", MaxLevels) {
		s := "level " + name
		l := Level{
			EnterLoad: t.Number(s, "enter", 0, 0, maxLoad),
			LeaveLoad: t.Number(s, "leave", 0, 0, maxLoad),
			MinTime:   t.Time(s, "hold", defaultLevelTime, time.Second, time.Hour),
			Sheds:     t.List(s, "sheds"),
		}
		var err error
		if l.Number, err = strconv.Atoi(name); err != nil || l.Number < 1 || strconv.Itoa(l.Number) != name {
			t.Note(s, "", strconv.Quote(name), "a number from 1 on")
		}
		if !(l.EnterLoad > l.LeaveLoad && l.LeaveLoad > 0) {
			t.Note(s, "enter", formatNumber(l.EnterLoad)+" and leave "+formatNumber(l.LeaveLoad), "enter above leave above 0")
		}
		sort.Strings(l.Sheds)
		levels = append(levels, l)
	}
	return levels
}

func parseFleet(t *config.Text, known bool) Fleet {
	f := Fleet{Lease: defaultLease, Autonomous: true}
	if !known || !t.Has("fleet") {
		return f
	}
	f.Lease = t.Time("fleet", "lease", defaultLease, time.Second, 10*time.Minute)
	f.Autonomous = t.Choice("fleet", "when_alone", whenAloneGoOn, whenAloneFence, whenAloneGoOn) == whenAloneGoOn
	f.Present = true
	return f
}

func parseZones(t *config.Text, known bool) Zones {
	z := Zones{
		Mode:       ZonesOff,
		FirstShare: defaultFirstShare,
		StepTime:   defaultStepTime,
		OrderTime:  defaultOrderTime,
		MaxBackoff: defaultMaxBackoff,
	}
	if !known || !t.Has("zones") {
		return z
	}
	z.Mode = readChoice(t, "zones", "decide", ZonesOff, ZonesOff, ZonesAsk, ZonesAuto)
	z.FirstShare = t.Number("zones", "first", defaultFirstShare, minFirstShare, 1)
	z.StepTime = t.Time("zones", "hold", defaultStepTime, 500*time.Millisecond, time.Hour)
	z.OrderTime = t.Time("zones", "keep", defaultOrderTime, time.Second, maxDuration)
	z.MaxBackoff = t.Time("zones", "max_wait", defaultMaxBackoff, time.Second, maxDuration)
	z.SmallStart = t.Flag("zones", "small_start", false)
	z.Present = true
	if z.MaxBackoff < z.StepTime {
		t.Note("zones", "max_wait", z.MaxBackoff.String(), "no less than hold, "+z.StepTime.String())
	}
	return z
}

// readChoice reads a key that has one of some values.
func readChoice[T ~string](t *config.Text, section, key string, def T, values ...T) T {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	return T(t.Choice(section, key, string(def), words...))
}

// sectionNames gives the names of a kind of section, with faults for those that can't be one.
func sectionNames(t *config.Text, prefix string, most int) []string {
	all := t.Names(prefix)
	if len(all) > most {
		t.Note(prefix+" "+all[most], "", fmt.Sprintf("%d sections", len(all)), fmt.Sprintf("%d at most", most))
		all = all[:most]
	}
	for _, n := range all {
		if !config.IsName(n) {
			t.Note(prefix+" "+n, "", strconv.Quote(n), "up to 40 letters, digits, '-', '_' and '.'")
		}
	}
	return all
}

// parseRollout reads how a version reaches the nodes.
func parseRollout(t *config.Text) Rollout {
	r := Rollout{StageTime: t.Time("rollout", "hold", defaultStageTime, time.Second, maxDuration),
		MaxShedIncrease: t.Number("rollout", "max_shed", defaultMaxIncrease, 0, 1),
		MaxLateIncrease: t.Number("rollout", "max_late", defaultMaxIncrease, 0, 1)}
	words := t.List("rollout", "stages")
	if words == nil {
		words = []string{"1", "10", "50", "100"}
	}
	last := 0
	for _, w := range words {
		n, err := strconv.Atoi(w)
		if err != nil || n <= last || n > 100 || len(words) > maxStages {
			t.Note("rollout", "stages", strconv.Quote(w), "up to 20 rising percentages that end at 100")
			return r
		}
		r.Stages = append(r.Stages, n)
		last = n
	}
	if last != 100 {
		t.Note("rollout", "stages", strconv.Itoa(last)+" at the end", "100 at the end")
	}
	return r
}

// sort puts sections in the order of the canonical form.
func (d *Document) sort() {
	sort.Slice(d.Classes, func(i, k int) bool { return d.Classes[i].Name < d.Classes[k].Name })
	sort.Slice(d.Tenants, func(i, k int) bool { return d.Tenants[i].Name < d.Tenants[k].Name })
	sort.Slice(d.Pools, func(i, k int) bool { return d.Pools[i].Name < d.Pools[k].Name })
	sort.Slice(d.Levels, func(i, k int) bool { return d.Levels[i].Number < d.Levels[k].Number })
}

// Package document is the configuration of an installation: what a document says, its canonical form and hash,
// what is wrong with it alone or after the version before, and how two differ. It owns the schema. It reads
// bytes and gives answers, always the same ones for the same bytes, because the instances of the control
// service each check a proposal for themselves and have to come to one result; it knows no clock, chance,
// disk or socket.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"umberwinch/internal/config"
)

// LatestRules numbers what Parse and Follows find. It rises with each change of a finding, and a proposal carries
// the number it was made under: an instance that does not know it must not judge it.
//
//	1: classes, tenants, pools, levels, rollout
//	2: [fleet]
//	3: [zones]
const LatestRules = 3

// Bounds of a document.
const (
	MaxBytes   = 1 << 20
	MaxClasses = 256
	MaxTenants = 10000
	MaxPools   = 64
	MaxLevels  = 16
)

// Kinds of classes.
const (
	Idempotent       = "replayable"
	IdempotencyKeyed = "uniqued"
	NotIdempotent    = "non-replayable"
)

// Class is what a handler's reqs are worth and may take.
type Class struct {
	Name              string
	Kind              string
	Weight            float64
	LatencyObjective  time.Duration // response target
	Timeout           time.Duration // client timeout
	IdempotencyWindow time.Duration // how long a uniqued req may come again
	Pool              string
	Retired           bool // sheds all; may be removed, or become something else, in the next version
}

// Tenant is what one tenant may have.
type Tenant struct {
	Name  string
	Quota float64 // of capacity, 0 for none of its own
	Rate  float64 // reqs a second, 0 for no bound
}

// Pool is work set apart, in shares of capacity.
type Pool struct {
	Name     string
	MinShare float64
	MaxShare float64
	Lendable bool // lent out while not needed
}

// Level is a step of reduced service.
type Level struct {
	Number    int
	EnterLoad float64 // load, as a share of capacity, from which it holds
	LeaveLoad float64 // under which it ends
	MinTime   time.Duration
	Sheds     []string
}

// Rollout is how a version reaches the nodes.
type Rollout struct {
	Stages          []int // percent of nodes
	StageTime       time.Duration
	MaxShedIncrease float64 // more reqs shed than before, as a share, that stop it
	MaxLateIncrease float64
}

// Fleet is how nodes hold the version: until when without news of the group, and what then.
type Fleet struct {
	Lease      time.Duration
	Autonomous bool // when_alone = go-on
	Present    bool // the document has the section
}

// Zones is whether the fleet leaves zones that fail and comes back to them, and how.
type Zones struct {
	Mode       string        // off, ask or auto
	FirstQuota float64       // the share a return begins with
	StepTime   time.Duration // the least time at each share
	OrderTime  time.Duration // without the group a node keeps to its last order for so long
	MaxBackoff time.Duration // a zone that fails again and again waits no longer
	SmallStart bool          // a fleet of which most nodes restart at once begins with First
	Present    bool
}

// Document is one version's content.
type Document struct {
	Classes []Class
	Tenants []Tenant
	Pools   []Pool
	Levels  []Level
	Rollout Rollout
	Fleet   Fleet
	Zones   Zones
}

// Parse reads a document and checks all that needs nothing else. What is wrong comes as operator.Faults, all
// of it.
func Parse(name string, raw []byte) (*Document, error) { return ParseUnder(LatestRules, name, raw) }

// ParseUnder reads a document as an older numbering of the rules does, so that all instances of a group on two
// builds find the same.
func ParseUnder(rules int, name string, raw []byte) (*Document, error) {
	t := config.Parse(name, raw)
	d := &Document{}
	for _, n := range names(t, "class", MaxClasses) {
		s := "class " + n
		c := Class{Name: n,
			Kind:              t.Choice(s, "kind", "", Idempotent, IdempotencyKeyed, NotIdempotent),
			Weight:            t.Number(s, "value", 1, 0, 1e6),
			LatencyObjective:  t.Time(s, "response_target", time.Second, time.Millisecond, time.Hour),
			Timeout:           t.Time(s, "client_timeout", 10*time.Second, time.Millisecond, time.Hour),
			IdempotencyWindow: t.Time(s, "window", 0, 0, 24*time.Hour),
			Pool:              t.String(s, "pool", ""),
			Retired:           t.Flag(s, "retired", false)}
		if c.Kind == "" {
			t.Note(s, "kind", "none of them", "replayable, uniqued or non-replayable")
		}
		if c.Timeout < c.LatencyObjective {
			t.Note(s, "client_timeout", c.Timeout.String(), "no less than response_target, "+c.LatencyObjective.String())
		}
		if (c.Kind == IdempotencyKeyed) != (c.IdempotencyWindow > 0) {
			t.Note(s, "window", c.IdempotencyWindow.String(), "above 0 for uniqued classes, and for them alone")
		}
		d.Classes = append(d.Classes, c)
	}
	for _, n := range names(t, "tenant", MaxTenants) {
		s := "tenant " + n
		d.Tenants = append(d.Tenants, Tenant{n, t.Number(s, "share", 0, 0, 1), t.Number(s, "rate", 0, 0, 1e9)})
	}
	for _, n := range names(t, "pool", MaxPools) {
		s := "pool " + n
		p := Pool{n, t.Number(s, "floor", 0, 0, 1), t.Number(s, "cap", 1, 0, 1), t.Flag(s, "reserve", false)}
		if p.MaxShare < p.MinShare || p.MaxShare == 0 {
			t.Note(s, "cap", number(p.MaxShare), "above 0 and no less than floor, "+number(p.MinShare))
		}
		d.Pools = append(d.Pools, p)
	}
	for _, n := range names(t, "level", MaxLevels) {
		s := "level " + n
		l := Level{EnterLoad: t.Number(s, "enter", 0, 0, 10), LeaveLoad: t.Number(s, "leave", 0, 0, 10),
			MinTime: t.Time(s, "hold", 30*time.Second, time.Second, time.Hour), Sheds: t.List(s, "sheds")}
		var err error
		if l.Number, err = strconv.Atoi(n); err != nil || l.Number < 1 || strconv.Itoa(l.Number) != n {
			t.Note(s, "", strconv.Quote(n), "a number from 1 on")
		}
		if !(l.EnterLoad > l.LeaveLoad && l.LeaveLoad > 0) {
			t.Note(s, "enter", number(l.EnterLoad)+" and leave "+number(l.LeaveLoad), "enter above leave above 0")
		}
		sort.Strings(l.Sheds)
		d.Levels = append(d.Levels, l)
	}
	d.Rollout = rollout(t)
	// Ten seconds outlast a group's failover several times. Going on is the default: a fleet must not stop because
	// its control service did, unless somebody chose that.
	d.Fleet = Fleet{Lease: 10 * time.Second, Autonomous: true}
	if rules >= 2 && t.Has("fleet") {
		d.Fleet = Fleet{t.Time("fleet", "lease", 10*time.Second, time.Second, 10*time.Minute),
			t.Choice("fleet", "when_alone", "go-on", "fence", "go-on") == "go-on", true}
	}
	// A sixteenth is what a service bears that is cold by a factor of ten, with room to spare. Two seconds are some
	// reports of each node; a minute outlasts a group's failover many times.
	d.Zones = Zones{Mode: "off", FirstQuota: 0.0625, StepTime: 2 * time.Second, OrderTime: time.Minute, MaxBackoff: 5 * time.Minute}
	if rules >= 3 && t.Has("zones") {
		d.Zones = Zones{t.Choice("zones", "decide", "off", "off", "ask", "auto"), t.Number("zones", "first", 0.0625, 0.004, 1),
			t.Time("zones", "hold", 2*time.Second, 500*time.Millisecond, time.Hour),
			t.Time("zones", "keep", time.Minute, time.Second, 24*time.Hour),
			t.Time("zones", "max_wait", 5*time.Minute, time.Second, 24*time.Hour), t.Flag("zones", "small_start", false), true}
		if d.Zones.MaxBackoff < d.Zones.StepTime {
			t.Note("zones", "max_wait", d.Zones.MaxBackoff.String(), "no less than hold, "+d.Zones.StepTime.String())
		}
	}
	d.sort()
	d.check(t)
	if err := t.Done(); err != nil {
		return nil, err
	}
	return d, nil
}

// names gives the names of a kind of section, with faults for what can't be one.
func names(t *config.Text, prefix string, most int) []string {
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

func rollout(t *config.Text) Rollout {
	r := Rollout{StageTime: t.Time("rollout", "hold", time.Minute, time.Second, 24*time.Hour),
		MaxShedIncrease: t.Number("rollout", "max_shed", 0.05, 0, 1), MaxLateIncrease: t.Number("rollout", "max_late", 0.05, 0, 1)}
	words := t.List("rollout", "stages")
	if words == nil {
		words = []string{"1", "10", "50", "100"}
	}
	last := 0
	for _, w := range words {
		n, err := strconv.Atoi(w)
		if err != nil || n <= last || n > 100 || len(words) > 20 {
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

func (d *Document) sort() {
	sort.Slice(d.Classes, func(i, k int) bool { return d.Classes[i].Name < d.Classes[k].Name })
	sort.Slice(d.Tenants, func(i, k int) bool { return d.Tenants[i].Name < d.Tenants[k].Name })
	sort.Slice(d.Pools, func(i, k int) bool { return d.Pools[i].Name < d.Pools[k].Name })
	sort.Slice(d.Levels, func(i, k int) bool { return d.Levels[i].Number < d.Levels[k].Number })
}

// Class finds a class by name.
func (d *Document) Class(name string) (Class, bool) {
	i := sort.Search(len(d.Classes), func(i int) bool { return d.Classes[i].Name >= name })
	if i < len(d.Classes) && d.Classes[i].Name == name {
		return d.Classes[i], true
	}
	return Class{}, false
}

func (d *Document) pool(name string) bool {
	for _, p := range d.Pools {
		if p.Name == name {
			return true
		}
	}
	return false
}

// check looks at what sections say of each other.
func (d *Document) check(t *config.Text) {
	floors, shares, reserves := 0.0, 0.0, 0
	for _, p := range d.Pools {
		floors += p.MinShare
		if p.Lendable {
			if reserves++; reserves > 1 {
				t.Note("pool "+p.Name, "reserve", "a second reserve", "one at most")
			}
		}
		if floors > 1+1e-9 {
			t.Note("pool "+p.Name, "floor", "floors of "+number(floors)+" up to here", "1 at most, all of capacity")
			break
		}
	}
	for _, n := range d.Tenants {
		if shares += n.Quota; shares > 1+1e-9 {
			t.Note("tenant "+n.Name, "share", "shares of "+number(shares)+" up to here", "1 at most")
			break
		}
	}
	for _, c := range d.Classes {
		if c.Pool != "" && !d.pool(c.Pool) {
			t.Note("class "+c.Name, "pool", strconv.Quote(c.Pool), "the name of a [pool NAME]")
		}
	}
	for i, l := range d.Levels {
		s := "level " + strconv.Itoa(l.Number)
		if l.Number != i+1 {
			t.Note(s, "", s, fmt.Sprintf("level %d, none left out", i+1))
			return
		}
		if i > 0 && (l.EnterLoad <= d.Levels[i-1].EnterLoad || l.LeaveLoad <= d.Levels[i-1].LeaveLoad) {
			t.Note(s, "enter", number(l.EnterLoad)+" and leave "+number(l.LeaveLoad), "both above those of the level before")
		}
		d.checkSheds(t, i)
	}
}

// checkSheds holds a level to the rule that nothing is shed while a class of less value is still served, and
// to shedding all that the level before does.
func (d *Document) checkSheds(t *config.Text, i int) {
	l := d.Levels[i]
	s := "level " + strconv.Itoa(l.Number)
	sheds := map[string]bool{}
	top := -1.0
	for _, n := range l.Sheds {
		c, ok := d.Class(n)
		if !ok {
			t.Note(s, "sheds", strconv.Quote(n), "names of classes")
			return
		}
		if sheds[n] {
			t.Note(s, "sheds", strconv.Quote(n)+" twice", "each class once")
		}
		sheds[n] = true
		top = max(top, c.Weight)
	}
	for _, c := range d.Classes {
		if !sheds[c.Name] && !c.Retired && c.Weight < top {
			t.Note(s, "sheds", fmt.Sprintf("a class of value %s while %q of %s is served", number(top), c.Name,
				number(c.Weight)), "all of less value too")
			return
		}
	}
	if i > 0 {
		for _, n := range d.Levels[i-1].Sheds {
			if !sheds[n] {
				t.Note(s, "sheds", "no "+strconv.Quote(n), "all that the level before sheds")
				return
			}
		}
	}
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Line is one key of the canonical form.
type Line struct{ Section, Key, Value string }

// Lines gives the canonical form: every key of every section, also where it is the default, in a fixed order.
func (d *Document) Lines() []Line {
	var out []Line
	add := func(section, key, value string) { out = append(out, Line{section, key, value}) }
	for _, c := range d.Classes {
		s := "class " + c.Name
		add(s, "kind", c.Kind)
		add(s, "value", number(c.Weight))
		add(s, "response_target", c.LatencyObjective.String())
		add(s, "client_timeout", c.Timeout.String())
		add(s, "window", c.IdempotencyWindow.String())
		add(s, "pool", c.Pool)
		add(s, "retired", yes(c.Retired))
	}
	for _, n := range d.Tenants {
		s := "tenant " + n.Name
		add(s, "share", number(n.Quota))
		add(s, "rate", number(n.Rate))
	}
	for _, p := range d.Pools {
		s := "pool " + p.Name
		add(s, "floor", number(p.MinShare))
		add(s, "cap", number(p.MaxShare))
		add(s, "reserve", yes(p.Lendable))
	}
	for _, l := range d.Levels {
		s := "level " + strconv.Itoa(l.Number)
		add(s, "enter", number(l.EnterLoad))
		add(s, "leave", number(l.LeaveLoad))
		add(s, "hold", l.MinTime.String())
		add(s, "sheds", strings.Join(l.Sheds, ", "))
	}
	stages := make([]string, len(d.Rollout.Stages))
	for i, n := range d.Rollout.Stages {
		stages[i] = strconv.Itoa(n)
	}
	add("rollout", "stages", strings.Join(stages, ", "))
	add("rollout", "hold", d.Rollout.StageTime.String())
	add("rollout", "max_shed", number(d.Rollout.MaxShedIncrease))
	add("rollout", "max_late", number(d.Rollout.MaxLateIncrease))
	if d.Fleet.Present { // a document without it has the canonical text that it had before there was one
		add("fleet", "lease", d.Fleet.Lease.String())
		add("fleet", "when_alone", map[bool]string{true: "go-on", false: "fence"}[d.Fleet.Autonomous])
	}
	if z := d.Zones; z.Present {
		add("zones", "decide", z.Mode)
		add("zones", "first", number(z.FirstQuota))
		add("zones", "hold", z.StepTime.String())
		add("zones", "keep", z.OrderTime.String())
		add("zones", "max_wait", z.MaxBackoff.String())
		add("zones", "small_start", yes(z.SmallStart))
	}
	return out
}

// Canonical gives the document's one text.
func (d *Document) Canonical() []byte {
	var b strings.Builder
	section := ""
	for _, l := range d.Lines() {
		if l.Section != section {
			if section != "" {
				b.WriteByte('\n')
			}
			section = l.Section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", l.Key, l.Value)
	}
	return []byte(b.String())
}

// Hash names a canonical text: SHA-256, in hex.
func Hash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

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

// Rules numbers what Parse and Follows find. It rises with each change of a finding, and a proposal carries
// the number it was made under: an instance that does not know it must not judge it.
//
//	1: classes, tenants, pools, levels, rollout
//	2: [fleet]
//	3: [zones]
const Rules = 3

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
	Replayable    = "replayable"
	Uniqued       = "uniqued"
	NonReplayable = "non-replayable"
)

// Class is what a handler's reqs are worth and may take.
type Class struct {
	Name    string
	Kind    string
	Value   float64
	Target  time.Duration // response target
	Timeout time.Duration // client timeout
	Window  time.Duration // how long a uniqued req may come again
	Pool    string
	Retired bool // sheds all; may be removed, or become something else, in the next version
}

// Tenant is what one tenant may have.
type Tenant struct {
	Name  string
	Share float64 // of capacity, 0 for none of its own
	Rate  float64 // reqs a second, 0 for no bound
}

// Pool is work set apart, in shares of capacity.
type Pool struct {
	Name    string
	Floor   float64
	Cap     float64
	Reserve bool // lent out while not needed
}

// Level is a step of reduced service.
type Level struct {
	Number int
	Enter  float64 // load, as a share of capacity, from which it holds
	Leave  float64 // under which it ends
	Hold   time.Duration
	Sheds  []string
}

// Rollout is how a version reaches the nodes.
type Rollout struct {
	Stages  []int // percent of nodes
	Hold    time.Duration
	MaxShed float64 // more reqs shed than before, as a share, that stop it
	MaxLate float64
}

// Fleet is how nodes hold the version: until when without news of the group, and what then.
type Fleet struct {
	Lease time.Duration
	Alone bool // when_alone = go-on
	Given bool // the document has the section
}

// Zones is whether the fleet leaves zones that fail and comes back to them, and how.
type Zones struct {
	Decide string        // off, ask or auto
	First  float64       // the share a return begins with
	Hold   time.Duration // the least time at each share
	Keep   time.Duration // without the group a node keeps to its last order for so long
	Wait   time.Duration // a zone that fails again and again waits no longer
	Small  bool          // a fleet of which most nodes restart at once begins with First
	Given  bool
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
func Parse(name string, raw []byte) (*Document, error) { return ParseUnder(Rules, name, raw) }

// ParseUnder reads a document as an older numbering of the rules does, so that all instances of a group on two
// builds find the same.
func ParseUnder(rules int, name string, raw []byte) (*Document, error) {
	t := config.Parse(name, raw)
	d := &Document{}
	for _, n := range names(t, "class", MaxClasses) {
		s := "class " + n
		c := Class{Name: n,
			Kind:    t.Choice(s, "kind", "", Replayable, Uniqued, NonReplayable),
			Value:   t.Number(s, "value", 1, 0, 1e6),
			Target:  t.Time(s, "response_target", time.Second, time.Millisecond, time.Hour),
			Timeout: t.Time(s, "client_timeout", 10*time.Second, time.Millisecond, time.Hour),
			Window:  t.Time(s, "window", 0, 0, 24*time.Hour),
			Pool:    t.String(s, "pool", ""),
			Retired: t.Flag(s, "retired", false)}
		if c.Kind == "" {
			t.Note(s, "kind", "none of them", "replayable, uniqued or non-replayable")
		}
		if c.Timeout < c.Target {
			t.Note(s, "client_timeout", c.Timeout.String(), "no less than response_target, "+c.Target.String())
		}
		if (c.Kind == Uniqued) != (c.Window > 0) {
			t.Note(s, "window", c.Window.String(), "above 0 for uniqued classes, and for them alone")
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
		if p.Cap < p.Floor || p.Cap == 0 {
			t.Note(s, "cap", number(p.Cap), "above 0 and no less than floor, "+number(p.Floor))
		}
		d.Pools = append(d.Pools, p)
	}
	for _, n := range names(t, "level", MaxLevels) {
		s := "level " + n
		l := Level{Enter: t.Number(s, "enter", 0, 0, 10), Leave: t.Number(s, "leave", 0, 0, 10),
			Hold: t.Time(s, "hold", 30*time.Second, time.Second, time.Hour), Sheds: t.List(s, "sheds")}
		var err error
		if l.Number, err = strconv.Atoi(n); err != nil || l.Number < 1 || strconv.Itoa(l.Number) != n {
			t.Note(s, "", strconv.Quote(n), "a number from 1 on")
		}
		if !(l.Enter > l.Leave && l.Leave > 0) {
			t.Note(s, "enter", number(l.Enter)+" and leave "+number(l.Leave), "enter above leave above 0")
		}
		sort.Strings(l.Sheds)
		d.Levels = append(d.Levels, l)
	}
	d.Rollout = rollout(t)
	// Ten seconds outlast a group's failover several times. Going on is the default: a fleet must not stop because
	// its control service did, unless somebody chose that.
	d.Fleet = Fleet{Lease: 10 * time.Second, Alone: true}
	if rules >= 2 && t.Has("fleet") {
		d.Fleet = Fleet{t.Time("fleet", "lease", 10*time.Second, time.Second, 10*time.Minute),
			t.Choice("fleet", "when_alone", "go-on", "fence", "go-on") == "go-on", true}
	}
	// A sixteenth is what a service bears that is cold by a factor of ten, with room to spare. Two seconds are some
	// reports of each node; a minute outlasts a group's failover many times.
	d.Zones = Zones{Decide: "off", First: 0.0625, Hold: 2 * time.Second, Keep: time.Minute, Wait: 5 * time.Minute}
	if rules >= 3 && t.Has("zones") {
		d.Zones = Zones{t.Choice("zones", "decide", "off", "off", "ask", "auto"), t.Number("zones", "first", 0.0625, 0.004, 1),
			t.Time("zones", "hold", 2*time.Second, 500*time.Millisecond, time.Hour),
			t.Time("zones", "keep", time.Minute, time.Second, 24*time.Hour),
			t.Time("zones", "max_wait", 5*time.Minute, time.Second, 24*time.Hour), t.Flag("zones", "small_start", false), true}
		if d.Zones.Wait < d.Zones.Hold {
			t.Note("zones", "max_wait", d.Zones.Wait.String(), "no less than hold, "+d.Zones.Hold.String())
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
	r := Rollout{Hold: t.Time("rollout", "hold", time.Minute, time.Second, 24*time.Hour),
		MaxShed: t.Number("rollout", "max_shed", 0.05, 0, 1), MaxLate: t.Number("rollout", "max_late", 0.05, 0, 1)}
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
		floors += p.Floor
		if p.Reserve {
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
		if shares += n.Share; shares > 1+1e-9 {
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
		if i > 0 && (l.Enter <= d.Levels[i-1].Enter || l.Leave <= d.Levels[i-1].Leave) {
			t.Note(s, "enter", number(l.Enter)+" and leave "+number(l.Leave), "both above those of the level before")
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
		top = max(top, c.Value)
	}
	for _, c := range d.Classes {
		if !sheds[c.Name] && !c.Retired && c.Value < top {
			t.Note(s, "sheds", fmt.Sprintf("a class of value %s while %q of %s is served", number(top), c.Name,
				number(c.Value)), "all of less value too")
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
		add(s, "value", number(c.Value))
		add(s, "response_target", c.Target.String())
		add(s, "client_timeout", c.Timeout.String())
		add(s, "window", c.Window.String())
		add(s, "pool", c.Pool)
		add(s, "retired", yes(c.Retired))
	}
	for _, n := range d.Tenants {
		s := "tenant " + n.Name
		add(s, "share", number(n.Share))
		add(s, "rate", number(n.Rate))
	}
	for _, p := range d.Pools {
		s := "pool " + p.Name
		add(s, "floor", number(p.Floor))
		add(s, "cap", number(p.Cap))
		add(s, "reserve", yes(p.Reserve))
	}
	for _, l := range d.Levels {
		s := "level " + strconv.Itoa(l.Number)
		add(s, "enter", number(l.Enter))
		add(s, "leave", number(l.Leave))
		add(s, "hold", l.Hold.String())
		add(s, "sheds", strings.Join(l.Sheds, ", "))
	}
	stages := make([]string, len(d.Rollout.Stages))
	for i, n := range d.Rollout.Stages {
		stages[i] = strconv.Itoa(n)
	}
	add("rollout", "stages", strings.Join(stages, ", "))
	add("rollout", "hold", d.Rollout.Hold.String())
	add("rollout", "max_shed", number(d.Rollout.MaxShed))
	add("rollout", "max_late", number(d.Rollout.MaxLate))
	if d.Fleet.Given { // a document without it has the canonical text that it had before there was one
		add("fleet", "lease", d.Fleet.Lease.String())
		add("fleet", "when_alone", map[bool]string{true: "go-on", false: "fence"}[d.Fleet.Alone])
	}
	if z := d.Zones; z.Given {
		add("zones", "decide", z.Decide)
		add("zones", "first", number(z.First))
		add("zones", "hold", z.Hold.String())
		add("zones", "keep", z.Keep.String())
		add("zones", "max_wait", z.Wait.String())
		add("zones", "small_start", yes(z.Small))
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

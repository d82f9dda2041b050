package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func whenAloneValue(autonomous bool) string {
	if autonomous {
		return whenAloneGoOn
	}
	return whenAloneFence
}

// Line is one key of the canonical form.
type Line struct{ Section, Key, Value string }

// Lines returns the canonical form: every key of every section, defaults too, in a fixed order. [fleet] and [zones]
// are left out where the document has none, so that a document from before there were any has the hash that it had.
func (d *Document) Lines() []Line {
	var out []Line
	add := func(section, key, value string) { out = append(out, Line{section, key, value}) }
	for _, c := range d.Classes {
		s := "class " + c.Name
		add(s, "kind", string(c.Kind))
		add(s, "value", formatNumber(c.Weight))
		add(s, "response_target", c.LatencyObjective.String())
		add(s, "client_timeout", c.Timeout.String())
		add(s, "window", c.IdempotencyWindow.String())
		add(s, "pool", c.Pool)
		add(s, "retired", yesNo(c.Retired))
	}
	for _, n := range d.Tenants {
		s := "tenant " + n.Name
		add(s, "share", formatNumber(n.Share))
		add(s, "rate", formatNumber(n.Rate))
	}
	for _, p := range d.Pools {
		s := "pool " + p.Name
		add(s, "floor", formatNumber(p.MinShare))
		add(s, "cap", formatNumber(p.MaxShare))
		add(s, "reserve", yesNo(p.Lendable))
	}
	for _, l := range d.Levels {
		s := "level " + strconv.Itoa(l.Number)
		add(s, "enter", formatNumber(l.EnterLoad))
		add(s, "leave", formatNumber(l.LeaveLoad))
		add(s, "hold", l.MinTime.String())
		add(s, "sheds", strings.Join(l.Sheds, ", "))
	}
	stages := make([]string, len(d.Rollout.Stages))
	for i, n := range d.Rollout.Stages {
		stages[i] = strconv.Itoa(n)
	}
	add("rollout", "stages", strings.Join(stages, ", "))
	add("rollout", "hold", d.Rollout.StageTime.String())
	add("rollout", "max_shed", formatNumber(d.Rollout.MaxShedIncrease))
	add("rollout", "max_late", formatNumber(d.Rollout.MaxLateIncrease))
	if d.Fleet.Present { // a document without it has the canonical text that it had before there was one
		add("fleet", "lease", d.Fleet.Lease.String())
		add("fleet", "when_alone", whenAloneValue(d.Fleet.Autonomous))
	}
	if z := d.Zones; z.Present {
		add("zones", "decide", string(z.Mode))
		add("zones", "first", formatNumber(z.FirstShare))
		add("zones", "hold", z.StepTime.String())
		add("zones", "keep", z.OrderTime.String())
		add("zones", "max_wait", z.MaxBackoff.String())
		add("zones", "small_start", yesNo(z.SmallStart))
	}
	return out
}

// Canonical returns the document's one text.
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

// Hash names a canonical text: its SHA-256, in hexadecimal.
func Hash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// formatNumber returns the shortest decimal form that parses to the same number.
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

// Line is a key and its value in the canonical form.
type Line struct{ Section, Key, Value string }

// Lines returns the canonical form: every key of every section in a fixed order, including defaults. [fleet] and
// [zones] are omitted if the document has none, so that documents older than these sections keep their hash.
func (d *Document) Lines() []Line {
	var lines []Line
	add := func(section, key, value string) { lines = append(lines, Line{section, key, value}) }
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
	for _, tenant := range d.Tenants {
		s := "tenant " + tenant.Name
		add(s, "share", formatNumber(tenant.Share))
		add(s, "rate", formatNumber(tenant.Rate))
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
		add(s, "hold", l.MinDuration.String())
		add(s, "sheds", strings.Join(l.Sheds, ", "))
	}
	stages := make([]string, len(d.Rollout.Stages))
	for i, percent := range d.Rollout.Stages {
		stages[i] = strconv.Itoa(percent)
	}
	add("rollout", "stages", strings.Join(stages, ", "))
	add("rollout", "hold", d.Rollout.StageDuration.String())
	add("rollout", "max_shed", formatNumber(d.Rollout.MaxShedIncrease))
	add("rollout", "max_late", formatNumber(d.Rollout.MaxLateIncrease))
	if d.Fleet.Present {
		add("fleet", "lease", d.Fleet.Lease.String())
		add("fleet", "when_alone", whenAloneValue(d.Fleet.Autonomous))
	}
	if z := d.Zones; z.Present {
		add("zones", "decide", string(z.Mode))
		add("zones", "first", formatNumber(z.InitialShare))
		add("zones", "hold", z.MinStepTime.String())
		add("zones", "keep", z.OrderTTL.String())
		add("zones", "max_wait", z.MaxRampDelay.String())
		add("zones", "small_start", yesNo(z.ColdStart))
	}
	return lines
}

// Canonical returns the canonical text, which is the same for all texts with the same content.
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

// Hash returns the SHA-256 of a canonical text in hexadecimal.
func Hash(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

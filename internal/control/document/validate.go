package document

import (
	"fmt"
	"strconv"

	"umberwinch/internal/config"
)

// checkSections finds what sections say wrongly of each other.
func (d *Document) checkSections(t *config.Text) {
	floors, shares, reserves := 0.0, 0.0, 0
	for _, p := range d.Pools {
		floors += p.MinShare
		if p.Lendable {
			if reserves++; reserves > 1 {
				t.Note("pool "+p.Name, "reserve", "a second reserve", "one at most")
			}
		}
		if floors > 1+1e-9 {
			t.Note("pool "+p.Name, "floor", "floors of "+formatNumber(floors)+" up to here", "1 at most, all of capacity")
			break
		}
	}
	for _, n := range d.Tenants {
		if shares += n.Share; shares > 1+1e-9 {
			t.Note("tenant "+n.Name, "share", "shares of "+formatNumber(shares)+" up to here", "1 at most")
			break
		}
	}
	for _, c := range d.Classes {
		if c.Pool != "" && !d.hasPool(c.Pool) {
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
			t.Note(s, "enter", formatNumber(l.EnterLoad)+" and leave "+formatNumber(l.LeaveLoad),
				"both above those of the level before")
		}
		d.checkSheds(t, i)
	}
}

// checkSheds holds a level to two rules: nothing is shed while a class of less weight is served, and all that the
// level before sheds is shed.
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
			t.Note(s, "sheds", fmt.Sprintf("a class of value %s while %q of %s is served", formatNumber(top), c.Name,
				formatNumber(c.Weight)), "all of less value too")
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

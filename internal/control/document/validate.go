package document

import (
	"fmt"
	"strconv"

	"umberwinch/internal/config"
)

// shareRounding is the rounding error allowed in a sum of shares.
const shareRounding = 1e-9

// checkSections notes inconsistencies between sections: sums of shares, names of pools and the order of levels.
func (d *Document) checkSections(t *config.Text) {
	minShares, tenantShares, lendable := 0.0, 0.0, 0
	for _, p := range d.Pools {
		minShares += p.MinShare
		if p.Lendable {
			if lendable++; lendable > 1 {
				t.AddFault("pool "+p.Name, "reserve", "a second reserve", "one at most")
			}
		}
		if minShares > 1+shareRounding {
			t.AddFault("pool "+p.Name, "floor", "floors of "+formatNumber(minShares)+" up to here",
				"1 at most, all of capacity")
			break
		}
	}
	for _, tenant := range d.Tenants {
		if tenantShares += tenant.Share; tenantShares > 1+shareRounding {
			t.AddFault("tenant "+tenant.Name, "share",
				"shares of "+formatNumber(tenantShares)+" up to here", "1 at most")
			break
		}
	}
	for _, c := range d.Classes {
		if c.Pool != "" && !d.hasPool(c.Pool) {
			t.AddFault("class "+c.Name, "pool", strconv.Quote(c.Pool), "the name of a [pool NAME]")
		}
	}
	for i, l := range d.Levels {
		s := "level " + strconv.Itoa(l.Number)
		if l.Number != i+1 {
			t.AddFault(s, "", s, fmt.Sprintf("level %d, none left out", i+1))
			return
		}
		if i > 0 && (l.EnterLoad <= d.Levels[i-1].EnterLoad || l.LeaveLoad <= d.Levels[i-1].LeaveLoad) {
			t.AddFault(s, "enter", formatNumber(l.EnterLoad)+" and leave "+formatNumber(l.LeaveLoad),
				"both above those of the level before")
		}
		d.checkSheds(t, i)
	}
}

// checkSheds checks that level i of d.Levels sheds all classes of less weight than any class that it sheds, except
// retired ones, and all classes that the previous level sheds.
func (d *Document) checkSheds(t *config.Text, i int) {
	l := d.Levels[i]
	s := "level " + strconv.Itoa(l.Number)
	sheds := map[string]bool{}
	maxWeightShed := -1.0
	for _, name := range l.Sheds {
		c, ok := d.Class(name)
		if !ok {
			t.AddFault(s, "sheds", strconv.Quote(name), "names of classes")
			return
		}
		if sheds[name] {
			t.AddFault(s, "sheds", strconv.Quote(name)+" twice", "each class once")
		}
		sheds[name] = true
		maxWeightShed = max(maxWeightShed, c.Weight)
	}
	for _, c := range d.Classes {
		if !sheds[c.Name] && !c.Retired && c.Weight < maxWeightShed {
			t.AddFault(s, "sheds", fmt.Sprintf("a class of value %s while %q of %s is served",
				formatNumber(maxWeightShed), c.Name, formatNumber(c.Weight)), "all of less value too")
			return
		}
	}
	if i > 0 {
		for _, name := range d.Levels[i-1].Sheds {
			if !sheds[name] {
				t.AddFault(s, "sheds", "no "+strconv.Quote(name), "all that the level before sheds")
				return
			}
		}
	}
}

package pools

// History is kept in eight steps of half a second: four seconds hold dozens of runs of a common class, and a change of
// cost has moved the median once half of them are new.
const (
	historySteps = 8
	historyStep  = Second / 2
)

// recentSum sums over recent history.
type recentSum struct {
	slot    int64
	buckets [historySteps]float64
	sum     float64
}

func (c *recentSum) add(now Time, v float64) {
	c.roll(now)
	c.buckets[c.slot%historySteps] += v
	c.sum += v
}

// roll drops what has become old and gives the sum.
func (c *recentSum) roll(now Time) float64 {
	slot := int64(now / historyStep)
	if c.slot == 0 || slot-c.slot >= historySteps {
		*c = recentSum{slot: slot}
	}
	for c.slot < slot {
		c.slot++
		c.sum -= c.buckets[c.slot%historySteps]
		c.buckets[c.slot%historySteps] = 0
	}
	return c.sum
}

// rate is the sum a second, over the steps that are complete and what the newest one has so far.
func (c *recentSum) rate(now Time) float64 {
	span := (historySteps-1)*historyStep + now%historyStep
	return c.roll(now) * float64(Second) / float64(span)
}

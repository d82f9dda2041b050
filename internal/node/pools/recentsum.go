package pools

// History is kept in eight steps of half a second: four seconds hold dozens of runs of a common class, and a change of
// cost has moved the median once half of them are new.
const (
	historySteps = 8
	historyStep  = Second / 2
)

// recentSum sums over recent history.
type recentSum struct {
	step    int64
	buckets [historySteps]float64
	sum     float64
}

func (c *recentSum) add(now Time, v float64) {
	c.total(now)
	c.buckets[c.step%historySteps] += v
	c.sum += v
}

// total drops what has become old and gives the sum.
func (c *recentSum) total(now Time) float64 {
	slot := int64(now / historyStep)
	if c.step == 0 || slot-c.step >= historySteps {
		*c = recentSum{step: slot}
	}
	for c.step < slot {
		c.step++
		c.sum -= c.buckets[c.step%historySteps]
		c.buckets[c.step%historySteps] = 0
	}
	return c.sum
}

// rate is the sum a second, over the steps that are complete and what the newest one has so far.
func (c *recentSum) rate(now Time) float64 {
	span := (historySteps-1)*historyStep + now%historyStep
	return c.total(now) * float64(Second) / float64(span)
}

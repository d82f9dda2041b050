package pools

// Recent history is 4 s, in steps of half a second. It holds dozens of runs of a common class, and a change of work has
// moved the median once half of them are new.
const (
	historySteps = 8
	historyStep  = Second / 2
)

// recentSum is a sum over recent history: a ring of one sum per step.
type recentSum struct {
	step    int64 // number of the newest step, counted from time 0
	buckets [historySteps]float64
	sum     float64
}

func (s *recentSum) add(now Time, v float64) {
	s.total(now)
	s.buckets[s.step%historySteps] += v
	s.sum += v
}

// total drops expired steps and returns the sum.
func (s *recentSum) total(now Time) float64 {
	step := int64(now / historyStep)
	if s.step == 0 || step-s.step >= historySteps {
		*s = recentSum{step: step}
	}
	for s.step < step {
		s.step++
		s.sum -= s.buckets[s.step%historySteps]
		s.buckets[s.step%historySteps] = 0
	}
	return s.sum
}

// rate is the sum per second, over the complete steps and the elapsed part of the newest one.
func (s *recentSum) rate(now Time) float64 {
	span := (historySteps-1)*historyStep + now%historyStep
	return s.total(now) * float64(Second) / float64(span)
}

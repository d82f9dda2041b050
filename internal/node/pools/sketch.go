package pools

import "math"

// A sketch is a distribution of work in buckets whose bounds grow by a fixed factor, so that a quantile read
// from it is off by at most half that factor: 1.1, 5 in 100. Two are merged by adding. It takes 0.3 KB,
// whatever comes in.
const (
	bucketGrowth = 1.1
	bucketCount  = 152 // from a tenth of a ms to 165 s, past any client timeout; what is longer counts as that
)

var bucketsPerLog = 1 / math.Log(bucketGrowth)

type sketch struct {
	n  uint32
	at [bucketCount]uint16
}

func (s *sketch) add(work float64) {
	k := 0
	if work > 1 {
		k = min(bucketCount-1, int(math.Log(work)*bucketsPerLog))
	}
	if s.at[k] < math.MaxUint16 {
		s.at[k]++
		s.n++
	}
}

func (s *sketch) merge(o *sketch) {
	for k, n := range o.at {
		sum := uint32(s.at[k]) + uint32(n)
		if sum > math.MaxUint16 {
			sum = math.MaxUint16
		}
		s.n += sum - uint32(s.at[k])
		s.at[k] = uint16(sum)
	}
}

// quantile gives the work that a share of all is at or under, 0 where nothing came.
func (s *sketch) quantile(q float64) float64 {
	if s.n == 0 {
		return 0
	}
	left := int64(math.Ceil(q * float64(s.n)))
	for k, n := range s.at {
		if left -= int64(n); left <= 0 && n > 0 {
			return math.Exp((float64(k) + 0.5) / bucketsPerLog)
		}
	}
	return math.Exp(bucketCount / bucketsPerLog)
}

// aged is a sketch of recent time: a ring of them, the oldest of which is dropped as time goes on.
type workHistory struct {
	slot    int64
	buckets [historySteps]sketch
}

// Eight steps of half a second: four seconds hold dozens of runs of a common class, and a change of cost has
// moved the median once half of them are new.
const (
	historySteps = 8
	historyStep  = Second / 2
)

func (a *workHistory) roll(now Time) *sketch {
	slot := int64(now / historyStep)
	if a.slot == 0 || slot-a.slot >= historySteps {
		a.buckets, a.slot = [historySteps]sketch{}, slot
	}
	for a.slot < slot {
		a.slot++
		a.buckets[a.slot%historySteps] = sketch{}
	}
	return &a.buckets[a.slot%historySteps]
}

func (a *workHistory) add(now Time, work float64) { a.roll(now).add(work) }

func (a *workHistory) merged(now Time) sketch {
	a.roll(now)
	var s sketch
	for k := range a.buckets {
		s.merge(&a.buckets[k])
	}
	return s
}

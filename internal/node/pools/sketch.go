package pools

import "math"

// A sketch is a distribution of work in buckets whose bounds grow by a fixed factor, so that a quantile read
// from it is off by at most half that factor: 1.1, 5 in 100. Two are merged by adding. It takes 0.3 KB,
// whatever comes in.
const (
	factor  = 1.1
	buckets = 152 // from a tenth of a ms to 165 s, past any client timeout; what is longer counts as that
)

var perFactor = 1 / math.Log(factor)

type sketch struct {
	n  uint32
	at [buckets]uint16
}

func (s *sketch) add(work float64) {
	k := 0
	if work > 1 {
		k = min(buckets-1, int(math.Log(work)*perFactor))
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
			return math.Exp((float64(k) + 0.5) / perFactor)
		}
	}
	return math.Exp(buckets / perFactor)
}

// aged is a sketch of recent time: a ring of them, the oldest of which is dropped as time goes on.
type aged struct {
	slot int64
	ring [ringSteps]sketch
}

// Eight steps of half a second: four seconds hold dozens of runs of a common class, and a change of cost has
// moved the median once half of them are new.
const (
	ringSteps = 8
	ringStep  = Second / 2
)

func (a *aged) roll(now Time) *sketch {
	slot := int64(now / ringStep)
	if a.slot == 0 || slot-a.slot >= ringSteps {
		a.ring, a.slot = [ringSteps]sketch{}, slot
	}
	for a.slot < slot {
		a.slot++
		a.ring[a.slot%ringSteps] = sketch{}
	}
	return &a.ring[a.slot%ringSteps]
}

func (a *aged) add(now Time, work float64) { a.roll(now).add(work) }

func (a *aged) all(now Time) sketch {
	a.roll(now)
	var s sketch
	for k := range a.ring {
		s.merge(&a.ring[k])
	}
	return s
}

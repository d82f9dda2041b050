package pools

import "math"

// sketch is a histogram of work in buckets whose bounds grow exponentially: quantiles have a relative error of at most
// 5 %. Its size is fixed at 0.3 KB.
type sketch struct {
	count   uint32
	buckets [sketchBuckets]uint16
}

const (
	bucketGrowth = 1.1
	// sketchBuckets cover work from a tenth of a millisecond to about 195 s; longer work is counted in the last one.
	sketchBuckets = 152
	// bucketMidpoint is where in a bucket a quantile is read.
	bucketMidpoint = 0.5
)

// bucketsPerLog is the number of buckets per unit of the natural logarithm of work.
var bucketsPerLog = 1 / math.Log(bucketGrowth)

func (s *sketch) add(work float64) {
	k := 0
	if work > 1 {
		k = min(sketchBuckets-1, int(math.Log(work)*bucketsPerLog))
	}
	if s.buckets[k] < math.MaxUint16 {
		s.buckets[k]++
		s.count++
	}
}

func (s *sketch) merge(other *sketch) {
	for k, n := range other.buckets {
		sum := uint32(s.buckets[k]) + uint32(n)
		if sum > math.MaxUint16 {
			sum = math.MaxUint16
		}
		s.count += sum - uint32(s.buckets[k])
		s.buckets[k] = uint16(sum)
	}
}

// quantile returns the work at quantile q, from 0 to 1; 0 if the sketch is empty.
func (s *sketch) quantile(q float64) float64 {
	if s.count == 0 {
		return 0
	}
	remaining := int64(math.Ceil(q * float64(s.count)))
	for k, n := range s.buckets {
		if remaining -= int64(n); remaining <= 0 && n > 0 {
			return math.Exp((float64(k) + bucketMidpoint) / bucketsPerLog)
		}
	}
	return math.Exp(sketchBuckets / bucketsPerLog)
}

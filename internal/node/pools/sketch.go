package pools

import "math"

// sketch is a distribution of work in buckets whose bounds grow by a fixed factor, so that a quantile read from it is
// off by at most half of that: 5 %. Two are merged by adding. It takes 0.3 KB, whatever comes in.
type sketch struct {
	count   uint32
	buckets [sketchBuckets]uint16
}

const (
	bucketGrowth = 1.1
	// sketchBuckets reach from a tenth of a millisecond to 165 s, past any client's timeout; what is longer counts as
	// that.
	sketchBuckets = 152
	// bucketMidpoint of a bucket, where its quantiles are read.
	bucketMidpoint = 0.5
)

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

// quantile gives the work that a share of all is at or under, 0 where nothing came.
func (s *sketch) quantile(share float64) float64 {
	if s.count == 0 {
		return 0
	}
	left := int64(math.Ceil(share * float64(s.count)))
	for k, n := range s.buckets {
		if left -= int64(n); left <= 0 && n > 0 {
			return math.Exp((float64(k) + bucketMidpoint) / bucketsPerLog)
		}
	}
	return math.Exp(sketchBuckets / bucketsPerLog)
}

package pools

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Class is what the operator says of one class, in shares of the run slots. The zero value has no floor and no cap.
type Class struct {
	Name        string
	MinFraction float64 // it is never limited under it
	MaxFraction float64 // nor let over it; 0 for none
	FixedLimit  bool    // its limit is its cap and does not move
	Value       float64 // of one request: slots are divided by value for work
}

// classState is what is known of one class.
type classState struct {
	Class
	cost     classCost
	limit    float64 // slots; infinite while nothing presses
	reason   string  // what set the limit
	running  int     // in its own slots; its heavy runs have slots of their own
	queued   int
	heavy    int // heavy runs
	arrivals recentSum
	missed   recentSum // of the arrivals, those shed or late
	workDone recentSum // of runs that ended, in Time, less that of heavy ones

	fairSlots float64 // slots that are its by value and need
	usedSlots float64 // slots that its work held lately
	needsMore bool    // it needs more than its fair slots: it alone is limited

	lastDelay        Time // that its last request to start had waited
	shed             uint64
	startedOverLimit int // runs started past its limit, as nobody else wanted the slot
	byTenant         usage
	byCaller         usage
}

func newClassState(c Class, tenants int) classState {
	s := classState{Class: c, limit: math.Inf(1), reason: reasonUnlimited, byTenant: newUsage(tenants),
		byCaller: newUsage(callerBuckets)}
	if s.Value <= 0 {
		s.Value = 1
	}
	return s
}

// reconfigure takes what the operator now says. A limit that isn't fixed starts anew.
func (s *classState) reconfigure(c Class) {
	value := s.Value
	s.Class = c
	if s.Value <= 0 {
		s.Value = value
	}
	if !s.FixedLimit {
		s.limit, s.reason = math.Inf(1), reasonUnlimited
	}
}

// limited says whether the class has a limit at the moment.
func (s *classState) limited() bool { return !math.IsInf(s.limit, 1) }

// valueDensity is what the class earns for its work: by it the slots are divided where they don't do for all.
func (s *classState) valueDensity() float64 { return s.Value / max(s.cost.mean, 1) }

// minSlots is the least that the class is limited to: one slot always, so that it is still served and measured.
func (s *classState) minSlots(slots int) float64 { return max(1, s.MinFraction*float64(slots)) }

// maxSlots is the most that the operator allows; infinite without a cap.
func (s *classState) maxSlots(slots int) float64 {
	if s.MaxFraction > 0 {
		return s.MaxFraction * float64(slots)
	}
	return math.Inf(1)
}

// hasFreeSlot says whether the class has a slot of its own left.
func (s *classState) hasFreeSlot(slots int) bool {
	return float64(s.running) < max(1, math.Floor(min(s.limit, s.maxSlots(slots))+roundingMargin))
}

// roundingMargin lets a limit that is a whole number but for rounding count as that number.
const roundingMargin = 1e-9

// usage counts what each tenant, or each bucket of callers, has running and queued in a class.
type usage struct{ running, queued []int }

func newUsage(n int) usage { return usage{make([]int, n), make([]int, n)} }

// callerBuckets: callers are told apart by a checksum of their number, since they are many and come and go. Two that
// share a bucket share its part; more buckets cost memory in each class.
const callerBuckets = 64

// callerBytes is the size of a caller's number.
const callerBytes = 4

func callerBucket(caller uint32) int {
	var raw [callerBytes]byte
	binary.LittleEndian.PutUint32(raw[:], caller)
	return int(crc32.ChecksumIEEE(raw[:]) % callerBuckets)
}

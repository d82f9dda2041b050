package pools

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// Class is the configuration of one class. Its fractions are of the run slots. The zero value has no floor and no cap.
type Class struct {
	Name        string
	MinFraction float64 // floor of its limit
	MaxFraction float64 // cap of its limit; 0: none
	FixedLimit  bool    // the limit stays at the cap
	Value       float64 // of one request; slots are divided by value per work
}

// classState is the state of one class.
type classState struct {
	Class
	cost     classCost
	limit    float64 // in slots; infinite: none
	reason   string  // why the limit has its value
	running  int     // runs in the class's own slots, heavy ones excluded
	queued   int
	heavy    int // heavy runs
	arrivals recentSum
	missed   recentSum // arrivals that were shed or late
	workDone recentSum // work of ended runs, in Time, heavy ones excluded

	fairSlots float64 // its fair share of the slots, by need and value per work
	usedSlots float64 // mean slots in use over recent history
	needsMore bool    // it needs more than its fair slots; only the limits of such classes are cut

	lastDelay        Time // queue delay of the last request to start
	shed             uint64
	startedOverLimit int
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

// reconfigure applies a new configuration. A limit that isn't fixed is reset; a value that isn't given stays.
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

func (s *classState) limited() bool { return !math.IsInf(s.limit, 1) }

// valueDensity is the class's value per work.
func (s *classState) valueDensity() float64 { return s.Value / max(s.cost.mean, 1) }

// minSlots is the lowest limit of the class: at least one slot, so that it is still served and measured.
func (s *classState) minSlots(slots int) float64 { return max(1, s.MinFraction*float64(slots)) }

// maxSlots is the class's cap in slots; infinite without one.
func (s *classState) maxSlots(slots int) float64 {
	if s.MaxFraction > 0 {
		return s.MaxFraction * float64(slots)
	}
	return math.Inf(1)
}

// hasFreeSlot reports whether the class runs fewer requests than its limit.
func (s *classState) hasFreeSlot(slots int) bool {
	return float64(s.running) < max(1, math.Floor(min(s.limit, s.maxSlots(slots))+roundingMargin))
}

// roundingMargin absorbs floating-point rounding errors in numbers of slots.
const roundingMargin = 1e-9

// usage counts the running and queued requests of a class by tenant, or by bucket of callers.
// Heavy runs count as running.
type usage struct{ running, queued []int }

func newUsage(n int) usage { return usage{make([]int, n), make([]int, n)} }

// callerBuckets is the number of buckets that callers are hashed into, which bounds the memory of a class. Callers in
// one bucket share its slots.
const callerBuckets = 64

// callerBytes is the size of a caller's ID.
const callerBytes = 4

func callerBucket(caller uint32) int {
	var raw [callerBytes]byte
	binary.LittleEndian.PutUint32(raw[:], caller)
	return int(crc32.ChecksumIEEE(raw[:]) % callerBuckets)
}

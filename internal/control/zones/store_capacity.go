package zones

import "math"

const (
	// storeIntervalMS is the least time between two log entries with a zone's observed capacity.
	storeIntervalMS = 30_000
	// storeGrowthIntervalMS is the least time while the capacity grows, so that a new leader has a recent one.
	storeGrowthIntervalMS = 3000
	// minStoredChange is the relative change from which a capacity is stored again.
	minStoredChange = 0.2
)

// capacitiesToStore returns the operation that stores the observed capacities that have changed, nil if none has. A
// new leader starts with the stored ones.
func (m *Monitor) capacitiesToStore(now uint64) operation {
	capacities := map[string]ObservedCapacity{}
	for _, view := range m.views {
		if !view.shouldStoreCapacity(now) {
			continue
		}
		capacities[view.Zone] = view.observed
		view.stored, view.storedAt = view.observed, now
	}
	if len(capacities) == 0 {
		return nil
	}
	return &observation{capacities: capacities}
}

func (v *View) shouldStoreCapacity(now uint64) bool {
	observed, stored := &v.observed, &v.stored
	interval := uint64(storeIntervalMS)
	if observed.RunRate > (1+minStoredChange)*stored.RunRate {
		interval = storeGrowthIntervalMS
	}
	if observed.RunRate == 0 || now-v.storedAt < interval && stored.RunRate != 0 {
		return false
	}
	return changedNotably(observed.RunRate, stored.RunRate) || changedNotably(observed.RunMS, stored.RunMS) ||
		changedNotably(observed.Concurrency, stored.Concurrency)
}

func changedNotably(observed, stored float64) bool {
	return math.Abs(observed-stored) > minStoredChange*stored
}

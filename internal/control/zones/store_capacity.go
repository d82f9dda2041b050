package zones

import "math"

const (
	// storeIntervalMS: an observed capacity goes to the log this often at most, as it changes slowly.
	storeIntervalMS = 30_000
	// storeGrowthIntervalMS, while it grows: it is being learned, and a leader that fails would take it along.
	storeGrowthIntervalMS = 3000
	// minStoredChange: a smaller change than a fifth makes no difference to a ramp.
	minStoredChange = 0.2
)

// capacitiesToStore decides which observed capacities go to the log, so that they outlive the leader: seldom, and
// where they moved.
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
	observed, logged := &v.observed, &v.stored
	interval := uint64(storeIntervalMS)
	if observed.RunRate > (1+minStoredChange)*logged.RunRate {
		interval = storeGrowthIntervalMS
	}
	if observed.RunRate == 0 || now-v.storedAt < interval && logged.RunRate != 0 {
		return false
	}
	return changedNotably(observed.RunRate, logged.RunRate) || changedNotably(observed.RunMS, logged.RunMS) ||
		changedNotably(observed.Concurrency, logged.Concurrency)
}

func changedNotably(observed, logged float64) bool {
	return math.Abs(observed-logged) > minStoredChange*logged
}

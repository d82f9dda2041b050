package zones

import "math"

const (
	// storeIntervalMS: an observed capacity goes to the log this often at most, as it changes slowly.
	storeIntervalMS = 30_000
	// storeGrowthMS, while it grows: it is being learned, and a leader that fails would take it along.
	storeGrowthMS = 3000
	// storeChange: a smaller change than a fifth makes no difference to a ramp.
	storeChange = 0.2
)

// capacitiesToStore decides which observed capacities go to the log, so that they outlive the leader: seldom, and
// where they moved.
func (m *Monitor) capacitiesToStore(now uint64) operation {
	capacities := map[string]ObservedCapacity{}
	for _, view := range m.views {
		if !view.storesCapacity(now) {
			continue
		}
		capacities[view.Zone] = view.observed
		view.logged, view.loggedAt = view.observed, now
	}
	if len(capacities) == 0 {
		return nil
	}
	return &observation{capacities: capacities}
}

func (v *View) storesCapacity(now uint64) bool {
	observed, logged := &v.observed, &v.logged
	interval := uint64(storeIntervalMS)
	if observed.RunRate > (1+storeChange)*logged.RunRate {
		interval = storeGrowthMS
	}
	if observed.RunRate == 0 || now-v.loggedAt < interval && logged.RunRate != 0 {
		return false
	}
	return moved(observed.RunRate, logged.RunRate) || moved(observed.RunMS, logged.RunMS) ||
		moved(observed.Concurrency, logged.Concurrency)
}

func moved(observed, logged float64) bool { return math.Abs(observed-logged) > storeChange*logged }

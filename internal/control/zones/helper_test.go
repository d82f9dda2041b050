package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// evaluateRepeatedly has the monitor hear the same report of each node before each of some evaluations, and returns the time
// after them.
func evaluateRepeatedly(w *Monitor, f *membership.State, s *State, from uint64, looks int, l api.LoadReport) uint64 {
	for i := 0; i < looks; i++ {
		from += evaluationIntervalMS
		for _, n := range f.Nodes() {
			one := l
			w.Record(from, n, &one, nil)
		}
		w.evaluate(from, s, f, 0)
	}
	return from
}

package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// evaluateRepeatedly records the same load report of each node before each of some evaluations, and returns the time
// of the last one in ms.
func evaluateRepeatedly(monitor *Monitor, fleet *membership.State, state *State, now uint64, evaluations int,
	load api.LoadReport,
) uint64 {
	for i := 0; i < evaluations; i++ {
		now += evaluationIntervalMS
		for _, node := range fleet.Nodes() {
			report := load
			monitor.Record(now, node, &report, nil)
		}
		monitor.evaluate(now, state, fleet, 0)
	}
	return now
}

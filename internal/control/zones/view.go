package zones

import "umberwinch/internal/control/api"

// View is the leader's view of a zone by its nodes' reports. Rates are per second: the median node's rate times the
// number of nodes in, so that two in five wrong reports move them little.
type View struct {
	Zone           string  `json:"zone"`
	NodesIn        int     `json:"in"`
	NodesSilent    int     `json:"quiet"` // no recent heartbeat, including nodes that went out recently
	NodesReporting int     `json:"fresh"` // with a load report that has not expired
	NodesUnhealthy int     `json:"sick"`  // of the reporting ones
	Symptom        Symptom `json:"kind,omitempty"`
	FailureScore   float64 `json:"score"` // points of the evaluations so far; the zone may be evacuated from evacuateScore
	Cause          Cause   `json:"cause,omitempty"`
	Note           string  `json:"note,omitempty"` // for operators: what the last evaluation found or waits for

	FirstAttemptRate float64 `json:"came"`   // arrived, whether admitted or not
	AdmittedRate     float64 `json:"took"`   // first attempts that the zone's order admitted
	RejectedRate     float64 `json:"turned"` // attempts that the zone's order rejected
	RunRate          float64 `json:"runs"`   // runs that ended
	OfferedWeight    float64 `json:"worth"`  // priority weight of arrived first attempts
	CompletedWeight  float64 `json:"got"`    // priority weight completed in time
	RunCapacity      float64 `json:"cap"`    // runs that the nodes' cores could complete
	Concurrency      float64 `json:"flight"` // runs in flight
	RunMS            float64 `json:"run_ms"`
	CallMS           float64 `json:"call_ms"`
	CallFailureRatio float64 `json:"bad"`
	ConnectionRate   float64 `json:"opened"`
	KernelsUp        bool    `json:"kernel"` // at least half of the nodes have a kernel connected

	// arrivedByWeight has the arrivals by priority weight, in ascending order.
	arrivedByWeight []api.PriorityCount
	// demand is the decaying peak of first attempts a second, in the fleet's view only.
	demand float64
	// atCapacity: slow, but completes nearly its observed run rate.
	atCapacity bool

	history
}

// history is the part of a view that carries over to the next evaluation.
type history struct {
	observed       ObservedCapacity
	healthyHistory []ObservedCapacity // samples of the last evaluations while it was healthy, oldest first
	stored         ObservedCapacity   // as last stored in the group's log
	storedAt       uint64             // ms

	commonCauseAt         uint64 // ms, when it was last unhealthy by a common cause
	overloadedEvaluations int    // evaluations in a row with too high a load
	// loads are runs in flight divided by those observed at the last evaluations, newest first.
	loads [loadHistory]float64
}

// loadHistory is the number of evaluations whose highest load a ramp goes by, as single reports are uneven.
const loadHistory = 3

const (
	// minUnhealthyRatio of the reporting nodes makes a zone unhealthy: more than half, so that two in five wrong reports
	// leave it in service.
	minUnhealthyRatio = 0.6
	// maxUnhealthyRatio is the largest part of unhealthy nodes in a healthy zone.
	maxUnhealthyRatio = 0.25
	// quorumDivisor: at least the nodes in divided by this have to report for a zone to be judged.
	quorumDivisor = 3
	// A zone is silent if at least silentRatioNumerator in silentRatioDenominator of its nodes are: single nodes of
	// a dead zone may still respond.
	silentRatioNumerator   = 9
	silentRatioDenominator = 10
)

// hasQuorum reports whether enough of a zone's nodes report to judge it.
func (v *View) hasQuorum() bool {
	return v.NodesReporting > 0 && quorumDivisor*v.NodesReporting >= v.NodesIn
}

// unhealthyRatio returns the part of the reporting nodes that are unhealthy, 0 to 1.
func (v *View) unhealthyRatio() float64 {
	return float64(v.NodesUnhealthy) / float64(max(1, v.NodesReporting))
}

// silent reports whether nearly all nodes of the zone are silent.
func (v *View) silent() bool {
	return v.NodesSilent > 0 &&
		v.NodesSilent*silentRatioDenominator >= silentRatioNumerator*max(v.NodesIn, v.NodesSilent)
}

// recordLoad sets the load of this evaluation: runs in flight divided by those observed.
func (v *View) recordLoad(load float64) { v.loads[0] = load }

// currentLoad returns the load of this evaluation.
func (v *View) currentLoad() float64 { return v.loads[0] }

// highestLoad returns the highest load of the last loadHistory evaluations.
func (v *View) highestLoad() float64 {
	highest := 0.0
	for _, load := range v.loads {
		highest = max(highest, load)
	}
	return highest
}

// inherit carries over the score and the history from the previous evaluation's view.
func (v *View) inherit(previous *View) {
	v.FailureScore, v.history = previous.FailureScore, previous.history
	v.loads = shiftLoads(previous.loads)
}

// shiftLoads moves the loads back by one evaluation; the newest is 0.
func shiftLoads(loads [loadHistory]float64) (next [loadHistory]float64) {
	copy(next[1:], loads[:])
	return next
}

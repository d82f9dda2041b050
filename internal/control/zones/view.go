package zones

import "umberwinch/internal/control/api"

// View is a zone as the leader sees it, from its nodes' reports. Sums are those of the median node times the nodes
// that are in, so that two of five nodes that report nonsense move them little. Rates are per second.
type View struct {
	Zone           string  `json:"zone"`
	NodesIn        int     `json:"in"`
	NodesSilent    int     `json:"quiet"` // not heard for a while, counted out lately or not
	NodesReporting int     `json:"fresh"` // heard lately, with a report
	NodesUnhealthy int     `json:"sick"`  // of those that report
	Symptom        Symptom `json:"kind,omitempty"`
	FailureScore   float64 `json:"score"` // how sure it is that the zone fails: evacuated at evacuateScore
	Cause          Cause   `json:"cause,omitempty"`
	Note           string  `json:"note,omitempty"` // what holds a decision up, for operators

	FirstAttemptRate float64 `json:"came"`   // that arrived, whether the zone's order admitted them or not
	AdmittedRate     float64 `json:"took"`   // of first attempts
	RejectedRate     float64 `json:"turned"` // of all attempts, by the zone's order
	RunRate          float64 `json:"runs"`   // runs that ended
	OfferedWeight    float64 `json:"worth"`  // priority weight of first attempts
	CompletedWeight  float64 `json:"got"`    // priority weight completed in time
	RunCapacity      float64 `json:"cap"`    // runs that the nodes' cores could do
	Concurrency      float64 `json:"flight"` // runs in flight
	RunMS            float64 `json:"run_ms"`
	CallMS           float64 `json:"call_ms"`
	CallFailureRatio float64 `json:"bad"`
	ConnectionRate   float64 `json:"opened"`
	KernelsUp        bool    `json:"kernel"` // half of its nodes or more have one

	// arrivedByWeight is what arrived by priority weight, the least first.
	arrivedByWeight []api.PriorityCount
	// demand, of the fleet's view: the most first attempts a second that arrived lately.
	demand float64
	// atCapacity: slow, but it does nearly what it sustained at most.
	atCapacity bool

	history
}

// history is what is learned of a zone over several evaluations; each view takes it over from the one before.
type history struct {
	observed       ObservedCapacity
	healthyHistory []ObservedCapacity // of the last evaluations, while it was healthy
	stored         ObservedCapacity   // what the group's log has
	storedAt       uint64             // ms

	commonCauseAt         uint64 // ms, when it was last unhealthy together with the others
	overloadedEvaluations int    // evaluations in a row at which more was in flight than it sustained
	// loads are runs in flight over those observed, at the last evaluations, the newest first.
	loads [loadHistory]float64
}

// loadHistory: a ramp goes by the highest load of so many evaluations, as one report may be uneven.
const loadHistory = 3

const (
	// unhealthyShare of a zone's reporting nodes makes the zone unhealthy. At a majority one bad node, or two in five
	// that report nonsense, leave it in service.
	unhealthyShare = 0.6
	// healthyShare: a zone is healthy where no more of its nodes are unhealthy.
	healthyShare = 0.25
	// quorumDivisor: a third of the nodes that are in have to report for anything to be told of a zone; so with half
	// of the reports lost there is a quorum still.
	quorumDivisor = 3
	// A zone is silent if silentShareNumerator in silentShareDenominator of its nodes are: one that answers still may be a straggler of a dead zone.
	silentShareNumerator   = 9
	silentShareDenominator = 10
)

// hasQuorum reports whether enough of a zone's nodes report to tell anything of it.
func (v *View) hasQuorum() bool {
	return v.NodesReporting > 0 && quorumDivisor*v.NodesReporting >= v.NodesIn
}

// unhealthyRatio is the share of the reporting nodes that are unhealthy, 0 to 1.
func (v *View) unhealthyRatio() float64 {
	return float64(v.NodesUnhealthy) / float64(max(1, v.NodesReporting))
}

// silent reports that nobody of a zone is heard.
func (v *View) silent() bool {
	return v.NodesSilent > 0 && v.NodesSilent*silentShareDenominator >= silentShareNumerator*max(v.NodesIn, v.NodesSilent)
}

// recordLoad sets the load of this evaluation: runs in flight over those observed.
func (v *View) recordLoad(load float64) { v.loads[0] = load }

// currentLoad is the load that was recorded at this evaluation.
func (v *View) currentLoad() float64 { return v.loads[0] }

// highestLoad is the highest of the last evaluations, of runs in flight over those observed.
func (v *View) highestLoad() float64 {
	highest := 0.0
	for _, load := range v.loads {
		highest = max(highest, load)
	}
	return highest
}

// inherit takes over from the view of the evaluation before what is learned over several.
func (v *View) inherit(before *View) {
	v.FailureScore, v.history = before.FailureScore, before.history
	v.loads = shiftLoads(before.loads)
}

// shiftLoads makes place for the load of a new evaluation.
func shiftLoads(loads [loadHistory]float64) (next [loadHistory]float64) {
	copy(next[1:], loads[:])
	return next
}

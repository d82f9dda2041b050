package simulation

import (
	"fmt"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// Kinds of fault of a zone. Its dependency is the service that its nodes call.
const (
	ZoneDead         = "dead"     // its nodes are killed; they and its dependency restart cold
	ZoneKernels      = "kernels"  // its kernels fail, its nodes stay up
	ZoneSlow         = "slow"     // its dependency runs at a tenth of its speed
	ZoneErrors       = "errors"   // 40% of its runs fail
	ZoneCutOff       = "cut off"  // its nodes are partitioned from the group only
	ZoneCallers      = "callers"  // its nodes are partitioned from their callers only
	ZoneOutlierNode  = "bad node" // one of its nodes is unhealthy
	ZoneCommon       = "common"   // as ZoneSlow, with a start delayed by StaggerMS per zone
	ZoneFalseReports = "lies"     // two of five nodes falsely report that they are unhealthy
	ZoneRestart      = "restart"  // its nodes are killed and restart at the end of the fault, cold
	ZoneNoise        = "noise"    // half of the load reports are missing, the others vary more
)

// classFractions are the fractions of the arrivals of the three classes, classWeights their priority weights.
var classFractions, classWeights = [3]float64{0.7, 0.2, 0.1}, [3]float64{1, 2, 20}

// maxAttempts is the maximum number of attempts of a request, including the first.
const maxAttempts = 4

const (
	stepMS             = 100  // length of a step of traffic
	warmRunMS          = 20.0 // duration of a run on a warm dependency
	latencyObjectiveMS = 300.0
	// WarmUpSeconds is the time at full capacity that fills a dependency's cache.
	WarmUpSeconds   = 10.0
	maxRetryAfterMS = 10_000 // maximum Retry-After
	// maxRetryRatio is the maximum ratio of all attempts to first attempts in a step after a restart. Retries with a
	// spread Retry-After stay below it; retries that all come at one time exceed it.
	maxRetryRatio = 12
	retrySteps    = maxRetryAfterMS/100 + 20
	quotaBuckets  = 8    // buckets of the requests rejected by a quota, each with its own Retry-After
	zoneRunSlots  = 80.0 // run slots of a zone's nodes: four times the concurrency of its dependency
)

// ZoneSimulation simulates traffic on a fleet whose zones fail. Callers retry in other zones, and each zone's nodes
// call a dependency with a capacity, a cache and faults. Traffic is modeled as rates in steps of stepMS; the group, its
// coordinators, the agents and the zone gates are the production code.
type ZoneSimulation struct {
	ZonePlan
	ZoneFigures
	Fleet              *Fleet
	dependencies       []*dependency
	retries            retryQueue
	nodeHealth         []nodeHealth // by index of the node
	upNodesByZone      []float64    // running nodes
	faultActive        bool
	secondFaultStarted bool                  // the second fault has started
	rateLimits         map[string][2]float64 // by zone: current, and previous until settled
	attemptCounts      [2]float64            // all and first attempts since the start of the fault
	Broken             string
}

// nodeHealth is the health of a node as seen by callers. Times are virtual ms.
type nodeHealth struct {
	lastReady      float64 // last time it reported ready; 0: its last report was not ready
	unhealthySince float64 // start of its unhealthiness, as ejectUnhealthyNodes sees it; 0: healthy
	ejectedUntil   float64 // end of its ejection
}

// ZoneFigures are the measurements of a run. A load is demand over capacity of a dependency, weight is priority weight.
type ZoneFigures struct {
	CompletedWeight        float64            // weight completed in time since the start of the fault
	OfferedWeight          float64            // weight offered since the start of the fault
	WeightDuringFault      float64            // weight completed during the fault, from 5 s after its start
	AttemptsPerRequest     float64            // attempts per request since the start of the fault
	EvacuationDelaysMS     map[string]float64 // by zone: ms from the start of the fault to its evacuation
	RecoveryTimesMS        map[string]float64 // by zone: ms from the end of the fault until it is in service again
	UnjustifiedEvacuations int                // unjustified evacuations
	RampSteps              int                // recovery ramp: steps forward
	StepsBack              int                // recovery ramp: steps back
	PeakRampLoad           float64            // highest load during a zone's recovery ramp, over one second
	peakRampAt             string
	PeakNeighborLoad       float64 // highest load of a healthy zone while another is evacuated
	peakNeighborAt         string
	OverloadMS             float64       // ms with a load above 1 during a ramp with a second fault
	ColdStarts             int           // cold starts of the whole fleet
	PeakRestartLoad        float64       // highest load after a restart
	PeakRetryRatio         float64       // highest ratio of all to first attempts after a restart
	Plot                   []report.Line // by s: fraction of weight completed, load and share of z0
}

func (v *ZoneSimulation) faultKind(z int) string {
	if z < len(v.Faults) {
		return v.Faults[z]
	}
	return ""
}

// commonCause reports whether all zones have the same fault.
func (v *ZoneSimulation) commonCause() bool {
	for z := 1; z < v.Zones; z++ {
		if v.faultKind(z) != v.faultKind(0) {
			return false
		}
	}
	return v.faultKind(0) != ""
}

func (v *ZoneSimulation) fail(format string, args ...any) {
	if v.Broken == "" {
		v.Broken = fmt.Sprintf("%.1f s: ", (v.Fleet.Now-faultStartMS)/1000) + fmt.Sprintf(format, args...)
	}
}

// Play runs the plan until its end and checks the invariants, except for the baselines.
func (v *ZoneSimulation) Play() {
	f := v.Fleet
	f.after(1500, func() { f.proposeChange(false, 0) })
	f.Changes = 1
	f.after(2000, v.runStep)
	f.runUntil(faultStartMS)
	f.after(v.FaultStartMS, v.injectFault)
	f.after(v.FaultEndMS, v.heal)
	f.runUntil(faultStartMS + v.EndMS)
	if f.Broken != "" {
		v.fail("%s", f.Broken)
	}
	if !v.NoEvacuation && !v.SelfEjection && !v.Oracle {
		v.checkZones()
		v.checkLoad()
	}
}

// checkZones checks that all zones are in service at the end, and that no zone was evacuated although staying had the
// higher expected value.
func (v *ZoneSimulation) checkZones() {
	for _, z := range v.Fleet.state.Zones.Zones {
		if z.Phase != zones.InService {
			v.fail("at the end zone %s is %s with share %d, want in service; last event: %v", z.Name, z.Phase,
				z.Share, z.Events[len(z.Events)-1])
		}
	}
	for _, z := range v.Fleet.state.Zones.Zones {
		for _, e := range z.Events {
			if e.ValueOfEvacuating < e.ValueOfStaying {
				v.fail("zone %s was evacuated for an expected value of %.0f/s, although staying had %.0f/s", z.Name,
					e.ValueOfEvacuating, e.ValueOfStaying)
			}
		}
	}
}

// checkLoad checks that no dependency was overloaded after a restart, during a recovery ramp, or by traffic from other
// zones.
func (v *ZoneSimulation) checkLoad() {
	if v.PeakRestartLoad > 1 {
		v.fail("load of a dependency after the restart = %.2f, want at most 1", v.PeakRestartLoad)
	}
	if v.PeakRetryRatio > maxRetryRatio {
		v.fail("ratio of all attempts to first attempts after the restart = %.1f, want at most %d", v.PeakRetryRatio,
			maxRetryRatio)
	}
	if v.OverloadMS > 8000 {
		v.fail("a dependency with a second fault was overloaded for %.1f s, want at most 8 s", v.OverloadMS/1000)
	}
	if v.PeakRampLoad > 1.0 {
		v.fail("load of a dependency during the recovery ramp = %.2f, want at most 1: %s", v.PeakRampLoad, v.peakRampAt)
	}
	if v.PeakNeighborLoad > 1.1 && v.Load*float64(v.Zones) < 0.85*float64(v.Zones) {
		v.fail("load of a zone in service with traffic from other zones = %.2f, want at most 1.1: %s",
			v.PeakNeighborLoad, v.peakNeighborAt)
	}
}

// allInService reports whether no zone has been out of service for more than 2.5 s in a settled epoch.
func (f *Fleet) allInService() bool {
	s := f.state.Zones
	for _, z := range s.Zones {
		if z.Phase != zones.InService && s.SettledEpoch == s.Epoch && float64(f.state.Fleet.ClockMS-z.SinceMS) > 2500 {
			return false
		}
	}
	return true
}

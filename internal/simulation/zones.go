package simulation

import (
	"fmt"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// Traffic on a fleet in virtual time: callers that retry elsewhere, nodes by their real gates, and for each zone a
// service below with a capacity, a cache that has to warm up, and faults. Requests are rates, a tenth of a second
// at a time; group, coordinators, agents and gates are the real code.

// Kinds of fault of a zone.
const (
	ZoneDead         = "dead"     // its nodes are killed and come back cold
	ZoneKernels      = "kernels"  // its kernels are dead, its nodes well
	ZoneSlow         = "slow"     // its service below at a tenth of its speed
	ZoneErrors       = "errors"   // four in ten of its runs fail for good
	ZoneCutOff       = "cut off"  // from the group alone
	ZoneCallers      = "callers"  // from its callers alone
	ZoneOutlierNode  = "bad node" // one node of it is sick
	ZoneCommon       = "common"   // all zones are slow
	ZoneFalseReports = "lies"     // two of five of its nodes report that they are unhealthy
	ZoneRestart      = "restart"  // its nodes are killed and start again at once, cold
	ZoneNoise        = "noise"    // half of the reports are missing, the others vary
)

// classFractions are the three classes' parts of what arrives, classWeights their priority weights.
var classFractions, classWeights = [3]float64{0.7, 0.2, 0.1}, [3]float64{1, 2, 20}

// maxAttempts is how often a caller sends one request at most.
const maxAttempts = 4

const (
	stepMS             = 100  // ms
	warmRunMS          = 20.0 // ms that a run takes on a warm service
	latencyObjectiveMS = 300.0
	// WarmUpSeconds of full capacity fill a service's cache.
	WarmUpSeconds   = 10.0
	maxRetryAfterMS = 10_000 // ms, of a Retry-After
	// maxRetryRatio is how much more than first attempts callers may send at once, by each coming back up to three
	// times and by a step that admits all that were told to come in it. Callers that are all told the same moment
	// exceed it.
	maxRetryRatio = 12
	retrySteps    = maxRetryAfterMS/100 + 20
	quotaBuckets  = 8    // parts of the requests that a quota leaves out, each with a Retry-After of its own
	zoneRunSlots  = 80.0 // run slots of a zone's nodes, four times what its service below works on at once
)

// Zones is one run.
type Zones struct {
	ZonePlan
	ZoneFigures
	Fleet              *Fleet
	dependencies       []*dependency
	retries            retryQueue
	nodeHealth         []nodeHealth // by node
	upNodesByZone      []float64    // nodes that are up, by zone
	faultActive        bool
	secondFaultStarted bool                  // the second failure has come
	rateLimits         map[string][2]float64 // now, and before until settled
	attemptCounts      [2]float64            // attempts, and first ones, from the fault on
	Broken             string
}

// nodeHealth is how a node looks to callers. Times are ms of the fleet.
type nodeHealth struct {
	lastReady      float64 // it reported that it is ready; 0: it reported last that it isn't
	unhealthySince float64 // by its own judgement; 0: it is well
	ejectedUntil   float64
}

// ZoneFigures is what was measured in a run.
type ZoneFigures struct {
	Done              float64 // weight done in time, and offered, from the fault on
	Asked             float64
	WeightDuringFault float64            // value done while it fails, from five seconds on
	Tries             float64            // attempts a request, from the fault on
	Left              map[string]float64 // ms from the fault to a zone's evacuation
	Back              map[string]float64 // and from its end until the zone is in service again
	Wrong             int
	Steps             int
	BackStep          int
	Peak              float64 // load over capacity of a service while its zone returns
	peakRampAt        string
	PeakNeighborLoad  float64 // most load over capacity of a zone in service, its own first attempts fitting
	peakNeighborAt    string
	OverloadMS        float64 // ms for which a service was overloaded by a second fault
	ColdStarts        int     // times that the fleet began with a share
	Start             float64 // highest load over capacity of a service after a restart
	PeakRetryRatio    float64 // after a restart, from callers that wait: most attempts at once over first ones
	Plot              []report.Line
}

func (v *Zones) faultKind(z int) string {
	if z < len(v.Kinds) {
		return v.Kinds[z]
	}
	return ""
}

// commonCause tells that all zones have one fault.
func (v *Zones) commonCause() bool {
	for z := 1; z < v.Zones; z++ {
		if v.faultKind(z) != v.faultKind(0) {
			return false
		}
	}
	return v.faultKind(0) != ""
}

func (v *Zones) fail(format string, args ...any) {
	if v.Broken == "" {
		v.Broken = fmt.Sprintf("%.1f s: ", (v.Fleet.Now-faultStartMS)/1000) + fmt.Sprintf(format, args...)
	}
}

// Play plays the run: calm seconds, the fault, its end, and on until Ends; then all promises have to hold.
func (v *Zones) Play() {
	f := v.Fleet
	f.after(1500, func() { f.proposeChange(false, 0) })
	f.Changes = 1
	f.after(2000, v.runStep)
	f.runUntil(faultStartMS)
	f.after(v.Fails, v.injectFault)
	f.after(v.Heals, v.heal)
	f.runUntil(faultStartMS + v.Ends)
	if f.Broken != "" {
		v.fail("%s", f.Broken)
	}
	if !v.Off && !v.Own && !v.Oracle {
		v.checkZones()
		v.checkLoad()
	}
}

// checkZones: all zones are in service at the end, and none was evacuated where staying was worth more.
func (v *Zones) checkZones() {
	for _, z := range v.Fleet.state.Zones.Zones {
		if z.Phase != zones.InService {
			v.fail("zone %s is %s at %d at the end: %v", z.Name, z.Phase, z.Share, z.Events[len(z.Events)-1])
		}
	}
	for _, z := range v.Fleet.state.Zones.Zones {
		for _, e := range z.Events {
			if e.ValueOfEvacuating < e.ValueOfStaying {
				v.fail("zone %s was left for %.0f of value a second, where staying was to do %.0f", z.Name,
					e.ValueOfEvacuating, e.ValueOfStaying)
			}
		}
	}
}

// checkLoad: no service was overloaded by a restart, a return or a neighbour's callers.
func (v *Zones) checkLoad() {
	if v.Start > 1 {
		v.fail("a service was asked for %.2f of what it bears after the restart", v.Start)
	}
	if v.PeakRetryRatio > maxRetryRatio {
		v.fail("callers that wait until they are told to come back asked %.1f times as much together as first tries "+
			"came", v.PeakRetryRatio)
	}
	if v.OverloadMS > 8000 {
		v.fail("a service that failed during the return was asked for more than it bears for %.1f s", v.OverloadMS/1000)
	}
	if v.Peak > 1.0 {
		v.fail("a service was asked for %.2f of what it bears while its zone returned: %s", v.Peak, v.peakRampAt)
	}
	if v.PeakNeighborLoad > 1.1 && v.Load*float64(v.Zones) < 0.85*float64(v.Zones) {
		v.fail("a zone that is in was asked for %.2f of what it bears by tries from elsewhere: %s", v.PeakNeighborLoad,
			v.peakNeighborAt)
	}
}

// allInService tells that no zone is evacuated, or none for long enough that all nodes were notified.
func (f *Fleet) allInService() bool {
	s := f.state.Zones
	for _, z := range s.Zones {
		if z.Phase != zones.InService && s.SettledEpoch == s.Epoch && float64(f.state.Fleet.ClockMS-z.SinceMS) > 2500 {
			return false
		}
	}
	return true
}

package simulation

import (
	"math/rand"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// ZonePlan is the configuration of one run.
type ZonePlan struct {
	Seed            int64
	Nodes           int
	Zones           int
	Faults          []string // faults of the zones z0, z1, ...; empty: none
	FaultStartMS    float64  // start of the faults, ms after faultStartMS
	FaultEndMS      float64  // end of the faults, ms after faultStartMS
	EndMS           float64  // end of the run, ms after faultStartMS
	Load            float64  // demand over the warm capacity of all zones
	ColdFactor      float64  // warm over cold capacity of a dependency; 0: 8
	NoEvacuation    bool     // baseline: decide = off, zones aren't evacuated
	SelfEjection    bool     // baseline: decide = off, unhealthy nodes eject themselves
	Oracle          bool     // upper bound: runOracle in place of the fleet's traffic
	DisabledGuards  zones.Guard
	SecondFault     bool    // z0's dependency slows to 0.3 of its speed during the recovery ramp
	LateNodes       int     // nodes of z0 that first start during the recovery ramp
	StaggerMS       float64 // delay of a common fault from one zone to the next
	ClockRampMS     float64 // baseline: after a restart nodes admit a share that grows linearly over these ms
	HonorRetryAfter bool    // rejected callers wait for their Retry-After
	CrashLeader     bool    // the leader crashes at the start of the fault and during the ramp
}

// DrawZonePlan generates a plan from a seed: faults, load and size of the fleet.
func DrawZonePlan(seed int64) ZonePlan {
	r := rand.New(rand.NewSource(seed))
	p := ZonePlan{Seed: seed, Zones: 3 + r.Intn(3), FaultStartMS: 15_000, FaultEndMS: 35_000 + float64(r.Intn(15))*1000,
		EndMS: 400_000, Load: 0.3 + 0.5*r.Float64(), ColdFactor: 1 + 9*r.Float64(), CrashLeader: r.Intn(4) == 0,
		SecondFault: r.Intn(4) == 0}
	p.Nodes = p.Zones * (3 + r.Intn(5))
	kinds := []string{ZoneDead, ZoneKernels, ZoneSlow, ZoneErrors, ZoneCutOff, ZoneCallers, ZoneOutlierNode,
		ZoneFalseReports, ZoneNoise}
	p.Faults = append(p.Faults, kinds[r.Intn(len(kinds))])
	if p.Faults[0] == ZoneFalseReports {
		p.Nodes = p.Zones * 5
	}
	switch r.Intn(5) {
	case 0:
		p.Faults = append(p.Faults, kinds[r.Intn(4)])
	case 1:
		for p.Faults = nil; len(p.Faults) < p.Zones; {
			p.Faults = append(p.Faults, []string{ZoneCommon, ZoneKernels, ZoneErrors}[seed%3])
		}
	}
	// At most 1.2 s from the first to the last zone: a slower common fault looks like a fault of one zone.
	p.StaggerMS = float64(r.Intn(1200) / (p.Zones - 1))
	p.LateNodes = r.Intn(2) * r.Intn(2)
	return p
}

// NewZoneSimulation creates the simulation of a plan; Play runs it.
func NewZoneSimulation(p ZonePlan) *ZoneSimulation {
	if p.Zones == 0 {
		p.Zones = 3
	}
	if p.ColdFactor == 0 {
		p.ColdFactor = 8
	}
	mode := "auto"
	if p.NoEvacuation || p.SelfEjection || p.Oracle {
		mode = "off"
	}
	v := &ZoneSimulation{ZonePlan: p, rateLimits: map[string][2]float64{}, nodeHealth: make([]nodeHealth, p.Nodes),
		upNodesByZone: make([]float64, p.Zones),
		ZoneFigures: ZoneFigures{EvacuationDelaysMS: map[string]float64{}, RecoveryTimesMS: map[string]float64{},
			Plot: make([]report.Line, 3)}}
	v.Fleet = NewFleet(FleetPlan{Seed: p.Seed, Nodes: p.Nodes, ControlInstances: 3, NoFaults: true, LeaseMS: 4000,
		Zones: p.Zones, ZoneRules: "[zones]\ndecide = " + mode + "\nsmall_start = yes\n",
		DisabledZoneGuards: p.DisabledGuards})
	v.Fleet.loadReport, v.Fleet.probePeer, v.Fleet.onApplied = v.loadReport, v.probe, v.onApplied
	for i := 0; i < p.LateNodes; i++ {
		v.Fleet.nodes[(i+1)*p.Zones].notStarted = true
	}
	for z := 0; z < p.Zones; z++ {
		v.dependencies = append(v.dependencies,
			&dependency{warmCapacity: 1000, warmth: 1, speed: 1, coldFactor: p.ColdFactor})
	}
	return v
}

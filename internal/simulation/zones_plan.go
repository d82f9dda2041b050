package simulation

// This file draws what runs of zones are played from.

import (
	"math/rand"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// ZonePlan is what one run is drawn from.
type ZonePlan struct {
	Seed        int64
	Nodes       int
	Zones       int
	Kinds       []string // of the zones z0, z1, ...; empty ones are well
	Fails       float64  // ms after the start
	Heals       float64
	Ends        float64
	Load        float64 // demand over what all zones do when warm
	ColdFactor  float64 // times that a call to a cold service takes; 0: 8
	Off         bool    // decide = off: nodes alone
	Own         bool    // each node leaves and returns by its own judgement, decide = off
	Oracle      bool    // what could be done at best, in place of all of it
	Without     zones.Guard
	SecondFault bool    // its service below fails once more, to a third of its speed, in the middle of the return
	LateNodes   int     // nodes of z0 that start for the first time in the middle of the return
	StaggerMS   float64 // ms by which a common fault begins later in each next zone
	Ramp        float64 // a baseline: after a restart nodes take a share that grows by the clock, in so many ms
	Patient     bool    // callers that are rejected wait for their Retry-After
	CrashLeader bool    // the leader is lost as the zone fails, and as it begins to return
}

// DrawZones draws a run from a seed: what fails, at which load, in a fleet of what size.
func DrawZones(seed int64) ZonePlan {
	r := rand.New(rand.NewSource(seed))
	p := ZonePlan{Seed: seed, Zones: 3 + r.Intn(3), Fails: 15_000, Heals: 35_000 + float64(r.Intn(15))*1000,
		Ends: 400_000, Load: 0.3 + 0.5*r.Float64(), ColdFactor: 1 + 9*r.Float64(), CrashLeader: r.Intn(4) == 0,
		SecondFault: r.Intn(4) == 0}
	p.Nodes = p.Zones * (3 + r.Intn(5))
	kinds := []string{ZoneDead, ZoneKernels, ZoneSlow, ZoneErrors, ZoneCutOff, ZoneCallers, ZoneOutlierNode,
		ZoneFalseReports, ZoneNoise}
	p.Kinds = append(p.Kinds, kinds[r.Intn(len(kinds))])
	if p.Kinds[0] == ZoneFalseReports {
		p.Nodes = p.Zones * 5
	}
	switch r.Intn(5) {
	case 0:
		p.Kinds = append(p.Kinds, kinds[r.Intn(4)])
	case 1:
		for p.Kinds = nil; len(p.Kinds) < p.Zones; {
			p.Kinds = append(p.Kinds, []string{ZoneCommon, ZoneKernels, ZoneErrors}[seed%3])
		}
	}
	p.StaggerMS = float64(r.Intn(1200) / (p.Zones - 1)) // what takes longer to reach the last zone looks like one zone's
	p.LateNodes = r.Intn(2) * r.Intn(2)
	return p
}

// NewZones readies a run.
func NewZones(p ZonePlan) *Zones {
	if p.Zones == 0 {
		p.Zones = 3
	}
	if p.ColdFactor == 0 {
		p.ColdFactor = 8
	}
	mode := "auto"
	if p.Off || p.Own || p.Oracle {
		mode = "off"
	}
	v := &Zones{ZonePlan: p, rateLimits: map[string][2]float64{}, nodeHealth: make([]nodeHealth, p.Nodes),
		upNodesByZone: make([]float64, p.Zones),
		ZoneFigures:   ZoneFigures{Left: map[string]float64{}, Back: map[string]float64{}, Plot: make([]report.Line, 3)}}
	v.Fleet = NewFleet(FleetPlan{Seed: p.Seed, Nodes: p.Nodes, Ctl: 3, Calm: true, Lease: 4000, Zones: p.Zones,
		ZoneRules: "[zones]\ndecide = " + mode + "\nsmall_start = yes\n", WithoutZones: p.Without})
	v.Fleet.loadReport, v.Fleet.probePeer, v.Fleet.onApplied = v.loadReport, v.probe, v.onApplied
	for i := 0; i < p.LateNodes; i++ {
		v.Fleet.nodes[(i+1)*p.Zones].notStarted = true
	}
	for z := 0; z < p.Zones; z++ {
		v.dependencies = append(v.dependencies, &dependency{warmCapacity: 1000, warmth: 1, speed: 1, coldFactor: p.ColdFactor})
	}
	return v
}

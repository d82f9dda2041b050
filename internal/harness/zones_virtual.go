package harness

import (
	"sync"
	"time"

	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// zoneVariant is a variant of a plan of zones in virtual time.
type zoneVariant struct {
	name  string
	apply func(p *simulation.ZonePlan)
}

// playedZones is the result of one variant, and the real time that its simulation took.
type playedZones struct {
	*simulation.ZoneSimulation
	name     string
	realTime time.Duration
}

// playVariants runs all variants of a plan in parallel.
func playVariants(base simulation.ZonePlan, variants []zoneVariant) []playedZones {
	played := make([]playedZones, len(variants))
	var wg sync.WaitGroup
	for i, variant := range variants {
		wg.Go(func() {
			plan, started := base, time.Now()
			variant.apply(&plan)
			zones := simulation.NewZoneSimulation(plan)
			zones.Play()
			played[i] = playedZones{zones, variant.name, time.Since(started)}
		})
	}
	wg.Wait()
	return played
}

// violatingSchedules counts schedules with a violation, and has that of the lowest seed.
type violatingSchedules struct {
	count     int
	seed      int64
	violation string
}

func (b *violatingSchedules) record(seed int64, violation string) {
	if violation == "" {
		return
	}
	if b.count++; b.count == 1 || seed < b.seed {
		b.seed, b.violation = seed, violation
	}
}

// report reports the violation of the lowest seed.
func (b *violatingSchedules) report(rep *report.Report) {
	if b.count > 0 {
		rep.SetBroken("seed %d, the first of %d violating schedules: %s", b.seed, b.count, b.violation)
	}
}

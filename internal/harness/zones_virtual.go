package harness

import (
	"sync"
	"time"

	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// zoneVariant is one way to play the same plan of zones in virtual time.
type zoneVariant struct {
	name  string
	apply func(p *simulation.ZonePlan)
}

// playedZones is what one variant came to, and the real time that it took to play.
type playedZones struct {
	*simulation.Zones
	name string
	took time.Duration
}

// playVariants plays a plan by each variant, all at once.
func playVariants(base simulation.ZonePlan, variants []zoneVariant) []playedZones {
	played := make([]playedZones, len(variants))
	var wg sync.WaitGroup
	for i, variant := range variants {
		wg.Go(func() {
			plan, started := base, time.Now()
			variant.apply(&plan)
			zones := simulation.NewZones(plan)
			zones.Play()
			played[i] = playedZones{zones, variant.name, time.Since(started)}
		})
	}
	wg.Wait()
	return played
}

// violatingSchedules counts schedules that broke a promise, and has the first of them by seed.
type violatingSchedules struct {
	count     int
	seed      int64
	violation string
}

func (b *violatingSchedules) record(seed int64, broken string) {
	if broken == "" {
		return
	}
	if b.count++; b.count == 1 || seed < b.seed {
		b.seed, b.violation = seed, broken
	}
}

// report makes the first broken schedule the report's broken promise.
func (b *violatingSchedules) report(rep *report.Report) {
	if b.count > 0 {
		rep.Break("seed %d of %d broken schedules: %s", b.seed, b.count, b.violation)
	}
}

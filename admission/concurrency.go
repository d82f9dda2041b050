package admission

import "math"

const (
	// ceilingFraction is the maximum number of runs in progress as a fraction of the runs that the server survives. A
	// server with more runs than it survives does not recover by itself. A smaller fraction idles cores only where
	// nearly all runs are at calls.
	ceilingFraction = 0.8
	// idleCoresFraction is the fraction of the idle cores by which the limit rises per adjustment, so that two
	// adjustments on one gauge reading do not overshoot.
	idleCoresFraction = 0.5
	// overcommitFraction is the number of runnable runs in excess of the cores, as a fraction of the cores, above
	// which the limit falls. Runs that start and end together make the number swing by that much.
	overcommitFraction = 0.5
)

// concurrencyLimit bounds the number of runs in progress.
type concurrencyLimit struct {
	cores          float64
	runnable       float64 // runs that want a core, by the gauge
	slotsInUse     int     // runs in progress, including those at calls; taken in startRun, freed in handleRunEnd
	current        int     // limit that follows the gauge
	maxRunsPerCore float64 // runs that a core survives
	warmUp         warmUp
}

func newConcurrencyLimit(d *Deployment) concurrencyLimit {
	return concurrencyLimit{cores: float64(d.Cores), current: d.Cores, maxRunsPerCore: max(d.MaxRunsPerCore, 1),
		warmUp: newWarmUp(d)}
}

// ceiling returns the maximum number of runs for this server. Runs at calls count, since all may return at once.
func (l *concurrencyLimit) ceiling(now Time) int {
	speed := l.warmUp.speed(now)
	ceiling := ceilingFraction * l.cores * (1 + (l.maxRunsPerCore-1)*speed)
	if speed < 1 {
		ceiling = min(ceiling, warmUpBudget(l.cores*l.maxRunsPerCore*speed))
	}
	return max(1, int(ceiling))
}

// slots returns the number of runs allowed at present.
func (l *concurrencyLimit) slots(now Time) int { return min(l.current, l.ceiling(now)) }

// adjust follows the gauge of runnable runs: the limit rises while cores idle, requests are queued and the limit
// binds, and falls by one while runnable runs clearly exceed the cores. It is never below the number of cores.
func (l *concurrencyLimit) adjust(now Time, queued int) {
	switch idle := l.cores - l.runnable; {
	case queued > 0 && l.slotsInUse >= l.current && idle > 0:
		l.current = min(l.slotsInUse+int(math.Ceil(idle*idleCoresFraction)), l.ceiling(now))
	case idle < -l.cores*overcommitFraction:
		l.current--
	}
	l.current = max(l.current, int(l.cores))
}

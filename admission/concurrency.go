package admission

import "math"

const (
	// ceilingFraction is the part of the runs that the server survives that may be in progress. The rest is margin:
	// past what it survives a server doesn't recover by itself. More margin idles cores only where nearly all runs
	// are at calls.
	ceilingFraction = 0.8
	// idleCoresFraction: half of the idle cores are given out at each look, so that two looks at one reading don't give out
	// more than there is.
	idleCoresFraction = 0.5
	// overcommitFraction: the limit falls while the runs that want cores exceed them by the cores over it, half as many
	// again. Runs that begin and end together swing by that much.
	overcommitFraction = 0.5
)

// concurrencyLimit decides how many runs may be in progress.
type concurrencyLimit struct {
	cores          float64
	runnable       float64 // runs that want a core, by the gauge
	slotsInUse     int     // by runs in progress, those at calls too; taken in startRun, freed in handleRunEnd
	current        int     // the limit that follows the gauge
	maxRunsPerCore float64
	warmUp         warmUp
}

func newConcurrencyLimit(d *Deployment) concurrencyLimit {
	return concurrencyLimit{cores: float64(d.Cores), current: d.Cores, maxRunsPerCore: max(d.MaxRunsPerCore, 1),
		warmUp: newWarmUp(d)}
}

// ceiling decides how many runs this server survives on its cores. Runs at calls count, since all may come back at
// once.
func (l *concurrencyLimit) ceiling(now Time) int {
	speed := l.warmUp.speed(now)
	ceiling := ceilingFraction * l.cores * (1 + (l.maxRunsPerCore-1)*speed)
	if speed < 1 {
		ceiling = min(ceiling, warmUpBudget(l.cores*l.maxRunsPerCore*speed))
	}
	return max(1, int(ceiling))
}

// slots is how many runs there may be now.
func (l *concurrencyLimit) slots(now Time) int { return min(l.current, l.ceiling(now)) }

// adjust decides the limit from the gauge of runnable runs: up while cores idle, requests wait and the limit binds;
// down by one while clearly more runs want the cores than there are. It is never under the number of cores.
func (l *concurrencyLimit) adjust(now Time, queued int) {
	switch idle := l.cores - l.runnable; {
	case queued > 0 && l.slotsInUse >= l.current && idle > 0:
		l.current = min(l.slotsInUse+int(math.Ceil(idle*idleCoresFraction)), l.ceiling(now))
	case idle < -l.cores*overcommitFraction:
		l.current--
	}
	l.current = max(l.current, int(l.cores))
}

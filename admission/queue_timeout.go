package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	// runTimeReserve is the expected runs of a request that its objective has to leave for its own run: somewhat more
	// than one, since half of all runs take longer than usual. More sheds what would have been in time, less admits
	// what will be late.
	runTimeReserve = 1.3
	// maxTimeoutFraction: a request waits for its objective over it at the most, half, so that what starts has time
	// to run and to make its calls.
	maxTimeoutFraction = 0.5
	// minTimeoutFraction: it may wait for its objective over it at the least, an eighth, also if runs take longer
	// than the objective: what shows recovery must be admitted.
	minTimeoutFraction = 0.125
	// minRankFactor is the part of its timeout that is left to what earns least while the queue is long. Not 0: a
	// lull of a few runs is still used, and its class is still measured.
	minRankFactor = 0.1
	// minQueuedToShorten is the requests that have to be queued before timeouts are shortened by value; half the cores'
	// number where that is more. With fewer, a request shed for another's sake could leave a core idle.
	minQueuedToShorten = 2.0
	// retryTimeoutDivisor shortens the wait of retries and hedged requests. Their objective runs from the first
	// attempt, so part of it is gone, and they take places from requests with more time.
	retryTimeoutDivisor = 3.0
	// worstClassSlope: the extra weight of the worst class is gone at a lead of one over it in the share served, a
	// tenth. A step there would let two classes swap places at each look.
	worstClassSlope = 10.0
	// minUtilityRatio is the factor by which a utility has to exceed another to rank above it: measured work differs by a
	// few per cent from look to look.
	minUtilityRatio = 1.05

	// demandBuckets and demandStep: arrivals are counted over five seconds, some dozens at a server's rate, and shorter
	// than a surge lasts.
	demandBuckets = 10
	demandStep    = Second / 2
	// servedBuckets and servedStep: the share served is taken over eight seconds, since that of a rare class is read
	// from few responses.
	servedBuckets = 8
	servedStep    = Second
)

// classDemand is what one class asks for and gets.
type classDemand struct {
	value          float64
	work           window  // time of runs less their calls, over runs
	workTime       float64 // the mean of it
	served         window  // requests served within the objective, over those read
	servedFraction float64
	valueDemanded  float64 // of the requests read lately
}

// tenantDemand is one tenant's fair number of arrivals on this server, and what arrived.
type tenantDemand struct {
	fair     float64 // requests over the span of arrivals
	arrivals window
	weight   float64 // mean worth of its requests, as a share of their class's, by what it sends beyond its quota
}

// demandCell is one class of one tenant.
type demandCell struct {
	work    window  // of the requests read lately
	utility float64 // value for the work
	rank    float64 // share of recent work that earns clearly less, 0 to 1
}

// queueTimeouts decides how long a request may wait for a run slot, by what its class and tenant earn for their work.
type queueTimeouts struct {
	tier             float64
	valuePerWork     bool
	overQuotaWeight  float64
	worstClassWeight float64
	classes          []classDemand
	tenants          []tenantDemand
	cells            []demandCell // by class, then tenant
	byUtility        []int        // cells
}

func newQueueTimeouts(d *Deployment, classes []class) queueTimeouts {
	q := queueTimeouts{
		tier:            float64(d.Tier),
		valuePerWork:    d.ValuePerWork,
		overQuotaWeight: d.OverQuotaWeight,
		// A level keeps the lowest classes away unread: what is read here doesn't show which class is worst.
		worstClassWeight: d.WorstClassWeight * boolToFloat(d.OverloadSignal != SignalLevel),
	}
	for k := range classes {
		q.classes = append(q.classes, classDemand{work: newWindow(runWindowBuckets, runWindowStep),
			workTime: classes[k].initialWorkTime, served: newWindow(servedBuckets, servedStep)})
	}
	for range d.Tenants {
		q.tenants = append(q.tenants, tenantDemand{arrivals: newWindow(demandBuckets, demandStep), weight: 1})
	}
	q.reconfigure(d)
	if len(q.tenants) == 0 {
		q.tenants = append(q.tenants, tenantDemand{arrivals: newWindow(1, Second), weight: 1, fair: math.Inf(1)})
	}
	q.cells = make([]demandCell, len(q.classes)*len(q.tenants))
	for k := range q.cells {
		q.cells[k].work, q.cells[k].rank = newWindow(demandBuckets, demandStep), 1
		q.byUtility = append(q.byUtility, k)
	}
	return q
}

// reconfigure takes the values and quotas that a policy version may change.
func (q *queueTimeouts) reconfigure(d *Deployment) {
	for k := range d.Handlers {
		q.classes[k].value = d.Handlers[k].Value
	}
	for k, tenant := range d.Tenants {
		t := &q.tenants[k]
		t.fair = tenant.Quota / float64(d.FleetSize) * float64(t.arrivals.span()) / float64(Second)
	}
}

// tenantOf gives the tenant of a request; one that isn't known counts as the first.
func (q *queueTimeouts) tenantOf(tenant int) int32 {
	if tenant > 0 && tenant < len(q.tenants) {
		return int32(tenant)
	}
	return 0
}

func (q *queueTimeouts) cell(r *record) *demandCell {
	return &q.cells[int(r.class)*len(q.tenants)+int(r.tenant)]
}

// requestRead counts a request as demand.
func (q *queueTimeouts) requestRead(now Time, r *record) {
	if !r.isRetry {
		// Retries of what was shed would make a tenant look beyond its quota.
		q.tenants[r.tenant].arrivals.add(now, 1, 0)
	}
	class := &q.classes[r.class]
	q.cell(r).work.add(now, class.workTime, 1)
	class.served.add(now, 0, 1)
}

// queuedRequest is what the queue timeout of one request depends on.
type queuedRequest struct {
	objective       Time
	expectedRunTime float64 // in Time; 0: not known
	rank            float64 // of its class and tenant, 0 to 1
	isRetry         bool
}

// timeout decides how long a request may wait for a run slot, from its arrival: what its objective leaves beside
// runTimeReserve expected runs, but at least an eighth of it and at most half. In tier n, the first being 0, the
// objective is divided by n+1, as the tiers before have used their part. While the queue is long, timeouts shrink with
// the square of the rank, down to a tenth for what earns least for its work, so that the cores go to what earns most;
// those of retries are a third. It may harm a brief burst that the cores would have caught up with.
func (q *queueTimeouts) timeout(r queuedRequest, queue *admissionQueue, cores float64) Time {
	objective := float64(r.objective) / (1 + q.tier)
	minTimeout, maxTimeout := objective*minTimeoutFraction, objective*maxTimeoutFraction
	timeout := min(max(objective-runTimeReserve*r.expectedRunTime, minTimeout), maxTimeout)
	if queue.long {
		if float64(queue.length) > max(cores/2, minQueuedToShorten) {
			timeout *= minRankFactor + (1-minRankFactor)*r.rank*r.rank
		}
		if r.isRetry {
			timeout /= retryTimeoutDivisor
		}
	}
	return Time(timeout)
}

// rank finds what each class of each tenant earns for its work, and how much of the recent work earns less.
func (q *queueTimeouts) rank(now Time) {
	q.weighTenants(now)
	q.weighCells(q.measureClasses(now))
	slices.SortStableFunc(q.byUtility, func(i, j int) int {
		return cmp.Compare(q.cells[i].utility, q.cells[j].utility)
	})
	q.rankCells(now)
}

// weighTenants decides what a request of each tenant counts for: in full up to its fair arrivals, and what is beyond
// them as the deployment says.
func (q *queueTimeouts) weighTenants(now Time) {
	for k := range q.tenants {
		t := &q.tenants[k]
		arrivals, _ := t.arrivals.sums(now)
		t.weight = 1
		if arrivals > t.fair {
			t.weight = q.overQuotaWeight + (1-q.overQuotaWeight)*t.fair/arrivals
		}
	}
}

// measureClasses gives the share served of the worst class, and the value asked for by all.
func (q *queueTimeouts) measureClasses(now Time) (worstFraction, valueDemanded float64) {
	worstFraction = 1.0
	for k := range q.classes {
		c := &q.classes[k]
		c.workTime = c.work.mean(now, c.workTime)
		_, requests := c.served.sums(now)
		c.servedFraction, c.valueDemanded = c.served.mean(now, 1), requests*c.value
		if q.valuePerWork {
			c.valueDemanded *= c.workTime
		}
		worstFraction, valueDemanded = min(worstFraction, c.servedFraction), valueDemanded+c.valueDemanded
	}
	return worstFraction, valueDemanded
}

// weighCells decides what each class of each tenant earns for its work. If the worst class counts apart, a request of
// it adds to that as well, by its part of the value asked for. It may harm the others where a class fails by itself.
func (q *queueTimeouts) weighCells(worstFraction, valueDemanded float64) {
	for k := range q.cells {
		cell, c := &q.cells[k], &q.classes[k/len(q.tenants)]
		closeness := max(0, 1-worstClassSlope*(c.servedFraction-worstFraction))
		extra := q.worstClassWeight * closeness * valueDemanded / max(c.valueDemanded, nearZero)
		cell.utility = c.value * q.tenants[k%len(q.tenants)].weight * (1 + extra)
		if !q.valuePerWork {
			cell.utility /= max(c.workTime, 1)
		}
	}
}

// rankCells gives each cell the share of work that earns clearly less, of all the work that earns less than the best.
// Cells that earn alike rank alike; where nothing earns less, all are at the top and no timeout is shortened.
func (q *queueTimeouts) rankCells(now Time) {
	work, lowerWork, utility := 0.0, 0.0, 0.0
	for _, k := range q.byUtility {
		cell := &q.cells[k]
		if cell.utility > minUtilityRatio*utility {
			lowerWork, utility = work, cell.utility
		}
		cell.rank = lowerWork
		cellWork, _ := cell.work.sums(now)
		work += cellWork
	}
	for k := range q.cells {
		cell := &q.cells[k]
		if cell.rank /= max(lowerWork, 1); lowerWork == 0 {
			cell.rank = 1
		}
	}
}

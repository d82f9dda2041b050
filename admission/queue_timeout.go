package admission

import (
	"cmp"
	"math"
	"slices"
)

const (
	// runTimeReserve is the multiple of the expected run time that the queue timeout leaves of the latency objective,
	// as about half of all runs take longer than expected. A larger value sheds requests that would have been in time, a
	// smaller one admits some that will be late.
	runTimeReserve = 1.3
	// maxTimeoutFraction is the maximum queue timeout as a fraction of the latency objective, so that a request that
	// starts has time to run and to make its calls.
	maxTimeoutFraction = 0.5
	// minTimeoutFraction is the minimum queue timeout as a fraction of the latency objective, even if runs take
	// longer than the objective: recovery can be observed only on admitted requests.
	minTimeoutFraction = 0.125
	// minRankFactor is the fraction of its queue timeout that a request of rank 0 keeps while the queue is long, so
	// that short gaps are used and its class is still measured.
	minRankFactor = 0.1
	// minQueuedToShorten is the number of queued requests that must be exceeded before queue timeouts are shortened
	// by rank; half the number of cores if that is more. With fewer, shedding could leave a core idle.
	minQueuedToShorten = 2.0
	// retryTimeoutDivisor shortens the queue timeout of retries and hedged requests, whose client has used part of
	// its time on the first attempt; they take places from requests with more time.
	retryTimeoutDivisor = 3.0
	// worstClassSlope is the slope at which the extra weight of the worst class falls with the lead of another class
	// in the fraction served: it is 0 at a lead of a tenth. Guards against classes that swap places at each ranking.
	worstClassSlope = 10.0
	// minUtilityRatio is the ratio of utilities above which one ranks above another; smaller differences are noise of
	// the measured work, which differs by a few percent from one ranking to the next.
	minUtilityRatio = 1.05

	// Window of arrivals: five seconds, dozens of requests at a server's rate, and shorter than a surge.
	demandBuckets = 10
	demandStep    = Second / 2
	// Window of the fraction served: eight seconds, since rare classes have few responses.
	servedBuckets = 8
	servedStep    = Second
)

// classDemand measures the requests of one class and the fraction that is served.
type classDemand struct {
	value          float64 // of a response, or of a unit of work
	work           window  // run times without calls, per run
	workTime       float64 // mean of work, in units of Time
	served         window  // requests served within the latency objective, per request read
	servedFraction float64
	valueDemanded  float64 // value of the recently read requests
}

// tenantDemand measures the arrivals of one tenant against its quota.
type tenantDemand struct {
	quotaArrivals float64 // arrivals within the quota, over the span of the window
	arrivals      window
	weight        float64 // mean weight of its requests, 0 to 1, reduced for arrivals beyond the quota
}

// demandCell is the demand of one class of one tenant.
type demandCell struct {
	work    window  // expected work of the recently read requests
	utility float64 // value per work
	rank    float64 // fraction of recent work with clearly lower utility, 0 to 1
}

// queueTimeouts computes how long a request may wait for a run slot, by the value per work of its class and tenant.
type queueTimeouts struct {
	tier             float64
	valuePerWork     bool
	overQuotaWeight  float64
	worstClassWeight float64
	classes          []classDemand
	tenants          []tenantDemand
	cells            []demandCell // by class, then tenant
	byUtility        []int        // indexes of cells
}

func newQueueTimeouts(d *Deployment, classes []class) queueTimeouts {
	q := queueTimeouts{
		tier:            float64(d.Tier),
		valuePerWork:    d.ValuePerWork,
		overQuotaWeight: d.OverQuotaWeight,
		// With a level signal the lowest classes are kept away by the callers, and the requests read here do not show
		// which class is worst.
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
		q.tenants = append(q.tenants, tenantDemand{arrivals: newWindow(1, Second), weight: 1,
			quotaArrivals: math.Inf(1)})
	}
	q.cells = make([]demandCell, len(q.classes)*len(q.tenants))
	for k := range q.cells {
		q.cells[k].work, q.cells[k].rank = newWindow(demandBuckets, demandStep), 1
		q.byUtility = append(q.byUtility, k)
	}
	return q
}

// reconfigure applies the values and quotas that a policy version may change.
func (q *queueTimeouts) reconfigure(d *Deployment) {
	for k := range d.Handlers {
		q.classes[k].value = d.Handlers[k].Value
	}
	for k, tenant := range d.Tenants {
		t := &q.tenants[k]
		t.quotaArrivals = tenant.Quota / float64(d.FleetSize) * float64(t.arrivals.span()) / float64(Second)
	}
}

// tenantOf returns the index of a tenant. Unknown tenants count as the first.
func (q *queueTimeouts) tenantOf(tenant int) int32 {
	if tenant > 0 && tenant < len(q.tenants) {
		return int32(tenant)
	}
	return 0
}

func (q *queueTimeouts) cell(r *requestRecord) *demandCell {
	return &q.cells[int(r.class)*len(q.tenants)+int(r.tenant)]
}

// requestRead adds a request to the demand of its class and tenant.
func (q *queueTimeouts) requestRead(now Time, r *requestRecord) {
	if !r.isRetry {
		// Retries of shed requests would make a tenant appear to exceed its quota.
		q.tenants[r.tenant].arrivals.add(now, 1, 0)
	}
	class := &q.classes[r.class]
	q.cell(r).work.add(now, class.workTime, 1)
	class.served.add(now, 0, 1)
}

// queuedRequest is the input of the queue timeout of one request.
type queuedRequest struct {
	objective       Time
	expectedRunTime float64 // in units of Time; 0: not known
	rank            float64 // of its class and tenant, 0 to 1
	isRetry         bool
}

// timeout returns the queue timeout of a request, counted from its arrival: the latency objective less the reserve
// for its run, between minTimeoutFraction and maxTimeoutFraction of the objective. In tier n, counted from 0, the
// objective is divided by n+1, since the previous tiers have used their parts. While the queue is long, timeouts
// shrink with the square of the rank, and those of retries to a third.
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

// rank computes the utility and the rank of each class of each tenant.
func (q *queueTimeouts) rank(now Time) {
	q.weighTenants(now)
	q.weighCells(q.measureClasses(now))
	slices.SortStableFunc(q.byUtility, func(i, j int) int {
		return cmp.Compare(q.cells[i].utility, q.cells[j].utility)
	})
	q.rankCells(now)
}

// weighTenants sets the weight of each tenant: 1 up to its quota, and the over-quota weight for the arrivals beyond.
func (q *queueTimeouts) weighTenants(now Time) {
	for k := range q.tenants {
		t := &q.tenants[k]
		arrivals, _ := t.arrivals.sums(now)
		t.weight = 1
		if arrivals > t.quotaArrivals {
			t.weight = q.overQuotaWeight + (1-q.overQuotaWeight)*t.quotaArrivals/arrivals
		}
	}
}

// measureClasses returns the fraction served of the worst class and the value demanded of all classes.
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

// weighCells computes the utility of each cell. Classes close to the worst fraction served gain extra utility, in
// inverse proportion to their share of the value demanded. It takes slots from the others also where a class fails for
// a reason of its own.
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

// rankCells sets the rank of each cell: the recent work of cells with clearly lower utility, relative to that of the
// best cell. Cells of similar utility rank alike. If none is lower, all rank 1 and no timeout is shortened.
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

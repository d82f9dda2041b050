package admission

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

const millisecond = Second / 1000

// RetrySafety says what a second run of a request may do.
type RetrySafety uint8

// Values of RetrySafety.
const (
	Retryable        RetrySafety = iota // a second run does no harm
	IdempotencyKeyed                    // a second run would do harm; its key shows that it is one
	NonRetryable                        // a second run would do harm and can't be told
)

// Dependency says what the requests of a server call while they run.
type Dependency uint8

// Values of Dependency.
const (
	DependencyNone     Dependency = iota
	DependencyShared              // a service that the whole fleet shares, within an allowance
	DependencyNextTier            // the next tier of servers, which rejects by itself
)

// Cancellation says how running work can be stopped.
type Cancellation uint8

// Values of Cancellation.
const (
	CancelNever Cancellation = iota
	CancelDrop               // its result is dropped
	CancelPause              // it leaves the cores
)

// OverloadSignal says what the callers make of the value that goes with every response.
type OverloadSignal uint8

// Values of OverloadSignal.
const (
	SignalNone   OverloadSignal = iota
	SignalLevel                 // the share of traffic to keep away, 0 to 1
	SignalCredit                // how many requests each caller may have in flight
	SignalWeight                // this server's weight in load balancing, 0 to 1
)

// Outcome is how a run or a call ended.
type Outcome uint8

// Values of Outcome.
const (
	Succeeded   Outcome = iota
	Failed              // it was executed, without a good result
	NotExecuted         // proven not to have been executed
	Unknown             // nobody knows whether it was executed
	Stopped             // it was stopped on the controller's word
	Superseded          // another attempt made it needless
)

// Handler is one class of requests.
type Handler struct {
	LatencyObjective  Time    // responses within it earn the full value
	Timeout           Time    // the client's, over all attempts
	Value             float64 // of one response, or of one unit of work, in units of the deployment
	LateValue         float64 // share of Value earned past the objective
	DegradedValue     float64 // share of Value earned when a call is skipped; 0 if it can't be
	RetrySafety       RetrySafety
	IdempotencyWindow Time // a key may come again for so long
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet
}

// Deployment is what a server is told at its start.
type Deployment struct {
	Start         Time
	Handlers      []Handler
	Tenants       []Tenant
	FleetSize     int  // servers
	Callers       int  // senders of requests that keep connections
	Tier          int  // place among the tiers, the first being 0
	RoundInterval Time // rounds come no more often

	ValuePerWork     bool    // value is earned by each unit of work, not by each response
	OverQuotaWeight  float64 // worth of what a tenant sends beyond its quota, as a share
	WorstClassWeight float64 // what the share served of the worst class counts for, over that of all

	Cores           int
	ColdStart       bool
	ColdSpeed       float64 // share of its speed at which a cold server starts
	WarmUpTime      Time    // from the start until full speed
	MaxRunsPerCore  float64 // runs on the cores for each core that a warm server survives
	MemoryKB        float64
	RunMemoryFactor float64 // memory of a running request over that of a waiting one
	TableEntryKB    float64 // memory of an entry of the idempotency table

	Dependency        Dependency
	CallAllowance     float64 // allowed mean number of calls in flight to a shared dependency
	CallAveragingTime Time    // over which that mean is taken
	CancellationDelay Time    // an abandoned call stays in flight for so long

	Cancellation      Cancellation
	ResponseReuseTime Time // the response of a retryable request may serve others for so long
	DrainGrace        Time // what arrived within it after the notice to drain is still admitted
	OverloadSignal    OverloadSignal
	MaxRetryAfter     Time // longest Retry-After that is passed on; 0: none is
	IdleTimeout       Time // of connections, while nothing shortens it

	Pools Pools // nil: run slots go to whoever has waited longest
}

// Pools sets run slots apart by class. It is told all that touches a slot and asked before one is given. Its calls come
// from within Decide.
type Pools interface {
	Enqueued(now Time, q *Request)           // joined the admission queue
	Dequeued(now Time, id uint32, shed bool) // left it without a run
	Rejected(now Time, handler int)          // was shed before it joined
	CanStart(id uint32) bool                 // whether a queued request may take a slot now
	Started(now Time, id uint32, waited Time)
	SetAtCall(now Time, id uint32, atCall bool) // the run came to a call, or went on after it
	Ended(now Time, id uint32, done, inTime bool)
	Tick(now Time, slots int)    // slots: how many runs there may be now
	QueueDelay(handler int) Time // how long the last one of a class to start had waited; 0 while it has no limit
	TakeChanges() []string       // changes since the last call, for the log
}

// Request is one attempt of a client's request, just read.
type Request struct {
	ID           uint32
	Handler      int
	Tenant       int
	ArrivedAt    Time // when it reached the machine
	Deadline     Time // when the client gives up; 0: not stated
	ExpectedWork Time // 0: not stated
	SizeKB       float64
	IsRetry      bool   // a retry or a hedged request
	Caller       uint32 // who sent it, of those that keep connections
	PreviousID   uint32 // the known request with the same key; 0: none
}

// RunEnd is the end of a run.
type RunEnd struct {
	ID      uint32
	Outcome Outcome
	Elapsed Time // since its start, calls included
}

// CallEnd is the end of a call to a service below.
type CallEnd struct {
	ID      uint32 // of the request that made it
	Outcome Outcome
	Elapsed Time
}

// Gauges are the server's own readings, which come with a timer.
type Gauges struct {
	Runnable        float64 // runs that want a core, whether they have one or not
	OpenConnections float64
}

// Round is all that came in for one server at one moment.
type Round struct {
	Now          Time
	Arrived      []Request
	CallEnds     []CallEnd
	CallRequests []uint32 // runs that came to a call
	RunEnds      []RunEnd
	Disconnected []uint32 // requests whose client is known to have left
	TimerFired   bool
	HasGauges    bool
	Gauges       Gauges
	Drain        bool // the notice to drain
	KillAt       Time // when the process is killed after it
}

// Writer takes the decisions, in the order they are made.
type Writer interface {
	Run(id uint32)  // gives a queued request its run slot; once for each id
	Stop(id uint32) // stops a run whose result nobody waits for; it is not run again
	// Shed rejects a request that never ran. One with noRetry is not to be tried elsewhere; retryAfter is how long its
	// caller should stay away.
	Shed(id uint32, reason Reason, noRetry bool, retryAfter Time)
	// Fail answers a request that ran, or waits for another's run, with an error.
	Fail(id uint32, reason Reason)
	// Call makes the call that the run stands at. A CallEnd tells its end, soon after the deadline at the latest.
	Call(id uint32, deadline Time)
	SkipCall(id uint32) // the run goes on without its call
	// Remember has a later request with the same key told as its repeat, by PreviousID, for so long.
	Remember(id uint32, span Time)
	Forget(id uint32) // ends that
	// ReuseResult answers a request with its original's result, now or when that is there. A RunEnd of the request
	// tells whether there was one.
	ReuseResult(id uint32)
	Health(ready bool)            // what health checks and service discovery are told
	SignalOverload(value float64) // goes with every response from now on
	SetIdleTimeout(after Time)    // of clients' connections
	WakeUp(at Time)               // a round with TimerFired is due then
	Log(line string)
}

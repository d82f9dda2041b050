package admission

// Time is a clock reading or a duration, in units of 0.1 ms.
type Time int64

// Second is one second.
const Second Time = 10000

const millisecond = Second / 1000

// RetrySafety states whether a request may run more than once.
type RetrySafety uint8

// Values of RetrySafety.
const (
	Retryable        RetrySafety = iota // may run more than once
	IdempotencyKeyed                    // must run at most once; retries are detected by their key
	NonRetryable                        // must run at most once; retries cannot be detected
)

// Dependency is the kind of service that the requests of a server call while they run.
type Dependency uint8

// Values of Dependency.
const (
	DependencyNone     Dependency = iota
	DependencyShared              // shared by the whole fleet, with a call allowance
	DependencyNextTier            // the next tier of servers, which rejects calls under load
)

// Cancellation states how running work can be stopped.
type Cancellation uint8

// Values of Cancellation.
const (
	CancelNever Cancellation = iota
	CancelDrop               // the result is dropped
	CancelPause              // the run releases its core, never resumes and keeps its slot
)

// OverloadSignal states how callers interpret the overload value that is sent with every response.
type OverloadSignal uint8

// Values of OverloadSignal.
const (
	SignalNone   OverloadSignal = iota
	SignalLevel                 // fraction of traffic to keep away, 0 to 1
	SignalCredit                // number of requests that each caller may have in flight
	SignalWeight                // load balancing weight of this server, 0 to 1
)

// Outcome is the way in which a run or a call ended.
type Outcome uint8

// Values of Outcome.
const (
	Succeeded   Outcome = iota
	Failed              // executed without a good result
	NotExecuted         // proven not to have been executed
	Unknown             // not known whether executed
	Stopped             // stopped by the controller
	Superseded          // made unnecessary by another attempt
)

// Handler describes one class of requests. A class is identified by the index of its handler.
type Handler struct {
	LatencyObjective  Time    // responses within it have the full value
	Timeout           Time    // of the client, over all attempts
	Value             float64 // of a response, or of a unit of work if ValuePerWork
	LateValue         float64 // value of a response past the objective, as a fraction of Value
	DegradedValue     float64 // value of a response without its call, as a fraction of Value; 0 if the call is required
	RetrySafety       RetrySafety
	IdempotencyWindow Time // time for which a key may be repeated
}

// Tenant is a customer that shares the fleet.
type Tenant struct {
	Quota float64 // requests per second over the whole fleet
}

// Deployment is the configuration of a server.
type Deployment struct {
	Start         Time
	Handlers      []Handler
	Tenants       []Tenant
	FleetSize     int  // servers
	Callers       int  // clients that keep connections open
	Tier          int  // position among the tiers, starting at 0
	RoundInterval Time // minimum time between rounds

	ValuePerWork     bool    // value counts per unit of work instead of per response
	OverQuotaWeight  float64 // weight of requests beyond a tenant's quota, 0 to 1
	WorstClassWeight float64 // weight of the fraction served of the worst class, relative to that of all

	Cores           int
	ColdStart       bool
	ColdSpeed       float64 // initial speed of a cold server as a fraction of full speed
	WarmUpTime      Time    // from the start to full speed
	MaxRunsPerCore  float64 // runs that a core of a warm server survives
	MemoryKB        float64
	RunMemoryFactor float64 // memory of a running request relative to a waiting one
	TableEntryKB    float64 // memory of an entry of the idempotency table

	Dependency        Dependency
	CallAllowance     float64 // maximum average number of calls in flight to a shared dependency
	CallAveragingTime Time    // time over which that average is taken
	CancellationDelay Time    // time for which an abandoned call stays in flight

	Cancellation      Cancellation
	ResponseReuseTime Time // time for which the response of a retryable request may be reused
	DrainGrace        Time // requests that arrive this soon after the notice to drain are admitted
	OverloadSignal    OverloadSignal
	MaxRetryAfter     Time // maximum Retry-After; 0: none is sent
	IdleTimeout       Time // of client connections, unless shortened

	Pools Pools // nil: run slots are given in arrival order
}

// Pools divides run slots among classes. It is notified of each change to queue and slots, and consulted before a
// slot is given. Its methods are called from within Decide.
type Pools interface {
	Enqueued(now Time, q *Request)           // joined the admission queue
	Dequeued(now Time, id uint32, shed bool) // left the queue without a run
	Rejected(now Time, handler int)          // was shed without being queued
	CanStart(id uint32) bool                 // reports whether a queued request may take a slot now
	Started(now Time, id uint32, queueDelay Time)
	SetAtCall(now Time, id uint32, atCall bool) // the run is at a call, or has resumed after it
	Ended(now Time, id uint32, succeeded, inTime bool)
	Tick(now Time, slots int)    // slots: number of runs allowed at present
	QueueDelay(handler int) Time // queue delay of the class's last request to start; 0 while it is not limited
	TakeChanges() []string       // changes since the last call, for the log
}

// Request is one attempt of a client's request that was just read.
type Request struct {
	ID           uint32
	Handler      int
	Tenant       int
	ArrivedAt    Time // when it reached the machine
	Deadline     Time // when the client's timeout ends; 0: not stated
	ExpectedWork Time // 0: not stated
	SizeKB       float64
	IsRetry      bool   // a retry or a hedged request
	Caller       uint32 // sender, among those that keep connections open
	PreviousID   uint32 // known request with the same key; 0: none
}

// RunEnd is the end of a run.
type RunEnd struct {
	ID      uint32
	Outcome Outcome
	Elapsed Time // since its start, including calls
}

// CallEnd is the end of a call to a dependency.
type CallEnd struct {
	ID      uint32 // of the request that made it
	Outcome Outcome
	Elapsed Time
}

// Gauges are measurements of the server that come with a timer.
type Gauges struct {
	Runnable        float64 // runs that want a core, including those on one
	OpenConnections float64
}

// Round is the input for a server at one moment.
type Round struct {
	Now          Time
	Arrived      []Request
	CallEnds     []CallEnd
	CallRequests []uint32 // runs that await a call
	RunEnds      []RunEnd
	Disconnected []uint32 // requests whose client has disconnected
	TimerFired   bool
	HasGauges    bool
	Gauges       Gauges
	Drain        bool // notice to drain
	KillAt       Time // when the process will be killed, if Drain
}

// Writer receives the decisions in the order in which they are made.
type Writer interface {
	Run(id uint32)  // starts the run of a queued request; once per id
	Stop(id uint32) // stops a run whose result is no longer needed; it is not started again
	// Shed rejects a request that never ran. noRetry: it should not be retried at another server. retryAfter: how
	// long its caller should wait before a retry.
	Shed(id uint32, reason Reason, noRetry bool, retryAfter Time)
	// Fail answers a request that ran, or awaits the result of another's run, with an error.
	Fail(id uint32, reason Reason)
	// Call starts the call that a run awaits. A CallEnd must report its end, at the latest soon after the deadline.
	Call(id uint32, deadline Time)
	SkipCall(id uint32) // resumes a run without its call
	// Remember adds an entry to the idempotency table or changes its lifetime. Later requests with the same key get
	// the id as their PreviousID.
	Remember(id uint32, lifetime Time)
	Forget(id uint32) // removes the entry
	// ReuseResult answers a request with the result of its original once that is available. A RunEnd of the request
	// must report whether there was a result.
	ReuseResult(id uint32)
	Health(ready bool)            // state for health checks and service discovery
	SignalOverload(value float64) // value sent with every response from now on
	SetIdleTimeout(after Time)    // of client connections
	WakeUp(at Time)               // requests a round with TimerFired at this time
	Log(line string)
}

// Package admission decides what one server takes, runs and turns away.
package admission

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// RetrySafety says what a second run of a handler's request may do.
type RetrySafety uint8

const (
	Retryable RetrySafety = iota
	IdempotencyKeyed
	NonRetryable
)

// Dependency says what the requests of a server call while they run.
type Dependency uint8

const (
	DependencyNone Dependency = iota
	DependencyShared
	DependencyNextTier
)

// Cancellation says how running work can be stopped.
type Cancellation uint8

const (
	CancelNever Cancellation = iota
	CancelDrop
	CancelPause
)

// OverloadSignal says what the callers make of the value that goes with every answer.
type OverloadSignal uint8

const (
	SignalNone OverloadSignal = iota
	SignalLevel
	SignalCredit
	SignalWeight
)

// Outcome is how a run or a call concluded.
type Outcome uint8

const (
	Succeeded Outcome = iota
	Failed
	NotExecuted // proven not to have run
	Unknown
	Stopped
	Superseded
)

// Handler is one kind of request.
type Handler struct {
	LatencyObjective  Time // answers within it earn the full value
	Timeout           Time // the caller's, over all tries
	Value             float64
	LateValue         float64 // share of Value earned past the target
	DegradedValue     float64 // share of Value earned when a call is skipped; 0 if it can't be
	RetrySafety       RetrySafety
	IdempotencyWindow Time // a uniqued request may come again for so long
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet
}

// Deployment is what a server is told at its start.
type Deployment struct {
	Start            Time
	Handlers         []Handler
	Tenants          []Tenant
	FleetSize        int
	Callers          int
	Tier             int  // place among the tiers, the first being 0
	RoundInterval    Time // rounds come no more often
	ValuePerWork     bool // value is counted for each unit of work
	OverQuotaWeight  float64
	WorstClassWeight float64 // what the worst handler's share counts for, over that of the whole

	Cores           int
	ColdStart       bool
	ColdSpeed       float64
	WarmUpTime      Time
	MaxRunsPerCore  float64 // runs on the cores for each core that a warm server survives
	MemoryKB        float64
	RunMemoryFactor float64
	TableEntryKB    float64

	Dependency        Dependency
	CallAllowance     float64 // allowed mean number of calls in the hands of what is shared
	CallAveragingTime Time
	CancellationDelay Time

	Cancellation      Cancellation
	ResponseReuseTime Time // a read's answer may serve others for so long
	DrainGrace        Time
	OverloadSignal    OverloadSignal
	MaxRetryAfter     Time // longest time to come back that is passed on; 0: none is
	IdleTimeout       Time

	Pools Pools // nil: slots go to whoever has waited longest
}

// Pools sets run slots apart by handler. It is told all that touches a slot and asked before one is given.
type Pools interface {
	Enqueued(now Time, q *Request)           // joined the hold
	Dequeued(now Time, id uint32, shed bool) // left it without a run
	Rejected(now Time, handler int)          // was shed before it joined
	CanStart(id uint32) bool                 // take a slot now
	Started(now Time, id uint32, waited Time)
	SetAtCall(now Time, id uint32, away bool) // stands at a call, or goes on
	Ended(now Time, id uint32, done, inTime bool)
	Tick(now Time, slots int)
	QueueDelay(handler int) Time // how long the last one of a handler to start had waited
	TakeChanges() []string       // changes since it was last asked, for the log
}

// Request is one try of a caller's request, just read.
type Request struct {
	ID           uint32
	Handler      int
	Tenant       int
	ArrivedAt    Time // when it reached the machine
	Deadline     Time // 0: not stated
	ExpectedWork Time // expected work; 0: not stated
	SizeKB       float64
	IsRetry      bool   // a further try or a second copy
	Caller       uint32 // who sent it, of those that keep connections
	PreviousID   uint32
}

// RunEnd is the end of a run; Return is the end of a call.
type RunEnd struct {
	ID      uint32
	Outcome Outcome
	Elapsed Time
}

type CallEnd struct {
	ID      uint32
	Outcome Outcome
	Elapsed Time
}

// Gauges are the server's own readings, which come with a wake-up.
type Gauges struct {
	Runnable        float64
	OpenConnections float64
}

// Round is all that came in for one instance at one moment.
type Round struct {
	Now          Time
	Arrived      []Request
	CallEnds     []CallEnd
	CallRequests []uint32
	RunEnds      []RunEnd
	Disconnected []uint32
	TimerFired   bool
	HasGauges    bool
	Gauges       Gauges
	Drain        bool
	KillAt       Time
}

// Writer takes the decisions, in the order they are made.
type Writer interface {
	Run(id uint32)
	Stop(id uint32) // or drop, where running work can only be dropped
	Shed(id uint32, last bool, comeBack Time)
	Fail(id uint32)
	Call(id uint32, until Time)
	SkipCall(id uint32)
	Remember(id uint32, span Time)
	Forget(id uint32)
	ReuseResult(id uint32)
	Health(good bool)
	SignalOverload(value float64)
	SetIdleTimeout(after Time)
	WakeUp(at Time)
	Log(line string)
}

// Package admission decides what one server takes, runs and turns away.
package admission

// Time is a clock reading or a span, in tenths of a millisecond.
type Time int64

// Second is one second of Time.
const Second Time = 10000

// Repeat says what a second run of a handler's request may do.
type Repeat uint8

const (
	Retryable Repeat = iota
	IdempotencyKeyed
	NonRetryable
)

// Below says what the requests of a server call while they run.
type Below uint8

const (
	BelowNone Below = iota
	BelowShared
	BelowTier
)

// Stop says how running work can be stopped.
type Stop uint8

const (
	StopNever Stop = iota
	StopDrop
	StopPause
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
	OK Outcome = iota
	Errored
	Unrun // proven not to have run
	Unclear
	Stopped
	Moot
)

// Handler is one kind of request.
type Handler struct {
	Target    Time // answers within it earn the full value
	Timeout   Time // the caller's, over all tries
	Value     float64
	LateValue float64 // share of Value earned past the target
	LeanValue float64 // share of Value earned when a call is skipped; 0 if it can't be
	Repeat    Repeat
	Window    Time // a uniqued request may come again for so long
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet
}

// Deployment is what a server is told at its start.
type Deployment struct {
	Start    Time
	Handlers []Handler
	Tenants  []Tenant
	Fleet    int
	Senders  int
	Stage    int  // place among the tiers, the first being 0
	Granule  Time // rounds come no more often
	ByWork   bool // value is counted for each unit of work
	Beyond   float64
	Worst    float64 // what the worst handler's share counts for, over that of the whole

	Cores     int
	Cold      bool
	ColdSpeed float64
	WarmAfter Time
	Fall      float64 // runs on the cores for each core that a warm server survives
	MemKB     float64
	RunFactor float64
	KeyKB     float64

	Below    Below
	CallsOut float64 // allowed mean number of calls in the hands of what is shared
	Span     Time
	Linger   Time

	Stop           Stop
	Fresh          Time // a read's answer may serve others for so long
	DrainGrace     Time
	OverloadSignal OverloadSignal
	MaxPause       Time // longest time to come back that is passed on; 0: none is
	Idle           Time

	Pools Pools // nil: slots go to whoever has waited longest
}

// Pools sets run slots apart by handler. It is told all that touches a slot and asked before one is given.
type Pools interface {
	Arrived(now Time, q *Request)        // joined the hold
	Left(now Time, id uint32, shed bool) // left it without a run
	Refused(now Time, handler int)       // was shed before it joined
	May(id uint32) bool                  // take a slot now
	Started(now Time, id uint32, waited Time)
	Away(now Time, id uint32, away bool) // stands at a call, or goes on
	Ended(now Time, id uint32, done, inTime bool)
	Tick(now Time, slots int)
	Lap(handler int) Time // how long the last one of a handler to start had waited
	Told() []string       // changes since it was last asked, for the log
}

// Request is one try of a caller's request, just read.
type Request struct {
	ID      uint32
	Handler int
	Tenant  int
	Came    Time // when it reached the machine
	Due     Time // 0: not stated
	Hint    Time // expected work; 0: not stated
	KB      float64
	Again   bool   // a further try or a second copy
	Caller  uint32 // who sent it, of those that keep connections
	Prior   uint32
}

// End is the end of a run; Return is the end of a call.
type End struct {
	ID  uint32
	How Outcome
	Ran Time
}

type Return struct {
	ID   uint32
	How  Outcome
	Took Time
}

// Gauges are the server's own readings, which come with a wake-up.
type Gauges struct {
	OnCores float64
	Links   float64
}

// Round is all that came in for one instance at one moment.
type Round struct {
	Now      Time
	Arrived  []Request
	Returned []Return
	Needs    []uint32
	Ended    []End
	Gone     []uint32
	Woke     bool
	Gauged   bool
	Gauges   Gauges
	Drain    bool
	Kill     Time
}

// Writer takes the decisions, in the order they are made.
type Writer interface {
	Run(id uint32)
	Pause(id uint32) // or drop, where running work can only be dropped
	Shed(id uint32, last bool, comeBack Time)
	Fail(id uint32)
	Call(id uint32, until Time)
	Skip(id uint32)
	Remember(id uint32, span Time)
	Forget(id uint32)
	Reuse(id uint32)
	Health(good bool)
	Say(value float64)
	IdleClose(after Time)
	Wake(at Time)
	Log(line string)
}

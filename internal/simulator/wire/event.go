package wire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Kind says what an event tells.
type Kind uint8

// Kinds of events, by their codes on the wire.
const (
	InstanceStarted  Kind = 10
	RequestRead      Kind = 20
	RunEnded         Kind = 30
	CallNeeded       Kind = 40
	CallEnded        Kind = 50
	DrainNotice      Kind = 60
	CallerGone       Kind = 70
	WakeUp           Kind = 80
	InstanceCrashed  Kind = 90
	InstanceSelected Kind = 100
)

// Where an event's fields begin.
const (
	offsetID = 1 // of a request, or of an instance

	offsetSettings = 9

	offsetRequestClass     = 5
	offsetRequestTenant    = 7
	offsetRequestDeadline  = 19
	offsetRequestWork      = 27
	offsetRequestFootprint = 31
	offsetRequestFlags     = 39
	offsetRequestCaller    = 40
	offsetRequestBacklog   = 44
	offsetRequestPrevious  = 48

	offsetRunElapsed = 5
	offsetRunStatus  = 9

	offsetCallStatus  = 5
	offsetCallElapsed = 7

	offsetKillTime = 1

	offsetGaugeCount = 9
	offsetGauges     = 10
	gaugeBytes       = 4
	maxGauges        = 4
)

// Bits of a request's flags.
const (
	flagHasExpectedWork = 1
	flagIsRetry         = 2
)

// Event is one record of a batch. Its methods read the fields of its kind; what a method of another kind's gives has no
// meaning.
type Event []byte

// Kind says what the event tells.
func (e Event) Kind() Kind { return Kind(e[0]) }

// Instance is the number of the instance that the next events are about, of InstanceSelected.
func (e Event) Instance() uint32 { return e.uint32(offsetID) }

// RequestID is the request that the event is about.
func (e Event) RequestID() uint32 { return e.uint32(offsetID) }

// Request is what a RequestRead event tells.
type Request struct {
	ID              uint32
	Class           int
	Tenant          int
	DeadlineUS      uint64  // by the simulator's clock; 0 where it isn't stated
	ExpectedWorkUS  uint32  // expected, on a standard core; valid with HasExpectedWork
	HasExpectedWork bool    //
	FootprintKB     float64 // memory occupied while it is held
	IsRetry         bool
	Caller          uint32
	BacklogUS       uint32 // since it reached the machine
	Previous        uint32 // the remembered request that it repeats, or 0
}

// Request decodes a RequestRead event.
func (e Event) Request() Request {
	flags := e[offsetRequestFlags]
	return Request{
		ID:              e.uint32(offsetID),
		Class:           e.uint16(offsetRequestClass),
		Tenant:          int(e.uint32(offsetRequestTenant)),
		DeadlineUS:      e.uint64(offsetRequestDeadline),
		ExpectedWorkUS:  e.uint32(offsetRequestWork),
		HasExpectedWork: flags&flagHasExpectedWork != 0,
		FootprintKB:     e.float32(offsetRequestFootprint),
		IsRetry:         flags&flagIsRetry != 0,
		Caller:          e.uint32(offsetRequestCaller),
		BacklogUS:       e.uint32(offsetRequestBacklog),
		Previous:        e.uint32(offsetRequestPrevious),
	}
}

// Result is how a run or a call ended.
type Result struct {
	ID        uint32 // of its request
	Status    int
	ElapsedUS uint32
}

// RunResult decodes a RunEnded event.
func (e Event) RunResult() Result {
	return Result{ID: e.uint32(offsetID), Status: e.uint16(offsetRunStatus), ElapsedUS: e.uint32(offsetRunElapsed)}
}

// CallResult decodes a CallEnded event.
func (e Event) CallResult() Result {
	return Result{ID: e.uint32(offsetID), Status: e.uint16(offsetCallStatus), ElapsedUS: e.uint32(offsetCallElapsed)}
}

// KillAtUS is when the instance is stopped, by the simulator's clock, of DrainNotice.
func (e Event) KillAtUS() uint64 { return e.uint64(offsetKillTime) }

// Gauges appends what the gauges read to read, in the order in which the settings name them; none in most WakeUp
// events.
func (e Event) Gauges(read []float64) []float64 {
	for k := range min(int(e[offsetGaugeCount]), maxGauges) {
		read = append(read, e.float32(offsetGauges+gaugeBytes*k))
	}
	return read
}

// Settings is the start-up text of an InstanceStarted event, a view into the batch.
func (b *Batch) Settings(e Event) ([]byte, error) { return b.text(e, offsetSettings) }

// text is the part of the tail that the event names at an offset.
func (b *Batch) text(e Event, at int) ([]byte, error) {
	offset, n := uint64(e.uint32(at)), uint64(e.uint32(at+4))
	if offset+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d out of range, expected at most %d", offset, n, len(b.tail))
	}
	return b.tail[offset : offset+n], nil
}

func (e Event) uint16(at int) int    { return int(binary.BigEndian.Uint16(e[at:])) }
func (e Event) uint32(at int) uint32 { return binary.BigEndian.Uint32(e[at:]) }
func (e Event) uint64(at int) uint64 { return binary.BigEndian.Uint64(e[at:]) }

func (e Event) float32(at int) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(e[at:])))
}

package wire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Kind is the kind of an event: its code on the wire.
type Kind uint8

// Kinds of events.
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

// Offsets of an event's fields, in bytes. The first byte is the kind.
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

// Event is one record of a batch. Each method decodes a field of certain kinds of events; for other kinds its result
// has no meaning.
type Event []byte

// Kind returns the event's kind.
func (e Event) Kind() Kind { return Kind(e[0]) }

// Instance returns the number of the instance to which the next events belong, of an InstanceSelected event.
func (e Event) Instance() uint32 { return e.uint32(offsetID) }

// RequestID returns the id of the event's request.
func (e Event) RequestID() uint32 { return e.uint32(offsetID) }

// Request is the content of a RequestRead event.
type Request struct {
	ID              uint32
	Class           int
	Tenant          int
	DeadlineUS      uint64 // by the simulator's clock; 0 if absent
	ExpectedWorkUS  uint32 // on a standard core; valid if HasExpectedWork
	HasExpectedWork bool
	FootprintKB     float64 // memory held for the request, KiB
	IsRetry         bool
	Caller          uint32
	BacklogUS       uint32 // time since the request reached the machine
	Previous        uint32 // the earlier request that this one retries, or 0
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

// Result is the end of a run or a call.
type Result struct {
	ID        uint32 // of the request
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

// KillAtUS returns the time at which the instance is killed, by the simulator's clock, of a DrainNotice event.
func (e Event) KillAtUS() uint64 { return e.uint64(offsetKillTime) }

// Gauges appends the gauges of a WakeUp event to values, in the order of their names in the settings. Most WakeUp
// events have none.
func (e Event) Gauges(values []float64) []float64 {
	for i := range min(int(e[offsetGaugeCount]), maxGauges) {
		values = append(values, e.float32(offsetGauges+gaugeBytes*i))
	}
	return values
}

// Settings returns the start-up settings of an InstanceStarted event, a view into the batch.
func (b *Batch) Settings(e Event) ([]byte, error) { return b.text(e, offsetSettings) }

// text returns the part of the tail whose start and length are in the event at offset.
func (b *Batch) text(e Event, offset int) ([]byte, error) {
	start, n := uint64(e.uint32(offset)), uint64(e.uint32(offset+4))
	if start+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d out of range, expected at most %d", start, n, len(b.tail))
	}
	return b.tail[start : start+n], nil
}

func (e Event) uint16(offset int) int    { return int(binary.BigEndian.Uint16(e[offset:])) }
func (e Event) uint32(offset int) uint32 { return binary.BigEndian.Uint32(e[offset:]) }
func (e Event) uint64(offset int) uint64 { return binary.BigEndian.Uint64(e[offset:]) }

func (e Event) float32(offset int) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(e[offset:])))
}

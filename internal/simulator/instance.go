package simulator

import (
	"fmt"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/simulator/wire"
)

// instance is one simulated server: its controller and the round that is being filled. It exists from InstanceStarted
// to InstanceCrashed, or until an instance with the same number is started.
type instance struct {
	number     uint32
	controller *admission.Controller
	round      admission.Round
	settings   *settings.Startup
	pending    bool // in Adapter.pending
	failed     bool // its controller panicked and decides nothing more
}

// startInstance creates an instance with the start-up settings in the event.
func startInstance(b *wire.Batch, e wire.Event, number uint32, now admission.Time) (*instance, error) {
	text, err := b.Settings(e)
	if err != nil {
		return nil, err
	}
	p, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	p.Start = now
	return &instance{number: number, controller: admission.New(p.Deployment), settings: p}, nil
}

// Statuses of runs and calls on the simulator's wire.
const (
	statusOK                = 0
	statusCancelled         = 1
	statusTimeout           = 4
	statusFull              = 8
	statusSuperseded        = 9
	statusReset             = 10
	statusError             = 13
	statusConnectionRefused = 14
)

var outcomeOfStatus = map[int]admission.Outcome{
	statusOK:                admission.Succeeded,
	statusError:             admission.Failed,
	statusFull:              admission.NotExecuted,
	statusConnectionRefused: admission.NotExecuted,
	statusTimeout:           admission.Unknown,
	statusReset:             admission.Unknown,
	statusCancelled:         admission.Stopped,
	statusSuperseded:        admission.Superseded,
}

func outcomeOf(status int) (admission.Outcome, error) {
	outcome, ok := outcomeOfStatus[status]
	if !ok {
		return outcome, fmt.Errorf("status %d, expected a known status of a run or call", status)
	}
	return outcome, nil
}

// ticks converts the simulator's microseconds to admission.Time, rounded down.
func ticks[T uint32 | uint64](us T) admission.Time { return admission.Time(us / usPerTick) }

// addEvent adds one event to the instance's round.
func (in *instance) addEvent(e wire.Event, nowUS uint64) error {
	r := &in.round
	switch e.Kind() {
	case wire.RequestRead:
		return in.addRequest(e.Request(), nowUS)
	case wire.RunEnded:
		result := e.RunResult()
		outcome, err := outcomeOf(result.Status)
		r.RunEnds = append(r.RunEnds, admission.RunEnd{ID: result.ID, Elapsed: ticks(result.ElapsedUS),
			Outcome: outcome})
		return err
	case wire.CallNeeded:
		r.CallRequests = append(r.CallRequests, e.RequestID())
	case wire.CallEnded:
		result := e.CallResult()
		outcome, err := outcomeOf(result.Status)
		r.CallEnds = append(r.CallEnds, admission.CallEnd{ID: result.ID, Elapsed: ticks(result.ElapsedUS),
			Outcome: outcome})
		return err
	case wire.CallerGone:
		r.Disconnected = append(r.Disconnected, e.RequestID())
	case wire.DrainNotice:
		r.Drain, r.KillAt = true, ticks(e.KillAtUS())
	case wire.WakeUp:
		in.addWakeUp(e)
	default:
		return fmt.Errorf("event code %d, expected a known one", e.Kind())
	}
	return nil
}

// addRequest adds a request to the round. It arrived when it reached the machine, BacklogUS before it was read.
func (in *instance) addRequest(q wire.Request, nowUS uint64) error {
	if q.Class >= in.controller.NumHandlers() {
		return fmt.Errorf("class %d, expected below %d", q.Class, in.controller.NumHandlers())
	}
	request := admission.Request{
		ID:         q.ID,
		Handler:    q.Class,
		Tenant:     q.Tenant,
		ArrivedAt:  ticks(nowUS - min(uint64(q.BacklogUS), nowUS)),
		Deadline:   ticks(q.DeadlineUS),
		SizeKB:     q.FootprintKB,
		IsRetry:    q.IsRetry,
		Caller:     q.Caller,
		PreviousID: q.Previous,
	}
	if q.HasExpectedWork {
		request.ExpectedWork = ticks(q.ExpectedWorkUS)
	}
	in.round.Arrived = append(in.round.Arrived, request)
	return nil
}

// addWakeUp adds a wake-up to the round, with the gauges if the event has any.
func (in *instance) addWakeUp(e wire.Event) {
	in.round.TimerFired = true
	var buffer [4]float64
	gauges := e.Gauges(buffer[:0])
	if len(gauges) == 0 {
		return
	}
	in.round.HasGauges = true
	in.round.Gauges = in.settings.Gauges(gauges)
}

// decide has the controller decide the round. A panic of the controller fails this instance alone: its actions of the
// round are replaced by a crash action, and it decides nothing more.
func (in *instance) decide(reply *wire.Reply, decisions *decisionWriter) {
	mark := reply.Mark()
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			reply.Cut(mark)
			reply.Instance(in.number)
			reply.Crash(fmt.Sprint("admission: ", p))
		}
	}()
	if in.failed {
		return
	}
	reply.Instance(in.number)
	in.controller.Decide(&in.round, decisions)
	if reply.Mark() == mark+1 {
		reply.Cut(mark) // no decisions
	}
}

// clearRound empties the round and keeps the capacity of its slices.
func (in *instance) clearRound() {
	r := &in.round
	*r = admission.Round{Arrived: r.Arrived[:0], CallEnds: r.CallEnds[:0], CallRequests: r.CallRequests[:0],
		RunEnds: r.RunEnds[:0], Disconnected: r.Disconnected[:0]}
}

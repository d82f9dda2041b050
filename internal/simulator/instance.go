package simulator

import (
	"fmt"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/simulator/wire"
)

// instance is one server's decision module with the round that is gathered for it.
type instance struct {
	number     uint32
	controller *admission.Controller
	round      admission.Round
	settings   *settings.Startup
	pending    bool // among the adapter's undecided
	failed     bool // its module panicked: it decides nothing more
}

// startInstance reads an instance's settings.
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
	how, ok := outcomeOfStatus[status]
	if !ok {
		return how, fmt.Errorf("status %d, expected one of the listed endings", status)
	}
	return how, nil
}

// ticks converts a span or time of the simulator.
func ticks[T uint32 | uint64](us T) admission.Time { return admission.Time(us / usPerTick) }

// addEvent adds one event to the instance's round.
func (in *instance) addEvent(e wire.Event, nowUS uint64) error {
	r := &in.round
	switch e.Kind() {
	case wire.RequestRead:
		return in.addRequest(e.Request(), nowUS)
	case wire.RunEnded:
		result := e.RunResult()
		how, err := outcomeOf(result.Status)
		r.RunEnds = append(r.RunEnds, admission.RunEnd{ID: result.ID, Elapsed: ticks(result.ElapsedUS), Outcome: how})
		return err
	case wire.CallNeeded:
		r.CallRequests = append(r.CallRequests, e.RequestID())
	case wire.CallEnded:
		result := e.CallResult()
		how, err := outcomeOf(result.Status)
		r.CallEnds = append(r.CallEnds, admission.CallEnd{ID: result.ID, Elapsed: ticks(result.ElapsedUS), Outcome: how})
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

// addRequest adds a request that was read. It came when it reached the machine, which is a while before it was read.
func (in *instance) addRequest(q wire.Request, nowUS uint64) error {
	if q.Class >= in.controller.Handlers() {
		return fmt.Errorf("class %d, expected below %d", q.Class, in.controller.Handlers())
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

// addWakeUp notes a wake-up, with the gauges where it has them.
func (in *instance) addWakeUp(e wire.Event) {
	in.round.TimerFired = true
	var space [4]float64
	read := e.Gauges(space[:0])
	if len(read) == 0 {
		return
	}
	in.round.HasGauges = true
	in.round.Gauges = in.settings.Gauges(read)
}

// decide plays the round. A panic in the module is declared as the failure of this instance, and of no other: what it
// had decided in this round is taken back, and it decides nothing more.
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
		reply.Cut(mark) // it decided nothing
	}
}

// clearRound empties the round and keeps its space.
func (in *instance) clearRound() {
	r := &in.round
	*r = admission.Round{Arrived: r.Arrived[:0], CallEnds: r.CallEnds[:0], CallRequests: r.CallRequests[:0],
		RunEnds: r.RunEnds[:0], Disconnected: r.Disconnected[:0]}
}

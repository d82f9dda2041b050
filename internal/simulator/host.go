// Package simulator keeps the instances of one process: wire to rounds, decisions back to the wire.
package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"umberwinch/admission"
	"umberwinch/internal/node/settings"
	"umberwinch/internal/simulator/wire"
)

// instance is one server's module with the round being gathered for it.
type instance struct {
	number     uint32
	controller *admission.Controller
	round      admission.Round
	settings   *settings.Profile
	listed     bool
	failed     bool
}

// Adapter carries the instances of one process.
type Adapter struct {
	instances map[uint32]*instance
	undecided []*instance // those with a round to decide, as first named
	reply     wire.Reply
	out       decisionWriter
}

func New() *Adapter {
	h := &Adapter{instances: make(map[uint32]*instance)}
	h.out.reply = &h.reply
	return h
}

// Serve answers every frame of in on out until the input ends.
func (h *Adapter) Serve(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	var b wire.Batch
	for frame := 1; ; frame++ {
		err := r.Read(&b)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.batch(&b)
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		if _, err := h.reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// batch turns one frame into rounds, and their decisions into the reply.
func (h *Adapter) batch(b *wire.Batch) error {
	h.reply.Reset()
	h.undecided = h.undecided[:0]
	now := admission.Time(b.Now / 100)
	var cur *instance
	var num uint32
	var named bool
	for i := 0; i < b.Count; i++ {
		e := b.Event(i)
		switch code := e.Code(); code {
		case wire.About:
			num, named = e.U32(1), true
			cur = h.instances[num]
			continue
		case wire.Spawn:
			if !named {
				return fmt.Errorf("record %d: Spawn, expected About before it", i)
			}
			in, err := spawn(b, e, num, now)
			if err != nil {
				return fmt.Errorf("record %d: instance %d: %w", i, num, err)
			}
			h.instances[num], cur = in, in
		case wire.Halt:
			if cur == nil {
				return fmt.Errorf("record %d: Halt for instance %d, expected one that was started", i, num)
			}
			cur.listed = false
			delete(h.instances, num)
			h.unlist(cur)
			cur = nil
			continue
		default:
			if cur == nil {
				return fmt.Errorf("record %d: event %d for instance %d, expected one that was started", i, code, num)
			}
			if err := cur.gather(e, b.Now); err != nil {
				return fmt.Errorf("record %d: %w", i, err)
			}
		}
		if !cur.listed {
			cur.listed = true
			h.undecided = append(h.undecided, cur)
		}
	}
	for _, in := range h.undecided {
		in.listed = false
		in.round.Now = now
		h.decide(in)
		r := &in.round
		*r = admission.Round{Arrived: r.Arrived[:0], Returned: r.Returned[:0], Needs: r.Needs[:0],
			Ended: r.Ended[:0], Gone: r.Gone[:0]}
	}
	return nil
}

func (h *Adapter) unlist(in *instance) {
	for k, o := range h.undecided {
		if o == in {
			h.undecided = append(h.undecided[:k], h.undecided[k+1:]...)
			return
		}
	}
}

func spawn(b *wire.Batch, e wire.Event, num uint32, now admission.Time) (*instance, error) {
	text, err := b.Tail(e, 9)
	if err != nil {
		return nil, err
	}
	p, err := settings.Read(text)
	if err != nil {
		return nil, err
	}
	p.Start = now
	return &instance{number: num, controller: admission.New(p.Deployment), settings: p}, nil
}

var outcomeOfStatus = map[int]admission.Outcome{0: admission.OK, 13: admission.Errored, 8: admission.Unrun,
	14: admission.Unrun, 4: admission.Unclear, 10: admission.Unclear, 1: admission.Stopped, 9: admission.Moot}

func outcome(rc int) (admission.Outcome, error) {
	how, ok := outcomeOfStatus[rc]
	if !ok {
		return how, fmt.Errorf("status %d, expected one of the listed endings", rc)
	}
	return how, nil
}

// gather adds one event to the instance's round.
func (in *instance) gather(e wire.Event, nowUS uint64) (err error) {
	r := &in.round
	id := e.U32(1)
	switch e.Code() {
	case wire.Order:
		flags := e.U8(39)
		q := admission.Request{ID: id, Handler: e.U16(5), Tenant: int(e.U32(7)),
			Came: admission.Time((nowUS - min(uint64(e.U32(44)), nowUS)) / 100),
			Due:  admission.Time(e.U64(19) / 100), KB: e.F32(31),
			Again: flags&2 != 0, Caller: e.U32(40), Prior: e.U32(48)}
		if flags&1 != 0 {
			q.Hint = admission.Time(e.U32(27) / 100)
		}
		if q.Handler >= in.controller.Handlers() {
			return fmt.Errorf("class %d, expected below %d", q.Handler, in.controller.Handlers())
		}
		r.Arrived = append(r.Arrived, q)
	case wire.Ended:
		end := admission.End{ID: id, Ran: admission.Time(e.U32(5) / 100)}
		end.How, err = outcome(e.U16(9))
		r.Ended = append(r.Ended, end)
	case wire.ReadyToCall:
		r.Needs = append(r.Needs, id)
	case wire.Called:
		ret := admission.Return{ID: id, Took: admission.Time(e.U32(7) / 100)}
		ret.How, err = outcome(e.U16(5))
		r.Returned = append(r.Returned, ret)
	case wire.Hangup:
		r.Gone = append(r.Gone, id)
	case wire.Sigterm:
		r.Drain, r.Kill = true, admission.Time(e.U64(1)/100)
	case wire.TimeoutFired:
		r.Woke = true
		if n := min(int(e.U8(9)), 4); n > 0 {
			r.Gauged = true
			var read [4]float64
			for k := range read[:n] {
				read[k] = e.F32(10 + 4*k)
			}
			r.Gauges = in.settings.Gauges(read[:n])
		}
	default:
		err = fmt.Errorf("event code %d, expected a known one", e.Code())
	}
	return err
}

// decide plays the round; a panic in the module becomes the declaration of its failure.
func (h *Adapter) decide(in *instance) {
	mark := h.reply.Mark()
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			h.reply.Cut(mark)
			h.reply.ID(wire.Source, in.number)
			h.reply.Text(wire.Die, fmt.Sprint("admission: ", p))
		}
	}()
	if in.failed {
		return
	}
	h.reply.ID(wire.Source, in.number)
	in.controller.Decide(&in.round, &h.out)
	if h.reply.Mark() == mark+1 {
		h.reply.Cut(mark)
	}
}

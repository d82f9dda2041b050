package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"

	"umberwinch/admission"
	"umberwinch/internal/simulator/wire"
)

// usPerTick is the number of the simulator's microseconds in one unit of admission.Time.
const usPerTick = 100

// writeBufferBytes is the size of the output buffer, which is flushed after each frame.
const writeBufferBytes = 1 << 16

// Adapter holds the instances of one adapter process. Its methods are called from one goroutine.
type Adapter struct {
	instances map[uint32]*instance
	pending   []*instance // instances with a round to decide, in the order of their first event in the batch
	reply     wire.Reply
	decisions decisionWriter
}

// New returns an adapter without instances.
func New() *Adapter {
	a := &Adapter{instances: make(map[uint32]*instance)}
	a.decisions.reply = &a.reply
	return a
}

// Serve reads frames from in and writes a reply to each to out, until the input ends. It returns an error, with the
// number of the frame, if the input is invalid.
func (a *Adapter) Serve(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), bufio.NewWriterSize(out, writeBufferBytes)
	var b wire.Batch
	for frame := 1; ; frame++ {
		err := r.Read(&b)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = a.handleBatch(&b)
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		if _, err := a.reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch collects the events of a batch into rounds and writes the decisions of these rounds to the reply.
func (a *Adapter) handleBatch(b *wire.Batch) error {
	a.reply.Reset()
	a.pending = a.pending[:0]
	now := admission.Time(b.NowUS / usPerTick)
	selected := selection{}
	for i := range b.Count {
		if err := a.handleEvent(b, b.Event(i), &selected, now); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
	}
	for _, in := range a.pending {
		in.pending = false
		in.round.Now = now
		in.decide(&a.reply, &a.decisions)
		in.clearRound()
	}
	return nil
}

// selection is the instance selected by the last InstanceSelected event of a batch, to which the next events belong.
type selection struct {
	number   uint32
	selected bool      // an instance was selected in this batch
	instance *instance // nil if no instance has that number
}

// handleEvent handles one event of a batch.
func (a *Adapter) handleEvent(b *wire.Batch, e wire.Event, s *selection, now admission.Time) error {
	switch e.Kind() {
	case wire.InstanceSelected:
		s.number, s.selected = e.Instance(), true
		s.instance = a.instances[s.number]
		return nil
	case wire.InstanceStarted:
		if !s.selected {
			return errors.New("found Spawn, expected About before it")
		}
		started, err := startInstance(b, e, s.number, now)
		if err != nil {
			return fmt.Errorf("instance %d: %w", s.number, err)
		}
		a.instances[s.number], s.instance = started, started
	case wire.InstanceCrashed:
		if s.instance == nil {
			return fmt.Errorf("found Halt for instance %d, expected a running instance", s.number)
		}
		a.remove(s.instance)
		s.instance = nil
		return nil
	default:
		if s.instance == nil {
			return fmt.Errorf("event %d for instance %d, expected a running instance", e.Kind(), s.number)
		}
		if err := s.instance.addEvent(e, b.NowUS); err != nil {
			return err
		}
	}
	if !s.instance.pending {
		s.instance.pending = true
		a.pending = append(a.pending, s.instance)
	}
	return nil
}

// remove removes a crashed instance and its pending round.
func (a *Adapter) remove(in *instance) {
	in.pending = false
	delete(a.instances, in.number)
	if i := slices.Index(a.pending, in); i >= 0 {
		a.pending = slices.Delete(a.pending, i, i+1)
	}
}

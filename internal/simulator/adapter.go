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

// usPerTick converts the simulator's microseconds to the module's tenths of a millisecond.
const usPerTick = 100

// writeBufferBytes is the size of the output's buffer in bytes; a frame is flushed whole.
const writeBufferBytes = 1 << 16

// Adapter carries the instances of one process.
type Adapter struct {
	instances map[uint32]*instance
	pending   []*instance // those with a round to decide, in the order in which the batch named them
	reply     wire.Reply
	decisions decisionWriter
}

// New is an adapter without instances.
func New() *Adapter {
	a := &Adapter{instances: make(map[uint32]*instance)}
	a.decisions.reply = &a.reply
	return a
}

// Serve answers every frame of in on out until the input ends. Input that isn't as the protocol says is an error.
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

// handleBatch turns one batch into rounds, and their decisions into the reply.
func (a *Adapter) handleBatch(b *wire.Batch) error {
	a.reply.Reset()
	a.pending = a.pending[:0]
	now := admission.Time(b.NowUS / usPerTick)
	about := selection{}
	for i := range b.Count {
		if err := a.handleEvent(b, b.Event(i), &about, now); err != nil {
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

// selection is the instance that the events of a batch are about at the moment.
type selection struct {
	number   uint32
	named    bool
	instance *instance // nil while none of that number is running
}

// handleEvent handles one event of a batch.
func (a *Adapter) handleEvent(b *wire.Batch, e wire.Event, about *selection, now admission.Time) error {
	switch e.Kind() {
	case wire.InstanceSelected:
		about.number, about.named = e.Instance(), true
		about.instance = a.instances[about.number]
		return nil
	case wire.InstanceStarted:
		if !about.named {
			return errors.New("found Spawn, expected About before it")
		}
		started, err := startInstance(b, e, about.number, now)
		if err != nil {
			return fmt.Errorf("instance %d: %w", about.number, err)
		}
		a.instances[about.number], about.instance = started, started
	case wire.InstanceCrashed:
		if about.instance == nil {
			return fmt.Errorf("found Halt for instance %d, expected one that was started", about.number)
		}
		a.remove(about.instance)
		about.instance = nil
		return nil
	default:
		if about.instance == nil {
			return fmt.Errorf("event %d for instance %d, expected one that was started", e.Kind(), about.number)
		}
		if err := about.instance.addEvent(e, b.NowUS); err != nil {
			return err
		}
	}
	if !about.instance.pending {
		about.instance.pending = true
		a.pending = append(a.pending, about.instance)
	}
	return nil
}

// remove forgets an instance that crashed, with the round that was gathered for it.
func (a *Adapter) remove(in *instance) {
	in.pending = false
	delete(a.instances, in.number)
	if k := slices.Index(a.pending, in); k >= 0 {
		a.pending = slices.Delete(a.pending, k, k+1)
	}
}

package simulator

import (
	"umberwinch/admission"
	"umberwinch/internal/simulator/wire"
)

// writer encodes decisions straight into the reply.
type writer struct{ reply *wire.Reply }

func us(t admission.Time) uint32 { return uint32(min(max(t, 0), 1<<25) * 100) }

func (w *writer) Run(id uint32)    { w.reply.ID(wire.Launch, id) }
func (w *writer) Pause(id uint32)  { w.reply.ID(wire.Preempt, id) }
func (w *writer) Fail(id uint32)   { w.reply.ID(wire.DropRequest, id) }
func (w *writer) Skip(id uint32)   { w.reply.ID(wire.GoOn, id) }
func (w *writer) Forget(id uint32) { w.reply.ID(wire.Erase, id) }
func (w *writer) Reuse(id uint32)  { w.reply.ID(wire.AnswerFrom, id) }

func (w *writer) Shed(id uint32, last bool, comeBack admission.Time) {
	w.reply.Shed(id, last, us(comeBack))
}

func (w *writer) Call(id uint32, until admission.Time) { w.reply.Dial(id, uint64(until)*100) }

func (w *writer) Remember(id uint32, span admission.Time) {
	w.reply.IDSpan(wire.Memo, id, us(span))
}

func (w *writer) Health(good bool)               { w.reply.Health(good) }
func (w *writer) Say(value float64)              { w.reply.Announce(value) }
func (w *writer) IdleClose(after admission.Time) { w.reply.Keepalive(us(after)) }
func (w *writer) Wake(at admission.Time)         { w.reply.Wake(uint64(at)*100, 1) }
func (w *writer) Log(line string)                { w.reply.Text(wire.Emit, line) }

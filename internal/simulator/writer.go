package simulator

import (
	"umberwinch/admission"
	"umberwinch/internal/simulator/wire"
)

// writer encodes decisions straight into the reply.
type decisionWriter struct{ reply *wire.Reply }

func microseconds(t admission.Time) uint32 { return uint32(min(max(t, 0), 1<<25) * 100) }

func (w *decisionWriter) Run(id uint32)    { w.reply.ID(wire.Launch, id) }
func (w *decisionWriter) Pause(id uint32)  { w.reply.ID(wire.Preempt, id) }
func (w *decisionWriter) Fail(id uint32)   { w.reply.ID(wire.DropRequest, id) }
func (w *decisionWriter) Skip(id uint32)   { w.reply.ID(wire.GoOn, id) }
func (w *decisionWriter) Forget(id uint32) { w.reply.ID(wire.Erase, id) }
func (w *decisionWriter) Reuse(id uint32)  { w.reply.ID(wire.AnswerFrom, id) }

func (w *decisionWriter) Shed(id uint32, last bool, comeBack admission.Time) {
	w.reply.Shed(id, last, microseconds(comeBack))
}

func (w *decisionWriter) Call(id uint32, until admission.Time) { w.reply.Dial(id, uint64(until)*100) }

func (w *decisionWriter) Remember(id uint32, span admission.Time) {
	w.reply.IDSpan(wire.Memo, id, microseconds(span))
}

func (w *decisionWriter) Health(good bool)               { w.reply.Health(good) }
func (w *decisionWriter) Say(value float64)              { w.reply.Announce(value) }
func (w *decisionWriter) IdleClose(after admission.Time) { w.reply.Keepalive(microseconds(after)) }
func (w *decisionWriter) Wake(at admission.Time)         { w.reply.Wake(uint64(at)*100, 1) }
func (w *decisionWriter) Log(line string)                { w.reply.Text(wire.Emit, line) }

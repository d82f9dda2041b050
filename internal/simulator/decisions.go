package simulator

import (
	"umberwinch/admission"
	"umberwinch/internal/simulator/wire"
)

// decisionWriter encodes the module's decisions straight into the reply.
type decisionWriter struct{ reply *wire.Reply }

// maxDuration bounds a span on the wire: 55 minutes, far beyond any deadline.
const maxDuration admission.Time = 1 << 25

// microseconds of a span, which has 32 bits on the wire.
func microseconds(t admission.Time) uint32 {
	return uint32(min(max(t, 0), maxDuration) * usPerTick)
}

func (w *decisionWriter) Run(id uint32)                      { w.reply.Run(id) }
func (w *decisionWriter) Stop(id uint32)                     { w.reply.Stop(id) }
func (w *decisionWriter) Fail(id uint32, _ admission.Reason) { w.reply.Fail(id) }
func (w *decisionWriter) SkipCall(id uint32)                 { w.reply.SkipCall(id) }
func (w *decisionWriter) Forget(id uint32)                   { w.reply.Forget(id) }
func (w *decisionWriter) ReuseResult(id uint32)              { w.reply.ReuseResult(id) }

func (w *decisionWriter) Shed(id uint32, _ admission.Reason, last bool, comeBack admission.Time) {
	w.reply.Reject(id, last, microseconds(comeBack))
}

func (w *decisionWriter) Call(id uint32, until admission.Time) {
	w.reply.Call(id, uint64(until)*usPerTick)
}

func (w *decisionWriter) Remember(id uint32, span admission.Time) {
	w.reply.Remember(id, microseconds(span))
}

func (w *decisionWriter) Health(ready bool)            { w.reply.Health(ready) }
func (w *decisionWriter) SignalOverload(value float64) { w.reply.OverloadSignal(value) }
func (w *decisionWriter) SetIdleTimeout(after admission.Time) {
	w.reply.IdleTimeout(microseconds(after))
}
func (w *decisionWriter) WakeUp(at admission.Time) { w.reply.WakeUp(uint64(at)*usPerTick, 1) }
func (w *decisionWriter) Log(line string)          { w.reply.Log(line) }

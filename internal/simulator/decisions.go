package simulator

import (
	"umberwinch/admission"
	"umberwinch/internal/simulator/wire"
)

// decisionWriter appends the controller's decisions to the reply as actions.
type decisionWriter struct{ reply *wire.Reply }

// maxDuration bounds a duration on the wire, about 56 minutes. Guards against overflow of its 32 bits.
const maxDuration admission.Time = 1 << 25

// microseconds converts a duration to microseconds on the wire, within 0 and maxDuration.
func microseconds(t admission.Time) uint32 {
	return uint32(min(max(t, 0), maxDuration) * usPerTick)
}

func (w *decisionWriter) Run(id uint32)                      { w.reply.Run(id) }
func (w *decisionWriter) Stop(id uint32)                     { w.reply.Stop(id) }
func (w *decisionWriter) Fail(id uint32, _ admission.Reason) { w.reply.Fail(id) }
func (w *decisionWriter) SkipCall(id uint32)                 { w.reply.SkipCall(id) }
func (w *decisionWriter) Forget(id uint32)                   { w.reply.Forget(id) }
func (w *decisionWriter) ReuseResult(id uint32)              { w.reply.ReuseResult(id) }

func (w *decisionWriter) Shed(id uint32, _ admission.Reason, noRetry bool, retryAfter admission.Time) {
	w.reply.Reject(id, noRetry, microseconds(retryAfter))
}

func (w *decisionWriter) Call(id uint32, deadline admission.Time) {
	w.reply.Call(id, uint64(deadline)*usPerTick)
}

func (w *decisionWriter) Remember(id uint32, window admission.Time) {
	w.reply.Remember(id, microseconds(window))
}

func (w *decisionWriter) Health(ready bool)            { w.reply.Health(ready) }
func (w *decisionWriter) SignalOverload(value float64) { w.reply.OverloadSignal(value) }
func (w *decisionWriter) SetIdleTimeout(timeout admission.Time) {
	w.reply.IdleTimeout(microseconds(timeout))
}
func (w *decisionWriter) WakeUp(at admission.Time) { w.reply.WakeUp(uint64(at)*usPerTick, 1) }
func (w *decisionWriter) Log(line string)          { w.reply.Log(line) }

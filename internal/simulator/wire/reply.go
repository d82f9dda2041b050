package wire

import (
	"encoding/binary"
	"io"
	"math"
)

// Codes of actions on the wire.
const (
	actionFail           = 10
	actionCall           = 20
	actionCrash          = 30
	actionReuseResult    = 40
	actionHealth         = 50
	actionRemember       = 60
	actionInstance       = 70
	actionOverloadSignal = 80
	actionSkipCall       = 90
	actionForget         = 100
	actionIdleTimeout    = 110
	actionLog            = 120
	actionWakeUp         = 130
	actionStop           = 140
	actionRun            = 150
	actionReject         = 160
)

// Reply collects the actions of one frame. Each action is of the instance named by the last call of Instance.
type Reply struct {
	actions []byte
	tail    []byte
	count   int
}

// Reset empties the reply.
func (p *Reply) Reset() { p.actions, p.tail, p.count = p.actions[:0], p.tail[:0], 0 }

// action appends an action with zero fields and returns its bytes.
func (p *Reply) action(code byte) []byte {
	n := len(p.actions)
	p.actions = append(p.actions, make([]byte, actionBytes)...)
	p.actions[n] = code
	p.count++
	return p.actions[n : n+actionBytes]
}

// actionFor appends an action with the id of a request or an instance.
func (p *Reply) actionFor(code byte, id uint32) []byte {
	r := p.action(code)
	binary.BigEndian.PutUint32(r[1:], id)
	return r
}

// Instance selects the instance of the next actions.
func (p *Reply) Instance(number uint32) { p.actionFor(actionInstance, number) }

// Run starts or resumes a request.
func (p *Reply) Run(id uint32) { p.actionFor(actionRun, id) }

// Stop stops the run of a request.
func (p *Reply) Stop(id uint32) { p.actionFor(actionStop, id) }

// Fail answers a request with an error; whether it ran is left open.
func (p *Reply) Fail(id uint32) { p.actionFor(actionFail, id) }

// SkipCall resumes a run without its call.
func (p *Reply) SkipCall(id uint32) { p.actionFor(actionSkipCall, id) }

// Forget removes a request's idempotency entry.
func (p *Reply) Forget(id uint32) { p.actionFor(actionForget, id) }

// ReuseResult answers a request with the result of the previous request that it retries.
func (p *Reply) ReuseResult(id uint32) { p.actionFor(actionReuseResult, id) }

// Remember keeps a request's idempotency entry for a window.
func (p *Reply) Remember(id, windowUS uint32) {
	binary.BigEndian.PutUint32(p.actionFor(actionRemember, id)[5:], windowUS)
}

// Call makes the call that a run waits for, with a deadline by the simulator's clock.
func (p *Reply) Call(id uint32, deadlineUS uint64) {
	binary.BigEndian.PutUint64(p.actionFor(actionCall, id)[5:], deadlineUS)
}

// Reject rejects a request that never ran. With noRetry the caller must not try another server either.
func (p *Reply) Reject(id uint32, noRetry bool, retryAfterUS uint32) {
	r := p.actionFor(actionReject, id)
	if noRetry {
		r[5] = 1
	}
	binary.BigEndian.PutUint32(r[6:], retryAfterUS)
}

// Health sets the response to health checks.
func (p *Reply) Health(ready bool) {
	r := p.action(actionHealth)
	r[1] = 1
	if ready {
		r[2] = 1
	}
}

// OverloadSignal sets the overload signal in responses.
func (p *Reply) OverloadSignal(value float64) {
	binary.BigEndian.PutUint32(p.action(actionOverloadSignal)[1:], math.Float32bits(float32(value)))
}

// IdleTimeout sets the time after which idle connections are closed.
func (p *Reply) IdleTimeout(timeoutUS uint32) {
	binary.BigEndian.PutUint32(p.action(actionIdleTimeout)[1:], timeoutUS)
}

// WakeUp requests a WakeUp event at a time; the handle identifies the timer.
func (p *Reply) WakeUp(atUS, handle uint64) {
	r := p.action(actionWakeUp)
	binary.BigEndian.PutUint64(r[1:], atUS)
	binary.BigEndian.PutUint64(r[9:], handle)
}

// Log appends a line to the simulator's report.
func (p *Reply) Log(line string) { p.text(actionLog, line) }

// Crash reports that the instance's controller failed.
func (p *Reply) Crash(line string) { p.text(actionCrash, line) }

// text appends an action with a line, which is stored in the tail.
func (p *Reply) text(code byte, line string) {
	r := p.action(code)
	binary.BigEndian.PutUint32(r[1:], uint32(len(p.tail)))
	binary.BigEndian.PutUint32(r[5:], uint32(len(line)))
	p.tail = append(p.tail, line...)
}

// Mark returns a position for Cut.
func (p *Reply) Mark() int { return p.count }

// Cut removes the actions since a mark. Their texts stay in the tail, unreferenced.
func (p *Reply) Cut(mark int) { p.actions, p.count = p.actions[:mark*actionBytes], mark }

// WriteTo writes the frame to w.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [replyHeadBytes]byte
	size := replyHeadBytes + len(p.actions) + len(p.tail)
	binary.BigEndian.PutUint32(head[0:], uint32(size))
	binary.BigEndian.PutUint32(head[4:], uint32(p.count))
	for _, part := range [][]byte{head[:], p.actions, p.tail} {
		if _, err := w.Write(part); err != nil {
			return 0, err
		}
	}
	return int64(size), nil
}

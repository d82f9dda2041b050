package admission

import (
	"math"
)

// This file decides what callers are told: how long to stay away, how much to send, how long connections may idle.

// shortenIdleTime has idle connections closed sooner where callers are more than sixteen a core, a small part of a table
// (its size is told nowhere): each open one takes its part of the cores. Each new one costs work, so the time
// goes by the cube of the share of requests whose caller was here in the last eight seconds (square, fourth power
// and fixed lost) or, if more, of the share shed where few further tries come: only this server is hot, and
// what finds its table full goes where there is room. Could harm where many callers come every ten seconds.
func (c *Controller) shortenIdleTime(links float64) {
	idle := c.idle
	if max(links, c.senders) > 16*c.cores {
		keep := max(c.returning.mean(c.now, 0), c.sheds.mean(c.now, 0)*(1-c.retries.mean(c.now, 0)))
		// Six tenths of a second at the least pass over a caller's own bunch; two seconds lost on big days.
		idle = max(Time(float64(c.idle)*keep*keep*keep), min(Second*3/5, c.idle))
	}
	if idle > c.idleSaid*5/4 || idle < c.idleSaid*4/5 {
		c.idleSaid = idle
		c.writer.SetIdleTimeout(idle)
	}
}

// backOff is how long until the hold will have shortened: a lap of it, by the last start or its head; with
// pools a lap of the handler's own.
func (c *Controller) backOff(handler int) Time {
	if !c.healthy {
		return c.maxPause
	}
	wait := max(c.lastWait, rest)
	if c.pools != nil {
		wait = max(wait, c.pools.QueueDelay(handler))
	}
	if c.queue.head != none {
		wait = max(wait, c.now-c.requests.at[c.queue.head].came)
	}
	return min(wait, c.maxPause)
}

// signalOverload moves the value that goes with every answer.
func (c *Controller) signalOverload(dt float64) {
	if c.signal == SignalNone {
		return
	}
	// The pressure is the share of traffic to keep away. It settles where half as many are held as there are
	// cores, or what is read had waited unread for a quarter of its target. Callers bear the value in mind for
	// a second and hear it late: at three times this pace arrivals come in waves and cores idle between them;
	// half and quarter of that pace scored within noise of this. It falls slower than it rises.
	q := float64(c.queue.n)/c.cores + 2*c.unreadTimes.mean(c.now, 0)
	c.pressure = min(max(c.pressure+dt*min(max(q-0.5, -0.25), 1)/3, 0), 0.9)
	value := c.pressure
	switch c.signal {
	case SignalCredit:
		// As many held as running, split over the callers, is a short line and no idle slot.
		value = float64(c.limit) * 2 * (1 - c.pressure) / c.senders
	case SignalWeight:
		value = 1 - c.pressure
	}
	if !c.healthy {
		value = one(c.signal == SignalLevel)
	}
	if math.Abs(value-c.lastSignal) > 0.01 {
		c.lastSignal = value
		c.writer.SignalOverload(value)
	}
}

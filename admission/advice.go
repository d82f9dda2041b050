package admission

import (
	"math"
)

// This file decides what callers are told: how long to stay away, how much to send, how long connections may idle.

// thin has idle connections closed sooner where callers are more than sixteen a core, a small part of a table
// (its size is told nowhere): each open one takes its part of the cores. Each new one costs work, so the time
// goes by the cube of the share of reqs whose caller was here in the last eight seconds (square, fourth power
// and fixed lost) or, if more, of the share shed where few further tries come: only this server is hot, and
// what finds its table full goes where there is room. Could harm where many callers come every ten seconds.
func (c *Controller) thin(links float64) {
	idle := c.idle
	if max(links, c.senders) > 16*c.cores {
		keep := max(c.back.mean(c.now, 0), c.turned.mean(c.now, 0)*(1-c.again.mean(c.now, 0)))
		// Six tenths of a second at the least pass over a caller's own bunch; two seconds lost on big days.
		idle = max(Time(float64(c.idle)*keep*keep*keep), min(Second*3/5, c.idle))
	}
	if idle > c.idleSaid*5/4 || idle < c.idleSaid*4/5 {
		c.idleSaid = idle
		c.w.IdleClose(idle)
	}
}

// comeBack is how long until the hold will have shortened: a lap of it, by the last start or its head; with
// pools a lap of the handler's own.
func (c *Controller) comeBack(handler int) Time {
	if !c.good {
		return c.maxPause
	}
	wait := max(c.lap, rest)
	if c.pools != nil {
		wait = max(wait, c.pools.Lap(handler))
	}
	if c.hold.head != none {
		wait = max(wait, c.now-c.s.at[c.hold.head].came)
	}
	return min(wait, c.maxPause)
}

// advise moves the value that goes with every answer.
func (c *Controller) advise(dt float64) {
	if c.voice == Mute {
		return
	}
	// The pressure is the share of traffic to keep away. It settles where half as many are held as there are
	// cores, or what is read had waited unread for a quarter of its target. Callers bear the value in mind for
	// a second and hear it late: at three times this pace arrivals come in waves and cores idle between them;
	// half and quarter of that pace scored within noise of this. It falls slower than it rises.
	q := float64(c.hold.n)/c.cores + 2*c.unread.mean(c.now, 0)
	c.press = min(max(c.press+dt*min(max(q-0.5, -0.25), 1)/3, 0), 0.9)
	value := c.press
	switch c.voice {
	case SayCredit:
		// As many held as running, split over the callers, is a short line and no idle slot.
		value = float64(c.limit) * 2 * (1 - c.press) / c.senders
	case SayWeight:
		value = 1 - c.press
	}
	if !c.good {
		value = one(c.voice == SayLevel)
	}
	if math.Abs(value-c.said) > 0.01 {
		c.said = value
		c.w.Say(value)
	}
}

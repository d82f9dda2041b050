// Control: the reports that keep this server on the list that sidecars follow. It owns the link to the
// control plane and says there what the module says of health; that the control plane is away must never
// show anywhere else.
package backend

import (
	"umberwinch/internal/proto"
)

type control struct {
	link
	name    string
	ready   bool // what the next report says
	sending bool // a report is out and not answered
	sent    bool // what it said
}

// report sends the state now, or as soon as the link is up and the last report is answered.
func (l *loop) report() {
	c := &l.control
	if c.addr == "" || c.sending {
		return
	}
	if c.way == nil {
		l.dial(&c.link)
		return
	}
	l.out = proto.AppendReport(l.out[:0], c.addr, c.name, c.ready)
	if !c.way.send(l.out, l.lim.LinkQueue) {
		l.linkDown(&c.link, nil)
		return
	}
	c.sending, c.sent = true, c.ready
	l.count.Reports++
	l.due.set(l.now+l.lim.ReportWait, dueUnanswered, handle(c.epoch))
}

// reported takes the answer to a report.
func (l *loop) reported(p proto.Response) {
	c := &l.control
	if !c.sending {
		return
	}
	c.sending = false
	if p.Status != 204 {
		l.count.ReportsLost++
		l.logf("control plane answered %d", p.Status)
	}
	if p.Close {
		l.linkDown(&c.link, nil)
	}
	if c.ready != c.sent {
		l.report()
	}
}

// unanswered gives up a link on which a report was not answered.
func (l *loop) unanswered(epoch uint32) {
	if c := &l.control; c.epoch == epoch && c.sending {
		l.linkDown(&c.link, errNoAnswer)
	}
}

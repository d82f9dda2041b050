package server

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/clock"
)

// netpollLinesPerSecond of netpoll's own log are kept, at the level that is off in service: it writes one for each
// connection that fails, which the loop logs or counts by itself.
const netpollLinesPerSecond = 5

// netpollLog carries netpoll's own log lines into the log, a few at a time. It never waits: see row "log reader stands
// still, or is gone" in docs/design/shutdown.md.
type netpollLog struct {
	log    *logrus.Logger
	clock  *clock.Clock
	lines  atomic.Int64
	second atomic.Int64
}

// Write takes one line. It never fails.
func (w *netpollLog) Write(b []byte) (int, error) {
	if s := int64(w.clock.Now() / time.Second); w.second.Swap(s) != s {
		w.lines.Store(0)
	}
	if w.lines.Add(1) <= netpollLinesPerSecond {
		w.log.Debug(string(b))
	}
	return len(b), nil
}

package server

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/clock"
)

// netpollLinesPerSecond bounds netpoll's log lines, which are written at debug level: netpoll logs each failed
// connection, which the loop logs or counts already.
const netpollLinesPerSecond = 5

// netpollLog writes netpoll's log lines to the log, rate limited. Any goroutine may use it, until the process ends. It
// never blocks: see row "log reader blocked or gone" in docs/design/shutdown.md.
type netpollLog struct {
	log    *logrus.Logger
	clock  *clock.Clock
	lines  atomic.Int64
	second atomic.Int64
}

// Write writes one line. It never fails.
func (w *netpollLog) Write(b []byte) (int, error) {
	if s := int64(w.clock.Now() / time.Second); w.second.Swap(s) != s {
		w.lines.Store(0)
	}
	if w.lines.Add(1) <= netpollLinesPerSecond {
		w.log.Debug(string(b))
	}
	return len(b), nil
}

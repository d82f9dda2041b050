// Netpoll's own log lines.

package server

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/clock"
)

// lines carries netpoll's own log lines into the log, a few at a time.
type lines struct {
	log   *logrus.Logger
	clock *clock.Clock
	n     atomic.Int64
	sec   atomic.Int64
}

func (w *lines) Write(b []byte) (int, error) {
	if s := int64(w.clock.Now() / time.Second); w.sec.Swap(s) != s {
		w.n.Store(0)
	}
	if w.n.Add(1) <= 5 {
		w.log.Debug(string(b))
	}
	return len(b), nil
}

package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/internal/control/consensus"
)

// putLoad is clients that put as fast as they get answers, and what they were told.
type putLoad struct {
	c          *controlProcesses
	wg         sync.WaitGroup
	stop       context.CancelFunc
	lastAnswer atomic.Int64 // when an answer came last, in ns since the start
	started    time.Time
	mu         sync.Mutex
	committed  map[string]uint64 // by client and number, the version it was told
	puts       int
	times      *hdrhistogram.Histogram // of a put, in us
	broken     string
}

func (c *controlProcesses) startLoad(ctx context.Context, clients int) *putLoad {
	l := &putLoad{c: c, started: time.Now(), committed: map[string]uint64{}, times: hdrhistogram.New(1, 60_000_000, 3)}
	ctx, l.stop = context.WithCancel(ctx)
	for i := 0; i < clients; i++ {
		l.wg.Add(1)
		go func() { defer l.wg.Done(); l.client(ctx, i) }()
	}
	return l
}

// client puts one version after the other, each under a number that it repeats until it has an answer.
func (l *putLoad) client(ctx context.Context, n int) {
	session, base := fmt.Sprintf("load-%d-%d", n, time.Now().UnixNano()), uint64(0)
	at := n
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		name := fmt.Sprintf("%s-%d", session, seq)
		put := consensus.Put{Session: session, Seq: seq, Base: base, Author: "load", Reason: name,
			Text: fmt.Sprintf("[tenant t%d]\nrate = %d\n", n, seq)}
		sentAt := time.Now()
		for ctx.Err() == nil {
			// The last ask goes on after the load's end, so that nothing is left open.
			try, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			var a consensus.PutResult
			_, err := l.c.call(try, http.MethodPut, l.c.procs[at%len(l.c.procs)].listen, "/v1/config", put, &a)
			cancel()
			if err != nil || a.Outcome == "" {
				at++
				time.Sleep(2 * time.Millisecond)
				continue
			}
			now := time.Now()
			l.lastAnswer.Store(int64(now.Sub(l.started)))
			l.mu.Lock()
			l.puts++
			l.times.RecordValue(now.Sub(sentAt).Microseconds())
			switch a.Outcome {
			case consensus.PutCommitted:
				l.committed[name] = a.Version
			case consensus.PutConflict:
			default:
				l.broken = fmt.Sprintf("%s was answered %+v", name, a)
			}
			l.mu.Unlock()
			base = a.Version
			break
		}
	}
}

// close stops the load and waits for its clients.
func (l *putLoad) close() {
	l.stop()
	l.wg.Wait()
}

// end stops the load and holds what clients were told against what the group has: each version told is there,
// once, in order.
func (l *putLoad) end() error {
	l.close()
	if l.broken != "" {
		return errors.New(l.broken)
	}
	byReason := map[string]uint64{}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for from := uint64(1); ; {
		var vs []consensus.Version
		if err := l.c.await(ctx, func() error {
			code, err := l.c.call(ctx, http.MethodGet, l.c.procs[0].listen,
				fmt.Sprintf("/v1/history?limit=1000&from=%d", from), nil, &vs)
			if err == nil && code != http.StatusOK {
				err = fmt.Errorf("history: %d", code)
			}
			return err
		}); err != nil {
			return err
		}
		for _, v := range vs {
			if v.Number != from {
				return fmt.Errorf("version %d in the history, expected %d", v.Number, from)
			}
			if was, twice := byReason[v.Reason]; twice {
				return fmt.Errorf("%s is version %d and version %d: a put counted twice", v.Reason, was, v.Number)
			}
			byReason[v.Reason] = v.Number
			from++
		}
		if len(vs) < 1000 {
			break
		}
	}
	for name, version := range l.committed {
		if byReason[name] != version {
			return fmt.Errorf("%s was told version %d, the history has it as %d", name, version, byReason[name])
		}
	}
	return nil
}

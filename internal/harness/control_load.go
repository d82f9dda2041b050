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
	group        *controlProcesses
	wg           sync.WaitGroup
	stop         context.CancelFunc
	lastResponse atomic.Int64 // when an answer came last, in ns since the start
	started      time.Time
	mu           sync.Mutex
	committed    map[string]uint64 // by client and number, the version it was told
	puts         int
	latencies    *hdrhistogram.Histogram // of a put, in us
	violation    string
}

func (c *controlProcesses) startLoad(ctx context.Context, clients int) *putLoad {
	l := &putLoad{group: c, started: time.Now(), committed: map[string]uint64{}, latencies: hdrhistogram.New(1, 60_000_000, 3)}
	ctx, l.stop = context.WithCancel(ctx)
	for i := 0; i < clients; i++ {
		l.wg.Add(1)
		go func() { defer l.wg.Done(); l.runClient(ctx, i) }()
	}
	return l
}

// runClient puts one version after the other, each under a number that it repeats until it has an answer.
func (l *putLoad) runClient(ctx context.Context, index int) {
	session, base := fmt.Sprintf("load-%d-%d", index, time.Now().UnixNano()), uint64(0)
	target := index
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		name := fmt.Sprintf("%s-%d", session, seq)
		put := consensus.Put{Session: session, Seq: seq, Base: base, Author: "load", Reason: name,
			Text: fmt.Sprintf("[tenant t%d]\nrate = %d\n", index, seq)}
		sentAt := time.Now()
		for ctx.Err() == nil {
			// The last ask goes on after the load's end, so that nothing is left open.
			attemptCtx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			var result consensus.PutResult
			_, err := l.group.doRequest(attemptCtx, http.MethodPut, l.group.instances[target%len(l.group.instances)].listen, "/v1/config", put, &result)
			cancel()
			if err != nil || result.Outcome == "" {
				target++
				time.Sleep(2 * time.Millisecond)
				continue
			}
			now := time.Now()
			l.lastResponse.Store(int64(now.Sub(l.started)))
			l.mu.Lock()
			l.puts++
			l.latencies.RecordValue(now.Sub(sentAt).Microseconds())
			switch result.Outcome {
			case consensus.PutCommitted:
				l.committed[name] = result.Version
			case consensus.PutConflict:
			default:
				l.violation = fmt.Sprintf("%s was answered %+v", name, result)
			}
			l.mu.Unlock()
			base = result.Version
			break
		}
	}
}

// close stops the load and waits for its clients.
func (l *putLoad) close() {
	l.stop()
	l.wg.Wait()
}

// stopAndCheck stops the load and holds what clients were told against what the group has: each version told is there,
// once, in order.
func (l *putLoad) stopAndCheck() error {
	l.close()
	if l.violation != "" {
		return errors.New(l.violation)
	}
	byReason := map[string]uint64{}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for from := uint64(1); ; {
		var versions []consensus.Version
		if err := l.group.await(ctx, func() error {
			code, err := l.group.doRequest(ctx, http.MethodGet, l.group.instances[0].listen,
				fmt.Sprintf("/v1/history?limit=1000&from=%d", from), nil, &versions)
			if err == nil && code != http.StatusOK {
				err = fmt.Errorf("history: %d", code)
			}
			return err
		}); err != nil {
			return err
		}
		for _, v := range versions {
			if v.Number != from {
				return fmt.Errorf("version %d in the history, expected %d", v.Number, from)
			}
			if previous, duplicate := byReason[v.Reason]; duplicate {
				return fmt.Errorf("%s is version %d and version %d: a put counted twice", v.Reason, previous, v.Number)
			}
			byReason[v.Reason] = v.Number
			from++
		}
		if len(versions) < 1000 {
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

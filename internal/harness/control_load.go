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

// putLoad is a number of clients that each put configuration versions back to back, and the results that they got.
type putLoad struct {
	group        *controlProcesses
	wg           sync.WaitGroup
	stop         context.CancelFunc
	lastResponse atomic.Int64 // time of the latest response, in ns since started
	started      time.Time
	mu           sync.Mutex
	committed    map[string]uint64 // version acknowledged, by the put's unique reason
	puts         int
	latencies    *hdrhistogram.Histogram // of puts with their retries, in µs
	violation    string
}

func (c *controlProcesses) startLoad(ctx context.Context, clients int) *putLoad {
	l := &putLoad{group: c, started: time.Now(), committed: map[string]uint64{},
		latencies: hdrhistogram.New(1, 60_000_000, 3)}
	ctx, l.stop = context.WithCancel(ctx)
	for i := 0; i < clients; i++ {
		l.wg.Add(1)
		go func() { defer l.wg.Done(); l.runClient(ctx, i) }()
	}
	return l
}

// runClient puts one version after another. It repeats each put under the same sequence number until it gets a
// response.
func (l *putLoad) runClient(ctx context.Context, index int) {
	session, base := fmt.Sprintf("load-%d-%d", index, time.Now().UnixNano()), uint64(0)
	target := index
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		name := fmt.Sprintf("%s-%d", session, seq)
		put := consensus.Put{Session: session, Seq: seq, Base: base, Author: "load", Reason: name,
			Text: fmt.Sprintf("[tenant t%d]\nrate = %d\n", index, seq)}
		sentAt := time.Now()
		for ctx.Err() == nil {
			// Not derived from ctx: an attempt in progress completes after the load has stopped.
			attemptCtx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			var result consensus.PutResult
			_, err := l.group.doRequest(attemptCtx, http.MethodPut,
				l.group.instances[target%len(l.group.instances)].listen, "/v1/config", put, &result)
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
				l.violation = fmt.Sprintf("put %s: got %+v, want outcome %q or %q", name, result,
					consensus.PutCommitted, consensus.PutConflict)
			}
			l.mu.Unlock()
			base = result.Version
			break
		}
	}
}

// close stops the load and waits for its clients to exit.
func (l *putLoad) close() {
	l.stop()
	l.wg.Wait()
}

// stopAndCheck stops the load and compares the acknowledged versions with the group's history: each is in it exactly
// once, and version numbers have no gaps.
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
				err = fmt.Errorf("GET /v1/history: status %d, want %d", code, http.StatusOK)
			}
			return err
		}); err != nil {
			return err
		}
		for _, v := range versions {
			if v.Number != from {
				return fmt.Errorf("history: found version %d, expected %d", v.Number, from)
			}
			if previous, duplicate := byReason[v.Reason]; duplicate {
				return fmt.Errorf("put %s is in the history twice: as version %d and as version %d", v.Reason, previous,
					v.Number)
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
			return fmt.Errorf("put %s was acknowledged as version %d, the history has version %d", name, version,
				byReason[name])
		}
	}
	return nil
}

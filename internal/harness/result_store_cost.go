package harness

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// resultStoreVariants are the variants of the measurement: stored results with a shared sync and with a sync each,
// and results in memory.
var resultStoreVariants = []struct{ name, own, without string }{
	{"kept, one sync for all that wait", "[kept]\nfolder = DIR\n", ""},
	{"kept, a sync each", "[kept]\nfolder = DIR\n", "group"},
	{"in memory", "", ""},
}

// measureCosts measures the throughput, latency and processor time of requests with and without an idempotency key,
// with one caller and with 32.
func (k *ResultStoreTest) measureCosts(ctx context.Context, rep *report.Report) error {
	span := 8 * time.Second
	if k.Quick {
		span = 2 * time.Second
	}
	for _, variant := range resultStoreVariants {
		for _, callers := range []int{1, 32} {
			measure := func(r *resultStoreNode) error { return r.measureCost(ctx, rep, variant.name, callers, span) }
			if err := k.withNode(ctx, variant.own, variant.without, measure); err != nil {
				return err
			}
		}
	}
	return nil
}

// withNode prepares a node and its emulated services in a work folder of its own and calls use.
func (k *ResultStoreTest) withNode(ctx context.Context, operatorConfig, disabledGuard string,
	use func(*resultStoreNode) error) error {
	return withWorkFolder(ctx, &report.Report{}, func(dir string) error {
		r, err := newResultStoreNode(resultStoreConfig{dir: dir, program: k.Program, seed: k.Seed, window: time.Second,
			operatorConfig: operatorConfig, disabledGuard: disabledGuard})
		if err != nil {
			return err
		}
		return use(r)
	})
}

// measureCost measures requests of both classes, by callers that send back to back, for a time each.
func (r *resultStoreNode) measureCost(ctx context.Context, rep *report.Report, name string, callers int,
	span time.Duration) error {
	defer r.close()
	client := r.currentIncarnation().client
	r.kernel.onRunStart, r.kernel.callsStore = nil, false
	r.kernel.Update(func(classes map[string]*simulation.Class, cores *float64) {
		for _, c := range classes {
			c.MeanWork, c.WorkSigma = 1, 0 // 0.1 ms, so that the node's own cost dominates
		}
		*cores = 1000
	})
	if err := r.start(""); err != nil {
		return err
	}
	if err := awaitUntil(ctx, 5*time.Second, 5*time.Millisecond, func() error {
		if code, _, _ := r.send(ctx, client, "submit", randomKey(), false); code != http.StatusOK {
			return fmt.Errorf("status %d, want %d", code, http.StatusOK)
		}
		return nil
	}); err != nil {
		return fmt.Errorf("%s: the node is not ready: %w; the end of its log: %s", name, err, r.logTail())
	}
	for _, class := range []string{"submit", "view"} {
		latencies, done := hdrhistogram.New(1, 10_000_000, 3), 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		startedAt := time.Now()
		cpu, _ := cpuTime(r.process.pid())
		for range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Since(startedAt) < span && ctx.Err() == nil {
					sentAt := time.Now()
					code, _, _ := r.send(ctx, client, class, randomKey(), false)
					mu.Lock()
					if code == http.StatusOK {
						done++
						latencies.RecordValue(time.Since(sentAt).Microseconds())
					}
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		after, _ := cpuTime(r.process.pid())
		key := fmt.Sprintf("%s, %d callers, %s", name, callers, class)
		rep.AddFigure(key, "%.0f a second, median %.2f ms, 99th %.2f ms, %.0f us of CPU each",
			float64(done)/time.Since(startedAt).Seconds(),
			float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000,
			(after-cpu).Seconds()*1e6/float64(max(done, 1)))
	}
	return nil
}

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

// resultStoreVariants are what is compared: what a keyed request takes more, and what others notice of it.
var resultStoreVariants = []struct{ name, own, without string }{
	{"kept, one sync for all that wait", "[kept]\nfolder = DIR\n", ""},
	{"kept, a sync each", "[kept]\nfolder = DIR\n", "group"},
	{"in memory", "", ""},
}

// costs has as many callers as the cores bear ask without a pause, keyed requests and others, in turn.
func (k *ResultStoreTest) costs(ctx context.Context, rep *report.Report) error {
	span := 8 * time.Second
	if k.Quick {
		span = 2 * time.Second
	}
	for _, way := range resultStoreVariants {
		for _, callers := range []int{1, 32} {
			measure := func(r *resultStoreNode) error { return r.cost(ctx, rep, way.name, callers, span) }
			if err := k.withNode(ctx, way.own, way.without, measure); err != nil {
				return err
			}
		}
	}
	return nil
}

// withNode starts a node with its stand-ins in a folder of its own for as long as use takes.
func (k *ResultStoreTest) withNode(ctx context.Context, own, without string, use func(*resultStoreNode) error) error {
	return withWorkFolder(ctx, &report.Report{}, func(dir string) error {
		r, err := newResultStoreNode(resultStoreSetUp{dir: dir, program: k.Program, seed: k.Seed, window: time.Second,
			own: own, without: without})
		if err != nil {
			return err
		}
		return use(r)
	})
}

func (r *resultStoreNode) cost(ctx context.Context, rep *report.Report, name string, callers int,
	span time.Duration) error {
	defer r.close()
	client := r.currentLife().client
	r.kernel.onBegin, r.kernel.callsStore = nil, false
	r.kernel.Set(func(classes map[string]*simulation.Class, cores *float64) {
		for _, c := range classes {
			c.Work, c.WorkSigma = 1, 0 // a tenth of a ms: what is measured is the node's own part
		}
		*cores = 1000
	})
	if err := r.start(""); err != nil {
		return err
	}
	if err := awaitUntil(ctx, 5*time.Second, 5*time.Millisecond, func() error {
		if code, _, _ := r.send(ctx, client, "submit", newKey(), false); code != http.StatusOK {
			return fmt.Errorf("it answers %d", code)
		}
		return nil
	}); err != nil {
		return fmt.Errorf("%s: the node is not ready: %w; the end of its log: %s", name, err, r.tail())
	}
	for _, class := range []string{"submit", "view"} {
		took, done := hdrhistogram.New(1, 10_000_000, 3), 0
		var mu sync.Mutex
		var all sync.WaitGroup
		began := time.Now()
		cpu, _ := cpuOf(r.proc.pid())
		for range callers {
			all.Add(1)
			go func() {
				defer all.Done()
				for time.Since(began) < span && ctx.Err() == nil {
					at := time.Now()
					code, _, _ := r.send(ctx, client, class, newKey(), false)
					mu.Lock()
					if code == http.StatusOK {
						done++
						took.RecordValue(time.Since(at).Microseconds())
					}
					mu.Unlock()
				}
			}()
		}
		all.Wait()
		after, _ := cpuOf(r.proc.pid())
		key := fmt.Sprintf("%s, %d callers, %s", name, callers, class)
		rep.AddFigure(key, "%.0f a second, median %.2f ms, 99th %.2f ms, %.0f us of CPU each",
			float64(done)/time.Since(began).Seconds(),
			float64(took.ValueAtQuantile(50))/1000, float64(took.ValueAtQuantile(99))/1000,
			(after-cpu).Seconds()*1e6/float64(max(done, 1)))
	}
	return nil
}

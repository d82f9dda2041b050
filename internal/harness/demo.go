package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	mrand "math/rand"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/server"
	"umberwinch/internal/simulation"
)

// Demo runs a node, an emulated kernel and a load on loopback addresses, for demonstration and for measurements over
// sockets.
type Demo struct {
	Seed    int64
	Load    float64 // offered load as a fraction of the cores' capacity
	Pools   bool
	Seconds int // 0: until interrupted
	Keys    <-chan byte
	Plain   bool // prints each table below the previous one, without terminal control sequences
	Fault   string
	LogDir  string // the node's log folder, set by an interrupted run, which keeps it
}

// DemoFaults are the faults that a demo can inject: a service below that each run calls, slow in the middle third
// of the time or cold at first; a link to the kernel that breaks every five seconds.
var DemoFaults = []string{"slow", "cold", "links"}

// demoScenario defines the demo's cores, tenants and classes.
const demoScenario = `cores 6
tenants 4
class view work=8 share=50 tail=0.5 target=300 timeout=3000 value=1
class fill work=60 share=15 tail=0.7 target=1000 timeout=5000 value=2
class save work=40 share=25 tail=0.6 target=800 timeout=5000 value=3
class submit work=80 share=10 tail=0.4 target=2000 timeout=10000 value=20
cheapest view
dearest submit`

// classResults counts a class's requests by outcome.
type classResults struct {
	requests, done, inTime, shed, errored int
	// of completed requests from their scheduled sending time, in tenths of a ms
	latencies *hdrhistogram.Histogram
}

func newClassResults() *classResults {
	return &classResults{latencies: hdrhistogram.New(1, 1_000_000, 2)}
}

type demo struct {
	*Demo
	scenario   *simulation.Scenario
	kernel     *EmulatedKernel
	store      *EmulatedStore // nil: runs make no calls
	client     *http.Client
	addr       string
	mu         sync.Mutex
	totals     []*classResults
	lastSecond []*classResults
	surge      bool
	heavy      bool
	wg         sync.WaitGroup
}

// DemoResult is the outcome of one class's requests over a demo.
type DemoResult struct {
	Class    string
	Requests int `json:"Asked"` // JSON key of the former field name
	InTime   float64
	Shed     float64
	P95      float64 // ms
}

// Run starts the node, prints a table a second and shuts everything down. If it fails or is interrupted, the node's
// log is kept; the error or LogDir names its folder.
func (d *Demo) Run(ctx context.Context, w io.Writer) ([]DemoResult, error) {
	dir, err := os.MkdirTemp("", "umberctl-demo-")
	if err != nil {
		return nil, err
	}
	results, err := d.run(ctx, dir, w)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w; logs are in %s", err, dir)
	case ctx.Err() != nil:
		d.LogDir = dir
		return results, nil
	}
	return results, os.RemoveAll(dir)
}

func (d *Demo) run(ctx context.Context, dir string, w io.Writer) ([]DemoResult, error) {
	s, err := simulation.ReadScenario("demo", demoScenario)
	if err != nil {
		return nil, err
	}
	o := &demo{Demo: d, scenario: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256,
		IdleConnTimeout: 5 * time.Second}}}
	for range s.Classes {
		o.totals, o.lastSecond = append(o.totals, newClassResults()), append(o.lastSecond, newClassResults())
	}
	if o.kernel, err = NewEmulatedKernel(newLoopbackAddr(7400), d.Seed, float64(s.Cores), s.Classes,
		kernelStepInterval); err != nil {
		return nil, err
	}
	defer o.kernel.Close()
	storeAddr := ""
	if d.Fault == "slow" || d.Fault == "cold" {
		// Its capacity is four times that of the cores; slow or cold, two thirds of that of the cores.
		if o.store, err = NewEmulatedStore(newLoopbackAddr(9042), d.Seed, 8, 10*time.Millisecond, 6, 4000); err != nil {
			return nil, err
		}
		defer o.store.Close()
		storeAddr, o.kernel.callsStore = o.store.listener.Addr().String(), true
		o.store.Update(func(_, warm, _ *float64) {
			if d.Fault == "cold" {
				*warm = 0
			}
		})
	}
	control, err := newReadiness()
	if err != nil {
		return nil, err
	}
	defer control.close()
	signals, result, err := o.startNode(dir, control.addr(), storeAddr)
	if err != nil {
		return nil, err
	}
	err = o.awaitReady(ctx)
	if err == nil {
		o.runLoad(ctx, w, signals)
	}
	select {
	case signals <- syscall.SIGTERM:
	default:
	}
	o.wg.Wait()
	return o.results(), firstError(err, <-result)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// startNode runs the node in this process, as its program does, with its start-up file and log in dir.
func (o *demo) startNode(dir, controlAddr, storeAddr string) (chan os.Signal, <-chan error, error) {
	o.addr = newLoopbackAddr(8080)
	raw, err := encodeStartupFile(startupParams{name: "demo", listen: o.addr, kernel: o.kernel.listener.Addr().String(),
		store: storeAddr, control: controlAddr, cores: o.scenario.Cores, tenants: o.scenario.Tenants,
		classes: o.scenario.Classes, keyedClass: o.scenario.Classes[o.scenario.HighestValue].Name})
	if err != nil {
		return nil, nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err = os.WriteFile(file, raw, 0o600); err != nil {
		return nil, nil, err
	}
	node, err := server.ReadStartupFile(file, "", "")
	if err != nil {
		return nil, nil, err
	}
	operatorConfig := &config.Node{Reserve: true}
	if o.Pools {
		operatorConfig.Pools = []config.Pool{{Handler: o.scenario.Classes[o.scenario.Cheapest].Name, MaxShare: 1}}
	}
	if err = node.SetOperatorConfig(operatorConfig); err != nil {
		return nil, nil, err
	}
	out, err := os.Create(filepath.Join(dir, "node.log"))
	if err != nil {
		return nil, nil, err
	}
	signals, result := make(chan os.Signal, 4), make(chan error, 1)
	log := logging.New(out, "text", "info")
	go func() {
		defer out.Close()
		result <- server.Run(node, log, server.Signals{Drain: signals,
			ReadConfig: func() (*server.StartupFile, error) { return node, nil }})
	}()
	return signals, result, nil
}

// awaitReady waits until the node reports to be healthy.
func (o *demo) awaitReady(ctx context.Context) error {
	err := awaitUntil(ctx, 10*time.Second, 20*time.Millisecond, func() error {
		res, err := o.client.Get("http://" + o.addr + "/health")
		if err != nil {
			return err
		}
		res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("GET /health: status %s, want %d", res.Status, http.StatusOK)
		}
		return nil
	})
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("the node is not ready: %w", err)
	}
	return err
}

// runLoad sends requests and prints a table a second, until the time is over, a key ends it or the context does.
func (o *demo) runLoad(ctx context.Context, w io.Writer, signals chan<- os.Signal) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for k := range o.scenario.Classes {
		o.wg.Add(1)
		go func() { defer o.wg.Done(); o.sendClass(loadCtx, k) }()
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	previousCoreMS, _ := o.kernel.Usage()
	for second := 1; ; second++ {
		select {
		case <-ctx.Done():
			return
		case key := <-o.Keys:
			second--
			if o.handleKey(key, signals) {
				return
			}
			continue
		case <-tick.C:
		}
		coreMS, runs := o.kernel.Usage()
		o.printTable(w, second, (coreMS-previousCoreMS)/1000, runs)
		previousCoreMS = coreMS
		o.injectFault(second)
		if o.Seconds > 0 && second >= o.Seconds {
			return
		}
	}
}

// injectFault begins or ends the fault that is due in a second of the demo.
func (o *demo) injectFault(second int) {
	switch {
	case o.Fault == "slow" && second == o.Seconds/3:
		o.store.Update(func(speed, _, _ *float64) { *speed = 1.0 / 6 })
	case o.Fault == "slow" && second == 2*o.Seconds/3:
		o.store.Update(func(speed, _, _ *float64) { *speed = 1 })
	case o.Fault == "links" && second%5 == 0:
		o.kernel.CloseLink()
	}
}

// handleKey handles a pressed key and reports whether it ends the demo.
func (o *demo) handleKey(key byte, signals chan<- os.Signal) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch key {
	case '+':
		o.Load += 0.1
	case '-':
		o.Load = max(0.1, o.Load-0.1)
	case 's':
		o.surge = !o.surge
	case 'h':
		o.heavy = !o.heavy
		o.kernel.Update(func(classes map[string]*simulation.Class, _ *float64) {
			classes["save"].HeavyFraction, classes["save"].HeavyFactor = map[bool]float64{true: 0.05}[o.heavy], 10
		})
	case 'c':
		o.kernel.Update(func(_ map[string]*simulation.Class, cores *float64) {
			*cores = map[bool]float64{true: 2, false: float64(o.scenario.Cores)}[*cores > 2]
		})
	case 'd':
		signals <- syscall.SIGTERM
	case 'q', 3, 4: // 3 and 4: Ctrl-C and Ctrl-D of a raw terminal
		return true
	}
	return false
}

// sendClass sends one class's requests at exponentially distributed intervals, independent of responses (open loop).
func (o *demo) sendClass(ctx context.Context, k int) {
	r := mrand.New(mrand.NewSource(o.Seed*100 + int64(k)))
	next := time.Now()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		o.mu.Lock()
		rate := o.scenario.Rates(o.Load)[k]
		if o.surge && k == 1 {
			rate *= 5
		}
		o.mu.Unlock()
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			return
		}
		due, tenant := next, r.Intn(o.scenario.Tenants)
		inFlight.Add(1)
		go func() { defer inFlight.Done(); o.sendRequest(k, tenant, due) }()
	}
}

func (o *demo) sendRequest(k, tenant int, due time.Time) {
	c := &o.scenario.Classes[k]
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Handler.Timeout)*100*time.Microsecond)
	defer cancel()
	key := ""
	if k == o.scenario.HighestValue {
		key = randomKey()
	}
	code, _ := sendAttempt(ctx, o.client, o.addr, c.Name, tenant, tenant, key, false)
	latency := time.Since(due)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range []*classResults{o.totals[k], o.lastSecond[k]} {
		s.requests++
		switch {
		case code == http.StatusOK:
			s.done++
			s.latencies.RecordValue(latency.Microseconds() / 100)
			if latency <= time.Duration(c.Handler.LatencyObjective)*100*time.Microsecond {
				s.inTime++
			}
		case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
			s.shed++
		default:
			s.errored++
		}
	}
}

// printTable prints the results of the last second.
func (o *demo) printTable(w io.Writer, second int, cores float64, runs int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var b bytes.Buffer
	if !o.Plain {
		b.WriteString("\x1b[H\x1b[2J")
	}
	fmt.Fprintf(&b, "%4d s  load %.0f%%  cores used %.1f of %d  runs %d  pools %v%s%s\n", second, 100*o.Load, cores,
		o.scenario.Cores, runs, o.Pools, map[bool]string{true: "  surge of fill"}[o.surge],
		map[bool]string{true: "  heavy saves"}[o.heavy])
	t := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tASKED\tDONE\tSHED\tERRORED\tMEDIAN\t95TH\tIN TIME SO FAR")
	for k, s := range o.lastSecond {
		a := o.totals[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t%.3f\n", o.scenario.Classes[k].Name, s.requests, s.done,
			s.shed, s.errored, float64(s.latencies.ValueAtQuantile(50))/10, float64(s.latencies.ValueAtQuantile(95))/10,
			float64(a.inTime)/float64(max(1, a.requests)))
		o.lastSecond[k] = newClassResults()
	}
	t.Flush()
	if o.Keys != nil {
		b.WriteString("+ - load   s surge   h heavy saves   c two cores   d drain   q end\n")
	}
	out := b.Bytes()
	if !o.Plain { // a raw terminal needs carriage returns
		out = bytes.ReplaceAll(out, []byte("\n"), []byte("\r\n"))
	}
	w.Write(out)
}

func (o *demo) results() []DemoResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []DemoResult
	for k, s := range o.totals {
		n := float64(max(1, s.requests))
		out = append(out, DemoResult{o.scenario.Classes[k].Name, s.requests, float64(s.inTime) / n, float64(s.shed) / n,
			float64(s.latencies.ValueAtQuantile(95)) / 10})
	}
	return out
}

package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// kept.go kills a node that keeps results, over and over, at named points and at random ones, and starts it again on its
// folder, while clients repeat their keys at random. The emulated kernel outlives it and counts runs by key.

// ResultStoreTest is `lab kept`.
type ResultStoreTest struct {
	Seed    int64
	Quick   bool
	Kills   int
	Out     string
	Only    string // "kills" or "costs"; empty: both
	Without string
	Program string
}

// KeptGuards can be taken out of the node; with one of them the run ends broken.
var KeptGuards = []string{"proof", "intent", "result"}

// keptPoints are where a node can be told to die.
var keptPoints = []string{"intent", "sync", "durable", "sched", "reap", "result", "answer"}

// A short window, so that repeats come inside it and outside; a run takes some ms.
const (
	keptWindow  = 1500 * time.Millisecond
	keptClients = 4
	keptRepeat  = 0.6
	keptSlack   = 300 * time.Millisecond
	keptClasses = `cores 4
tenants 1
class view work=1 share=1 tail=0 target=300 timeout=1500 value=1
class submit work=3 share=1 tail=0.5 target=600 timeout=1500 value=20
cheapest view
dearest submit`
)

// callResult is one run that the kernel began.
type callResult struct {
	at     time.Time
	result string
}

// resultStoreProcesses is one node, killed over and over.
type resultStoreProcesses struct {
	dir, listen     string
	program         string
	env             []string
	node            process
	kernel          *EmulatedKernel
	store           *EmulatedStore
	control         *readiness
	client          *http.Client
	chance          *rand.Rand
	mu              sync.Mutex
	runs            map[string][]callResult
	effects         map[string]int       // calls that the service below carried out, by key
	told            map[string]time.Time // when a result was told last
	life            int                  // counts deaths
	up              bool
	broken          string
	kills, torn     int
	at              string // the one point at which it dies; empty: any, and at random
	points          map[string]int
	asked, answered int
	done, repeats   int
	cut, unsent     int
	errored, shed   int
}

func newResultStoreProcesses(dir, program string, seed int64, window time.Duration, own, without string) (*resultStoreProcesses, error) {
	r := &resultStoreProcesses{dir: dir, program: program, listen: loopback(8080), runs: map[string][]callResult{}, told: map[string]time.Time{}, effects: map[string]int{},
		points: map[string]int{},
		chance: rand.New(rand.NewSource(seed)), client: keptClient()}
	s, err := simulation.ReadScenario("kept", keptClasses)
	if err != nil {
		return nil, err
	}
	if r.kernel, err = NewEmulatedKernel(loopback(7400), seed, float64(s.Cores), s.Classes, kernelStep); err != nil {
		return nil, err
	}
	r.kernel.begins = r.begins
	if r.store, err = NewEmulatedStore(loopback(9042), seed, 8, 2*time.Millisecond, 1, 1); err != nil {
		return nil, err
	}
	r.store.heard, r.kernel.calls = r.acts, true
	if r.control, err = newReadiness(); err != nil {
		return nil, err
	}
	raw, err := nodeConfig(nodeSetUp{name: "kept", listen: r.listen, kernel: r.kernel.ln.Addr().String(),
		store: r.store.ln.Addr().String(), control: r.control.addr(), cores: s.Cores, tenants: s.Tenants,
		classes: s.Classes, keyed: "submit", window: window})
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(dir, "folder")
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	if own != "" {
		own = strings.ReplaceAll(own, "DIR", folder)
	}
	if err = os.WriteFile(filepath.Join(dir, "node.json"), raw, 0o600); err != nil {
		return nil, err
	}
	r.env = append(os.Environ(), "NODE_CONFIG="+filepath.Join(dir, "node.json"), "UMBERWINCH_FILE="+filepath.Join(dir, "node.ini"))
	if without != "" {
		r.env = append(r.env, WithoutEnv+"=kept-"+without)
	}
	return r, os.WriteFile(filepath.Join(dir, "node.ini"), []byte("[log]\nform = json\nfrom = warning\n"+own), 0o600)
}

// keptClient has connections of one life alone: on one of a life before a try would get an error that says nothing.
func keptClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}
}

func (r *resultStoreProcesses) close() {
	r.node.close()
	r.kernel.Close()
	r.store.Close()
	r.control.close()
	r.client.CloseIdleConnections()
}

// begins is told each run by the kernel, and holds it against those before.
func (r *resultStoreProcesses) begins(body []byte) []byte {
	key, now := string(body), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.runs[key]
	if n := len(before); n > 0 && now.Sub(before[n-1].at) < keptWindow {
		r.fail("%s ran again %v after its last run began, expected %v at least", key, now.Sub(before[n-1].at), keptWindow)
	}
	result := fmt.Sprintf("%s#%d\x00\xff", key, len(before)+1)
	r.runs[key] = append(before, callResult{now, result})
	return []byte(result)
}

// acts is told each call that the service below carries out: an effect that nobody can take back, one a run at most.
func (r *resultStoreProcesses) acts(body []byte) {
	key := string(body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.effects[key]++; r.effects[key] > len(r.runs[key]) {
		r.fail("%s had its effect %d times in %d runs", key, r.effects[key], len(r.runs[key]))
	}
}

func (r *resultStoreProcesses) fail(format string, args ...any) {
	if r.broken == "" {
		r.broken = fmt.Sprintf(format, args...)
	}
}

// start runs the node; die names a point and a count, or is empty.
func (r *resultStoreProcesses) start(die string) error {
	cmd := nodeCommand(r.program)
	cmd.Env = append(slices.Clip(r.env), "UMBERWINCH_DIE_AT="+die)
	log, err := openLog(filepath.Join(r.dir, "node.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stderr = log
	return r.node.start(cmd)
}

// tear leaves part of a write that was never synced at the log's end.
func (r *resultStoreProcesses) tear() error {
	logs, _ := filepath.Glob(filepath.Join(r.dir, "folder", "*.seg"))
	if len(logs) == 0 {
		return nil
	}
	slices.Sort(logs)
	f, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	part := make([]byte, 1+r.chance.Intn(200))
	r.chance.Read(part)
	_, err = f.Write(part)
	r.torn++
	return err
}

// play kills so many times.
func (r *resultStoreProcesses) play(ctx context.Context, kills int) error {
	ctx, end := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range keptClients {
		callers.Add(1)
		chance := rand.New(rand.NewSource(r.chance.Int63()))
		go func() { defer callers.Done(); r.caller(ctx, chance, fmt.Sprintf("%c", 'a'+i)) }()
	}
	defer callers.Wait()
	defer end()
	for r.kills < kills && ctx.Err() == nil && r.broken == "" {
		die, at := "", time.Duration(0)
		switch x := r.chance.Float64(); {
		case x < 0.6 || r.at != "":
			point := r.at
			if point == "" {
				point = keptPoints[r.chance.Intn(len(keptPoints))]
			}
			die = fmt.Sprintf("%s:%d", point, 1+r.chance.Intn(20))
			r.points[point]++
		case x < 0.7: // in the middle of its start
			at = time.Duration(r.chance.Intn(15_000)) * time.Microsecond
		default:
			at = time.Duration(30+r.chance.Intn(170)) * time.Millisecond
		}
		if err := r.start(die); err != nil {
			return err
		}
		r.mu.Lock()
		r.up = true
		r.mu.Unlock()
		wait := time.After(at)
		if die != "" {
			wait = time.After(3 * time.Second) // so many runs may not come
		}
		select {
		case <-r.node.done():
			if at > 0 {
				return fmt.Errorf("the node ended by itself; the end of its log: %s", r.tail())
			}
		case <-wait:
		case <-ctx.Done():
		}
		r.mu.Lock()
		r.life, r.up = r.life+1, false
		r.client.CloseIdleConnections()
		r.client = keptClient()
		r.mu.Unlock()
		r.node.kill()
		r.kills++
		if r.chance.Float64() < 0.2 {
			if err := r.tear(); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

func (r *resultStoreProcesses) tail() string {
	raw, _ := os.ReadFile(filepath.Join(r.dir, "node.log"))
	return string(raw[max(0, len(raw)-600):])
}

// keptRigs at one time: a life is mostly waits.
const keptRigs = 6

// Run plays all and writes the report.
func (k *ResultStoreTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	if k.Kills == 0 {
		if k.Kills = 5000; k.Quick {
			k.Kills = 120
		}
	}
	rep := &report.Report{Name: "kept", Title: "Keyed results across restarts", Head: []string{"case", "kills", "reqs", "done", "repeats done",
		"errored", "shed", "cut by a kill", "torn"}}
	if k.Only != "costs" {
		if err := k.kills(ctx, rep); err != nil {
			return nil, err
		}
	}
	if k.Only != "kills" && k.Without == "" {
		if err := k.costs(ctx, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	if err := rep.Print(w); err != nil {
		return nil, err
	}
	if k.Out != "" {
		return rep, rep.Save(k.Out)
	}
	return rep, nil
}

func (k *ResultStoreTest) kills(ctx context.Context, rep *report.Report) error {
	return withWorkFolder(ctx, rep, func(dir string) error { return k.killsIn(ctx, dir, rep) })
}

func (k *ResultStoreTest) killsIn(ctx context.Context, dir string, rep *report.Report) error {
	ctx, stop := context.WithCancel(ctx)
	rigs, errs := make([]*resultStoreProcesses, keptRigs), make([]error, keptRigs)
	var all sync.WaitGroup
	var ends []func()
	defer func() {
		stop() // a node that can't be set up ends the others' lives
		all.Wait()
		for _, end := range slices.Backward(ends) {
			end()
		}
	}()
	for i := range rigs {
		own := filepath.Join(dir, fmt.Sprint("node", i+1))
		err := os.Mkdir(own, 0o700)
		if err != nil {
			return err
		}
		if rigs[i], err = newResultStoreProcesses(own, k.Program, k.Seed*100+int64(i), keptWindow, "[kept]\nfolder = DIR\nentries = 4000\nmb = 8\n",
			k.Without); err != nil {
			return err
		}
		ends = append(ends, rigs[i].close)
		all.Add(1)
		go func() { defer all.Done(); errs[i] = rigs[i].play(ctx, (k.Kills+keptRigs-1)/keptRigs) }()
	}
	all.Wait()
	sum := &resultStoreProcesses{points: map[string]int{}}
	keys, runs, effects := 0, 0, 0
	for i, r := range rigs {
		if errs[i] != nil {
			return errs[i]
		}
		if r.broken != "" {
			rep.Break("node %d, kill %d: %s", i+1, r.kills, r.broken)
		}
		sum.kills, sum.asked, sum.done, sum.repeats = sum.kills+r.kills, sum.asked+r.asked-r.unsent, sum.done+r.done, sum.repeats+r.repeats
		sum.errored, sum.shed, sum.cut, sum.torn = sum.errored+r.errored, sum.shed+r.shed, sum.cut+r.cut, sum.torn+r.torn
		for _, o := range r.runs {
			keys, runs = keys+1, runs+len(o)
		}
		for _, n := range r.effects {
			effects += n
		}
		for p, n := range r.points {
			sum.points[p] += n
		}
	}
	rep.Rows = append(rep.Rows, []string{"kills", fmt.Sprint(sum.kills), fmt.Sprint(sum.asked), fmt.Sprint(sum.done), fmt.Sprint(sum.repeats),
		fmt.Sprint(sum.errored), fmt.Sprint(sum.shed), fmt.Sprint(sum.cut), fmt.Sprint(sum.torn)})
	for _, p := range keptPoints {
		rep.Add("kills_"+p, "%d", sum.points[p])
	}
	rep.Add("kills", "%d", sum.kills)
	rep.Add("keys_run", "%d", keys)
	rep.Add("runs_after_the_window", "%d", runs-keys)
	rep.Add("effects", "%d", effects)
	rep.Add("repeats_done", "%d", sum.repeats)
	if rep.Broken == "" && (sum.repeats == 0 || sum.done == 0) {
		rep.Break("nothing was shown: %d done, %d repeats of them", sum.done, sum.repeats)
	}
	return nil
}

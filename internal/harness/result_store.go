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

// This file kills a node that stores results, over and over, at named points and at random ones, and starts it again on its
// folder, while clients repeat their keys at random. The emulated kernel outlives it and counts runs by key.

// ResultStoreTest is `umberctl faulttest kept`.
type ResultStoreTest struct {
	Seed    int64
	Quick   bool
	Kills   int
	Out     string
	Only    string // "kills" or "costs"; empty: both
	Without string
	Program string
}

// ResultStoreGuards can be taken out of the node; with one of them the run ends broken.
var ResultStoreGuards = []string{"proof", "intent", "result"}

// crashPoints are where a node can be told to die.
var crashPoints = []string{"intent", "sync", "durable", "sched", "reap", "result", "answer"}

// A short window, so that repeats come inside it and outside; a run takes some ms.
const (
	resultWindow       = 1500 * time.Millisecond
	clientsPerNode     = 4
	repeatShare        = 0.6
	windowSlack        = 300 * time.Millisecond
	resultStoreClasses = `cores 4
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

// resultStoreNode is one node, killed over and over.
type resultStoreNode struct {
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

func newResultStoreNode(dir, program string, seed int64, window time.Duration, own, without string) (*resultStoreNode, error) {
	r := &resultStoreNode{dir: dir, program: program, listen: loopback(8080), runs: map[string][]callResult{}, told: map[string]time.Time{}, effects: map[string]int{},
		points: map[string]int{},
		chance: rand.New(rand.NewSource(seed)), client: newLifeClient()}
	s, err := simulation.ReadScenario("kept", resultStoreClasses)
	if err != nil {
		return nil, err
	}
	if r.kernel, err = NewEmulatedKernel(loopback(7400), seed, float64(s.Cores), s.Classes, kernelStep); err != nil {
		return nil, err
	}
	r.kernel.onBegin = r.begins
	if r.store, err = NewEmulatedStore(loopback(9042), seed, 8, 2*time.Millisecond, 1, 1); err != nil {
		return nil, err
	}
	r.store.onCall, r.kernel.callsStore = r.acts, true
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

// newLifeClient has connections of one life alone: on one of a life before a try would get an error that says nothing.
func newLifeClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}
}

func (r *resultStoreNode) close() {
	r.node.close()
	r.kernel.Close()
	r.store.Close()
	r.control.close()
	r.client.CloseIdleConnections()
}

// begins is told each run by the kernel, and holds it against those before.
func (r *resultStoreNode) begins(body []byte) []byte {
	key, now := string(body), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.runs[key]
	if n := len(before); n > 0 && now.Sub(before[n-1].at) < resultWindow {
		r.fail("%s ran again %v after its last run began, expected %v at least", key, now.Sub(before[n-1].at), resultWindow)
	}
	result := fmt.Sprintf("%s#%d\x00\xff", key, len(before)+1)
	r.runs[key] = append(before, callResult{now, result})
	return []byte(result)
}

// acts is told each call that the service below carries out: an effect that nobody can take back, one a run at most.
func (r *resultStoreNode) acts(body []byte) {
	key := string(body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.effects[key]++; r.effects[key] > len(r.runs[key]) {
		r.fail("%s had its effect %d times in %d runs", key, r.effects[key], len(r.runs[key]))
	}
}

func (r *resultStoreNode) fail(format string, args ...any) {
	if r.broken == "" {
		r.broken = fmt.Sprintf(format, args...)
	}
}

// start runs the node; die names a point and a count, or is empty.
func (r *resultStoreNode) start(die string) error {
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
func (r *resultStoreNode) tear() error {
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
func (r *resultStoreNode) play(ctx context.Context, kills int) error {
	ctx, end := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range clientsPerNode {
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
				point = crashPoints[r.chance.Intn(len(crashPoints))]
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
		r.client = newLifeClient()
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

func (r *resultStoreNode) tail() string {
	raw, _ := os.ReadFile(filepath.Join(r.dir, "node.log"))
	return string(raw[max(0, len(raw)-600):])
}

// nodesAtOnce is how many nodes are killed side by side: the life of one is mostly waits.
const nodesAtOnce = 6

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
	rigs, errs := make([]*resultStoreNode, nodesAtOnce), make([]error, nodesAtOnce)
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
		if rigs[i], err = newResultStoreNode(own, k.Program, k.Seed*100+int64(i), resultWindow, "[kept]\nfolder = DIR\nentries = 4000\nmb = 8\n",
			k.Without); err != nil {
			return err
		}
		ends = append(ends, rigs[i].close)
		all.Add(1)
		go func() { defer all.Done(); errs[i] = rigs[i].play(ctx, (k.Kills+nodesAtOnce-1)/nodesAtOnce) }()
	}
	all.Wait()
	sum := &resultStoreNode{points: map[string]int{}}
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
	for _, p := range crashPoints {
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

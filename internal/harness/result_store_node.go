package harness

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"umberwinch/internal/simulation"
)

// resultStoreNode is one node that stores results, killed over and over. Its stand-ins outlive it.
type resultStoreNode struct {
	dir, listen string
	program     string
	env         []string
	proc        process
	kernel      *EmulatedKernel
	store       *EmulatedStore
	control     *readiness
	history     *resultHistory

	mu   sync.Mutex
	life nodeLife

	// Of what kills it; play alone uses them.
	random     *rand.Rand
	crashPoint string // the one point at which it dies; empty: any, and at random
	kills      killCounts
}

// nodeLife is the time between a node's start and its end.
type nodeLife struct {
	number int
	up     bool
	client *http.Client
}

// killCounts are the kills of a node.
type killCounts struct {
	all, torn int
	byPoint   map[string]int
}

func (k *killCounts) add(o killCounts) {
	k.all += o.all
	k.torn += o.torn
	for point, n := range o.byPoint {
		k.byPoint[point] += n
	}
}

// resultStoreSetUp is what a node under kills is made from.
type resultStoreSetUp struct {
	dir, program string
	seed         int64
	window       time.Duration
	own          string // of the operator's file; DIR stands for the store's folder
	without      string // a guard; empty: none
}

// newResultStoreNode makes a node with its stand-ins, and starts nothing of it yet.
func newResultStoreNode(set resultStoreSetUp) (*resultStoreNode, error) {
	r := &resultStoreNode{dir: set.dir, program: set.program, listen: loopback(8080), history: newResultHistory(),
		random: rand.New(rand.NewSource(set.seed)), life: nodeLife{client: newLifeClient()},
		kills: killCounts{byPoint: map[string]int{}}}
	if err := r.setUp(set); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *resultStoreNode) setUp(set resultStoreSetUp) error {
	s, err := simulation.ReadScenario("kept", resultStoreClasses)
	if err != nil {
		return err
	}
	if r.kernel, err = NewEmulatedKernel(loopback(7400), set.seed, float64(s.Cores), s.Classes,
		kernelStep); err != nil {
		return err
	}
	r.kernel.onBegin, r.kernel.callsStore = r.history.runBegins, true
	if r.store, err = NewEmulatedStore(loopback(9042), set.seed, 8, 2*time.Millisecond, 1, 1); err != nil {
		return err
	}
	r.store.onCall = r.history.effectDone
	if r.control, err = newReadiness(); err != nil {
		return err
	}
	raw, err := nodeConfig(nodeSetUp{name: "kept", listen: r.listen, kernel: r.kernel.ln.Addr().String(),
		store: r.store.ln.Addr().String(), control: r.control.addr(), cores: s.Cores, tenants: s.Tenants,
		classes: s.Classes, keyed: "submit", window: set.window})
	if err != nil {
		return err
	}
	return r.writeFiles(set, raw)
}

// writeFiles writes the node's start-up file and its operator's file.
func (r *resultStoreNode) writeFiles(set resultStoreSetUp, config []byte) error {
	folder := filepath.Join(r.dir, "folder")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	start, own := filepath.Join(r.dir, "node.json"), filepath.Join(r.dir, "node.ini")
	if err := os.WriteFile(start, config, 0o600); err != nil {
		return err
	}
	r.env = append(os.Environ(), "NODE_CONFIG="+start, "UMBERWINCH_FILE="+own)
	if set.without != "" {
		r.env = append(r.env, WithoutEnv+"=kept-"+set.without)
	}
	text := "[log]\nform = json\nfrom = warning\n" + strings.ReplaceAll(set.own, "DIR", folder)
	return os.WriteFile(own, []byte(text), 0o600)
}

// newLifeClient has connections of one life alone: on one of a life before an attempt would get an error that says
// nothing.
func newLifeClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 5 * time.Second}}
}

func (r *resultStoreNode) close() {
	r.proc.close()
	if r.kernel != nil {
		r.kernel.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
	if r.control != nil {
		r.control.close()
	}
	r.life.client.CloseIdleConnections()
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
	return r.proc.start(cmd)
}

func (r *resultStoreNode) currentLife() nodeLife {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// alive tells whether the node is up in a life still.
func (r *resultStoreNode) alive(in nodeLife) bool {
	life := r.currentLife()
	return life.up && life.number == in.number
}

func (r *resultStoreNode) beginLife() {
	r.mu.Lock()
	r.life.up = true
	r.mu.Unlock()
}

func (r *resultStoreNode) endLife() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life.client.CloseIdleConnections()
	r.life = nodeLife{number: r.life.number + 1, client: newLifeClient()}
}

// play kills the node so many times, while callers send requests, or until a promise is broken.
func (r *resultStoreNode) play(ctx context.Context, kills int) error {
	ctx, end := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer end()
	for i := range clientsPerNode {
		keys := &keyChooser{random: rand.New(rand.NewSource(r.random.Int63())), name: fmt.Sprintf("%c", 'a'+i)}
		callers.Go(func() { r.caller(ctx, keys) })
	}
	for r.kills.all < kills && ctx.Err() == nil && r.history.broken() == "" {
		if err := r.liveOnce(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// nodeDeath is how a life ends: at a named point of the node's work, or after a time.
type nodeDeath struct {
	point string // and a count; empty: none
	after time.Duration
}

// pointPatience is how long a node may take to come to a named point: so many runs may not come.
const pointPatience = 3 * time.Second

func (r *resultStoreNode) drawDeath() nodeDeath {
	switch x := r.random.Float64(); {
	case x < 0.6 || r.crashPoint != "":
		point := r.crashPoint
		if point == "" {
			point = crashPoints[r.random.Intn(len(crashPoints))]
		}
		r.kills.byPoint[point]++
		return nodeDeath{fmt.Sprintf("%s:%d", point, 1+r.random.Intn(20)), pointPatience}
	case x < 0.7: // in the middle of its start
		return nodeDeath{after: time.Duration(r.random.Intn(15_000)) * time.Microsecond}
	}
	return nodeDeath{after: time.Duration(30+r.random.Intn(170)) * time.Millisecond}
}

// liveOnce starts the node on its folder and has it die; at times a part of a write is left at its log's end.
func (r *resultStoreNode) liveOnce(ctx context.Context) error {
	death := r.drawDeath()
	if err := r.start(death.point); err != nil {
		return err
	}
	r.beginLife()
	select {
	case <-r.proc.done():
		if death.point == "" && death.after > 0 {
			return fmt.Errorf("the node ended by itself; the end of its log: %s", r.tail())
		}
	case <-time.After(death.after):
	case <-ctx.Done():
	}
	r.endLife()
	r.proc.kill()
	r.kills.all++
	if r.random.Float64() < 0.2 {
		return r.tear()
	}
	return nil
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
	part := make([]byte, 1+r.random.Intn(200))
	r.random.Read(part)
	_, err = f.Write(part)
	r.kills.torn++
	return err
}

// tail gives the end of the node's log.
func (r *resultStoreNode) tail() string {
	raw, _ := os.ReadFile(filepath.Join(r.dir, "node.log"))
	return string(raw[max(0, len(raw)-600):])
}

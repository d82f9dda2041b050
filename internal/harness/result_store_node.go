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

// resultStoreNode is one node that stores results and is killed repeatedly. The emulated kernel and store survive
// it.
type resultStoreNode struct {
	dir, listen string
	program     string
	env         []string
	process     process
	kernel      *EmulatedKernel
	store       *EmulatedStore
	control     *readiness
	history     *resultHistory

	mu          sync.Mutex
	incarnation nodeIncarnation

	// Used by killRepeatedly alone.
	random     *rand.Rand
	crashPoint string // the one point at which it crashes; empty: any point or a random time
	kills      killCounts
}

// nodeIncarnation is one run of the node's process.
type nodeIncarnation struct {
	number  int
	running bool
	client  *http.Client
}

// killCounts counts a node's kills, and the torn writes appended to its log.
type killCounts struct {
	total, tornWrites int
	byPoint           map[string]int
}

func (k *killCounts) add(o killCounts) {
	k.total += o.total
	k.tornWrites += o.tornWrites
	for point, n := range o.byPoint {
		k.byPoint[point] += n
	}
}

// resultStoreConfig configures a resultStoreNode.
type resultStoreConfig struct {
	dir, program   string
	seed           int64
	window         time.Duration
	operatorConfig string // part of the operator's file; DIR stands for the store's folder
	disabledGuard  string // empty: none
}

// newResultStoreNode prepares a node and its emulated services; start starts the process.
func newResultStoreNode(config resultStoreConfig) (*resultStoreNode, error) {
	r := &resultStoreNode{dir: config.dir, program: config.program, listen: newLoopbackAddr(8080),
		history: newResultHistory(), random: rand.New(rand.NewSource(config.seed)),
		incarnation: nodeIncarnation{client: newIncarnationClient()}, kills: killCounts{byPoint: map[string]int{}}}
	if err := r.init(config); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *resultStoreNode) init(config resultStoreConfig) error {
	s, err := simulation.ReadScenario("kept", resultStoreClasses)
	if err != nil {
		return err
	}
	if r.kernel, err = NewEmulatedKernel(newLoopbackAddr(7400), config.seed, float64(s.Cores), s.Classes,
		kernelStepInterval); err != nil {
		return err
	}
	r.kernel.onRunStart, r.kernel.callsStore = r.history.runStarted, true
	if r.store, err = NewEmulatedStore(newLoopbackAddr(9042), config.seed, 8, 2*time.Millisecond, 1, 1); err != nil {
		return err
	}
	r.store.onExecute = r.history.callExecuted
	if r.control, err = newReadiness(); err != nil {
		return err
	}
	raw, err := encodeStartupFile(startupParams{name: "kept", listen: r.listen,
		kernel: r.kernel.listener.Addr().String(), store: r.store.listener.Addr().String(), control: r.control.addr(),
		cores: s.Cores, tenants: s.Tenants, classes: s.Classes, keyedClass: "submit", idempotencyWindow: config.window})
	if err != nil {
		return err
	}
	return r.writeFiles(config, raw)
}

// writeFiles writes the node's start-up file and its operator's file.
func (r *resultStoreNode) writeFiles(params resultStoreConfig, config []byte) error {
	folder := filepath.Join(r.dir, "folder")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	startupFile, operatorFile := filepath.Join(r.dir, "node.json"), filepath.Join(r.dir, "node.ini")
	if err := os.WriteFile(startupFile, config, 0o600); err != nil {
		return err
	}
	r.env = append(os.Environ(), "NODE_CONFIG="+startupFile, "UMBERWINCH_FILE="+operatorFile)
	if params.disabledGuard != "" {
		r.env = append(r.env, disabledGuardsEnv+"=kept-"+params.disabledGuard)
	}
	text := "[log]\nform = json\nfrom = warning\n" + strings.ReplaceAll(params.operatorConfig, "DIR", folder)
	return os.WriteFile(operatorFile, []byte(text), 0o600)
}

// newIncarnationClient returns a client for one incarnation: an attempt on a connection to an earlier one would fail
// in a way that tells nothing about the node.
func newIncarnationClient() *http.Client {
	return &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 5 * time.Second}}
}

func (r *resultStoreNode) close() {
	r.process.close()
	if r.kernel != nil {
		r.kernel.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
	if r.control != nil {
		r.control.close()
	}
	r.incarnation.client.CloseIdleConnections()
}

// start starts the node's process; crashAt is a point and a count, or empty.
func (r *resultStoreNode) start(crashAt string) error {
	cmd := nodeCommand(r.program)
	cmd.Env = append(slices.Clip(r.env), "UMBERWINCH_DIE_AT="+crashAt)
	log, err := openLog(filepath.Join(r.dir, "node.log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stderr = log
	return r.process.start(cmd)
}

func (r *resultStoreNode) currentIncarnation() nodeIncarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// isRunning reports whether an incarnation is the current one and running.
func (r *resultStoreNode) isRunning(incarnation nodeIncarnation) bool {
	current := r.currentIncarnation()
	return current.running && current.number == incarnation.number
}

func (r *resultStoreNode) beginIncarnation() {
	r.mu.Lock()
	r.incarnation.running = true
	r.mu.Unlock()
}

func (r *resultStoreNode) endIncarnation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation.client.CloseIdleConnections()
	r.incarnation = nodeIncarnation{number: r.incarnation.number + 1, client: newIncarnationClient()}
}

// killRepeatedly kills the node a number of times while callers send requests, or until a violation.
func (r *resultStoreNode) killRepeatedly(ctx context.Context, kills int) error {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for i := range clientsPerNode {
		keys := &keyChooser{random: rand.New(rand.NewSource(r.random.Int63())), name: fmt.Sprintf("%c", 'a'+i)}
		callers.Go(func() { r.runCaller(ctx, keys) })
	}
	for r.kills.total < kills && ctx.Err() == nil && r.history.violation() == "" {
		if err := r.runIncarnation(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// nodeCrash is the end of an incarnation: at a named point, or after a time.
type nodeCrash struct {
	point string // with a count, as point:count; empty: none
	after time.Duration
}

// crashPointTimeout is the time after which the node is killed if it doesn't reach its crash point.
const crashPointTimeout = 3 * time.Second

func (r *resultStoreNode) drawCrash() nodeCrash {
	switch x := r.random.Float64(); {
	case x < 0.6 || r.crashPoint != "":
		point := r.crashPoint
		if point == "" {
			point = crashPoints[r.random.Intn(len(crashPoints))]
		}
		r.kills.byPoint[point]++
		return nodeCrash{fmt.Sprintf("%s:%d", point, 1+r.random.Intn(20)), crashPointTimeout}
	case x < 0.7: // during startup
		return nodeCrash{after: time.Duration(r.random.Intn(15_000)) * time.Microsecond}
	}
	return nodeCrash{after: time.Duration(30+r.random.Intn(170)) * time.Millisecond}
}

// runIncarnation starts the node on its folder and lets it crash. One in five times a torn write is left at the end
// of its log.
func (r *resultStoreNode) runIncarnation(ctx context.Context) error {
	crash := r.drawCrash()
	if err := r.start(crash.point); err != nil {
		return err
	}
	r.beginIncarnation()
	select {
	case <-r.process.done():
		if crash.point == "" && crash.after > 0 {
			return fmt.Errorf("the node ended by itself; the end of its log: %s", r.logTail())
		}
	case <-time.After(crash.after):
	case <-ctx.Done():
	}
	r.endIncarnation()
	r.process.kill()
	r.kills.total++
	if r.random.Float64() < 0.2 {
		return r.appendTornWrite()
	}
	return nil
}

// appendTornWrite appends random bytes to the log, as an incomplete write does.
func (r *resultStoreNode) appendTornWrite() error {
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
	r.kills.tornWrites++
	return err
}

// logTail returns the last 600 bytes of the node's log.
func (r *resultStoreNode) logTail() string {
	raw, _ := os.ReadFile(filepath.Join(r.dir, "node.log"))
	return string(raw[max(0, len(raw)-600):])
}

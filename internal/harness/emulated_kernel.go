package harness

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"net"
	"sync"
	"time"

	"umberwinch/internal/simulation"
)

// EmulatedKernel emulates a kernel on a socket: it speaks the platform's protocol to one node and divides a number
// of emulated cores evenly among the runnable runs. A run uses no real core time: it ends once its share of the
// emulated cores adds up to its work.
type EmulatedKernel struct {
	mu           sync.Mutex
	random       *rand.Rand
	listener     net.Listener
	conn         net.Conn
	classes      map[string]*simulation.Class
	cores        float64
	runs         map[string]*kernelRun
	runOrder     []string
	events       [][]byte // sent events, the latest retainedEvents of them
	firstEvent   int      // index of events[0]
	coreMS       float64  // core time used since the start
	lastStep     time.Time
	stepInterval time.Duration // between two updates of the runs
	stop         chan struct{}
	callsStore   bool                     // each run makes one call to the store, halfway through its work
	onRunStart   func(body []byte) []byte // called as a run starts, returns its result; nil: "done" for all
	down         bool
	wg           sync.WaitGroup // goroutines that accept and serve links and update runs
}

// kernelRun is a run in progress.
type kernelRun struct {
	remainingMS float64 // work left
	callAtMS    float64 // work left at which it makes its call; 0: none, or it was made
	inCall      bool    // it waits for the result of its call
	startedAt   time.Time
	result      []byte
	callBody    []byte
}

const (
	retainedEvents     = 4000
	kernelStepInterval = time.Millisecond
	maxCallWait        = 1500 * time.Millisecond // a run that has waited longer in a call is stopped
)

// NewEmulatedKernel starts an emulated kernel that listens on an address.
func NewEmulatedKernel(addr string, seed int64, cores float64, classes []simulation.Class,
	step time.Duration) (*EmulatedKernel, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &EmulatedKernel{random: rand.New(rand.NewSource(seed)), listener: ln, classes: map[string]*simulation.Class{},
		cores: cores, runs: map[string]*kernelRun{}, firstEvent: 1, lastStep: time.Now(), stepInterval: step,
		stop: make(chan struct{})}
	for i := range classes {
		c := classes[i]
		k.classes[c.Name] = &c
	}
	k.wg.Go(k.accept)
	k.wg.Go(k.runSteps)
	return k, nil
}

// Close closes the listener and the link and waits for the kernel's goroutines.
func (k *EmulatedKernel) Close() {
	close(k.stop)
	k.listener.Close()
	k.mu.Lock()
	k.down = true
	if k.conn != nil {
		k.conn.Close()
	}
	k.mu.Unlock()
	k.wg.Wait()
}

// Update changes the classes or the number of cores.
func (k *EmulatedKernel) Update(change func(classes map[string]*simulation.Class, cores *float64)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.classes, &k.cores)
}

// SetDown takes the kernel down or up. While it is down it makes no progress and accepts no link; when it comes up
// again it reports all its runs as failed.
func (k *EmulatedKernel) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down = down; down && k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
	if !down {
		for len(k.runOrder) > 0 {
			k.endRun(k.runOrder[0], "ERROR")
		}
	}
}

// CloseLink closes the link; runs continue.
func (k *EmulatedKernel) CloseLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// runnable counts the runs that aren't in a call.
func (k *EmulatedKernel) runnable() (n float64) {
	for _, r := range k.runs {
		if !r.inCall {
			n++
		}
	}
	return n
}

// Usage returns the core time used since the start, in ms, and the number of runs.
func (k *EmulatedKernel) Usage() (float64, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreMS, len(k.runs)
}

func (k *EmulatedKernel) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		if k.down {
			k.mu.Unlock()
			c.Close()
			continue
		}
		if k.conn != nil {
			k.conn.Close() // a new link replaces the previous one
		}
		k.conn = c
		k.mu.Unlock()
		k.wg.Go(func() { k.serve(c) })
	}
}

// command is a message from the node; its fields are the protocol's.
type command struct {
	Verb, Task, Handler, Nonce string
	Bytes                      []byte
	Index                      int
}

func (k *EmulatedKernel) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewReaderSize(c, 16<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var cmd command
		if json.Unmarshal(line, &cmd) != nil {
			return
		}
		k.mu.Lock()
		known := k.execute(c, &cmd)
		k.mu.Unlock()
		if !known {
			return
		}
	}
}

// execute executes one command. It returns false for an unknown command, which closes the link.
func (k *EmulatedKernel) execute(c net.Conn, cmd *command) bool {
	switch cmd.Verb {
	case "OPEN":
		fmt.Fprintf(c, "{\"verb\":\"BOOTED\",\"outcome\":\"WARM\",\"spent\":60000}\n")
		for i := max(cmd.Index+1-k.firstEvent, 0); i < len(k.events); i++ {
			c.Write(k.events[i])
		}
	case "SYSINFO":
		n := k.runnable()
		fmt.Fprintf(c, "{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[%.3f,%.1f,0.1,10]}\n", cmd.Nonce,
			min(1, n/k.cores), n)
	case "SCHED":
		class := k.classes[cmd.Handler]
		switch {
		case class == nil || len(cmd.Task) != 16:
			fmt.Fprintf(c, "{\"verb\":\"EINVAL\",\"outcome\":\"SCHED\",\"task\":%q}\n", cmd.Task)
		case k.runs[cmd.Task] == nil:
			r := &kernelRun{remainingMS: k.drawWork(class), startedAt: time.Now()}
			if k.callsStore {
				r.callAtMS = r.remainingMS / 2
			}
			if r.result, r.callBody = []byte("done"), []byte("ask"); k.onRunStart != nil {
				r.result, r.callBody = k.onRunStart(cmd.Bytes), cmd.Bytes
			}
			k.runs[cmd.Task] = r
			k.runOrder = append(k.runOrder, cmd.Task)
		}
	case "PREEMPT":
		if r := k.runs[cmd.Task]; r != nil {
			k.endRun(cmd.Task, "STOPPED")
		}
	case "IODONE", "NOIO":
		if r := k.runs[cmd.Task]; r != nil {
			r.inCall = false
		}
	case "RESCHED":
	default:
		return false
	}
	return true
}

// drawWork draws a run's work, in ms of core time.
func (k *EmulatedKernel) drawWork(c *simulation.Class) float64 {
	work := c.MeanWork / 10
	if c.WorkSigma > 0 {
		work *= math.Exp(c.WorkSigma*k.random.NormFloat64() - c.WorkSigma*c.WorkSigma/2)
	}
	if k.random.Float64() < c.HeavyFraction {
		work *= c.HeavyFactor
	}
	return work
}

// runSteps advances all runs every stepInterval, each by an equal share of the cores and by one core at most.
func (k *EmulatedKernel) runSteps() {
	tick := time.NewTicker(k.stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-tick.C:
		}
		k.mu.Lock()
		now := time.Now()
		elapsedMS := float64(now.Sub(k.lastStep)) / float64(time.Millisecond)
		k.lastStep = now
		if n := k.runnable(); len(k.runs) > 0 && !k.down {
			shareMS := elapsedMS * min(1, k.cores/max(n, 1))
			k.coreMS += elapsedMS * min(n, k.cores)
			for i := 0; i < len(k.runOrder); i++ {
				id := k.runOrder[i]
				r := k.runs[id]
				if r.inCall {
					if time.Since(r.startedAt) > maxCallWait {
						k.endRun(id, "STOPPED")
						i--
					}
					continue
				}
				if r.remainingMS -= shareMS; r.callAtMS > 0 && r.remainingMS <= r.callAtMS {
					r.callAtMS, r.inCall = 0, true
					k.sendEvent(fmt.Sprintf("{\"verb\":\"IOREQ\",\"index\":%d,\"task\":%q,\"bytes\":%q}\n",
						k.firstEvent+len(k.events), id,
						base64.StdEncoding.EncodeToString(r.callBody)))
				} else if r.remainingMS <= 0 {
					k.endRun(id, "OK")
					i--
				}
			}
		}
		k.mu.Unlock()
	}
}

// endRun removes a run and sends the event of its end.
func (k *EmulatedKernel) endRun(id, outcome string) {
	r := k.runs[id]
	delete(k.runs, id)
	for i, other := range k.runOrder {
		if other == id {
			k.runOrder = append(k.runOrder[:i], k.runOrder[i+1:]...)
			break
		}
	}
	body := ""
	if outcome == "OK" {
		body = base64.StdEncoding.EncodeToString(r.result)
	}
	k.sendEvent(fmt.Sprintf("{\"verb\":\"REAP\",\"index\":%d,\"task\":%q,\"outcome\":%q,\"spent\":%.1f,\"bytes\":%q}\n",
		k.firstEvent+len(k.events), id, outcome, float64(time.Since(r.startedAt))/float64(time.Millisecond), body))
}

// sendEvent sends an event and retains it, so that a new link can get it again.
func (k *EmulatedKernel) sendEvent(text string) {
	line := []byte(text)
	k.events = append(k.events, line)
	if len(k.events) > retainedEvents {
		k.events = k.events[1:]
		k.firstEvent++
	}
	if k.conn != nil {
		k.conn.SetWriteDeadline(time.Now().Add(time.Second))
		k.conn.Write(line)
	}
}

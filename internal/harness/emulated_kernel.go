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

// EmulatedKernel is an emulated kernel on a socket: it speaks the platform's protocol to one node and shares a number
// of cores among what runs. Work takes no real core: each run is told over once the service it would have had is its
// work.
type EmulatedKernel struct {
	mu         sync.Mutex
	random     *rand.Rand
	ln         net.Listener
	conn       net.Conn
	classes    map[string]*simulation.Class
	cores      float64
	runs       map[string]*kernelRun
	order      []string
	events     [][]byte // the latest retainedEvents
	first      int      // number of events[0]
	busy       float64  // core time used, in ms
	at         time.Time
	step       time.Duration // between looks at what has ended
	stop       chan struct{}
	callsStore bool                     // each run calls below once, in the middle of its work
	onBegin    func(body []byte) []byte // told each run as it begins, and gives its result; nil: "done" for all
	dead       bool
	wg         sync.WaitGroup // of what accepts, works and serves links
}

type kernelRun struct {
	remaining float64 // ms of work
	callAt    float64 // it calls below when so much is left; 0: not, or not any more
	waiting   bool    // it stands at that call
	began     time.Time
	result    []byte
	callBody  []byte // the body of its call
}

const (
	retainedEvents = 4000
	kernelStep     = time.Millisecond
	maxCallWait    = 1500 * time.Millisecond // that a run stands at a call: what it is for is over by then
)

// NewEmulatedKernel listens on an address.
func NewEmulatedKernel(addr string, seed int64, cores float64, classes []simulation.Class,
	step time.Duration) (*EmulatedKernel, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &EmulatedKernel{random: rand.New(rand.NewSource(seed)), ln: ln, classes: map[string]*simulation.Class{},
		cores: cores, runs: map[string]*kernelRun{}, first: 1, at: time.Now(), step: step, stop: make(chan struct{})}
	for i := range classes {
		c := classes[i]
		k.classes[c.Name] = &c
	}
	k.wg.Go(k.accept)
	k.wg.Go(k.work)
	return k, nil
}

// Close ends it and waits for its goroutines.
func (k *EmulatedKernel) Close() {
	close(k.stop)
	k.ln.Close()
	k.mu.Lock()
	k.dead = true
	if k.conn != nil {
		k.conn.Close()
	}
	k.mu.Unlock()
	k.wg.Wait()
}

// Set changes a class, or the cores, while it goes on.
func (k *EmulatedKernel) Set(change func(classes map[string]*simulation.Class, cores *float64)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.classes, &k.cores)
}

// Kill has it stand still and take no link, until it is told otherwise; then it has forgotten every run.
func (k *EmulatedKernel) Kill(dead bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead = dead; dead && k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
	if !dead {
		for len(k.order) > 0 {
			k.endRun(k.order[0], "ERROR")
		}
	}
}

// Break ends the link; what runs goes on.
func (k *EmulatedKernel) Break() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// onCores counts the runs that want cores.
func (k *EmulatedKernel) onCores() (n float64) {
	for _, r := range k.runs {
		if !r.waiting {
			n++
		}
	}
	return n
}

// Used gives the core time used so far, in ms, and how many runs there are.
func (k *EmulatedKernel) Used() (float64, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.busy, len(k.runs)
}

func (k *EmulatedKernel) accept() {
	for {
		c, err := k.ln.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			c.Close()
			continue
		}
		if k.conn != nil {
			k.conn.Close() // a new link takes the place of the one before
		}
		k.conn = c
		k.mu.Unlock()
		k.wg.Go(func() { k.serve(c) })
	}
}

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
		var m command
		if json.Unmarshal(line, &m) != nil {
			return
		}
		k.mu.Lock()
		known := k.execute(c, &m)
		k.mu.Unlock()
		if !known {
			return
		}
	}
}

// execute carries out one command; false closes the link.
func (k *EmulatedKernel) execute(c net.Conn, m *command) bool {
	switch m.Verb {
	case "OPEN":
		fmt.Fprintf(c, "{\"verb\":\"BOOTED\",\"outcome\":\"WARM\",\"spent\":60000}\n")
		for i := max(m.Index+1-k.first, 0); i < len(k.events); i++ {
			c.Write(k.events[i])
		}
	case "SYSINFO":
		n := k.onCores()
		fmt.Fprintf(c, "{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[%.3f,%.1f,0.1,10]}\n", m.Nonce,
			min(1, n/k.cores), n)
	case "SCHED":
		class := k.classes[m.Handler]
		switch {
		case class == nil || len(m.Task) != 16:
			fmt.Fprintf(c, "{\"verb\":\"EINVAL\",\"outcome\":\"SCHED\",\"task\":%q}\n", m.Task)
		case k.runs[m.Task] == nil:
			r := &kernelRun{remaining: k.drawWork(class), began: time.Now()}
			if k.callsStore {
				r.callAt = r.remaining / 2
			}
			if r.result, r.callBody = []byte("done"), []byte("ask"); k.onBegin != nil {
				r.result, r.callBody = k.onBegin(m.Bytes), m.Bytes
			}
			k.runs[m.Task] = r
			k.order = append(k.order, m.Task)
		}
	case "PREEMPT":
		if r := k.runs[m.Task]; r != nil {
			k.endRun(m.Task, "STOPPED")
		}
	case "IODONE", "NOIO":
		if r := k.runs[m.Task]; r != nil {
			r.waiting = false
		}
	case "RESCHED":
	default:
		return false
	}
	return true
}

func (k *EmulatedKernel) drawWork(c *simulation.Class) float64 {
	work := c.Work / 10
	if c.WorkSigma > 0 {
		work *= math.Exp(c.WorkSigma*k.random.NormFloat64() - c.WorkSigma*c.WorkSigma/2)
	}
	if k.random.Float64() < c.HeavyShare {
		work *= c.HeavyFactor
	}
	return work
}

// work lets all runs go on, each with its part of the cores.
func (k *EmulatedKernel) work() {
	tick := time.NewTicker(k.step)
	defer tick.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-tick.C:
		}
		k.mu.Lock()
		now := time.Now()
		dt := float64(now.Sub(k.at)) / float64(time.Millisecond)
		k.at = now
		if n := k.onCores(); len(k.runs) > 0 && !k.dead {
			part := dt * min(1, k.cores/max(n, 1))
			k.busy += dt * min(n, k.cores)
			for i := 0; i < len(k.order); i++ {
				id := k.order[i]
				r := k.runs[id]
				if r.waiting {
					if time.Since(r.began) > maxCallWait {
						k.endRun(id, "STOPPED")
						i--
					}
					continue
				}
				if r.remaining -= part; r.callAt > 0 && r.remaining <= r.callAt {
					r.callAt, r.waiting = 0, true
					k.sendEvent(fmt.Sprintf("{\"verb\":\"IOREQ\",\"index\":%d,\"task\":%q,\"bytes\":%q}\n",
						k.first+len(k.events), id,
						base64.StdEncoding.EncodeToString(r.callBody)))
				} else if r.remaining <= 0 {
					k.endRun(id, "OK")
					i--
				}
			}
		}
		k.mu.Unlock()
	}
}

// endRun ends a run and tells of it.
func (k *EmulatedKernel) endRun(id, how string) {
	r := k.runs[id]
	delete(k.runs, id)
	for i, o := range k.order {
		if o == id {
			k.order = append(k.order[:i], k.order[i+1:]...)
			break
		}
	}
	body := ""
	if how == "OK" {
		body = base64.StdEncoding.EncodeToString(r.result)
	}
	k.sendEvent(fmt.Sprintf("{\"verb\":\"REAP\",\"index\":%d,\"task\":%q,\"outcome\":%q,\"spent\":%.1f,\"bytes\":%q}\n",
		k.first+len(k.events), id, how, float64(time.Since(r.began))/float64(time.Millisecond), body))
}

// sendEvent sends a notice and keeps it for a link that comes later.
func (k *EmulatedKernel) sendEvent(text string) {
	line := []byte(text)
	k.events = append(k.events, line)
	if len(k.events) > retainedEvents {
		k.events = k.events[1:]
		k.first++
	}
	if k.conn != nil {
		k.conn.SetWriteDeadline(time.Now().Add(time.Second))
		k.conn.Write(line)
	}
}

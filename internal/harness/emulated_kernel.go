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

// EmulatedKernel is an emulated kernel on a socket: it speaks the platform's protocol to one node and shares a number of cores
// among what runs. Work takes no real core: each run is told over once the service it would have had is its work.
type EmulatedKernel struct {
	mu      sync.Mutex
	r       *rand.Rand
	ln      net.Listener
	link    net.Conn
	classes map[string]*simulation.Class
	cores   float64
	runs    map[string]*kernelRun
	order   []string
	notices [][]byte // the latest keptNotices
	first   int      // number of notices[0]
	busy    float64  // core time used, in ms
	at      time.Time
	step    time.Duration // between looks at what has ended
	stop    chan struct{}
	calls   bool                     // each run calls below once, in the middle of its work
	begins  func(body []byte) []byte // told each run as it begins, and gives its result; nil: "done" for all
	dead    bool
	wg      sync.WaitGroup // of what accepts, works and serves links
}

type kernelRun struct {
	left  float64 // ms of work
	call  float64 // it calls below when so much is left; 0: not, or not any more
	away  bool    // it stands at that call
	began time.Time
	gives []byte
	asks  []byte // the body of its call
}

const (
	keptNotices = 4000
	kernelStep  = time.Millisecond
	standMost   = 1500 * time.Millisecond // that a run stands at a call: what it is for is over by then
)

// NewEmulatedKernel listens on an address.
func NewEmulatedKernel(addr string, seed int64, cores float64, classes []simulation.Class, step time.Duration) (*EmulatedKernel, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &EmulatedKernel{r: rand.New(rand.NewSource(seed)), ln: ln, classes: map[string]*simulation.Class{}, cores: cores,
		runs: map[string]*kernelRun{}, first: 1, at: time.Now(), step: step, stop: make(chan struct{})}
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
	if k.link != nil {
		k.link.Close()
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
	if k.dead = dead; dead && k.link != nil {
		k.link.Close()
		k.link = nil
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
	if k.link != nil {
		k.link.Close()
		k.link = nil
	}
}

// onCores counts the runs that want cores.
func (k *EmulatedKernel) onCores() (n float64) {
	for _, r := range k.runs {
		if !r.away {
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
		if k.link != nil {
			k.link.Close() // a new link takes the place of the one before
		}
		k.link = c
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
		for i := max(m.Index+1-k.first, 0); i < len(k.notices); i++ {
			c.Write(k.notices[i])
		}
	case "SYSINFO":
		n := k.onCores()
		fmt.Fprintf(c, "{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[%.3f,%.1f,0.1,10]}\n", m.Nonce, min(1, n/k.cores), n)
	case "SCHED":
		class := k.classes[m.Handler]
		switch {
		case class == nil || len(m.Task) != 16:
			fmt.Fprintf(c, "{\"verb\":\"EINVAL\",\"outcome\":\"SCHED\",\"task\":%q}\n", m.Task)
		case k.runs[m.Task] == nil:
			r := &kernelRun{left: k.drawWork(class), began: time.Now()}
			if k.calls {
				r.call = r.left / 2
			}
			if r.gives, r.asks = []byte("done"), []byte("ask"); k.begins != nil {
				r.gives, r.asks = k.begins(m.Bytes), m.Bytes
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
			r.away = false
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
		work *= math.Exp(c.WorkSigma*k.r.NormFloat64() - c.WorkSigma*c.WorkSigma/2)
	}
	if k.r.Float64() < c.HeavyShare {
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
				if r.away {
					if time.Since(r.began) > standMost {
						k.endRun(id, "STOPPED")
						i--
					}
					continue
				}
				if r.left -= part; r.call > 0 && r.left <= r.call {
					r.call, r.away = 0, true
					k.sendEvent(fmt.Sprintf("{\"verb\":\"IOREQ\",\"index\":%d,\"task\":%q,\"bytes\":%q}\n", k.first+len(k.notices), id,
						base64.StdEncoding.EncodeToString(r.asks)))
				} else if r.left <= 0 {
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
		body = base64.StdEncoding.EncodeToString(r.gives)
	}
	k.sendEvent(fmt.Sprintf("{\"verb\":\"REAP\",\"index\":%d,\"task\":%q,\"outcome\":%q,\"spent\":%.1f,\"bytes\":%q}\n",
		k.first+len(k.notices), id, how, float64(time.Since(r.began))/float64(time.Millisecond), body))
}

// sendEvent sends a notice and keeps it for a link that comes later.
func (k *EmulatedKernel) sendEvent(text string) {
	line := []byte(text)
	k.notices = append(k.notices, line)
	if len(k.notices) > keptNotices {
		k.notices = k.notices[1:]
		k.first++
	}
	if k.link != nil {
		k.link.SetWriteDeadline(time.Now().Add(time.Second))
		k.link.Write(line)
	}
}

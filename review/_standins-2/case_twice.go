package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["run-twice"] = runTwice }

// diskKernel is a stand-in of a kernel whose runs end with a wait for disk, off the cores. Its cores suffice for all
// runs. If the disruption is on, its link breaks now and then. Commands that it had not read by then are lost.
type diskKernel struct {
	bench *bench
	name  string
	addr  string

	mu       sync.Mutex
	link     net.Conn
	notices  [][]byte
	runs     map[string]*diskRun
	over     map[string]bool
	breaks   int
	probes   int // stops that had no effect, as the run was off the cores
	again    int // starts of a request that runs already
	runTwice []string
}

type diskRun struct {
	runs    int
	state   string // "core", "paused", "disk", "over"
	left    time.Duration
	until   time.Time
	timer   *time.Timer
	endedAt time.Time
	endedNo int // number of the notice of its end
}

func (b *bench) newDiskKernel(name string) *diskKernel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("kernel of %s: %v", name, err)
	}
	k := &diskKernel{bench: b, name: name, addr: l.Addr().String(), runs: map[string]*diskRun{}, over: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k.mu.Lock()
			if k.link != nil {
				k.link.Close() // each new link replaces the previous one
			}
			k.link = c
			k.mu.Unlock()
			go k.serve(c)
		}
	}()
	return k
}

// breakLink breaks the link. Runs go on.
func (k *diskKernel) breakLink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link != nil {
		k.breaks++
		k.bench.note("kernel of %s: the link breaks", k.name)
		k.link.Close()
		k.link = nil
	}
}

func (k *diskKernel) serve(c net.Conn) {
	defer c.Close()
	lines := bufio.NewReaderSize(c, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var cmd struct {
			Verb, Task, Handler, Nonce string
			Bytes                      []byte
			Index                      int
		}
		if json.Unmarshal(line, &cmd) != nil {
			return
		}
		k.mu.Lock()
		if k.link != c {
			k.mu.Unlock()
			return
		}
		r := k.runs[cmd.Task]
		switch cmd.Verb {
		case "OPEN":
			fmt.Fprintf(c, `{"verb":"BOOTED","outcome":"WARM","spent":60000}`+"\n")
			for i := cmd.Index; i < len(k.notices); i++ {
				c.Write(k.notices[i])
			}
		case "SYSINFO":
			onCores := 0
			for _, r := range k.runs {
				if r.state == "core" {
					onCores++
				}
			}
			fmt.Fprintf(c, `{"verb":"INFO","nonce":%q,"readings":[0.1,%d,0.1,10]}`+"\n", cmd.Nonce, onCores)
		case "SCHED":
			switch {
			case r != nil && r.state != "over":
				k.again++
				k.bench.note("kernel of %s: SCHED %s, which runs (%s): nothing happens", k.name, cmd.Task, r.state)
			case k.over[cmd.Task]:
				k.notice(cmd.Task, "MOOT", nil, 0)
			default:
				k.begin(cmd.Task, r)
			}
		case "PREEMPT": // under "pause", only work that is on a core is stopped
			switch {
			case r != nil && r.state == "core" && r.timer.Stop():
				r.state, r.left = "paused", time.Until(r.until)
				k.notice(cmd.Task, "STOPPED", nil, 0)
			case r != nil && r.state == "disk":
				k.probes++
				k.bench.note("kernel of %s: PREEMPT %s, which waits for disk: no effect", k.name, cmd.Task)
			}
		case "RESCHED":
			if r != nil && r.state == "paused" {
				k.toCore(cmd.Task, r, r.left)
			}
		}
		k.mu.Unlock()
	}
}

// begin starts a run; the caller holds mu.
func (k *diskKernel) begin(task string, before *diskRun) {
	r := &diskRun{runs: 1}
	if before != nil {
		r.runs += before.runs
		k.runTwice = append(k.runTwice, task)
		k.bench.note("kernel of %s: SCHED %s, whose run ended %.1f ms ago with OK (notice %d) and whose request is not "+
			"over: it runs again", k.name, task, time.Since(before.endedAt).Seconds()*1000, before.endedNo)
	}
	k.runs[task] = r
	k.bench.note("kernel of %s: run %d of %s", k.name, r.runs, task)
	k.toCore(task, r, time.Duration(20+rand.IntN(40))*time.Millisecond)
}

func (k *diskKernel) toCore(task string, r *diskRun, work time.Duration) {
	r.state, r.until = "core", time.Now().Add(work)
	r.timer = time.AfterFunc(work, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if r.state != "core" {
			return
		}
		r.state = "disk"
		time.AfterFunc(time.Duration(60+rand.IntN(140))*time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			r.state, r.endedAt, r.endedNo = "over", time.Now(), len(k.notices)+1
			k.notice(task, "OK", fmt.Appendf(nil, "run %d of %s at %s", r.runs, task, k.name), 100)
		})
	})
}

// notice sends the next notice; the caller holds mu.
func (k *diskKernel) notice(task, outcome string, result []byte, spent float64) {
	line := fmt.Appendf(nil, `{"verb":"REAP","index":%d,"task":%q,"outcome":%q,"spent":%.1f,"bytes":%q}`+"\n",
		len(k.notices)+1, task, outcome, spent, base64.StdEncoding.EncodeToString(result))
	k.bench.note("kernel of %s: REAP %d %s %s", k.name, len(k.notices)+1, task, outcome)
	k.notices = append(k.notices, line)
	if k.link != nil {
		k.link.Write(line)
	}
}

// filing sends one keyed request, as a sidecar does that gives up at its deadline.
func (k *diskKernel) filing(addr string, deadline time.Duration) (status int) {
	id, key := nextID(), fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	body := "filing " + id
	head := fmt.Sprintf("POST /rpc/submit HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nReceived-At: %d\r\n"+
		"Sent-By: 4\r\nFootprint-Kb: 24.5\r\nPriority-Rank: 0.6250\r\nOnce-Key: %s\r\nContent-Length: %d\r\n\r\n%s", id,
		time.Now().UnixMilli(), key, len(body), body)
	status, response, err := exchange(addr, head, deadline)
	k.mu.Lock()
	k.over[id] = true
	k.mu.Unlock()
	k.bench.note("%s: request %s: %d %q, error %v", k.name, id, status, response.body, err)
	return status
}

// The links of three backends to their kernels break now and then while keyed requests run, which end with a wait for
// disk.
func runTwice(b *bench) {
	const deadline, window, rate = 730, 2195, 120
	submit := []class{{name: "submit", semantics: "deduplicated", aim: 230, deadline: deadline, window: window}}
	var wait sync.WaitGroup
	var kernels []*diskKernel
	var mu sync.Mutex
	statuses := map[int]int{}
	end := make(chan struct{})
	for i := range 3 {
		name := fmt.Sprintf("n%d", i+1)
		k := b.newDiskKernel(name)
		kernels = append(kernels, k)
		n := &node{bench: b, name: name, addr: b.freeAddress(), kernel: &kernel{addr: k.addr}, classes: submit,
			registry: b.newRegistry(), stopMS: 3200, preemption: "pause"}
		n.writeConfig(submit)
		n.ini = b.file(name+".ini", "")
		n.launch()
		b.await(name, 10*time.Second, n.healthy)
		go func() {
			for tick := time.NewTicker(time.Second / rate); ; {
				select {
				case <-tick.C:
				case <-end:
					return
				}
				wait.Add(1)
				go func() {
					defer wait.Done()
					status := k.filing(n.addr, deadline*time.Millisecond)
					mu.Lock()
					statuses[status]++
					mu.Unlock()
				}()
			}
		}()
		if b.trouble {
			go func() {
				for {
					select {
					case <-time.After(time.Duration(1000+rand.IntN(1000)) * time.Millisecond):
						k.breakLink()
					case <-end:
						return
					}
				}
			}()
		}
	}
	time.Sleep(70 * time.Second)
	close(end)
	time.Sleep(time.Second)
	wait.Wait()
	var twice, breaks, probes, again, runs int
	for _, k := range kernels {
		k.mu.Lock()
		twice, breaks, probes, again = twice+len(k.runTwice), breaks+k.breaks, probes+k.probes, again+k.again
		runs += len(k.runs)
		k.mu.Unlock()
	}
	b.note("answers by status: %v; %d requests ran", statuses, runs)
	b.note("%d breaks of links, %d stops of runs that wait for disk, %d starts of requests that run", breaks, probes, again)
	if runs < 1000 || statuses[200] < 1000 {
		b.cannotRun("too few requests were served: %v", statuses)
	}
	if twice > 0 {
		b.broken("%d of %d requests ran twice; %d breaks of links, %d stops of runs that wait for disk", twice, runs,
			breaks, probes)
	}
	b.held("none of %d requests ran twice; %d breaks of links, %d stops of runs that wait for disk", runs, breaks, probes)
}

package main

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// kernel is a stand-in of a backend's kernel, as PROTOCOL.md describes it: runs take a fixed time, none makes a call,
// and a run goes on while there is no link.
type kernel struct {
	bench   *bench
	name    string
	addr    string
	runTime time.Duration

	mu      sync.Mutex
	link    net.Conn
	notices [][]byte
	running map[string]bool
	runs    []kernelRun
}

// kernelRun is one run that the kernel has started.
type kernelRun struct {
	task, class, body, result string
	at                        time.Time
}

func (b *bench) newKernel(name string, runTime time.Duration) *kernel {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("kernel of %s: %v", name, err)
	}
	k := &kernel{bench: b, name: name, addr: l.Addr().String(), runTime: runTime, running: map[string]bool{}}
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

func (k *kernel) serve(c net.Conn) {
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
		switch cmd.Verb {
		case "OPEN":
			if cmd.Index == 0 {
				k.notices = nil // numbering begins at 1 on each start of the backend
			}
			fmt.Fprintf(c, `{"verb":"BOOTED","outcome":"WARM","spent":60000}`+"\n")
			for i := cmd.Index; i < len(k.notices); i++ {
				c.Write(k.notices[i])
			}
		case "SYSINFO":
			fmt.Fprintf(c, `{"verb":"INFO","nonce":%q,"readings":[0.1,%d,0.1,10]}`+"\n", cmd.Nonce, len(k.running))
		case "SCHED":
			if !k.running[cmd.Task] {
				k.begin(cmd.Task, cmd.Handler, string(cmd.Bytes))
			}
		case "PREEMPT", "RESCHED", "IODONE", "NOIO": // the settings of these cases give no cause for them
		}
		k.mu.Unlock()
	}
}

// begin starts a run; the caller holds mu.
func (k *kernel) begin(task, class, body string) {
	r := kernelRun{task, class, body, fmt.Sprintf("run %d at %s", len(k.runs)+1, k.name), time.Now()}
	k.runs = append(k.runs, r)
	k.running[task] = true
	k.bench.note("kernel of %s runs %s of class %s: %q", k.name, task, class, body)
	time.AfterFunc(k.runTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.running, task)
		line := fmt.Appendf(nil, `{"verb":"REAP","index":%d,"task":%q,"outcome":"OK","spent":%.1f,"bytes":%q}`+"\n",
			len(k.notices)+1, task, float64(k.runTime)/1e6, base64.StdEncoding.EncodeToString([]byte(r.result)))
		k.notices = append(k.notices, line)
		if k.link != nil {
			k.link.Write(line)
		}
	})
}

// runsOf returns the runs whose request has a body.
func (k *kernel) runsOf(body string) (found []kernelRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.runs {
		if r.body == body {
			found = append(found, r)
		}
	}
	return found
}

// newRegistry starts a stand-in of the control plane: it answers each report with 204.
func (b *bench) newRegistry() (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("registry: %v", err)
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	return l.Addr().String()
}

// class is one class of the settings; times are in ms.
type class struct {
	name, semantics           string
	aim, deadline, window, id int
}

// node is one backend of the project with its kernel.
type node struct {
	*child
	bench              *bench
	name, addr         string
	kernel             *kernel
	classes            []class
	operator, registry string
	configPath, ini    string
	stopMS             int
	preemption         string // empty: off
}

// settings returns the settings of a small deployment.
func settings(classes []class, preemption string) map[string]any {
	var list []map[string]any
	for _, c := range classes {
		f := map[string]any{"name": c.name, "gain": 1.0, "give_up": c.deadline * 1000, "promise": c.aim * 1000,
			"late_share": 0.2, "semantics": c.semantics}
		if c.window > 0 {
			f["window"] = c.window * 1000
		}
		list = append(list, f)
	}
	return map[string]any{"classes": list, "customers": []any{}, "fleet_size": 2, "granularity": 2000,
		"family_info": map[string]any{"below": "off", "cores": 6, "memory_kb": 49584.0, "run_factor": 8.0,
			"key_kb": 1.0, "meters": []string{"core_use", "on_cores", "heap_share", "links"}, "preemption": preemption,
			"say": "off", "senders": 3, "idle": 30_000_000},
		"invariants": map[string]any{"drain_grace": 2_500_000, "fall_multiple": 5.0},
		"limits":     map[string]any{"retry_after": true, "max_retry_after": 5_000_000}}
}

// writeConfig writes the node's start-up file.
func (n *node) writeConfig(classes []class) {
	preemption := n.preemption
	if preemption == "" {
		preemption = "off"
	}
	raw, err := json.Marshal(map[string]any{"name": n.name, "listen": n.addr, "kernel": n.kernel.addr,
		"control": n.registry, "seed": "8c1f30d27a5be964", "stop_ms": n.stopMS,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": settings(classes, preemption)})
	if err != nil {
		n.bench.cannotRun("%v", err)
	}
	n.configPath = n.bench.file(n.name+".json", string(raw))
}

// newNode starts a backend with a kernel. operator is the text of its operator's file.
func (b *bench) newNode(name string, classes []class, operator string, stopMS int, runTime time.Duration) *node {
	n := &node{bench: b, name: name, addr: b.freeAddress(), kernel: b.newKernel(name, runTime), classes: classes,
		registry: b.newRegistry(), stopMS: stopMS}
	n.writeConfig(classes)
	n.ini = b.file(name+".ini", operator)
	n.launch()
	return n
}

func (n *node) launch() {
	n.child = n.bench.start(n.name, n.bench.runLine(), "NODE_CONFIG="+n.configPath, "NODE_NAME="+n.name,
		"NODE_LISTEN="+n.addr, "UMBERWINCH_FILE="+n.ini)
}

// healthy reports whether a health check gets 200.
func (n *node) healthy() bool {
	status, _, err := exchange(n.addr, "GET /health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n",
		time.Second)
	return err == nil && status == 200
}

// answer is what a try got.
type answer struct {
	status        int // 0: no whole answer
	body          string
	final         bool
	sentAt, endAt time.Time
}

// lastID numbers the tries of a run.
var (
	idMu   sync.Mutex
	lastID uint64
)

func nextID() string {
	idMu.Lock()
	defer idMu.Unlock()
	if lastID == 0 {
		lastID = uint64(time.Now().UnixNano()) << 8
	}
	lastID++
	return fmt.Sprintf("%016x", lastID)
}

// send sends one try on a connection of its own, as a sidecar does. key is empty for classes without keys.
func (n *node) send(class, key, body string, again bool, within time.Duration) answer {
	id := nextID()
	head := fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nReceived-At: %d\r\n"+
		"Sent-By: 4\r\nFootprint-Kb: 24.5\r\nPriority-Rank: 0.6250\r\nContent-Length: %d\r\n", class, id,
		time.Now().UnixMilli(), len(body))
	if key != "" {
		head += "Once-Key: " + key + "\r\n"
	}
	if again {
		head += "Attempt-Again: 1\r\n"
	}
	a := answer{sentAt: time.Now()}
	status, response, err := exchange(n.addr, head+"\r\n"+body, within)
	a.endAt = time.Now()
	if err != nil {
		n.bench.note("%s: try %s of %s %q (key %.8s, again %v): no answer: %v", n.name, id, class, body, key, again, err)
		return a
	}
	a.status, a.body = status, string(response.body)
	a.final = response.final
	n.bench.note("%s: try %s of %s %q (key %.8s, again %v): %d %q final %v", n.name, id, class, body, key, again,
		a.status, a.body, a.final)
	return a
}

type responseBody struct {
	body  []byte
	final bool
}

// exchange sends a message on a new connection and reads one HTTP response.
func exchange(addr, message string, within time.Duration) (int, responseBody, error) {
	c, err := net.DialTimeout("tcp", addr, within)
	if err != nil {
		return 0, responseBody{}, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	if _, err = c.Write([]byte(message)); err != nil {
		return 0, responseBody{}, err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, responseBody{}, err
	}
	defer r.Body.Close()
	var body bytes.Buffer
	if _, err = io.Copy(&body, r.Body); err != nil {
		return 0, responseBody{}, err
	}
	return r.StatusCode, responseBody{body.Bytes(), r.Header.Get("Final-Refusal") == "1"}, nil
}

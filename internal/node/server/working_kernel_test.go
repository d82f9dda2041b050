package server

// A kernel and a store that work by the platform's protocol, for tests that break links at random.

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// workingKernel executes runs as the protocol says. The body of a request lists the steps of its run, separated by
// commas: milliseconds of work, the same after diskStep to wait for a disk, where a stop has no effect, or callStep. A run
// has a core to itself. A request is over once endRequest was called.
type workingKernel struct {
	*fakeServer
	preemption string   // pause, drop or off, as in the settings
	link       net.Conn // the link on which OPEN was read; nil: none
	losing     bool     // commands are lost, as the link is about to break
	events     [][]byte
	runs       map[string]*workingRun
	over       map[string]bool
	started    int
	violations []string
}

// workingRun is a run of a workingKernel.
type workingRun struct {
	id, handler string
	steps       []string
	at          int // index of the current step
	state       workingState
	timer       int // number of the current timer; earlier ones are ignored
	endsAt      time.Time
	left        time.Duration // work left of the current step of a paused run
	asked       int           // number of the event that asked for the call
}

type workingState uint8

const (
	stateOnCore workingState = iota
	stateAtDisk
	statePaused
	stateAtCall
	stateEnded
)

// Steps of a run other than work.
const (
	callStep = "c"
	diskStep = "d"
)

// newWorkingKernel starts a kernel.
func newWorkingKernel(t testing.TB, preemption string) *workingKernel {
	k := &workingKernel{preemption: preemption, runs: map[string]*workingRun{}, over: map[string]bool{}}
	k.fakeServer = newFakeServer(t, k.serve)
	k.start()
	return k
}

// workingCommand is a command to the kernel, by the names of the protocol.
type workingCommand struct {
	Verb, Task, Handler, Nonce string
	Bytes                      []byte
	Index                      int
}

// serve executes the commands of one link.
func (k *workingKernel) serve(c net.Conn, r *bufio.Reader) {
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return
		}
		var m workingCommand
		if err := json.Unmarshal(line, &m); err != nil {
			k.t.Errorf("kernel: invalid command %q: %v", line, err)
			return
		}
		k.mu.Lock()
		if m.Verb == "OPEN" {
			k.open(c, m.Index)
		} else if k.link == c && !k.losing {
			k.execute(&m)
		}
		k.mu.Unlock()
	}
}

// open makes a link the current one and replays the events after the given number.
func (k *workingKernel) open(c net.Conn, after int) {
	k.link, k.losing = c, false
	fmt.Fprintf(c, "{\"verb\":\"BOOTED\",\"outcome\":\"WARM\",\"spent\":1000}\n")
	for _, e := range k.events[min(after, len(k.events)):] {
		c.Write(e)
	}
	k.add("OPEN")
}

func (k *workingKernel) execute(m *workingCommand) {
	run := k.runs[m.Task]
	switch m.Verb {
	case "SYSINFO":
		fmt.Fprintf(k.link, "{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[0.5,1,0.1,3]}\n", m.Nonce)
	case "SCHED":
		k.startRun(m, run)
	case "PREEMPT":
		k.stopRun(m, run)
	case "RESCHED":
		if run != nil && run.state == statePaused {
			k.wait(run, stateOnCore, run.left)
		}
	case "IODONE":
		if run == nil || run.state != stateAtCall {
			return
		}
		if want := replyTo(run.callBody()); string(m.Bytes) != want {
			k.violate("run %s waits for %q and gets %q", testID(run.id), want, m.Bytes)
		}
		k.nextStep(run)
	case "NOIO":
		if run != nil && run.state == stateAtCall && run.asked == m.Index {
			k.nextStep(run)
		}
	}
}

// startRun executes SCHED.
func (k *workingKernel) startRun(m *workingCommand, run *workingRun) {
	switch {
	case run != nil && run.state != stateEnded:
	case k.over[m.Task]:
		k.sendEvent("REAP", m.Task, "MOOT", "")
	case run != nil && m.Handler != "get":
		k.violate("run %s of %s is started again", testID(m.Task), m.Handler)
	default:
		k.started++
		run = &workingRun{id: m.Task, handler: m.Handler, steps: strings.Split(string(m.Bytes), ","), at: -1}
		k.runs[m.Task] = run
		k.nextStep(run)
	}
}

// stopRun executes PREEMPT.
func (k *workingKernel) stopRun(m *workingCommand, run *workingRun) {
	switch {
	case k.preemption == "off":
		k.violate("run %s is stopped, where no run can be", testID(m.Task))
	case run == nil || run.state == stateEnded:
	case run.state == stateAtDisk:
	case k.preemption == "drop" || run.state == stateOnCore && k.over[m.Task]:
		k.endRun(run, "STOPPED")
	case run.state == stateOnCore:
		run.state, run.left = statePaused, time.Until(run.endsAt)
		k.sendEvent("REAP", run.id, "STOPPED", "")
	}
}

// endRequest records that a request is over: its client has the response or has left. A run at a call ends.
func (k *workingKernel) endRequest(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.over[id] = true
	if run := k.runs[id]; run != nil && (run.state == stateAtCall || run.state == statePaused) {
		k.endRun(run, "STOPPED")
	}
}

func (k *workingKernel) endRun(run *workingRun, outcome string) {
	run.state = stateEnded
	result := ""
	if outcome == "OK" {
		result = "done " + testID(run.id)
	}
	k.sendEvent("REAP", run.id, outcome, result)
}

// nextStep moves a run to its next step.
func (k *workingKernel) nextStep(run *workingRun) {
	run.at++
	switch {
	case run.at >= len(run.steps):
		k.endRun(run, "OK")
	case run.steps[run.at] != callStep:
		text, atDisk := strings.CutPrefix(run.steps[run.at], diskStep)
		ms, _ := strconv.ParseFloat(text, 64)
		state := stateOnCore
		if atDisk {
			state = stateAtDisk
		}
		k.wait(run, state, time.Duration(ms*float64(time.Millisecond)))
	default:
		run.state, run.asked = stateAtCall, len(k.events)+1
		k.sendEvent("IOREQ", run.id, "", run.callBody())
		if k.over[run.id] {
			k.endRun(run, "STOPPED")
		}
	}
}

// callBody is the body of the call that a run waits for.
func (run *workingRun) callBody() string { return fmt.Sprint(testID(run.id), "/", run.at) }

// wait lets a run use its core or wait for a disk for a time and then move on, unless it is paused before.
func (k *workingKernel) wait(run *workingRun, state workingState, d time.Duration) {
	run.timer++
	run.state, run.endsAt = state, time.Now().Add(d)
	timer := run.timer
	time.AfterFunc(d, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if run.timer == timer && run.state == state {
			k.nextStep(run)
		}
	})
}

func (k *workingKernel) sendEvent(verb, task, outcome, body string) {
	line := fmt.Appendf(nil, "{\"verb\":%q,\"index\":%d,\"task\":%q,\"outcome\":%q,\"spent\":12.5,\"bytes\":%q}\n", verb,
		len(k.events)+1, task, outcome, base64.StdEncoding.EncodeToString([]byte(body)))
	k.events = append(k.events, line)
	if k.link != nil {
		k.link.Write(line)
	}
}

func (k *workingKernel) violate(format string, args ...any) {
	k.violations = append(k.violations, fmt.Sprintf(format, args...))
}

// breakLink loses the commands of the given time and then closes the link.
func (k *workingKernel) breakLink(loss time.Duration) {
	k.mu.Lock()
	k.losing = loss > 0
	k.mu.Unlock()
	time.Sleep(loss)
	k.mu.Lock()
	k.link, k.losing = nil, false
	k.mu.Unlock()
	k.closeConns()
}

// summary returns the violations, the number of starts and the requests whose runs have not ended.
func (k *workingKernel) summary() (violations []string, started, unended int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, run := range k.runs {
		if run.state != stateEnded {
			unended++
		}
	}
	return slices.Clone(k.violations), k.started, unended
}

// replyTo is the store's reply to a call.
func replyTo(callBody string) string { return "reply to " + callBody }

// newWorkingStore starts a store that replies to each call after a few milliseconds.
func newWorkingStore(t testing.TB) *fakeServer {
	var s *fakeServer
	s = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			w := strings.Fields(line)
			if len(w) != 4 || w[0] != "CALL" {
				continue
			}
			body, err := readCallBody(w, r)
			if err != nil {
				return
			}
			reply := replyTo(string(body))
			time.AfterFunc(storeReplyTime, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				fmt.Fprintf(c, "%s OK %d\r\n%s\r\n", w[1], len(reply), reply)
			})
		}
	})
	s.start()
	return s
}

// storeReplyTime is the time to the reply of a working store.
const storeReplyTime = 4 * time.Millisecond

// Command review-2 runs one case of the second review: it starts the project's programs as separate processes on
// loopback addresses, plays the clients, the kernel, service discovery and the network between them, and judges what
// the clients and the kernel saw.
//
//	review-2 CASE FOLDER
//
// FOLDER gets record.txt. With TROUBLE=0 the disruption is left out. Exit status: 0 the rule held, 1 it was broken,
// 2 the case could not run.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runLimit ends a case that takes too long; a script may take 120 s.
const runLimit = 110 * time.Second

// bench is the state of one run of a case.
type bench struct {
	root, folder, work string
	trouble            bool
	began              time.Time

	mu       sync.Mutex
	record   *os.File
	children []*child
	ended    bool
}

// child is a process that the case started.
type child struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	status string
}

// stop is the panic value of a case that can't go on.
type stop struct{ status int }

func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%9.3f  ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...)
	if !b.ended {
		fmt.Fprintln(b.record, line)
	}
}

// cannotRun ends the case with status 2.
func (b *bench) cannotRun(format string, args ...any) {
	b.note("can't run: "+format, args...)
	fmt.Printf("can't run: "+format+"\n", args...)
	panic(stop{2})
}

func (b *bench) broken(format string, args ...any) {
	b.note("BROKEN: "+format, args...)
	fmt.Printf("broken: "+format+"\n", args...)
	panic(stop{1})
}

func (b *bench) held(format string, args ...any) {
	b.note("held: "+format, args...)
	fmt.Printf("held: "+format+"\n", args...)
	panic(stop{0})
}

// start runs a command line of the project from its root. Its log goes to a file in the work folder.
func (b *bench) start(name, line string, env ...string) *child {
	log, err := os.OpenFile(filepath.Join(b.work, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		b.cannotRun("log of %s: %v", name, err)
	}
	defer log.Close()
	c := &child{name: name, cmd: exec.Command("/bin/sh", "-c", line), exited: make(chan struct{})}
	c.cmd.Dir, c.cmd.Stdout, c.cmd.Stderr = b.root, log, log
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err = c.cmd.Start(); err != nil {
		b.cannotRun("start of %s: %v", name, err)
	}
	b.mu.Lock()
	b.children = append(b.children, c)
	b.mu.Unlock()
	b.note("started %s: %s", name, line)
	go func() {
		c.cmd.Wait()
		c.status = c.cmd.ProcessState.String()
		b.note("%s ended: %s", name, c.status)
		close(c.exited)
	}()
	return c
}

func (c *child) signal(s syscall.Signal) { syscall.Kill(c.cmd.Process.Pid, s) }

func (c *child) alive() bool {
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

// tool runs a command of umberctl to its end and returns its output.
func (b *bench) tool(within time.Duration, args ...string) (out string, err error) {
	cmd := exec.Command("bin/umberctl", args...)
	cmd.Dir = b.root
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	timer := time.AfterFunc(within, func() {
		if cmd.Process != nil {
			cmd.Process.Kill()
		}
	})
	defer timer.Stop()
	raw, err := cmd.CombinedOutput()
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		b.note("umberctl %s: %s", strings.Join(args[:min(2, len(args))], " "), line)
	}
	return string(raw), err
}

// end kills what the case started.
func (b *bench) end() {
	b.mu.Lock()
	children := b.children
	b.mu.Unlock()
	for _, c := range children {
		if c.alive() {
			syscall.Kill(-c.cmd.Process.Pid, syscall.SIGKILL)
		}
	}
	for _, c := range children {
		select {
		case <-c.exited:
		case <-time.After(3 * time.Second):
		}
	}
	b.mu.Lock()
	b.ended = true
	b.record.Close()
	b.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.work)
	} else {
		fmt.Println("kept", b.work)
	}
}

// freeAddress returns a loopback address with a port that is free at present.
func (b *bench) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// file writes a file in the work folder and returns its path.
func (b *bench) file(name, text string) string {
	path := filepath.Join(b.work, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.cannotRun("%v", err)
	}
	return path
}

// runLine returns the command of the deploy file that starts a backend.
func (b *bench) runLine() string {
	raw, err := os.ReadFile(filepath.Join(b.root, "deploy/balancer.toml"))
	if err != nil {
		b.cannotRun("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(raw)
	if m == nil {
		b.cannotRun("deploy/balancer.toml has no run line")
	}
	return string(m[1])
}

// await polls a condition.
func (b *bench) await(what string, within time.Duration, f func() bool) {
	for deadline := time.Now().Add(within); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.cannotRun("%s: not within %v", what, within)
		}
	}
}

var cases = map[string]func(*bench){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	b := &bench{root: root, folder: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if b.work, err = os.MkdirTemp("", "review-2-"); err == nil {
		b.record, err = os.Create(filepath.Join(b.folder, "record.txt"))
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	status := make(chan int, 4)
	interrupt := make(chan os.Signal, 1)
	signal.Notify(interrupt, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { <-interrupt; status <- 2 }()
	time.AfterFunc(runLimit, func() { b.note("can't run: out of time"); status <- 2 })
	go func() {
		defer func() {
			s, ok := recover().(stop)
			if !ok {
				s.status = 2
				b.note("the case itself failed")
			}
			status <- s.status
		}()
		b.note("case %s, trouble %v", os.Args[1], b.trouble)
		cases[os.Args[1]](b)
		b.cannotRun("the case ended without a verdict")
	}()
	result := <-status
	b.end()
	os.Exit(result)
}

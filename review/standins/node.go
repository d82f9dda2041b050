package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Node is a node as a process of its own, started by the run command of deploy/balancer.toml.
type Node struct {
	Name, Listen string
	rec          *Record
	root, dir    string
	env          []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool // by this test
	state  string
}

// runCommand is the run line of deploy/balancer.toml.
const runCommand = "exec bin/umberwinch"

// NodeConfig is the start-up file without its settings.
type NodeConfig struct {
	Name, Listen, Kernel, Store, Control string
	MemoryMB, Sockets                    int
	StopMS                               int
	Settings                             map[string]any
	Operator                             string // the operator's file; empty: none
}

func (c *NodeConfig) write(path string) error {
	file := map[string]any{"name": c.Name, "listen": c.Listen, "kernel": c.Kernel, "store": c.Store,
		"control": c.Control, "seed": "8c1f30d27a5be964", "stop_ms": c.StopMS,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"settings": c.Settings}
	raw, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// NewNode writes the files of a node.
func NewNode(rec *Record, root, dir string, c NodeConfig) (*Node, error) {
	path := filepath.Join(dir, c.Name+".json")
	if err := c.write(path); err != nil {
		return nil, err
	}
	n := &Node{Name: c.Name, Listen: c.Listen, rec: rec, root: root, dir: dir}
	n.env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+c.Name, "NODE_LISTEN="+c.Listen)
	if c.Operator != "" {
		own := filepath.Join(dir, c.Name+".ini")
		if err := os.WriteFile(own, []byte(c.Operator), 0o600); err != nil {
			return nil, err
		}
		n.env = append(n.env, "UMBERWINCH_FILE="+own)
	}
	return n, nil
}

// Start starts the process.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", runCommand)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = n.root, n.env, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.ended, n.state = cmd, exited, false, ""
	n.mu.Unlock()
	n.rec.Addf("%s starts, pid %d", n.Name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		n.mu.Lock()
		n.state = cmd.ProcessState.String()
		n.mu.Unlock()
		n.rec.Addf("%s has exited: %s", n.Name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// LogFile is the file of the node's output.
func (n *Node) LogFile() string { return filepath.Join(n.dir, n.Name+".log") }

// Signal sends a signal.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rec.Addf("%s gets %s", n.Name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// Drain sends SIGTERM, and SIGKILL if the process is still there after a time.
func (n *Node) Drain(killAfter time.Duration) {
	n.mu.Lock()
	n.ended = true
	exited := n.exited
	n.mu.Unlock()
	n.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(killAfter):
		n.Kill()
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	n.ended = true
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	n.Signal(syscall.SIGKILL)
	<-exited
}

// Crashed reports whether the process has ended by itself, and how.
func (n *Node) Crashed() (how string, crashed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state, n.state != "" && !n.ended
}

// AwaitHealth waits until the node's health check is good.
func (n *Node) AwaitHealth(within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.Listen + "/health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", n.Name, within)
}

// freeAddr returns a loopback address that is free now.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

package harness

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is a program that a run starts, kills and may restart. All starts and kills go through it, so that no
// process is left after close.
type process struct {
	onExit func() // called at each exit, before waiters are released; may be nil

	mu     sync.Mutex
	cmd    *exec.Cmd     // of the latest start; nil before the first
	exited chan struct{} // closed when that process has exited
	closed bool
}

var (
	errProcessClosed  = errors.New("process is closed and can't be started")
	errProcessRunning = errors.New("process is running already")
)

// start starts the command, unless the process is running or closed.
func (p *process) start(cmd *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errProcessClosed
	}
	if p.cmd != nil {
		select {
		case <-p.exited:
		default:
			return errProcessRunning
		}
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		cmd.Wait()
		if p.onExit != nil {
			p.onExit()
		}
		close(exited)
	}()
	return nil
}

// latest returns the command of the latest start and the channel that is closed at its exit; nil before the first
// start.
func (p *process) latest() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// done returns a channel that is closed when the latest start has exited.
func (p *process) done() <-chan struct{} {
	_, exited := p.latest()
	return exited
}

// pid returns the process id of the latest start, 0 before the first.
func (p *process) pid() int {
	if cmd, _ := p.latest(); cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

func (p *process) signal(s syscall.Signal) {
	if cmd, _ := p.latest(); cmd != nil {
		cmd.Process.Signal(s)
	}
}

// kill kills the process with SIGKILL and waits for its exit.
func (p *process) kill() {
	if cmd, exited := p.latest(); cmd != nil {
		cmd.Process.Kill()
		<-exited
	}
}

// close kills the process and prevents further starts.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
}

// restartDelay is the platform's delay before it restarts a process.
const restartDelay = 2 * time.Second

// restartOnExit restarts the process restartDelay after each exit, until the context ends or a start fails.
func (p *process) restartOnExit(ctx context.Context, start func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.done():
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartDelay):
		}
		if start() != nil {
			return
		}
	}
}

// openLog opens a process's log for appending.
func openLog(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

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

// process is one program that a run starts, ends and may start again. Each start and end goes through it, so that none
// is left once it is closed.
type process struct {
	onExit func() // called at each end, before anybody who waits for it goes on; nil: nothing is

	mu     sync.Mutex
	cmd    *exec.Cmd     // the latest start; nil: there was none
	exited chan struct{} // closed when that start has ended
	closed bool
}

var (
	errProcessClosed  = errors.New("the run is over, and starts no process any more")
	errProcessRunning = errors.New("the process runs already")
)

// start runs a command, unless the process runs or is closed.
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
	ended := make(chan struct{})
	p.cmd, p.exited = cmd, ended
	go func() {
		cmd.Wait()
		if p.onExit != nil {
			p.onExit()
		}
		close(ended)
	}()
	return nil
}

// latest gives the latest start and when it ends; nil where there was none.
func (p *process) latest() (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.exited
}

// done is closed when the latest start has ended.
func (p *process) done() <-chan struct{} {
	_, ended := p.latest()
	return ended
}

// pid gives the latest start's process id, 0 where there was none.
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

// kill ends the process as kill -9 does, and waits until it is gone.
func (p *process) kill() {
	if cmd, ended := p.latest(); cmd != nil {
		cmd.Process.Kill()
		<-ended
	}
}

// close kills the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
}

// restartDelay is how long the platform takes to start again what ended.
const restartDelay = 2 * time.Second

// restartOnExit starts the process again after each of its ends, at the platform's pace, until the context ends.
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

// openLog opens a file for what a process writes on standard error.
func openLog(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

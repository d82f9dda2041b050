package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// ControlPlane is a stand-in for the control plane of PROTOCOL.md: it answers each report with 204.
type ControlPlane struct{ ln net.Listener }

// NewControlPlane starts a control plane on a free port.
func NewControlPlane() (*ControlPlane, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}))
	}()
	return &ControlPlane{ln}, nil
}

// Addr is where the control plane listens.
func (c *ControlPlane) Addr() string { return c.ln.Addr().String() }

// controlCommand is the command of deploy/control.ini, with a file of this run in its place.
const controlCommand = "exec bin/umberctl control run --file "

// StartControlService starts the project's own control service as a group of one, as deploy/control.ini has it, and
// returns its client address.
func (r *Run) StartControlService() (string, error) {
	peer, err := freeAddr()
	if err != nil {
		return "", err
	}
	listen, err := freeAddr()
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf("[instance]\nname = a\ndata = %s\nstart = new\npeer = %s\nlisten = %s\n",
		filepath.Join(r.Dir, "control-data"), peer, listen)
	file := filepath.Join(r.Dir, "control.ini")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", err
	}
	log, err := os.Create(filepath.Join(r.Dir, "control.log"))
	if err != nil {
		return "", err
	}
	defer log.Close()
	cmd := r.command(controlCommand + file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return "", err
	}
	r.Rec.Addf("the control service starts, pid %d", cmd.Process.Pid)
	r.atEnd = append(r.atEnd, func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return listen, nil
}

// proposeCommand is the operators' command for a change of policy.
const proposeCommand = "exec bin/umberctl policy propose - --reason review --at "

// ProposePolicy proposes a policy to the group and waits until it has settled.
func (r *Run) ProposePolicy(at, text string) error {
	cmd := r.command(proposeCommand + at)
	cmd.Stdin = strings.NewReader(text)
	out, err := cmd.CombinedOutput()
	r.Rec.Addf("policy propose: %s", out)
	return err
}

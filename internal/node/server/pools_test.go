package server

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestPoolsFollowOperatorFile: pools show themselves and move with a new file; pools.txt has what they do to requests.
func TestPoolsFollowOperatorFile(t *testing.T) {
	n := start(t, map[string]string{"own": "[pools]\nreserve = no\n[pool act]\ncap = 0.5\nlimit = fixed\n"})
	if !n.logged(`msg="pools are on" count=1 reserve=false `) {
		t.Fatal("no pools at the start")
	}
	if !n.logged("pool act: limit 1 of 2, was +Inf: fixed") {
		t.Fatal("the fixed limit is not told")
	}
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if !n.logged(`msg="pool status" class=act fair_slots=0 heavy=0 limit=1.0 `, " queued=0 reason=fixed ",
		" running=0 ") {
		t.Fatal("the pools are not shown")
	}
	n.writeOwn("[pool act]\ncap = 2\n")
	n.cmd.Process.Signal(syscall.SIGHUP)
	if !n.logged(`msg="start-up file not taken, the old one stays" error="` + n.own + ":2: pool act.cap: found ") {
		t.Fatal("a bad file is not told")
	}
	n.writeOwn("[log]\nform = text\n")
	n.cmd.Process.Signal(syscall.SIGHUP)
	if !n.logged(`msg="operator's file taken" enabled=false `) {
		t.Fatal("a file without pools is not taken")
	}
}

// TestUnknownHandlerInOperatorFile: a handler that the platform does not name starts nothing.
func TestUnknownHandlerInOperatorFile(t *testing.T) {
	n := start(t, nil)
	own := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(own, []byte("[log]\nform = json\n\n[pool fly]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.file, "UMBERWINCH_FILE="+own)
	out, err := cmd.CombinedOutput()
	if err == nil || cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out),
		own+":4: pool fly: found a handler that is not known, expected one of get, put, act") {
		t.Fatalf("%v: %s", err, out)
	}
}

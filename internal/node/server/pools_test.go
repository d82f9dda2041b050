package server

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestPoolsFollowOperatorFile checks the log lines of pools at start, on SIGUSR1 and after reloads of the operator's
// file. testdata/pools.txt checks their effect on requests.
func TestPoolsFollowOperatorFile(t *testing.T) {
	n := startNode(t, map[string]string{"own": "[pools]\nreserve = no\n[pool act]\ncap = 0.5\nlimit = fixed\n"})
	if !n.waitForLog(`msg="pools are on" count=1 reserve=false `) {
		t.Fatal("log has no line for the pools at start")
	}
	if !n.waitForLog("pool act: limit 1 of 2, was +Inf: fixed") {
		t.Fatal("log has no line for the fixed limit")
	}
	n.cmd.Process.Signal(syscall.SIGUSR1)
	if !n.waitForLog(`msg="pool status" class=act fair_slots=0 heavy=0 limit=1.0 `, " queued=0 reason=fixed ",
		" running=0 ") {
		t.Fatal("log has no pool status after SIGUSR1")
	}
	n.writeOperatorFile("[pool act]\ncap = 2\n")
	n.cmd.Process.Signal(syscall.SIGHUP)
	if !n.waitForLog(`msg="start-up file not taken, the old one stays" error="` + n.operatorFile +
		":2: pool act.cap: found ") {
		t.Fatal("log has no error for an invalid operator's file")
	}
	n.writeOperatorFile("[log]\nform = text\n")
	n.cmd.Process.Signal(syscall.SIGHUP)
	if !n.waitForLog(`msg="operator's file taken" enabled=false `) {
		t.Fatal("log has no line for the reload without pools")
	}
}

// TestUnknownHandlerInOperatorFile checks that the program does not start if the operator's file names a handler that
// the start-up settings lack.
func TestUnknownHandlerInOperatorFile(t *testing.T) {
	n := startNode(t, nil)
	own := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(own, []byte("[log]\nform = json\n\n[pool fly]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.file, "UMBERWINCH_FILE="+own)
	out, err := cmd.CombinedOutput()
	if err == nil || cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out),
		own+":4: pool fly: found a handler that is not known, expected one of get, put, act") {
		t.Fatalf("error %v, output %s, want exit code 2 and the unknown handler fly", err, out)
	}
}

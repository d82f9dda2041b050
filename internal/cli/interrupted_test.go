package cli

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	startTimeout = 40 * time.Second // for a command to start its processes
	exitTimeout  = 20 * time.Second // for a command to exit after an interrupt or a failure
)

// commandGroup is a command that runs with its child processes in a process group of its own, so that processes left
// behind are found by the group's id.
type commandGroup struct {
	cmd       *exec.Cmd
	out, errs *output
	ended     chan struct{}
}

func startGroup(t *testing.T, args ...string) *commandGroup {
	t.Helper()
	g := &commandGroup{cmd: exec.Command(program, args...), out: &output{}, errs: &output{}, ended: make(chan struct{})}
	g.cmd.Stdout, g.cmd.Stderr = g.out, g.errs
	g.cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.cmd.Wait(); close(g.ended) }()
	t.Cleanup(func() { // no process may outlive a failed test
		syscall.Kill(-g.pid(), syscall.SIGKILL)
		<-g.ended
	})
	return g
}

func (g *commandGroup) pid() int { return g.cmd.Process.Pid }

// children returns the ids of the command's child processes.
func (g *commandGroup) children() (ids []int) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", g.pid()))
	for _, file := range files {
		raw, _ := os.ReadFile(file) // a thread may have ended
		for _, word := range strings.Fields(string(raw)) {
			if id, err := strconv.Atoi(word); err == nil {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// awaitChildren waits until the command has at least count child processes.
func (g *commandGroup) awaitChildren(t *testing.T, count int) {
	t.Helper()
	eventually(t, startTimeout, func() (string, bool) {
		up := len(g.children())
		select {
		case <-g.ended:
			t.Fatalf("the command exited, want %d child processes\n%s%s", count, g.out, g.errs)
		default:
		}
		return fmt.Sprintf("got %d child processes, want %d\n%s%s", up, count, g.out, g.errs), up >= count
	})
}

// awaitEnd waits until the command exits, and fails if its status differs or a process of its group is left.
func (g *commandGroup) awaitEnd(t *testing.T, status int) {
	t.Helper()
	select {
	case <-g.ended:
	case <-time.After(exitTimeout):
		t.Fatalf("the command has not exited after %v\n%s%s", exitTimeout, g.out, g.errs)
	}
	if err := syscall.Kill(-g.pid(), 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("kill(-%d, 0) = %v, want ESRCH: a process is left\n%s%s", g.pid(), err, g.out, g.errs)
	}
	if got := g.cmd.ProcessState.ExitCode(); got != status {
		t.Errorf("got exit status %d, want %d\n%s%s", got, status, g.out, g.errs)
	}
}

var logFolder = regexp.MustCompile(`logs are in (\S+)`)

// checkLogs fails unless the command printed the folder of its logs, and they have at least atLeast lines together.
func (g *commandGroup) checkLogs(t *testing.T, atLeast int) {
	t.Helper()
	match := logFolder.FindStringSubmatch(g.errs.String() + g.out.String())
	if match == nil {
		t.Fatalf("the command printed no folder of logs\n%s%s", g.out, g.errs)
	}
	files, lines := 0, 0
	if err := filepath.WalkDir(match[1], func(path string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".log" {
			return err
		}
		raw, err := os.ReadFile(path)
		files++
		lines += strings.Count(string(raw), "\n")
		return err
	}); err != nil || files == 0 || lines < atLeast {
		t.Errorf("got %d lines in %d logs in %s (%v), want at least %d lines", lines, files, match[1], err, atLeast)
	}
}

// A command interrupted alone, as by a supervisor, or with its children, as by Ctrl-C, must exit, leave no process and
// print where the logs are. A fault test without a verdict exits with status 1, a command that runs until interrupted
// with 0.
func TestInterruptedCommandLeavesNoProcess(t *testing.T) {
	t.Parallel()
	policyCase := []string{"faulttest", "policy", "--mode", "real", "--quick", "--size", "6", "--only"}
	for _, c := range []struct {
		name     string
		args     []string
		children int    // number of child processes to wait for before the interrupt
		output   string // output to wait for before the interrupt
		status   int
		lines    int // minimum number of log lines; 0 or 1, as some processes have logged nothing yet
	}{
		{"fault test while its group starts", append(policyCase, "killed before it prepared"), 2, "", exitFailed, 1},
		{"fault test while its nodes start", append(policyCase, "killed before it prepared"), 5, "", exitFailed, 1},
		{"fault test once all processes are up", append(policyCase, "load"), 9, "", exitFailed, 1},
		{"fault test of the group", []string{"faulttest", "raft", "--mode", "real", "--quick"}, 3, "", exitFailed, 1},
		{"fault test of stored results", []string{"faulttest", "results", "--quick", "--only", "kills"}, 6, "",
			exitFailed, 0},
		{"fleet during startup", []string{"fleet", "local", "--nodes", "3"}, 4, "", exitOK, 1},
		{"running fleet", []string{"fleet", "local", "--nodes", "3"}, 6, "Ctrl-C ends all", exitOK, 1},
		{"group during startup", []string{"control", "local"}, 3, "", exitOK, 0},
		{"running group", []string{"control", "local"}, 3, "running; show its status with", exitOK, 1},
		{"demo", []string{"demo", "--load", "0.2"}, 0, "IN TIME SO FAR", exitOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, target := range []string{"alone", "and its processes"} {
				t.Run(target, func(t *testing.T) {
					args := c.args
					if args[0] != "faulttest" && args[0] != "demo" {
						args = append(args[:len(args):len(args)], "--dir", filepath.Join(t.TempDir(), "work"))
					}
					if args[0] == "control" {
						args = append(args, "--port", strconv.Itoa(reservePorts(t)))
					}
					g := startGroup(t, args...)
					g.awaitChildren(t, c.children)
					if c.output != "" {
						g.out.await(t, c.output)
					}
					id := g.pid()
					if target != "alone" {
						id = -id
					}
					if err := syscall.Kill(id, syscall.SIGINT); err != nil {
						t.Fatal(err)
					}
					g.awaitEnd(t, c.status)
					g.checkLogs(t, c.lines)
					if strings.Contains(g.out.String(), ": kept") {
						t.Errorf("printed\n%s, want no verdict", g.out)
					}
				})
			}
		})
	}
}

// A command that fails while its processes run must leave no process and print where the logs are.
func TestFailedCommandLeavesNoProcess(t *testing.T) {
	t.Parallel()
	t.Run("an instance can't listen", func(t *testing.T) {
		t.Parallel()
		dir, port := filepath.Join(t.TempDir(), "group"), reservePorts(t)
		taken, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		if err != nil {
			t.Fatal(err)
		}
		defer taken.Close()
		g := startGroup(t, "control", "local", "--dir", dir, "--port", strconv.Itoa(port))
		g.awaitEnd(t, exitFailed)
		g.checkLogs(t, 1)
		want := "instance b failed to start, see " + filepath.Join(dir, "b.log")
		if !strings.Contains(g.errs.String(), want) {
			t.Errorf("got stderr %q, want %q in it", g.errs, want)
		}
	})
	t.Run("the last instance has no log", func(t *testing.T) {
		t.Parallel()
		dir := filepath.Join(t.TempDir(), "group")
		if err := os.MkdirAll(filepath.Join(dir, "c.log"), 0o700); err != nil {
			t.Fatal(err)
		}
		g := startGroup(t, "control", "local", "--dir", dir, "--port", strconv.Itoa(reservePorts(t)))
		g.awaitEnd(t, exitFailed)
		if want := "logs are in " + dir; !strings.Contains(g.errs.String(), want) {
			t.Errorf("got stderr %q, want %q in it", g.errs, want)
		}
	})
	t.Run("nodes end by themselves", func(t *testing.T) {
		t.Parallel()
		g := startGroup(t, "faulttest", "results", "--quick", "--kills", "12", "--only", "kills")
		for ended := false; !ended; {
			for _, id := range g.children() {
				syscall.Kill(id, syscall.SIGKILL) // it may have exited already
			}
			select {
			case <-g.ended:
				ended = true
			case <-time.After(2 * time.Millisecond):
			}
		}
		g.awaitEnd(t, exitFailed)
		g.checkLogs(t, 0)
		if want := "the node ended by itself"; !strings.Contains(g.errs.String(), want) || g.out.String() != "" {
			t.Errorf("got stderr %q and stdout\n%s, want %q and no verdict", g.errs, g.out, want)
		}
	})
	t.Run("a promise is broken", func(t *testing.T) {
		t.Parallel()
		g := startGroup(t, "faulttest", "policy", "--mode", "real", "--quick", "--size", "6", "--without", "shadow",
			"--only", "a version that would shed everything")
		g.awaitChildren(t, 9)
		g.awaitEnd(t, exitFailed)
		g.checkLogs(t, 1)
		if !strings.Contains(g.out.String(), "\npolicy: broken: a version that would shed everything") {
			t.Errorf("printed\n%s\nwant the verdict of the broken promise", g.out)
		}
	})
}

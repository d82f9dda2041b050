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

// Bounds of the tests in this file.
const (
	startTimeout = 40 * time.Second // a command has its processes up
	exitTimeout  = 20 * time.Second // a command that is interrupted, or that fails, has ended
)

// commandGroup is a command with all processes that it starts in one process group, whose id is the command's own. So
// whether any of them is left can be told without a look at other processes.
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
	t.Cleanup(func() { // a test that fails leaves nothing either
		syscall.Kill(-g.pid(), syscall.SIGKILL)
		<-g.ended
	})
	return g
}

func (g *commandGroup) pid() int { return g.cmd.Process.Pid }

// children gives the processes that the command has started and not waited for.
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

// awaitChildren waits until so many processes are up.
func (g *commandGroup) awaitChildren(t *testing.T, count int) {
	t.Helper()
	eventually(t, startTimeout, func() (string, bool) {
		up := len(g.children())
		select {
		case <-g.ended:
			t.Fatalf("ended, expected %d processes\n%s%s", count, g.out, g.errs)
		default:
		}
		return fmt.Sprintf("%d processes, found %d\n%s%s", count, up, g.out, g.errs), up >= count
	})
}

// awaitEnd waits until the command has ended, and fails where its status is another or a process is left.
func (g *commandGroup) awaitEnd(t *testing.T, status int) {
	t.Helper()
	select {
	case <-g.ended:
	case <-time.After(exitTimeout):
		t.Fatalf("has not ended after %v\n%s%s", exitTimeout, g.out, g.errs)
	}
	if err := syscall.Kill(-g.pid(), 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("a process of group %d is left (%v)\n%s%s", g.pid(), err, g.out, g.errs)
	}
	if got := g.cmd.ProcessState.ExitCode(); got != status {
		t.Errorf("status %d, expected %d\n%s%s", got, status, g.out, g.errs)
	}
}

var logFolder = regexp.MustCompile(`logs are in (\S+)`)

// checkLogs fails unless the command said where its logs are, and logs with so many lines at least are there.
func (g *commandGroup) checkLogs(t *testing.T, atLeast int) {
	t.Helper()
	said := logFolder.FindStringSubmatch(g.errs.String() + g.out.String())
	if said == nil {
		t.Fatalf("does not say where logs are\n%s%s", g.out, g.errs)
	}
	files, lines := 0, 0
	if err := filepath.WalkDir(said[1], func(path string, _ os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".log" {
			return err
		}
		raw, err := os.ReadFile(path)
		files++
		lines += strings.Count(string(raw), "\n")
		return err
	}); err != nil || files == 0 || lines < atLeast {
		t.Errorf("%d lines in %d logs in %s (%v), expected %d lines at least", lines, files, said[1], err, atLeast)
	}
}

// A command has started its processes when it is interrupted: by a signal to it alone, as from a supervisor, or to it
// and all its processes, as by Ctrl-C at a terminal. It ends soon, no process is left, and it has said where their logs
// are. What was interrupted in the middle of a verdict has none, which is status 1; what runs until it is interrupted
// has 0.
func TestInterruptedCommandLeavesNoProcess(t *testing.T) {
	t.Parallel()
	policyCase := []string{"faulttest", "policy", "--mode", "real", "--quick", "--size", "6", "--only"}
	for _, c := range []struct {
		name     string
		args     []string
		children int // that are up when it is interrupted
		says     string
		status   int
		lines    int // of logs at least: what has just begun has none, and some nodes log warnings alone
	}{
		{"fault test while its group starts", append(policyCase, "killed before it prepared"), 2, "", exitFailed, 1},
		{"fault test while its nodes start", append(policyCase, "killed before it prepared"), 5, "", exitFailed, 1},
		{"fault test once all processes are up", append(policyCase, "load"), 9, "", exitFailed, 1},
		{"fault test of the group", []string{"faulttest", "raft", "--mode", "real", "--quick"}, 3, "", exitFailed, 1},
		{"fault test of stored results", []string{"faulttest", "results", "--quick", "--only", "kills"}, 6, "",
			exitFailed, 0},
		{"fleet while it is set up", []string{"fleet", "local", "--nodes", "3"}, 4, "", exitOK, 1},
		{"fleet at work", []string{"fleet", "local", "--nodes", "3"}, 6, "Ctrl-C ends all", exitOK, 1},
		{"group while it is set up", []string{"control", "local"}, 3, "", exitOK, 0},
		{"group at work", []string{"control", "local"}, 3, "running; ask it with", exitOK, 1},
		{"demo", []string{"demo", "--load", "0.2"}, 0, "IN TIME SO FAR", exitOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, to := range []string{"alone", "and its processes"} {
				t.Run(to, func(t *testing.T) {
					args := c.args
					if args[0] != "faulttest" && args[0] != "demo" {
						args = append(args[:len(args):len(args)], "--dir", filepath.Join(t.TempDir(), "work"))
					}
					if args[0] == "control" {
						args = append(args, "--port", strconv.Itoa(reservePorts(t)))
					}
					g := startGroup(t, args...)
					g.awaitChildren(t, c.children)
					if c.says != "" {
						g.out.await(t, c.says)
					}
					id := g.pid()
					if to != "alone" {
						id = -id
					}
					if err := syscall.Kill(id, syscall.SIGINT); err != nil {
						t.Fatal(err)
					}
					g.awaitEnd(t, c.status)
					g.checkLogs(t, c.lines)
					if strings.Contains(g.out.String(), ": kept") {
						t.Errorf("has a verdict:\n%s", g.out)
					}
				})
			}
		})
	}
}

// Commands fail while their processes are up: an instance has no port, another no log; nodes end by themselves; a guard
// is taken out and a promise breaks. No process is left, and each says where logs are.
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
		want := "instance b does not come up, see " + filepath.Join(dir, "b.log")
		if !strings.Contains(g.errs.String(), want) {
			t.Errorf("says %q, expected %q", g.errs, want)
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
			t.Errorf("says %q, expected %q", g.errs, want)
		}
	})
	t.Run("nodes end by themselves", func(t *testing.T) {
		t.Parallel()
		g := startGroup(t, "faulttest", "results", "--quick", "--kills", "12", "--only", "kills")
		for ended := false; !ended; {
			for _, id := range g.children() {
				syscall.Kill(id, syscall.SIGKILL) // it may have ended since
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
			t.Errorf("says %q, expected %q and no verdict\n%s", g.errs, want, g.out)
		}
	})
	t.Run("a promise is broken", func(t *testing.T) {
		t.Parallel()
		g := startGroup(t, "faulttest", "policy", "--mode", "real", "--quick", "--size", "6", "--without", "shadow",
			"--only",
			"a version that would shed everything")
		g.awaitChildren(t, 9)
		g.awaitEnd(t, exitFailed)
		g.checkLogs(t, 1)
		if !strings.Contains(g.out.String(), "\npolicy: broken: a version that would shed everything") {
			t.Errorf("printed\n%s\nexpected the verdict", g.out)
		}
	})
}

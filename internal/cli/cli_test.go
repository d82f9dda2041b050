package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"umberwinch/internal/control/consensus"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "umberctl-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "umberctl")
	if out, err := exec.Command("go", "build", "-o", program,
		"umberwinch/cmd/umberctl").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// runCommand runs umberctl and returns its standard output, standard error and exit status.
func runCommand(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(program, args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	if _, exit := err.(*exec.ExitError); err != nil && !exit {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// expect runs umberctl and fails the test unless it exits with the status and prints the text. It returns standard
// output.
func expect(t *testing.T, status int, text string, args ...string) string {
	t.Helper()
	out, errs, got := runCommand(t, args...)
	if got != status || !strings.Contains(out+errs, text) {
		t.Fatalf("umberctl %s: got status %d and\n%s%s\nwant status %d and %q", strings.Join(args, " "), got, out, errs,
			status, text)
	}
	return out
}

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startInstance runs a control instance as a separate process until the test ends, and returns its client address.
func startInstance(t *testing.T, dir, name, start string, host int) (listen string, cmd *exec.Cmd) {
	t.Helper()
	at := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, host)
	listen = at + ":7201"
	path := writeFile(t, dir, name+".ini", fmt.Sprintf("[instance]\nname = %s\ndata = %s\nstart = %s\npeer = %s:7101\n"+
		"listen = %s\n[group]\ntick = 20ms\n[log]\nform = json\n", name, filepath.Join(dir, name), start, at, listen))
	cmd = exec.Command(program, "control", "run", "--file", path)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = cmd.Start(); err != nil {
		t.Fatal(err)
	}
	roles := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(logs)
		for lines.Scan() {
			var entry struct{ Msg, Node, Role string }
			if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
				t.Errorf("log line %q: %v", lines.Text(), err)
			}
			if entry.Msg == "instance is up" {
				roles <- entry.Role
			}
		}
	}()
	select {
	case <-roles:
	case <-time.After(20 * time.Second):
		t.Fatalf("instance %s is not up after 20 s", name)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return listen, cmd
}

// An invalid file or command line must exit with status 2, name every fault, and leave the disk unchanged.
func TestInvalidFileStartsNothing(t *testing.T) {
	dir := t.TempDir()
	path := writeFile(t, dir, "c.ini", "[instance]\nname = a\ndata = "+filepath.Join(dir, "data")+
		"\nstart = never\n[group]\ntick = 9h\n")
	_, errs, code := runCommand(t, "control", "run", "--file", path)
	lines := strings.Split(strings.TrimSpace(errs), "\n")
	if code != 2 || len(lines) != 2 || !strings.HasPrefix(lines[0], path+":4: instance.start: found ") ||
		!strings.HasPrefix(lines[1], path+":6: group.tick: found ") {
		t.Fatalf("got status %d and\n%s\nwant status 2 and two faults with their lines", code, errs)
	}
	if _, err := os.Stat(filepath.Join(dir, "data")); !os.IsNotExist(err) {
		t.Fatalf("Stat(data folder) = %v, want it not to exist after an invalid file", err)
	}
	expect(t, 2, "no such file", "control", "run", "--file", filepath.Join(dir, "none"))
	expect(t, 2, "unknown flag", "control", "run", "--fil", path)
	expect(t, 2, "accepts 1 arg", "config", "put")
	expect(t, 2, `guard "x", expected one of`, "lab", "raft", "--without", "x")
}

// Operates a group of two through versions, conflicts, a watch and a snapshot. Without a majority nothing can be read;
// a new group restored from the snapshot must have the last version.
func TestGroupIsOperatedAndRestored(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a, first := startInstance(t, dir, "a", "new", 1)
	b, _ := startInstance(t, dir, "b", "join", 2)
	at := "--at=" + a + "," + b
	expect(t, 0, "b  ", "control", "members", "add", b, at)
	firstDocument := writeFile(t, dir, "one.ini",
		"[class view]\nkind = replayable\n[class file]\nkind = uniqued\nwindow = 20s\n")
	expect(t, 0, "valid, checked alone", "config", "check", firstDocument, at)
	expect(t, 0, "taken: version 1", "config", "put", firstDocument, at, "--reason", "the first", "--author", "op")
	expect(t, 0, "unchanged: version 1", "config", "put", firstDocument, at)
	expect(t, 0, "window = 20s", "config", "get", "--at="+b)
	secondDocument := writeFile(t, dir, "two.ini",
		"[class view]\nkind = replayable\n[class file]\nkind = uniqued\nwindow = 30s\n")
	expect(t, 0, "~ [class file] window = 30s (was 20s)", "config", "diff", secondDocument, at)
	expect(t, 3, "made from version 0, expected 1", "config", "put", secondDocument, at, "--base", "0")
	expect(t, 0, "taken: version 2", "config", "put", secondDocument, at)
	expect(t, 2, "class file.window: found 20s, expected 30s at least", "config", "check", firstDocument, at)
	expect(t, 3, "refused: version 2", "config", "put", firstDocument, at)
	expect(t, 2, "kind: found none of them", "config", "put", writeFile(t, dir, "bad.ini", "[class x]\n"), at)
	expect(t, 0, "the first", "config", "history", at)
	expect(t, 3, "version 9, expected one from 1 to 2", "config", "get", "--version", "9", at)

	var vs []consensus.Version
	if err := json.Unmarshal([]byte(expect(t, 0, "", "config", "history", "--json", at)), &vs); err != nil ||
		len(vs) != 2 || vs[0].Author != "op" || vs[1].Parent != 1 {
		t.Fatalf("config history = %+v (%v), want 2 versions, the first by op, the second with parent 1", vs, err)
	}
	watch := exec.Command(program, "config", "watch", "--from", "1", at)
	lines, err := watch.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err = watch.Start(); err != nil {
		t.Fatal(err)
	}
	defer watch.Process.Kill()
	printed := bufio.NewScanner(lines)
	for n := 1; n <= 2; n++ {
		if !printed.Scan() || !strings.HasPrefix(printed.Text(), fmt.Sprintf("version %d of", n)) {
			t.Fatalf("config watch printed %q, want version %d", printed.Text(), n)
		}
	}

	saved := filepath.Join(dir, "saved")
	expect(t, 0, "saved version 2", "control", "snapshot", "save", saved, at)
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	first.Wait()
	if first.ProcessState.ExitCode() != 0 {
		t.Fatalf("exit status after SIGTERM = %d, want 0", first.ProcessState.ExitCode())
	}
	expect(t, 0, "no response", "control", "status", "--at="+b)
	expect(t, 4, "may or may not have taken effect", "config", "get", at, "--within", "300ms")

	restoredConfig := writeFile(t, dir, "r.ini",
		fmt.Sprintf("[instance]\nname = r\ndata = %s\n", filepath.Join(dir, "r")))
	expect(t, 0, "created a new group of one instance with version 2", "control", "snapshot", "restore", saved,
		"--file", restoredConfig)
	expect(t, 1, "belongs to an instance already", "control", "snapshot", "restore", saved, "--file", restoredConfig)
	restored, _ := startInstance(t, dir, "r", "join", 3) // the existing folder overrides start = join
	expect(t, 0, "window = 30s", "config", "get", "--at="+restored)
}

// An instance whose log has a changed byte must not start, must name the file and offset, and must not modify the log.
func TestInstanceWithDamagedLogDoesNotStart(t *testing.T) {
	dir := t.TempDir()
	a, cmd := startInstance(t, dir, "a", "new", 4)
	for n := 1; n <= 5; n++ {
		expect(t, 0, "taken", "config", "put", writeFile(t, dir, "c.ini", fmt.Sprintf("[tenant t]\nrate = %d\n", n)),
			"--at="+a)
	}
	cmd.Process.Kill()
	cmd.Wait()
	segments, err := filepath.Glob(filepath.Join(dir, "a", "*.seg"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("found log segments %v (%v), want at least one", segments, err)
	}
	raw, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 0x20
	if err := os.WriteFile(segments[0], raw, 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, filepath.Base(segments[0])+" at byte ", "control", "run", "--file", filepath.Join(dir, "a.ini"))
	if after, err := os.ReadFile(segments[0]); err != nil || !bytes.Equal(raw, after) {
		t.Fatalf("the corrupt log was modified (%v), want it unchanged", err)
	}
}

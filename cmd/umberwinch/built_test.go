package main

import (
	"debug/elf"
	"fmt"
	"net"
	"net/http"
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

// The program built by the deploy file's command must meet the platform's requirements: linked against the C library,
// started by the run command, healthy, within the memory limit at idle, and ended by SIGTERM.
func TestBuiltProgram(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(deploy)
		if m == nil {
			t.Fatalf("deploy/balancer.toml has no %s = \"...\"", key)
		}
		return string(m[1])
	}
	build := exec.Command("bash", "-c", line("build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", line("build"), err, out)
	}
	program := filepath.Join(root, strings.TrimPrefix(line("run"), "exec "))
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil || len(libs) == 0 || !strings.HasPrefix(libs[0], "libc.") {
		t.Errorf("%s imports the libraries %v (%v), want the C library first", program, libs, err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	if err = os.WriteFile(config, []byte(fmt.Sprintf(`{"name": "n1", "listen": %q, "kernel": "127.0.0.1:1",
		"control": "127.0.0.1:1", "stop_ms": 3000, "limits": {"cores": 1, "memory_mb": 48, "sockets": 256},
		"settings": {"classes": [{"name": "get", "give_up": 1000000, "promise": 100000, "gain": 1,
		"semantics": "idempotent"}], "family_info": {"cores": 2, "memory_kb": 10000}}}`, listen)), 0o600); err != nil {
		t.Fatal(err)
	}
	run := exec.Command("bash", "-c", line("run"))
	run.Dir, run.Env = root, append(os.Environ(), "NODE_CONFIG="+config)
	if err = run.Start(); err != nil {
		t.Fatal(err)
	}
	defer run.Process.Kill()
	healthy := func() error {
		res, err := http.Get("http://" + listen + "/health")
		if err == nil {
			res.Body.Close()
			if res.StatusCode != http.StatusOK {
				err = fmt.Errorf("%s", res.Status)
			}
		}
		return err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if err = healthy(); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("/health is not OK after 10 s: %v", err)
		}
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", run.Process.Pid)) // exec keeps the shell's pid
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(status)
	if m == nil {
		t.Fatalf("found no VmRSS in\n%s", status)
	}
	if kb, _ := strconv.Atoi(string(m[1])); kb > 9<<10 { // the platform's limit
		t.Errorf("%d KB resident at idle, want at most %d", kb, 9<<10)
	} else {
		t.Logf("%d KB resident at idle", kb)
	}
	run.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- run.Wait() }()
	select {
	case err = <-ended:
		if err != nil {
			t.Errorf("after SIGTERM the program exited with %v, want status 0", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the program has not exited 5 s after SIGTERM")
	}
}

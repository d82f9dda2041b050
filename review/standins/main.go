// Command standins plays the cases of the review: it starts nodes by the run command of deploy/balancer.toml, with
// stand-ins for the kernel, the store, the control plane and the sidecars, and checks one rule.
//
//	standins CASE --root REPOSITORY --record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 in the environment
// leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"
)

// Run is one run of a case.
type Run struct {
	Rec     *Record
	Root    string // of the repository
	Dir     string // temporary
	Trouble bool
	nodes   []*Node
	atEnd   []func()
}

// errBroken says that the rule was broken, and how.
type errBroken struct{ text string }

func (e errBroken) Error() string { return e.text }

var cases = map[string]func(*Run) error{}

// longest is the longest time of a run.
const longest = 117 * time.Second

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE --root REPOSITORY --record FILE")
		os.Exit(2)
	}
	f := flag.NewFlagSet("standins", flag.ExitOnError)
	root, record := f.String("root", ".", "the repository"), f.String("record", "record.txt", "what happened")
	_ = f.Parse(os.Args[2:])
	os.Exit(play(cases[os.Args[1]], *root, *record))
}

func play(one func(*Run) error, root, record string) (code int) {
	rec, err := NewRecord(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.Sayf("couldn't run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	r := &Run{Rec: rec, Root: root, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	defer r.close()
	done := make(chan error, 1)
	go func() { done <- one(r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-time.After(longest):
		err = fmt.Errorf("no end within %s", longest)
	case s := <-signals:
		err = fmt.Errorf("ended by %s", s)
	}
	switch broken, ok := err.(errBroken); {
	case err == nil:
		rec.Sayf("HELD")
		return 0
	case ok:
		rec.Sayf("BROKEN: %s", broken.text)
		return 1
	}
	rec.Sayf("couldn't run: %v", err)
	return 2
}

// AddNode prepares a node that is killed at the end of the run.
func (r *Run) AddNode(c NodeConfig) (*Node, error) {
	n, err := NewNode(r.Rec, r.Root, r.Dir, c)
	if err == nil {
		r.nodes = append(r.nodes, n)
	}
	return n, err
}

// close ends the processes that were started and appends the ends of their logs to the record.
func (r *Run) close() {
	for _, n := range r.nodes {
		n.Kill()
		raw, _ := os.ReadFile(n.LogFile())
		r.Rec.Addf("the end of the log of %s:\n%s", n.Name, raw[max(0, len(raw)-3000):])
	}
	for _, f := range r.atEnd {
		f()
	}
}

// command returns a command of the project's programs, to be run from its root.
func (r *Run) command(line string) *exec.Cmd {
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = r.Root
	return cmd
}

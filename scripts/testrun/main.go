// Testrun runs the project's tests: all that KNOWN-RED.txt does not list have to pass. Those that it lists are run
// apart and their outcome is printed; one that passes, or that is not there, is an error, as the list is then wrong.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"slices"
	"strings"
)

// knownFailuresFile lists the tests that may fail, at the root of the repository.
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: testrun PACKAGE...")
		os.Exit(2)
	}
	r := runner{folder: ".", out: os.Stdout}
	if err := r.run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(1)
	}
}

// runner runs the tests of the module in a folder.
type runner struct {
	folder string
	out    io.Writer
}

func (r *runner) run(patterns []string) error {
	listed, err := readKnownFailures(path.Join(r.folder, knownFailuresFile))
	if err != nil {
		return err
	}
	for _, k := range listed {
		if err := r.checkExists(k); err != nil {
			return err
		}
	}
	err = r.runOthers(patterns, listed)
	for _, k := range listed {
		err = errors.Join(err, r.runListed(k))
	}
	return err
}

// checkExists looks for a listed test in its package.
func (r *runner) checkExists(k knownFailure) error {
	top, _, _ := strings.Cut(k.Test, "/")
	out, err := r.goTool("test", "-list", "^"+top+"$", "./"+k.Package)
	if err != nil || !slices.Contains(strings.Split(out, "\n"), top) {
		return fmt.Errorf("%s:%d: %s matches no test, expected one that is there", knownFailuresFile, k.Line, k)
	}
	return nil
}

// runOthers runs all tests that are not listed: packages without a listed test together, the others one by one, as a
// name is passed over in its own package alone.
func (r *runner) runOthers(patterns []string, listed []knownFailure) error {
	packages, err := r.packages(patterns)
	if err != nil {
		return err
	}
	skips := map[string][]string{}
	for _, k := range listed {
		skips["./"+k.Package] = append(skips["./"+k.Package], k.pattern())
	}
	plain := slices.DeleteFunc(slices.Clone(packages), func(p string) bool { return skips[p] != nil })
	err = r.goTest(plain...)
	for _, p := range packages {
		if skips[p] != nil {
			err = errors.Join(err, r.goTest("-skip", strings.Join(skips[p], "|"), p))
		}
	}
	return err
}

// packages gives the folders that patterns name, each as "./folder".
func (r *runner) packages(patterns []string) ([]string, error) {
	module, err := r.goTool("list", "-m")
	if err != nil {
		return nil, fmt.Errorf("go list -m: %w: %s", err, module)
	}
	out, err := r.goTool(append([]string{"list"}, patterns...)...)
	if err != nil {
		return nil, fmt.Errorf("go list: %w: %s", err, out)
	}
	var folders []string
	for _, p := range strings.Fields(out) {
		folders = append(folders, "."+strings.TrimPrefix(p, strings.TrimSpace(module)))
	}
	return folders, nil
}

// goTest runs one package after the other, as some tests time answers and others want all cores.
func (r *runner) goTest(args ...string) error {
	if len(args) == 0 {
		return nil
	}
	cmd := exec.Command("go", append([]string{"test", "-count=1", "-p", "1"}, args...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.folder, r.out, r.out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

// runListed runs a listed test apart and prints its outcome.
func (r *runner) runListed(k knownFailure) error {
	out, err := r.goTool("test", "-count=1", "-v", "-run", k.pattern(), "./"+k.Package)
	fmt.Fprint(r.out, out)
	switch {
	case strings.Contains(out, "--- FAIL: "+k.Test+" "):
		fmt.Fprintf(r.out, "known red: %s fails as listed: %s (issue %s; %s)\n", k, k.Seen, k.Issue, k.Command)
		return nil
	case err == nil && strings.Contains(out, "--- PASS: "+k.Test+" "):
		return fmt.Errorf("%s:%d: %s passes, expected it to fail: take it off the list", knownFailuresFile, k.Line, k)
	}
	return fmt.Errorf("%s:%d: %s neither passes nor fails by itself, expected it to fail", knownFailuresFile, k.Line, k)
}

// goTool runs the go command and gives all that it prints.
func (r *runner) goTool(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.folder, &out, &out
	err := cmd.Run()
	return out.String(), err
}

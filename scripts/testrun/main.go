// Testrun runs the project's tests. All tests must pass except those listed in KNOWN-RED.txt, which run separately and
// must fail: a listed test that passes or does not exist is an error, as the list is then out of date.
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

// knownFailuresFile lists the tests that fail for known faults. It is at the root of the repository.
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

// runner runs the tests of the module in a folder and writes their output to out.
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

// checkExists returns an error if a listed test is not in its package.
func (r *runner) checkExists(k knownFailure) error {
	top, _, _ := strings.Cut(k.Test, "/")
	out, err := r.goTool("test", "-list", "^"+top+"$", "./"+k.Package)
	if err != nil || !slices.Contains(strings.Split(out, "\n"), top) {
		return fmt.Errorf("%s:%d: %s matches no test, expected an existing one", knownFailuresFile, k.Line, k)
	}
	return nil
}

// runOthers runs all tests that are not listed. Packages with a listed test run one by one, because -skip would skip
// tests of the same name in other packages too.
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

// packages returns the folders of the packages that match the patterns, each as "./folder".
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

// goTest runs packages one at a time, because some tests measure response times and others use all cores.
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

// runListed runs a listed test separately, prints its output, and returns an error unless it fails.
func (r *runner) runListed(k knownFailure) error {
	out, err := r.goTool("test", "-count=1", "-v", "-run", k.pattern(), "./"+k.Package)
	fmt.Fprint(r.out, out)
	switch {
	case strings.Contains(out, "--- FAIL: "+k.Test+" "):
		fmt.Fprintf(r.out, "known red: %s fails as listed: %s (issue %s; %s)\n", k, k.Seen, k.Issue, k.Command)
		return nil
	case err == nil && strings.Contains(out, "--- PASS: "+k.Test+" "):
		return fmt.Errorf("%s:%d: %s passes, expected it to fail: remove it from the list", knownFailuresFile, k.Line,
			k)
	}
	return fmt.Errorf("%s:%d: %s neither passes nor fails by itself, expected it to fail", knownFailuresFile, k.Line, k)
}

// goTool runs the go command and returns its standard output and standard error.
func (r *runner) goTool(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := exec.Command("go", args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.folder, &out, &out
	err := cmd.Run()
	return out.String(), err
}

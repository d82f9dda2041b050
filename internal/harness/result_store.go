package harness

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"umberwinch/internal/report"
)

// This file kills a node that stores results, over and over, at named points and at random ones, and starts it again on
// its folder, while clients repeat their keys at random. The emulated kernel outlives it and counts runs by key.

// ResultStoreTest is `umberctl faulttest results`.
type ResultStoreTest struct {
	Seed    int64
	Quick   bool
	Kills   int
	Out     string
	Only    string // "kills" or "costs"; empty: both
	Without string
	Program string
}

// ResultStoreGuards can be taken out of the node; with one of them the run ends broken.
var ResultStoreGuards = []string{"proof", "intent", "result"}

// crashPoints are where a node can be told to die.
var crashPoints = []string{"intent", "sync", "durable", "sched", "reap", "result", "answer"}

// A short window, so that repeats come inside it and outside; a run takes some ms.
const (
	resultWindow       = 1500 * time.Millisecond
	clientsPerNode     = 4
	repeatShare        = 0.6
	windowMargin       = 300 * time.Millisecond
	resultStoreClasses = `cores 4
tenants 1
class view work=1 share=1 tail=0 target=300 timeout=1500 value=1
class submit work=3 share=1 tail=0.5 target=600 timeout=1500 value=20
cheapest view
dearest submit`
)

// concurrentNodes is how many nodes are killed side by side: the life of one is mostly waits.
const concurrentNodes = 6

// Run plays all and writes the report.
func (k *ResultStoreTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	if k.Kills == 0 {
		if k.Kills = 5000; k.Quick {
			k.Kills = 120
		}
	}
	rep := &report.Report{Name: "kept", Title: "Keyed results across restarts",
		Head: []string{"case", "kills", "reqs", "done", "repeats done",
			"errored", "shed", "cut by a kill", "torn"}}
	if k.Only != "costs" {
		if err := k.runKills(ctx, rep); err != nil {
			return nil, err
		}
	}
	if k.Only != "kills" && k.Without == "" {
		if err := k.measureCosts(ctx, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.End(k.Out, w)
}

// killTestConfig is the operator's file of nodes under kills.
const killTestConfig = "[kept]\nfolder = DIR\nentries = 4000\nmb = 8\n"

// runKills has nodes killed side by side, and holds each one's history to the promises.
func (k *ResultStoreTest) runKills(ctx context.Context, rep *report.Report) error {
	return withWorkFolder(ctx, rep, func(dir string) error {
		nodes, err := k.killNodes(ctx, dir)
		if err != nil {
			return err
		}
		addKills(rep, nodes)
		return nil
	})
}

// killNodes sets up concurrentNodes nodes and has each killed its part of the times. A node that can't be set up ends the
// lives of the others. All have ended when it returns.
func (k *ResultStoreTest) killNodes(ctx context.Context, dir string) ([]*resultStoreNode, error) {
	ctx, stop := context.WithCancel(ctx)
	nodes, errs := make([]*resultStoreNode, 0, concurrentNodes), make([]error, concurrentNodes)
	var wg sync.WaitGroup
	defer func() {
		stop()
		wg.Wait()
		for _, n := range nodes {
			n.close()
		}
	}()
	for i := range concurrentNodes {
		nodeDir := filepath.Join(dir, fmt.Sprint("node", i+1))
		if err := os.Mkdir(nodeDir, 0o700); err != nil {
			return nil, err
		}
		n, err := newResultStoreNode(resultStoreConfig{dir: nodeDir, program: k.Program, seed: k.Seed*100 + int64(i),
			window: resultWindow, operatorConfig: killTestConfig, disabledGuard: k.Without})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		wg.Go(func() { errs[i] = n.killRepeatedly(ctx, (k.Kills+concurrentNodes-1)/concurrentNodes) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// addKills brings what nodes under kills did into the report. A run that completed nothing has shown nothing.
func addKills(rep *report.Report, nodes []*resultStoreNode) {
	kills, sum := killCounts{byPoint: map[string]int{}}, historyTotals{}
	for i, n := range nodes {
		if broken := n.history.violation(); broken != "" {
			rep.Break("node %d, kill %d: %s", i+1, n.kills.total, broken)
		}
		kills.add(n.kills)
		sum.add(n.history)
	}
	row := []string{"kills"}
	for _, n := range []int{kills.total, sum.responses.sent, sum.responses.done, sum.responses.repeatsDone, sum.responses.failed,
		sum.responses.rejected, sum.responses.interrupted, kills.tornWrites} {
		row = append(row, strconv.Itoa(n))
	}
	rep.Rows = append(rep.Rows, row)
	for _, point := range crashPoints {
		rep.Add("kills_"+point, "%d", kills.byPoint[point])
	}
	rep.Add("kills", "%d", kills.total)
	rep.Add("keys_run", "%d", sum.keys)
	rep.Add("runs_after_the_window", "%d", sum.runs-sum.keys)
	rep.Add("effects", "%d", sum.effects)
	rep.Add("repeats_done", "%d", sum.responses.repeatsDone)
	if rep.Broken == "" && (sum.responses.repeatsDone == 0 || sum.responses.done == 0) {
		rep.Break("nothing was shown: %d done, %d repeats of them", sum.responses.done, sum.responses.repeatsDone)
	}
}

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

// This file crashes a node that stores results, at named points and at random times, and restarts it on its folder,
// while clients repeat their idempotency keys at random. The emulated kernel survives the node and counts runs by
// key.

// ResultStoreTest is a run of `umberctl faulttest results`.
type ResultStoreTest struct {
	Seed          int64
	Quick         bool
	Kills         int
	Out           string
	Only          string // "kills" or "costs"; empty: both
	DisabledGuard string
	Program       string
}

// ResultStoreGuards names the guards that can be disabled in the node. With one of them disabled the run has to find
// a violation.
var ResultStoreGuards = []string{"proof", "intent", "result"}

// crashPoints are the named points at which a node can crash.
var crashPoints = []string{"intent", "sync", "durable", "sched", "reap", "result", "answer"}

// The idempotency window is short, so that repeats fall inside and outside of it; a run takes some ms.
const (
	resultWindow       = 1500 * time.Millisecond
	clientsPerNode     = 4
	repeatShare        = 0.6                    // fraction of requests that repeat a key
	windowMargin       = 300 * time.Millisecond // tolerance of times measured at the clients
	resultStoreClasses = `cores 4
tenants 1
class view work=1 share=1 tail=0 target=300 timeout=1500 value=1
class submit work=3 share=1 tail=0.5 target=600 timeout=1500 value=20
cheapest view
dearest submit`
)

// concurrentNodes is the number of nodes that run and crash in parallel; each mostly waits.
const concurrentNodes = 6

// Run runs the kills and the measurement, as selected, and writes the report.
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
	if k.Only != "kills" && k.DisabledGuard == "" {
		if err := k.measureCosts(ctx, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(k.Out, w)
}

// killTestConfig is part of the operator's file of the nodes that are killed.
const killTestConfig = "[kept]\nfolder = DIR\nentries = 4000\nmb = 8\n"

// runKills kills nodes in parallel and checks each one's history.
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

// killNodes prepares concurrentNodes nodes and kills each an equal number of times. If a node can't be prepared, the
// others are stopped. All have exited when it returns.
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
			window: resultWindow, operatorConfig: killTestConfig, disabledGuard: k.DisabledGuard})
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

// addKills adds the nodes' results to the report. A run without a completed request and a completed repeat counts as
// a violation, as it has tested nothing.
func addKills(rep *report.Report, nodes []*resultStoreNode) {
	kills, sum := killCounts{byPoint: map[string]int{}}, historyTotals{}
	for i, n := range nodes {
		if violation := n.history.violation(); violation != "" {
			rep.SetBroken("node %d, kill %d: %s", i+1, n.kills.total, violation)
		}
		kills.add(n.kills)
		sum.add(n.history)
	}
	row := []string{"kills"}
	for _, n := range []int{kills.total, sum.responses.sent, sum.responses.done, sum.responses.repeatsDone,
		sum.responses.failed, sum.responses.rejected, sum.responses.interrupted, kills.tornWrites} {
		row = append(row, strconv.Itoa(n))
	}
	rep.Rows = append(rep.Rows, row)
	for _, point := range crashPoints {
		rep.AddFigure("kills_"+point, "%d", kills.byPoint[point])
	}
	rep.AddFigure("kills", "%d", kills.total)
	rep.AddFigure("keys_run", "%d", sum.keys)
	rep.AddFigure("runs_after_the_window", "%d", sum.runs-sum.keys)
	rep.AddFigure("effects", "%d", sum.effects)
	rep.AddFigure("repeats_done", "%d", sum.responses.repeatsDone)
	if rep.Broken == "" && (sum.responses.repeatsDone == 0 || sum.responses.done == 0) {
		rep.SetBroken("%d requests done, %d of them repeats, want at least one of each", sum.responses.done,
			sum.responses.repeatsDone)
	}
}

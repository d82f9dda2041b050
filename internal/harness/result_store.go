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
	windowSlack        = 300 * time.Millisecond
	resultStoreClasses = `cores 4
tenants 1
class view work=1 share=1 tail=0 target=300 timeout=1500 value=1
class submit work=3 share=1 tail=0.5 target=600 timeout=1500 value=20
cheapest view
dearest submit`
)

// nodesAtOnce is how many nodes are killed side by side: the life of one is mostly waits.
const nodesAtOnce = 6

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
		if err := k.kills(ctx, rep); err != nil {
			return nil, err
		}
	}
	if k.Only != "kills" && k.Without == "" {
		if err := k.costs(ctx, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(k.Out, w)
}

// killedStore is the operator's file of nodes under kills.
const killedStore = "[kept]\nfolder = DIR\nentries = 4000\nmb = 8\n"

// kills has nodes killed side by side, and holds each one's history to the promises.
func (k *ResultStoreTest) kills(ctx context.Context, rep *report.Report) error {
	return withWorkFolder(ctx, rep, func(dir string) error {
		nodes, err := k.killNodes(ctx, dir)
		if err != nil {
			return err
		}
		addKills(rep, nodes)
		return nil
	})
}

// killNodes sets up nodesAtOnce nodes and has each killed its part of the times. A node that can't be set up ends the
// lives of the others. All have ended when it returns.
func (k *ResultStoreTest) killNodes(ctx context.Context, dir string) ([]*resultStoreNode, error) {
	ctx, stop := context.WithCancel(ctx)
	nodes, errs := make([]*resultStoreNode, 0, nodesAtOnce), make([]error, nodesAtOnce)
	var all sync.WaitGroup
	defer func() {
		stop()
		all.Wait()
		for _, n := range nodes {
			n.close()
		}
	}()
	for i := range nodesAtOnce {
		own := filepath.Join(dir, fmt.Sprint("node", i+1))
		if err := os.Mkdir(own, 0o700); err != nil {
			return nil, err
		}
		n, err := newResultStoreNode(resultStoreSetUp{dir: own, program: k.Program, seed: k.Seed*100 + int64(i),
			window: resultWindow, own: killedStore, without: k.Without})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		all.Go(func() { errs[i] = n.play(ctx, (k.Kills+nodesAtOnce-1)/nodesAtOnce) })
	}
	all.Wait()
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
		if broken := n.history.broken(); broken != "" {
			rep.SetBroken("node %d, kill %d: %s", i+1, n.kills.all, broken)
		}
		kills.add(n.kills)
		sum.add(n.history)
	}
	row := []string{"kills"}
	for _, n := range []int{kills.all, sum.answers.sent, sum.answers.done, sum.answers.repeatsDone, sum.answers.failed,
		sum.answers.rejected, sum.answers.cut, kills.torn} {
		row = append(row, strconv.Itoa(n))
	}
	rep.Rows = append(rep.Rows, row)
	for _, point := range crashPoints {
		rep.AddFigure("kills_"+point, "%d", kills.byPoint[point])
	}
	rep.AddFigure("kills", "%d", kills.all)
	rep.AddFigure("keys_run", "%d", sum.keys)
	rep.AddFigure("runs_after_the_window", "%d", sum.runs-sum.keys)
	rep.AddFigure("effects", "%d", sum.effects)
	rep.AddFigure("repeats_done", "%d", sum.answers.repeatsDone)
	if rep.Broken == "" && (sum.answers.repeatsDone == 0 || sum.answers.done == 0) {
		rep.SetBroken("nothing was shown: %d done, %d repeats of them", sum.answers.done, sum.answers.repeatsDone)
	}
}

package harness

// This file measures a group under the heartbeats of thousands of nodes over sockets.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/report"
)

// heartbeatNodes is the number of nodes that send heartbeats.
const heartbeatNodes = 5000

// measureHeartbeats measures the group's cost for the heartbeats of heartbeatNodes nodes, which run in this process
// with a connection each. All nodes join within 10 s and the group is measured in steady state; then the group and
// all nodes are killed and restart within a second.
func (r *PolicyTest) measureHeartbeats(ctx context.Context, rep *report.Report) error {
	return withGroup(ctx, r.Program, rep, 3, "", func(c *controlProcesses) error {
		transport := &http.Transport{MaxIdleConnsPerHost: heartbeatNodes, MaxIdleConns: 3 * heartbeatNodes}
		m := &heartbeatLoad{group: c, client: &http.Client{Transport: transport}, startedAt: time.Now()}
		defer m.client.CloseIdleConnections()
		defer m.close()
		m.start(ctx, 1, 10*time.Second)
		if sleepContext(ctx, 25*time.Second); ctx.Err() != nil {
			return nil
		}
		if err := m.measureAtRest(ctx, rep); err != nil || rep.Broken != "" {
			return err
		}
		return m.measureRestart(ctx, rep)
	})
}

// groupUsage is the group's cumulative cost for heartbeats.
type groupUsage struct {
	view      consensus.PolicyView
	leaderCPU time.Duration
}

func (m *heartbeatLoad) usage(ctx context.Context, leader *instanceProcess) (u groupUsage, err error) {
	if _, err = m.group.doRequest(ctx, http.MethodGet, leader.listen, "/v1/policy", nil, &u.view); err != nil {
		return u, err
	}
	u.leaderCPU, err = cpuTime(leader.pid())
	return u, err
}

// measureAtRest measures the cost of heartbeats in steady state. All nodes have to be active and at most 1% of
// heartbeats may fail.
func (m *heartbeatLoad) measureAtRest(ctx context.Context, rep *report.Report) error {
	const span = 20 * time.Second
	leader := m.group.leader()
	if leader == nil {
		return errors.New("no leader")
	}
	before, err := m.usage(ctx, leader)
	if err != nil {
		return err
	}
	m.heartbeats.Store(0)
	m.failed.Store(0)
	sleepContext(ctx, span)
	after, err := m.usage(ctx, leader)
	if err != nil {
		return err
	}
	previous, current, seconds := before.view, after.view, span.Seconds()
	rep.AddFigure("crowd_nodes", "%d", current.ActiveNodes)
	rep.AddFigure("crowd_askings_per_s", "%.0f", float64(m.heartbeats.Load())/seconds)
	rep.AddFigure("crowd_entries_per_s", "%.2f", float64(current.HeartbeatBatches-previous.HeartbeatBatches)/seconds)
	rep.AddFigure("crowd_kb_per_s", "%.1f", float64(current.BatchBytes-previous.BatchBytes)/1024/seconds)
	rep.AddFigure("crowd_leader_cores", "%.2f", (after.leaderCPU-before.leaderCPU).Seconds()/seconds)
	rep.AddFigure("crowd_lost", "%d", m.failed.Load())
	if current.ActiveNodes != heartbeatNodes || m.failed.Load() > m.heartbeats.Load()/100 {
		rep.SetBroken(
			"steady state: %d of %d nodes active, %d of %d heartbeats failed, want all active and at most 1%% "+
				"failed", current.ActiveNodes, heartbeatNodes, m.failed.Load(), m.heartbeats.Load())
	}
	return nil
}

// measureRestart kills the group and all nodes, restarts them within a second, and measures the time until all nodes
// have a lease again.
func (m *heartbeatLoad) measureRestart(ctx context.Context, rep *report.Report) error {
	m.close()
	for _, p := range m.group.instances {
		m.group.kill(p)
	}
	m.client.CloseIdleConnections()
	restartedAt := time.Now()
	for _, p := range m.group.instances {
		if err := m.group.start(p, ""); err != nil {
			return err
		}
	}
	m.start(ctx, 2, time.Second)
	electedAfter, peak, before := time.Duration(0), int64(0), m.heartbeats.Load()
	for m.leasedNodes.Load() < heartbeatNodes && time.Since(restartedAt) < time.Minute && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		now := m.heartbeats.Load()
		peak, before = max(peak, now-before), now
		if electedAfter == 0 && m.group.leader() != nil {
			electedAfter = time.Since(restartedAt)
		}
	}
	leasedAfter := time.Since(restartedAt)
	leader := m.group.leader()
	if leader == nil {
		return errors.New("no leader")
	}
	cpu, err := cpuTime(leader.pid())
	if err != nil {
		return err
	}
	rep.AddFigure("restart_leads_ms", "%d", electedAfter.Milliseconds())
	rep.AddFigure("restart_all_in_ms", "%d", leasedAfter.Milliseconds())
	rep.AddFigure("restart_askings_per_s_peak", "%d", 10*peak)
	rep.AddFigure("restart_leader_cpu_s", "%.2f", cpu.Seconds())
	rep.AddFigure("restart_leader_mb", "%.0f", residentMB(leader.pid()))
	if m.leasedNodes.Load() < heartbeatNodes {
		rep.SetBroken("restart of the group and %d nodes: %d nodes have a lease after %v, want all within 1m0s",
			heartbeatNodes, m.leasedNodes.Load(), leasedAfter)
	}
	return nil
}

// heartbeatLoad is a number of nodes in this process that send heartbeats to a group.
type heartbeatLoad struct {
	group       *controlProcesses
	client      *http.Client
	startedAt   time.Time
	heartbeats  atomic.Int64
	failed      atomic.Int64
	leasedNodes atomic.Int64 // nodes that hold a lease
	wg          sync.WaitGroup
	cancel      context.CancelFunc // stops the running nodes
}

// start starts all nodes, spread evenly over a time.
func (m *heartbeatLoad) start(ctx context.Context, incarnation int, within time.Duration) {
	ctx, m.cancel = context.WithCancel(ctx)
	m.leasedNodes.Store(0)
	var control []string
	for _, p := range m.group.instances {
		control = append(control, p.listen)
	}
	for i := 0; i < heartbeatNodes; i++ {
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			sleepContext(ctx, time.Duration(i)*within/heartbeatNodes)
			name := fmt.Sprintf("n%04d", i)
			m.runNode(ctx, agent.Config{Name: name, Zone: fmt.Sprint("z", i%3), ControlAddresses: control,
				Nonce: fmt.Sprintf("crowd-%d-%s", incarnation, name), JitterSeed: uint32(i)})
		}()
	}
}

// close stops all nodes and waits for them.
func (m *heartbeatLoad) close() {
	m.cancel()
	m.wg.Wait()
}

// runNode sends one node's heartbeats until the context ends.
func (m *heartbeatLoad) runNode(ctx context.Context, config agent.Config) {
	now := func() uint64 { return uint64(time.Since(m.startedAt).Milliseconds()) + 1000 }
	node, leased := agent.New(config, nil, now()), false
	for ctx.Err() == nil {
		request, seq, due := node.Heartbeat(now())
		if !due {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(max(node.NextHeartbeat(), now()+1)-now()) * time.Millisecond):
			}
			continue
		}
		m.heartbeats.Add(1)
		raw, _ := json.Marshal(request)
		attemptCtx, cancel := context.WithTimeout(ctx, time.Duration(node.HeartbeatTimeout())*time.Millisecond)
		var response api.HeartbeatResponse
		err := postJSON(attemptCtx, m.client, "http://"+node.ControlAddress()+"/v1/nodes", raw, &response)
		cancel()
		if err != nil {
			m.failed.Add(1)
			node.HandleFailure(now(), seq)
		} else if err = node.HandleResponse(now(), seq, response); err != nil {
			m.failed.Add(1)
		}
		if !leased && node.LeaseID() != 0 {
			leased = true
			m.leasedNodes.Add(1)
		}
	}
}

// residentMB returns a process's resident memory, 0 if it can't be read.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident int
	if n, _ := fmt.Sscan(string(raw), &size, &resident); err != nil || n < 2 {
		return 0
	}
	return float64(resident*os.Getpagesize()) / (1 << 20)
}

// postJSON posts a JSON body and decodes the response into out. Any status but 200 is an error.
func postJSON(ctx context.Context, client *http.Client, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", res.Status, raw)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: found %q", pid, raw)
	}
	user, err1 := strconv.Atoi(f[11])
	system, err2 := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // /proc counts in 1/100 s
}

package harness

// This file measures a group that gets the heartbeats of thousands of members over sockets.

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

// heartbeatNodes is the size of the fleet whose heartbeats a group of processes gets, from as many members in this one.
const heartbeatNodes = 5000

// measureHeartbeats measures what the heartbeats of a fleet of the full size cost the group: processes of the control
// service, and members in this process, each with a connection of its own. First all members join within ten seconds
// and the group is measured at rest; then the group and all members are killed, and come back within a second of each
// other.
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

// groupUsage is what a group has done for heartbeats so far.
type groupUsage struct {
	view      consensus.PolicyView
	leaderCPU time.Duration // of the leader
}

func (m *heartbeatLoad) usage(ctx context.Context, leader *instanceProcess) (u groupUsage, err error) {
	if _, err = m.group.doRequest(ctx, http.MethodGet, leader.listen, "/v1/policy", nil, &u.view); err != nil {
		return u, err
	}
	u.leaderCPU, err = cpuTime(leader.pid())
	return u, err
}

// measureAtRest holds the group to having all members in, and counts what they cost it over a while.
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
	rep.Add("crowd_nodes", "%d", current.ActiveNodes)
	rep.Add("crowd_askings_per_s", "%.0f", float64(m.heartbeats.Load())/seconds)
	rep.Add("crowd_entries_per_s", "%.2f", float64(current.Batches-previous.Batches)/seconds)
	rep.Add("crowd_kb_per_s", "%.1f", float64(current.BatchBytes-previous.BatchBytes)/1024/seconds)
	rep.Add("crowd_leader_cores", "%.2f", (after.leaderCPU-before.leaderCPU).Seconds()/seconds)
	rep.Add("crowd_lost", "%d", m.failed.Load())
	if current.ActiveNodes != heartbeatNodes || m.failed.Load() > m.heartbeats.Load()/100 {
		rep.Break("a group asked by %d nodes has %d in, and %d of %d askings were lost", heartbeatNodes, current.ActiveNodes,
			m.failed.Load(), m.heartbeats.Load())
	}
	return nil
}

// measureRestart kills the group and all members, has them come back within a second, and times when all are in again.
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
	rep.Add("restart_leads_ms", "%d", electedAfter.Milliseconds())
	rep.Add("restart_all_in_ms", "%d", leasedAfter.Milliseconds())
	rep.Add("restart_askings_per_s_peak", "%d", 10*peak)
	rep.Add("restart_leader_cpu_s", "%.2f", cpu.Seconds())
	rep.Add("restart_leader_mb", "%.0f", residentMB(leader.pid()))
	if m.leasedNodes.Load() < heartbeatNodes {
		rep.Break("a group and %d nodes restart at once, and %d are in after %v", heartbeatNodes, m.leasedNodes.Load(), leasedAfter)
	}
	return nil
}

// heartbeatLoad is a fleet of members in this process that send heartbeats to a group.
type heartbeatLoad struct {
	group       *controlProcesses
	client      *http.Client
	startedAt   time.Time
	heartbeats  atomic.Int64
	failed      atomic.Int64
	leasedNodes atomic.Int64 // members that hold a lease
	wg          sync.WaitGroup
	cancel      context.CancelFunc // of the members that run
}

// start starts all members within a time; close ends them.
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

// close ends all members and waits for them.
func (m *heartbeatLoad) close() {
	m.cancel()
	m.wg.Wait()
}

// runNode is one member, with a connection of its own.
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

// residentMB gives a process's resident memory in MB, 0 if it can't be told.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident int
	if n, _ := fmt.Sscan(string(raw), &size, &resident); err != nil || n < 2 {
		return 0
	}
	return float64(resident*os.Getpagesize()) / (1 << 20)
}

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

// cpuTime gives the processor time that a process has used.
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
	return time.Duration(user+system) * 10 * time.Millisecond, errors.Join(err1, err2) // the kernel counts in 1/100 s
}

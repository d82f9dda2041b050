package harness

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"umberwinch/internal/simulation"
)

// What the demo and fleets of processes send to a node: its start-up file, and requests as a sidecar sends them.

// nodeSetUp is what a node's start-up file is made from.
type nodeSetUp struct {
	name, listen, kernel, store, control string // addresses but for the name
	cores, tenants                       int
	classes                              []simulation.Class
	keyed                                string        // the class whose requests have idempotency keys
	window                               time.Duration // of those; 0: keyedWindow
}

// keyedWindow is the idempotency window of emulated fleets.
const keyedWindow = 20 * time.Second

// nodeConfig makes a node's start-up file for emulated classes.
func nodeConfig(n nodeSetUp) ([]byte, error) {
	if n.window == 0 {
		n.window = keyedWindow
	}
	var classes, customers []map[string]any
	for k := range n.classes {
		c := &n.classes[k]
		one := map[string]any{"name": c.Name, "gain": c.Handler.Value, "give_up": int(c.Handler.Timeout) * 100,
			"promise": int(c.Handler.LatencyObjective) * 100, "semantics": "idempotent"}
		if c.Name == n.keyed {
			one["semantics"], one["window"] = "deduplicated", n.window.Microseconds()
		}
		classes = append(classes, one)
	}
	for i := range n.tenants {
		customers = append(customers, map[string]any{"name": fmt.Sprint("t", i), "quota_per_s": 100})
	}
	return json.Marshal(map[string]any{"name": n.name, "listen": n.listen, "kernel": n.kernel, "store": n.store,
		"control": n.control, "seed": "1", "stop_ms": 2000,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"settings": map[string]any{"classes": classes, "customers": customers, "fleet_size": 1, "granularity": 2000,
			"family_info": map[string]any{"below": "tier", "cores": n.cores, "memory_kb": 500000, "run_factor": 2,
				"key_kb": 1, "meters": []string{"core_use", "on_cores", "heap_share", "links"}, "preemption": "off",
				"say": "off", "senders": 4, "idle": 30_000_000},
			"invariants": map[string]any{"drain_grace": 500_000, "fall_multiple": 5},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 5_000_000}}})
}

func newKey() string {
	var raw [16]byte
	rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// sendAttempt sends one attempt of a request and gives its status, 0 where none came, and its Retry-After.
func sendAttempt(ctx context.Context, client *http.Client, addr, class string, tenant, sender int, key string,
	again bool) (code int, backOff time.Duration) {
	code, _, backOff, _ = sendAttemptWithBody(ctx, client, addr, class, tenant, sender, key, again, "body")
	return code, backOff
}

// sendAttemptWithBody is sendAttempt with a body, and the answer's.
func sendAttemptWithBody(ctx context.Context, client *http.Client, addr, class string, tenant, sender int, key string,
	again bool, body string) (code int, answer string, backOff time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/rpc/"+class, strings.NewReader(body))
	if err != nil {
		return 0, "", 0, err
	}
	for k, v := range map[string]string{"Request-Id": newKey()[:16], "Sent-By": strconv.Itoa(sender),
		"Received-At": strconv.FormatInt(time.Now().UnixMilli(), 10), "Account": fmt.Sprint("t", tenant),
		"Footprint-Kb": "8.0", "Priority-Rank": "0.5000"} {
		req.Header.Set(k, v)
	}
	if key != "" {
		req.Header.Set("Once-Key", key)
	}
	if again {
		req.Header.Set("Attempt-Again", "1")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", 0, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", 0, err
	}
	ms, _ := strconv.Atoi(res.Header.Get("Back-Off-Ms"))
	return res.StatusCode, string(raw), time.Duration(ms) * time.Millisecond, nil
}

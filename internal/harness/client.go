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

// This file encodes nodes' start-up files and sends requests to nodes as a sidecar does.

// startupParams are the inputs of a node's start-up file.
type startupParams struct {
	name, listen, kernel, store, control string // all but name are addresses
	cores, tenants                       int
	classes                              []simulation.Class
	keyedClass                           string        // class whose requests carry idempotency keys
	idempotencyWindow                    time.Duration // 0: defaultIdempotencyWindow
}

const defaultIdempotencyWindow = 20 * time.Second

// encodeStartupFile encodes the JSON start-up file of a node that serves emulated classes.
func encodeStartupFile(p startupParams) ([]byte, error) {
	if p.idempotencyWindow == 0 {
		p.idempotencyWindow = defaultIdempotencyWindow
	}
	var classes, customers []map[string]any
	for k := range p.classes {
		c := &p.classes[k]
		fields := map[string]any{"name": c.Name, "gain": c.Handler.Value, "give_up": int(c.Handler.Timeout) * 100,
			"promise": int(c.Handler.LatencyObjective) * 100, "semantics": "idempotent"}
		if c.Name == p.keyedClass {
			fields["semantics"], fields["window"] = "deduplicated", p.idempotencyWindow.Microseconds()
		}
		classes = append(classes, fields)
	}
	for i := range p.tenants {
		customers = append(customers, map[string]any{"name": fmt.Sprint("t", i), "quota_per_s": 100})
	}
	return json.Marshal(map[string]any{"name": p.name, "listen": p.listen, "kernel": p.kernel, "store": p.store,
		"control": p.control, "seed": "1", "stop_ms": 2000,
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 1024},
		"settings": map[string]any{"classes": classes, "customers": customers, "fleet_size": 1, "granularity": 2000,
			"family_info": map[string]any{"below": "tier", "cores": p.cores, "memory_kb": 500000, "run_factor": 2,
				"key_kb": 1, "meters": []string{"core_use", "on_cores", "heap_share", "links"}, "preemption": "off",
				"say": "off", "senders": 4, "idle": 30_000_000},
			"invariants": map[string]any{"drain_grace": 500_000, "fall_multiple": 5},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 5_000_000}}})
}

// randomKey returns 128 random bits in hexadecimal.
func randomKey() string {
	var raw [16]byte
	rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// sendAttempt sends one attempt of a request. It returns the response's status, 0 if there was no response, and its
// Retry-After.
func sendAttempt(ctx context.Context, client *http.Client, addr, class string, tenant, sender int, key string,
	isRetry bool) (status int, retryAfter time.Duration) {
	status, _, retryAfter, _ = sendAttemptWithBody(ctx, client, addr, class, tenant, sender, key, isRetry, "body")
	return status, retryAfter
}

// sendAttemptWithBody is sendAttempt with a given request body; it also returns the response body.
func sendAttemptWithBody(ctx context.Context, client *http.Client, addr, class string, tenant, sender int, key string,
	isRetry bool, body string) (status int, response string, retryAfter time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/rpc/"+class, strings.NewReader(body))
	if err != nil {
		return 0, "", 0, err
	}
	for k, v := range map[string]string{"Request-Id": randomKey()[:16], "Sent-By": strconv.Itoa(sender),
		"Received-At": strconv.FormatInt(time.Now().UnixMilli(), 10), "Account": fmt.Sprint("t", tenant),
		"Footprint-Kb": "8.0", "Priority-Rank": "0.5000"} {
		req.Header.Set(k, v)
	}
	if key != "" {
		req.Header.Set("Once-Key", key)
	}
	if isRetry {
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

package harness

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// send sends one attempt. Status 0 means no response; mayBeRead reports whether the node may have read the request.
func (r *resultStoreNode) send(ctx context.Context, client *http.Client, class, key string, isRetry bool) (status int,
	body string, mayBeRead bool) {
	idempotencyKey := ""
	if class == "submit" {
		idempotencyKey = key
	}
	status, body, _, err := sendAttemptWithBody(ctx, client, r.listen, class, 0, 1, idempotencyKey, isRetry, key)
	return status, body, err == nil || !strings.Contains(err.Error(), "connection refused")
}

// keyChooser draws a caller's keys: new ones, and used ones from inside and outside the idempotency window.
type keyChooser struct {
	random *rand.Rand
	name   string
	used   []string
	count  int
}

func (k *keyChooser) next() (key string, isRetry bool) {
	key = fmt.Sprintf("%s-%d", k.name, k.count)
	k.count++
	if len(k.used) == 0 || k.random.Float64() >= repeatShare {
		k.used = append(k.used, key)
		return key, false
	}
	distance := int(k.random.ExpFloat64() * 8)
	if k.random.Float64() < 0.05 { // any used key, mostly outside the window
		distance = k.random.Intn(len(k.used))
	}
	return k.used[max(0, len(k.used)-1-distance)], true
}

// runCaller sends requests back to back while the node is running, until the context ends, and records the outcomes.
func (r *resultStoreNode) runCaller(ctx context.Context, keys *keyChooser) {
	for ctx.Err() == nil {
		incarnation := r.currentIncarnation()
		if !incarnation.running {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		outcome := attemptOutcome{}
		outcome.key, outcome.isRetry = keys.next()
		startedAt := time.Now()
		outcome.status, outcome.body, outcome.mayBeRead = r.send(ctx, incarnation.client, "submit", outcome.key,
			outcome.isRetry)
		if ctx.Err() != nil {
			return
		}
		outcome.latency = time.Since(startedAt)
		if outcome.status == 0 && outcome.mayBeRead {
			r.awaitIncarnationEnd(incarnation, 2*time.Second)
		}
		outcome.nodeRunning = r.isRunning(incarnation)
		r.history.recordAttempt(outcome)
	}
}

// awaitIncarnationEnd waits until the test has noticed the end of an incarnation, which callers may notice first.
func (r *resultStoreNode) awaitIncarnationEnd(incarnation nodeIncarnation, within time.Duration) {
	for end := time.Now().Add(within); r.currentIncarnation().number == incarnation.number && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

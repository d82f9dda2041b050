package harness

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// send is one attempt. code 0: no answer came; read tells whether the node may have read it.
func (r *resultStoreNode) send(ctx context.Context, client *http.Client, class, key string, isRetry bool) (status int,
	body string, mayBeRead bool) {
	idempotencyKey := ""
	if class == "submit" {
		idempotencyKey = key
	}
	status, body, _, err := sendAttemptWithBody(ctx, client, r.listen, class, 0, 1, idempotencyKey, isRetry, key)
	return status, body, err == nil || !strings.Contains(err.Error(), "connection refused")
}

// keyChooser gives a caller's keys: new ones, and old ones again, inside the window and outside.
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
	if k.random.Float64() < 0.05 { // long ago, most often outside the window
		distance = k.random.Intn(len(k.used))
	}
	return k.used[max(0, len(k.used)-1-distance)], true
}

// runCaller sends one request after the other until the context ends, while the node is up.
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
		outcome.status, outcome.body, outcome.mayBeRead = r.send(ctx, incarnation.client, "submit", outcome.key, outcome.isRetry)
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

// awaitIncarnationEnd waits until a life's end is seen, which may be after its callers saw it.
func (r *resultStoreNode) awaitIncarnationEnd(incarnation nodeIncarnation, within time.Duration) {
	for end := time.Now().Add(within); r.currentIncarnation().number == incarnation.number && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

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
func (r *resultStoreNode) send(ctx context.Context, client *http.Client, class, key string, again bool) (code int,
	body string, read bool) {
	once := ""
	if class == "submit" {
		once = key
	}
	code, body, _, err := sendAttemptWithBody(ctx, client, r.listen, class, 0, 1, once, again, key)
	return code, body, err == nil || !strings.Contains(err.Error(), "connection refused")
}

// keyChooser gives a caller's keys: new ones, and old ones again, inside the window and outside.
type keyChooser struct {
	random *rand.Rand
	name   string
	used   []string
	count  int
}

func (k *keyChooser) next() (key string, again bool) {
	key = fmt.Sprintf("%s-%d", k.name, k.count)
	k.count++
	if len(k.used) == 0 || k.random.Float64() >= repeatShare {
		k.used = append(k.used, key)
		return key, false
	}
	back := int(k.random.ExpFloat64() * 8)
	if k.random.Float64() < 0.05 { // long ago, most often outside the window
		back = k.random.Intn(len(k.used))
	}
	return k.used[max(0, len(k.used)-1-back)], true
}

// caller sends one request after the other until the context ends, while the node is up.
func (r *resultStoreNode) caller(ctx context.Context, keys *keyChooser) {
	for ctx.Err() == nil {
		life := r.currentLife()
		if !life.up {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		out := attemptOutcome{}
		out.key, out.again = keys.next()
		began := time.Now()
		out.code, out.body, out.read = r.send(ctx, life.client, "submit", out.key, out.again)
		if ctx.Err() != nil {
			return
		}
		out.took = time.Since(began)
		if out.code == 0 && out.read {
			r.awaitEndOf(life, 2*time.Second)
		}
		out.alive = r.alive(life)
		r.history.note(out)
	}
}

// awaitEndOf waits until a life's end is seen, which may be after its callers saw it.
func (r *resultStoreNode) awaitEndOf(life nodeLife, within time.Duration) {
	for end := time.Now().Add(within); r.currentLife().number == life.number && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

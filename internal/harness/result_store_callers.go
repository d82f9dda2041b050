package harness

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"time"
)

// send is one attempt. code 0: no answer came; read tells whether the node may have read it.
func (r *resultStoreNode) send(ctx context.Context, client *http.Client, class, key string, again bool) (code int, body string, read bool) {
	once := ""
	if class == "submit" {
		once = key
	}
	code, body, _, err := sendAttemptWithBody(ctx, client, r.listen, class, 0, 1, once, again, key)
	return code, body, err == nil || !strings.Contains(err.Error(), "connection refused")
}

// caller asks until the context ends: new keys, and old ones again, inside the window and outside.
func (r *resultStoreNode) caller(ctx context.Context, chance *rand.Rand, name string) {
	var mine []string
	for n := 0; ctx.Err() == nil; n++ {
		r.mu.Lock()
		life, up, client := r.life, r.up, r.client
		r.mu.Unlock()
		if !up {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		key, again := fmt.Sprintf("%s-%d", name, n), false
		if len(mine) > 0 && chance.Float64() < repeatShare {
			back := int(chance.ExpFloat64() * 8)
			if chance.Float64() < 0.05 { // long ago, most often outside the window
				back = chance.Intn(len(mine))
			}
			key, again = mine[max(0, len(mine)-1-back)], true
		} else {
			mine = append(mine, key)
		}
		began := time.Now()
		code, body, read := r.send(ctx, client, "submit", key, again)
		if ctx.Err() != nil {
			return
		}
		took := time.Since(began)
		for end := time.Now().Add(2 * time.Second); code == 0 && read && time.Now().Before(end); time.Sleep(time.Millisecond) {
			if r.mu.Lock(); r.life != life { // its death is seen only now
				end = time.Time{}
			}
			r.mu.Unlock()
		}
		r.note(life, key, code, body, again, read, took)
	}
}

// note holds an answer against what ran.
func (r *resultStoreNode) note(life int, key string, code int, body string, again, read bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	switch code {
	case 0:
		if r.cut++; !read {
			r.cut, r.unsent = r.cut-1, r.unsent+1
		}
		if r.life == life && r.up && read {
			r.fail("%s got no answer, and its node was not killed", key)
		}
		return
	case http.StatusOK:
		r.done++
		if again {
			r.repeats++
		}
		if !slices.ContainsFunc(r.runs[key], func(o callResult) bool { return o.result == body }) {
			r.fail("%s was answered by %q, which no run of it gave", key, body)
		}
		r.told[key] = time.Now()
	case http.StatusServiceUnavailable:
		r.shed++
	case http.StatusInternalServerError:
		r.errored++
		// One that waited for the disk until it was due is errored too, whatever is known.
		if since := time.Since(r.told[key]); since < resultWindow-windowSlack && took < windowSlack {
			r.fail("%s was errored %v after its result was told", key, since)
		}
	default:
		r.fail("%s was answered %d", key, code)
	}
	r.answered++
}

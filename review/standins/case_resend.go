package main

import (
	"fmt"
	"math"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["resend"] = resend }

// sejongSite is the site sejong-filing at a tenth of its times, as on sockets, where the rate for each backend is some
// ten times that of the brief.
func sejongSite() *Site {
	return &Site{Cores: 6, FallMultiple: 5, TipMS: 300, MemoryKB: 49584, RunFactor: 8, KeyKB: 12,
		Preemption: "pause", DrainGraceMS: 250, AnswerSlackMS: 60, Below: "tier",
		LingerMS: 20, WarmMS: 1400, RoundMS: 2, ShareSpanMS: 500, MaxRetryAfterMS: 1000, Senders: 4, Fleet: 11,
		Classes: []Class{
			{Name: "status-view", Semantics: "idempotent", AimMS: 230, DeadlineMS: 590, Value: 1, WindowMS: 5000,
				Calls: true, Degraded: 0.6},
			{Name: "return-submit", Semantics: "deduplicated", AimMS: 230, DeadlineMS: 730, Value: 4,
				WindowMS: submitWindow.Seconds() * 1000, Calls: true},
		}}
}

// submitWindow is how long a return-submit may come again, from its arrival.
const submitWindow = 2195 * time.Millisecond

const (
	resendTime  = 85 * time.Second
	resendNodes = 3
	resendRate  = 150 // requests a second for each node
)

// resend breaks the links between nodes and kernels now and then, and checks that no keyed request runs twice on a
// node within its window.
func resend(r *Run) error {
	requests := NewRequests()
	control, err := NewControlPlane()
	if err != nil {
		return err
	}
	store, err := NewStore(r.Rec, func() time.Duration {
		return time.Duration((4 + 8*rand.Float64()) * float64(time.Millisecond))
	})
	if err != nil {
		return err
	}
	var mu sync.Mutex
	keyOf, firstAt := map[string]string{}, map[string]time.Time{} // by request; by key: Received-At of the try that ran
	received := map[string]time.Time{}
	counts := map[int]int{}
	var twice []string
	breaks := 0
	end := time.Now().Add(resendTime)
	var wg sync.WaitGroup
	var servers []*Server
	for i := range resendNodes {
		s, err := r.StartServer(fmt.Sprintf("n%d", i+1), sejongSite(), requests, control,
			serverOptions{MemoryMB: 192, Sockets: 512, Store: store})
		if err != nil {
			return err
		}
		servers = append(servers, s)
		s.Kernel.OnRun = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			key := keyOf[id]
			if at, ran := firstAt[key]; ran && received[id].Before(at.Add(submitWindow)) {
				r.Rec.Addf("BROKEN key %s runs again on %s", key, s.Name)
				twice = append(twice, key)
				return
			}
			firstAt[key] = received[id]
		}
	}
	for _, s := range servers {
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() / resendRate * float64(time.Second)))
				wg.Go(func() {
					key := newID() + newID()
					work := 25 * math.Exp(0.6*rand.NormFloat64())
					body := fmt.Sprintf("work=%.1f file=%s", work, key)
					if rand.Float64() < 0.3 {
						body = fmt.Sprintf("work=%.1f call=1 work=%.1f call=2 work=2 file=%s", work/2, work/2, key)
					}
					q := &Request{ID: newID(), Class: "return-submit", OnceKey: key, Rank: 0.5,
						Sidecar: 1 + rand.Intn(4), Body: body}
					mu.Lock()
					keyOf[q.ID], received[q.ID] = key, time.Now()
					mu.Unlock()
					a := s.Sidecars.Send(q, 900*time.Millisecond)
					mu.Lock()
					counts[a.Status]++
					mu.Unlock()
				})
			}
		})
		if r.Trouble {
			wg.Go(func() {
				for time.Now().Before(end) {
					time.Sleep(time.Duration(600+rand.Intn(800)) * time.Millisecond)
					s.Kernel.BreakLink()
					mu.Lock()
					breaks++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	wrong := 0
	for _, s := range servers {
		if how, crashed := s.Crashed(); crashed {
			return fmt.Errorf("%s has ended by itself: %s", s.Name, how)
		}
		wrong += s.Kernel.WrongReplies
	}
	r.Rec.Sayf("answers by status: %v; keys that ran: %d; breaks of links: %d; runs that got the reply to another "+
		"call (not judged here): %d", counts, len(firstAt), breaks, wrong)
	if len(twice) > 0 {
		return errBroken{fmt.Sprintf("%d keyed requests ran again on their node within their window", len(twice))}
	}
	return nil
}

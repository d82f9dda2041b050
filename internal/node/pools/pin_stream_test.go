package pools

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"

	"umberwinch/admission"
)

// Hashes over the decisions and the texts of pools on the recorded stream. The decisions are those of version 2a0a97e.
// A change of recordedDecisions is a change of behaviour: the commit that makes it says why.
const (
	recordedDecisions = "6f6b8c50cef23ea72565eedd300e0b1cc3bc1e1e8ee7995729e2508c6af57cf0"
	recordedTexts     = "3d06afc8d86262e055cab7c8cd35a86b62f6bea4f8e102ad8d70fc499ce7a9aa"
)

// textMarker stands for a text in the decisions, so that order and number of texts count there.
const textMarker = "TEXT"

// recording hashes decisions and texts apart.
type recording struct {
	decisions, texts hash.Hash
	count            int
}

func newRecording() *recording {
	return &recording{decisions: sha256.New(), texts: sha256.New()}
}

// note adds a line without a text.
func (r *recording) note(format string, args ...any) {
	r.count++
	fmt.Fprintf(r.decisions, format+"\n", args...)
}

// noteText adds a line that line makes of a text.
func (r *recording) noteText(text string, line func(text string) string) {
	r.count++
	fmt.Fprintln(r.decisions, line(textMarker))
	fmt.Fprintln(r.texts, text)
}

func hexSum(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil)) }

// stream drives pools as a server with faults does.
type stream struct {
	pools     *Pools
	rand      *rand.Rand
	now       Time
	lastID    uint32
	scale     int // size of the server: 1 for the smallest
	waiting   []waitingRequest
	running   []runningRequest
	recording *recording
}

type waitingRequest struct {
	id        uint32
	arrivedAt Time
}

type runningRequest struct {
	id     uint32
	endsAt Time
	atCall bool
}

// TestRecordedPools guards against an unintended change of any decision, status value or log line. The stream has
// heavy runs, slow calls, runs that stop without a result or hang, requests shed before and in the queue, a stalled
// process, changing numbers of slots, surges of one tenant and of one caller, and reconfiguration.
func TestRecordedPools(t *testing.T) {
	recording := newRecording()
	for seed := range uint64(24) {
		s := &stream{rand: rand.New(rand.NewPCG(seed, 3)), now: 30 * Second, scale: 1 + 4*int(seed%2),
			recording: recording}
		config := s.drawConfig()
		s.pools = New(config)
		for step := range 6000 {
			s.step(step, len(config.Classes))
			if step%1500 == 1499 {
				config = s.changedConfig(config)
				s.pools.Reconfigure(config)
			}
		}
	}
	for _, c := range []struct{ name, got, want string }{
		{"decisions", hexSum(recording.decisions), recordedDecisions},
		{"texts", hexSum(recording.texts), recordedTexts},
	} {
		if c.got != c.want {
			t.Errorf("hash of %s over %d lines = %s, want %s", c.name, recording.count, c.got, c.want)
		}
	}
}

func (s *stream) drawConfig() Config {
	p := Config{Reserve: s.rand.IntN(2) == 0, Tenants: s.rand.IntN(4)}
	for k := range 2 + s.rand.IntN(3) {
		p.Classes = append(p.Classes, Class{Name: fmt.Sprint("class", k), Value: float64(s.rand.IntN(5))})
	}
	return p
}

// changedConfig draws other limits for the same classes.
func (s *stream) changedConfig(p Config) Config {
	p.Disabled, p.Reserve = s.rand.IntN(8) == 0, s.rand.IntN(2) == 0
	p.Classes = append([]Class(nil), p.Classes...)
	for k := range p.Classes {
		c := &p.Classes[k]
		c.MinFraction, c.MaxFraction, c.FixedLimit = 0, 0, false
		switch s.rand.IntN(4) {
		case 0:
			c.MinFraction = 0.3 * s.rand.Float64()
		case 1:
			c.MaxFraction = 0.2 + 0.6*s.rand.Float64()
		case 2:
			c.MaxFraction, c.FixedLimit = 0.1+0.5*s.rand.Float64(), true
		}
	}
	return p
}

func (s *stream) step(step, classes int) {
	s.now += Time(s.rand.IntN(200))
	if s.rand.IntN(1000) == 0 {
		s.now += 5 * Second // the process was stalled
	}
	slots := 6*s.scale + s.rand.IntN(3)
	if step/700%4 == 3 {
		slots = 2 * s.scale
	}
	s.arrive(step, classes)
	s.dequeue()
	s.advanceRuns()
	s.pools.Tick(s.now, slots)
	s.start(slots, step)
	for _, line := range s.pools.TakeChanges() {
		s.recording.noteText(line, func(text string) string { return "told " + text })
	}
	if step%20 == 0 {
		for class, status := range s.pools.Status() {
			s.recording.noteText(status.Reason, func(text string) string {
				status.Reason = text
				return fmt.Sprintf("%d view %v lap %d", s.now, status, s.pools.QueueDelay(class))
			})
		}
	}
}

// arrive enqueues requests, more of them in a surge, and has some shed before the queue.
func (s *stream) arrive(step, classes int) {
	for n := s.scale * s.rand.IntN(2+3*(step/400%3)/2); n > 0; n-- {
		s.lastID++
		q := &admission.Request{ID: s.lastID, Handler: s.rand.IntN(classes), Tenant: s.rand.IntN(4),
			Caller: uint32(s.rand.IntN(30))}
		if step/500%3 == 1 {
			q.Tenant, q.Caller = 1, 9
		}
		if s.rand.IntN(30) == 0 {
			s.pools.Rejected(s.now, q.Handler)
			continue
		}
		s.pools.Enqueued(s.now, q)
		s.waiting = append(s.waiting, waitingRequest{q.ID, s.now})
	}
}

// dequeue sheds requests that waited too long, removes some whose caller disconnected, and reports an unknown request.
func (s *stream) dequeue() {
	remaining := s.waiting[:0]
	for _, w := range s.waiting {
		switch {
		case s.now-w.arrivedAt > Second/2:
			s.pools.Dequeued(s.now, w.id, true)
		case s.rand.IntN(200) == 0:
			s.pools.Dequeued(s.now, w.id, false)
		default:
			remaining = append(remaining, w)
		}
	}
	s.waiting = remaining
	if s.rand.IntN(100) == 0 {
		s.pools.Dequeued(s.now, 1<<30, true)
		s.pools.Started(s.now, 1<<30, 0)
		s.pools.Ended(s.now, 1<<30, true, true)
		s.recording.note("may %v", s.pools.CanStart(1<<30))
	}
}

// advanceRuns has runs begin calls, resume and end, and repeats some reports.
func (s *stream) advanceRuns() {
	remaining := s.running[:0]
	for _, r := range s.running {
		switch {
		case s.now >= r.endsAt && !r.atCall:
			s.pools.Ended(s.now, r.id, s.rand.IntN(12) > 0, s.rand.IntN(6) > 0)
			continue
		case s.rand.IntN(40) == 0:
			r.atCall = !r.atCall
			s.pools.SetAtCall(s.now, r.id, r.atCall)
		case s.rand.IntN(200) == 0:
			s.pools.SetAtCall(s.now, r.id, r.atCall)
		}
		remaining = append(remaining, r)
	}
	s.running = remaining
}

// start starts queued requests in arrival order as far as slots and CanStart allow, as package admission does.
func (s *stream) start(slots, step int) {
	for k := 0; k < len(s.waiting) && len(s.running) < slots; {
		w := s.waiting[k]
		canStart := s.pools.CanStart(w.id)
		s.recording.note("%d may %d %v", s.now, w.id, canStart)
		if !canStart {
			k++
			continue
		}
		s.pools.Started(s.now, w.id, s.now-w.arrivedAt)
		work := Time(200 + 1500*int(w.id%3) + s.rand.IntN(500))
		switch s.rand.IntN(20) {
		case 0:
			work *= 10
		case 1:
			work += Time(step/1000) * Second / 10 // work grows over the recording
		}
		s.running = append(s.running, runningRequest{id: w.id, endsAt: s.now + work})
		s.waiting = append(s.waiting[:k], s.waiting[k+1:]...)
		k = 0
	}
}

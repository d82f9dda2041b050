package simulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// recordedSettings has every key of the start-up settings, with verbs for three of the values.
const recordedSettings = `{"classes": [
 {"name": "view", "gain": 1, "give_up": 6e6, "late_share": 0.25, "promise": 2e6, "semantics": "idempotent", "window": 0},
 {"name": "pay", "gain": 4, "give_up": 4e6, "late_share": 0.5, "promise": 1e6, "semantics": "deduplicated", "window": 9e6},
 {"name": "once", "gain": 2, "give_up": 5e6, "late_share": 0, "promise": 0, "semantics": "at_most_once", "window": 0}],
 "customers": [{"name": "acme", "quota_per_s": 40}, {"name": "zeta", "quota_per_s": 5}],
 "family_info": {"below": "%s", "calls_out": 6, "cold": true, "cores": 2, "degraded_worth": [0.5, 0.1, 0], "fresh": 2e5,
 "idle": 8e5, "key_kb": 0.5, "linger": 3e5, "memory_kb": 9000, "meters": ["on_cores", "links"], "preemption": "%s",
 "run_factor": 3, "say": "%s", "senders": 4, "share_span": 1e6},
 "fleet_size": 5, "granularity": 2000,
 "invariants": {"drain_grace": 1e6, "fall_multiple": 3, "start_capacity": 0.4, "warm_after": 2e6},
 "limits": {"max_retry_after": 3e6, "retry_after": true}, "goal": {"whole": 1, "worst_class": 0.3},
 "over_share_worth": 0.2, "stage": 1, "worth_by": "work"}`

// TestRepliesToRecordedFrames checks the bytes of the replies to a fixed stream of frames against version 2a0a97e,
// under three settings, and apart from them the texts of the log lines. The stream has retries, calls, failed calls,
// disconnects, gauges and a drain.
func TestRepliesToRecordedFrames(t *testing.T) {
	for _, c := range []struct{ below, preemption, say, decisions, texts string }{
		{"off", "drop", "level", "4f03a22488bdd248", "drain: started with 874 requests in the request table\n"},
		{"shared", "pause", "credit", "dbb8620c46defb00", "drain: started with 852 requests in the request table\n"},
		{"tier", "off", "weight", "4c019796dd1c67bd", "drain: started with 853 requests in the request table\n"},
	} {
		t.Run(c.below, func(t *testing.T) {
			s := &frameSource{t: t, adapter: New(), random: rand.New(rand.NewSource(7)), actionCounts: map[byte]int{}}
			s.play(fmt.Sprintf(recordedSettings, c.below, c.preemption, c.say))
			if got := shortHash(s.decisions.Bytes()); got != c.decisions {
				t.Errorf("hash of the replies without texts = %s, want %s; actions by code: %v", got, c.decisions,
					s.actionCounts)
			}
			if got := s.texts.String(); got != c.texts {
				t.Errorf("log lines = %q, want %q", got, c.texts)
			}
		})
	}
}

// frameSource plays the simulator's side: the events of each frame follow from the replies to earlier ones.
type frameSource struct {
	t            *testing.T
	adapter      *Adapter
	random       *rand.Rand
	nowUS        uint64
	nextID       uint32
	waiting      []uint32 // request ids that were read and have not run yet
	running      []uint32
	calling      []uint32
	actionCounts map[byte]int
	decisions    bytes.Buffer // the replies, with each log line replaced by logMarker
	texts        bytes.Buffer // the log lines
}

// logMarker replaces each log line in frameSource.decisions, so that the number and order of lines still count.
const logMarker = "(line)"

// logCode is the code of a Log action: an offset into the frame's tail and a length, each of four bytes, follow it.
const logCode = 120

func shortHash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

func (s *frameSource) play(settings string) {
	s.nowUS, s.nextID = 5_000_000, 1
	selected := eventRecord(100, uint32(3))
	s.send(settings, selected, eventRecord(10, uint64(7), uint32(0), uint32(len(settings))))
	for step := range 1500 {
		s.nowUS += uint64(s.random.Intn(4000))
		events := [][]byte{selected}
		for range s.random.Intn(4) {
			events = append(events, s.requestRead())
		}
		events = append(events, s.progress()...)
		if s.random.Intn(5) == 0 {
			events = append(events, eventRecord(80, uint64(1), byte(2), s.random.Float32()*2, s.random.Float32()*9))
		}
		if step == 1300 {
			events = append(events, eventRecord(60, s.nowUS+3_000_000))
		}
		s.send("", events...)
	}
}

// requestRead makes the event of a new request.
func (s *frameSource) requestRead() []byte {
	id := s.nextID
	s.nextID++
	s.waiting = append(s.waiting, id)
	previous := uint32(0)
	flags := byte(s.random.Intn(4))
	if flags&2 != 0 && id > 9 {
		previous = id - uint32(s.random.Intn(9))
	}
	deadline := s.nowUS + uint64(s.random.Intn(6_000_000))
	return eventRecord(20, id, uint16(s.random.Intn(3)), uint32(s.random.Intn(2)), uint64(11), deadline,
		uint32(s.random.Intn(40_000)), float32(s.random.Intn(40)), float32(s.random.Float32()), flags,
		uint32(s.random.Intn(6)), uint32(s.random.Intn(9000)), previous)
}

// progress makes events of runs, calls and disconnects.
func (s *frameSource) progress() (events [][]byte) {
	take := func(list *[]uint32) uint32 {
		i := s.random.Intn(len(*list))
		id := (*list)[i]
		*list = slices.Delete(*list, i, i+1)
		return id
	}
	if len(s.calling) > 0 && s.random.Intn(3) > 0 {
		id := take(&s.calling)
		status := []uint16{0, 13, 8, 14, 4, 10, 9}[s.random.Intn(7)]
		events = append(events, eventRecord(50, id, status, uint32(s.random.Intn(30_000))))
		s.running = append(s.running, id)
	}
	if len(s.running) > 0 && s.random.Intn(2) > 0 {
		if id := take(&s.running); s.random.Intn(3) == 0 {
			events = append(events, eventRecord(40, id))
			s.calling = append(s.calling, id)
		} else {
			status := []uint16{0, 0, 0, 13, 8, 1, 9}[s.random.Intn(7)]
			events = append(events, eventRecord(30, id, uint32(s.random.Intn(50_000)), status))
		}
	}
	if len(s.waiting) > 20 && s.random.Intn(9) == 0 {
		events = append(events, eventRecord(70, take(&s.waiting)))
	}
	return events
}

// send serves one frame and updates the state from the actions in the reply.
func (s *frameSource) send(tail string, events ...[]byte) {
	s.t.Helper()
	f := frame(tail, events...)
	binary.BigEndian.PutUint64(f[4:], s.nowUS)
	var out bytes.Buffer
	if err := s.adapter.Serve(bytes.NewReader(f), &out); err != nil {
		s.t.Fatal(err)
	}
	b := out.Bytes()
	for i := range int(binary.BigEndian.Uint32(b[4:])) {
		action := b[8+24*i : 8+24*i+24]
		s.actionCounts[action[0]]++
		id := binary.BigEndian.Uint32(action[1:])
		switch action[0] {
		case 30:
			s.t.Fatalf("the controller panicked: %s", b[len(b)-int(binary.BigEndian.Uint32(action[5:])):])
		case 150:
			s.running = append(s.running, id)
			s.removeID(&s.waiting, id)
		case 160, 10, 40, 50:
			s.removeID(&s.waiting, id)
		}
	}
	s.split(b)
}

// split adds a reply to decisions, with each log line replaced by logMarker, and its log lines to texts. It fails if
// the reply's size or the offset or length of a line is wrong, or if the tail has more than the lines.
func (s *frameSource) split(reply []byte) {
	s.t.Helper()
	const actionSize = 24
	if got := int(binary.BigEndian.Uint32(reply)); got != len(reply) {
		s.t.Fatalf("size of the reply = %d, want %d", got, len(reply))
	}
	tailAt := 8 + actionSize*int(binary.BigEndian.Uint32(reply[4:]))
	head, tail := slices.Clone(reply[:tailAt]), reply[tailAt:]
	used, marked := 0, 0 // bytes of the lines so far in the tail and in its replacement
	for i := 8; i < tailAt; i += actionSize {
		if head[i] != logCode {
			continue
		}
		offset, length := head[i+1:i+5], head[i+5:i+9]
		start, n := int(binary.BigEndian.Uint32(offset)), int(binary.BigEndian.Uint32(length))
		if start != used || n > len(tail)-used {
			s.t.Fatalf("log line at %d with %d bytes, want it at %d of a tail of %d bytes", start, n, used, len(tail))
		}
		fmt.Fprintf(&s.texts, "%s\n", tail[used:used+n])
		binary.BigEndian.PutUint32(offset, uint32(marked))
		binary.BigEndian.PutUint32(length, uint32(len(logMarker)))
		used, marked = used+n, marked+len(logMarker)
	}
	if used != len(tail) {
		s.t.Fatalf("tail of %d bytes, want the %d bytes of the log lines", len(tail), used)
	}
	binary.BigEndian.PutUint32(head, uint32(tailAt+marked))
	s.decisions.Write(head)
	s.decisions.WriteString(strings.Repeat(logMarker, marked/len(logMarker)))
}

func (s *frameSource) removeID(list *[]uint32, id uint32) {
	if i := slices.Index(*list, id); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

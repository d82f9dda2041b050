package simulator

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// recordedSettings has every key of the start-up settings that the programs read.
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

// What the adapter answers to a fixed stream of frames, byte for byte, is that of version 2a0a97e: reads that are
// repeated, calls, faults of the services below, callers that leave, gauges and a drain, under three deployments.
func TestRepliesToRecordedFrames(t *testing.T) {
	for _, c := range []struct{ below, preemption, say, want string }{
		{"off", "drop", "level", "f6753c34cff5f366"},
		{"shared", "pause", "credit", "257ab877acb576dd"},
		{"tier", "off", "weight", "d502a21e132288bf"},
	} {
		t.Run(c.below, func(t *testing.T) {
			p := &frameSource{t: t, adapter: New(), random: rand.New(rand.NewSource(7)), actionCounts: map[byte]int{}}
			p.play(fmt.Sprintf(recordedSettings, c.below, c.preemption, c.say))
			if got := hex.EncodeToString(p.repliesSum()[:8]); got != c.want {
				t.Errorf("replies have the hash %s, expected %s; actions: %v", got, c.want, p.actionCounts)
			}
		})
	}
}

// frameSource plays the simulator's side: it makes frames from what was answered to those before.
type frameSource struct {
	t            *testing.T
	adapter      *Adapter
	random       *rand.Rand
	nowUS        uint64
	nextID       uint32
	waiting      []uint32 // read and not run yet
	running      []uint32
	calling      []uint32
	actionCounts map[byte]int
	replies      bytes.Buffer
}

func (p *frameSource) repliesSum() []byte {
	s := sha256.Sum256(p.replies.Bytes())
	return s[:]
}

func (p *frameSource) play(settings string) {
	p.nowUS, p.nextID = 5_000_000, 1
	about := eventRecord(100, uint32(3))
	p.send(settings, about, eventRecord(10, uint64(7), uint32(0), uint32(len(settings))))
	for step := range 1500 {
		p.nowUS += uint64(p.random.Intn(4000))
		events := [][]byte{about}
		for range p.random.Intn(4) {
			events = append(events, p.requestRead())
		}
		events = append(events, p.progress()...)
		if p.random.Intn(5) == 0 {
			events = append(events, eventRecord(80, uint64(1), byte(2), p.random.Float32()*2, p.random.Float32()*9))
		}
		if step == 1300 {
			events = append(events, eventRecord(60, p.nowUS+3_000_000))
		}
		p.send("", events...)
	}
}

// requestRead is the event of a request that was read.
func (p *frameSource) requestRead() []byte {
	id := p.nextID
	p.nextID++
	p.waiting = append(p.waiting, id)
	prior := uint32(0)
	flags := byte(p.random.Intn(4))
	if flags&2 != 0 && id > 9 {
		prior = id - uint32(p.random.Intn(9))
	}
	deadline := p.nowUS + uint64(p.random.Intn(6_000_000))
	return eventRecord(20, id, uint16(p.random.Intn(3)), uint32(p.random.Intn(2)), uint64(11), deadline,
		uint32(p.random.Intn(40_000)), float32(p.random.Intn(40)), float32(p.random.Float32()), flags, uint32(p.random.Intn(6)),
		uint32(p.random.Intn(9000)), prior)
}

// progress is what runs and calls came to.
func (p *frameSource) progress() (events [][]byte) {
	take := func(list *[]uint32) uint32 {
		i := p.random.Intn(len(*list))
		id := (*list)[i]
		*list = slices.Delete(*list, i, i+1)
		return id
	}
	if len(p.calling) > 0 && p.random.Intn(3) > 0 {
		id := take(&p.calling)
		status := []uint16{0, 13, 8, 14, 4, 10, 9}[p.random.Intn(7)]
		events = append(events, eventRecord(50, id, status, uint32(p.random.Intn(30_000))))
		p.running = append(p.running, id)
	}
	if len(p.running) > 0 && p.random.Intn(2) > 0 {
		if id := take(&p.running); p.random.Intn(3) == 0 {
			events = append(events, eventRecord(40, id))
			p.calling = append(p.calling, id)
		} else {
			status := []uint16{0, 0, 0, 13, 8, 1, 9}[p.random.Intn(7)]
			events = append(events, eventRecord(30, id, uint32(p.random.Intn(50_000)), status))
		}
	}
	if len(p.waiting) > 20 && p.random.Intn(9) == 0 {
		events = append(events, eventRecord(70, take(&p.waiting)))
	}
	return events
}

// send hands one frame over and takes note of the actions in the reply.
func (p *frameSource) send(tail string, events ...[]byte) {
	p.t.Helper()
	f := frame(tail, events...)
	binary.BigEndian.PutUint64(f[4:], p.nowUS)
	var out bytes.Buffer
	if err := p.adapter.Serve(bytes.NewReader(f), &out); err != nil {
		p.t.Fatal(err)
	}
	p.replies.Write(out.Bytes())
	b := out.Bytes()
	for k := range int(binary.BigEndian.Uint32(b[4:])) {
		action := b[8+24*k : 8+24*k+24]
		p.actionCounts[action[0]]++
		id := binary.BigEndian.Uint32(action[1:])
		switch action[0] {
		case 30:
			p.t.Fatalf("the module failed: %s", b[len(b)-int(binary.BigEndian.Uint32(action[5:])):])
		case 150:
			p.running = append(p.running, id)
			p.removeID(&p.waiting, id)
		case 160, 10, 40, 50:
			p.removeID(&p.waiting, id)
		}
	}
}

func (p *frameSource) removeID(list *[]uint32, id uint32) {
	if i := slices.Index(*list, id); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

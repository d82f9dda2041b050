package simulation

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand"
	"strings"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/wal"
)

// The world's unit of time is a millisecond. An instance ticks as the shipped file has it.
const (
	tickMS   = 50
	electing = 10
	// writesWithin is the promise: with a majority there, a leader takes writes again within it.
	writesWithin         = 5000
	ScheduleMilliseconds = 12000 // of faults under load; growth, rest and scripted cases come to it
	worldSegment         = 16 << 10
	worldBound           = 8 << 20
	worldSnap            = 12 << 10 // small, so that snapshots and lagging followers come often
)

var errPower = errors.New("the power went")

type event struct {
	at  int64
	seq uint64
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// logPosition is an entry as some log has it.
type logPosition struct{ index, term uint64 }

// host is a machine with a disk and, while it is up, an instance.
type host struct {
	n           int
	disk        *wal.MemFS
	replica     *consensus.Replica
	id          uint64
	incarnation int   // numbered over all hosts
	frozen      int64 // its disk stalls until then
	left        int   // file-system steps until it crashes, -1 for none
	copied      *wal.MemFS
	held        map[uint64]uint64 // index to term of what its log held on disk when last seen
	base        uint64            // all up to it are held, in a snapshot
	seen        uint64            // applied when last checked
	first       uint64            // number of the version checked last
	puts        map[string]*call
	reads       map[uint64]*call
	gone        bool // barred, or its disk was lost: the operator replaces it
}

// ConsensusGroup is one run.
type ConsensusGroup struct {
	seed    int64
	net     *rand.Rand // network, disks and clients
	without consensus.Guard
	now     int64
	seq     uint64
	queue   events
	Steps   int
	hosts   []*host
	lives   int
	met     map[[2]int]bool // by lives: whether they speak with each other
	cut     map[[2]int]bool // by hosts, one way
	loss    int             // of 1,000 messages
	slow    int64           // most time a message takes
	calls   uint64
	clients []*client
	history []porcupine.Operation
	target  int // voters wanted
	Broken  string

	leaders   map[uint64]uint64
	committed map[uint64]uint64 // index to term
	during    map[uint64]uint64 // index to the term in which it was first seen applied: later leaders must have it
	texts     map[logPosition]uint32
	pictures  map[uint64]string
	confs     [][]uint64
	newest    uint64 // version applied anywhere
	lost      map[uint64]map[logPosition]bool
	Trace     func(string)
}

// NewConsensusGroup founds a group of one and lets it grow to size, without faults.
func NewConsensusGroup(seed int64, size int, without consensus.Guard) *ConsensusGroup {
	w := &ConsensusGroup{seed: seed, net: rand.New(rand.NewSource(seed)), without: without, slow: 20, target: size,
		met: map[[2]int]bool{}, cut: map[[2]int]bool{}, leaders: map[uint64]uint64{},
		committed: map[uint64]uint64{}, texts: map[logPosition]uint32{}, pictures: map[uint64]string{},
		lost: map[uint64]map[logPosition]bool{}, during: map[uint64]uint64{}}
	for n := 0; n < size; n++ {
		w.addHost(n == 0)
	}
	w.operate()
	return w
}

func (w *ConsensusGroup) addHost(found bool) {
	h := &host{n: len(w.hosts), disk: wal.NewMemFS(), left: -1}
	w.hosts = append(w.hosts, h)
	w.startHost(h, found)
	w.after(int64(h.n)*7%tickMS, func() { w.tick(h) })
}

func (w *ConsensusGroup) after(ms int64, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now + ms, w.seq, do})
}

func (w *ConsensusGroup) fail(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("at %d ms: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *ConsensusGroup) tracef(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%7d ", w.now) + fmt.Sprintf(format, args...))
	}
}

// Run lets the world go on until a moment, or until something is broken.
func (w *ConsensusGroup) Run(until int64) {
	for w.Broken == "" && len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		w.now = max(w.now, e.at)
		w.Steps++
		e.do()
	}
	if w.Broken == "" {
		w.now = until
	}
}

// until runs on while a condition does not hold, at most some time.
func (w *ConsensusGroup) until(ms int64, holds func() bool) bool {
	for end := w.now + ms; w.now < end && w.Broken == ""; {
		if holds() {
			return true
		}
		w.Run(min(end, w.now+20))
	}
	return holds()
}

func (w *ConsensusGroup) plan(h *host, found bool) consensus.Config {
	return consensus.Config{Name: fmt.Sprint("i", w.lives), Peer: fmt.Sprint("h", h.n), Listen: fmt.Sprint("h",
		h.n),
		FoundGroup: found, ElectionTicks: electing, SnapshotBytes: worldSnap, DisabledGuards: w.without, Random: w.net.Uint64,
		Sizes: wal.Sizes{SegmentBytes: worldSegment, MaxBytes: worldBound}, Logger: discardLogger{},
		OnStep: func(name string) {
			if name == consensus.StepSend {
				w.recordLog(h)
			}
		}}
}

// startHost starts an instance on a host's disk.
func (w *ConsensusGroup) startHost(h *host, found bool) {
	w.lives++
	h.incarnation = w.lives
	h.puts, h.reads = map[string]*call{}, map[uint64]*call{}
	w.do(h, func() error {
		rep, err := consensus.Open(h.disk, w.plan(h, found))
		if err != nil {
			return err
		}
		if h.replica = rep; rep.ID() != h.id {
			h.id, h.gone = rep.ID(), false
		}
		h.held, h.base, h.seen, h.first = map[uint64]uint64{}, 0, 0, 0
		w.recordLog(h)
		return nil
	})
	w.tracef("host %d up as %x, life %d", h.n, h.id, h.incarnation)
	if h.replica != nil {
		w.work(h)
		w.connectInstance(h, h.incarnation)
	}
}

// connectInstance has an instance that came up make itself known to whoever it reaches, again until all know it or it
// ends.
func (w *ConsensusGroup) connectInstance(h *host, life int) {
	if h.replica == nil || h.incarnation != life {
		return
	}
	all := true
	for _, o := range w.hosts {
		if o != h && o.replica != nil && !w.exchange(h, o) {
			all = false
		}
		if h.replica == nil {
			return
		}
	}
	if !all {
		w.after(100, func() { w.connectInstance(h, life) })
	}
}

// exchange tells whether two instances speak with each other; they greet where both ways are open and neither
// stalls.
func (w *ConsensusGroup) exchange(a, b *host) bool {
	key := [2]int{min(a.incarnation, b.incarnation), max(a.incarnation, b.incarnation)}
	if ok, known := w.met[key]; known {
		return ok
	}
	if w.cut[[2]int{a.n, b.n}] || w.cut[[2]int{b.n, a.n}] || a.frozen > w.now || b.frozen > w.now {
		return false
	}
	ok := true
	for _, p := range [][2]*host{{a, b}, {b, a}} {
		var reason string
		w.do(p[0], func() (err error) {
			to := uint64(0) // an id is known by being a member's
			for _, m := range p[1].replica.Members() {
				if m.ID == p[0].id {
					to = m.ID
				}
			}
			reason, err = p[0].replica.Handshake(p[1].replica.HelloTo(to))
			return err
		})
		if p[0].replica == nil {
			return false
		}
		if reason != "" {
			ok = false
			if consensus.BarsInstance(reason) {
				w.tracef("host %d told by %d: %s", p[1].n, p[0].n, reason)
				w.do(p[1], func() error { return p[1].replica.Bar(reason) })
				if p[1].replica == nil {
					return false
				}
				p[1].gone = p[1].gone || p[1].replica.Barred() != ""
			}
		}
	}
	// An instance that waits is spoken with once it was taken in; the question is put again until then.
	if ok || a.replica.Status().Cluster != "" && b.replica.Status().Cluster != "" {
		w.met[key] = ok
	}
	return ok
}

// do runs something at a host. A failure put there on purpose takes it down, any other breaks the run.
func (w *ConsensusGroup) do(h *host, f func() error) {
	defer func() {
		if p := recover(); p != nil {
			w.fail("host %d gave up: %v", h.n, p)
			h.replica = nil
		}
	}()
	h.disk.OnStep = func(string, string) (int, error) {
		if h.left < 0 {
			return 0, nil
		}
		if h.left--; h.left < 0 {
			return w.net.Intn(600), errPower
		}
		return 0, nil
	}
	if err := f(); err != nil {
		if !errors.Is(err, errPower) {
			w.fail("host %d: %v", h.n, err)
			return
		}
		w.crashHost(h, 300+int64(w.net.Intn(1500)))
	}
}

// crashHost ends a host's instance, by the power or by a kill, and has it come up again later.
func (w *ConsensusGroup) crashHost(h *host, ms int64) {
	w.tracef("host %d down", h.n)
	h.replica, h.left = nil, -1
	if w.net.Intn(3) == 0 {
		h.disk = h.disk.Kill()
	} else {
		h.disk = h.disk.PowerLoss(w.net.Intn)
	}
	life := h.incarnation
	w.after(ms, func() {
		if h.replica == nil && h.incarnation == life {
			w.startHost(h, false)
		}
	})
}

func (w *ConsensusGroup) tick(h *host) {
	w.after(tickMS, func() { w.tick(h) })
	if h.replica != nil && h.frozen <= w.now {
		h.replica.Tick()
		w.work(h)
	}
}

// work lets an instance do what it has ready, then looks at what came of it.
func (w *ConsensusGroup) work(h *host) {
	if h.replica == nil || w.Broken != "" {
		return
	}
	var out consensus.WorkResult
	life := h.incarnation
	w.do(h, func() (err error) {
		out, err = h.replica.Work(func(ms []*pb.Message) { w.send(h, life, ms) })
		return err
	})
	if h.replica == nil {
		return
	}
	w.check(h)
	for _, r := range out.Puts {
		if c := h.puts[r.Session]; c != nil && c.put.Seq == r.Seq {
			delete(h.puts, r.Session)
			w.answer(c, r.Result)
		}
	}
	for _, id := range out.Reads {
		if c := h.reads[id]; c != nil {
			delete(h.reads, id)
			lines, first := h.replica.Versions()
			w.answer(c, consensus.PutResult{Version: first + uint64(len(lines)) - 1})
		}
	}
	w.do(h, func() error {
		s, err := h.replica.SnapshotIfDue()
		if s == nil || err != nil {
			return err
		}
		return h.replica.SnapshotWritten(s, s.Write())
	})
}

func (w *ConsensusGroup) send(h *host, life int, ms []*pb.Message) {
	for _, m := range ms {
		raw, err := proto.Marshal(m)
		if err != nil {
			w.fail("a message: %v", err)
			return
		}
		copies := 1
		if w.net.Intn(1000) < w.loss {
			copies = w.net.Intn(2) * 2 // lost, or doubled
		}
		to, snap := m.GetTo(), m.GetType() == pb.MessageType_MsgSnap
		for ; copies > 0; copies-- {
			took := 1 + w.net.Int63n(w.slow)
			w.after(took, func() { w.deliver(h, life, to, raw) })
		}
		if snap {
			w.after(2*w.slow, func() {
				if h.replica != nil && h.incarnation == life {
					h.replica.ReportSnapshot(to, true)
					w.work(h)
				}
			})
		}
	}
}

func (w *ConsensusGroup) deliver(from *host, life int, to uint64, raw []byte) {
	var h *host
	for _, o := range w.hosts {
		if o.id == to && o.replica != nil {
			h = o
		}
	}
	if h == nil || w.cut[[2]int{from.n, h.n}] {
		return
	}
	if h.frozen > w.now { // it waits in a socket
		w.after(h.frozen-w.now, func() { w.deliver(from, life, to, raw) })
		return
	}
	if from.incarnation == life && from.replica != nil && !w.exchange(from, h) || h.replica == nil {
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(raw, m); err != nil {
		w.fail("a message: %v", err)
		return
	}
	w.do(h, func() error { h.replica.Step(m); return nil })
	w.work(h)
}

// leader gives the host whose instance leads in the latest term, nil if none does.
func (w *ConsensusGroup) leader() *host {
	var best *host
	term := uint64(0)
	for _, h := range w.hosts {
		if h.replica != nil {
			if s := h.replica.Status(); s.Role == "leader" && s.Term > term {
				best, term = h, s.Term
			}
		}
	}
	return best
}

// operate is the operator: it takes in instances that wait, promotes them, and removes those that take no
// part.
func (w *ConsensusGroup) operate() {
	w.after(200, w.operate)
	for _, h := range w.hosts {
		if h.replica != nil && h.replica.Barred() != "" {
			w.wipe(h)
		}
	}
	l := w.leader()
	if l == nil || l.frozen > w.now {
		return
	}
	members := l.replica.Members()
	for _, m := range members {
		for _, h := range w.hosts {
			if h.id == m.ID && !h.gone {
				goto next
			}
		}
		l.replica.Change(consensus.Change{Op: "remove", Member: m})
		w.work(l)
		return
	next:
	}
	if len(members) >= w.target {
		return
	}
	for _, h := range w.hosts {
		if h.replica == nil || h.replica.Status().Role != "waiting" {
			continue
		}
		l.replica.Change(consensus.Change{Op: "add", Member: consensus.Member{ID: h.id, Name: fmt.Sprintf("m%x", h.id),
			Peer: fmt.Sprint("h", h.n), Listen: fmt.Sprint("h", h.n), Promote: true}})
		w.work(l)
		return
	}
}

// voters counts the voters that are up and take part, as the leader has them.
func (w *ConsensusGroup) voters() int {
	l := w.leader()
	if l == nil {
		return 0
	}
	n := 0
	for _, m := range l.replica.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// recordLog notes what a host's log holds on disk.
func (w *ConsensusGroup) recordLog(h *host) {
	if h.replica == nil {
		return
	}
	first, last := h.replica.LogBounds()
	h.base = first - 1
	from := first
	if h.seen > from {
		from = h.seen
	}
	for i := from; i <= last; i++ {
		term, data := h.replica.EntryAt(i)
		h.held[i] = term
		sum := crc32.ChecksumIEEE(data)
		if was, ok := w.texts[logPosition{i, term}]; ok && was != sum {
			w.fail("log matching: entry %d of term %d has two contents", i, term)
		}
		w.texts[logPosition{i, term}] = sum
	}
	for i := last + 1; h.held[i] > 0; i++ {
		delete(h.held, i)
	}
}

func (h *host) holds(s logPosition) bool { return s.index <= h.base || h.held[s.index] == s.term }

// check holds a host's state against all that was seen before.
func (w *ConsensusGroup) check(h *host) {
	s := h.replica.Status()
	w.recordLog(h)
	if s.Role == "leader" {
		if who, ok := w.leaders[s.Term]; ok && who != h.id {
			w.fail("two leaders in term %d: %x and %x", s.Term, who, h.id)
		} else if !ok {
			w.leaders[s.Term] = h.id
			w.tracef("host %d leads term %d", h.n, s.Term)
			for i := s.FirstIndex; i <= s.LastIndex || w.committed[i] > 0; i++ {
				if term := w.committed[i]; w.during[i] < s.Term && term > 0 && !h.holds(logPosition{i, term}) {
					w.fail("leader completeness: host %d leads term %d without entry %d of term %d", h.n, s.Term, i,
						term)
				}
			}
		}
	}
	if s.Applied == h.seen {
		return
	}
	for i := max(h.seen+1, s.FirstIndex); i <= min(s.Applied, s.LastIndex); i++ {
		term, _ := h.replica.EntryAt(i)
		if was, ok := w.committed[i]; ok && was != term {
			w.fail("state machine safety: entry %d was applied with term %d and with %d", i, was, term)
		}
		w.committed[i] = term
		if w.during[i] == 0 {
			w.during[i] = s.Term
		}
	}
	h.seen = s.Applied
	w.checkState(h, s)
}

func (w *ConsensusGroup) checkState(h *host, s consensus.Status) {
	lines, first := h.replica.Versions()
	now, outgoing := h.replica.Voters()
	last := ""
	if len(lines) > 0 {
		last = string(lines[len(lines)-1])
	}
	picture := fmt.Sprint(s.Version, last, h.replica.Members(), now, outgoing)
	if was, ok := w.pictures[s.Applied]; ok && was != picture {
		w.fail("two states after entry %d:\n%s\n%s", s.Applied, was, picture)
	}
	w.pictures[s.Applied] = picture
	for _, c := range [][]uint64{now, outgoing} {
		if len(c) > 0 && (len(w.confs) == 0 || fmt.Sprint(w.confs[len(w.confs)-1]) != fmt.Sprint(c)) {
			w.confs = append(w.confs, append([]uint64{}, c...))
		}
	}
	for n := max(h.first+1, first); n <= s.Version; n++ {
		v, err := consensus.ReadVersion(lines[n-first])
		if err != nil || v.Number != n {
			w.fail("version %d reads as %v (%v)", n, v, err)
			return
		}
		if n > w.newest && !w.majority(logPosition{v.Index, v.Term}) {
			w.fail("host %d applied version %d of entry %d, term %d, which no majority held", h.n, n, v.Index, v.Term)
		}
	}
	w.newest = max(w.newest, s.Version)
	if s.Version < h.first {
		w.fail("host %d went back from version %d to %d", h.n, h.first, s.Version)
	}
	h.first = s.Version
}

// majority tells whether one of the latest sets of voters held an entry by more than half.
func (w *ConsensusGroup) majority(s logPosition) bool {
	for k := len(w.confs) - 1; k >= max(0, len(w.confs)-4); k-- {
		n := 0
		for _, id := range w.confs[k] {
			if w.holds(id, s) {
				n++
			}
		}
		if n > len(w.confs[k])/2 {
			return true
		}
	}
	return false
}

// holds tells whether an instance holds an entry, or held it on a disk that was lost since.
func (w *ConsensusGroup) holds(id uint64, s logPosition) bool {
	for _, h := range w.hosts {
		if h.id == id && h.holds(s) {
			return true
		}
	}
	return w.lost[id][s]
}

// loseDisk notes what a disk held that is no more.
func (w *ConsensusGroup) loseDisk(h *host) {
	for i, term := range h.held {
		if w.lost[h.id] == nil {
			w.lost[h.id] = map[logPosition]bool{}
		}
		w.lost[h.id][logPosition{i, term}] = true
	}
}

// converged tells whether all that take part have the same versions.
func (w *ConsensusGroup) converged() bool {
	var want []byte
	for i, h := range w.members() {
		if h.replica == nil {
			return false
		}
		lines, first := h.replica.Versions()
		got := append([]byte(fmt.Sprint(first)), bytes.Join(lines, nil)...)
		if i > 0 && !bytes.Equal(got, want) {
			return false
		}
		want = got
	}
	return true
}

func (w *ConsensusGroup) members() []*host {
	var out []*host
	l := w.leader()
	if l == nil {
		return nil
	}
	for _, m := range l.replica.Members() {
		for _, h := range w.hosts {
			if h.id == m.ID && !h.gone {
				out = append(out, h)
			}
		}
	}
	return out
}

// discardLogger is raft's logger in a world.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(strings.TrimSpace(fmt.Sprintln(v...))) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any)            { panic(strings.TrimSpace(fmt.Sprintln(v...))) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

var _ raft.Logger = discardLogger{}

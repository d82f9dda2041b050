package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/semaphore"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/wal"
)

// Restoring a group whose state is lost. What is decided about it is comeback's; here an old folder is read as far as it
// is committed, nodes are listened to, and what was found is written as the first state of a new group.

// Old is what an old folder holds.
type Old struct {
	machine *Machine
	Name    string
}

// ErrEmpty says that a folder is nobody's.
var ErrEmpty = errors.New("the folder is empty")

// ReadOld reads a folder as far as its entries are known to be committed. No other instance is asked, so what was committed
// last may lack.
func ReadOld(fs wal.FS, plan Plan) (*Old, error) {
	log, _, err := wal.Open(fs, plan.Sizes)
	if err != nil {
		return nil, err
	}
	empty := log.Mark(markOwn) == nil
	if err = log.Close(); err != nil {
		return nil, err
	}
	if empty {
		return nil, ErrEmpty
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	plan.Logger = raftLog{quiet}
	r, err := Open(fs, plan)
	if err != nil {
		return nil, err
	}
	_, err = r.Work(func([]*pb.Message) {})
	if voters := r.conf.GetVoters(); err == nil && len(voters) == 1 && voters[0] == r.ID() {
		// Of a group of one all that is durable is committed: it takes a term of its own to say so.
		if err = r.node.Campaign(); err == nil {
			_, err = r.Work(func([]*pb.Message) {})
		}
	}
	_, last := r.Span()
	if err = errors.Join(err, r.Close()); err != nil {
		return nil, err
	}
	r.machine.tail = last - min(last, r.machine.applied)
	if r.machine.cluster == "" {
		return nil, ErrEmpty // it waited to be taken in
	}
	return &Old{r.machine, r.who.own.Name}, nil
}

// ReadSaved reads a saved snapshot, out of another folder or as `control snapshot save` wrote it.
func ReadSaved(raw []byte) (*Old, error) {
	if body, _, ok := wal.Unwrap(raw); ok {
		raw = body
	}
	_, state, err := readSnapshot(raw)
	if err != nil {
		return nil, err
	}
	m, err := loadMachine(state, 0)
	if err != nil {
		return nil, err
	}
	return &Old{m, ""}, nil
}

// Base gives it to comeback.Plan; nil has none.
func (o *Old) Base() *recovery.StoredGroup {
	if o == nil {
		return nil
	}
	return o.machine.base()
}

func (m *Machine) base() *recovery.StoredGroup {
	p := m.nodes
	b := &recovery.StoredGroup{GroupIdentity: recovery.GroupIdentity{Group: m.cluster, Generation: p.Generation, Predecessors: p.Predecessors}, LastVersion: m.last(),
		DecidedVersion: p.Policy.DecidedVersion, CommittedVersion: p.Policy.CommittedVersion, Index: p.Index, ZoneEpoch: p.Zones.Epoch, TextOf: m.Text,
		LeaseMS: p.Policy.ActiveRules().LeaseMS, Autonomous: p.Policy.ActiveRules().Autonomous, UncommittedEntries: m.tail}
	for _, n := range p.Fleet.Nodes() {
		if n.OutReason == "" {
			b.Nodes = append(b.Nodes, n.Name)
		}
	}
	return b
}

// Recover makes an empty folder the first instance of the next generation of a group, by what was found.
func Recover(fs wal.FS, plan Plan, old *Old, found *recovery.RestorePlan) (*Version, error) {
	if found.Conflict != "" {
		return nil, errors.New(found.Conflict)
	}
	m := newMachine("", 0)
	m.applied, m.term = 1, 1
	if old != nil {
		m = old.machine
	}
	return begun(fs, plan, m, found)
}

// restore makes the state that of the next generation.
func (m *Machine) restore(found *recovery.RestorePlan) error {
	if found.Version > 0 {
		if _, hash, ok := m.Text(found.Version); !ok || hash != found.Hash || found.Hash == "" {
			if err := m.place(found); err != nil {
				return err
			}
		}
	}
	if m.level >= LevelFleet || len(found.Records) > 0 || found.Version > 0 {
		m.level = LevelKnown // an older program does not know generations
	}
	return m.nodes.BeginGeneration(found, m)
}

// place makes what was found the newest version. Where its number does not follow, what is before it is kept no more.
func (m *Machine) place(found *recovery.RestorePlan) error {
	if found.Version != m.last()+1 {
		m.lines, m.bytes, m.first = nil, 0, found.Version
	}
	if found.Hash == "" { // nobody has a text: the number is the next put's
		m.current, m.hash = nil, ""
		return nil
	}
	d, err := document.ParseUnder(document.Rules, "what was found", []byte(found.Text))
	if err != nil {
		return err
	}
	v := Version{Number: found.Version, Parent: found.SourceVersion, Hash: found.Hash, Author: "recover", Reason: short(found.Proof),
		Index: m.applied, Term: m.term, Rules: document.Rules, Text: found.Text}
	line, err := json.Marshal(&v)
	if err != nil {
		return err
	}
	m.lines, m.bytes = append(m.lines, line), m.bytes+len(line)
	m.current, m.hash = d, found.Hash
	return nil
}

// Gathering listens, in place of an instance, to what nodes hold.
type Gathering struct {
	mu     sync.Mutex
	kept   map[string]recovery.NodeRecord
	asked  map[string]time.Time // nodes that came by, and when last
	texts  map[string]string    // by hash, so that a thousand nodes with one text hold it once
	bodies *semaphore.Weighted
	server *http.Server
	heard  func(k *recovery.NodeRecord, err error)
}

// maxTexts bounds the different texts that are held: two versions at most are at hand at a node.
const maxTexts = 64

// Gather opens an address that nodes ask. heard is told of each node that told what it holds, or what was wrong with it.
func Gather(listen string, heard func(k *recovery.NodeRecord, err error)) (*Gathering, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("%w: the instance that listens there has to be stopped first", err)
	}
	g := &Gathering{kept: map[string]recovery.NodeRecord{}, asked: map[string]time.Time{}, texts: map[string]string{},
		bodies: semaphore.NewWeighted(maxBodies), heard: heard}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/nodes", g.node)
	mux.HandleFunc("POST /v1/kept", g.take)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.fail(w, http.StatusServiceUnavailable, errors.New("the group is being restored"))
	})
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: headWithin, ReadTimeout: bodyWithin, MaxHeaderBytes: maxHead,
		IdleTimeout: time.Minute}
	go g.server.Serve(netutil.LimitListener(ln, maxClients))
	return g, nil
}

// Stop ends it and gives what was told.
func (g *Gathering) Stop(ctx context.Context) []recovery.NodeRecord {
	if g.server.Shutdown(ctx) != nil {
		g.server.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]recovery.NodeRecord, 0, len(g.kept))
	for _, k := range g.kept { // Plan puts them in order
		out = append(out, k)
	}
	return out
}

// Seen counts nodes that came by, and those that told what they hold.
func (g *Gathering) Seen() (asked, told int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.asked), len(g.kept)
}

func (g *Gathering) fail(w http.ResponseWriter, code int, err error) {
	raw, _ := json.Marshal(Failure{Error: err.Error()})
	g.whole(w, code, raw)
}

func (g *Gathering) whole(w http.ResponseWriter, code int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw))) // nodes read no chunks
	w.WriteHeader(code)
	w.Write(raw)
}

// node asks whoever comes by for what it holds, once.
func (g *Gathering) node(w http.ResponseWriter, r *http.Request) {
	var a api.HeartbeatRequest
	if err := readBody(w, r, &a); err != nil {
		g.fail(w, http.StatusBadRequest, err)
		return
	}
	g.mu.Lock()
	_, told := g.kept[a.Name]
	if len(g.asked) < recovery.MaxRecords {
		g.asked[a.Name] = time.Now()
	}
	g.mu.Unlock()
	if told {
		g.fail(w, http.StatusServiceUnavailable, errors.New("the group is being restored"))
		return
	}
	raw, err := json.Marshal(api.HeartbeatResponse{CollectRecord: true})
	if err != nil {
		g.fail(w, http.StatusInternalServerError, err)
		return
	}
	g.whole(w, http.StatusOK, raw)
}

// take takes what a node holds.
func (g *Gathering) take(w http.ResponseWriter, r *http.Request) {
	const most = 2*maxBody + maxAsk // two texts
	size := r.ContentLength
	if size < 0 || size > most {
		size = most
	}
	if !g.bodies.TryAcquire(size) {
		g.fail(w, http.StatusServiceUnavailable, ErrBusy)
		return
	}
	defer g.bodies.Release(size)
	var k recovery.NodeRecord
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(&k)
	if err == nil {
		err = k.Validate()
	}
	if err == nil {
		err = g.keep(&k)
	}
	g.heard(&k, err)
	if err != nil {
		g.fail(w, http.StatusBadRequest, err)
		return
	}
	g.whole(w, http.StatusOK, []byte("{}"))
}

func (g *Gathering) keep(k *recovery.NodeRecord) error {
	k.Generation = max(1, k.Generation)
	k.ActiveText, k.ActiveHash = g.one(k.ActiveText, k.ActiveHash)
	k.PreparedText, k.PreparedHash = g.one(k.PreparedText, k.PreparedHash)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, there := g.kept[k.Name]; !there && len(g.kept) >= recovery.MaxRecords {
		return fmt.Errorf("%d nodes, expected at most %d", len(g.kept)+1, recovery.MaxRecords)
	}
	g.kept[k.Name] = *k
	return nil
}

// one gives the text that is held for a hash, and none where the hash is another's.
func (g *Gathering) one(text, hash string) (string, string) {
	if text == "" || document.Hash([]byte(text)) != hash {
		return "", hash
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, there := g.texts[hash]; there {
		return held, hash
	}
	if len(g.texts) >= maxTexts {
		return "", hash
	}
	g.texts[hash] = text
	return text, hash
}

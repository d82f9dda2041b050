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

// StoredGroup is what an old folder holds.
type StoredGroup struct {
	machine *StateMachine
	Name    string
}

// ErrEmptyFolder says that a folder is nobody's.
var ErrEmptyFolder = errors.New("the folder is empty")

// ReadFolder reads a folder as far as its entries are known to be committed. No other instance is asked, so what was committed
// last may lack.
func ReadFolder(fs wal.FS, plan Config) (*StoredGroup, error) {
	log, _, err := wal.Open(fs, plan.Sizes)
	if err != nil {
		return nil, err
	}
	empty := log.Mark(markIdentity) == nil
	if err = log.Close(); err != nil {
		return nil, err
	}
	if empty {
		return nil, ErrEmptyFolder
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	plan.Logger = raftLog{quiet}
	r, err := Open(fs, plan)
	if err != nil {
		return nil, err
	}
	_, err = r.Work(func([]*pb.Message) {})
	if voters := r.voterConfig.GetVoters(); err == nil && len(voters) == 1 && voters[0] == r.ID() {
		// Of a group of one all that is durable is committed: it takes a term of its own to say so.
		if err = r.node.Campaign(); err == nil {
			_, err = r.Work(func([]*pb.Message) {})
		}
	}
	_, last := r.LogBounds()
	if err = errors.Join(err, r.Close()); err != nil {
		return nil, err
	}
	r.stateMachine.uncommittedEntries = last - min(last, r.stateMachine.applied)
	if r.stateMachine.cluster == "" {
		return nil, ErrEmptyFolder // it waited to be taken in
	}
	return &StoredGroup{r.stateMachine, r.peers.self.Name}, nil
}

// ReadSnapshot reads a saved snapshot, out of another folder or as `control snapshot save` wrote it.
func ReadSnapshot(raw []byte) (*StoredGroup, error) {
	if body, _, ok := wal.Unwrap(raw); ok {
		raw = body
	}
	_, state, err := readSnapshot(raw)
	if err != nil {
		return nil, err
	}
	m, err := restoreStateMachine(state, 0)
	if err != nil {
		return nil, err
	}
	return &StoredGroup{m, ""}, nil
}

// Evidence gives it to comeback.Config; nil has none.
func (o *StoredGroup) Evidence() *recovery.StoredGroup {
	if o == nil {
		return nil
	}
	return o.machine.storedGroup()
}

func (m *StateMachine) storedGroup() *recovery.StoredGroup {
	p := m.fleet
	b := &recovery.StoredGroup{GroupIdentity: recovery.GroupIdentity{Group: m.cluster, Generation: p.Generation, Predecessors: p.Predecessors}, LastVersion: m.lastVersion(),
		DecidedVersion: p.Policy.DecidedVersion, CommittedVersion: p.Policy.CommittedVersion, Index: p.Index, ZoneEpoch: p.Zones.Epoch, TextOf: m.Text,
		LeaseMS: p.Policy.ActiveRules().LeaseMS, Autonomous: p.Policy.ActiveRules().Autonomous, UncommittedEntries: m.uncommittedEntries}
	for _, n := range p.Fleet.Nodes() {
		if n.OutReason == "" {
			b.Nodes = append(b.Nodes, n.Name)
		}
	}
	return b
}

// Recover makes an empty folder the first instance of the next generation of a group, by what was found.
func Recover(fs wal.FS, plan Config, old *StoredGroup, found *recovery.RestorePlan) (*Version, error) {
	if found.Conflict != "" {
		return nil, errors.New(found.Conflict)
	}
	m := newStateMachine("", 0)
	m.applied, m.term = 1, 1
	if old != nil {
		m = old.machine
	}
	return foundRestored(fs, plan, m, found)
}

// restore makes the state that of the next generation.
func (m *StateMachine) restore(found *recovery.RestorePlan) error {
	if found.Version > 0 {
		if _, hash, ok := m.Text(found.Version); !ok || hash != found.Hash || found.Hash == "" {
			if err := m.placeRestoredVersion(found); err != nil {
				return err
			}
		}
	}
	if m.level >= LevelFleet || len(found.Records) > 0 || found.Version > 0 {
		m.level = LatestLevel // an older program does not know generations
	}
	return m.fleet.BeginGeneration(found, m)
}

// place makes what was found the newest version. Where its number does not follow, what is before it is kept no more.
func (m *StateMachine) placeRestoredVersion(found *recovery.RestorePlan) error {
	if found.Version != m.lastVersion()+1 {
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
	v := Version{Number: found.Version, Parent: found.SourceVersion, Hash: found.Hash, Author: "recover", Reason: truncateReason(found.Proof),
		Index: m.applied, Term: m.term, Rules: document.Rules, Text: found.Text}
	line, err := json.Marshal(&v)
	if err != nil {
		return err
	}
	m.lines, m.bytes = append(m.lines, line), m.bytes+len(line)
	m.current, m.hash = d, found.Hash
	return nil
}

// Collector listens, in place of an instance, to what nodes hold.
type Collector struct {
	mu       sync.Mutex
	records  map[string]recovery.NodeRecord
	contacts map[string]time.Time // nodes that came by, and when last
	texts    map[string]string    // by hash, so that a thousand nodes with one text hold it once
	bodies   *semaphore.Weighted
	server   *http.Server
	onRecord func(k *recovery.NodeRecord, err error)
}

// maxGatheredTexts bounds the different texts that are held: two versions at most are at hand at a node.
const maxGatheredTexts = 64

// StartCollector opens an address that nodes ask. heard is told of each node that told what it holds, or what was wrong with it.
func StartCollector(listen string, heard func(k *recovery.NodeRecord, err error)) (*Collector, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("%w: the instance that listens there has to be stopped first", err)
	}
	g := &Collector{records: map[string]recovery.NodeRecord{}, contacts: map[string]time.Time{}, texts: map[string]string{},
		bodies: semaphore.NewWeighted(maxBodiesBytes), onRecord: heard}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/nodes", g.postHeartbeat)
	mux.HandleFunc("POST /v1/kept", g.postRecord)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.fail(w, http.StatusServiceUnavailable, errors.New("the group is being restored"))
	})
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout: time.Minute}
	go g.server.Serve(netutil.LimitListener(ln, maxClients))
	return g, nil
}

// Stop ends it and gives what was told.
func (g *Collector) Stop(ctx context.Context) []recovery.NodeRecord {
	if g.server.Shutdown(ctx) != nil {
		g.server.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]recovery.NodeRecord, 0, len(g.records))
	for _, k := range g.records { // Config puts them in order
		out = append(out, k)
	}
	return out
}

// Counts returns how many nodes made contact, and how many of them sent their record.
func (g *Collector) Counts() (asked, told int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.contacts), len(g.records)
}

func (g *Collector) fail(w http.ResponseWriter, code int, err error) {
	raw, _ := json.Marshal(Failure{Error: err.Error()})
	g.whole(w, code, raw)
}

func (g *Collector) whole(w http.ResponseWriter, code int, raw []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw))) // nodes read no chunks
	w.WriteHeader(code)
	w.Write(raw)
}

// node asks whoever comes by for what it holds, once.
func (g *Collector) postHeartbeat(w http.ResponseWriter, r *http.Request) {
	var a api.HeartbeatRequest
	if err := readBody(w, r, &a); err != nil {
		g.fail(w, http.StatusBadRequest, err)
		return
	}
	g.mu.Lock()
	_, told := g.records[a.Name]
	if len(g.contacts) < recovery.MaxRecords {
		g.contacts[a.Name] = time.Now()
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
func (g *Collector) postRecord(w http.ResponseWriter, r *http.Request) {
	const most = 2*maxBodyBytes + maxNodeBodyBytes // two texts
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
		err = g.store(&k)
	}
	g.onRecord(&k, err)
	if err != nil {
		g.fail(w, http.StatusBadRequest, err)
		return
	}
	g.whole(w, http.StatusOK, []byte("{}"))
}

func (g *Collector) store(k *recovery.NodeRecord) error {
	k.Generation = max(1, k.Generation)
	k.ActiveText, k.ActiveHash = g.sharedText(k.ActiveText, k.ActiveHash)
	k.PreparedText, k.PreparedHash = g.sharedText(k.PreparedText, k.PreparedHash)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, there := g.records[k.Name]; !there && len(g.records) >= recovery.MaxRecords {
		return fmt.Errorf("%d nodes, expected at most %d", len(g.records)+1, recovery.MaxRecords)
	}
	g.records[k.Name] = *k
	return nil
}

// one gives the text that is held for a hash, and none where the hash is another's.
func (g *Collector) sharedText(text, hash string) (string, string) {
	if text == "" || document.Hash([]byte(text)) != hash {
		return "", hash
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, there := g.texts[hash]; there {
		return held, hash
	}
	if len(g.texts) >= maxGatheredTexts {
		return "", hash
	}
	g.texts[hash] = text
	return text, hash
}

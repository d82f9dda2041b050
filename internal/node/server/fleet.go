// Fleet: this node as one of many that serve under one policy. The decisions are internal/node/agent's; this file feeds it
// the time, carries its askings to the agent and what came of them back, tries versions off the loop, and takes one over
// between two rounds. While the member says no, what comes is shed before the module hears of it, what is held is shed,
// and what runs ends. Without [fleet] in the operator's file none of it exists. The loop never waits here.

package server

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"

	"golang.org/x/sys/unix"

	"umberwinch/admission"
	"umberwinch/internal/config"
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/shadow"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/node/zonegate"
)

type fleetJob uint8

const (
	jobAsk fleetJob = iota
	jobFetch
	jobTry
	jobKeep
	jobLook
	jobGive
)

// fleetPart is the node's part in a fleet.
type fleetPart struct {
	m         *agent.Agent
	own       *config.Fleet
	ask       *controlClient
	fetch     *controlClient
	rec       *shadow.Recording
	kept      agent.Record
	base      *admission.Deployment        // the platform's
	plans     map[uint64]*overlay.Settings // of versions at hand, two or three
	texts     map[uint64]string
	getting   api.VersionHash // being fetched, tried or kept; 0: none
	decided   bool
	patience  time.Duration // of a fetch; doubled by each that had no end
	again     uint64        // a fetch that failed is tried again then
	keeps     bool          // the record is being written
	owes      bool          // and has to be written again
	keepAgain uint64        // but not before then, as the last write failed
	fenced    bool
	retired   []bool
	armed     uint64 // a deadline is set for then
	alone     bool
	spread    recovery.RetryAfterSpreader
	gate      *zonegate.Gate
	meter     *zonegate.Meter
	look      *controlClient
	looks     []api.ProbeTarget // still to be looked at
	seen      []api.PeerHealth  // and what was seen, for the next asking
	looking   bool
	gives     bool // what the node holds is on its way to whoever restores the group
}

// tried is a version after check and trial.
type tried struct {
	v    api.VersionHash
	text string
	plan *overlay.Settings
	took time.Duration
	reqs int
}

// A text of a few KB takes some ms; one of the largest size over a poor line may take the most.
const fetchLeast, fetchMost = 2 * time.Second, 20 * time.Second

// steadyMS is ms of a clock that nobody sets and that goes on while the process is stopped or the machine sleeps.
func steadyMS() uint64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return uint64(t.Sec)*1000 + uint64(t.Nsec)/1e6
}

// joinFleet readies the part, if the operator's file has one.
func (l *loop) joinFleet() error {
	if l.startup.own == nil || l.startup.own.Fleet == nil {
		return nil
	}
	o := l.startup.own.Fleet
	f := &fleetPart{own: o, base: l.settings.Deployment, plans: map[uint64]*overlay.Settings{}, texts: map[uint64]string{},
		rec: shadow.NewRecording(len(l.settings.Deployment.Handlers)), retired: make([]bool, len(l.settings.Deployment.Handlers)),
		meter: zonegate.NewMeter(steadyMS(), l.values())}
	var nonce [12]byte
	rand.Read(nonce[:]) // never fails
	plan := agent.Config{Name: o.Name, Zone: o.Zone, Address: l.startup.Listen, ControlAddresses: o.Control,
		Nonce: hex.EncodeToString(nonce[:]), JitterSeed: crc32.ChecksumIEEE(append(nonce[:], o.Name...))}
	if o.At != "" {
		plan.Address = o.At
	}
	if plan.Name == "" {
		plan.Name = l.startup.Name
	}
	f.gate = zonegate.NewGate(len(l.settings.Deployment.Handlers), plan.JitterSeed)
	if !config.IsName(plan.Name) {
		return fmt.Errorf("fleet.name: found %.50q, expected up to 40 letters, digits, '-', '_' and '.'", plan.Name)
	}
	for _, name := range o.Without {
		g, err := policy.GuardNamed(name)
		if err != nil {
			return err
		}
		plan.DisabledGuards |= g
	}
	var kept *agent.Record
	if o.Folder != "" {
		if err := removeUnfinished(o.Folder); err != nil { // the folder serves without it
			l.log.Warnf("fleet: what a kill left in the folder stays: %v", err)
		}
		there, err := readRecord(o.Folder, &f.kept)
		if err != nil {
			return err
		}
		if there {
			kept = &f.kept
		}
	}
	f.m = agent.New(plan, kept, steadyMS())
	for _, at := range []struct {
		v    api.VersionHash
		text string
	}{{api.VersionHash{Version: f.kept.ActiveVersion, Hash: f.kept.ActiveHash}, f.kept.ActiveText},
		{api.VersionHash{Version: f.kept.PreparedVersion, Hash: f.kept.PreparedHash}, f.kept.PreparedText}} {
		if at.v.Version == 0 || at.text == "" {
			continue
		}
		p, err := l.checkVersion(at.v, at.text)
		if err != nil { // the platform's settings are others now
			l.log.Warnf("policy version %d of the folder can't be used: %v", at.v.Version, err)
			f.m.DropPrepared(at.v.Version)
			continue
		}
		f.plans[at.v.Version], f.texts[at.v.Version] = p, at.text
	}
	f.patience = fetchLeast
	end := func(e jobEnd) { l.post(fleetJobDone{&e}) }
	f.ask, f.fetch, f.look = newAgent(end), newAgent(end), newAgent(end)
	l.fleet = f
	f.gate.SetOrder(steadyMS(), f.m.ZoneOrder())
	f.fenced = true
	l.ready, l.discovery.ready = false, false // until it may serve
	l.log.Infof("fleet: node %s of zone %s, control at %v", plan.Name, plan.Zone, o.Control)
	return nil
}

// checkVersion reads a text and checks it against the platform's settings.
func (l *loop) checkVersion(v api.VersionHash, text string) (*overlay.Settings, error) {
	sum := sha256.Sum256([]byte(text))
	if hex.EncodeToString(sum[:]) != v.Hash {
		return nil, fmt.Errorf("version %d: found a text of another hash than was told", v.Version)
	}
	doc, err := document.Parse(fmt.Sprintf("version %d", v.Version), []byte(text))
	if err != nil {
		return nil, err
	}
	return overlay.Apply(v.Version, l.settings, doc, l.pools != nil || len(l.startup.own.Pools) > 0)
}

// steer lets the member look at the time and at what came: it is called at the begin of each round and before its
// decisions, so that nothing is decided on a lease that has run out.
func (l *loop) steer() {
	f := l.fleet
	if f == nil {
		return
	}
	now := steadyMS()
	if v, ok := f.m.VersionToActivate(now); ok {
		l.takeOver(now, v)
	}
	ok, why := f.m.MayServe(now)
	if l.draining {
		f.m.Leave(now)
	}
	switch {
	case !ok && !f.fenced:
		l.fence(why)
	case ok && f.fenced:
		f.fenced = false
		l.log.Infof("fleet: serves under version %d", f.m.ActiveVersion())
		l.Health(l.moduleReady)
	}
	if f.alone && f.gate.ContinueAutonomously(now, f.meter.Healthy(now, l.running())) {
		l.log.Warnf("fleet: alone for long, takes %d of %d of what comes by its own rule", f.gate.Share(), api.FullShare)
		l.Health(l.moduleReady)
	}
	if alone := ok && f.m.Autonomous(now); alone != f.alone {
		if f.alone = alone; alone {
			l.log.Warnf("fleet: goes on alone under version %d, without the group", f.m.ActiveVersion())
			if p := f.plans[f.m.ActiveVersion()]; p != nil && !f.m.GroupContacted() && p.Document.Zones.Small && api.ZoneMode(p.Document.Zones.Decide) == api.ZoneModeAuto {
				f.gate.BeginSlowStart(now, int(p.Document.Zones.First*api.FullShare+0.5), uint64(p.Document.Zones.Hold.Milliseconds()))
				l.log.Infof("fleet: begins with %d of %d of what comes", f.gate.Share(), api.FullShare)
			}
		}
	}
	l.keepOwed(now)
	if a, no, due := f.m.Heartbeat(now); due {
		if f.m.ZoneOrder() != nil {
			a.Load = f.meter.Report(now, l.kernel.state == kernelLive, float64(l.settings.Deployment.Cores), l.running())
			a.Peers, f.seen = f.seen, nil
		}
		body, err := json.Marshal(&a)
		if err == nil {
			f.ask.jobs <- &job{what: jobAsk, addr: f.m.ControlAddress(), method: "POST", path: "/v1/nodes", body: body,
				about: no, within: time.Duration(f.m.HeartbeatTimeout()) * time.Millisecond} // the member has one out at a time: there is room
		}
	}
	if v, decided, ok := f.m.VersionToFetch(); ok && f.getting.Version == 0 && now >= f.again {
		f.getting, f.decided = v, decided
		f.fetch.jobs <- &job{what: jobFetch, addr: f.m.ControlAddress(), method: "GET", about: v,
			path: fmt.Sprintf("/v1/config?version=%d&read=stale", v.Version), within: f.patience}
	}
	at := f.m.NextHeartbeat()
	if until := f.m.LeaseExpiry(); until > now {
		at = min(at, until)
	}
	if f.again > now {
		at = min(at, f.again)
	}
	if f.owes && f.keepAgain > now {
		at = min(at, f.keepAgain)
	}
	if at = min(max(at, now+1), now+1000); f.armed <= now || at < f.armed {
		f.armed = at
		l.timers.set(l.now+admission.Time(at-now)*10, timerFleet, 0)
	}
}

// fence stops taking reqs: what is held and never ran is shed at once, and the module hears that it is gone.
func (l *loop) fence(why string) {
	f := l.fleet
	f.fenced = true
	l.counters.Fenced++
	l.log.Warnf("fleet: fenced: %s", why)
	l.Health(l.moduleReady)
	l.shedHeld()
}

// running counts the runs under way.
func (l *loop) running() (n int) {
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		if l.requests.get(h).run == runRunning {
			n++
		}
	}
	return n
}

// values gives what a req of each handler is worth.
func (l *loop) values() []float64 {
	out := make([]float64, len(l.settings.Deployment.Handlers))
	for i, h := range l.settings.Deployment.Handlers {
		out[i] = h.Value
	}
	return out
}

// ordered takes the order of the node's zone. Told to take nothing, it sheds what is held, and its health says so.
func (l *loop) ordered(now uint64, o *api.ZoneOrder) {
	f := l.fleet
	was := f.gate.Evacuated()
	if !f.gate.SetOrder(now, o) {
		return
	}
	l.log.Infof("fleet: zones epoch %d: takes %d of %d", f.gate.Epoch(), f.gate.Share(), api.FullShare)
	if out := f.gate.Evacuated(); out != was {
		l.Health(l.moduleReady)
		if out {
			l.shedHeld()
		}
	}
}

// mayDial tells whether a connection to the store may be opened now.
func (l *loop) mayDial() bool {
	if l.fleet == nil || l.fleet.gate.AdmitConnection(steadyMS()) {
		return true
	}
	l.deferredDials++
	return false
}

// shedHeld sheds what is held and never ran, at once and with a time to come back.
func (l *loop) shedHeld() {
	f := l.fleet
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		r := l.requests.get(h)
		if r.answered || r.abandoned || r.run != runNotStarted || r.paused || r.kept != nil && r.kept.stand == keptReads {
			continue
		}
		if e := l.idempotency.find(r.key); r.awaitsShared && e != nil && e.state == entryRunning {
			continue // the run whose result it takes goes on
		}
		r.awaitsShared = false
		l.nextRound().Disconnected = append(l.nextRound().Disconnected, uint32(h))
		l.answer(h, r, wire.Response{Status: 503, RetryAfterMS: l.comeBack(&f.spread, 0)})
	}
}

// comeBack is a time to come back within the bound of the settings, in ms.
func (l *loop) comeBack(s *recovery.RetryAfterSpreader, after uint64) int64 {
	return s.Next(int64(l.settings.MaxRetryAfter)/10, int64(min(after, 1e9)))
}

// takeOver has the module go on under another version. It is between two rounds here.
func (l *loop) takeOver(now uint64, v api.VersionHash) {
	f := l.fleet
	p := f.plans[v.Version]
	if p == nil {
		f.m.DropPrepared(v.Version) // it was dropped: it is fetched again
		return
	}
	d := *p.Deployment
	d.Pools, d.Start = l.settings.Deployment.Pools, l.settings.Deployment.Start
	d.ColdStart = l.settings.Deployment.ColdStart
	l.settings.Deployment = &d
	if l.controller != nil {
		l.controller.Adopt(&d)
	}
	if l.pools != nil && p.PoolClasses != nil {
		plan := l.startup.poolPlan()
		copy(plan.Classes, p.PoolClasses)
		l.pools.Reconfigure(plan)
	}
	f.retired = p.RetiredHandlers
	f.meter.SetValues(l.values())
	f.m.MarkActive(now, v, p.Document.Fleet.Alone)
	l.counters.Versions++
	l.log.Infof("fleet: version %d taken over", v.Version)
	for n := range f.plans { // each is judged alone
		if n < v.Version {
			delete(f.plans, n)
			delete(f.texts, n)
		}
	}
	l.keepFleet()
}

// keepFleet has the record written, if there is a folder.
func (l *loop) keepFleet() {
	f := l.fleet
	if f.own.Folder == "" {
		return
	}
	if f.keeps {
		f.owes = true
		return
	}
	l.noteFleet()
	if f.kept.PreparedVersion <= f.kept.ActiveVersion {
		f.kept.PreparedVersion, f.kept.PreparedText, f.kept.PreparedHash = 0, "", ""
	}
	f.keeps, f.owes = true, false
	r, folder := f.kept, f.own.Folder
	go func() {
		err := keepRecord(folder, &r)
		l.post(fleetJobDone{&jobEnd{job: &job{what: jobKeep, about: r}, err: err}})
	}()
}

// noteFleet brings the record up to what the member knows.
func (l *loop) noteFleet() {
	f := l.fleet
	told := f.m.LastSeen()
	f.kept.Cluster, f.kept.MinVersion, f.kept.ZoneOrder = f.m.Cluster(), f.m.MinVersion(), f.m.StoredZoneOrder()
	f.kept.Generation, f.kept.Term, f.kept.Index, f.kept.EntryChecksum = told.Generation, told.Term, told.Index, told.EntryChecksum
	if n := f.m.ActiveVersion(); n != f.kept.ActiveVersion {
		if p := f.plans[n]; p != nil {
			f.kept.ActiveVersion, f.kept.ActiveText, f.kept.ActiveAutonomous = n, f.texts[n], p.Document.Fleet.Alone
			f.kept.ActiveHash = document.Hash([]byte(f.texts[n]))
		}
	}
}

// giveWithin is for a record of the largest size over a poor line.
const giveWithin = 20 * time.Second

// give tells whoever restores the group what this node holds, off the loop.
func (l *loop) give() {
	f := l.fleet
	if f.gives {
		return
	}
	f.gives = true
	l.noteFleet()
	r, name, zone, addr := f.kept, f.m.Config().Name, f.m.Config().Zone, f.m.Config().Address
	at := f.m.LastContacted()
	k := recovery.NodeRecord{Name: name, Zone: zone, Addr: addr, Group: r.Cluster, Generation: max(1, r.Generation), Term: r.Term, Index: r.Index,
		ActiveVersion: r.ActiveVersion, ActiveHash: r.ActiveHash, ActiveText: r.ActiveText, MinVersion: r.MinVersion, Autonomous: r.ActiveAutonomous, LeaseMS: f.m.LeaseDuration()}
	if r.PreparedVersion > r.ActiveVersion {
		k.PreparedVersion, k.PreparedHash, k.PreparedText = r.PreparedVersion, r.PreparedHash, r.PreparedText
	}
	for n, p := range f.plans { // at hand beside the one served under: one at most
		if n > r.ActiveVersion && k.PreparedVersion == 0 && p != nil {
			k.PreparedVersion, k.PreparedText, k.PreparedHash = n, f.texts[n], document.Hash([]byte(f.texts[n]))
		}
	}
	if z := r.ZoneOrder; z != nil {
		k.ZoneEpoch, k.ZoneShare = z.Epoch, z.Share
	}
	go func() {
		e := jobEnd{job: &job{what: jobGive, addr: at, method: "POST", path: "/v1/kept", within: giveWithin}}
		if e.body, e.err = json.Marshal(&k); e.err == nil {
			a := &controlClient{}
			e.status, _, e.err = a.do(e.job)
			a.close()
		}
		e.body = nil
		l.post(fleetJobDone{&e})
	}()
}

// fleetNews takes what came of a job.
func (l *loop) fleetNews(e *jobEnd) {
	f := l.fleet
	now := steadyMS()
	switch e.what {
	case jobAsk:
		var t api.HeartbeatResponse
		err := e.err
		if err == nil && e.status != 200 {
			err = fmt.Errorf("%d: %.200s", e.status, e.answer)
		}
		if err == nil {
			err = json.Unmarshal(e.answer, &t)
		}
		if err != nil {
			l.counters.FleetLost++
			l.logf("fleet: control at %s: %v", e.addr, err)
			f.m.HandleFailure(now, e.about.(uint64))
			return
		}
		floor, gen := f.m.MinVersion(), f.m.LastSeen().Generation
		if err = f.m.HandleResponse(now, e.about.(uint64), t); err != nil {
			l.counters.FleetLost++
			l.log.Warnf("fleet: control at %s is not believed: %v", e.addr, err)
			return
		}
		if f.m.TakeRecordRequest() {
			l.logf("fleet: the group is being restored at %s: tells what this node holds", e.addr)
			l.give()
			return
		}
		if g := f.m.LastSeen().Generation; g != gen && gen != 0 {
			l.log.Warnf("fleet: generation %d of the group, as it was restored", g)
			l.keepFleet()
		}
		if t.EndedReason != "" {
			l.logf("fleet: begins anew: %s", t.EndedReason)
		}
		epoch := f.gate.Epoch()
		l.ordered(now, f.m.ZoneOrder()) // what the member took of it: an answer that came too late counts for nothing
		if f.m.MinVersion() > floor || f.gate.Epoch() != epoch {
			l.keepFleet()
		}
		if !f.looking {
			f.looks = t.ProbeTargets
			l.lookOn()
		}
	case jobLook:
		s := api.PeerHealth{Name: e.about.(string), Health: api.PeerSilent}
		switch {
		case e.err == nil && e.status == 200:
			s.Health = api.PeerServing
		case e.err == nil:
			s.Health = api.PeerShedding
		}
		if f.looking = false; len(f.seen) < api.MaxPeers {
			f.seen = append(f.seen, s)
		}
		l.lookOn()
	case jobGive:
		if f.gives = false; e.err != nil || e.status != 200 {
			l.logf("fleet: what this node holds did not reach %s: %d, %v", e.addr, e.status, e.err)
		}
	case jobFetch:
		l.fetched(now, e)
	case jobTry:
		l.wasTried(now, e)
	case jobKeep:
		f.keeps = false
		if e.err != nil {
			l.log.Errorf("fleet: the record could not be kept: %v", e.err)
			f.owes, f.keepAgain = true, now+keepPause
		} else if r := e.about.(agent.Record); r.PreparedVersion != 0 && r.PreparedVersion == f.getting.Version && r.PreparedVersion > f.m.ActiveVersion() {
			f.m.MarkPrepared(now, f.getting)
			f.getting = api.VersionHash{}
		}
		l.keepOwed(now)
	}
}

// keepPause is how long after a write of the record that failed the next one is made, in ms.
const keepPause = 1000

// keepOwed writes the record again that could not be written, or that changed meanwhile.
func (l *loop) keepOwed(now uint64) {
	if f := l.fleet; f.owes && !f.keeps && now >= f.keepAgain {
		l.keepFleet()
	}
}

// lookWithin is for the health of another node: far more than one that is there takes.
const lookWithin = 400 * time.Millisecond

// lookOn asks the next of the nodes that the group wants looked at.
func (l *loop) lookOn() {
	f := l.fleet
	if f.looking || len(f.looks) == 0 {
		return
	}
	at := f.looks[0]
	f.looks, f.looking = f.looks[1:], true
	f.look.jobs <- &job{what: jobLook, addr: at.Addr, method: "GET", path: "/health", about: at.Name, within: lookWithin}
}

// fetched takes a version's text and has it checked and tried, off the loop.
func (l *loop) fetched(now uint64, e *jobEnd) {
	f := l.fleet
	v := e.about.(api.VersionHash)
	var answer struct {
		Version uint64 `json:"version"`
		Text    string `json:"text"`
	}
	err := e.err
	if err == nil && e.status != 200 {
		err = fmt.Errorf("%d: %.200s", e.status, e.answer)
	}
	if err == nil {
		if err = json.Unmarshal(e.answer, &answer); err == nil && answer.Version != v.Version {
			err = fmt.Errorf("found version %d", answer.Version)
		}
	}
	var plan *overlay.Settings
	if err == nil {
		if plan, err = l.checkVersion(v, answer.Text); err != nil {
			l.log.Warnf("fleet: version %d can't be served under: %v", v.Version, err)
			f.m.Reject(now, v.Version, err.Error(), true)
			f.getting = api.VersionHash{}
			return
		}
	}
	if err != nil {
		l.logf("fleet: version %d from %s: %v", v.Version, e.addr, err)
		f.getting, f.again = api.VersionHash{}, now+250
		f.patience = min(2*f.patience, fetchMost)
		return
	}
	f.patience = fetchLeast
	t := tried{v: v, text: answer.Text, plan: plan}
	done := func(why error) {
		l.post(fleetJobDone{&jobEnd{job: &job{what: jobTry, about: t}, err: why}})
	}
	if f.decided || f.own.NoTrial {
		go done(nil)
		return
	}
	base, rec, bounds := *l.settings.Deployment, f.rec.Snapshot(), shadow.Limits{MaxShed: plan.Document.Rollout.MaxShed,
		MaxLate: plan.Document.Rollout.MaxLate}
	go func() {
		started := time.Now()
		verdict := shadow.Evaluate(&base, plan.Deployment, plan.RetiredHandlers, rec, bounds)
		t.took, t.reqs = time.Since(started), verdict.Requests
		if verdict.Reason != "" {
			done(fmt.Errorf("%s", verdict.Reason))
			return
		}
		done(nil)
	}()
}

// wasTried takes a trial's end: what passed is kept, and then reported.
func (l *loop) wasTried(now uint64, e *jobEnd) {
	f := l.fleet
	t := e.about.(tried)
	if e.err != nil {
		l.log.Warnf("fleet: version %d failed its trial: %v", t.v.Version, e.err)
		f.m.Reject(now, t.v.Version, e.err.Error(), false)
		f.getting = api.VersionHash{}
		return
	}
	l.log.Infof("fleet: version %d passed its trial over %d reqs in %v", t.v.Version, t.reqs, t.took.Round(time.Microsecond))
	f.plans[t.v.Version], f.texts[t.v.Version] = t.plan, t.text
	if f.own.Folder == "" {
		f.m.MarkPrepared(now, t.v)
		f.getting = api.VersionHash{}
		return
	}
	f.kept.PreparedVersion, f.kept.PreparedText, f.kept.PreparedHash = t.v.Version, t.text, t.v.Hash
	f.kept.PreparedAutonomous = t.plan.Document.Fleet.Alone
	l.keepFleet()
}

// refuses turns a handler's req away before the module hears of it, with a status other than 0 and what goes with it.
func (l *loop) refuses(handler int, q *wire.Request, key string, a *wire.Response) int {
	f := l.fleet
	now := steadyMS()
	switch {
	case f.fenced:
		l.counters.FenceShed++
		a.RetryAfterMS = l.comeBack(&f.spread, 0)
		return 503
	case f.retired[handler]:
		a.NoRetry = true
		return 503
	}
	var once []byte
	if l.settings.Deployment.Handlers[handler].RetrySafety == admission.IdempotencyKeyed {
		once = q.IdempotencyKey
	}
	asked := zonegate.Request{Handler: handler, Value: l.settings.Deployment.Handlers[handler].Value,
		Hash: zonegate.RequestHash(once, q.Tenant, q.Caller), IsRetry: q.IsRetry, SeenBefore: key != "" && l.idempotency.find(key) != nil}
	decision := f.gate.Admit(now, asked)
	if !decision.Admitted {
		l.counters.Turned++
		f.meter.RequestRejected(now, handler, q.IsRetry)
		a.NoRetry, a.RetryAfterMS = decision.Final, l.comeBack(&f.spread, f.gate.RetryAfter(now, asked))
		return 503
	}
	return 0
}

package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"umberwinch/internal/control/consensus"
)

// client makes one call at a time, as a program would: it retries a put under its sequence number at another
// instance until it has a response.
type client struct {
	name         string
	seq          uint64
	knownVersion uint64 // the newest version it knows
	pending      *pendingCall
	stopped      bool
}

// pendingCall is one call of a client, with all its attempts.
type pendingCall struct {
	client       *client
	put          *consensus.Put // nil for a read
	attempt      int
	historyIndex int // place in the history
}

// registerInput is what a call does to the register: a put names the version that it is based on.
type registerInput struct {
	put  bool
	base uint64
}

func (w *ConsensusGroup) addClient() {
	c := &client{name: fmt.Sprint("c", len(w.clients))}
	w.clients = append(w.clients, c)
	w.after(int64(w.random.Intn(100)), func() { w.startCall(c) })
}

// startCall has a client begin its next put or read.
func (w *ConsensusGroup) startCall(c *client) {
	if c.stopped || c.pending != nil {
		return
	}
	k := &pendingCall{client: c, historyIndex: len(w.history)}
	in := registerInput{}
	if w.random.Intn(5) < 3 {
		c.seq++
		in = registerInput{true, c.knownVersion}
		k.put = &consensus.Put{Session: c.name, Seq: c.seq, Base: c.knownVersion, Author: c.name, At: w.random.Int63n(1 << 40),
			Text: fmt.Sprintf("[tenant %s]\nrate = %d\n", c.name, c.seq)}
	}
	w.history = append(w.history, porcupine.Operation{ClientId: len(w.clients), Input: in, Call: w.Now*1000 + 500,
		Return: math.MaxInt64})
	c.pending = k
	w.sendCall(k)
}

// sendCall sends a call to some host, and to another when no response has come in time.
func (w *ConsensusGroup) sendCall(k *pendingCall) {
	k.attempt++
	try, h := k.attempt, w.hosts[w.random.Intn(len(w.hosts))]
	w.after(1+int64(w.random.Intn(10)), func() { w.deliverCall(k, try, h) })
	w.after(400+int64(w.random.Intn(800)), func() {
		if k.client.pending == k && k.attempt == try {
			w.sendCall(k)
		}
	})
}

// deliverCall hands a call to a host's instance, unless the client has a response or has sent the call elsewhere.
func (w *ConsensusGroup) deliverCall(k *pendingCall, try int, h *host) {
	if h.replica == nil || h.stalledUntil > w.Now || k.client.pending != k || k.attempt != try {
		return
	}
	w.atHost(h, func() error {
		if k.put != nil {
			p := *k.put
			h.puts[p.Session] = k
			h.replica.Propose(&p) // dropped without a leader: the client asks again
			return nil
		}
		w.lastCallID++
		h.reads[w.lastCallID] = k
		h.replica.Read(w.lastCallID)
		return nil
	})
	w.processReady(h)
}

// respond sends a response to a client, unless it is lost on the way.
func (w *ConsensusGroup) respond(k *pendingCall, a consensus.PutResult) {
	if w.random.Intn(100) < 15 {
		return
	}
	w.after(1+int64(w.random.Intn(10)), func() {
		if k.client.pending != k {
			return
		}
		k.client.pending = nil
		w.history[k.historyIndex].Return = w.Now * 1000
		w.history[k.historyIndex].Output = a
		k.client.knownVersion = max(k.client.knownVersion, a.Version)
		if a.Outcome == consensus.PutExpired || a.Outcome == consensus.PutInvalid {
			w.fail("client %s got %+v for put %d", k.client.name, a, k.put.Seq)
		}
		w.after(int64(w.random.Intn(150)), func() { w.startCall(k.client) })
	})
}

// register is the model that the history is checked against: the newest version's number, which reads give, and
// which a put that is based on it raises by one.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in := state.(uint64), input.(registerInput)
		a, answered := output.(consensus.PutResult)
		switch {
		case !in.put:
			return !answered || a.Version == now, now
		case !answered:
			if in.base == now {
				return true, now + 1
			}
			return true, now
		case a.Outcome == consensus.PutCommitted:
			return in.base == now && a.Version == now+1, now + 1
		case a.Outcome == consensus.PutConflict:
			return in.base != now && a.Version == now, now
		}
		return false, now
	},
}

// checkLinearizable checks the clients' history.
func (w *ConsensusGroup) checkLinearizable() {
	if w.Broken != "" {
		return
	}
	switch porcupine.CheckOperationsTimeout(register, w.history, 20*time.Second) {
	case porcupine.Illegal:
		w.fail("the clients' history of %d calls is not linearizable", len(w.history))
	case porcupine.Unknown:
		w.fail("the clients' history of %d calls was not checked in 20 s", len(w.history))
	}
}

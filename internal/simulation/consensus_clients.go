package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"umberwinch/internal/control/consensus"
)

// client makes one call at a time. It retries a put with the same sequence number at a random host until it has a
// response.
type client struct {
	name         string
	seq          uint64
	knownVersion uint64 // newest version in a response
	pending      *pendingCall
	stopped      bool
}

// pendingCall is a call of a client, including its retries.
type pendingCall struct {
	client       *client
	put          *consensus.Put // nil for a read
	attempt      int            // number of the latest attempt
	historyIndex int            // index in workload.history
}

// registerInput is the input of a call to the register model: a read, or a put based on a version.
type registerInput struct {
	put  bool
	base uint64
}

func (g *ConsensusGroup) addClient() {
	c := &client{name: fmt.Sprint("c", len(g.clients))}
	g.clients = append(g.clients, c)
	g.after(int64(g.random.Intn(100)), func() { g.startCall(c) })
}

// startCall starts the next put or read of a client.
func (g *ConsensusGroup) startCall(c *client) {
	if c.stopped || c.pending != nil {
		return
	}
	call := &pendingCall{client: c, historyIndex: len(g.history)}
	in := registerInput{}
	if g.random.Intn(5) < 3 {
		c.seq++
		in = registerInput{true, c.knownVersion}
		call.put = &consensus.Put{Session: c.name, Seq: c.seq, Base: c.knownVersion, Author: c.name,
			ProposedAtMS: g.random.Int63n(1 << 40),
			Text:         fmt.Sprintf("[tenant %s]\nrate = %d\n", c.name, c.seq)}
	}
	g.history = append(g.history, porcupine.Operation{ClientId: len(g.clients), Input: in, Call: g.Now*1000 + 500,
		Return: math.MaxInt64})
	c.pending = call
	g.sendCall(call)
}

// sendCall sends a call to a random host, and retries after a timeout.
func (g *ConsensusGroup) sendCall(call *pendingCall) {
	call.attempt++
	attempt, h := call.attempt, g.hosts[g.random.Intn(len(g.hosts))]
	g.after(1+int64(g.random.Intn(10)), func() { g.deliverCall(call, attempt, h) })
	g.after(400+int64(g.random.Intn(800)), func() {
		if call.client.pending == call && call.attempt == attempt {
			g.sendCall(call)
		}
	})
}

// deliverCall delivers an attempt to a host's instance, unless the call has completed or has been retried.
func (g *ConsensusGroup) deliverCall(call *pendingCall, attempt int, h *host) {
	if h.replica == nil || h.stalledUntil > g.Now || call.client.pending != call || call.attempt != attempt {
		return
	}
	g.atHost(h, func() error {
		if call.put != nil {
			p := *call.put
			h.puts[p.Session] = call
			h.replica.Propose(&p) // dropped without a leader: the client retries
			return nil
		}
		g.lastCallID++
		h.reads[g.lastCallID] = call
		h.replica.Read(g.lastCallID)
		return nil
	})
	g.processReady(h)
}

// respond sends a response to a client; 15% of the responses are lost.
func (g *ConsensusGroup) respond(call *pendingCall, result consensus.PutResult) {
	if g.random.Intn(100) < 15 {
		return
	}
	g.after(1+int64(g.random.Intn(10)), func() {
		if call.client.pending != call {
			return
		}
		call.client.pending = nil
		g.history[call.historyIndex].Return = g.Now * 1000
		g.history[call.historyIndex].Output = result
		call.client.knownVersion = max(call.client.knownVersion, result.Version)
		if result.Outcome == consensus.PutExpired || result.Outcome == consensus.PutInvalid {
			g.fail("client %s: put %d has result %+v", call.client.name, call.put.Seq, result)
		}
		g.after(int64(g.random.Intn(150)), func() { g.startCall(call.client) })
	})
}

// register is the sequential model of the history: its state is the number of the newest version. A read returns it,
// and a put based on it increments it.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in := state.(uint64), input.(registerInput)
		result, answered := output.(consensus.PutResult)
		switch {
		case !in.put:
			return !answered || result.Version == now, now
		case !answered:
			if in.base == now {
				return true, now + 1
			}
			return true, now
		case result.Outcome == consensus.PutCommitted:
			return in.base == now && result.Version == now+1, now + 1
		case result.Outcome == consensus.PutConflict:
			return in.base != now && result.Version == now, now
		}
		return false, now
	},
}

// checkLinearizable checks the clients' history against the register model.
func (g *ConsensusGroup) checkLinearizable() {
	if g.Broken != "" {
		return
	}
	switch porcupine.CheckOperationsTimeout(register, g.history, 20*time.Second) {
	case porcupine.Illegal:
		g.fail("the clients' history of %d calls is not linearizable", len(g.history))
	case porcupine.Unknown:
		g.fail("linearizability check of the clients' history of %d calls timed out after 20 s", len(g.history))
	}
}

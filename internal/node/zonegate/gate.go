package zonegate

import (
	"encoding/binary"
	"hash/crc32"

	"umberwinch/internal/control/api"
)

// Gate applies a zone's order at one node. All times are in milliseconds of a monotonic clock.
type Gate struct {
	// Rejected counts the requests that were not admitted, for whatever reason.
	Rejected uint64

	seed         uint32
	order        api.ZoneOrder
	hasOrder     bool
	runs         tokenBucket
	connections  tokenBucket
	retryBudgets []retryBudget // by handler
	growth       shareGrowth

	autonomousSince uint64 // without the control service since then; 0: it is heard
	adjustedAt      uint64 // when the node last changed its share by itself
}

// NewGate makes a gate that admits everything until it has an order. The seed is the node's own: it spreads the nodes
// of a fleet over the time in which each has its first token.
func NewGate(handlers int, seed uint32) *Gate {
	return &Gate{seed: seed, retryBudgets: make([]retryBudget, handlers)}
}

// SetOrder takes the order that the control service sent, nil if the policy decides nothing about zones. It reports
// whether the order differs from the one before.
//
// Guards against several epochs' saved tokens being spent at once: under a new epoch the buckets begin anew.
func (g *Gate) SetOrder(now uint64, order *api.ZoneOrder) (changed bool) {
	if order == nil {
		changed = g.hasOrder
		g.order, g.hasOrder, g.autonomousSince = api.ZoneOrder{Share: api.FullShare}, false, 0
		return changed
	}
	changed = !g.hasOrder || order.Epoch != g.order.Epoch || order.Share != g.order.Share
	if previous := g.Share(); previous != order.Share {
		g.growth.record(now, previous, order.Share)
	}
	if changed {
		g.runs = tokenBucket{filledAt: now, tokens: g.initialTokens(order.Epoch)}
		g.connections = tokenBucket{filledAt: now, tokens: 1} // the first run needs a connection
	}
	g.order, g.hasOrder, g.autonomousSince = *order, true, 0
	return changed
}

// initialTokens is the part of a token, from 0 to under 1, with which this node begins an epoch. In a large fleet a
// node's quota may be one run in many seconds: with a different part each, the nodes together use the whole limit
// from the first second on, and not all at the end of the same interval.
func (g *Gate) initialTokens(epoch uint64) float64 {
	raw := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(nil, g.seed), epoch)
	return float64(crc32.ChecksumIEEE(raw)) / (1 << 32)
}

// Evacuated reports that the node admits nothing.
func (g *Gate) Evacuated() bool { return g.hasOrder && g.order.Share == 0 }

// Epoch is that of the order in force, 0 without one.
func (g *Gate) Epoch() uint64 { return g.order.Epoch }

// Share is how much of what arrives the node admits, of api.FullShare.
func (g *Gate) Share() int {
	if !g.hasOrder {
		return api.FullShare
	}
	return g.order.Share
}

package zonegate

import (
	"encoding/binary"
	"hash/crc32"

	"umberwinch/internal/control/api"
)

// Gate applies a zone's order at one node. All times are in milliseconds of a monotonic clock.
type Gate struct {
	// Rejected counts the requests that were rejected, for any reason.
	Rejected uint64

	seed         uint32
	order        api.ZoneOrder // as received, or as adjusted since without the control service
	hasOrder     bool
	runs         tokenBucket
	connections  tokenBucket
	retryBudgets []retryBudget // by handler
	growth       shareGrowth

	autonomousSince uint64 // when the node began to adjust its share without the control service; 0: it follows orders
	adjustedAt      uint64 // when it last adjusted its share
}

// NewGate returns a gate that admits everything until it has an order. The seed differs between nodes and spreads the
// times of their first tokens.
func NewGate(handlers int, seed uint32) *Gate {
	return &Gate{seed: seed, retryBudgets: make([]retryBudget, handlers)}
}

// SetOrder applies the order that the control service sent, nil if the policy has no rules for zones, and reports
// whether the epoch or the share changed. The token buckets are reset then: tokens saved under several epochs must not
// be spent at once.
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

// initialTokens returns the fraction of a token, from 0 to below 1, with which this node begins an epoch. In a large
// fleet a node's quota may be one run in many seconds: different fractions spread the nodes' first runs over that time.
func (g *Gate) initialTokens(epoch uint64) float64 {
	raw := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(nil, g.seed), epoch)
	return float64(crc32.ChecksumIEEE(raw)) / (1 << 32)
}

// Evacuated reports whether the share is 0.
func (g *Gate) Evacuated() bool { return g.hasOrder && g.order.Share == 0 }

// Epoch is the zone epoch of the order in force, 0 without one.
func (g *Gate) Epoch() uint64 { return g.order.Epoch }

// Share is the share of requests that the node admits, of api.FullShare.
func (g *Gate) Share() int {
	if !g.hasOrder {
		return api.FullShare
	}
	return g.order.Share
}

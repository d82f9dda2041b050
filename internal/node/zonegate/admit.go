package zonegate

import (
	"encoding/binary"
	"hash/crc32"

	"umberwinch/internal/control/api"
)

// Request is what the gate needs to know of a request.
type Request struct {
	Handler    int
	Weight     float64 // its priority weight
	Hash       uint32  // by RequestHash
	IsRetry    bool
	SeenBefore bool // its key came to this process before; what came before a restart does not count
}

// RequestHash places a request among all for the share: by its idempotency key where it has one, else by its tenant
// and its caller, so that a caller is admitted or rejected as a whole.
func RequestHash(key, tenant []byte, caller uint32) uint32 {
	if key != nil {
		return crc32.ChecksumIEEE(key)
	}
	return crc32.Update(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, caller)), crc32.IEEETable, tenant)
}

// bucket is where a request stands among all, from 0 to under api.FullShare. The upper half of the hash is used, as
// the lower one chooses among nodes elsewhere.
func (r *Request) bucket() int { return int(r.Hash >> 16 & (api.FullShare - 1)) }

// Reason says which rule rejected a request.
type Reason string

// The rules that reject.
const (
	ReasonNone        Reason = ""
	ReasonShare       Reason = "zone_share"
	ReasonRateLimit   Reason = "zone_rate_limit"
	ReasonRetryBudget Reason = "zone_retry_budget"
)

// Decision is what the gate decided about one request.
type Decision struct {
	Admitted bool
	Final    bool   // rejected, and no node of the fleet has capacity for it: the caller should not retry
	Reason   Reason // of a rejection
}

// Admit decides whether this node takes a request.
//
// Inputs: the request, the order in force, the time in ms. A request is rejected if the zone's share leaves it out,
// if the node's quota of the zone's rate limit is used up, or if it is a retry beyond the budget of retries. The
// reason: a zone on its way back must not be asked for more than its services below bear, and zones in service must
// not be flooded by the retries of one that was evacuated. It acts only where the control service sent an order; it
// may harm callers whose place is beyond the share: they are rejected again and again until the share has grown (see
// RetryAfter).
//
// A request whose key was seen since this process started is always admitted: its result is here, and another node
// would run it a second time. The gate does not know the keys of results that an earlier process stored: a request
// with one of those is admitted or rejected like a new one.
func (g *Gate) Admit(now uint64, request Request) Decision {
	if !g.hasOrder || request.SeenBefore {
		return Decision{Admitted: true}
	}
	if !g.inShare(&request) {
		return g.reject(ReasonShare, request.IsRetry)
	}
	if g.order.RateLimited && !g.runs.take(now, g.order.RateLimit) {
		return g.reject(ReasonRateLimit, request.IsRetry)
	}
	if g.order.RetryBudget > 0 && !g.retryBudgets[request.Handler].admit(request.IsRetry, g.order.RetryBudget) {
		return g.reject(ReasonRetryBudget, true)
	}
	return Decision{Admitted: true}
}

func (g *Gate) reject(reason Reason, isRetry bool) Decision {
	g.Rejected++
	return Decision{Reason: reason, Final: g.order.NoCapacityElsewhere && isRetry}
}

// inShare reports whether the share admits a request: by its place, so that one that is admitted stays so while the
// share grows. In a zone that is evacuated in part, requests below the cutoff stay, those above go elsewhere, those
// at it go by their place.
func (g *Gate) inShare(request *Request) bool {
	placed := request.bucket() < g.order.Share
	if cutoff := g.order.PriorityCutoff; cutoff > 0 {
		return request.Weight < cutoff || request.Weight == cutoff && placed
	}
	return placed
}

// AdmitConnection decides whether a connection to a service below may be opened now: a service that is cold bears few
// of them.
func (g *Gate) AdmitConnection(now uint64) bool {
	if !g.hasOrder || !g.order.RateLimited {
		return true
	}
	return g.connections.take(now, g.order.ConnectRateLimit)
}

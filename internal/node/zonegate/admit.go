package zonegate

import (
	"encoding/binary"
	"hash/crc32"

	"umberwinch/internal/control/api"
)

// Request is the part of a request that the gate decides by.
type Request struct {
	Handler    int
	Weight     float64 // its priority weight
	Hash       uint32  // by RequestHash
	IsRetry    bool
	SeenBefore bool // this process has seen its idempotency key; keys of stored results don't count
}

// RequestHash returns the hash that decides whether the zone's share admits a request: of its idempotency key if it has
// one, else of its tenant and caller, so that all of a caller's requests are admitted or rejected alike.
func RequestHash(key, tenant []byte, caller uint32) uint32 {
	if key != nil {
		return crc32.ChecksumIEEE(key)
	}
	return crc32.Update(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, caller)), crc32.IEEETable, tenant)
}

// bucket is the request's hash bucket, from 0 to below api.FullShare. It uses the upper half of the hash, as the lower
// half chooses among nodes elsewhere.
func (r *Request) bucket() int { return int(r.Hash >> 16 & (api.FullShare - 1)) }

// Reason is the rule that rejected a request.
type Reason string

// The rules that reject.
const (
	ReasonNone        Reason = ""
	ReasonShare       Reason = "zone_share"
	ReasonRateLimit   Reason = "zone_rate_limit"
	ReasonRetryBudget Reason = "zone_retry_budget"
)

// Decision is the gate's decision on one request.
type Decision struct {
	Admitted bool
	Final    bool   // a retry, rejected with no capacity in the fleet: the caller should not retry again
	Reason   Reason // of a rejection
}

// Admit decides by the current order whether this node admits a request. It rejects requests outside the zone's share
// or above the node's quota of the zone's rate limit, and retries above the retry budget: a ramping zone must not
// overload its dependencies, and retries by callers of an evacuated zone must not overload the zones in service.
//
// A request whose idempotency key this process has seen is always admitted: its result is here, and another node would
// run it a second time. Keys of results that an earlier process stored are not known to the gate.
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

// inShare reports whether the zone's share admits a request: buckets below the share are admitted, so that an admitted
// caller stays admitted while the share grows. With a priority cutoff, requests below it are admitted, those above it
// rejected, and those at it go by their bucket.
func (g *Gate) inShare(request *Request) bool {
	bucketAdmitted := request.bucket() < g.order.Share
	if cutoff := g.order.PriorityCutoff; cutoff > 0 {
		return request.Weight < cutoff || request.Weight == cutoff && bucketAdmitted
	}
	return bucketAdmitted
}

// AdmitConnection decides whether a connection to a dependency may be opened now. The connect rate limit protects
// dependencies that are warming up.
func (g *Gate) AdmitConnection(now uint64) bool {
	if !g.hasOrder || !g.order.RateLimited {
		return true
	}
	return g.connections.take(now, g.order.ConnectRateLimit)
}

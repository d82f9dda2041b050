package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

const (
	// probeTargetsPerZone nodes of a silent zone are probed, each by probersPerZone nodes of every other zone, as
	// some of either may be faulty.
	probeTargetsPerZone = 3
	probersPerZone      = 2
	// A result expires after probeTTLHeartbeats heartbeat intervals and probeTTLMarginMS.
	probeTTLHeartbeats = 3
	probeTTLMarginMS   = 1000
)

// probes holds the health checks of silent zones' nodes by nodes of other zones.
type probes struct {
	zoneOf          map[string]string            // zone of each probed node
	targetsByProber map[string][]api.ProbeTarget // by name of the probing node
	resultsByPair   map[probeKey]probeResult
}

type probeKey struct{ node, prober string }

type probeResult struct {
	receivedAt uint64 // ms
	health     api.Health
}

// probeCounts counts the results for one zone, by health.
type probeCounts struct{ serving, shedding, silent int }

func newProbes() probes {
	return probes{zoneOf: map[string]string{}, targetsByProber: map[string][]api.ProbeTarget{},
		resultsByPair: map[probeKey]probeResult{}}
}

// record keeps a prober's results for the nodes that are probed.
func (p *probes) record(now uint64, prober string, peers []api.PeerHealth) {
	if len(peers) > api.MaxPeers {
		peers = peers[:api.MaxPeers]
	}
	for _, peer := range peers {
		if p.zoneOf[peer.Name] != "" {
			p.resultsByPair[probeKey{peer.Name, prober}] = probeResult{now, peer.Health}
		}
	}
}

// countResults counts the unexpired results for a zone's nodes.
func (p *probes) countResults(now uint64, zone string, ttlMS uint64) (counts probeCounts) {
	for key, result := range p.resultsByPair { // the order of iteration does not matter
		if p.zoneOf[key.node] != zone || now-result.receivedAt > ttlMS {
			continue
		}
		switch result.health {
		case api.PeerServing:
			counts.serving++
		case api.PeerShedding:
			counts.shedding++
		default:
			counts.silent++
		}
	}
	return counts
}

func (p *probes) dropExpired(now, ttlMS uint64) {
	for key, result := range p.resultsByPair {
		if p.zoneOf[key.node] == "" || now-result.receivedAt > ttlMS {
			delete(p.resultsByPair, key)
		}
	}
}

func (m *Monitor) probeTTLMS() uint64 { return probeTTLHeartbeats*m.heartbeatMS + probeTTLMarginMS }

// chooseProbes assigns the nodes of silent zones to probers in other zones.
func (m *Monitor) chooseProbes(now uint64, fleet *membership.State) {
	m.probes.zoneOf, m.probes.targetsByProber = map[string]string{}, map[string][]api.ProbeTarget{}
	for _, view := range m.views {
		if view.silent() {
			m.chooseProbesOf(now, view.Zone, fleet)
		}
	}
	m.probes.dropExpired(now, m.probeTTLMS())
}

func (m *Monitor) chooseProbesOf(now uint64, zone string, fleet *membership.State) {
	targets := m.probeTargets(zone, fleet)
	probers := map[string]int{} // by zone
	for _, node := range fleet.Nodes() {
		report := m.reportOf(node)
		if node.Zone == zone || m.viewsByZone[node.Zone].silent() || probers[node.Zone] >= probersPerZone ||
			!m.isFresh(now, report) ||
			len(m.probes.targetsByProber[node.Name])+len(targets) > api.MaxPeers {
			continue
		}
		probers[node.Zone]++
		m.probes.targetsByProber[node.Name] = append(m.probes.targetsByProber[node.Name], targets...)
	}
}

func (m *Monitor) probeTargets(zone string, fleet *membership.State) (targets []api.ProbeTarget) {
	for _, node := range fleet.Nodes() {
		if len(targets) == probeTargetsPerZone {
			return targets
		}
		if node.Zone == zone && node.OutReason != membership.OutLeft && node.Addr != "" {
			targets = append(targets, api.ProbeTarget{Name: node.Name, Addr: node.Addr})
			m.probes.zoneOf[node.Name] = zone
		}
	}
	return targets
}

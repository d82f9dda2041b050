package zones

import "fmt"

// shouldEndDrill reports whether a drill's time is over, or whether it harms a zone in service: the zone is unhealthy
// or loses a larger part of its offered weight than a drill may cost.
func (d *decider) shouldEndDrill(zone *Zone) bool {
	if zone.DrillUntilMS == 0 {
		return false
	}
	if zone.DrillUntilMS <= d.fleet.ClockMS {
		return true
	}
	for _, other := range d.monitor.views {
		unhealthy := other.unhealthyRatio() >= minUnhealthyRatio
		losesValue := other.OfferedWeight > 0 && other.CompletedWeight < (1-maxDrillLoss)*other.OfferedWeight
		if d.state.inService(other.Zone) && other.hasQuorum() && (unhealthy || losesValue) {
			other.Note = fmt.Sprintf("harmed by the drill of %s: %.0f of %.0f of value a second", zone.Name,
				other.CompletedWeight, other.OfferedWeight)
			return true
		}
	}
	return false
}

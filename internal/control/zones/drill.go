package zones

import "fmt"

// shouldEndDrill decides whether a drill is over: its time is, or a zone in service turns unhealthy or loses more value
// than a drill may cost. A drill that goes on then would be an outage.
func (d *decider) shouldEndDrill(zone *Zone) bool {
	if zone.DrillUntilMS == 0 {
		return false
	}
	if zone.DrillUntilMS <= d.fleet.ClockMS {
		return true
	}
	for _, other := range d.monitor.views {
		loses := other.OfferedWeight > 0 && other.CompletedWeight < (1-2*minEvacuationGain)*other.OfferedWeight
		if d.state.inService(other.Zone) && other.hasQuorum() && (other.unhealthyRatio() >= unhealthyShare || loses) {
			other.Note = fmt.Sprintf("harmed by the drill of %s: %.0f of %.0f of value a second", zone.Name,
				other.CompletedWeight,
				other.OfferedWeight)
			return true
		}
	}
	return false
}

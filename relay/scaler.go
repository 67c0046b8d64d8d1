package relay

import "time"

// Load is an owner's load over the last second.
type Load struct {
	// Workers is the number of workers in the domain.
	Workers int
	// Orders is the number of orders and polls sent to workers.
	Orders int
	// RoundTrip is the smoothed round trip of orders, 0 if unknown.
	RoundTrip time.Duration
	// StartLimitReached is set if the limit on starts in flight delayed starts.
	StartLimitReached bool
}

const (
	// maxDirectWorkers is the number of workers that an owner serves without
	// relays. At two connections per worker they use an eighth of a small host's
	// file descriptors.
	maxDirectWorkers = 512
	// slowRTT is the round trip above which the owner counts as overloaded.
	slowRTT = 60 * time.Millisecond
	// scaleUpAfter is the number of consecutive overloaded seconds before relays
	// are added, so that a short burst of jobs adds none.
	scaleUpAfter = 2
	// scaleDownAfter is the number of consecutive seconds of low load before
	// relays are removed. Load is low below scaleDownLoad times the orders per
	// second at which they were added; the hysteresis keeps the owner from being
	// overloaded again.
	scaleDownAfter = 20
	scaleDownLoad  = 0.4
	// maxRelaysPerZone bounds the relays of an availability zone.
	maxRelaysPerZone = 64
)

// Scaler computes how many relays each availability zone should have from the
// load of each second: it doubles the number under overload and halves it after
// a long time of low load. The zero value starts with none.
type Scaler struct {
	// Min is the least number of relays per zone.
	Min int

	perZone int
	// overloaded and lowLoad count consecutive seconds of overload and of low load.
	overloaded, lowLoad int
	// scaleUpOrders is the number of orders per second at the last scale-up,
	// halved at each scale-down.
	scaleUpOrders int
}

// Restore sets the number of relays per zone that the previous owner had.
func (s *Scaler) Restore(perZone int) { s.perZone = perZone }

// Observe records the load of one second and returns the number of relays per
// zone.
func (s *Scaler) Observe(l Load) int {
	if s.perZone > 0 && s.scaleUpOrders == 0 {
		s.scaleUpOrders = l.Orders // the load at the previous owner's scale-up is unknown
	}
	overloaded := l.RoundTrip > slowRTT || l.StartLimitReached
	lower := s.Min
	if l.Workers > maxDirectWorkers {
		lower = max(lower, 1)
	}
	switch {
	case overloaded:
		s.overloaded, s.lowLoad = s.overloaded+1, 0
	case float64(l.Orders) < scaleDownLoad*float64(s.scaleUpOrders):
		s.overloaded, s.lowLoad = 0, s.lowLoad+1
	default:
		s.overloaded, s.lowLoad = 0, 0
	}
	switch {
	case s.overloaded >= scaleUpAfter:
		s.perZone, s.scaleUpOrders, s.overloaded = min(max(2*s.perZone, 1), maxRelaysPerZone), l.Orders, 0
	case s.lowLoad >= scaleDownAfter:
		s.perZone, s.scaleUpOrders, s.lowLoad = s.perZone/2, s.scaleUpOrders/2, 0
	}
	s.perZone = max(s.perZone, lower)
	return s.perZone
}

package relay

import "time"

// Load is what an owner measured of itself in the last second.
type Load struct {
	// Workers is how many workers it has.
	Workers int
	// Orders is how many orders and looks it gave.
	Orders int
	// RoundTrip is the smoothed way of an order and its answer.
	RoundTrip time.Duration
	// StartLimitReached is set if starts waited because of those under way.
	HeldBack bool
}

const (
	// ownWorkers is how many workers an owner keeps sessions with itself; two
	// connections each, they are an eighth of a small host's descriptors.
	ownWorkers = 512
	// slow is the round trip from which relays are asked for: several times that
	// of an owner that isn't pressed.
	slow = 60 * time.Millisecond
	// pressedFor is how many seconds in a row an owner is pressed until there are
	// more relays: one second may be a burst of jobs that come together.
	pressedFor = 2
	// calmFor is how many seconds in a row it must be calm until there are fewer,
	// and calmShare what its orders must have fallen to of those that pressed it:
	// it would be pressed again otherwise.
	calmFor   = 20
	calmShare = 0.4
	// mostPerZone bounds the relays of a zone.
	mostPerZone = 64
)

// Scaler follows how many relays a zone should have. The zero value has none.
type Scaler struct {
	// Min is the least number.
	Min int

	perZone       int
	pressed, calm int
	// orders is how many orders a second pressed the owner with half as many
	// relays.
	orders int
}

// Restore begins with the relays that an owner before had.
func (d *Scaler) Restore(perZone int) { d.perZone = perZone }

// Observe takes in the load of a second and returns the relays for each zone.
func (d *Scaler) Observe(l Load) int {
	if d.perZone > 0 && d.orders == 0 {
		d.orders = l.Orders // what pressed the owner before isn't known
	}
	pressed := l.RoundTrip > slow || l.HeldBack
	least := d.Min
	if l.Workers > ownWorkers {
		least = max(least, 1)
	}
	switch {
	case pressed:
		d.pressed, d.calm = d.pressed+1, 0
	case float64(l.Orders) < calmShare*float64(d.orders):
		d.pressed, d.calm = 0, d.calm+1
	default:
		d.pressed, d.calm = 0, 0
	}
	switch {
	case d.pressed >= pressedFor:
		d.perZone, d.orders, d.pressed = min(max(2*d.perZone, 1), mostPerZone), l.Orders, 0
	case d.calm >= calmFor:
		d.perZone, d.orders, d.calm = d.perZone/2, d.orders/2, 0
	}
	d.perZone = max(d.perZone, least)
	return d.perZone
}

package election

import "time"

// clockReading is a reading of the table service's clock, which all hosts share.
type clockReading struct {
	// shared is what the clock showed at some time from sent to received, which are readings of
	// this host's clock; 0 if it was never read.
	shared, sent, received time.Duration
}

// latestAt returns the latest time that the shared clock can show as this host's shows now, 0 if
// that isn't known. Either clock may be slow.
func (c clockReading) latestAt(now time.Duration) time.Duration {
	if c.shared == 0 {
		return 0
	}
	return c.shared + withDrift(now-c.sent) + 2*time.Millisecond // both readings are rounded down
}

// since returns the time at which the shared clock showed a reading or a later one, on this host's
// clock; false if that isn't known.
func (c clockReading) since(reading time.Duration) (at time.Duration, known bool) {
	if c.shared == 0 || reading == 0 || reading > c.shared {
		return 0, false
	}
	passed := time.Duration(float64(c.shared-reading) * (1 - maxClockDrift))
	return c.received - passed, true
}

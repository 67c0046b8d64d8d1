package burn

import "time"

// Windows lists the window lengths of a report, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Window is the burn within one window.
type Window struct {
	Length time.Duration
	Good   int64
	Total  int64
	// Burn is the fraction of bad calls divided by the fraction that the
	// target allows. A burn of 1 spends the budget exactly within the
	// objective's period.
	Burn float64
	// Covered is the part of the window since the first count.
	Covered time.Duration
}

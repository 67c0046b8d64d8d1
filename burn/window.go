package burn

import "time"

// Windows are the windows of a report, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Window is the burn over one window.
type Window struct {
	Length time.Duration
	Good   int64
	Total  int64
	// Burn is the share of bad calls over the share that the target allows:
	// 1 spends the budget in just the objective's period.
	Burn float64
	// Covered is how much of the window any sheet speaks of.
	Covered time.Duration
}

package forecast

import "time"

// Window is the time around one occurrence of an event in which headroom is
// kept.
type Window struct {
	From  time.Time
	Start time.Time
	Until time.Time
}

// Overlaps reports whether a run from begin to end would be within the window.
func (w Window) Overlaps(begin, end time.Time) bool {
	return end.After(w.From) && begin.Before(w.Until)
}

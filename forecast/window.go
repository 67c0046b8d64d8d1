package forecast

import "time"

// Window is the time around an occurrence of an event during which headroom is
// kept.
type Window struct {
	From  time.Time
	Start time.Time
	Until time.Time
}

// Overlaps reports whether a run from begin to end overlaps the window.
func (w Window) Overlaps(begin, end time.Time) bool {
	return end.After(w.From) && begin.Before(w.Until)
}

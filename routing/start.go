package routing

import "time"

// maxMarginShare limits the time that must be left at the start of a request, as a
// share of the time that its caller gave, so that a service whose requests take long
// still gets those that come in time.
const maxMarginShare = 0.5

// StartDeadline returns the latest time at which a request should be started whose
// outcome its caller must not miss. given is the time that the caller gave until the
// deadline, serviceTime the mean time that one request takes; 0 if unknown.
func StartDeadline(deadline time.Time, given, serviceTime time.Duration) time.Time {
	margin := deadline.Sub(WaitDeadline(deadline, serviceTime))
	return deadline.Add(-min(margin, time.Duration(maxMarginShare*float64(given))))
}

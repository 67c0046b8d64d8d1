package routing

import "time"

const (
	// standingQueueAfter is how long a queue must stay long to count as a
	// standing queue rather than a burst. A burst drains; a standing queue only
	// adds latency.
	standingQueueAfter = 500 * time.Millisecond
	// drainedShare is the share of its peak to which a queue must have fallen
	// within standingQueueAfter to count as draining.
	drainedShare = 0.75
	// backlogFactor is how long the backlog of a pause may take to drain, in
	// multiples of the pause: a host at two thirds of its capacity needs twice as
	// long.
	backlogFactor = 2
	// maxBacklogTime limits the time allowed for a backlog. Most requests of a
	// longer pause have no time left.
	maxBacklogTime = 2 * time.Second
)

// standingQueue distinguishes a queue that doesn't drain from a burst and from the
// backlog of a pause.
type standingQueue struct {
	// longSince is when the queue became long or was last seen to drain, ignoring
	// short breaks; longLast is when it was last long.
	longSince, longLast time.Time
	// peak is the largest length since longSince.
	peak int
	// confirmed is set while the queue counts as standing.
	confirmed bool
	// backlogUntil is until when the queue counts as the backlog of a pause.
	backlogUntil time.Time
}

// resume records that the process continues after a pause.
func (s *standingQueue) resume(now time.Time, paused time.Duration) {
	s.backlogUntil = now.Add(min(backlogFactor*paused, maxBacklogTime))
}

// observe records the length of the queue at now and whether it is long. It reports
// whether the queue is standing: it has been long, with short breaks only, for more
// than standingQueueAfter without draining.
func (s *standingQueue) observe(now time.Time, length int, long bool) bool {
	if s.longSince.IsZero() || now.Sub(s.longLast) > standingQueueAfter || now.Before(s.backlogUntil) {
		s.restart(now)
	}
	if long {
		s.longLast = now
	}
	s.peak = max(s.peak, length)
	if now.Sub(s.longSince) <= standingQueueAfter {
		return false
	}
	if !s.confirmed && float64(length) <= drainedShare*float64(s.peak) {
		s.restart(now)
		s.peak = length
		return false
	}
	s.confirmed = true
	return true
}

// restart begins a new period of observation.
func (s *standingQueue) restart(now time.Time) {
	s.longSince = now
	s.peak = 0
	s.confirmed = false
}

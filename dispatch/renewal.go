package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

const (
	// longPoll is how long a worker may hold its answer to a renewal for an
	// end to come; the most that its protocol allows.
	longPoll = 2 * time.Second
	// idlePoll is the least time between two looks at a worker while ends of
	// it can't be made durable, so that looks don't turn into a busy loop.
	idlePoll = 500 * time.Millisecond
)

// RenewalReady reports whether a worker should be looked at now: at once if
// all its ends are durable, at intervals otherwise.
func (s *State) RenewalReady(now time.Time, id string) bool {
	w := s.workers[id]
	if w == nil || !w.rostered {
		return false
	}
	return w.seen == w.acknowledged || now.Sub(w.answersAt) >= idlePoll
}

// Renewal returns the next renewal for a worker. Without extend the lease is
// left as it is, as it is for a worker that doesn't answer.
func (s *State) Renewal(now time.Time, id string, extend bool) (runner.Worker, runner.Renewal, bool) {
	w := s.workers[id]
	if w == nil {
		return runner.Worker{}, runner.Renewal{}, false
	}
	o := runner.Renewal{Token: w.token, Acknowledged: w.acknowledged}
	if extend && !w.silent {
		// A worker that doesn't answer is only looked at: each lease sent
		// would put off the moment when its runs are known to be over.
		o.LeaseUntil = s.leaseFor(now, w)
	}
	if w.reported && w.unheardSince.IsZero() && w.token == w.tokenSeen && w.seen == w.acknowledged {
		o.WaitMS = longPoll.Milliseconds()
		if load, _ := w.colocation(now); load.NeedsFrequentPolls() {
			o.WaitMS = tailWindow.Milliseconds()
		}
	}
	return w.info, o, true
}

// leaseFor returns the end of lease that an order given now may carry, and
// keeps it; 0 while the worker's clock isn't known.
func (s *State) leaseFor(now time.Time, w *worker) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	until := w.clockNow(now) + s.cfg.Lease.Milliseconds()
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

// EarlyPolls returns the workers that should be looked at although a look is waiting
// there: a filler is new beside serving tasks, or a tail is long, and the last
// figures are older than what they cover.
func (s *State) EarlyPolls(now time.Time) []string {
	var ids []string
	for id, w := range s.workers {
		if w.silent || !w.reported || now.Sub(w.answersAt) < peekAfter || now.Sub(w.peekedAt) < peekAfter ||
			now.Sub(w.watchedAt) < watchEvery {
			continue
		}
		w.watchedAt = now
		if load, _ := w.colocation(now); load.NeedsFrequentPolls() {
			w.peekedAt = now
			ids = append(ids, id)
		}
	}
	return ids
}

// peekAfter is the age of figures from which a worker with a long tail is
// looked at: the half second that they cover, and the way of a report.
const peekAfter = 600 * time.Millisecond

// watchEvery is the time between two checks of whether a worker needs that: on
// 490 workers, checking all of them each cycle took a sixth of the owner's loop.
const watchEvery = 100 * time.Millisecond

package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

const (
	// longPoll is how long a worker may hold its answer to a renewal until a
	// run ends. A lease has at least 3 s left when the owner is lost.
	longPoll = 1500 * time.Millisecond
	// unflushedPollInterval is the minimum time between two polls of a worker
	// whose ends aren't durable, or whose lease can't be extended yet. It answers such
	// polls at once.
	unflushedPollInterval = 500 * time.Millisecond
	// shortLease is how much shorter than usual the leases are of an owner that polls
	// workers often, as it can't commit: it needs to know that most of them still accept its
	// orders, and short leases have to be renewed sooner.
	shortLease = time.Second
)

// RenewalReady reports whether a worker should be polled now: at once if all
// its ends are durable and its lease may be extended, at intervals otherwise.
func (s *State) RenewalReady(now time.Time, id string) bool {
	w := s.workers[id]
	if w == nil || !w.inRoster {
		return false
	}
	leasable := w.mayLease() || !w.reported || !w.unresponsiveSince.IsZero()
	pollAtOnce := w.ends.prefix == w.acknowledged && leasable
	return pollAtOnce || now.Sub(w.polledAt) >= unflushedPollInterval
}

// Renewal returns the next renewal for a worker, false if it isn't known. The
// lease is extended by at most the given duration, and only if that is positive, the worker
// isn't suspected and this owner may give it leases (see markLeased); the new end of the lease
// counts from now on, whether the worker answers or not.
func (s *State) Renewal(now time.Time, id string, lease time.Duration) (runner.Worker, runner.Renewal, bool) {
	w := s.workers[id]
	if w == nil {
		return runner.Worker{}, runner.Renewal{}, false
	}
	o := runner.Renewal{To: w.addressee(now), Token: w.token}
	o.Acknowledged = s.acknowledge(now, w)
	if lease > 0 && !w.suspected && w.mayLease() {
		// A suspected worker gets no lease: each one sent would delay the time
		// at which its runs are known to have ended.
		o.LeaseUntil = s.leaseFor(now, w, lease)
	}
	if w.mayLease() && w.reported && w.unresponsiveSince.IsZero() && w.token == w.tokenSeen && w.ends.prefix == w.acknowledged &&
		w.withheldSince.IsZero() {
		o.WaitMS = longPoll.Milliseconds()
		if s.needsFrequentPolls(now, w) || lease < s.cfg.Lease-shortLease {
			o.WaitMS = tailWindow.Milliseconds()
		}
	}
	return w.info, o, true
}

// maxWithheld is how long acknowledgments may be withheld from a worker before it gets no
// new starts. The starts under way are answered meanwhile, within a round trip each.
// Otherwise a busy worker far away would always have one under way, and once it lists
// runner.MaxEnds ends, it lists no later ones.
const maxWithheld = 3 * time.Second

// acknowledge returns the number up to which a renewal acknowledges the worker's ends, 0 if
// it has forgotten them or that has to wait for the answer to a start or for any answer.
func (s *State) acknowledge(now time.Time, w *worker) uint64 {
	switch {
	case w.acknowledged <= w.delivered, !w.unresponsiveSince.IsZero():
		w.withheldSince = time.Time{}
		return 0
	case w.startUnanswered():
		if w.withheldSince.IsZero() {
			w.withheldSince = now
		}
		return 0
	default:
		w.acknowledgedUnder, w.withheldSince = w.token, time.Time{}
		return w.acknowledged
	}
}

// startsWait reports whether the worker gets no new starts, as its ends have to be
// acknowledged first.
func (l *life) startsWait(now time.Time) bool {
	return !l.withheldSince.IsZero() && l.acknowledged > l.delivered && now.Sub(l.withheldSince) >= maxWithheld
}

// startUnanswered reports whether a start is under way of which it isn't known whether this
// life of the worker has carried it out. Until then no ends are acknowledged: a worker that
// has started again may have carried it out and ended it, under a number that was listed in
// the life before, and would forget that end. An unanswered start that ended with the lease of
// an unresponsive worker is such a start until the worker answers.
func (w *worker) startUnanswered() bool {
	return slices.ContainsFunc(w.runsByNumber, func(r *run) bool { return !r.confirmed && !r.held })
}

// needsFrequentPolls reports whether the worker's next report is wanted soon, because of its
// tails or its speed.
func (s *State) needsFrequentPolls(now time.Time, w *worker) bool {
	if w.answerWanted || ((w.pace.NeedsReports() || w.reportWanted) && len(w.runs) > 0) {
		return true
	}
	if w.counts.serving == 0 || w.counts.bestEffort == 0 {
		return false
	}
	return s.colocation(now, w).NeedsFrequentPolls()
}

// leaseFor returns the end of the lease for an order given now, on the worker's
// clock, and records it; 0 if the worker's clock isn't known. The lease lasts for at most the
// given duration.
func (s *State) leaseFor(now time.Time, w *worker, lease time.Duration) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	until := w.clockLowerBound(now) + min(lease, s.cfg.Lease).Milliseconds()
	w.extendLease(until)
	return until
}

// EarlyPolls returns the workers to poll although a long poll is pending there,
// and records that they are polled now. These are workers whose last report is older than
// its window, and where a best-effort task is new next to serving tasks, a tail is long, the
// worker is or may be slow, or a move or a restart waits for the report.
func (s *State) EarlyPolls(now time.Time) []string {
	var ids []string
	for _, w := range s.byID() {
		recent := now.Sub(w.polledAt) < earlyPollAge && !w.answerWanted
		if w.suspected || !w.reported || recent || now.Sub(w.earlyPolledAt) < earlyPollAge ||
			now.Sub(w.earlyPollCheckedAt) < earlyPollCheckInterval {
			continue
		}
		w.earlyPollCheckedAt = now
		if s.needsFrequentPolls(now, w) {
			w.earlyPolledAt = now
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// restartCheckAge is the age of the last answer of a worker up to which a long-running task that
// was lost starts there unchecked. A start that a silent worker doesn't answer delays the task by
// the longest lease.
const restartCheckAge = earlyPollAge

// earlyPollAge is the age of the last report from which a worker may need an
// early poll: the report's window and a round trip.
const earlyPollAge = 600 * time.Millisecond

// earlyPollCheckInterval is the time between two checks whether a worker needs
// an early poll, since checking every worker in each cycle is costly.
const earlyPollCheckInterval = 100 * time.Millisecond

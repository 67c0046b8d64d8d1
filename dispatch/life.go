package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/pace"
	"github.com/fireflygate/fireflygate/runner"
)

// life is what is known of one life of a worker: all that the worker counts or measures by
// itself, and what it was judged by. A worker that starts again under its ID begins a new
// one, so that nothing of a life is compared with another.
type life struct {
	// number identifies it among the lives of all workers that this owner has known.
	number uint64
	// incarnation is what the worker says of it.
	incarnation runner.Incarnation
	// reported is set once it has answered a renewal of this owner with its runs.
	reported bool
	// tokenSeen is the newest token that it is known to have seen.
	tokenSeen uint64
	// clock is the last reading of its own clock, received at clockAt.
	clock   int64
	clockAt time.Time
	// leaseUntil is the latest end, on its own clock, of a lease that any order sent can
	// give.
	leaseUntil int64
	// leaseOverAt is when its leases were found to be over, zero if they weren't since
	// the last was given.
	leaseOverAt time.Time
	// longestOverAt is the same for leases that a later life may have cut to the longest one,
	// see longestLeaseOver.
	longestOverAt time.Time
	// ends holds the numbers of its recorded ends. acknowledged is the number up to which
	// they are durable, and delivered that up to which it is known to have forgotten them.
	ends                    endNumbers
	acknowledged, delivered uint64
	// acknowledgedUnder is the token of the last renewal that acknowledges ends, answered or
	// not; 0 if there was none.
	acknowledgedUnder uint64
	// withheldSince is the first renewal since the last acknowledging one that couldn't
	// acknowledge its ends, as a start was under way; zero if there was none.
	withheldSince time.Time
	// refusesWrongly is set once it has refused this owner's newest token although the
	// owner wasn't replaced, until it answers. Its refusals then count as no answer.
	refusesWrongly bool
	// refusedAt is when it refused this owner's newest token, zero if it didn't since the
	// last commit that confirmed the ownership.
	refusedAt time.Time
	// suspected is set by the failure detector. unresponsiveSince is when the first poll
	// since its last answer failed, zero if it is responsive.
	suspected         bool
	unresponsiveSince time.Time
	// acceptedAt is when the latest renewal was made that it has carried out. since is when
	// this owner learned of the life, zero if it knew no earlier one.
	acceptedAt, since time.Time
	// restarted is set if this owner has known an earlier life of the worker, which ended no
	// later than at silentBefore.
	restarted    bool
	silentBefore time.Time
	// before is the incarnation of that life.
	before runner.Incarnation
	// unknownRun is set while its last report includes a run of an unknown task, which
	// is being stopped and takes capacity of unknown size.
	unknownRun bool
	// pausedUntil is the time before which it gets no new tasks.
	pausedUntil time.Time
	health      health
	// lastActionAt is when a best-effort run was last limited or stopped;
	// reportSum is a checksum of the last report's figures, to detect a
	// repeated one.
	lastActionAt time.Time
	// limitedStartAt is when a best-effort run last started there at a low CPU limit.
	limitedStartAt time.Time
	reportSum      int64
	// recentlyEnded holds best-effort runs that the tails may still reflect.
	recentlyEnded []endedTask
	// pace is what is known of its speed, paceReportAt when its last report was
	// evaluated for that; reportsInvalid is set once it has reported figures out of
	// range.
	pace           pace.Worker
	paceReportAt   time.Time
	reportsInvalid bool
	// reportWanted is set until its next report if that decides about a move.
	reportWanted bool
	// suspectReports counts the last reports in a row with long tails.
	suspectReports uint8
	// limitUnconfirmed is set while the CPU limit of a run may not be in force.
	limitUnconfirmed bool
	// newTails is set by a report with tails until the next CPU limit decision.
	newTails bool
}

// newLife returns a life of which nothing else is known.
func (s *State) newLife(incarnation runner.Incarnation) *life {
	s.lives++
	return &life{number: s.lives, incarnation: incarnation}
}

// clockLowerBound returns the earliest time that the worker's clock can show
// now.
func (l *life) clockLowerBound(now time.Time) int64 {
	if l.clockAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(l.clockAt)
	return l.clock + int64(float64(elapsed.Milliseconds())*(1-maxClockDrift))
}

// leaseOverBy returns when the leases are over that this owner has given, by a reading of the
// worker's clock.
func (l *life) leaseOverBy() time.Time {
	left := time.Duration(l.leaseUntil-l.clock)*time.Millisecond + leaseExpiryMargin
	return l.clockAt.Add(time.Duration(float64(left) / (1 - maxClockDrift)))
}

// addressee returns the life that an order made now is for.
func (l *life) addressee(now time.Time) runner.Addressee {
	return runner.Addressee{Life: l.number, Incarnation: l.incarnation, Clock: l.clockLowerBound(now), At: now}
}

// setClock records a reading of the worker's clock, unless an earlier one implies a
// later time: an answer may arrive long after the reading.
func (l *life) setClock(now time.Time, clock int64) {
	if clock > 0 && clock >= l.clockLowerBound(now) {
		l.clock, l.clockAt = clock, now
	}
}

// extendLease records a lease that an order gives, or may have given.
func (l *life) extendLease(until int64) {
	l.leaseUntil, l.leaseOverAt, l.longestOverAt = max(l.leaseUntil, until), time.Time{}, time.Time{}
}

package control

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math"
	"time"

	"github.com/fireflygate/fireflygate/event"
)

// storeUnavailableAfter is the duration of a commit from which the table service counts
// as unavailable and new jobs are refused: above that of a slow commit, and below
// forwardTimeout, so that other hosts' submissions don't end as unknown before.
const storeUnavailableAfter = time.Second

// waiter is a caller that waits for a change to be durable.
type waiter struct {
	answer chan reply
	// deadline is the end of the caller's time limit, zero if unknown.
	deadline time.Time
}

// storeUnavailable reports whether the table service seems to be unavailable,
// so that no job can be accepted, and for how long the commit in flight has
// lasted.
func (o *Owner) storeUnavailable() (time.Duration, bool) {
	if !o.committing {
		return 0, false
	}
	lasted := time.Since(o.lastCommit)
	return lasted, lasted >= storeUnavailableAfter
}

// commitOverdueAfter is the duration of a commit from which it is overdue: many times that
// on a sound table service.
const commitOverdueAfter = storeUnavailableAfter / 2

// commitOverdue reports whether the commit in flight takes unusually long.
func (o *Owner) commitOverdue(now time.Time) bool {
	return o.committing && now.Sub(o.lastCommit) >= commitOverdueAfter
}

// withdrawInOutage withdraws the jobs that wait for their first commit if the
// table service is unavailable, and refuses their callers. Jobs in the commit in
// flight stay, as that may still be applied.
func (o *Owner) withdrawInOutage() {
	lasted, unavailable := o.storeUnavailable()
	if !unavailable {
		return
	}
	o.opts.Metrics.outage.Set(lasted.Seconds())
	now := time.Now()
	for _, id := range o.state.WithdrawUncollected() {
		o.withdrawn++
		o.opts.Metrics.withdrawn.Inc()
		for _, w := range o.waiters[id] {
			retryAfter := retryAfterOutage(lasted, id, timeLeft(now, w.deadline))
			w.answer <- refusal(retryAfter)
		}
		delete(o.waiters, id)
	}
}

// endOutage logs the submissions that were withdrawn during an outage when its
// commit has been applied or the ownership ends.
func (o *Owner) endOutage(applied bool) {
	o.opts.Metrics.outage.Set(0)
	if o.withdrawn == 0 {
		return
	}
	event.SubmissionsWithdrawn.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Int("withdrawn", o.withdrawn),
		slog.Int64("outage_ms", time.Since(o.lastCommit).Milliseconds()), slog.Bool("applied", applied))
	o.withdrawn = 0
}

// noTimeLimit is what is left of an unknown time limit.
const noTimeLimit = time.Duration(math.MaxInt64)

// timeLeft returns what is left until a deadline, noTimeLimit if it is zero.
func timeLeft(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return noTimeLimit
	}
	return deadline.Sub(now)
}

// retryAfterOutage returns the retry delay of a caller whose submission of a job is
// refused in an outage: the duration of the outage so far, within minRetryAfter and
// maxRetryAfter, plus up to half of that by the job's ID, so that callers don't return
// together. left is what is left of the caller's time limit. A delay above it is cut to
// the whole seconds in left, since callers are told whole seconds, rounded up. The delay
// is never below minRetryAfter.
func retryAfterOutage(lasted time.Duration, id string, left time.Duration) time.Duration {
	delay := min(max(lasted, minRetryAfter), maxRetryAfter)
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	delay += time.Duration(float64(delay) / 2 * float64(h.Sum32()) / (math.MaxUint32 + 1))
	return max(min(delay, left.Truncate(time.Second)), minRetryAfter)
}

// maxTimeLimit bounds the time limits that other hosts report, so that a faulty one
// can't overflow.
const maxTimeLimit = time.Hour

// withTimeLimit returns a submission with what is left until the context's deadline,
// and other requests unchanged.
func withTimeLimit(ctx context.Context, now time.Time, request any) any {
	q, ok := request.(submitRequest)
	deadline, limited := ctx.Deadline()
	if !ok || !limited {
		return request
	}
	q.LimitMS = max(deadline.Sub(now).Milliseconds(), 1)
	return q
}

// deadline returns the end of the caller's time limit, zero if the request has none.
func (q *submitRequest) deadline(now time.Time) time.Time {
	if q.LimitMS <= 0 || q.LimitMS > maxTimeLimit.Milliseconds() {
		return time.Time{}
	}
	return now.Add(time.Duration(q.LimitMS) * time.Millisecond)
}

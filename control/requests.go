package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/workload"
)

// ask runs f on the loop and waits for an answer on the channel it is given. An
// owner that has made its last commit takes nothing in: the next owner does.
func (o *Owner) ask(ctx context.Context, f func(answer chan reply)) reply {
	answer := make(chan reply, 1)
	posted := func() {
		if o.closed || ctx.Err() != nil { // nobody waits for the answer any more
			answer <- reply{Result: ResultNotOwner}
			return
		}
		f(answer)
	}
	select {
	case o.events <- posted:
	case <-ctx.Done():
		return reply{Result: ResultNotOwner}
	case <-o.ctx.Done():
		return reply{Result: ResultNotOwner}
	}
	select {
	case r := <-answer:
		return r
	case <-ctx.Done():
		return reply{Result: ResultUnknown}
	case <-o.ctx.Done():
		return reply{Result: ResultUnknown}
	}
}

// submit takes a job in and answers once it is durable.
func (o *Owner) submit(ctx context.Context, spec *workload.Job, q workload.Queue) reply {
	return o.ask(ctx, func(answer chan reply) {
		if o.state.JobStored(spec.ID) {
			answer <- reply{Result: ResultDone}
			return
		}
		if after, away := o.storeAway(); away && !o.state.HasJob(spec.ID) {
			event.StoreAway.Log(o.opts.Log, slog.String("job", spec.ID), slog.Int64("retry_after_ms", after.Milliseconds()))
			answer <- reply{Result: ResultRefused, RetryAfterMS: after.Milliseconds()}
			return
		}
		if before := o.state.TasksAhead(q); !o.state.HasJob(spec.ID) {
			if after, refuse := o.backlog.Refuse(before); refuse {
				event.StartsWait.Log(o.opts.Log, slog.String("job", spec.ID), slog.Int("starts_before", before), slog.Int64("retry_after_ms", after.Milliseconds()))
				answer <- reply{Result: ResultRefused, RetryAfterMS: after.Milliseconds()}
				return
			}
		}
		event.JobReceived.Log(o.opts.Log, slog.Any("job", spec.ID), slog.Any("queue", q.Name), slog.Any("steps", len(spec.Steps)))
		if spec.Submitted == 0 {
			spec.Submitted = time.Now().UnixMilli()
		}
		o.state.Accept(time.Now(), time.Now().UnixMilli(), spec, q)
		o.await(spec.ID, answer)
	})
}

const (
	// storeAwayAfter is how long a commit is on its way until new jobs are
	// refused at once: more than a commit takes while the table service
	// answers 60 times slower, well below the time that callers wait.
	storeAwayAfter = time.Second
	// leastRetry and mostRetry bound when callers are asked to come back.
	leastRetry = time.Second
	mostRetry  = 4 * time.Second
)

// storeAway reports whether the table service seems to be away, so that a job
// can't be accepted, and when a caller should come back: after as long again
// as it has been away.
func (o *Owner) storeAway() (time.Duration, bool) {
	if !o.committing {
		return 0, false
	}
	away := time.Since(o.lastCommit)
	return min(max(away, leastRetry), mostRetry), away > storeAwayAfter
}

// cancel cancels a job and answers once that is durable.
func (o *Owner) cancel(ctx context.Context, id string) reply {
	return o.ask(ctx, func(answer chan reply) {
		if !o.state.Cancel(time.Now(), id) {
			answer <- o.unknownJob(id)
			return
		}
		event.JobCancelled.Log(o.opts.Log, slog.Any("job", id))
		if o.state.JobFlushed(id) {
			answer <- reply{Result: ResultDone}
			return
		}
		o.await(id, answer)
	})
}

// await has an answer given once a job's newest change is durable.
func (o *Owner) await(id string, answer chan reply) {
	o.waiters[id] = append(o.waiters[id], answer)
	o.state.MarkUrgent(id)
}

// jobState answers a job's state.
func (o *Owner) jobState(ctx context.Context, id string) reply {
	return o.ask(ctx, func(answer chan reply) {
		state, ok := o.state.JobState(id)
		if !ok {
			answer <- o.unknownJob(id)
			return
		}
		answer <- reply{Result: ResultDone, State: state}
	})
}

// unknownJob answers for a job that this owner doesn't know. One whose commits
// fail may have been replaced, and the next owner may have accepted the job: an
// owner that had been paused said of such a job that there was none.
func (o *Owner) unknownJob(id string) reply {
	if age := o.commitAge(); age > election.StaleAfter {
		event.OwnerUnsure.Log(o.opts.Log, slog.String("job", id), slog.Int64("commit_age_ms", age.Milliseconds()))
		return reply{Result: ResultRefused, RetryAfterMS: leastRetry.Milliseconds()}
	}
	return reply{Result: ResultNotFound}
}

// pending answers how many of a queue's jobs haven't begun.
func (o *Owner) pending(ctx context.Context, queue string) reply {
	return o.ask(ctx, func(answer chan reply) {
		answer <- reply{Result: ResultDone, Count: o.state.PendingJobs(queue)}
	})
}

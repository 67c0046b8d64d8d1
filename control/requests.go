package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/workload"
)

// runOnLoop runs f on the loop and waits for a reply on the channel passed to
// f. An owner that has made its last commit accepts no requests; the next owner
// does. If the context or the ownership ends before the loop takes the request
// up, f never runs and the reply is ResultNotOwner.
func (o *Owner) runOnLoop(ctx context.Context, f func(answer chan reply)) reply {
	answer := make(chan reply, 1)
	var claimed atomic.Bool // by the loop to run f, or by this function to give f up
	posted := func() {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		if o.closed || ctx.Err() != nil || o.ctx.Err() != nil { // nobody waits, or no commit follows
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
	case <-o.ctx.Done():
	}
	if claimed.CompareAndSwap(false, true) {
		return reply{Result: ResultNotOwner}
	}
	return o.lastAnswer(ctx, answer)
}

// lastAnswer returns the reply to a request that the loop has taken up, after the
// context or the ownership has ended. The loop answers all requests before it
// stops, so an answer that tells more than ResultUnknown isn't lost.
func (o *Owner) lastAnswer(ctx context.Context, answer chan reply) reply {
	select {
	case r := <-answer:
		return r
	case <-ctx.Done():
	case <-o.stopped:
	}
	select {
	case r := <-answer:
		return r
	default:
		return reply{Result: ResultUnknown}
	}
}

// submit submits a job of a caller on this host, whose time limit is the context's
// deadline.
func (o *Owner) submit(ctx context.Context, spec *workload.Job, q workload.Queue) reply {
	deadline, _ := ctx.Deadline() // zero if there is none
	return o.submitBefore(ctx, spec, q, deadline)
}

// submitBefore accepts a job, unless it is new and refuse refuses it, and answers once
// it is durable. It sets the time of submission in spec if there is none. deadline is
// the end of the caller's time limit, zero if unknown; the context of a forwarded
// request ends sooner, with this attempt.
func (o *Owner) submitBefore(ctx context.Context, spec *workload.Job, q workload.Queue, deadline time.Time) reply {
	return o.runOnLoop(ctx, func(answer chan reply) {
		if o.state.JobStored(spec.ID) || o.state.JobUnreadable(spec.ID) {
			answer <- reply{Result: ResultDone}
			return
		}
		if !o.state.HasJob(spec.ID) {
			if r, refused := o.refuse(spec, q, deadline); refused {
				answer <- r
				return
			}
		}
		event.JobReceived.Log(o.opts.Log, slog.Any("job", spec.ID), slog.Any("queue", q.Name), slog.Any("steps", len(spec.Steps)))
		if spec.Submitted == 0 {
			spec.Submitted = time.Now().UnixMilli()
		}
		o.state.Accept(time.Now(), time.Now().UnixMilli(), spec, q)
		o.awaitDurable(spec.ID, waiter{answer, deadline})
	})
}

// cancel cancels a job and answers once the cancellation is durable.
func (o *Owner) cancel(ctx context.Context, id string) reply {
	return o.runOnLoop(ctx, func(answer chan reply) {
		if !o.state.Cancel(time.Now(), id) {
			answer <- o.answerUnknownJob(id)
			return
		}
		event.JobCancelled.Log(o.opts.Log, slog.Any("job", id))
		if o.state.JobFlushed(id) {
			answer <- reply{Result: ResultDone}
			return
		}
		o.awaitDurable(id, waiter{answer: answer})
	})
}

// awaitDurable makes the job's latest change urgent, and sends a reply once that
// change is durable.
func (o *Owner) awaitDurable(id string, w waiter) {
	o.waiters[id] = append(o.waiters[id], w)
	o.state.MarkUrgent(id)
}

// jobState returns a job's state and, if it has failed, the reason.
func (o *Owner) jobState(ctx context.Context, id string) reply {
	return o.runOnLoop(ctx, func(answer chan reply) {
		state, ok := o.state.JobState(id)
		if !ok {
			answer <- o.answerUnknownJob(id)
			return
		}
		r := reply{Result: ResultDone, State: state}
		if state == workload.Failed {
			r.Reason = o.state.FailureReason(id)
		}
		answer <- r
	})
}

// answerUnknownJob returns the reply for a job that this owner doesn't know. If
// its last commit is old, another owner may have taken over and accepted the
// job, so the request is refused. So is one for a job whose rows can't be decoded: it
// exists.
func (o *Owner) answerUnknownJob(id string) reply {
	if o.state.JobUnreadable(id) {
		return refusal(minRetryAfter)
	}
	if age := o.commitAge(); age > election.StaleAfter {
		event.UnknownJobRefused.Log(o.opts.Log, slog.String("job", id), slog.Int64("commit_age_ms", age.Milliseconds()))
		return refusal(minRetryAfter)
	}
	return reply{Result: ResultNotFound}
}

// pending returns the number of a queue's jobs that haven't started.
func (o *Owner) pending(ctx context.Context, queue string) reply {
	return o.runOnLoop(ctx, func(answer chan reply) {
		answer <- reply{Result: ResultDone, Count: o.state.PendingJobs(queue)}
	})
}

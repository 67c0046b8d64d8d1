package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/workload"
)

// minRetryAfter and maxRetryAfter bound the retry delays of callers that are refused for
// reasons other than lack of capacity. In an outage of the table service up to half of
// the delay is added, see retryAfterOutage.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Causes of refusals in metrics.
const (
	// refusedCapacity: the owner refused the job for lack of capacity.
	refusedCapacity = "capacity"
	// refusedSummary: another host refused it by the owner's last summary.
	refusedSummary = "capacity_summary"
	// refusedClosed: all availability zones with workers of its pool are closed.
	refusedClosed = "zones_closed"
	// refusedOutage: the table service is unavailable.
	refusedOutage = "store_unavailable"
	// refusedMemory: the owner has no memory for the job.
	refusedMemory = "owner_memory"
	// refusedSize: the job's row is larger than a row may be.
	refusedSize = "job_size"
	// refusedStarts: too many task starts are waiting.
	refusedStarts = "start_backlog"
)

// refuse returns the reply to a new job that is refused: while the table service is
// unavailable, if this host has no memory for its state or the store no row for it, if all availability zones with its workers are closed, if it would expire
// before there is capacity for it, or if too many task starts are waiting. It returns
// false if the job may be accepted. deadline is the end of the caller's time limit, zero
// if unknown.
func (o *Owner) refuse(spec *workload.Job, q workload.Queue, deadline time.Time) (reply, bool) {
	if lasted, unavailable := o.storeUnavailable(); unavailable {
		retryAfter := retryAfterOutage(lasted, spec.ID, timeLeft(time.Now(), deadline))
		o.opts.Metrics.refused(q.Name, refusedOutage)
		event.StoreUnavailable.Log(o.opts.Log, slog.String("job", spec.ID), slog.Int64("retry_after_ms", retryAfter.Milliseconds()))
		return refusal(retryAfter), true
	}
	if r, refused := o.refuseForMemory(spec, q); refused {
		return r, true
	}
	if err := dispatch.CheckSize(spec, q, infra.LimitsOf(o.opts.Table)); err != nil {
		o.opts.Metrics.refused(q.Name, refusedSize)
		event.JobTooLarge.Log(o.opts.Log, slog.String("job", spec.ID), slog.Any("err", err))
		return refusal(maxRetryAfter), true
	}
	if !spec.Timed() && o.state.AllClosed(q) {
		o.opts.Metrics.refused(q.Name, refusedClosed)
		event.PoolClosed.Log(o.opts.Log, slog.String("job", spec.ID), slog.String("queue", q.Name))
		return refusal(maxRetryAfter), true
	}
	if r, refused := o.refuseForCapacity(spec, q); refused {
		return r, true
	}
	now := time.Now()
	tasksAhead := o.state.TasksAhead(now, spec, q)
	if retryAfter, refuse := o.backlog.Refuse(tasksAhead, o.state.OnTimeWait(now, now.UnixMilli(), spec, q)); refuse {
		o.opts.Metrics.refused(q.Name, refusedStarts)
		event.StartBacklogFull.Log(o.opts.Log, slog.String("job", spec.ID), slog.Int("starts_before", tasksAhead), slog.Int64("retry_after_ms", retryAfter.Milliseconds()))
		return refusal(retryAfter), true
	}
	return reply{}, false
}

// Jobs whose state needs more than smallJobBytes may not use the last quarter of the
// memory for the state of jobs. So ordinary jobs find room beside a few huge ones. Neither may the
// jobs of one queue, so that those of others find room beside them.
const smallJobBytes = 64 << 10

// refuseForMemory returns the reply to a new job that is refused since this host has no
// memory for its state, and false for one that isn't.
func (o *Owner) refuseForMemory(spec *workload.Job, q workload.Queue) (reply, bool) {
	limit := o.opts.StateBytes
	if limit == 0 {
		return reply{}, false
	}
	held, needed := o.state.HeldBytes(), dispatch.JobBytes(spec)
	reserve := limit / 4
	if needed > smallJobBytes {
		limit -= reserve
	}
	queueFull := len(o.config.Queues) > 1 && o.state.HeldBytesOf(q.Name)+needed > o.opts.StateBytes-reserve
	if held+needed <= limit && !queueFull {
		return reply{}, false
	}
	o.opts.Metrics.refused(q.Name, refusedMemory)
	event.OwnerMemoryFull.Log(o.opts.Log, slog.String("job", spec.ID), slog.Int64("held_bytes", held), slog.Int64("job_bytes", needed))
	return refusal(maxRetryAfter), true
}

// refusal returns the reply to a refused caller that may return after a delay.
func refusal(retryAfter time.Duration) reply {
	return reply{Result: ResultRefused, RetryAfterMS: retryAfter.Milliseconds()}
}

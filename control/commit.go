package control

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/event"
)

// flush commits changed state, one batch at a time: immediately if a caller
// waits, urgent changes after flushDelay, all others after a further half of the
// poll interval. The owner's row is committed at least every heartbeatInterval.
func (o *Owner) flush(now time.Time) {
	if o.committing || o.resigning {
		return
	}
	if !o.state.HasUnflushedChanges() {
		o.dirtySince = time.Time{}
	} else if o.dirtySince.IsZero() {
		o.dirtySince = now
	}
	heartbeatDue := now.Sub(o.lastCommit) >= heartbeatInterval
	flushAll := !o.dirtySince.IsZero() && now.Sub(o.dirtySince) >= flushDelay+o.traffic.PollInterval(now)/2
	flushUrgent := now.Sub(o.lastCommit) >= flushDelay && o.state.HasUrgentChanges()
	if !heartbeatDue && !flushAll && !flushUrgent && len(o.waiters) == 0 {
		return
	}
	collect := o.state.FlushUrgent
	if flushAll {
		collect, o.dirtySince = o.state.Flush, time.Time{}
	}
	b, err := collect(now, maxBatchWrites)
	if err != nil {
		panic("control: can't encode state: " + err.Error())
	}
	if len(b.Writes) == 0 && !heartbeatDue {
		o.state.MarkFlushed(b)
		return
	}
	o.committing = true
	o.lastCommit = now
	go o.commit(b)
}

// commit writes a batch and posts the outcome to the loop. If the batch can't
// be applied any more, the owner has been deposed and quits.
func (o *Owner) commit(b *dispatch.Batch) {
	start := boottime()
	best, _ := o.candidates.Strongest(start)
	o.committer.SetCores(max(best, o.opts.Cores))
	err := o.committer.Commit(o.ctx, b.Writes)
	o.opts.Metrics.commit(err, boottime()-start)
	if err != nil {
		o.quit(errors.Wrap(err, "commit"))
		return
	}
	o.recordCommit(start)
	o.post(func() {
		o.committing = false
		o.state.MarkFlushed(b)
		o.notifyDurable()
		if f := o.afterCommit; f != nil {
			o.afterCommit = nil
			f()
		}
	})
}

// recordCommit records an applied commit that was started at the boottime
// start.
func (o *Owner) recordCommit(start time.Duration) {
	o.committedVersion.Store(o.committer.Version())
	o.committedAt.Store(int64(start))
}

// notifyDurable responds to the waiters of jobs whose changes are durable.
func (o *Owner) notifyDurable() {
	for id := range o.waiters {
		if o.state.JobFlushed(id) {
			event.JobDurable.Log(o.opts.Log, slog.Any("job", id), slog.Any("epoch", o.epoch))
			o.notifyWaiters(id, reply{Result: ResultDone})
		}
	}
}

// notifyWaiters responds to all waiters of a job.
func (o *Owner) notifyWaiters(id string, r reply) {
	for _, c := range o.waiters[id] {
		c <- r
	}
	delete(o.waiters, id)
}

package control

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/event"
)

// flush commits what has changed, one batch at a time: what somebody waits for
// at once, what is urgent otherwise after flushDelay, the rest after longer if
// workers report late anyway, and at least something every heartbeat.
func (o *Owner) flush(now time.Time) {
	if o.committing || o.resigning {
		return
	}
	if !o.state.HasUnflushedChanges() {
		o.dirtySince = time.Time{}
	} else if o.dirtySince.IsZero() {
		o.dirtySince = now
	}
	beat := now.Sub(o.lastCommit) >= heartbeat
	all := !o.dirtySince.IsZero() && now.Sub(o.dirtySince) >= flushDelay+o.traffic.PollInterval(now)/2
	urgent := now.Sub(o.lastCommit) >= flushDelay && o.state.HasUrgentChanges()
	if !beat && !all && !urgent && len(o.waiters) == 0 {
		return
	}
	collect := o.state.FlushUrgent
	if all {
		collect, o.dirtySince = o.state.Flush, time.Time{}
	}
	b, err := collect(now, batchWrites)
	if err != nil {
		panic("control: state can't be encoded: " + err.Error())
	}
	if len(b.Writes) == 0 && !beat {
		o.state.MarkFlushed(b)
		return
	}
	o.committing = true
	o.lastCommit = now
	go o.commit(b)
}

// commit writes a batch and posts the outcome. An owner whose commit can't be
// applied any more has been deposed.
func (o *Owner) commit(b *dispatch.Batch) {
	begun := boottime()
	best, _ := o.rivals.Strongest(begun)
	o.committer.SetCores(max(best, o.opts.Cores))
	err := o.committer.Commit(o.ctx, b.Writes)
	o.opts.Metrics.commit(err, boottime()-begun)
	if err != nil {
		o.quit(errors.Wrap(err, "commit"))
		return
	}
	o.prove(begun)
	o.post(func() {
		o.committing = false
		o.state.MarkFlushed(b)
		o.settle()
		if f := o.afterCommit; f != nil {
			o.afterCommit = nil
			f()
		}
	})
}

// prove notes that a commit that was begun then is applied.
func (o *Owner) prove(begun time.Duration) {
	o.provenVersion.Store(o.committer.Version())
	o.provenAt.Store(int64(begun))
}

// settle answers those whose change is durable.
func (o *Owner) settle() {
	for id := range o.waiters {
		if o.state.JobFlushed(id) {
			event.JobDurable.Log(o.opts.Log, slog.Any("job", id), slog.Any("epoch", o.epoch))
			o.tell(id, reply{Result: ResultDone})
		}
	}
}

// tell answers everybody who waits for a job.
func (o *Owner) tell(id string, r reply) {
	for _, c := range o.waiters[id] {
		c <- r
	}
	delete(o.waiters, id)
}

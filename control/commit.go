package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

// flush starts a commit of changed state unless one is in flight. Urgent changes
// are committed at once if a caller waits, else flushDelay after the previous
// commit. All changes are committed once some have existed for flushDelay plus
// half the poll interval. The owner's row, which is part of every commit, is
// committed at least every heartbeatInterval, and at once if the state awaits a
// confirmation of the ownership or the owner has to verify it.
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
	rowDue := heartbeatDue || o.state.AwaitsConfirmation() || o.unverified() || o.refused()
	if !rowDue && !flushAll && !flushUrgent && len(o.waiters) == 0 {
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
	if len(b.Writes) == 0 && !b.RosterEpochs && !b.UnleasedChanged && !rowDue {
		o.state.MarkFlushed(b)
		return
	}
	o.committing = true
	o.lastCommit = now
	go o.commit(b)
}

// commit writes a batch together with the owner's row, in which it updates the
// numbers of processors and hosts. Once the batch is durable, the loop marks it as flushed,
// replies to waiters and runs afterCommit. If the commit fails, as it does when
// the owner has been deposed, the owner quits. If the table service counts as
// unavailable meanwhile, the loop withdraws submissions at once rather than in its next
// cycle, which may be 0.1 s away: hosts that forwarded them wait only until
// forwardTimeout.
func (o *Owner) commit(b *dispatch.Batch) {
	outage := time.AfterFunc(storeUnavailableAfter, func() { o.post(o.withdrawInOutage) })
	defer outage.Stop()
	start, began := boottime(), time.Now()
	best, _ := o.candidates.Strongest(start)
	hosts := 1 + len(o.candidates.RelayHosts(start))
	o.committer.SetHosts(election.ReferenceCores(o.opts.Cores, best, o.inheritedReference, start-o.ownedSince),
		election.ReferenceHosts(hosts, o.inheritedHosts, start-o.ownedSince))
	err := o.commitBatch(o.ctx, b, began)
	o.opts.Metrics.commit(err, boottime()-start)
	if err != nil {
		o.quit(errors.Wrap(err, "commit"))
		return
	}
	if b.RosterEpochs {
		o.epochsDurable.Store(true)
	}
	o.recordCommit(start)
	o.post(func() {
		o.endOutage(true)
		o.committing = false
		o.state.ConfirmOwnership(began)
		o.state.MarkFlushed(b)
		o.notifyDurable()
		if f := o.afterCommit; f != nil {
			o.afterCommit = nil
			f()
		}
	})
}

// commitBatch writes a batch together with the owner's row in a commit that began at a time.
func (o *Owner) commitBatch(ctx context.Context, b *dispatch.Batch, began time.Time) error {
	o.earlier.WorkersRemoved(b.RemovedWorkers())
	o.committer.SetEarlier(o.earlier.List(boottime()))
	o.committer.SetUnleased(unleasedIn(b, began))
	if b.RosterChanged {
		o.committer.MarkRosterChanged()
	}
	if b.RosterEpochs {
		return o.committer.CommitRosterEpochs(ctx, b.Writes)
	}
	return o.committer.Commit(ctx, b.Writes)
}

// unleasedIn returns the workers that the row of a commit names as those that get no leases.
func unleasedIn(b *dispatch.Batch, began time.Time) []election.UnleasedWorker {
	var workers []election.UnleasedWorker
	for _, u := range b.Unleased {
		workers = append(workers, election.NewUnleasedWorker(u.Worker, u.LeaseEnd.Sub(began)))
	}
	return workers
}

// recordCommit records the version of the owner's row after an applied commit,
// and the boottime start at which that commit began.
func (o *Owner) recordCommit(start time.Duration) {
	// A host that learns of the version must not take it for older than it is.
	o.committedAt.Store(int64(start))
	o.committedVersion.Store(o.committer.Version())
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
	for _, w := range o.waiters[id] {
		w.answer <- r
	}
	delete(o.waiters, id)
}

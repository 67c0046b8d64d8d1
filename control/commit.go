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
	parts, err := o.commitParts(o.ctx, b, began)
	o.opts.Metrics.commit(err, boottime()-start)
	if err != nil {
		o.quit(errors.Wrap(err, "commit"))
		return
	}
	if parts.rosterEpochs {
		o.epochsDurable.Store(true)
	}
	o.recordCommit(start)
	o.post(func() {
		o.endOutage(true)
		o.committing = false
		o.state.ConfirmOwnership(began)
		o.handleCommitted(parts)
		if f := o.afterCommit; f != nil {
			o.afterCommit = nil
			f()
		}
	})
}

// handleCommitted marks the applied parts of a batch as durable and sets aside those that the
// table service rejects for good.
func (o *Owner) handleCommitted(p committedParts) {
	for _, b := range p.applied {
		if b.Unlisted > 0 {
			event.RosterFull.Log(o.opts.Log, slog.Int("workers", b.Unlisted))
		}
		o.state.MarkFlushed(b)
	}
	for _, r := range p.rejected {
		keys, largest := r.batch.Keys()
		event.RowsRejected.Log(o.opts.Log, slog.Any("keys", keys), slog.Int("largest_bytes", largest), slog.Any("err", r.err))
		o.opts.Metrics.rowsRejected.Add(float64(len(keys)))
		if id := o.state.SetAside(time.Now(), r.batch); id != "" {
			o.notifyWaiters(id, refusal(maxRetryAfter))
		}
	}
	if p.unclaimed {
		o.state.UnclaimRosterEpochs()
	}
	o.notifyDurable()
}

// committedParts are the parts of a batch after its commit.
type committedParts struct {
	applied []*dispatch.Batch
	// rejected holds the parts that the table service will never apply.
	rejected []rejectedBatch
	// rosterEpochs is set if the owner's row now says that the roster tells the epochs,
	// unclaimed if the batch was to say so and the row doesn't.
	rosterEpochs, unclaimed bool
}

// rejectedBatch is a batch with the answer of the table service.
type rejectedBatch struct {
	batch *dispatch.Batch
	err   error
}

// commitParts commits a batch that began at a time. If the table service rejects it for good, it
// commits its halves, and so on until only the parts are left that are rejected by themselves.
func (o *Owner) commitParts(ctx context.Context, b *dispatch.Batch, began time.Time) (done committedParts, err error) {
	claims := b.RosterEpochs
	waiting := []*dispatch.Batch{b}
	for len(waiting) > 0 {
		part := waiting[0]
		waiting = waiting[1:]
		if len(done.rejected) > 0 {
			part.Withhold()
		}
		err := o.commitBatch(ctx, part, began)
		switch {
		case err == nil:
			done.applied = append(done.applied, part)
			done.rosterEpochs = done.rosterEpochs || part.RosterEpochs
		case !errors.Is(err, election.ErrRejected) || len(part.Writes) == 0:
			return done, err
		case part.Divisible():
			first, second := part.Split()
			waiting = append([]*dispatch.Batch{first, second}, waiting...)
		default:
			done.rejected = append(done.rejected, rejectedBatch{part, err})
		}
	}
	done.unclaimed = claims && !done.rosterEpochs
	return done, nil
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

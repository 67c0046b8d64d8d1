package journal

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
)

// attemptResult is the result of one commit attempt.
type attemptResult struct {
	result         infra.CommitResult
	commitDuration time.Duration
	// rowRead is set if the reply was lost and own, the journal's row, was read.
	rowRead bool
	own     infra.Row
}

// Run commits entries until ctx ends. Entries not sent by then fail as not
// applied; those in flight get the result of their attempt.
func (j *Journal) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		j.step(ctx)
		timer.Reset(j.waitTime())
		select {
		case <-ctx.Done():
			j.stop()
			return
		case a := <-j.results:
			j.handleResult(a)
		case <-j.wake:
		case <-timer.C:
		}
	}
}

// waitTime returns how long Run may wait for the next step.
func (j *Journal) waitTime() time.Duration {
	const idle = 50 * time.Millisecond
	now := j.config.Now()
	wait := idle
	if at := j.due(); at.After(now) {
		wait = min(wait, at.Sub(now))
	}
	return wait
}

const (
	// intervalFactor times the duration of the last transaction is the interval between
	// transactions that are neither urgent nor full, so that a slow table gets
	// larger batches.
	intervalFactor = 4
	// minInterval and maxInterval bound that interval.
	minInterval = 100 * time.Millisecond
	maxInterval = 250 * time.Millisecond
)

// due returns the earliest time for the next attempt.
func (j *Journal) due() time.Time {
	j.mu.Lock()
	immediate := len(j.queue.urgent) > 0 || j.queue.full()
	gap := j.config.Settings.CommitDelay.D()
	j.mu.Unlock()
	if !immediate && j.inFlight == nil {
		gap = max(gap, minInterval, min(j.commitDuration*intervalFactor, maxInterval))
	}
	at := j.started.Add(gap)
	if j.retryAt.After(at) {
		return j.retryAt
	}
	return at
}

// step fails expired entries and starts the next attempt if one is due.
func (j *Journal) step(ctx context.Context) {
	now := j.config.Now()
	j.expire(now)
	if j.attempting || now.Before(j.due()) {
		return
	}
	if j.inFlight == nil && len(j.divided) > 0 {
		j.inFlight, j.divided = j.divided[0], j.divided[1:]
	}
	if j.inFlight == nil {
		j.inFlight = j.nextGroup()
	}
	if j.inFlight == nil {
		return
	}
	j.started = now
	j.attempting = true
	go j.attempt(ctx, j.inFlight, j.number+1, j.version)
}

// nextGroup removes the next group from the queue; nil if the queue is empty.
func (j *Journal) nextGroup() *group {
	j.mu.Lock()
	defer j.mu.Unlock()
	g := j.queue.next()
	j.metrics.queue.Set(float64(j.queue.len()))
	return g
}

// expire fails the expired entries that have had no effect: those in the queue,
// and those of a group that waits for a retry and certainly wasn't applied.
func (j *Journal) expire(now time.Time) {
	j.mu.Lock()
	late := j.queue.expire(now)
	j.mu.Unlock()
	if g := j.inFlight; g != nil && !j.attempting && !g.maybeApplied {
		g.entries = removeExpired(g.entries, now, func(e *Entry) { late = append(late, e) })
		j.regroup()
	}
	finish(late, infra.CommitResult{Status: infra.CommitNotApplied})
}

// regroup rebuilds the group in flight after entries were removed from it.
func (j *Journal) regroup() {
	g := groupOf(j.inFlight.entries)
	g.maybeApplied = j.inFlight.maybeApplied
	j.inFlight = g
	if len(g.entries) == 0 {
		j.inFlight = nil
	}
}

// groupOf returns a group of entries that were in one group before.
func groupOf(entries []*Entry) *group {
	g := newGroup()
	for _, e := range entries {
		g.add(e, math.MaxInt, unlimited)
	}
	return g
}

// attempt sends the group as commit number n and, if the reply is lost, reads the
// journal's row. It runs on its own goroutine.
func (j *Journal) attempt(ctx context.Context, g *group, n, version uint64) {
	tx := g.transaction(infra.Condition{Key: j.key, Version: version}, infra.Write{Key: j.key, Value: encodeNumber(n)})
	begin := j.config.Now()
	limited, cancel := context.WithTimeout(ctx, j.config.Timeout)
	a := attemptResult{result: j.config.Table.Commit(limited, tx)}
	cancel()
	a.commitDuration = j.config.Now().Sub(begin)
	j.metrics.latency.Observe(a.commitDuration.Seconds())
	j.metrics.rows.Observe(float64(len(tx.Writes)))
	if a.result.Status == infra.CommitUnknown && !j.skipRowRead {
		limited, cancel = context.WithTimeout(ctx, j.config.Timeout)
		rows, err := j.config.Table.Get(limited, j.key)
		cancel()
		if err == nil && len(rows) == 1 {
			a.rowRead, a.own = true, rows[0]
		}
	}
	j.results <- a
}

// handleResult handles the result of the attempt in flight.
func (j *Journal) handleResult(a attemptResult) {
	j.attempting = false
	j.commitDuration = a.commitDuration
	j.retryAt = time.Time{}
	j.metrics.commits.WithLabelValues(statusName(a.result.Status)).Inc()
	switch a.result.Status {
	case infra.CommitApplied:
		j.applied(a.result)
	case infra.CommitConflict:
		j.conflicted(a.result)
	case infra.CommitNotApplied:
		j.scheduleRetry()
	case infra.CommitRejected:
		j.rejected(a.result)
	default:
		j.handleUnknown(a)
	}
}

// applied reports the result to the entries of the group in flight.
func (j *Journal) applied(r infra.CommitResult) {
	g := j.inFlight
	j.inFlight = nil
	j.number++
	j.version = r.Version
	j.recovered()
	finish(g.entries, r)
}

// handleUnknown handles an attempt whose reply was lost. The attempt was applied if
// the journal's row holds its number. Otherwise it may still arrive, so the retry uses
// the same number and the same condition on the row: at most one attempt applies.
func (j *Journal) handleUnknown(a attemptResult) {
	j.inFlight.maybeApplied = !j.skipRowRead
	if a.rowRead && decodeNumber(a.own.Value) == j.number+1 {
		event.JournalResolved.Log(j.config.Log, slog.Uint64("number", j.number+1))
		j.applied(infra.CommitResult{Status: infra.CommitApplied, Version: a.own.Version})
		return
	}
	j.scheduleRetry()
}

// conflicted fails the entries whose conditions did not hold and retries the rest
// at once.
func (j *Journal) conflicted(r infra.CommitResult) {
	failed := map[string]infra.Row{}
	for _, row := range r.Conflicts {
		failed[row.Key] = row
	}
	if own, ok := failed[j.key]; ok {
		j.ownConflict(own)
		return
	}
	j.recovered()
	j.inFlight.maybeApplied = false
	before := len(j.inFlight.entries)
	kept := j.inFlight.entries[:0:0]
	for _, e := range j.inFlight.entries {
		if rows := conflictsOf(e, failed); rows != nil {
			e.Done(infra.CommitResult{Status: infra.CommitConflict, Conflicts: rows})
			continue
		}
		kept = append(kept, e)
	}
	j.inFlight.entries = kept
	if len(kept) == before {
		event.JournalInvalidConflict.Log(j.config.Log)
		finish(kept, infra.CommitResult{Status: infra.CommitNotApplied})
		j.inFlight.entries = nil
	}
	j.regroup()
	j.started = time.Time{}
}

// rejected handles a group that the table service will never apply. It divides the group, so that
// only the entries fail that are rejected by themselves.
func (j *Journal) rejected(r infra.CommitResult) {
	g := j.inFlight
	j.inFlight = nil
	j.recovered()
	j.started = time.Time{}
	if len(g.entries) == 1 {
		e := g.entries[0]
		event.JournalRejected.Log(j.config.Log, slog.Any("keys", e.keys()), slog.Int("bytes", e.size()), slog.String("answer", r.Reason))
		e.Done(infra.CommitResult{Status: infra.CommitNotApplied})
		return
	}
	middle := len(g.entries) / 2
	j.divided = append([]*group{groupOf(g.entries[:middle]), groupOf(g.entries[middle:])}, j.divided...)
}

// ownConflict handles an unexpected version of the journal's row: either an earlier
// attempt of the same commit was applied late, or the row hasn't been read yet.
func (j *Journal) ownConflict(own infra.Row) {
	if decodeNumber(own.Value) == j.number+1 && j.inFlight.maybeApplied {
		j.applied(infra.CommitResult{Status: infra.CommitApplied, Version: own.Version})
		return
	}
	j.number = decodeNumber(own.Value)
	j.version = own.Version
}

// scheduleRetry schedules the next attempt with exponential backoff.
func (j *Journal) scheduleRetry() {
	if !j.stalled {
		j.stalled = true
		event.JournalStalled.Log(j.config.Log)
	}
	j.mu.Lock()
	j.queue.failed()
	j.mu.Unlock()
	wait := j.backoff.NextBackOff()
	if wait == backoff.Stop {
		wait = maxBackoff
	}
	j.retryAt = j.config.Now().Add(wait)
}

// recovered resets the backoff and raises the row limit after a reply.
func (j *Journal) recovered() {
	j.backoff.Reset()
	j.mu.Lock()
	j.queue.succeeded()
	j.mu.Unlock()
	if j.stalled {
		j.stalled = false
		event.JournalResumed.Log(j.config.Log)
	}
}

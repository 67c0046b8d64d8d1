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

// answer is what an attempt brought.
type answer struct {
	result infra.CommitResult
	took   time.Duration
	// settled is set when a lost answer was settled by reading own.
	settled bool
	own     infra.Row
}

// Run commits until ctx ends. Entries that were not sent by then fail as not
// applied; those in flight get what their attempt brought.
func (j *Journal) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		j.step(ctx)
		timer.Reset(j.pause())
		select {
		case <-ctx.Done():
			j.stop()
			return
		case a := <-j.answers:
			j.take(a)
		case <-j.wake:
		case <-timer.C:
		}
	}
}

// pause returns how long nothing needs to be done.
func (j *Journal) pause() time.Duration {
	const idle = 50 * time.Millisecond
	now := j.config.Now()
	wait := idle
	if at := j.due(); at.After(now) {
		wait = min(wait, at.Sub(now))
	}
	return wait
}

const (
	// pace is how many times the last transaction's duration lies between two
	// transactions that are neither urgent nor full: the longer the table takes, the
	// more goes into each.
	pace = 4
	// shortestPace and longestPace bound that time.
	shortestPace = 100 * time.Millisecond
	longestPace  = 250 * time.Millisecond
)

// due returns when the next attempt may be sent.
func (j *Journal) due() time.Time {
	j.mu.Lock()
	hurry := len(j.queue.urgent) > 0 || j.queue.full()
	gap := j.config.Settings.CommitDelay.D()
	j.mu.Unlock()
	if !hurry && j.inFlight == nil {
		gap = max(gap, shortestPace, min(j.took*pace, longestPace))
	}
	at := j.started.Add(gap)
	if j.retryAt.After(at) {
		return j.retryAt
	}
	return at
}

// step fails late entries and sends the next attempt if one may go.
func (j *Journal) step(ctx context.Context) {
	now := j.config.Now()
	j.expire(now)
	if j.out || now.Before(j.due()) {
		return
	}
	if j.inFlight == nil {
		j.inFlight = j.nextGroup()
	}
	if j.inFlight == nil {
		return
	}
	j.started = now
	j.out = true
	go j.attempt(ctx, j.inFlight, j.number+1, j.version)
}

// nextGroup takes the next group off the queue.
func (j *Journal) nextGroup() *group {
	j.mu.Lock()
	defer j.mu.Unlock()
	g := j.queue.next()
	j.metrics.queue.Set(float64(j.queue.len()))
	return g
}

// expire fails the entries whose deadline passed before they were sent, and
// those of a group that the table refused and that surely had no effect.
func (j *Journal) expire(now time.Time) {
	j.mu.Lock()
	late := j.queue.expire(now)
	j.mu.Unlock()
	if g := j.inFlight; g != nil && !j.out && !g.tainted {
		g.entries = split(g.entries, now, func(e *Entry) { late = append(late, e) })
		j.regroup()
	}
	finish(late, infra.CommitResult{Status: infra.CommitNotApplied})
}

// regroup forms the group in flight anew after entries left it.
func (j *Journal) regroup() {
	g := newGroup()
	for _, e := range j.inFlight.entries {
		g.add(e, math.MaxInt, math.MaxInt)
	}
	g.tainted = j.inFlight.tainted
	j.inFlight = g
	if len(g.entries) == 0 {
		j.inFlight = nil
	}
}

// attempt sends the group as commit number n and, if the answer is lost, reads
// the journal's row. It runs on its own goroutine.
func (j *Journal) attempt(ctx context.Context, g *group, n, version uint64) {
	tx := g.transaction(infra.Condition{Key: j.key, Version: version}, infra.Write{Key: j.key, Value: encodeNumber(n)})
	begin := j.config.Now()
	limited, cancel := context.WithTimeout(ctx, j.config.Timeout)
	a := answer{result: j.config.Table.Commit(limited, tx)}
	cancel()
	a.took = j.config.Now().Sub(begin)
	j.metrics.latency.Observe(a.took.Seconds())
	j.metrics.rows.Observe(float64(len(tx.Writes)))
	if a.result.Status == infra.CommitUnknown && !j.blind {
		limited, cancel = context.WithTimeout(ctx, j.config.Timeout)
		rows, err := j.config.Table.Get(limited, j.key)
		cancel()
		if err == nil && len(rows) == 1 {
			a.settled, a.own = true, rows[0]
		}
	}
	j.answers <- a
}

// take handles the answer to the attempt that was out.
func (j *Journal) take(a answer) {
	j.out = false
	j.took = a.took
	j.retryAt = time.Time{}
	j.metrics.commits.WithLabelValues(statusName(a.result.Status)).Inc()
	switch a.result.Status {
	case infra.CommitApplied:
		j.applied(a.result)
	case infra.CommitConflict:
		j.conflicted(a.result)
	case infra.CommitNotApplied:
		j.delay()
	default:
		j.lost(a)
	}
}

// applied finishes the group.
func (j *Journal) applied(r infra.CommitResult) {
	g := j.inFlight
	j.inFlight = nil
	j.number++
	j.version = r.Version
	j.recovered()
	finish(g.entries, r)
}

// lost settles an attempt whose answer did not come. Its number in the row
// means that it took effect. If not, it may still arrive late: the same
// number is tried again under the same condition on the row, so that at most
// one of the attempts takes effect.
func (j *Journal) lost(a answer) {
	j.inFlight.tainted = !j.blind
	if a.settled && decodeNumber(a.own.Value) == j.number+1 {
		event.JournalResolved.Log(j.config.Log, slog.Uint64("number", j.number+1))
		j.applied(infra.CommitResult{Status: infra.CommitApplied, Version: a.own.Version})
		return
	}
	j.delay()
}

// conflicted fails the entries whose conditions did not hold; the rest go
// again at once.
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
	j.inFlight.tainted = false
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

// ownConflict handles a journal row other than expected: an earlier attempt of
// this very commit took effect late, or nothing is known of the row yet.
func (j *Journal) ownConflict(own infra.Row) {
	if decodeNumber(own.Value) == j.number+1 && j.inFlight.tainted {
		j.applied(infra.CommitResult{Status: infra.CommitApplied, Version: own.Version})
		return
	}
	j.number = decodeNumber(own.Value)
	j.version = own.Version
}

// delay backs off before the next attempt.
func (j *Journal) delay() {
	if !j.stalled {
		j.stalled = true
		event.JournalStalled.Log(j.config.Log)
	}
	j.mu.Lock()
	j.queue.failed()
	j.mu.Unlock()
	wait := j.backoff.NextBackOff()
	if wait == backoff.Stop {
		wait = largestBackoff
	}
	j.retryAt = j.config.Now().Add(wait)
}

// recovered notes that the table answers.
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

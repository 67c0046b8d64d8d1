package election

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// attempt is the result of one attempt of a commit.
type attempt struct {
	result infra.CommitResult
	// took is the time from its start to its result.
	took time.Duration
	// failedFast is set if the attempt ended before its timeout.
	failedFast bool
}

// attempts makes the attempts of one commit. An earlier attempt goes on when another
// one starts: all have the same writes and a condition on the owner's row, so at most
// one of them applies, and any of them may bring the answer.
type attempts struct {
	ctx    context.Context
	cancel context.CancelFunc
	table  infra.Table
	writes []infra.Write
	// results receives the results. It never blocks a sender.
	results chan attempt
	// pending counts the attempts whose result next has not returned.
	pending int
	// interval is the time between two attempts.
	interval time.Duration
	// repeatAt is when another attempt is due if no result has settled the commit.
	repeatAt time.Time
	// effort counts the attempts.
	effort Effort
}

// maxAttemptsPending bounds the attempts in flight: those of attemptTimeout, of which
// each follows repeatInterval or more after the one before.
const maxAttemptsPending = int(attemptTimeout/repeatInterval) + 1

// newAttempts returns the attempts of a commit of writes, which follow each other at an
// interval of at least repeatInterval. cancel must be called at the end of the commit.
func newAttempts(ctx context.Context, table infra.Table, writes []infra.Write, interval time.Duration) *attempts {
	ctx, cancel := context.WithCancel(ctx)
	return &attempts{
		ctx: ctx, cancel: cancel, table: table, writes: writes, interval: interval,
		results: make(chan attempt, maxAttemptsPending),
	}
}

// start begins another attempt, on the condition that the owner's row has a version,
// unless maxAttemptsPending are in flight. The next one is due after the interval.
func (t *attempts) start(version uint64) {
	t.repeatAt = time.Now().Add(t.interval)
	if t.pending == maxAttemptsPending {
		return
	}
	t.pending++
	t.effort.Attempts++
	tx := infra.Transaction{Conditions: []infra.Condition{{Key: OwnerKey, Version: version}}, Writes: t.writes}
	begun := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, attemptTimeout)
		defer cancel()
		res := t.table.Commit(ctx, tx)
		t.results <- attempt{result: res, took: time.Since(begun), failedFast: ctx.Err() == nil}
	}()
}

// next returns the next result, or false when another attempt is due or the context has
// ended. A result doesn't postpone the next attempt: on a silent table, attempts time out
// at the interval at which they are made.
func (t *attempts) next() (attempt, bool) {
	timer := time.NewTimer(time.Until(t.repeatAt))
	defer timer.Stop()
	select {
	case a := <-t.results:
		t.pending--
		t.effort.count(a.result.Status)
		return a, true
	case <-timer.C:
	case <-t.ctx.Done():
	}
	return attempt{}, false
}

package election

import (
	"context"
	"time"

	"github.com/fireflygate/fireflygate/infra"
)

// attempt is the result of one attempt of a commit, or of a read of the owner's row
// while the commit isn't answered.
type attempt struct {
	result infra.CommitResult
	// took is the time from its start to its result.
	took time.Duration
	// failedFast is set if the attempt ended before its timeout.
	failedFast bool
	// read is set for a read. Its result is a conflict if the row has changed.
	read bool
	// answered is set if the table service answered.
	answered bool
	// clock is what the answer tells of the table service's clock.
	clock clockReading
}

// attempts makes the attempts of one commit. An earlier attempt goes on when another
// one starts: all have the same writes and a condition on the owner's row, so at most
// one of them applies, and any of them may bring the answer. While none does, it reads
// the row, which tells whether one was applied and whether the table service answers.
type attempts struct {
	ctx    context.Context
	cancel context.CancelFunc
	table  infra.Table
	writes []infra.Write
	// version is that of the owner's row on which the last attempt depends.
	version uint64
	// results receives the results. It never blocks a sender.
	results chan attempt
	// pending counts the attempts whose result next has not returned, reading the reads.
	pending, reading int
	// interval is the time between two attempts.
	interval time.Duration
	// startedAt is the start of the last attempt. repeatAt is when another one is due if no
	// result has settled the commit, and readAt when another read is.
	startedAt, repeatAt, readAt time.Time
	// slowestRead is the duration of the slowest read of this commit and of the last read
	// of the commit before it, lastRead that of the last read of this one.
	slowestRead, lastRead time.Duration
	// usual is how long the last attempt of an earlier commit that was applied took.
	usual time.Duration
	// answeredAt is when the table service last answered, first the start of the commit.
	answeredAt time.Time
	// effort counts the attempts.
	effort Effort
	// now returns this host's clock; it may be nil.
	now func() time.Duration
}

const (
	// maxAttemptsPending bounds the attempts in flight: those of attemptTimeout, of which
	// each follows repeatInterval or more after the one before.
	maxAttemptsPending = int(attemptTimeout/repeatInterval) + 1
	// attemptTimeoutFactor times the interval is an attempt's timeout, if that is more
	// than attemptTimeout. As many attempts are in flight at a longer interval.
	attemptTimeoutFactor = int(attemptTimeout / repeatInterval)
	// maxRepeatInterval bounds the interval. It is not above the time for which a table
	// service that loses transactions may delay a commit.
	maxRepeatInterval = attemptTimeout
	// firstReadAfter is the time without an answer to the first attempt after which the
	// row is read, readInterval the time between two reads, and readTimeout bounds one.
	firstReadAfter  = 300 * time.Millisecond
	readInterval    = 500 * time.Millisecond
	readTimeout     = 5 * time.Second
	maxReadsPending = int(readTimeout / readInterval)
)

// newAttempts returns the attempts of a commit of writes, which follow each other at an
// interval of at least repeatInterval. cancel must be called at the end of the commit.
func newAttempts(ctx context.Context, table infra.Table, writes []infra.Write, interval time.Duration) *attempts {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	return &attempts{
		ctx: ctx, cancel: cancel, table: table, writes: writes, interval: interval,
		results: make(chan attempt, maxAttemptsPending+maxReadsPending), readAt: now.Add(firstReadAfter), answeredAt: now,
	}
}

// start begins another attempt, on the condition that the owner's row has a version,
// unless maxAttemptsPending are in flight. The next one is due after the interval.
func (t *attempts) start(version uint64) {
	t.version, t.startedAt = version, time.Now()
	t.repeatAt = t.startedAt.Add(t.interval)
	if t.pending == maxAttemptsPending {
		return
	}
	t.pending++
	t.effort.Attempts++
	tx := infra.Transaction{Conditions: []infra.Condition{{Key: OwnerKey, Version: version}}, Writes: t.writes}
	begun, timeout := time.Now(), max(attemptTimeout, time.Duration(attemptTimeoutFactor)*t.interval)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		var clock clockReading
		if t.now != nil {
			clock.sent = t.now()
		}
		res := t.table.Commit(ctx, tx)
		if t.now != nil {
			clock.shared, clock.received = res.Clock, t.now()
		}
		answered := res.Status == infra.CommitApplied || res.Status == infra.CommitConflict || res.Status == infra.CommitRejected
		t.results <- attempt{result: res, took: time.Since(begun), failedFast: ctx.Err() == nil, answered: answered, clock: clock}
	}()
}

// startRead begins a read of the owner's row, unless maxReadsPending are in flight.
func (t *attempts) startRead() {
	t.readAt = time.Now().Add(readInterval)
	if t.reading == maxReadsPending {
		return
	}
	t.reading++
	begun, version := time.Now(), t.version
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
		defer cancel()
		rows, err := t.table.Get(ctx, OwnerKey)
		a := attempt{took: time.Since(begun), read: true, answered: err == nil}
		if err == nil && len(rows) > 0 && rows[0].Version != version {
			a.result = infra.CommitResult{Status: infra.CommitConflict, Conflicts: rows}
		}
		t.results <- a
	}()
}

// next returns the next result, or false when another attempt is due or the context has
// ended. A result doesn't postpone the next attempt: on a silent table, attempts time out
// at the interval at which they are made.
func (t *attempts) next() (attempt, bool) {
	timer := time.NewTimer(time.Until(t.dueAt()))
	defer timer.Stop()
	for {
		select {
		case a := <-t.results:
			t.record(a)
			return a, true
		case <-timer.C:
		case <-t.ctx.Done():
			return attempt{}, false
		}
		if !time.Now().Before(t.repeatAt) {
			return attempt{}, false
		}
		t.startRead()
		timer.Reset(time.Until(t.dueAt()))
	}
}

// dueAt returns when the next attempt or read is due.
func (t *attempts) dueAt() time.Time {
	if t.readAt.Before(t.repeatAt) {
		return t.readAt
	}
	return t.repeatAt
}

// record counts a result. A slow answer to a read tells how long the attempts may take.
func (t *attempts) record(a attempt) {
	if a.answered {
		t.answeredAt = time.Now()
	}
	if !a.read {
		t.pending--
		t.effort.count(a.result.Status)
		return
	}
	t.reading--
	if a.answered {
		t.adjustInterval(a.took)
	}
}

// recoveredFactor is how many times as fast as the slowest read a read is once a slow table
// service has recovered.
const recoveredFactor = 4

// fastAnswer is the duration of the first read and of the commit before up to which the
// table service is well. An attempt that such a read doesn't tell of is most likely lost.
const fastAnswer = firstReadAfter / 10

// adjustInterval adjusts the interval to the duration of a read. While the table service is
// slow, the attempts may take as long. Once it has recovered, the last attempt is repeated
// soon, since it may have been lost; so is the first one, if the first read is fast.
func (t *attempts) adjustInterval(read time.Duration) {
	first := t.lastRead == 0
	t.lastRead, t.slowestRead = read, max(t.slowestRead, read)
	interval := repeatIntervalAfter(commitReads * read)
	if first && max(read, t.usual) < fastAnswer && t.effort.Attempts == 1 {
		t.repeatAt = time.Now()
		return
	}
	if recoveredFactor*read >= t.slowestRead {
		t.interval = max(t.interval, interval)
		return
	}
	t.interval = interval
	if at := t.startedAt.Add(interval); at.Before(t.repeatAt) {
		t.repeatAt = at
	}
}

package election

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// ErrSilent is returned when the table service has answered nothing for too long. The
// outcome of the commit is unknown.
var ErrSilent = errors.New("election: no answer from the table service")

// ErrRejected is returned when the table service will never apply the writes, for example
// since a value is too large. Nothing was written.
var ErrRejected = errors.New("election: the table service rejects the writes")

// ErrDeposed is returned when another host owns the domain.
var ErrDeposed = errors.New("election: another host owns the domain")

const (
	// repeatInterval is the least time between two attempts of a commit that is not
	// answered. A table service that loses requests is back for at most this long
	// before an attempt reaches it. With increasing delays this took up to 3 s.
	repeatInterval = 700 * time.Millisecond
	// attemptTimeout bounds one attempt. It exceeds repeatInterval, so that the late
	// answer of a slow table service is used.
	attemptTimeout = 3 * time.Second
	// retryDelay is the delay after a refused or immediately failed attempt.
	retryDelay = 100 * time.Millisecond
)

// Committer commits an owner's writes one after another. It is safe for
// concurrent use.
type Committer struct {
	// lock holds a token while a commit is in flight or a field is used. Unlike a
	// sync.Mutex, it may be waited for in virtual time.
	lock    chan struct{}
	table   infra.Table
	record  Record
	version uint64
	// lastDuration is how long the last attempt that was applied took. An outage before
	// it doesn't count, as the next one may be as sudden.
	lastDuration time.Duration
	// lastRead is how long the last read took during the last commit, 0 if there was none.
	lastRead time.Duration
	// effort describes the last commit.
	effort Effort
	// maxSilence is the time without an answer after which a commit is given up, 0 if it
	// isn't.
	maxSilence time.Duration
	// answers tells when the table service last answered.
	answers answers
	// rowBytes is the largest value of a row that the table service takes.
	rowBytes int
	// foundSeq is the sequence number in the owner's row as a conflict last showed it.
	foundSeq uint64
	// clock is its last reading of the table service's clock.
	clock clockReading
	// Now returns this host's clock, which also counts while the host is suspended. Without it
	// the rows tell no time.
	Now func() time.Duration
	// Sleep waits after a refused or immediately failed attempt; tests replace it.
	Sleep func(ctx context.Context, d time.Duration)
}

// NewCommitter returns a Committer for the ownership record, whose row has the
// given version.
func NewCommitter(table infra.Table, record Record, version uint64) *Committer {
	c := &Committer{
		lock: make(chan struct{}, 1), table: table, record: record, version: version, Sleep: sleep,
		rowBytes: infra.LimitsOf(table).RowBytes,
	}
	c.answers.record()
	return c
}

func (c *Committer) unlock() { <-c.lock }

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Record returns the owner's row, including changes not committed yet.
func (c *Committer) Record() Record {
	c.lock <- struct{}{}
	defer c.unlock()
	return c.record
}

// Version returns the version of the owner's row after the last known commit.
func (c *Committer) Version() uint64 {
	c.lock <- struct{}{}
	defer c.unlock()
	return c.version
}

// Effort returns what the last commit took, also if it failed.
func (c *Committer) Effort() Effort {
	c.lock <- struct{}{}
	defer c.unlock()
	return c.effort
}

// AnswerAge returns the time since the table service last answered a commit, or a read
// while a commit was late.
func (c *Committer) AnswerAge() time.Duration { return c.answers.age() }

// SetHosts sets the reference for takeovers and the number of known hosts that later
// commits record.
func (c *Committer) SetHosts(cores float64, hosts int) {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.Cores, c.record.Hosts = cores, hosts
}

// SetEarlier sets the earlier owners that later commits list.
func (c *Committer) SetEarlier(earlier []EarlierOwner) {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.Earlier = earlier
}

// SetUnleased sets the workers that later commits name as those that get no leases.
func (c *Committer) SetUnleased(workers []UnleasedWorker) {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.Unleased = workers
}

// MarkRosterChanged makes later commits record that this owner may have changed which workers
// the roster names.
func (c *Committer) MarkRosterChanged() {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.RosterOf = c.record.Epoch
}

// MarkHandedOver makes later commits record that the owner is handing the
// domain over to a stronger host.
func (c *Committer) MarkHandedOver() {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.HandedOver = true
}

// KeepRosterEpochs makes later commits record the same about the roster as the row of
// the previous owner did. Only an owner that has given no leases may call it.
func (c *Committer) KeepRosterEpochs(previous bool) {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.RosterEpochs = previous
}

// Resign commits that the owner has stopped. Refresh does nothing afterwards.
func (c *Committer) Resign(ctx context.Context) error {
	c.lock <- struct{}{}
	defer c.unlock()
	c.record.Resigned = true
	return c.commit(ctx, nil)
}

// Refresh commits the owner's row alone, unless another commit is in flight or
// the owner has resigned. It reports whether it tried.
func (c *Committer) Refresh(ctx context.Context) (bool, error) {
	select {
	case c.lock <- struct{}{}:
	default:
		return false, nil
	}
	defer c.unlock()
	if c.record.Resigned {
		return false, nil
	}
	return true, c.commit(ctx, nil)
}

// Commit applies writes together with the owner's row and retries until the
// outcome is known. It returns nil if they were applied, ErrDeposed if another
// host owns the domain and they never will be, ErrRejected if the table service will
// never apply them, and the context's error if the outcome is unknown.
func (c *Committer) Commit(ctx context.Context, writes []infra.Write) error {
	c.lock <- struct{}{}
	defer c.unlock()
	return c.commitOrReject(ctx, writes)
}

// commitOrReject is commit, which in addition makes sure of a rejection: an attempt whose
// answer was lost may have been applied, or be applied later. The owner's row, committed
// alone, tells whether one was, and keeps the others from being applied.
func (c *Committer) commitOrReject(ctx context.Context, writes []infra.Write) error {
	rejected := c.commit(ctx, writes)
	if !errors.Is(rejected, ErrRejected) || c.effort.Attempts == 1 || len(writes) == 0 {
		return rejected
	}
	seq := c.record.Seq
	c.foundSeq = 0
	if err := c.commit(ctx, nil); err != nil {
		return err
	}
	if c.foundSeq == seq {
		return nil
	}
	return rejected
}

// CommitRosterEpochs is Commit for writes with which the roster tells in which epochs
// workers got leases. The owner's row says so from then on.
func (c *Committer) CommitRosterEpochs(ctx context.Context, writes []infra.Write) error {
	c.lock <- struct{}{}
	defer c.unlock()
	before := c.record.RosterEpochs
	c.record.RosterEpochs = true
	err := c.commitOrReject(ctx, writes)
	if errors.Is(err, ErrRejected) {
		c.record.RosterEpochs = before
	}
	return err
}

// repeatIntervalAfter returns the time between two attempts of a commit, given how long
// the last attempt that was applied took. A table service that answers slowly executes the transactions
// of an owner one after another, so that each attempt made before the answer to the
// first one could come delays the next commit, which then takes twice as long.
func repeatIntervalAfter(last time.Duration) time.Duration {
	return min(max(repeatInterval, slowCommitFactor*last), maxRepeatInterval)
}

// slowCommitFactor is how many times as long as the commit before an attempt may take
// before it is repeated: more than twice, so that one needless attempt causes no others.
const slowCommitFactor = 3

// commit implements Commit; c.lock must be held.
func (c *Committer) commit(ctx context.Context, writes []infra.Write) error {
	c.record.Seq++
	c.record.Clock = c.latestClock().Milliseconds()
	value, err := c.record.encodeWithin(c.rowBytes)
	if err != nil {
		return err
	}
	tries := newAttempts(ctx, c.table, append([]infra.Write{{Key: OwnerKey, Value: value}}, writes...), repeatIntervalAfter(c.lastDuration))
	defer tries.cancel()
	begun := time.Now()
	tries.slowestRead, tries.usual, tries.now = c.lastRead, c.lastDuration, c.Now
	defer func() {
		c.effort, c.lastRead = tries.effort, tries.lastRead
		c.effort.Took = time.Since(begun)
	}()
	tries.start(c.version)
	for {
		a, ok := tries.next()
		if err := ctx.Err(); err != nil && !ok {
			return errors.Wrap(err, "commit")
		}
		if c.maxSilence > 0 && time.Since(tries.answeredAt) >= c.maxSilence {
			return errors.Wrapf(ErrSilent, "for %v", c.maxSilence)
		}
		if ok {
			if a.answered {
				c.answers.record()
			}
			if a.clock.shared > 0 {
				c.clock = a.clock
			}
			done, err := c.handleAttempt(ctx, a)
			if done || err != nil {
				return err
			}
		}
		if !ok || tries.pending == 0 || a.result.Status == infra.CommitConflict {
			tries.start(c.version)
		}
	}
}

// latestClock returns the latest time that the table service's clock can show now, 0 if that isn't
// known.
func (c *Committer) latestClock() time.Duration {
	if c.Now == nil {
		return 0
	}
	return c.clock.latestAt(c.Now())
}

// ReplacedCommit returns the latest time at which the last commit of the owner can have begun
// whose row this one's has replaced, on this host's clock; false if the rows don't tell.
func (c *Committer) ReplacedCommit(previous *Record) (at time.Duration, known bool) {
	c.lock <- struct{}{}
	defer c.unlock()
	return c.clock.since(time.Duration(previous.Clock) * time.Millisecond)
}

// handleAttempt handles the result of an attempt. It returns true if the commit was
// applied, and an error if it never will be or ctx has ended. After an attempt that
// failed before its timeout it waits for retryDelay.
func (c *Committer) handleAttempt(ctx context.Context, a attempt) (done bool, err error) {
	switch a.result.Status {
	case infra.CommitApplied:
		c.version, c.lastDuration = a.result.Version, a.took
		return true, nil
	case infra.CommitConflict:
		done, err = c.resolveConflict(a.result.Conflicts)
		if done || err != nil {
			return done, err
		}
	case infra.CommitNotApplied:
		c.Sleep(ctx, retryDelay)
	case infra.CommitRejected:
		return false, errors.Wrap(ErrRejected, a.result.Reason)
	case infra.CommitUnknown:
		if a.failedFast { // e.g. connection refused
			c.Sleep(ctx, retryDelay)
		}
	}
	return false, errors.Wrap(ctx.Err(), "commit")
}

// resolveConflict inspects the owner's row among the rows of a conflict. If an
// earlier attempt has applied this commit, it returns true. If the row holds
// this owner's previous commit, whose version was unknown, it returns false and
// the commit can be retried. In both cases it records the row's version. If the
// row belongs to another owner, it returns ErrDeposed.
func (c *Committer) resolveConflict(rows []infra.Row) (applied bool, err error) {
	for _, row := range rows {
		if row.Key != OwnerKey || row.Version == 0 {
			continue
		}
		found, err := Decode(row.Value)
		if err != nil {
			return false, err
		}
		if !found.SameOwnership(&c.record) {
			return false, errors.Wrapf(ErrDeposed, "epoch %d is owned by %s", found.Epoch, found.Host)
		}
		c.version, c.foundSeq = row.Version, found.Seq
		return found.Seq == c.record.Seq, nil
	}
	return false, errors.Wrap(ErrDeposed, "owner row not found")
}

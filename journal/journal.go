package journal

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/settings"
)

// Config configures a Journal. Table, Incarnation and Settings are required.
type Config struct {
	Table infra.Table
	// Incarnation identifies the journal's own row and must be unique among
	// journals.
	Incarnation string
	Settings    settings.Batch
	// Timeout bounds one request to the table; 0 means 2 s.
	Timeout time.Duration
	// MaxQueue is the largest number of queued entries; 0 means 65536.
	MaxQueue int
	Log      *slog.Logger
	// Now is the monotonic clock; nil means time.Now.
	Now func() time.Time
	// Registerer registers the metrics; nil means unregistered.
	Registerer prometheus.Registerer
}

const (
	defaultTimeout  = 2 * time.Second
	defaultMaxQueue = 1 << 16
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
	keyPrefix       = "journal/"
)

// Journal commits entries in groups. Append, Commit and SetSettings are safe for
// concurrent use; commits are made by the goroutine that calls Run.
type Journal struct {
	config  Config
	key     string
	metrics *metrics
	wake    chan struct{}

	mu     sync.Mutex
	queue  *batcher
	closed bool

	// The fields below are used by the goroutine of Run only.
	inFlight *group
	// divided holds the parts of a rejected group that are committed next.
	divided []*group
	// number is the number of the last applied commit, version the version of the
	// journal's row.
	number  uint64
	version uint64
	started time.Time
	// commitDuration is the duration of the last attempt.
	commitDuration time.Duration
	// attempting is set while an attempt is in flight.
	attempting bool
	retryAt    time.Time
	backoff    *backoff.ExponentialBackOff
	stalled    bool
	results    chan attemptResult
	// skipRowRead skips reading the journal's row after a lost reply. Only tests set it,
	// to show that their checks detect the resulting errors.
	skipRowRead bool
}

// New returns a journal. Entries are committed once Run is called.
func New(c Config) *Journal {
	c = withDefaults(c)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return &Journal{
		config:  c,
		key:     keyPrefix + c.Incarnation,
		metrics: newMetrics(c.Registerer),
		wake:    make(chan struct{}, 1),
		queue:   newBatcher(newGroupLimits(infra.LimitsOf(c.Table)), c.Settings.CommitRows, c.MaxQueue),
		backoff: b,
		results: make(chan attemptResult, 1),
	}
}

func withDefaults(c Config) Config {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

// SetSettings replaces the batch settings, from the next commit on.
func (j *Journal) SetSettings(b settings.Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.config.Settings = b
	j.queue.setMaxRows(b.CommitRows)
}

// Append queues an entry. If the queue is full or the journal has stopped, the
// entry fails at once as not applied.
func (j *Journal) Append(e Entry) {
	j.mu.Lock()
	ok := !j.closed && j.queue.push(&e)
	j.metrics.queue.Set(float64(j.queue.len()))
	j.mu.Unlock()
	if !ok {
		event.JournalOverflow.Log(j.config.Log)
		e.Done(infra.CommitResult{Status: infra.CommitNotApplied})
		return
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Commit appends an urgent entry and waits for its result. An entry not sent by
// SendBy(ctx) fails as not applied. The status is infra.CommitUnknown if ctx ends
// before the result is known.
func (j *Journal) Commit(ctx context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult {
	result := make(chan infra.CommitResult, 1)
	e := Entry{Conditions: conditions, Writes: writes, Urgent: true, Done: func(r infra.CommitResult) { result <- r }}
	e.Deadline = SendBy(ctx, j.config.Now())
	j.Append(e)
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return infra.CommitResult{}
	}
}

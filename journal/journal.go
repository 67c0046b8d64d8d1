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

// Config is what a journal needs. Zero values of the optional fields have
// defaults.
type Config struct {
	Table infra.Table
	// Incarnation names the journal's own row; no two journals share one.
	Incarnation string
	Settings    settings.Batch
	// Timeout bounds one request to the table; 0 for 2 s.
	Timeout time.Duration
	// MaxQueue is the largest number of waiting entries; 0 for 65536.
	MaxQueue int
	Log      *slog.Logger
	// Now is the monotonic clock; nil for time.Now.
	Now func() time.Time
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
}

const (
	defaultTimeout  = 2 * time.Second
	defaultMaxQueue = 1 << 16
	firstBackoff    = 50 * time.Millisecond
	largestBackoff  = 2 * time.Second
	keyPrefix       = "journal/"
)

// Journal commits entries in groups. Append and Commit are safe for concurrent
// use; everything else happens on the goroutine of Run.
type Journal struct {
	config  Config
	key     string
	metrics *metrics
	wake    chan struct{}

	mu     sync.Mutex
	queue  *batcher
	closed bool

	// The fields below belong to the goroutine of Run.
	inFlight *group
	// number is the last commit that took effect, version its row's version.
	number  uint64
	version uint64
	started time.Time
	// took is how long the last attempt took.
	took time.Duration
	// out is set while an attempt is out.
	out     bool
	retryAt time.Time
	backoff *backoff.ExponentialBackOff
	stalled bool
	answers chan answer
	// blind makes a lost answer be written again without settling it; only a
	// test sets it, to show that settling is what prevents a double write.
	blind bool
}

// New returns a journal; it commits once Run is called.
func New(c Config) *Journal {
	c = withDefaults(c)
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = largestBackoff
	return &Journal{
		config:  c,
		key:     keyPrefix + c.Incarnation,
		metrics: newMetrics(c.Registerer),
		wake:    make(chan struct{}, 1),
		queue:   newBatcher(c.Settings.CommitRows, c.MaxQueue),
		backoff: b,
		answers: make(chan answer, 1),
	}
}

// withDefaults fills in what was left out.
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

// SetSettings brings other bounds into force from the next commit on.
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

// Commit appends an urgent entry and waits for its result. An entry that was
// not sent by SendBy of the context fails as not applied. When the context ends
// before the result is known it is CommitUnknown.
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

package batch

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/journal"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/placement"
	"github.com/fireflygate/fireflygate/settings"
)

// Appender takes changes for the table; *journal.Journal is one.
type Appender interface {
	Append(e journal.Entry)
}

// Config is what a manager needs.
type Config struct {
	// Host is this entry host's name.
	Host  string
	Table infra.Table
	// Journal commits the changes of all shards owned here.
	Journal   Appender
	Workers   infra.Workers
	Transport peer.Transport
	Mux       peer.Mux
	// NewPlanner returns an empty planner for a shard.
	NewPlanner func(shard string) placement.Planner
	Settings   settings.Batch
	// TaskLease is how long a run goes on without word from its owner.
	TaskLease time.Duration
	// ClockRate is the largest relative difference of two hosts' clocks.
	ClockRate float64
	// Timeout bounds one request to the table; 0 for 2 s.
	Timeout time.Duration
	// Retention is how long terminal jobs are kept; 0 for a day.
	Retention time.Duration
	Log       *slog.Logger
	// Now is the monotonic clock, and gives Unix times; nil for time.Now.
	Now func() time.Time
	// Rand spreads exchanges and submissions; it is used under a lock.
	Rand *rand.Rand
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
}

const (
	defaultTimeout   = 2 * time.Second
	defaultRetention = 24 * time.Hour
	// exchangeTimeout bounds one exchange with a worker.
	exchangeTimeout = time.Second
	// leaseBuffer is how much longer than the lease, besides the clock-rate
	// bound, a run is taken to go on: the time that the last renewal may have
	// been under way, and the worker's own time to stop.
	leaseBuffer = 2 * exchangeTimeout
	// silentAfter is after how many exchange intervals without an answer a
	// worker gets no new work.
	silentAfter = 3
	// planLimit is the largest number of actions taken from one plan.
	planLimit = 64
	// maxStartsInFlight bounds the starts whose commit is not answered.
	maxStartsInFlight = 1024
	// retryCommit is how long a refused commit waits for the next attempt.
	retryCommit = 500 * time.Millisecond
	// maxKills is how often guards may kill a job before it is parked.
	maxKills = 6
	// scanPage is how many rows one read of a replay asks for.
	scanPage = 1000
)

// withDefaults fills in what was left out.
func withDefaults(c Config) Config {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Retention == 0 {
		c.Retention = defaultRetention
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

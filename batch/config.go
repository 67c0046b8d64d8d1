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

// Appender queues transactions for the table. *journal.Journal implements it.
type Appender interface {
	Append(e journal.Entry)
}

// Config is the configuration of a Manager.
type Config struct {
	// Host is this entry host's name.
	Host  string
	Table infra.Table
	// Journal commits the transactions of all shards of this host.
	Journal   Appender
	Workers   infra.Workers
	Transport peer.Transport
	Mux       peer.Mux
	// NewPlanner returns an empty planner for a shard.
	NewPlanner func(shard string) placement.Planner
	Settings   settings.Batch
	// TaskLease is how long a run continues after the last renewal by its
	// shard's owner.
	TaskLease time.Duration
	// ClockRate is the maximum relative difference in rate between the clocks
	// of two hosts.
	ClockRate float64
	// Timeout limits one request to the table; 0 for 2 s.
	Timeout time.Duration
	// Retention is how long terminal jobs are kept; 0 for a day.
	Retention time.Duration
	// Log receives events; nil discards them.
	Log *slog.Logger
	// Now returns the current time with a monotonic reading; nil for time.Now.
	Now func() time.Time
	// Rand randomizes exchange times and shard selection; nil for a random
	// seed. The manager serializes its use.
	Rand *rand.Rand
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

const (
	defaultTimeout   = 2 * time.Second
	defaultRetention = 24 * time.Hour
	// exchangeTimeout limits one exchange with a worker.
	exchangeTimeout = time.Second
	// leaseBuffer is added to a lease, after the clock-rate correction, before
	// its runs count as ended. It covers the time that the last renewal was in
	// flight and the worker's time to stop a run.
	leaseBuffer = 2 * exchangeTimeout
	// unreachableIntervals is the number of exchange intervals without an
	// answer after which a worker gets no new jobs.
	unreachableIntervals = 3
	// maxPlanActions is the largest number of actions requested per plan.
	maxPlanActions = 64
	// maxStartsInFlight limits the starts whose commit has no result yet.
	maxStartsInFlight = 1024
	// commitRetryDelay is the pause of commits after one was refused.
	commitRetryDelay = 500 * time.Millisecond
	// maxKills is the number of kills of a job's runs by workers after which
	// the job is parked.
	maxKills = 6
	// scanPageRows is the number of rows per page of a scan.
	scanPageRows = 1000
)

// withDefaults returns c with defaults for unset fields.
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

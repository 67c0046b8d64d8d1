package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
)

// worker is a shard's state of one worker.
type worker struct {
	name   string
	member infra.Member
	// listed is set while the worker is on the membership list.
	listed bool
	// jobs are the jobs with an active run on the worker, by ID.
	jobs map[string]*job
	// lastAnswered is when the last exchange was answered, or when this owner
	// took over. Leases expire at the latest taskLease after it: unanswered
	// exchanges since then extend no lease beyond that time.
	lastAnswered time.Time
	// incarnation is the worker's incarnation in the last reply, clockMS its
	// clock in that reply, and clockReadAt when the reply arrived.
	incarnation string
	clockMS     int64
	clockReadAt time.Time
	// lastSeq is the sequence number of the last handled reply.
	lastSeq uint64
	// reconciled is set once the full list of runs was compared with the
	// records.
	reconciled bool
	// leasesExpired is set once the leases have certainly expired.
	leasesExpired bool
	// exchangeInFlight is set while an exchange is in flight; exchangeNow
	// requests one immediately.
	exchangeInFlight, exchangeNow bool
	nextExchange                  time.Time
	// extraOrders are orders for runs that match no active record.
	extraOrders map[infra.RunID]infra.OrderKind
	// health tracks failures and the quarantine of the worker.
	health health
	// plannerHost is the host last passed to the planner.
	plannerHost    placement.Host
	knownToPlanner bool
}

// newWorker returns a worker that is not yet reconciled.
func newWorker(name string, now time.Time) *worker {
	return &worker{
		name:         name,
		jobs:         map[string]*job{},
		lastAnswered: now,
		extraOrders:  map[infra.RunID]infra.OrderKind{},
		nextExchange: now,
	}
}

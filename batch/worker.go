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
	life
	// elsewhereUntil is until when runs at earlier addresses of the worker may go on:
	// their leases may not be over, and the machine at its address knows nothing of them.
	elsewhereUntil time.Time
	// refuses is set while the worker refuses exchanges because of a higher epoch.
	refuses bool
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

// newWorker returns a worker that is not yet reconciled. Leases of earlier owners may
// last until leasesUntil.
func newWorker(name string, now, leasesUntil time.Time) *worker {
	return &worker{
		name:           name,
		jobs:           map[string]*job{},
		lastAnswered:   now,
		elsewhereUntil: leasesUntil,
		extraOrders:    map[infra.RunID]infra.OrderKind{},
		nextExchange:   now,
	}
}

// hasElsewhere reports whether the run of an active job is at an earlier address of the
// worker: its orders can't be given there, and mustn't be given to another machine.
func (w *worker) hasElsewhere(j *job) bool {
	return j.rec.Address != "" && j.rec.Address != w.member.Address
}

// awaitsRuns reports whether the worker has runs at earlier addresses.
func (w *worker) awaitsRuns() bool {
	for _, j := range w.jobs {
		if w.hasElsewhere(j) {
			return true
		}
	}
	return false
}

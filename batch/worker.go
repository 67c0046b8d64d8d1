package batch

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
)

// worker is a shard's view of one worker host.
type worker struct {
	name   string
	member infra.Member
	// listed is set while the membership list has the worker.
	listed bool
	// jobs are the jobs whose active run is here.
	jobs map[string]*job
	// answered is when the last exchange was answered, or when this owner took
	// over: no lease was renewed by anyone after it, but for exchanges that
	// carry what is left of the lease as of then.
	answered time.Time
	// incarnation is the worker's life as of the last reply, clockMS its own
	// clock then, and heard when that was read.
	incarnation string
	clockMS     int64
	heard       time.Time
	// since is the sequence number of the last reply that was read.
	since uint64
	// reconciled is set once the whole list was compared with the records.
	reconciled bool
	// lost is set once the leases here have surely lapsed unanswered.
	lost bool
	// busy is set while an exchange is under way; soon asks for one at once.
	busy, soon bool
	next       time.Time
	// extra are orders for runs that no record stands for.
	extra map[infra.RunID]infra.OrderKind
	// health quarantines a worker that fails everything.
	health health
	// shown is what the planner was last told.
	shown placement.Host
	known bool
}

// newWorker returns a worker that was not reconciled yet.
func newWorker(name string, now time.Time) *worker {
	return &worker{
		name:     name,
		jobs:     map[string]*job{},
		answered: now,
		extra:    map[infra.RunID]infra.OrderKind{},
		next:     now,
	}
}

package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
)

// Options is what a Node is built from.
type Options struct {
	// Host names this entry host; Address is where peers reach it.
	Host    string
	Address string
	// Incarnation names this life of the process; it never repeats.
	Incarnation string
	// Zone is the availability zone of this host.
	Zone string
	// Cores are the processors that this host has; the owner needs most.
	Cores float64
	// Seeds are addresses of other hosts, some of which may be gone.
	Seeds   []string
	Table   infra.Table
	Workers runner.Client
	Members Members
	// Policy decides which workers may run a step of a queue that needs
	// permits; nil if there is no such service.
	Policy  runner.Policy
	Log     *slog.Logger
	Metrics *Metrics
	// Retention is how long a job that is over can be asked for.
	Retention time.Duration
	// MaxLease bounds the leases that workers grant.
	MaxLease time.Duration
	// TailBound is how long a serving task's tail may be over its target
	// because of its neighbours.
	TailBound time.Duration
	// OwnershipChanged, if set, is told when this host begins to own the domain and when
	// that is over.
	OwnershipChanged func(owner bool)
	// Without names what the scheduling policy leaves out, for experiments.
	Without mechanism.Set
}

// lead marks the beginning or the end of an ownership.
func (o *Options) lead(owner bool) {
	o.Metrics.lead(owner)
	if o.OwnershipChanged != nil {
		o.OwnershipChanged(owner)
	}
}

// The times of control. Sums matter: a host that can't see the owner suspects
// it after pingInterval + pingTimeout and takes over after a further
// unchangedFor, 1.7 s in all; by then a lease that was renewed at least every
// longest look (2 s) still has more than 2 s to go.
const (
	// lease is how far renewals extend the leases of workers. Long enough for
	// a take-over, short enough that what ran at a lost worker is soon free
	// to run elsewhere.
	lease = 6 * time.Second
	// ownerValidity is how long after its last commit an owner goes on giving
	// orders: through an outage of the table service, in which nobody can
	// replace it. An owner that was replaced is told, or finds its orders void;
	// the bound is for workers that only it can reach.
	ownerValidity = 20 * time.Second
	// heartbeat is the longest time between two commits of an owner.
	heartbeat = 400 * time.Millisecond
	// pingInterval is how often other hosts ask the owner how it is.
	pingInterval = 300 * time.Millisecond
	// pingTimeout bounds the wait for its answer.
	pingTimeout = 500 * time.Millisecond
	// unchangedFor is how long the row must stay as it is before somebody
	// takes over: twice the heartbeat and a slow commit.
	unchangedFor = 900 * time.Millisecond
	// unchangedRefused is the same when the owner's host refuses connections,
	// so that its process is most likely gone.
	unchangedRefused = 150 * time.Millisecond
	// rowPoll is how often a suspicious host reads the row.
	rowPoll = 150 * time.Millisecond
	// rowTimeout bounds one read of it.
	rowTimeout = 1500 * time.Millisecond
	// memberPoll is the time between two reads of the membership list, a
	// quarter of the two seconds after which a leaving worker must get no
	// more work.
	memberPoll = 400 * time.Millisecond
	// flushDelay gathers ends for one commit. Starting what depends on them
	// doesn't wait for it.
	flushDelay = 30 * time.Millisecond
	// batchWrites bounds one commit; the table service takes 100 rows, one of
	// which is the owner's.
	batchWrites = 98
	// tick is the longest time between two planning cycles.
	tick = 100 * time.Millisecond
	// planGap is the least time between two planning cycles: events that come
	// within it share one. Short beside any task, and a cycle over some hundred
	// waiting tasks takes about a tenth of it.
	planGap = 4 * time.Millisecond
	// planShare is how many times its own duration passes between two cycles,
	// so that planning leaves most of the processor to orders and reports.
	planShare = 4
	// lookRetry is the least time between two looks at a worker that doesn't
	// answer.
	lookRetry = 300 * time.Millisecond
	// roomPause keeps starts from a worker that refused one for want of room.
	roomPause = 250 * time.Millisecond
)

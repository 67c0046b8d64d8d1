package control

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/runner"
)

// Options configures a Node.
type Options struct {
	// Host is the name of this entry host, Address its address for peers.
	Host    string
	Address string
	// Incarnation uniquely identifies this process.
	Incarnation string
	// Zone is the availability zone of this host.
	Zone string
	// Cores is the number of processors of this host.
	Cores float64
	// Seeds are addresses of other hosts; some may be unreachable.
	Seeds   []string
	Table   infra.Table
	Workers runner.Client
	Members Members
	// Policy issues permits for steps of queues that need them; nil if there is no
	// policy service.
	Policy  runner.Policy
	Log     *slog.Logger
	Metrics *Metrics
	// Dial opens connections to other hosts; nil dials with TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Retention is how long an ended job can be queried.
	Retention time.Duration
	// MaxLease bounds the leases that workers grant.
	MaxLease time.Duration
	// TailBound is how long a serving task's tail may exceed its target because of
	// interference.
	TailBound time.Duration
	// StateBytes is how much memory the state of jobs may need at the owner; 0 for no
	// limit.
	StateBytes int64
	// WorkerPace is set where workers may be slow while they report that they are
	// healthy.
	WorkerPace bool
	// OwnershipChanged, if set, is called when this host's ownership of the domain
	// begins or ends.
	OwnershipChanged func(owner bool)
	// Disabled is the set of scheduling mechanisms that are switched off, for
	// experiments.
	Disabled mechanism.Set
}

// recordOwnership updates the metrics and calls OwnershipChanged when the
// ownership of the domain begins or ends.
func (o *Options) recordOwnership(owner bool) {
	o.Metrics.recordOwnership(owner)
	if o.OwnershipChanged != nil {
		o.OwnershipChanged(owner)
	}
}

// Intervals and timeouts. A host suspects an unresponsive owner after
// pingInterval + pingTimeout and takes over after a further suspectTimeout,
// 1.7 s in all. Leases are renewed at least every 1.5 s, the longest poll, and so
// have more than 1.5 s left at a takeover.
const (
	// heartbeatInterval is the longest time between two commits of an owner.
	heartbeatInterval = election.CommitLease - election.Lease
	// pingInterval is the interval at which other hosts ping the owner.
	pingInterval = 300 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout = 500 * time.Millisecond
	// latePing is the time without an answer to a ping after which the owner's row is
	// read. Answers of a healthy owner arrive sooner.
	latePing = pingTimeout / 2
	// suspectTimeout is how long the owner's row must stay unchanged before a
	// takeover: two heartbeat intervals and a slow commit.
	suspectTimeout = 900 * time.Millisecond
	// terminatedTimeout replaces suspectTimeout if the owner's process seems to
	// have terminated.
	terminatedTimeout = 150 * time.Millisecond
	// lateCommitTimeout replaces suspectTimeout while the owner is alive and the store
	// answers it: another owner would fare no better and would load the state anew. It
	// bounds the time in which an owner that can read and not write accepts nothing.
	lateCommitTimeout = 6 * time.Second
	// rowPollInterval is the interval at which a suspecting host reads the row.
	rowPollInterval = 150 * time.Millisecond
	// rowTimeout bounds the wait for one read of the row.
	rowTimeout = 1500 * time.Millisecond
	// membersPollInterval is the interval of reads of the membership list. It is
	// well below the two seconds within which a leaving worker must stop getting
	// work.
	membersPollInterval = 400 * time.Millisecond
	// flushDelay is the time for which ended runs are collected for one commit; the
	// start of dependent tasks doesn't wait for it.
	flushDelay = 30 * time.Millisecond
	// maxBatchWrites bounds one commit. The table service accepts 100 rows per
	// transaction, including the owner's.
	maxBatchWrites = 98
	// maxPlanInterval is the longest time between two planning cycles.
	maxPlanInterval = 100 * time.Millisecond
	// minPlanInterval is the least time between the beginnings of two planning
	// cycles, within which events are collected for the second. It is short beside
	// any task.
	minPlanInterval = 4 * time.Millisecond
	// planIdleFactor times the duration of a cycle is the least time from its
	// beginning to that of the next cycle, if that is more than minPlanInterval. It
	// leaves most of the processor to orders and reports.
	planIdleFactor = 4
	// maxPollsPerCycle bounds the polls that one cycle begins. A new owner has to poll all
	// workers at once; begun in one cycle, the polls of a large domain would keep it
	// from committing until other hosts take the domain over.
	maxPollsPerCycle = 256
	// maxDrain bounds how long what workers and callers sent is handled before the next
	// cycle may commit and plan. When thousands of answers come at once they would
	// hold up both until other hosts take the domain over.
	maxDrain = 20 * time.Millisecond
	// pollRetryInterval is the least time between two polls of an unresponsive
	// worker.
	pollRetryInterval = 300 * time.Millisecond
	// noCapacityPause is how long no start is sent to a worker after it refused
	// one for lack of capacity.
	noCapacityPause = 250 * time.Millisecond
)

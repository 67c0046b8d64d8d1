package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/overload"
	"github.com/fireflygate/fireflygate/relay"
	"github.com/fireflygate/fireflygate/runner"
)

// Owner drives a domain while this host owns it. Its state is confined to one
// goroutine, the loop; other goroutines post functions to it.
type Owner struct {
	opts      Options
	ctx       context.Context
	committer *election.Committer
	events    chan func()
	state     *dispatch.State
	sessions  map[string]*session
	// extraLanes bounds the goroutines that send orders besides one for each session.
	extraLanes chan struct{}
	traffic    *traffic
	// relays sends orders to workers; relayScaler decides how many relays to use.
	relays      *relays
	relayScaler relay.Scaler
	// relaysPerZone is the number of relays per zone, as reported to other hosts.
	relaysPerZone atomic.Int64
	// waiters are, by job, the callers that wait for its changes to be durable.
	waiters map[string][]waiter
	// withdrawn counts the submissions withdrawn in the current outage of the table
	// service.
	withdrawn int
	config    Config
	// closedZones returns the newest set of closed zones known to this host.
	closedZones func() closedzones.Set
	// committing is set while a commit is in flight.
	committing bool
	// lastCommit, summarizedAt and steppedAt are when the last commit, summary and
	// step began.
	lastCommit   time.Time
	summarizedAt time.Time
	steppedAt    time.Time
	// overload bounds the work of a planning cycle while the owner is short of processor;
	// short tells whether it does, as last logged.
	overload overload.Controller
	short    bool
	// cpuUsed is the processor time of the process at the last summary.
	cpuUsed cpuTime
	// backlog estimates how long starts are queued. It was last updated at backlogAt, when
	// there had been startsCounted starts; recentCycles counts the cycles since.
	backlog       flow.Backlog
	backlogAt     time.Time
	startsCounted uint64
	recentCycles  cycleCounts
	// paceCounted are the statistics whose counts of slow workers' tasks are in the
	// metrics.
	paceCounted dispatch.Stats
	// loads is the last summary of the loads of queues, nil before the first.
	loads atomic.Pointer[loadSummary]
	// plannedAt is when the last plan was made; startLimitReached is set if the
	// limit on starts in flight cut that plan short.
	plannedAt         time.Time
	startLimitReached bool
	// lastPolled is the worker whose poll was begun last; pollsLeft is set if the last
	// cycle left polls to the next one.
	lastPolled string
	pollsLeft  bool
	// removedWorkers is the number of workers removed whose sessions were ended.
	removedWorkers uint64
	// loop holds the loop's statistics since the last summary.
	loop loopStats
	// detoured is the number of workers that need detours, as last logged.
	detoured int
	// stepDuration is the duration of the last step.
	stepDuration time.Duration
	// dirtySince is when a step first found changes after the last full flush, zero
	// if it found none.
	dirtySince time.Time
	// committedAt is the boottime at which the last applied commit began.
	committedAt atomic.Int64
	// cycleAt is the boottime at which the last cycle of the loop began.
	cycleAt atomic.Int64
	// loadedAt is the boottime of the last progress in loading the state.
	loadedAt atomic.Int64
	// committedVersion is the version of the owner's row after the last applied
	// commit.
	committedVersion atomic.Uint64
	// requestingPermits is set while a request to the policy service is in flight.
	requestingPermits bool
	// A resigning owner starts nothing; a closed one accepts no requests; a released
	// one gives no orders and renews no leases.
	resigning, closed bool
	released          atomic.Bool
	// stalledAt and refusedAt are the boottimes at which its process was last found to
	// have stood still, and a worker refused its newest token; 0 if never.
	stalledAt, refusedAt atomic.Int64
	// refusedToken is the refusal for which a verification was last required.
	refusedToken dispatch.RefusedToken
	// acceptedAt is the boottime at which most workers still accepted this owner's orders as
	// far as is known, 0 if that isn't known.
	acceptedAt atomic.Int64
	// unbounded holds the earlier owners that need a majority of workers to give orders without
	// commits, until too few are left that haven't reported to this owner.
	unbounded []election.MajorityBound
	// earlier tracks until when the owners before this one may give orders.
	earlier *election.EarlierOwners
	// rosterEpochsKnown is set if the previous owner's row says that the roster tells in
	// which epochs workers got leases.
	rosterEpochsKnown bool
	// epochsDurable is set once this owner's row, as applied, says the same.
	epochsDurable atomic.Bool
	// afterCommit, if set, runs on the loop after the commit in flight.
	afterCommit func()
	// candidates are the hosts that ping this owner; ownedSince is the boottime at
	// which the ownership began.
	candidates *election.Candidates
	ownedSince time.Duration
	// startedAt is ownedSince on Go's clock, suspended the time for which the host was
	// suspended since, as last determined.
	startedAt time.Time
	suspended time.Duration
	// inheritedReference is the takeover reference of the previous owner's row,
	// inheritedHosts the number of hosts in it.
	inheritedReference float64
	inheritedHosts     int
	// predecessorHandedOver is set if the previous owner resigned to hand the domain
	// over to a host with more processors than this one; handingOver is set once
	// this owner hands the domain over.
	predecessorHandedOver, handingOver bool
	// stopped is closed when the loop has ended or will never run.
	stopped chan struct{}
	quit    context.CancelCauseFunc
	epoch   uint64
}

// maxQueuedFuncs bounds the functions queued for the loop; post blocks beyond
// it.
const maxQueuedFuncs = 1024

// newOwner returns an owner whose loop isn't running. acquiredAt is a boottime
// before the commit that acquired the domain.
func newOwner(ctx context.Context, opts Options, c *election.Committer, cfg Config, acquiredAt time.Duration) *Owner {
	row := c.Record()
	ctx, quit := context.WithCancelCause(ctx)
	o := &Owner{
		opts: opts, ctx: ctx, quit: quit, committer: c, config: cfg, epoch: row.Epoch,
		events: make(chan func(), maxQueuedFuncs), sessions: map[string]*session{}, traffic: newTraffic(),
		extraLanes: make(chan struct{}, maxExtraLanes),
		waiters:    map[string][]waiter{}, stopped: make(chan struct{}), ownedSince: boottime(), startedAt: time.Now(), candidates: new(election.Candidates),
	}
	o.relays = newRelays(&o.opts)
	o.closedZones = func() closedzones.Set { return closedzones.Set{} }
	o.earlier = election.NewEarlierOwners(&row, o.ownedSince)
	o.state = dispatch.New(dispatch.Config{
		Epoch: o.epoch, Lease: min(election.Lease, opts.MaxLease), MaxLease: opts.MaxLease,
		Retention: opts.Retention, NoCapacityPause: noCapacityPause, TailBound: opts.TailBound, WorkerPace: opts.WorkerPace, Disabled: opts.Disabled,
		Limits: infra.LimitsOf(opts.Table),
	})
	o.cpuUsed = readCPUTime()
	o.setEarlierOrders()
	o.state.SetQueues(cfg.Queues)
	o.committedAt.Store(int64(acquiredAt))
	o.cycleAt.Store(int64(o.ownedSince))
	o.committedVersion.Store(c.Version())
	return o
}

// post queues f for the loop, unless the owner has ended. It returns before f
// runs.
func (o *Owner) post(f func()) {
	select {
	case o.events <- f:
	case <-o.ctx.Done():
	}
}

// ownershipValid reports whether the owner may give orders: its last commit is
// recent enough, it needn't verify its ownership first, and it has neither ended nor
// is about to give the domain up.
func (o *Owner) ownershipValid() bool {
	return o.commitAge() < election.Validity && o.accepted() && !o.unverified() && !o.released.Load() && o.ctx.Err() == nil
}

// commitAge returns the time since the last applied commit began.
func (o *Owner) commitAge() time.Duration {
	return boottime() - time.Duration(o.committedAt.Load())
}

// abandonWaiters responds to all waiters after the loop has ended. Jobs that no batch
// contains are not committed any more, so the next owner may get them; the outcome of
// the others is unknown.
func (o *Owner) abandonWaiters() {
	o.endOutage(false)
	for _, id := range o.state.WithdrawUncollected() {
		o.notifyWaiters(id, reply{Result: ResultNotOwner})
	}
	for id := range o.waiters {
		o.notifyWaiters(id, reply{Result: ResultUnknown})
	}
}

// watchMembers reads the membership list periodically.
func (o *Owner) watchMembers() {
	t := time.NewTicker(membersPollInterval)
	defer t.Stop()
	for {
		list, err := o.opts.Members.List(o.ctx)
		if err != nil {
			if o.ctx.Err() != nil {
				return
			}
			event.MembersReadFailed.Log(o.opts.Log, slog.Any("err", err))
		} else {
			o.post(func() { o.setMembers(list) })
		}
		select {
		case <-t.C:
		case <-o.ctx.Done():
			return
		}
	}
}

// setMembers applies a membership list.
func (o *Owner) setMembers(list []runner.Worker) {
	o.state.SetMembers(time.Now(), list)
}

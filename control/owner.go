package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/flow"
	"github.com/fireflygate/fireflygate/relay"
	"github.com/fireflygate/fireflygate/runner"
)

// Owner drives a domain while this host owns it. All of its state belongs to
// one goroutine, the loop; others post functions to it.
type Owner struct {
	opts      Options
	ctx       context.Context
	committer *election.Committer
	events    chan func()
	state     *dispatch.State
	sessions  map[string]*session
	traffic   *traffic
	// relays is the way to the workers, demand how many relays there should be.
	relays *relays
	demand relay.Scaler
	// perZone is how many relays each zone has, for hosts that ask.
	perZone atomic.Int64
	// waiters are told when a job's newest change is durable.
	waiters map[string][]chan reply
	config  Config
	// committing is set while a batch is on its way to the store.
	committing bool
	lastCommit time.Time
	summarized time.Time
	stepped    time.Time
	// backlog says how long starts wait for those before them; starts counts those
	// until the last summary.
	backlog flow.Backlog
	starts  uint64
	// planned is when the last plan was made, heldBack whether its starts were cut
	// short by those under way.
	planned  time.Time
	heldBack bool
	// loop is what the loop spends its time on.
	loop loopTime
	// stepTook is how long the last cycle took.
	stepTook   time.Duration
	dirtySince time.Time
	// provenAt is when, in boottime, the last applied commit was begun.
	provenAt atomic.Int64
	// turnedAt is when, in boottime, the loop last began a cycle.
	turnedAt atomic.Int64
	// provenVersion is the version of the owner's row after it.
	provenVersion atomic.Uint64
	// asking is set while a question to the policy service is under way,
	// needsPermits if any queue has to ask.
	asking, needsPermits bool
	// resigning owners give no more orders, closed ones take nothing more in.
	resigning, closed bool
	// afterCommit, if set, runs on the loop once the commit under way is durable.
	afterCommit func()
	// rivals are the hosts that ask after this owner, begun is since when, in
	// boottime, it owns the domain.
	rivals *election.Candidates
	begun  time.Duration
	// missed is set if the owner before handed the domain over for a stronger
	// host than this, handedOver once this one does.
	missed, handedOver bool
	stopped            chan struct{}
	quit               context.CancelCauseFunc
	epoch              uint64
}

// eventBuffer bounds what waits for the loop; posting blocks beyond it.
const eventBuffer = 1024

// newOwner returns an owner that doesn't run yet.
func newOwner(ctx context.Context, opts Options, c *election.Committer, cfg Config) *Owner {
	ctx, quit := context.WithCancelCause(ctx)
	o := &Owner{
		opts: opts, ctx: ctx, quit: quit, committer: c, config: cfg, epoch: c.Record().Epoch,
		events: make(chan func(), eventBuffer), sessions: map[string]*session{}, traffic: newTraffic(),
		waiters: map[string][]chan reply{}, stopped: make(chan struct{}), begun: boottime(), rivals: new(election.Candidates),
	}
	o.relays = newRelays(&o.opts)
	o.state = dispatch.New(dispatch.Config{
		Epoch: o.epoch, Lease: min(lease, opts.MaxLease), InheritedLease: min(lease, opts.MaxLease) + ownerValidity,
		Retention: opts.Retention, NoCapacityPause: roomPause, TailBound: opts.TailBound, Disabled: opts.Without,
	})
	o.state.SetQueues(cfg.Queues)
	o.notePermits(cfg)
	o.provenAt.Store(int64(o.begun))
	o.turnedAt.Store(int64(o.begun))
	o.provenVersion.Store(c.Version())
	return o
}

// post runs f on the loop; after the owner has stopped it does nothing.
func (o *Owner) post(f func()) {
	select {
	case o.events <- f:
	case <-o.ctx.Done():
	}
}

// proven reports whether the last commit is young enough to go on ordering.
func (o *Owner) proven() bool {
	return boottime()-time.Duration(o.provenAt.Load()) < ownerValidity
}

// commitAge returns the age of the last applied commit.
func (o *Owner) commitAge() time.Duration {
	return boottime() - time.Duration(o.provenAt.Load())
}

// run is the loop. It returns when the host no longer owns the domain.
func (o *Owner) run() {
	defer close(o.stopped)
	defer o.abandon()
	go o.watchMembers()
	t := time.NewTicker(tick)
	defer t.Stop()
	gather := time.NewTimer(planGap)
	defer gather.Stop()
	armed := true
	for {
		select {
		case f := <-o.events:
			begun := time.Now()
			o.loop.waited = max(o.loop.waited, len(o.events))
			f()
			o.drainEvents()
			o.loop.add(hearing, begun)
			if !armed {
				armed = true
				gather.Reset(max(planGap, planShare*o.stepTook) - time.Since(o.stepped))
			}
			continue
		case <-gather.C:
			armed = false
		case due := <-t.C:
			o.loop.ticked(due)
		case <-o.ctx.Done():
			return
		}
		o.step()
	}
}

// drainEvents runs what else has been posted, so that one cycle serves all.
func (o *Owner) drainEvents() {
	for range eventBuffer {
		select {
		case f := <-o.events:
			f()
		default:
			return
		}
	}
}

// step makes durable what has changed, plans, and looks at workers.
func (o *Owner) step() {
	now := time.Now()
	if o.handOver() {
		o.look(now) // what runs keeps its leases, also where the store is slow
		return
	}
	o.stepped = now
	o.turnedAt.Store(int64(boottime()))
	o.flush(now)
	at := o.loop.add(flushing, now)
	if o.proven() && !o.resigning && o.planDue(now) {
		p := o.state.PlanAtMost(now, o.traffic.AvailableStarts())
		at = o.loop.add(planning, at)
		o.loop.planned(p.StartLimitReached)
		o.planned, o.heldBack = now, p.StartLimitReached
		o.order(p)
		o.askPermits(now)
		at = o.loop.add(ordering, at)
	}
	o.look(now)
	at = o.loop.add(looking, at)
	o.summarize(now)
	o.stepTook = o.loop.add(summing, at).Sub(now)
	o.opts.Metrics.cycle.Observe(o.stepTook.Seconds())
}

// planDue reports whether to plan now: at once, but where starts wait for those
// under way only once some of these are answered, or after a tick.
func (o *Owner) planDue(now time.Time) bool {
	return !o.heldBack || o.traffic.CanPlanStarts() || now.Sub(o.planned) >= tick
}

// abandon tells everybody who waits that the outcome is open.
func (o *Owner) abandon() {
	for id := range o.waiters {
		o.tell(id, reply{Result: ResultUnknown})
	}
}

// watchMembers reads the membership list at intervals.
func (o *Owner) watchMembers() {
	t := time.NewTicker(memberPoll)
	defer t.Stop()
	for {
		list, err := o.opts.Members.List(o.ctx)
		if err != nil {
			if o.ctx.Err() != nil {
				return
			}
			event.MembersUnread.Log(o.opts.Log, slog.Any("err", err))
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

// setMembers takes the list in.
func (o *Owner) setMembers(list []runner.Worker) {
	o.state.SetMembers(time.Now(), list)
}

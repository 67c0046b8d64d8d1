package dispatch_test

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/dispatch"
	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/runner"
	"github.com/fireflygate/fireflygate/workload"
)

// Intervals of an owner, as in package control.
const (
	// ownerValidity is how long after the start of its last applied commit an owner
	// issues orders.
	ownerValidity = election.Validity
	// heartbeatInterval is the longest time between two commits of an owner.
	heartbeatInterval = 400 * time.Millisecond
	// membersInterval is the time between two reads of the membership list.
	membersInterval = 400 * time.Millisecond
	// stallTimeout is how long an owner that stood still gives no orders at most, and
	// refusalTimeout when one that several workers refuse ends.
	stallTimeout   = time.Second
	refusalTimeout = 2500 * time.Millisecond
	// pollRetryInterval is the least time between two polls of an unresponsive worker.
	pollRetryInterval = 300 * time.Millisecond
)

// simOwner is the owner that one process of a host runs. It follows the rules of
// control.Owner, whatever other owners do.
type simOwner struct {
	*rig
	host   *simHost
	record election.Record
	// version is the version of the owner's row after its last known commit.
	version uint64
	// ended is set once it has learned that it is replaced, or its process has ended.
	ended bool
	// stalledAt is when it was last found to have stood still, refusedAt when a worker last
	// refused its newest token, and steppedAt the time of its last cycle.
	stalledAt, refusedAt, steppedAt time.Time
	refusedToken                    dispatch.RefusedToken
	// committedAt is when its last applied commit began, commitBegan when its last
	// commit did.
	committedAt, commitBegan time.Time
	committing               bool
	// epochsDurable is set once its row, as applied, says that the roster tells the epochs.
	epochsDurable bool
	// boundable are the earlier owners that are bounded once few enough workers are left to them.
	boundable     []election.MajorityBound
	membersReadAt time.Time
	polling       map[string]bool
	nextPoll      map[string]time.Time
	// done holds the tasks whose successful end it has recorded.
	done []workload.TaskID
}

// valid reports whether the owner issues orders.
func (o *simOwner) valid(now time.Time) bool {
	age := now.Sub(o.committedAt)
	accepted := age < election.MinorityValidity || now.Sub(o.state.MajorityAcceptedAt()) < election.AcceptanceWindow
	return age < ownerValidity && accepted && !o.unverified(now)
}

// lease returns how long a lease that the owner gives now may last.
func (o *simOwner) lease(now time.Time) time.Duration {
	if !o.valid(now) {
		return 0
	}
	var accepted time.Duration
	if at := o.state.MajorityAcceptedAt(); !at.IsZero() {
		accepted = at.Sub(o.startedAt)
	}
	return election.LeaseLimit(o.committedAt.Sub(o.startedAt), o.epochsDurable, accepted) - o.sinceStart()
}

// unverified reports whether the owner stood still and gives no orders until a commit is
// applied.
func (o *simOwner) unverified(now time.Time) bool {
	return o.committedAt.Before(o.stalledAt) && now.Sub(o.stalledAt) < stallTimeout
}

// verifyAfterStall records when the owner stood still.
func (o *simOwner) verifyAfterStall(now time.Time) {
	if !o.steppedAt.IsZero() && now.Sub(o.steppedAt) >= election.StaleAfter {
		o.stalledAt = now
		o.state.ForgetAcceptances()
	}
	o.steppedAt = now
}

// lead makes a host the owner that the record describes, with the committed rows, unless
// it has heard of a later one. The commit that acquired the domain began at begun
// and replaced the row previous.
func (s *ownerSim) lead(h *simHost, record, previous election.Record, version uint64, begun time.Time) {
	if h.heardEpoch > record.Epoch {
		h.acquiring = false
		return
	}
	o := &simOwner{
		rig:  &rig{t: s.t, now: s.now, rows: s.rows, startedAt: s.startedAt, queues: s.queues, lease: s.lease, maxLease: s.maxLease},
		host: h, record: record, version: version, committedAt: begun,
		boundable: previous.BoundByMajority(), polling: map[string]bool{}, nextPoll: map[string]time.Time{},
	}
	o.startOwner(record.Epoch)
	o.earlier = election.NewEarlierOwners(&record, o.sinceStart())
	s.boundReplacedCommit(o, &previous)
	o.setEarlierOrders()
	o.epochsKnown = previous.RosterEpochs
	o.restore(s.roster()...)
	for _, b := range o.boundable {
		if b.Workers == 0 {
			o.earlier.LeftRoster(b.Epoch, len(s.roster()))
		}
	}
	var unleased []dispatch.UnleasedWorker
	for _, u := range record.Unleased {
		unleased = append(unleased, dispatch.UnleasedWorker{Worker: u.Worker, LeaseEnd: s.now.Add(time.Duration(u.LeasesMS) * time.Millisecond)})
	}
	o.state.InheritUnleased(unleased)
	h.owner, h.acquiring = o, false
	if s.store.row.SameOwnership(&record) {
		s.state = o.state
	}
	s.tracef(workload.TaskID{}, "%s leads in epoch %d after %+v", h.name, o.epoch, record.Earlier)
	s.announce(o)
	if s.chance(newOwnerFault) {
		s.after(s.between(0, 2*time.Second), func() { s.faultHost(h) })
	}
}

// onOwner returns a function that runs f once the owner's process runs, unless the
// owner has ended.
func (s *ownerSim) onOwner(o *simOwner, f func()) func() {
	if o.ended {
		return func() {}
	}
	return s.onHost(o.host, func() {
		if !o.ended {
			f()
		}
	})
}

// verifyIfRefused records when a worker has refused an owner's newest token.
func (s *ownerSim) verifyIfRefused(o *simOwner) {
	r, _ := o.state.RefusedToken()
	if r.Worker != "" && r.Worker != o.refusedToken.Worker {
		o.refusedAt = s.now
	}
	o.refusedToken = r
}

// refused reports whether a worker has refused the owner's newest token and no commit has
// been applied since.
func (o *simOwner) refused() bool { return o.committedAt.Before(o.refusedAt) }

// endIfRefused ends an owner that several workers have refused and that can't commit.
func (s *ownerSim) endIfRefused(o *simOwner) {
	if o.refusedToken.Workers > 1 && o.refused() && s.now.Sub(o.refusedAt) >= refusalTimeout {
		s.deposed(o, "refused by "+o.refusedToken.Worker)
	}
}

// deposed ends an owner that has learned of another one.
func (s *ownerSim) deposed(o *simOwner, why string) {
	if o.ended {
		return
	}
	o.ended = true
	if o.host.owner == o {
		o.host.owner = nil
	}
	s.tracef(workload.TaskID{}, "%s ends in epoch %d: %s", o.host.name, o.epoch, why)
}

// stepOwner runs one cycle of an owner: it commits, plans and polls workers.
func (s *ownerSim) stepOwner(o *simOwner) {
	o.now = s.now
	o.verifyAfterStall(s.now)
	s.endIfRefused(o)
	if o.ended {
		return
	}
	o.boundable = slices.DeleteFunc(o.boundable, func(b election.MajorityBound) bool {
		if !o.state.LeavesNoMajority(b.Workers, b.Removed) {
			return false
		}
		if o.earlier.ReplacedAtMajority(b.Epoch, o.sinceStart()) {
			o.setEarlierOrders()
		}
		return true
	})
	if o.host.reachesStore(s.now) && s.storeUp() && s.now.Sub(o.membersReadAt) >= membersInterval {
		o.membersReadAt = s.now
		o.state.SetMembers(s.now, s.members.list(s.now, s.workers))
	}
	s.beginCommit(o)
	if o.valid(s.now) && !o.refused() {
		s.sendPlan(o, o.state.PlanWithin(s.now, dispatch.PlanLimits{Starts: math.MaxInt, Visits: math.MaxInt, Lease: o.lease(s.now)}))
	}
	s.traceLosses(o)
	if o.unverified(s.now) {
		return
	}
	o.state.EachWorker("", func(id string) bool {
		if !o.polling[id] && !s.now.Before(o.nextPoll[id]) && o.state.RenewalReady(s.now, id) {
			o.polling[id] = true
			s.pollBy(o, id, func() { o.polling[id] = false })
		}
		return true
	})
}

// orderBy sends an owner's order to a worker, as deliver does.
func (s *ownerSim) orderBy(o *simOwner, to runner.Worker, do func(w *faultWorker) runner.Status, answered func(runner.Answer)) {
	arrives := func() bool { return o.host.reachesWorker(s.now, to.ID) }
	s.deliverIf(to, arrives, do, func(a runner.Answer) { s.onOwner(o, func() { answered(a) })() })
}

// sendPlan sends the orders of an owner's plan.
func (s *ownerSim) sendPlan(o *simOwner, p dispatch.Plan) {
	s.sawPlan(p)
	slices.SortFunc(p.Stops, func(a, b dispatch.StopOrder) int { return cmp.Compare(a.Stop.Run, b.Stop.Run) })
	for _, order := range p.Stops {
		s.orderBy(o, order.Worker, func(w *faultWorker) runner.Status { return w.stop(order.Stop) }, func(a runner.Answer) {
			o.state.HandleStopAnswer(s.now, order, a)
		})
	}
	for _, order := range p.Starts {
		s.orderedOn[order.Start.Task] = s.worker(order.Worker.ID)
		s.tracef(order.Start.Task, "epoch %d orders run %d on %s, prior %v", o.epoch, order.Start.Run, order.Worker.ID, order.Prior)
		s.sendStart(o, order)
	}
}

// sendStart sends an owner's start order, which arrives late without an answer if its
// host's starts do.
func (s *ownerSim) sendStart(o *simOwner, order dispatch.StartOrder) {
	id := order.Worker.ID
	sent := s.send(order)
	do := func(w *faultWorker) runner.Status {
		return s.startOnce(w, sent, func(w *faultWorker, order dispatch.StartOrder) runner.Status { return s.startBy(o, w, order) })
	}
	answered := func(a runner.Answer) {
		resolve := o.state.HandleStartAnswer(s.now, order, a)
		s.verifyIfRefused(o)
		if resolve {
			s.pollBy(o, id, func() {})
		}
	}
	if o.host.startsLateBy == 0 {
		s.orderBy(o, order.Worker, do, answered)
		return
	}
	s.after(o.host.startsLateBy, func() { do(s.worker(id)) })
	s.after(orderTimeout, s.onOwner(o, func() { answered(runner.Answer{}) }))
}

// startBy carries out an owner's start order on a worker and checks it.
func (s *ownerSim) startBy(o *simOwner, w *faultWorker, order dispatch.StartOrder) runner.Status {
	task := order.Start.Task
	known := w.runs[task] != nil
	status := w.start(w.clock(s.now), order.Start, s.newRun(order.Start))
	s.tracef(task, "%s answers %v to run %d of epoch %d", w.describe(), status, order.Start.Run, o.epoch)
	if status == runner.Done && !known {
		s.checkNotDone(task, w)
	}
	return status
}

// pollBy polls a worker for an owner and calls done after the answer or the timeout.
func (s *ownerSim) pollBy(o *simOwner, id string, done func()) {
	to, renewal, ok := o.state.Renewal(s.now, id, o.lease(s.now))
	if !ok {
		done()
		return
	}
	var rep runner.Report
	var life runner.Incarnation
	s.orderBy(o, to, func(w *faultWorker) (status runner.Status) {
		status, rep = s.renewOn(w, renewal)
		life = w.info.Incarnation
		s.traceRenewal(o, w, status)
		return status
	}, func(a runner.Answer) {
		done()
		if a.Status == runner.Done {
			a.Incarnation = life
		} else {
			rep = runner.Report{}
			o.nextPoll[id] = s.now.Add(pollRetryInterval)
		}
		s.recordEndsOf(o, id, o.state.HandleReport(s.now, id, renewal, a, rep))
		s.verifyIfRefused(o)
	})
}

// recordEndsOf records the new ends that an owner has learned.
func (s *ownerSim) recordEndsOf(o *simOwner, id string, ends []runner.RunEnd) {
	for _, e := range ends {
		s.tracef(e.Task, "epoch %d records the end of run %d on %s: %v", o.epoch, e.Run, id, e.Kind)
		if e.Kind == runner.EndDone {
			o.done = append(o.done, e.Task)
		}
	}
}

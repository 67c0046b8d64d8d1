package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
)

// setMembers sets the workers that the membership list assigns to the shard.
func (s *Shard) setMembers(now time.Time, members []infra.Member) {
	listed := make(map[string]struct{}, len(members))
	for _, m := range members {
		listed[m.Name] = struct{}{}
		w := s.worker(now, m.Name)
		if w.member.Address != "" && w.member.Address != m.Address {
			s.endLife(w)
		}
		w.member, w.listed = m, true
		s.updatePlannerHost(now, w)
	}
	for name, w := range s.workers {
		if _, ok := listed[name]; !ok {
			w.listed = false
			s.updatePlannerHost(now, w)
		}
	}
	s.planNeeded = true
}

// endLife forgets the life of a worker that is listed at another address. Its runs at
// the address before may go on until their leases end. The failures there say nothing of
// the machine at the new address, while those of a process say much of the next one at the
// same address.
func (s *Shard) endLife(w *worker) {
	w.life, w.health = life{}, health{}
	if until := w.lastAnswered.Add(s.leaseExpiryDelay()); until.After(w.elsewhereUntil) {
		w.elsewhereUntil = until
	}
	s.requestExchange(w)
}

// lostRunsGraceDivisor is the divisor of the task lease that gives the time to
// wait for a worker's report after its leases have expired.
const lostRunsGraceDivisor = 2

// unschedulableReason returns why the worker may not get new jobs; empty if it
// may.
func (s *Shard) unschedulableReason(now time.Time, w *worker) string {
	switch {
	case !w.listed:
		return "gone"
	case w.member.State == infra.Leaving:
		return "leaving"
	case w.refuses:
		return "refuses"
	case w.leasesExpired || now.Sub(w.lastAnswered) > unreachableIntervals*s.limits.Exchange.D():
		return "unreachable"
	case !w.reconciled:
		return "unreconciled"
	case s.zoneClosed:
		return "zone closed"
	default:
		return w.health.unschedulableReason(now)
	}
}

// setZoneClosed sets whether the shard's availability zone is closed. The workers of a
// shard are in one zone.
func (s *Shard) setZoneClosed(now time.Time, closed bool) {
	if s.zoneClosed == closed {
		return
	}
	s.zoneClosed = closed
	for _, w := range s.workers {
		s.updatePlannerHost(now, w)
	}
	s.planNeeded = true
}

// updatePlannerHost updates the worker's host in the planner if it changed.
func (s *Shard) updatePlannerHost(now time.Time, w *worker) {
	h := placement.Host{
		Name: w.name, Zone: w.member.Zone, Rack: w.member.Rack,
		Capacity: w.member.Capacity, Unschedulable: s.unschedulableReason(now, w),
	}
	if w.knownToPlanner && h == w.plannerHost {
		return
	}
	if h.Unschedulable == "unreachable" && w.plannerHost.Unschedulable == "" {
		event.WorkerSuspected.Log(s.log, slog.String("worker", w.name))
	}
	w.plannerHost, w.knownToPlanner = h, true
	s.planner.SetHost(h)
	s.planNeeded = true
}

// checkWorkers checks the leases of all workers, evicts the runs of leaving ones
// and removes departed ones without runs.
func (s *Shard) checkWorkers(now time.Time) {
	for name, w := range s.workers {
		s.updatePlannerHost(now, w)
		s.checkLeases(now, w)
		if w.listed && w.member.State == infra.Leaving {
			s.evictAll(w)
		}
		if !w.listed && len(w.jobs) == 0 && !w.exchangeInFlight {
			s.planner.RemoveHost(name)
			delete(s.workers, name)
		}
	}
}

// checkLeases checks whether the leases of a worker's runs have certainly
// expired. The worker's report is still requested then, so that a run completed
// before the expiry is not repeated. Without a report the runs are lost after
// runsLostDelay, or as soon as the worker is off the membership list.
func (s *Shard) checkLeases(now time.Time, w *worker) {
	sinceAnswer := now.Sub(w.lastAnswered)
	if !w.leasesExpired && sinceAnswer > s.leaseExpiryDelay() {
		w.leasesExpired, w.reconciled, w.lastSeq = true, false, 0
		s.requestExchange(w)
	}
	if !w.leasesExpired || len(w.jobs) == 0 {
		return
	}
	if !w.listed || sinceAnswer > s.runsLostDelay() {
		s.loseRuns(now, w)
	}
}

// loseRuns commits the end of all runs on a worker whose leases have certainly
// expired. The worker must be reconciled before it gets new orders.
func (s *Shard) loseRuns(now time.Time, w *worker) {
	event.WorkerLeaseExpired.Log(s.log, slog.String("worker", w.name), slog.Int("runs", len(w.jobs)))
	w.leasesExpired, w.reconciled, w.lastSeq = true, false, 0
	for _, j := range w.jobs {
		s.expireRun(now, w, j)
	}
	s.updatePlannerHost(now, w)
}

// evictAll evicts all runs of a leaving worker, with checkpoints.
func (s *Shard) evictAll(w *worker) {
	for _, j := range w.jobs {
		if !j.evict {
			j.evict = true
			s.requestExchange(w)
		}
	}
}

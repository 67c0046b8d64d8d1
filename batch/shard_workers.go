package batch

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/placement"
)

// setMembers takes in the workers that the membership list gives the shard.
func (s *Shard) setMembers(now time.Time, members []infra.Member) {
	listed := make(map[string]struct{}, len(members))
	for _, m := range members {
		listed[m.Name] = struct{}{}
		w := s.worker(now, m.Name)
		if w.member.Address != "" && w.member.Address != m.Address {
			w.reconciled, w.since = false, 0
		}
		w.member, w.listed = m, true
		s.show(now, w)
	}
	for name, w := range s.workers {
		if _, ok := listed[name]; !ok {
			w.listed = false
			s.show(now, w)
		}
	}
	s.dirty = true
}

// wordWithin is the part of a task lease for which the word of a worker is
// waited for once its leases have lapsed.
const wordWithin = 2

// unschedulable says why no new job goes to the worker; empty if it may.
func (s *Shard) unschedulable(now time.Time, w *worker) string {
	switch {
	case !w.listed:
		return "gone"
	case w.member.State == infra.Leaving:
		return "leaving"
	case w.lost || now.Sub(w.answered) > silentAfter*s.limits.Exchange.D():
		return "unreachable"
	case !w.reconciled:
		return "unreconciled"
	default:
		return w.health.unschedulable(now)
	}
}

// show tells the planner of the worker if anything changed.
func (s *Shard) show(now time.Time, w *worker) {
	h := placement.Host{
		Name: w.name, Zone: w.member.Zone, Rack: w.member.Rack,
		Capacity: w.member.Capacity, Unschedulable: s.unschedulable(now, w),
	}
	if w.known && h == w.shown {
		return
	}
	if h.Unschedulable == "unreachable" && w.shown.Unschedulable == "" {
		event.WorkerSilent.Log(s.log, slog.String("worker", w.name))
	}
	w.shown, w.known = h, true
	s.planner.SetHost(h)
	s.dirty = true
}

// watch looks for workers whose leases have lapsed, for leaving ones to be
// emptied and for gone ones to be forgotten.
func (s *Shard) watch(now time.Time) {
	for name, w := range s.workers {
		s.show(now, w)
		s.watchLeases(now, w)
		if w.listed && w.member.State == infra.Leaving {
			s.empty(w)
		}
		if !w.listed && len(w.jobs) == 0 && !w.busy {
			s.planner.RemoveHost(name)
			delete(s.workers, name)
		}
	}
}

// watchLeases looks whether the leases of a worker's runs have surely lapsed.
// Its word is still asked for then: a run that was done before its lease lapsed
// must not run again. Without it the runs are given up for lost after a while,
// or as soon as the membership list drops the worker.
func (s *Shard) watchLeases(now time.Time, w *worker) {
	silent := now.Sub(w.answered)
	if !w.lost && silent > s.lapseAfter() {
		w.lost, w.reconciled, w.since = true, false, 0
		s.call(w)
	}
	if !w.lost || len(w.jobs) == 0 {
		return
	}
	if !w.listed || silent > s.giveUpAfter() {
		s.loseRuns(now, w)
	}
}

// loseRuns ends all runs on a worker whose leases have surely lapsed. What it
// runs if it comes back is found by a new reconciliation.
func (s *Shard) loseRuns(now time.Time, w *worker) {
	event.WorkerLost.Log(s.log, slog.String("worker", w.name), slog.Int("runs", len(w.jobs)))
	w.lost, w.reconciled, w.since = true, false, 0
	for _, j := range w.jobs {
		s.lapse(now, w, j)
	}
	s.show(now, w)
}

// empty evicts all runs of a leaving worker, with checkpoints.
func (s *Shard) empty(w *worker) {
	for _, j := range w.jobs {
		if !j.evict {
			j.evict = true
			s.call(w)
		}
	}
}

package placement

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// drainLead is the time before an event's window at which batch runs begin
	// to be drained, so that none is left to drain in the window.
	drainLead = 2 * time.Minute
	// drainHosts bounds the hosts examined in one plan.
	drainHosts = 64
	// restartMS is the cost of an eviction in addition to lost work, in
	// milliseconds.
	restartMS = 10_000
)

// drain evicts batch runs ahead of events where the event's headroom isn't
// free. Each plan examines a few hosts, in turn.
func (s *Scheduler) drain(p *plan) {
	for i, e := range s.calendar {
		w := s.windows[i]
		if e.Headroom <= 0 || p.now.Before(w.From.Add(-drainLead)) || !p.now.Before(w.Start) {
			continue
		}
		for range min(drainHosts, len(s.order)) {
			if p.remaining() == 0 || s.budget.Available(p.now) == 0 {
				return
			}
			s.drainAt = (s.drainAt + 1) % len(s.order)
			s.drainNode(p, e, w, s.order[s.drainAt])
		}
	}
}

// drainNode evicts at most one run from a node that serves the event.
func (s *Scheduler) drainNode(p *plan, e forecast.Event, w forecast.Window, n *node) {
	if !n.serves(e.Services) {
		return
	}
	missing := int64(e.Headroom*float64(n.host.Capacity.MilliCPU)) - n.free().MilliCPU
	for _, r := range n.runs {
		if r.isEvicting(p.now) || s.endsBy(p.now, r, w.From) {
			missing -= r.size.MilliCPU
		}
	}
	if missing <= 0 {
		return
	}
	if r := s.drainVictim(p.now, e, w, n); r != nil {
		s.evict(p, r, "drained ahead of "+e.Name)
	}
}

// serves reports whether the node has a latency-critical run of one of the
// classes; without classes, of any class.
func (n *node) serves(classes []string) bool {
	return slices.ContainsFunc(n.runs, func(r *run) bool {
		return r.spec.QoS == task.LatencyCritical &&
			(len(classes) == 0 || slices.Contains(classes, r.spec.Class))
	})
}

// endsBy reports whether a run is expected to end by the deadline.
func (s *Scheduler) endsBy(now time.Time, r *run, deadline time.Time) bool {
	if r.spec.QoS == task.LatencyCritical || r.spec.RunMS == 0 || r.started.IsZero() {
		return false
	}
	return !now.Add(s.remaining(r.spec, now.Sub(r.started).Milliseconds())).After(deadline)
}

// drainVictim returns the run with the largest impact on the event's services
// relative to the work lost; nil if none may be evicted.
func (s *Scheduler) drainVictim(now time.Time, e forecast.Event, w forecast.Window, n *node) *run {
	var chosen *run
	var highest float64
	for _, r := range s.evictable(now, n) {
		if r.spec.Event == e.Name || s.endsBy(now, r, w.From) {
			continue
		}
		value := s.eventImpact(e, n, r) / float64(r.doneMS+restartMS)
		if chosen == nil || value > highest {
			chosen, highest = r, value
		}
	}
	return chosen
}

// eventImpact returns the estimated effect of a run on the latency of the
// event's services. It is at least proportional to the run's size, so that
// runs without an effect are ordered by size.
func (s *Scheduler) eventImpact(e forecast.Event, n *node, r *run) float64 {
	cpuShare := n.cpuShare(r.fullMilliCPU())
	eventImpact := cpuShare / 100
	for _, class := range e.Services {
		mean, _ := s.model.Effect(class, r.spec.Class, cpuShare)
		eventImpact = max(eventImpact, mean)
	}
	return eventImpact
}

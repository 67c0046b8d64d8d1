package placement

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/forecast"
	"github.com/fireflygate/fireflygate/task"
)

const (
	// drainLead is how long before an event's window noisy work begins to
	// be drained, so that none of it is left to drain in the window.
	drainLead = 2 * time.Minute
	// drainHosts is how many hosts one plan looks at.
	drainHosts = 64
	// restartMS is what an eviction costs besides lost work, in
	// milliseconds.
	restartMS = 10_000
)

// drain evicts batch ahead of events where their headroom is not free. It
// looks at a few hosts in each plan, in turn.
func (s *Scheduler) drain(p *plan) {
	for i, e := range s.calendar {
		w := s.windows[i]
		if e.Headroom <= 0 || p.now.Before(w.From.Add(-drainLead)) || !p.now.Before(w.Start) {
			continue
		}
		for range min(drainHosts, len(s.order)) {
			if p.room() == 0 || s.budget.Available(p.now) == 0 {
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
		if r.isEvicting(p.now) || s.ends(p.now, r, w.From) {
			missing -= r.size.MilliCPU
		}
	}
	if missing <= 0 {
		return
	}
	if r := s.noisiest(p.now, e, w, n); r != nil {
		s.evict(p, r, "drained ahead of "+e.Name)
	}
}

// serves reports whether a latency-critical run of one of the classes is on
// the node; no classes stand for any.
func (n *node) serves(classes []string) bool {
	return slices.ContainsFunc(n.runs, func(r *run) bool {
		return r.spec.QoS == task.LatencyCritical &&
			(len(classes) == 0 || slices.Contains(classes, r.spec.Class))
	})
}

// ends reports whether a run should have ended by a time.
func (s *Scheduler) ends(now time.Time, r *run, by time.Time) bool {
	if r.spec.QoS == task.LatencyCritical || r.spec.RunMS == 0 || r.started.IsZero() {
		return false
	}
	return !now.Add(s.remaining(r.spec, now.Sub(r.started).Milliseconds())).After(by)
}

// noisiest returns the run to evict first: the most harm to the event's
// services for the least work lost; nil if none may be evicted.
func (s *Scheduler) noisiest(now time.Time, e forecast.Event, w forecast.Window, n *node) *run {
	var chosen *run
	var highest float64
	for _, r := range s.evictable(now, n) {
		if r.spec.Event == e.Name || s.ends(now, r, w.From) {
			continue
		}
		worth := s.noise(e, n, r) / float64(r.doneMS+restartMS)
		if chosen == nil || worth > highest {
			chosen, highest = r, worth
		}
	}
	return chosen
}

// noise is what a run adds to the latency of the event's services, at least
// a little by its part of the host, so that quiet work is told apart by size.
func (s *Scheduler) noise(e forecast.Event, n *node, r *run) float64 {
	part := n.part(r.fullMilliCPU())
	noise := part / 100
	for _, class := range e.Services {
		mean, _ := s.model.Effect(class, r.spec.Class, part)
		noise = max(noise, mean)
	}
	return noise
}

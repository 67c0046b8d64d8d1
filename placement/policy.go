package placement

import "github.com/fireflygate/fireflygate/forecast"

// SetPolicy implements Planner.
func (s *Scheduler) SetPolicy(o Options) {
	o.Seed = s.options.Seed
	s.options = o
	s.teams.configure(o.Teams)
	s.budget.SetLimit(o.Colocation.MaxEvictionsPerMinute)
	s.model.SetObjectives(o.ObjectivesMS, o.tailMargin())
	s.explorer.Interval = o.exploreInterval()
	for _, n := range s.order {
		if n.monitor != nil {
			n.monitor.SetOptions(s.monitorOptions())
		}
	}
	// A smaller headroom may let sizes fit that didn't before.
	s.unfit = newUnfitCache()
	s.setEvents(o)
}

// setEvents replaces the calendar and requeues the pending jobs, whose latest
// starts depend on it.
func (s *Scheduler) setEvents(o Options) {
	// Package settings has already rejected invalid events.
	s.calendar, _ = forecast.NewCalendar(o.Events)
	s.windows = make([]forecast.Window, len(s.calendar))
	s.updateWindows(s.now)
	waiting := make([]*pending, 0, len(s.queue.jobs))
	for _, p := range s.queue.jobs {
		waiting = append(waiting, p)
	}
	for _, p := range waiting {
		s.queue.remove(p)
		p.latestStart = s.latestStart(p.spec)
		s.queue.add(p)
	}
}

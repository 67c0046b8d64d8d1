package dispatch

import "time"

// bestEffortDemand is the demand of the best-effort tasks of the open jobs. It
// lets low-impact tasks leave workers to high-impact tasks, which suit only
// some.
type bestEffortDemand struct {
	// highImpact counts the unfinished tasks by image, for images that don't
	// suit all workers.
	highImpact map[string]int
	// lowImpact says by image whether it suits all workers.
	lowImpact map[string]bool
	// shareByClass caches the results of share for workers with one class.
	shareByClass map[string]float64
	// tasks counts all unfinished best-effort tasks.
	tasks int
}

// demandCacheTTL is how long the demand is reused, since counting all open jobs
// is a large part of a planning cycle.
const demandCacheTTL = 100 * time.Millisecond

// currentDemand returns the demand, at most demandCacheTTL old.
func (s *State) currentDemand(now time.Time) *bestEffortDemand {
	if s.demand == nil || now.Sub(s.demandAt) >= demandCacheTTL {
		s.demand, s.demandAt = newBestEffortDemand(s), now
	}
	return s.demand
}

func newBestEffortDemand(s *State) *bestEffortDemand {
	d := &bestEffortDemand{highImpact: map[string]int{}, lowImpact: map[string]bool{}, shareByClass: map[string]float64{}}
	for _, j := range s.open {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				d.add(s, st)
			}
		}
	}
	return d
}

func (d *bestEffortDemand) add(s *State, st *step) {
	if !st.spec.BestEffort || st.unfinishedTasks == 0 {
		return
	}
	d.tasks += st.unfinishedTasks
	image := st.spec.Image
	lowImpact, known := d.lowImpact[image]
	if !known {
		lowImpact = s.model.MaxEffect(image) < maxLowImpactEffect
		d.lowImpact[image] = lowImpact
	}
	if !lowImpact {
		d.highImpact[image] += st.unfinishedTasks
	}
}

// share returns the share of the unfinished best-effort tasks whose image is
// high-impact in general but has a low impact on all of the given classes, those
// of a worker.
func (d *bestEffortDemand) share(s *State, classes map[string]int) float64 {
	if d.tasks == 0 {
		return 0
	}
	if len(classes) != 1 {
		return d.uncachedShare(s, classes)
	}
	for class := range classes {
		if _, known := d.shareByClass[class]; !known {
			d.shareByClass[class] = d.uncachedShare(s, classes)
		}
		return d.shareByClass[class]
	}
	return 0
}

// uncachedShare is share without the cache.
func (d *bestEffortDemand) uncachedShare(s *State, classes map[string]int) float64 {
	suited := 0
	for image, tasks := range d.highImpact {
		if s.suits(image, classes) {
			suited += tasks
		}
	}
	return float64(suited) / float64(d.tasks)
}

// suits reports whether a best-effort image has a low impact on all of the
// classes.
func (s *State) suits(image string, classes map[string]int) bool {
	for class := range classes {
		if s.model.Effect(class, image) >= maxLowImpactEffect {
			return false
		}
	}
	return true
}

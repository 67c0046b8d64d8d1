package dispatch

import "time"

// wanted is the work of fillers that only some workers suit, so that fillers
// that suit all can leave those workers to them.
type wanted struct {
	// loud holds the images of such fillers with their tasks that aren't done.
	loud map[string]int
	// quiet holds the images that suit all workers.
	quiet map[string]bool
	// shares holds what share returned for workers of one class.
	shares map[string]float64
	// tasks counts all fillers' tasks that aren't done.
	tasks int
}

// wantedFor is how long a count of the fillers' work is used: it changes by little
// in less, and counting all open jobs is a good part of a planning cycle.
const wantedFor = 100 * time.Millisecond

// wantedNow returns the work of the open jobs' fillers, counted lately.
func (s *State) wantedNow(now time.Time) *wanted {
	if s.wanted == nil || now.Sub(s.wantedAt) >= wantedFor {
		s.wanted, s.wantedAt = newWanted(s), now
	}
	return s.wanted
}

// newWanted counts the fillers of the open jobs.
func newWanted(s *State) *wanted {
	w := &wanted{loud: map[string]int{}, quiet: map[string]bool{}, shares: map[string]float64{}}
	for _, j := range s.open {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				w.add(s, st)
			}
		}
	}
	return w
}

// add counts a step.
func (w *wanted) add(s *State, st *step) {
	if !st.spec.BestEffort || st.undone == 0 {
		return
	}
	w.tasks += st.undone
	image := st.spec.Image
	quiet, known := w.quiet[image]
	if !known {
		quiet = s.model.MaxEffect(image) < quietEffect
		w.quiet[image] = quiet
	}
	if !quiet {
		w.loud[image] += st.undone
	}
}

// share returns the share of the fillers' work that not all workers suit and
// that a worker with these classes does.
func (w *wanted) share(s *State, classes map[string]int) float64 {
	if w.tasks == 0 {
		return 0
	}
	if len(classes) != 1 {
		return w.suitedShare(s, classes)
	}
	for class := range classes {
		if _, known := w.shares[class]; !known {
			w.shares[class] = w.suitedShare(s, classes)
		}
		return w.shares[class]
	}
	return 0
}

// suitedShare works out the share.
func (w *wanted) suitedShare(s *State, classes map[string]int) float64 {
	suited := 0
	for image, tasks := range w.loud {
		if s.suits(image, classes) {
			suited += tasks
		}
	}
	return float64(suited) / float64(w.tasks)
}

// suits reports whether a filler of the image disturbs none of the classes.
func (s *State) suits(image string, classes map[string]int) bool {
	for class := range classes {
		if s.model.Effect(class, image) >= quietEffect {
			return false
		}
	}
	return true
}

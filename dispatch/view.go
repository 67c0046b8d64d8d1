package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/colocate"
	"github.com/fireflygate/fireflygate/infra"
)

// view is what planning has worked out of a worker. It holds until something
// comes, goes or is reported there, and for viewFor at most. Without it a cycle
// over some hundred waiting fillers took ten times as long, and the owner fell
// behind.
type view struct {
	w *worker
	// at is when it was worked out.
	at               time.Time
	serving, fillers int
	// byClass counts serving runs by class.
	byClass map[string]int
	unused  int64
	// inTime is what is free once every run that ends by itself has.
	inTime infra.Resources
	load   *colocate.Worker
	// rooms is what fillers leave to those who serve there.
	rooms []colocate.SlackBudget
	// wanted is the share of the fillers' work that not all workers suit and
	// that this one does.
	wanted float64
}

// kindKey names steps that differ only in size to a placement.
type kindKey struct {
	image, pool, label string
	filler             bool
}

// kind returns what the step is to a placement; false if other steps say
// nothing about it.
func (s *step) kind() (kindKey, bool) {
	if s.class != "" || s.spec.MaxPerWorker > 0 || s.spec.Gang || s.job.queue.NeedsPermit {
		return kindKey{}, false
	}
	k := kindKey{pool: s.job.queue.Pool, label: s.spec.Label, filler: s.spec.BestEffort}
	if k.filler {
		k.image = s.spec.Image
	}
	return k, true
}

// knownNotToFit reports whether a step of the same kind that needs no more has
// found no room in this cycle.
func (c *cycle) knownNotToFit(st *step) bool {
	k, ok := st.kind()
	if !ok {
		return false
	}
	for _, needs := range c.noRoom[k] {
		if needs.Fits(st.spec.Needs) {
			return true
		}
	}
	return false
}

// noteNoFit keeps that a step found no room.
func (c *cycle) noteNoFit(st *step) {
	if k, ok := st.kind(); ok {
		c.noRoom[k] = append(c.noRoom[k], st.spec.Needs)
	}
}

// viewFor is how long a view is used: figures of a filler count as settled, and a
// load is foreseen, that much later at most.
const viewFor = 100 * time.Millisecond

// view returns what is known of a worker.
func (c *cycle) view(w *worker) *view {
	v := w.view
	if v == nil || c.now.Sub(v.at) >= viewFor {
		v = &view{w: w, at: c.now, unused: w.unusedCPU(c.now), inTime: w.roomInTime()}
		v.serving, v.fillers, v.byClass = w.tally.serving, w.tally.fillers, w.tally.byClass
		v.wanted = c.wanted.share(c.s, v.byClass)
		w.view = v
	}
	return v
}

// colocation returns what runs on the worker.
func (v *view) colocation(c *cycle) *colocate.Worker {
	if v.load == nil {
		v.load, _ = v.w.colocation(c.now)
	}
	return v.load
}

// harmOf returns what one more filler of the step would do.
func (v *view) harmOf(c *cycle, st *step) colocate.Impact {
	if v.rooms == nil {
		v.rooms = c.s.model.SlackBudgets(c.now, v.colocation(c))
	}
	part := float64(st.spec.Needs.MilliCPU) / float64(max(v.w.info.Capacity.MilliCPU, 1))
	return c.s.model.ImpactOf(v.rooms, st.spec.Image, part)
}
